//! Workers that fail every task, in a cell with wide gangs.
//!
//! If 37 of 1,100 workers fail every task for some seconds, two of three gangs of 40 tasks on about
//! 30 workers include one of them. With two attempts per job, 35 of 296 relocations then failed
//! permanently. So gangs must avoid workers whose last task has failed.

mod common;

use common::*;
use hollowford_jobs::*;

/// Returns a cell whose first worker fails every task, and has failed one.
fn cell_with_failing_worker(workers: usize) -> TestCell {
    let mut cell = TestCell::new(workers);
    cell.workers[0].fails_all = true;
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 50)]));
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers[0].starts, 1, "the first worker should be used first");
    cell
}

fn gang(count: u32) -> std::sync::Arc<JobSpec> {
    job(vec![RawStep { gang: true, ..step(count, 7_600, 300) }])
}

#[test]
fn a_gang_avoids_a_worker_whose_last_task_has_failed() {
    let mut cell = cell_with_failing_worker(12);
    // Two members fit on each of the eleven other workers.
    cell.submit(2, LARGE, gang(22));
    cell.run(600);
    assert_eq!(cell.state(2), Some(JobState::Completed));
    assert_eq!(cell.workers[0].starts, 1);
}

#[test]
fn a_gang_that_needs_such_a_worker_starts_there() {
    let mut cell = cell_with_failing_worker(12);
    cell.workers[0].fails_all = false;
    cell.submit(2, LARGE, gang(24));
    cell.run(600);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}
