//! Workers that fail all that they start, in a cell of wide gangs.
//!
//! The pattern: 37 of 1,100 workers fail everything for some seconds (trouble-1 of the users'
//! large deployment). A gang of 40 tasks holds some 30 workers, so that two of three gangs meet
//! one of them, and a job has two attempts: 35 of 296 relocations failed for good.

mod common;

use common::*;
use hollowford_jobs::*;

/// A cell whose first worker fails what it starts, and has done so once.
fn with_a_failing_worker(workers: usize) -> TestCell {
    let mut cell = TestCell::new(workers);
    cell.workers[0].fails_all = true;
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 50)]));
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers[0].starts, 1, "the first worker is taken first");
    cell
}

fn gang(count: u32) -> std::sync::Arc<JobSpec> {
    job(vec![RawStep { gang: true, ..step(count, 7_600, 300) }])
}

#[test]
fn a_gang_keeps_off_a_worker_whose_last_task_has_failed() {
    let mut cell = with_a_failing_worker(12);
    // Two on each of the eleven others.
    cell.submit(2, LARGE, gang(22));
    cell.run(600);
    assert_eq!(cell.state(2), Some(JobState::Completed));
    assert_eq!(cell.workers[0].starts, 1);
}

#[test]
fn a_gang_that_needs_such_a_worker_starts_there_all_the_same() {
    let mut cell = with_a_failing_worker(12);
    cell.workers[0].fails_all = false;
    cell.submit(2, LARGE, gang(24));
    cell.run(600);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}
