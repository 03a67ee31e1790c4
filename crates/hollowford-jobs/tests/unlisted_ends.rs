//! Workers with more ends than one look lists, since an outage of the store keeps the owner from
//! acknowledging them.
//!
//! Guards against tasks that are done and start again because their ends are not listed yet.
#![allow(clippy::expect_used)]

mod common;

use common::worker::{MAX_ENDS_PER_LOOK, SimWorker};
use common::*;
use hollowford_jobs::*;
use yare::parameterized;

/// Run time of a task.
const RUN_MS: u64 = 500;
/// Each worker runs 80 such tasks at a time.
const TASK_CPU_MILLI: u32 = 200;
/// Tasks that end on a worker within a second.
const ENDS_PER_S: u64 = 160;
const TASKS_PER_JOB: u32 = 60;

/// A cell in an outage of the store that began when all of its jobs were accepted.
fn cell_in_an_outage(workers: usize, jobs: u64) -> TestCell {
    let mut cell = TestCell::new(workers);
    begin_outage(&mut cell, jobs);
    cell
}

/// Submits jobs, and takes the store down once all of them are accepted.
fn begin_outage(cell: &mut TestCell, jobs: u64) {
    for id in 1..=jobs {
        cell.submit(id, LARGE, job(vec![step(TASKS_PER_JOB, TASK_CPU_MILLI, RUN_MS)]));
    }
    while !(1..=jobs).all(|id| cell.engine.is_durable(JobId(id)) == Some(true)) {
        cell.run(5);
    }
    cell.store_up = false;
}

fn tasks(jobs: u64) -> u64 {
    jobs * u64::from(TASKS_PER_JOB)
}

fn assert_all_completed(cell: &TestCell, jobs: u64) {
    for id in 1..=jobs {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
    assert_eq!(cell.engine.stuck_tasks(), []);
    assert_eq!(cell.engine.stats().vanished, 0);
}

/// Returns the most ends that a worker keeps.
fn most_ends(cell: &TestCell) -> usize {
    cell.workers.iter().map(|w| w.ended.len()).max().unwrap_or(0)
}

#[parameterized(
    short = { 2, 40, 3_000 },
    of_seven_seconds = { 2, 40, 7_000 },
    of_twenty_seconds = { 2, 60, 20_000 },
    on_one_worker = { 1, 30, 12_000 },
    on_four_workers = { 4, 80, 7_000 },
)]
fn no_task_starts_twice_in_an_outage(workers: usize, jobs: u64, outage_ms: u64) {
    let mut cell = cell_in_an_outage(workers, jobs);
    cell.run(outage_ms);
    cell.store_up = true;
    cell.run(20_000);
    assert_all_completed(&cell, jobs);
    assert_eq!(cell.total_starts(), tasks(jobs));
}

// The room of tasks that have ended is known to be free, whether or not their ends are listed.
#[test]
fn tasks_go_on_being_started_although_ends_are_not_listed() {
    let mut cell = cell_in_an_outage(2, 80);
    cell.run(12_000);
    assert!(most_ends(&cell) > 2 * MAX_ENDS_PER_LOOK, "{} ends", most_ends(&cell));
    // Four fifths of what two workers can run in that time.
    let expected = 12 * 2 * ENDS_PER_S * 4 / 5;
    assert!(cell.total_starts() >= expected, "{} starts", cell.total_starts());
}

// Up to 500 ends are listed in whole, so nothing has to wait.
#[parameterized(
    below_the_limit = { 499 },
    at_the_limit = { 500 },
    above_the_limit = { 501 },
    twice_the_limit = { 1_000 },
    far_above_it = { 1_999 },
)]
fn ends_around_the_limit_are_all_processed(count: u32) {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(count, 100, 100)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(15_000);
    assert_eq!(most_ends(&cell), count as usize);
    cell.store_up = true;
    cell.run(3_000);
    assert_all_completed(&cell, 1);
    assert_eq!(cell.total_starts(), u64::from(count));
    assert_eq!(most_ends(&cell), 0, "ends that are not acknowledged");
}

// The new owner knows of no end that is not listed, and must not take its task for unstarted.
#[parameterized(
    when_the_store_is_back = { 0 },
    with_another_outage_longer_than_a_lease = { 9_000 },
)]
fn a_new_owner_starts_no_task_whose_end_is_not_listed(second_outage_ms: u64) {
    let jobs = 40;
    let mut cell = cell_in_an_outage(2, jobs);
    cell.run(7_000);
    assert!(most_ends(&cell) > MAX_ENDS_PER_LOOK);
    let started = cell.total_starts();
    cell.take_over();
    cell.run(second_outage_ms);
    let in_second_outage = cell.total_starts() - started;
    assert_eq!(in_second_outage, 0, "starts of tasks that may have ended");
    cell.store_up = true;
    cell.run(30_000);
    assert_all_completed(&cell, jobs);
    assert_eq!(cell.total_starts(), tasks(jobs));
}

#[test]
fn a_job_cancelled_in_an_outage_leaves_nothing_behind() {
    let jobs = 40;
    let mut cell = cell_in_an_outage(2, jobs);
    cell.run(5_000);
    for id in 1..=jobs {
        cell.engine.cancel(JobId(id), cell.now);
    }
    cell.run(2_000);
    assert_eq!(cell.running_tasks(), 0);
    cell.store_up = true;
    cell.run(5_000);
    assert!((1..=jobs).all(|id| cell.state(id).is_some_and(JobState::is_final)));
    assert_eq!(most_ends(&cell), 0);
    cell.submit(100, LARGE, job(vec![step(160, TASK_CPU_MILLI, RUN_MS)]));
    cell.run(2_000);
    assert_eq!(cell.state(100), Some(JobState::Completed), "the room is not free again");
}

// The ends are lost with the worker, so the tasks have to run again. They had ended before, so none
// of them counts as the cause of the crash.
#[test]
fn a_worker_that_crashes_with_unlisted_ends_blames_none_of_their_tasks() {
    let jobs = 20;
    let mut cell = cell_in_an_outage(2, jobs);
    cell.run(8_000);
    assert!(most_ends(&cell) > MAX_ENDS_PER_LOOK);
    assert_eq!(cell.running_tasks(), 0);
    cell.workers[0].restart("w9");
    cell.update_worker_list();
    cell.run(1_000);
    assert_eq!(cell.engine.stats().crashes, 1);
    cell.store_up = true;
    cell.run(20_000);
    for id in 1..=jobs {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
    assert_eq!(cell.engine.stats().crashing_jobs, 0);
    assert_eq!(cell.engine.stuck_tasks(), []);
}

// What can't be known is given up with the lease, as for any other task of a silent worker.
#[test]
fn tasks_of_a_silent_worker_with_unlisted_ends_are_given_up_with_its_lease() {
    let jobs = 20;
    let mut cell = cell_in_an_outage(2, jobs);
    cell.run(8_000);
    assert!(most_ends(&cell) > MAX_ENDS_PER_LOOK);
    cell.workers[0].reachable = false;
    cell.store_up = true;
    cell.run(20_000);
    for id in 1..=jobs {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
    assert_eq!(cell.engine.stuck_tasks(), []);
}

// A list that is not cut names every end, so a run that it lacks has vanished.
#[test]
fn a_run_that_a_complete_list_lacks_starts_again() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(510, 100, 100)]));
    cell.submit(2, LARGE, job(vec![step(1, 100, 60_000)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(3_000);
    let task = StepKey { job: JobId(2), round: 0, step: 0 }.task(0);
    assert!(cell.workers[0].running.remove(&task).is_some());
    cell.run(1_000);
    assert_eq!(cell.run_count(task), 0, "it may have ended");
    cell.store_up = true;
    cell.run(2_000);
    assert_eq!(cell.run_count(task), 1);
    assert_eq!(cell.engine.stats().vanished, 1);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn gangs_that_end_in_an_outage_run_once() {
    let mut cell = TestCell::new(2);
    let gangs = 150;
    for id in 1..=gangs {
        let gang = RawStep { gang: true, ..step(8, TASK_CPU_MILLI, RUN_MS) };
        cell.submit(id, LARGE, job(vec![gang]));
    }
    cell.run(100);
    cell.store_up = false;
    cell.run(10_000);
    assert!(most_ends(&cell) > MAX_ENDS_PER_LOOK);
    cell.store_up = true;
    cell.run(10_000);
    assert_all_completed(&cell, gangs);
    assert_eq!(cell.total_starts(), gangs * 8);
}

/// Returns a cell in an outage with a third worker, which runs one task at a time, so that its list
/// is whole: a new owner can start tasks there that have ended on the other two.
fn cell_with_a_small_worker(jobs: u64) -> TestCell {
    let mut cell = TestCell::new(3);
    cell.workers[2].capacity.cpu_milli = TASK_CPU_MILLI;
    cell.update_worker_list();
    begin_outage(&mut cell, jobs);
    cell.run(20_000);
    assert!(cell.workers[0].ended.len() > 2 * MAX_ENDS_PER_LOOK);
    assert!((1..MAX_ENDS_PER_LOOK).contains(&cell.workers[2].ended.len()));
    cell
}

/// Lets the store commit for one step of the clock now and then, so that ends are acknowledged
/// slowly.
fn run_with_a_slow_store(cell: &mut TestCell, commits: u32) {
    for _ in 0..commits {
        cell.store_up = true;
        cell.run(5);
        cell.store_up = false;
        cell.run(400);
    }
}

// Tasks of earlier owners settle after 5.1 s at the latest, unless a worker may still list ends.
#[test]
fn a_new_owner_starts_no_task_elsewhere_whose_end_is_not_listed() {
    let jobs = 100;
    let mut cell = cell_with_a_small_worker(jobs);
    cell.take_over();
    cell.run(6_000);
    run_with_a_slow_store(&mut cell, 10);
    cell.store_up = true;
    cell.run(30_000);
    assert_all_completed(&cell, jobs);
    assert_eq!(cell.total_starts(), tasks(jobs));
}

// Entries may be removed while the store is down, and single answers are lost.
#[test]
fn an_unlisted_worker_that_loses_an_answer_is_not_forgotten_before_its_ends_are_listed() {
    let jobs = 100;
    let mut cell = cell_with_a_small_worker(jobs);
    cell.take_over();
    cell.run(6_000);
    for w in &mut cell.workers[..2] {
        w.listed = false;
    }
    cell.update_worker_list();
    for lost in [true, false] {
        cell.workers[..2].iter_mut().for_each(|w| w.drops_answers = lost);
        cell.run(400);
    }
    cell.workers.iter_mut().for_each(|w| w.listed = true);
    cell.update_worker_list();
    run_with_a_slow_store(&mut cell, 10);
    cell.store_up = true;
    cell.run(30_000);
    assert_all_completed(&cell, jobs);
    assert_eq!(cell.total_starts(), tasks(jobs));
}

// Its crash record would otherwise wait for the outcome of a run that nobody tracks.
#[test]
fn a_task_with_a_crash_record_goes_on_after_its_unlisted_end_is_lost() {
    let mut cell = TestCell::new(2);
    let (suspects, jobs) = (200, 30);
    cell.submit(suspects, LARGE, job(vec![step(8, TASK_CPU_MILLI, 6_000)]));
    cell.run(1_000);
    for (i, id) in ["w8", "w9"].iter().enumerate() {
        cell.workers[i].restart(id);
    }
    cell.update_worker_list();
    cell.run(1_000);
    assert_eq!(cell.running_tasks(), 8, "the tasks should run again");
    for id in 1..=jobs {
        cell.submit(id, LARGE, job(vec![step(TASKS_PER_JOB, TASK_CPU_MILLI, RUN_MS)]));
    }
    cell.run(100);
    cell.store_up = false;
    cell.run(10_000);
    assert_eq!(cell.running_tasks(), 0);
    assert!(cell.workers.iter().all(|w| w.ended.len() > MAX_ENDS_PER_LOOK));
    cell.workers.iter_mut().for_each(|w| w.reachable = false);
    cell.run(6_000);
    assert_eq!(cell.engine.stuck_tasks(), []);
    cell.workers.push(SimWorker::new(5, cell.now));
    cell.update_worker_list();
    cell.store_up = true;
    cell.run(30_000);
    assert_eq!(cell.state(suspects), Some(JobState::Completed));
}

// When such a task ended is unknown: it may have been long before its end was listed.
#[test]
fn no_run_time_is_learned_from_an_end_that_is_listed_late() {
    let mut cell = cell_in_an_outage(2, 60);
    cell.run(20_000);
    cell.store_up = true;
    cell.run(20_000);
    let learned = cell.engine.learned_run_times().queues;
    assert!(learned.iter().any(|q| q.samples > 100), "{learned:?}");
    assert!(learned.iter().all(|q| q.factor < 1.5), "{learned:?}");
}

// Answers may overtake each other, so a list may lack a run that a later one has.
#[test]
fn a_run_that_is_listed_again_goes_on() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(510, 100, 100)]));
    cell.submit(2, LARGE, job(vec![step(1, 100, 60_000)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(3_000);
    let task = StepKey { job: JobId(2), round: 0, step: 0 }.task(0);
    let run = cell.workers[0].running.remove(&task).expect("it should run");
    cell.run(500);
    cell.workers[0].running.insert(task, run);
    cell.run(2_000);
    assert_eq!(cell.run_count(task), 1);
    cell.store_up = true;
    cell.run(2_000);
    assert_eq!(cell.run_count(task), 1);
    assert_eq!(cell.total_starts(), 511);
}
