//! Learned run times: estimates that are far off, workers of different speeds, and a takeover.

#![allow(clippy::expect_used)]

mod common;

use common::*;
use fastrand::Rng;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// Spread of the logarithm of the estimates around the true run times.
const ESTIMATE_SIGMA: f64 = 0.9;
/// Percentage of the tasks that take [`LONG_FACTOR`] times as long.
const LONG_PERCENT: u32 = 3;
const LONG_FACTOR: u64 = 7;
/// Every so many workers one is at half speed.
const SLOW_EVERY: usize = 4;
const CHECK_MS: u64 = 700;
const BATCH_MS: u64 = 5_000;
const STRETCH: f64 = 1.5;
const SLACK_MS: u64 = 250;
/// Key of the row of learned run times.
const ROW: &str = "r";

/// Returns a normally distributed number.
fn normal(rng: &mut Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

/// A cell with checks, whose estimates are off, beside batch tasks, and workers of two speeds.
struct UnevenLoad {
    cell: TestCell,
    rng: Rng,
    next_id: u64,
    /// Open checks with the time after which they are late.
    open: Vec<(u64, Millis)>,
    checks: usize,
    late: usize,
}

impl UnevenLoad {
    fn new(workers: usize, seed: u64, features: Features) -> UnevenLoad {
        let mut cell = TestCell::new(workers);
        cell.features = features;
        cell.engine.set_features(features);
        for w in cell.workers.iter_mut().step_by(SLOW_EVERY) {
            w.slowdown = 2;
        }
        let checks = Queue { stretch: STRETCH, slack: Millis(SLACK_MS), ..queue(QUICK, 0, None) };
        let batch = Queue { stretch: 4.0, slack: Millis(3_000), ..queue(LARGE, 1, None) };
        cell.set_queues(vec![checks, batch]);
        let rng = Rng::with_seed(seed);
        UnevenLoad { cell, rng, next_id: 1, open: Vec::new(), checks: 0, late: 0 }
    }

    /// Submits a job of one step and returns the longest of its tasks' run times on a fast worker.
    fn submit(&mut self, queue: &str, count: u32, cpu_milli: u32, ms: u64) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let estimate = ms as f64 * (ESTIMATE_SIGMA * normal(&mut self.rng)).exp();
        let step_key = StepKey { job: JobId(id), round: 0, step: 0 };
        let mut longest = 0;
        for index in 0..count {
            let is_long = self.rng.u32(0..100) < LONG_PERCENT;
            let run_time = if is_long { ms * LONG_FACTOR } else { ms };
            longest = longest.max(run_time);
            let mut run_times = self.cell.run_times.lock().expect("no thread should panic");
            run_times.insert(step_key.task(index), run_time);
        }
        self.cell.submit(id, queue, job(vec![step(count, cpu_milli, estimate.max(1.0) as u64)]));
        longest
    }

    fn submit_check(&mut self) {
        let longest = self.submit(QUICK, 3, 2_000, CHECK_MS);
        let objective = Millis((longest as f64 * STRETCH) as u64 + SLACK_MS);
        self.checks += 1;
        self.open.push((self.next_id - 1, self.cell.now + objective));
    }

    /// Runs for `ms` with these numbers of jobs a second.
    fn run(&mut self, ms: u64, checks_per_s: u32, batches_per_s: u32) {
        let until = self.cell.now + Millis(ms);
        while self.cell.now < until {
            if self.rng.u32(0..100) < checks_per_s {
                self.submit_check();
            }
            if self.rng.u32(0..100) < batches_per_s {
                self.submit(LARGE, 5, 4_000, BATCH_MS);
            }
            self.cell.run(10);
            let (cell, now) = (&self.cell, self.cell.now);
            let mut late = 0;
            self.open.retain(|&(id, due)| {
                if cell.state(id) == Some(JobState::Completed) {
                    return false;
                }
                late += usize::from(now > due);
                now <= due
            });
            self.late += late;
        }
    }

    /// Starts counting anew.
    fn reset_counts(&mut self) {
        self.open.clear();
        (self.checks, self.late) = (0, 0);
    }
}

fn without_learning() -> Features {
    Features { learned_run_times: false, ..Features::default() }
}

/// Returns the late checks and all checks of a load of 40 workers.
fn late_checks(seed: u64, features: Features) -> (usize, usize) {
    let mut load = UnevenLoad::new(40, seed, features);
    load.run(20_000, 15, 2);
    load.reset_counts();
    load.run(40_000, 15, 2);
    (load.late, load.checks)
}

/// Returns a cell that has learned that a quarter of its workers is slow.
fn learned_load(seed: u64) -> UnevenLoad {
    let mut load = UnevenLoad::new(16, seed, Features::default());
    load.run(30_000, 8, 1);
    load
}

/// Returns the factor of a queue and the number of its samples.
fn factor(cell: &TestCell, queue: &str) -> Option<(f64, u64)> {
    let learned = cell.engine.learned_run_times();
    let known = learned.queues.iter().find(|q| &*q.queue == queue)?;
    Some((known.factor, known.samples))
}

/// Returns the slowness of the slowest worker.
fn max_slowness(cell: &TestCell) -> f32 {
    cell.engine.learned_run_times().slowness.expect("there should be workers")[4]
}

/// Runs `jobs` jobs of one task each, one after the other, with this estimate and run time.
fn run_jobs(cell: &mut TestCell, first_id: u64, jobs: u64, estimate_ms: u64, run_ms: u64) {
    for id in first_id..first_id + jobs {
        let task = StepKey { job: JobId(id), round: 0, step: 0 }.task(0);
        cell.run_times.lock().expect("no thread should panic").insert(task, run_ms);
        cell.submit(id, QUICK, job(vec![step(1, 1_000, estimate_ms)]));
        cell.run(run_ms + 20);
        assert_eq!(cell.state(id), Some(JobState::Completed));
    }
}

/// Returns the worker of every start that was ordered, with its task.
fn starts(cell: &TestCell) -> Vec<(TaskKey, WorkerLife)> {
    let start = |o: &Order| match o {
        Order::Worker { call: WorkerCall::Start { task, worker, .. }, .. } => {
            Some((*task, worker.clone()))
        }
        _ => None,
    };
    cell.executed_orders.iter().filter_map(start).collect()
}

/// Guards against placements that ignore the speed of workers and take estimates for run times:
/// checks then end up on slow workers and are late.
#[test]
fn fewer_checks_are_late_with_learned_run_times() {
    let run = |seed, features| std::thread::spawn(move || late_checks(seed, features));
    let runs: Vec<_> =
        (1..=3).map(|s| (run(s, Features::default()), run(s, without_learning()))).collect();
    let (mut with, mut without) = (0, 0);
    for (on, off) in runs {
        let (on, off) = (on.join().expect("run should end"), off.join().expect("run should end"));
        println!("late {}/{} on, {}/{} off", on.0, on.1, off.0, off.1);
        with += on.0;
        without += off.0;
    }
    assert!(
        with * 4 <= without,
        "{with} checks are late with learned run times, {without} without"
    );
}

/// Guards against decisions that change although there is nothing to learn.
#[test]
fn right_estimates_and_equal_workers_change_no_decision() {
    let run = |features| {
        let mut cell = TestCell::new(8);
        cell.features = features;
        cell.engine.set_features(features);
        let mut rng = Rng::with_seed(7);
        for id in 1..400 {
            let (queue, ms) = if rng.bool() { (QUICK, 300) } else { (LARGE, 2_000) };
            let mut tasks = step(rng.u32(1..6), 2_000, ms);
            tasks.gang = rng.u32(0..4) == 0;
            cell.submit(id, queue, job(vec![tasks]));
            cell.run(rng.u64(1..20) * 10);
        }
        starts(&cell)
    };
    let (on, off) = (run(Features::default()), run(without_learning()));
    assert!(on.len() > 1_000);
    assert!(on == off, "the starts should be the same");
}

/// Guards against conclusions from a few runs, and against a model that never learns.
#[test]
fn a_few_samples_change_little_and_many_are_learned() {
    let mut cell = TestCell::new(2);
    run_jobs(&mut cell, 1, 3, 100, 300);
    let (few, samples) = factor(&cell, QUICK).expect("the queue should be known");
    assert_eq!(samples, 3);
    assert!(few < 1.25, "factor {few} after three samples");
    run_jobs(&mut cell, 10, 150, 100, 300);
    let (many, _) = factor(&cell, QUICK).expect("the queue should be known");
    assert!(many > 2.5 && many < 3.2, "factor {many} after 153 samples");
}

/// Guards against single long tasks that lengthen the predictions of the others, or make their
/// workers count as slow.
#[test]
fn outliers_change_neither_the_queue_nor_the_workers() {
    let mut cell = TestCell::new(4);
    for round in 0..50 {
        // One task on each worker.
        for id in round * 4 + 1..=round * 4 + 4 {
            let run_ms = if id % 33 == 0 { 200 * LONG_FACTOR } else { 200 };
            let task = StepKey { job: JobId(id), round: 0, step: 0 }.task(0);
            cell.run_times.lock().expect("no thread should panic").insert(task, run_ms);
            cell.submit(id, QUICK, job(vec![step(1, 16_000, 200)]));
        }
        cell.run(200 * LONG_FACTOR + 100);
    }
    let (factor, samples) = factor(&cell, QUICK).expect("the queue should be known");
    assert_eq!(samples, 200);
    assert!((0.97..1.03).contains(&factor), "factor {factor}");
    assert_eq!(max_slowness(&cell), 1.0);
}

/// Guards against gangs that end late because one member is on a slow worker.
#[test]
fn a_gang_runs_on_workers_of_equal_and_high_speed() {
    let mut load = learned_load(3);
    load.cell.run(60_000);
    // The slow workers are nearly full, and the fullest workers go first at equal speed.
    let tasks = |count| RawStep {
        resources: hollowford_core::Resources::new(4_000, 16_000, 0),
        ..step(count, 4_000, 60_000)
    };
    let is_slow = |w: &worker::SimWorker| w.slowdown > 1;
    load.cell.workers.iter_mut().for_each(|w| w.listed = is_slow(w));
    load.cell.update_worker_list();
    load.cell.submit(1_000_000, LARGE, job(vec![RawStep { max_per_worker: 3, ..tasks(12) }]));
    load.cell.run(100);
    load.cell.workers.iter_mut().for_each(|w| w.listed = true);
    load.cell.update_worker_list();
    load.cell.run(100);
    load.cell.submit(1_000_001, LARGE, job(vec![RawStep { gang: true, ..tasks(8) }]));
    load.cell.run(100);
    let is_in = |job: u64| move |t: &&TaskKey| t.step.job == JobId(job);
    let count = |id, only_slow: bool| -> usize {
        let workers = load.cell.workers.iter().filter(|w| !only_slow || is_slow(w));
        workers.map(|w| w.running.keys().filter(is_in(id)).count()).sum()
    };
    assert_eq!(count(1_000_000, true), 12, "tasks that fill the slow workers");
    assert_eq!((count(1_000_001, false), count(1_000_001, true)), (8, 0), "all and slow members");
}

/// Guards against runs whose duration says nothing: members of a gang count once.
#[test]
fn a_gang_gives_one_sample() {
    let mut cell = TestCell::new(4);
    let gang = RawStep { gang: true, ..step(8, 4_000, 200) };
    cell.submit(1, QUICK, job(vec![gang]));
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(factor(&cell, QUICK).map(|(_, samples)| samples), Some(1));
}

/// Guards against a new owner that has to learn everything again.
#[test]
fn a_new_owner_knows_what_was_learned() {
    let mut load = learned_load(1);
    // The row is written with others, at most every 5 s.
    load.run(6_000, 8, 1);
    assert!(max_slowness(&load.cell) > 1.7);
    let size = load.cell.rows[ROW].len();
    assert!(size < 1_000, "the row has {size} bytes");
    load.cell.take_over();
    let slowest = max_slowness(&load.cell);
    assert!((1.7..2.3).contains(&slowest), "slowness {slowest} after the takeover");
    let (_, samples) = factor(&load.cell, QUICK).expect("the queue should be known");
    assert!(samples > 100);
}

/// Guards against a new owner that needs the row: rows of earlier releases don't contain it.
#[test]
fn a_new_owner_without_the_row_learns_again() {
    let mut load = learned_load(2);
    load.cell.rows.remove(ROW);
    load.cell.take_over();
    assert_eq!(max_slowness(&load.cell), 1.0);
    assert_eq!(factor(&load.cell, QUICK), None);
    load.run(25_000, 8, 1);
    assert!(max_slowness(&load.cell) > 1.7);
}

/// Guards against a partition that isn't served because of a row that it can do without.
#[test]
fn an_unreadable_row_is_logged_and_ignored() {
    let mut rng = Rng::with_seed(5);
    for length in [1, 2, 7, 40, 300] {
        let mut cell = TestCell::new(2);
        let garbage: Vec<u8> = std::iter::repeat_with(|| rng.u8(..) | 0x80).take(length).collect();
        cell.rows.insert(ROW.to_owned(), garbage);
        cell.take_over();
        let is_reported = |e: &Event| matches!(e, Event::RunTimesUnreadable { .. });
        assert!(cell.engine.take_events().iter().any(is_reported), "{length} bytes");
        cell.submit(1, QUICK, job(vec![step(3, 1_000, 200)]));
        cell.run(7_000);
        assert_eq!(cell.state(1), Some(JobState::Completed));
    }
}
