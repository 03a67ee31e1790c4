//! Jobs whose steps depend on many others.
//!
//! Guards against an owner that stops answering because one accepted job makes it follow each path
//! through the job's steps, of which there may be billions.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use fastrand::Rng;
use hollowford_jobs::*;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use yare::parameterized;

/// Number of steps of the largest job.
const MAX_STEPS: u32 = 64;
/// Run time of a task.
const RUN_MS: u64 = 20;
/// Time after which a computation counts as endless. Far longer than needed, since the machine may
/// be busy.
const ENDLESS: Duration = Duration::from_secs(60);

/// Runs a computation in a thread of its own, so that an endless one fails the test.
fn within_time<T: Send + 'static>(compute: impl FnOnce() -> T + Send + 'static) -> T {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || tx.send(compute()));
    rx.recv_timeout(ENDLESS).expect("the computation should end")
}

fn step_after(depends_on: Vec<u32>) -> RawStep {
    RawStep { depends_on, ..step(1, 100, RUN_MS) }
}

/// Returns steps in stages, each depending on all steps of the stage before.
fn stages(stages: u32, width: u32) -> Vec<RawStep> {
    let before = |stage: u32| stage.saturating_sub(1) * width..stage * width;
    let stage = |stage| (0..width).map(move |_| step_after(before(stage).collect()));
    (0..stages).flat_map(stage).collect()
}

/// Returns steps that each depend on all earlier ones.
fn chain(steps: u32) -> Vec<RawStep> {
    (0..steps).map(|n| step_after((0..n).collect())).collect()
}

/// Returns steps that depend on each earlier one with probability `density`, by chance.
fn random_graph(rng: &mut Rng, steps: u32, density: f64) -> Vec<RawStep> {
    let mut step = |n| {
        let depends_on = (0..n).filter(|_| rng.f64() < density).collect();
        RawStep { estimate_ms: rng.u64(0..1_000), ..step_after(depends_on) }
    };
    (0..steps).map(&mut step).collect()
}

#[parameterized(
    wide_stages = { stages(16, 4), 16 },
    few_wide_stages = { stages(8, 8), 8 },
    pairs = { stages(32, 2), 32 },
    two_stages = { stages(2, 32), 2 },
    line = { stages(64, 1), 64 },
    chain_of_all_earlier = { chain(MAX_STEPS), 64 },
)]
fn a_job_with_many_paths_runs_to_its_end(steps: Vec<RawStep>, longest_path: u64) {
    let count = steps.len() as u64;
    let (path_ms, state, starts) = within_time(move || {
        let spec = job(steps);
        let path_ms = spec.critical_path_ms();
        let mut cell = TestCell::new(2);
        cell.submit(1, LARGE, spec);
        cell.run(longest_path * (RUN_MS + 300) + 1_000);
        (path_ms, cell.state(1), cell.total_starts())
    });
    assert_eq!(path_ms, longest_path * RUN_MS);
    assert_eq!(state, Some(JobState::Completed));
    assert_eq!(starts, count);
}

// The owner answers others while such a job waits, also one that has recovered it.
#[test]
fn a_job_with_many_paths_delays_no_other_job() {
    let (state, state_of_next) = within_time(|| {
        let mut cell = TestCell::new(1);
        cell.submit(1, LARGE, job(vec![step(16, 1_000, 2_000)]));
        cell.run(100);
        cell.submit(2, LARGE, job(stages(16, 4)));
        cell.submit(3, QUICK, job(vec![step(1, 100, RUN_MS)]));
        cell.run(3_000);
        let state = cell.state(3);
        cell.take_over();
        cell.submit(4, QUICK, job(vec![step(1, 100, RUN_MS)]));
        cell.run(3_000);
        (state, cell.state(4))
    });
    assert_eq!(state, Some(JobState::Completed));
    assert_eq!(state_of_next, Some(JobState::Completed));
}

// Passes use predicted run times in place of the estimates there.
#[test]
fn a_job_with_many_paths_in_a_queue_with_learned_run_times_runs_to_its_end() {
    let state = within_time(|| {
        let mut cell = TestCell::new(2);
        cell.run_times.lock().expect("no thread should panic").extend((0..200).map(|n| {
            let step = StepKey { job: JobId(100 + n), round: 0, step: 0 };
            (step.task(0), 5 * RUN_MS)
        }));
        for n in 0..200 {
            cell.submit(100 + n, LARGE, job(vec![step(1, 1_000, RUN_MS)]));
            cell.run(20);
        }
        cell.run(2_000);
        let learned = cell.engine.learned_run_times().queues;
        assert!(learned.iter().any(|q| q.factor > 2.0), "{learned:?}");
        cell.submit(1, LARGE, job(chain(MAX_STEPS)));
        cell.run(30_000);
        cell.state(1)
    });
    assert_eq!(state, Some(JobState::Completed));
}

/// Returns the critical path from each step by following every path.
fn all_paths_ms(steps: &[RawStep], from: usize) -> u64 {
    let after = |i: &usize| steps[*i].depends_on.contains(&(from as u32));
    let rest = (from + 1..steps.len()).filter(after).map(|i| all_paths_ms(steps, i)).max();
    steps[from].estimate_ms + rest.unwrap_or(0)
}

#[test]
fn critical_paths_are_the_longest_of_all_paths() {
    let mut rng = Rng::with_seed(55);
    for graph in 0..400 {
        let density = rng.f64();
        let count = rng.u32(1..=10);
        let steps = random_graph(&mut rng, count, density);
        let spec = job(steps.clone());
        let expected: Vec<u64> = (0..steps.len()).map(|i| all_paths_ms(&steps, i)).collect();
        let paths: Vec<u64> = (0..steps.len()).map(|i| spec.critical_path_from_ms(i)).collect();
        assert_eq!(paths, expected, "graph {graph}: {steps:?}");
        assert_eq!(Some(spec.critical_path_ms()), expected.into_iter().max(), "graph {graph}");
    }
}

// A body of 262,144 bytes has room for some 120,000 of them, which each pass would read.
#[test]
fn repeated_dependencies_count_once() {
    let repeated = step_after([1, 0].repeat(60_000));
    let spec = job(vec![step_after(vec![]), step_after(vec![]), repeated]);
    assert_eq!(spec.steps[2].depends_on, [0, 1]);
    assert!(encode_spec(&spec).len() < 1_000);
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, spec);
    cell.run(2_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

// Estimates are the caller's and may be any number.
#[test]
fn estimates_without_bound_are_added_without_overflow() {
    let endless = |depends_on| RawStep { estimate_ms: u64::MAX, ..step_after(depends_on) };
    let spec = job(vec![endless(vec![]), endless(vec![0])]);
    assert_eq!(spec.critical_path_from_ms(0), u64::MAX);
    let mut cell = TestCell::new(1);
    let run_time = StepKey { job: JobId(1), round: 0, step: 0 }.task(0);
    cell.run_times.lock().expect("no thread should panic").insert(run_time, RUN_MS);
    cell.submit(1, LARGE, spec);
    cell.submit(2, LARGE, job(vec![step(1, 100, RUN_MS)]));
    cell.run(2_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}
