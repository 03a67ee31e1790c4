//! Steps that wait beside room that they could use.
//!
//! What was seen: after tasks had crashed many workers, jobs waited at the end of the day with over half of
//! the cell free: gangs of two and four, for three seconds and more, one for twelve.
//!
//! How it came about: each crash makes steps ask for advice anew, since tickets lapse and lives end.
//! Dozens of them waited for the few instances that make the calls.
//!
//! What caused it: the calls were made too late and for the wrong ones. An instance that had become free
//! waited for the next full pass, gangs asked a second time while others had not asked, and
//! instances that were kept for quick calls stood idle.
//!
//! What proved it: what waiting steps wait for (`WaitCause`), which is tickets that have lapsed, or workers
//! that have not been asked about, in nearly all lines, and room in hardly any. Cases of it fail with the
//! use of freed instances taken out, and with that of idle ones.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use fastrand::Rng;
use hollowford_core::{Millis, Resources};
use hollowford_jobs::*;
use std::collections::BTreeMap;
use yare::parameterized;

const WORKERS: usize = 48;
/// Instances that make calls for advice.
const SEATS: usize = 6;
/// Jobs come in for so long, in milliseconds; some crash their workers in the first part of it.
const COMING: u64 = 40_000;
const CRASHING: u64 = 14_000;
/// The backlog is looked at until then.
const UNTIL: u64 = 70_000;
/// What could run does so within this time.
const MOST_WAIT: Millis = Millis(3_000);

/// Jobs in a second, and in the mix: checks, surveys and gangs.
const CHECKS: f64 = 44.0;
const SURVEYS: f64 = 6.2;
const GANGS: f64 = 0.7;
const SURVEY: &str = "survey";

fn cost(base_ms: f64, per_worker_ms: f64) -> Option<AdviceCost> {
    Some(AdviceCost { base_ms, per_worker_ms, ticket_validity: Millis(2_000) })
}

fn cell() -> Cell {
    let mut cell = Cell::new(WORKERS);
    cell.set_queues(vec![
        Queue { stretch: 1.5, slack: Millis(250), ..queue(QUICK, 0, cost(5.6, 0.08)) },
        Queue { max_attempts: 4, ..queue(SURVEY, 2, cost(42.0, 0.6)) },
        Queue { max_attempts: 4, ..queue(LARGE, 1, cost(480.0, 6.8)) },
    ]);
    cell.good_percent = [(QUICK, 70), (SURVEY, 45), (LARGE, 30)]
        .into_iter()
        .map(|(q, percent)| (q.into(), percent))
        .collect();
    cell.advice_takes_time = true;
    let seats: Vec<_> =
        (0..SEATS).map(|i| AdviceChannel { address: format!("s{i}").into() }).collect();
    cell.engine.set_advice_channels(&seats);
    (cell.crashes.down, cell.crashes.after) = (Millis(3_300), Millis(10));
    cell
}

fn draw(kind: usize, rng: &mut Rng) -> (&'static str, RawStep) {
    let about = |rng: &mut Rng, n: u64| rng.u64(n / 2..n * 3 / 2);
    let mut sized = |count: u64, cpu: u64, memory: u64, ms: u64| {
        let (count, cpu) = (about(rng, count).max(1) as u32, about(rng, cpu) as u32);
        let raw = step(count, cpu, about(rng, ms));
        RawStep { resources: Resources::new(cpu, about(rng, memory) as u32, 0), ..raw }
    };
    match kind {
        0 => (QUICK, sized(2, 1_400, 5_000, 640)),
        1 => (SURVEY, sized(10, 980, 3_000, 2_200)),
        _ => (LARGE, RawStep { gang: true, ..sized(8, 4_500, 15_000, 6_200) }),
    }
}

/// Since when each step could run beside so much free room.
#[derive(Default)]
struct Judge {
    since: BTreeMap<StepKey, Millis>,
    longest: Millis,
    worst: Option<StepWait>,
}

impl Judge {
    fn look(&mut self, cell: &Cell) {
        let waits = cell.engine.step_waits(cell.now);
        let could = |w: &&StepWait| w.cause != WaitCause::HeldBack && could_run(cell, w.step);
        let now: BTreeMap<_, _> = waits.iter().filter(could).map(|w| (w.step, *w)).collect();
        self.since.retain(|step, _| now.contains_key(step));
        for (step, wait) in now {
            let waited = cell.now.since(*self.since.entry(step).or_insert(cell.now));
            if waited > self.longest {
                (self.longest, self.worst) = (waited, Some(wait));
            }
        }
    }
}

/// Tells whether a step has nothing running, and has room twice over while less than half of the cell is in use.
fn could_run(cell: &Cell, step: StepKey) -> bool {
    let up = || cell.workers.iter().filter(|w| w.up);
    let used: u32 = up().map(|w| w.used().cpu_milli).sum();
    let all: u32 = cell.workers.iter().map(|w| w.capacity.cpu_milli).sum();
    let runs = up().any(|w| w.running.keys().any(|t| t.step == step));
    if used * 2 >= all || runs {
        return false;
    }
    let spec = &cell.specs[&step.job].steps[step.step as usize];
    let wanted = if spec.gang { spec.count } else { 1 };
    let places = |w: &worker::SimWorker| {
        let (need, free) = (spec.allocation(), w.capacity.minus(&w.used()));
        (free.cpu_milli / need.cpu_milli.max(1)).min(free.memory_mib / need.memory_mib.max(1))
    };
    up().filter(|w| cell.may_run(step, &w.id)).map(places).sum::<u32>() >= 2 * wanted
}

/// Plays a day of whose surveys so many in a hundred crash their workers at first. Returns for how long a step
/// waited at most that could run.
fn longest_wait(seed: u64, crashing_percent: u32) -> Judge {
    let mut rng = Rng::with_seed(seed);
    let mut cell = cell();
    let (began, mut jobs, mut due) = (cell.now, 0, [0.0; 3]);
    let mut judge = Judge::default();
    for turn in 0..UNTIL / 5 {
        let rates = if turn * 5 < COMING { [CHECKS, SURVEYS, GANGS] } else { [0.0; 3] };
        for (kind, per_s) in rates.into_iter().enumerate() {
            due[kind] += per_s * 0.005;
            if rng.f64() < due[kind] {
                due[kind] -= 1.0;
                jobs += 1;
                let (queue, raw) = draw(kind, &mut rng);
                let crashes = kind == 1 && cell.now.since(began).0 < CRASHING;
                if crashes && rng.u32(0..100) < crashing_percent {
                    cell.crashes.jobs.insert(JobId(jobs));
                }
                cell.submit(jobs, queue, job(vec![raw]));
            }
        }
        cell.run(5);
        if turn % 10 == 0 {
            judge.look(&cell);
        }
    }
    judge
}

#[parameterized(
    first = { 1, 4 }, second = { 2, 6 }, third = { 6, 6 }, fourth = { 7, 6 }, fifth = { 8, 6 },
)]
fn what_could_run_beside_free_room_does_not_wait(seed: u64, crashing_percent: u32) {
    let judge = longest_wait(seed, crashing_percent);
    assert!(judge.longest <= MOST_WAIT, "{:?}: {:?}", judge.longest, judge.worst);
}

// So many gangs wait at once that the calls for them alone take longer.
#[test]
fn what_could_run_waits_in_a_long_backlog_of_gangs() {
    let judge = longest_wait(1, 6);
    assert!(judge.longest <= MOST_WAIT, "{:?}: {:?}", judge.longest, judge.worst);
}
