//! Failed attempts: each counts once, and the last one allowed ends the job.

mod common;

use common::*;
use hollowford_jobs::*;

/// Id of the job whose tasks fail.
const FAILING_JOB: JobId = JobId(1);

/// Returns a cell in which the tasks of that job fail on every worker.
fn cell_with_failing_job(workers: usize) -> TestCell {
    let mut cell = TestCell::new(workers);
    for w in &mut cell.workers {
        w.failing_jobs.insert(FAILING_JOB);
    }
    cell
}

fn starts(cell: &TestCell) -> u64 {
    cell.workers.iter().map(|w| w.starts).sum()
}

#[test]
fn a_job_fails_after_its_attempts() {
    let mut cell = cell_with_failing_job(4);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    cell.run(2_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(starts(&cell), 3);
}

#[test]
fn attempts_that_were_not_stored_count_after_a_takeover() {
    let mut cell = cell_with_failing_job(4);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    cell.run(20);
    cell.store_up = false;
    cell.run(280);
    let before = starts(&cell);
    assert!(before >= 2, "{before} starts");
    cell.store_up = true;
    cell.take_over();
    cell.run(3_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(starts(&cell), 3);
}

#[test]
fn an_attempt_that_is_reported_again_counts_once() {
    let mut cell = cell_with_failing_job(4);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    while starts(&cell) < 2 {
        cell.run(5);
    }
    // The failure may be in the store by now, and the worker still lists it.
    for _ in 0..3 {
        cell.take_over();
        cell.run(20);
    }
    assert!(cell.state(1) == Some(JobState::Queued) || cell.state(1) == Some(JobState::Running));
    cell.run(3_000);
    assert_eq!(starts(&cell), 3);
}

#[test]
fn a_gang_counts_one_attempt_for_all_its_members() {
    let mut cell = cell_with_failing_job(4);
    let gang = RawStep { gang: true, ..step(4, 4_000, 100) };
    cell.submit(1, LARGE, job(vec![gang]));
    cell.run(3_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(starts(&cell), 12);
}

#[test]
fn a_task_returns_to_the_worker_where_it_failed_while_no_other_has_free_capacity() {
    let mut cell = TestCell::new(2);
    cell.submit(1, QUICK, job(vec![step(1, 16_000, 60_000)]));
    cell.run(50);
    let free =
        cell.workers.iter().position(|w| w.running.is_empty()).expect("a worker should be free");
    cell.workers[free].fails_all = true;
    cell.submit(2, QUICK, job(vec![step(2, 1_000, 100)]));
    cell.run(150);
    cell.workers[free].fails_all = false;
    cell.run(4_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

#[test]
fn a_failed_task_delays_no_other_task_of_its_step() {
    let mut cell = TestCell::new(2);
    cell.submit(1, QUICK, job(vec![step(1, 16_000, 60_000)]));
    cell.run(50);
    let free =
        cell.workers.iter().position(|w| w.running.is_empty()).expect("a worker should be free");
    cell.workers[free].fails_all = true;
    // Two of the four tasks fit at a time: the first two fail, and the others have yet to start.
    cell.submit(2, QUICK, job(vec![step(4, 8_000, 100)]));
    cell.run(115);
    cell.workers[free].fails_all = false;
    cell.run(300);
    assert_eq!(cell.engine.stats().done, 2);
}

#[test]
fn a_task_may_return_to_the_only_worker_although_it_failed_there() {
    let mut cell = TestCell::new(1);
    cell.workers[0].fails_all = true;
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    cell.run(300);
    cell.workers[0].fails_all = false;
    cell.run(4_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

/// All processes are killed in an outage of the store. The next owner claims the workers before it
/// has read the configuration, so it learns of the failures without knowing how many the queue
/// allows.
#[test]
fn attempts_reported_before_the_queues_are_known_count() {
    let mut cell = cell_with_failing_job(4);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    cell.run(20);
    cell.store_up = false;
    cell.run(1_000);
    assert_eq!(starts(&cell), 3);
    cell.store_up = true;
    cell.take_over_without_queues();
    cell.run(200);
    cell.set_queues(cell.queues.clone());
    cell.run(3_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(starts(&cell), 3);
}
