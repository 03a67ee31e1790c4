//! Steps must not wait while enough resources are free for them.
//!
//! Crashes of workers make tickets lapse, so many steps need new advice at the same time, and only
//! a few instances make the calls. With more than half of the cell free, gangs waited for several
//! seconds because an instance that had become free was only used at the next full pass, because
//! gangs asked a second time before others had asked once, and because instances reserved for quick
//! calls were idle.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use fastrand::Rng;
use hollowford_core::{Millis, Resources};
use hollowford_jobs::*;
use std::collections::BTreeMap;
use yare::parameterized;

const WORKERS: usize = 48;
/// Number of instances that make advice calls.
const ADVICE_CHANNELS: usize = 6;
/// How long jobs are submitted, in milliseconds.
const ARRIVALS_MS: u64 = 40_000;
/// How long some of the submitted jobs crash their workers, in milliseconds.
const CRASHES_MS: u64 = 14_000;
/// How long waiting steps are observed, in milliseconds.
const OBSERVED_MS: u64 = 70_000;
/// Maximum time that a runnable step may wait.
const MAX_WAIT: Millis = Millis(3_000);

/// Checks submitted per second.
const CHECKS_PER_S: f64 = 44.0;
/// Surveys submitted per second.
const SURVEYS_PER_S: f64 = 6.2;
/// Gangs submitted per second.
const GANGS_PER_S: f64 = 0.7;
/// The queue of surveys.
const SURVEY: &str = "survey";

fn advice_cost(base_ms: f64, per_worker_ms: f64) -> Option<AdviceCost> {
    Some(AdviceCost { base_ms, per_worker_ms, ticket_validity: Millis(2_000) })
}

fn busy_cell() -> TestCell {
    let mut cell = TestCell::new(WORKERS);
    cell.set_queues(vec![
        Queue { stretch: 1.5, slack: Millis(250), ..queue(QUICK, 0, advice_cost(5.6, 0.08)) },
        Queue { max_attempts: 4, ..queue(SURVEY, 2, advice_cost(42.0, 0.6)) },
        Queue { max_attempts: 4, ..queue(LARGE, 1, advice_cost(480.0, 6.8)) },
    ]);
    cell.eligible_percent = [(QUICK, 70), (SURVEY, 45), (LARGE, 30)]
        .into_iter()
        .map(|(q, percent)| (q.into(), percent))
        .collect();
    cell.delay_advice = true;
    let advice_channels: Vec<_> =
        (0..ADVICE_CHANNELS).map(|i| AdviceChannel { address: format!("s{i}").into() }).collect();
    cell.engine.set_advice_channels(&advice_channels);
    (cell.crashes.downtime, cell.crashes.crash_after) = (Millis(3_300), Millis(10));
    cell
}

fn draw_step(kind: usize, rng: &mut Rng) -> (&'static str, RawStep) {
    let jitter = |rng: &mut Rng, n: u64| rng.u64(n / 2..n * 3 / 2);
    let mut sized = |count: u64, cpu: u64, memory: u64, ms: u64| {
        let (count, cpu) = (jitter(rng, count).max(1) as u32, jitter(rng, cpu) as u32);
        let raw = step(count, cpu, jitter(rng, ms));
        RawStep { resources: Resources::new(cpu, jitter(rng, memory) as u32, 0), ..raw }
    };
    match kind {
        0 => (QUICK, sized(2, 1_400, 5_000, 640)),
        1 => (SURVEY, sized(10, 980, 3_000, 2_200)),
        _ => (LARGE, RawStep { gang: true, ..sized(8, 4_500, 15_000, 6_200) }),
    }
}

/// Tracks how long steps wait although they are runnable.
#[derive(Default)]
struct WaitTracker {
    runnable_since: BTreeMap<StepKey, Millis>,
    longest_wait: Millis,
    /// The step with the longest wait, and what it waited for.
    worst_wait: Option<StepWait>,
}

impl WaitTracker {
    fn record(&mut self, cell: &TestCell) {
        let waits = cell.engine.step_waits(cell.now);
        let runnable = |w: &&StepWait| w.cause != WaitCause::HeldBack && is_runnable(cell, w.step);
        let now: BTreeMap<_, _> = waits.iter().filter(runnable).map(|w| (w.step, *w)).collect();
        self.runnable_since.retain(|step, _| now.contains_key(step));
        for (step, wait) in now {
            let waited = cell.now.since(*self.runnable_since.entry(step).or_insert(cell.now));
            if waited > self.longest_wait {
                (self.longest_wait, self.worst_wait) = (waited, Some(wait));
            }
        }
    }
}

/// Returns true if a step has no task running, less than half of the cell's processors are in use,
/// and the step would fit into the free resources twice.
fn is_runnable(cell: &TestCell, step: StepKey) -> bool {
    let up = || cell.workers.iter().filter(|w| w.up);
    let used: u32 = up().map(|w| w.used().cpu_milli).sum();
    let all: u32 = cell.workers.iter().map(|w| w.capacity.cpu_milli).sum();
    let runs = up().any(|w| w.running.keys().any(|t| t.step == step));
    if used * 2 >= all || runs {
        return false;
    }
    let spec = &cell.specs[&step.job].steps[step.step as usize];
    let wanted = if spec.gang { spec.count } else { 1 };
    let tasks_that_fit = |w: &worker::SimWorker| {
        let (need, free) = (spec.allocation(), w.capacity.minus(&w.used()));
        (free.cpu_milli / need.cpu_milli.max(1)).min(free.memory_mib / need.memory_mib.max(1))
    };
    up().filter(|w| cell.is_eligible(step, &w.id)).map(tasks_that_fit).sum::<u32>() >= 2 * wanted
}

/// Runs a load in which the given percentage of the surveys crash their workers at first. Returns
/// the waits of the steps that were runnable.
fn track_waits(seed: u64, crashing_percent: u32) -> WaitTracker {
    let mut rng = Rng::with_seed(seed);
    let mut cell = busy_cell();
    let (started_at, mut jobs, mut due) = (cell.now, 0, [0.0; 3]);
    let mut tracker = WaitTracker::default();
    for iteration in 0..OBSERVED_MS / 5 {
        let rates = if iteration * 5 < ARRIVALS_MS {
            [CHECKS_PER_S, SURVEYS_PER_S, GANGS_PER_S]
        } else {
            [0.0; 3]
        };
        for (kind, per_s) in rates.into_iter().enumerate() {
            due[kind] += per_s * 0.005;
            if rng.f64() < due[kind] {
                due[kind] -= 1.0;
                jobs += 1;
                let (queue, raw) = draw_step(kind, &mut rng);
                let crashes = kind == 1 && cell.now.since(started_at).0 < CRASHES_MS;
                if crashes && rng.u32(0..100) < crashing_percent {
                    cell.crashes.jobs.insert(JobId(jobs));
                }
                cell.submit(jobs, queue, job(vec![raw]));
            }
        }
        cell.run(5);
        if iteration % 10 == 0 {
            tracker.record(&cell);
        }
    }
    tracker
}

#[parameterized(
    first = { 1, 4 }, second = { 2, 6 }, third = { 6, 6 }, fourth = { 7, 6 }, fifth = { 8, 6 },
)]
fn a_step_that_could_run_does_not_wait(seed: u64, crashing_percent: u32) {
    let tracker = track_waits(seed, crashing_percent);
    assert!(
        tracker.longest_wait <= MAX_WAIT,
        "{:?}: {:?}",
        tracker.longest_wait,
        tracker.worst_wait
    );
}

// Known failure, see KNOWN-RED.txt: more gangs wait at once than advice calls can be made for in
// that time.
#[test]
fn what_could_run_waits_in_a_long_backlog_of_gangs() {
    let tracker = track_waits(1, 6);
    assert!(
        tracker.longest_wait <= MAX_WAIT,
        "{:?}: {:?}",
        tracker.longest_wait,
        tracker.worst_wait
    );
}
