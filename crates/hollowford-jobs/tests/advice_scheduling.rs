//! Calls for advice in a full cell.
//!
//! In a deployment with some 20 client accounts and too little capacity, 35% of the answered calls
//! for advice were followed by no start of their step while their tickets were valid, and seven of
//! ten waiting steps waited for advice. The instances that make calls were busy with steps that
//! could not start.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use fastrand::Rng;
use hollowford_accounts::AccountPolicy;
use hollowford_core::{Millis, Totals};
use hollowford_jobs::*;
use std::collections::BTreeMap;
use std::fmt;
use yare::parameterized;

const WORKERS: usize = 48;
/// Number of instances that make advice calls.
const ADVICE_CHANNELS: usize = 5;
/// The queue of surveys; [`QUICK`] is that of checks and [`LARGE`] that of gangs.
const SURVEY: &str = "survey";
const QUEUES: [&str; 3] = [QUICK, SURVEY, LARGE];

/// Jobs of each queue submitted per second before and after the burst. They need about 80% of the
/// cell's processors.
const USUAL_PER_S: [f64; 3] = [26.0, 3.2, 1.0];
/// Jobs of each queue submitted per second in the burst, in which checks come at five times their
/// usual rate and gangs at twice. They need about twice the cell's processors.
const BURST_PER_S: [f64; 3] = [130.0, 5.0, 2.0];
const BURST_MS: std::ops::Range<u64> = 6_000..18_000;
/// Number of client accounts in the load with quotas.
const ACCOUNTS: usize = 10;
/// Quota of each account: a fifth of the cell.
const QUOTA_CORES: u64 = 150;
/// How long jobs are submitted, in milliseconds.
const ARRIVALS_MS: u64 = 26_000;
/// How long the cell is observed, in milliseconds.
const OBSERVED_MS: u64 = 80_000;

fn advice_cost(base_ms: f64, per_worker_ms: f64) -> Option<AdviceCost> {
    Some(AdviceCost { base_ms, per_worker_ms, ticket_validity: Millis(2_000) })
}

fn advice_channels(names: impl Iterator<Item = String>) -> Vec<AdviceChannel> {
    names.map(|n| AdviceChannel { address: n.as_str().into() }).collect()
}

/// Returns a cell with the queues and the advice service of that deployment.
fn full_cell(advice_scheduling: bool) -> TestCell {
    let mut cell = TestCell::new(WORKERS);
    cell.set_queues(vec![
        Queue { stretch: 1.5, slack: Millis(250), ..queue(QUICK, 0, advice_cost(14.0, 0.2)) },
        Queue { stretch: 4.0, slack: Millis(3_000), ..queue(SURVEY, 2, advice_cost(156.0, 2.3)) },
        Queue { stretch: 2.2, ..queue(LARGE, 1, advice_cost(702.0, 10.0)) },
    ]);
    let eligible = [(QUICK, 70), (SURVEY, 45), (LARGE, 30)];
    cell.eligible_percent = eligible.into_iter().map(|(q, percent)| (q.into(), percent)).collect();
    cell.delay_advice = true;
    configure(&mut cell, advice_scheduling);
    cell
}

fn account_name(i: usize) -> String {
    format!("account-{i}")
}

fn configure(cell: &mut TestCell, advice_scheduling: bool) {
    cell.engine.set_features(Features { advice_scheduling, ..Features::default() });
    let names = (0..ADVICE_CHANNELS).map(|i| format!("s{i}"));
    cell.engine.set_advice_channels(&advice_channels(names));
}

/// Draws a job of a queue: its step as the caller specifies it, and its tasks' run time, from which
/// the caller's estimate differs by up to a factor of 2.5.
fn draw_job(kind: usize, rng: &mut Rng) -> (RawStep, u64) {
    let (count, cpu, ms) = [(3, 2_500, 1_000), (10, 1_750, 3_400), (8, 4_500, 6_200)][kind];
    let mut jitter = |n: u64| rng.u64(n / 2..n * 3 / 2).max(1);
    let raw = step(jitter(count) as u32, jitter(cpu) as u32, jitter(ms));
    let gang = kind == 2 || (kind == 0 && rng.u32(0..10) < 3);
    let factor = [2.5_f64, 1.6, 1.2][kind].powf(rng.f64() * 2.0 - 1.0);
    let run_time = (raw.estimate_ms as f64 * factor) as u64;
    (RawStep { gang, ..raw }, run_time)
}

/// What happened to the jobs of one run of the load.
#[derive(Debug, Default)]
struct Outcome {
    answers: u64,
    unused: u64,
    /// Answers and unused answers by queue.
    answers_by_queue: [(u64, u64); 3],
    /// Time from submission to first start of the started jobs, by queue, sorted.
    waits: [Vec<u64>; 3],
    completed: usize,
    submitted: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [median, mean] =
            [[0, 1, 2].map(|k| self.median_wait(k)), [0, 1, 2].map(|k| self.mean_wait(k))];
        write!(
            f,
            "answers={} unused={} ({}%) by_queue={:?} median_ms={median:?} mean_ms={mean:?} completed={}/{}",
            self.answers,
            self.unused,
            self.unused_percent(),
            self.answers_by_queue,
            self.completed,
            self.submitted
        )
    }
}

impl Outcome {
    fn unused_percent(&self) -> u64 {
        self.unused * 100 / self.answers.max(1)
    }

    fn median_wait(&self, kind: usize) -> u64 {
        let waits = &self.waits[kind];
        waits.get(waits.len() / 2).copied().unwrap_or(u64::MAX)
    }

    fn mean_wait(&self, kind: usize) -> u64 {
        self.waits[kind].iter().sum::<u64>() / (self.waits[kind].len() as u64).max(1)
    }
}

/// Submits jobs of all queues with a burst of each. `disturb` is called before each
/// step of 5 ms with the time since the start.
fn run_burst(
    seed: u64,
    with_quotas: bool,
    advice_scheduling: bool,
    mut disturb: impl FnMut(&mut TestCell, u64),
) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let mut cell = full_cell(advice_scheduling);
    if with_quotas {
        let quota = Totals { cpu_milli: QUOTA_CORES * 1_000, ..Totals::default() };
        let account = |i| Account {
            name: account_name(i).as_str().into(),
            policy: AccountPolicy { quota, ..AccountPolicy::default() },
            guaranteed_jobs_per_s: 0,
        };
        cell.engine.set_accounts(&(0..ACCOUNTS).map(account).collect::<Vec<_>>());
    }
    let mut out = Outcome::default();
    let mut kinds: BTreeMap<JobId, usize> = BTreeMap::new();
    let mut first_starts: BTreeMap<JobId, u64> = BTreeMap::new();
    let mut due = [0.0; 3];
    for ms in (0..OBSERVED_MS).step_by(5) {
        disturb(&mut cell, ms);
        let rates = if BURST_MS.contains(&ms) { BURST_PER_S } else { USUAL_PER_S };
        for (kind, per_s) in rates.into_iter().enumerate().filter(|_| ms < ARRIVALS_MS) {
            due[kind] += per_s * 0.005;
            if rng.f64() >= due[kind] {
                continue;
            }
            due[kind] -= 1.0;
            let id = kinds.len() as u64 + 1;
            let (raw, run_time) = draw_job(kind, &mut rng);
            let actual = job(vec![RawStep { estimate_ms: run_time, ..raw.clone() }]);
            // One account of ten sends a third of the jobs.
            let account = if rng.u32(0..3) == 0 { 0 } else { rng.usize(1..ACCOUNTS) };
            let account = if with_quotas { account_name(account) } else { NO_ACCOUNT.to_owned() };
            cell.submit_for(&account, id, QUEUES[kind], job(vec![raw]));
            cell.specs.insert(JobId(id), actual);
            kinds.insert(JobId(id), kind);
        }
        cell.run(5);
        for event in cell.engine.take_events() {
            match event {
                Event::TaskStarting { task, age, .. } => {
                    first_starts.entry(task.step.job).or_insert(age.0);
                }
                Event::AdviceAnswered { step, allowed: Some(_), .. } => {
                    out.answers += 1;
                    out.answers_by_queue[kinds[&step.job]].0 += 1;
                }
                Event::AdviceUnused { step, .. } => {
                    out.unused += 1;
                    out.answers_by_queue[kinds[&step.job]].1 += 1;
                }
                _ => {}
            }
        }
    }
    for (job, wait) in first_starts {
        out.waits[kinds[&job]].push(wait);
    }
    out.waits.iter_mut().for_each(|w| w.sort_unstable());
    out.submitted = kinds.len();
    let completed = |id: &&JobId| cell.engine.state(**id) == Some(JobState::Completed);
    out.completed = kinds.keys().filter(completed).count();
    out
}

/// Runs the load with several seeds, and returns the sums of what happened.
fn run_bursts(with_quotas: bool, advice_scheduling: bool) -> Outcome {
    let mut sum = Outcome::default();
    for seed in [11, 12] {
        let one = run_burst(seed, with_quotas, advice_scheduling, |_, _| {});
        sum.answers += one.answers;
        sum.unused += one.unused;
        sum.completed += one.completed;
        sum.submitted += one.submitted;
        for kind in 0..3 {
            sum.answers_by_queue[kind].0 += one.answers_by_queue[kind].0;
            sum.answers_by_queue[kind].1 += one.answers_by_queue[kind].1;
            sum.waits[kind].extend(&one.waits[kind]);
            sum.waits[kind].sort_unstable();
        }
    }
    sum
}

#[parameterized(without_quotas = { false }, with_quotas = { true })]
fn fewer_calls_are_in_vain_and_surveys_start_earlier(with_quotas: bool) {
    let without = run_bursts(with_quotas, false);
    let with = run_bursts(with_quotas, true);
    let figures = format!("quotas: {with_quotas}\nwithout: {without}\nwith: {with}");
    eprintln!("{figures}");
    assert_eq!(with.completed, with.submitted, "{figures}");
    assert!(with.unused * without.answers * 4 <= without.unused * with.answers * 3, "{figures}");
    assert!(with.unused_percent() < 10, "{figures}");
    // Surveys wait for the instances that make calls; the others must not wait longer.
    assert!(with.mean_wait(1) * 10 <= without.mean_wait(1) * 9, "{figures}");
    for kind in [0, 2] {
        assert!(with.mean_wait(kind) * 10 <= without.mean_wait(kind) * 11, "{figures}");
    }
}

#[test]
fn instances_that_stop_answering_delay_a_burst_but_starve_no_step() {
    let stop_some = |cell: &mut TestCell, ms: u64| {
        if ms == BURST_MS.start + 2_000 {
            cell.unresponsive_instances = ["s0", "s3"].map(str::to_owned).into();
        }
        if ms == BURST_MS.end {
            cell.unresponsive_instances.clear();
        }
    };
    let with = run_burst(4, false, true, stop_some);
    eprintln!("{with}");
    assert_eq!(with.completed, with.submitted, "{with}");
    assert!(with.unused_percent() < 10, "{with}");
}

#[test]
fn a_new_owner_in_a_burst_makes_calls_only_for_steps_that_start() {
    // The new owner has no advice, and the calls of the earlier one are never answered.
    let mut after_takeover = Stats::default();
    let outcome = run_burst(5, false, true, |cell, ms| {
        let takeover_ms = BURST_MS.start + 6_000;
        if ms == takeover_ms {
            cell.pending_advice.clear();
            cell.take_over();
            configure(cell, true);
        }
        if ms == takeover_ms + 6_000 {
            after_takeover = cell.engine.stats();
        }
    });
    let Stats { asked, used_answers, unused_answers, .. } = after_takeover;
    let figures = format!("asked={asked} used={used_answers} unused={unused_answers}; {outcome}");
    eprintln!("{figures}");
    assert!(used_answers > 0 && unused_answers * 10 < used_answers + unused_answers, "{figures}");
    assert_eq!(outcome.completed, outcome.submitted, "{figures}");
}
