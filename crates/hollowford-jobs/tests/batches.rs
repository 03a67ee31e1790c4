//! Batches that the store refuses, and jobs that are taken back.

mod common;

use common::*;
use hollowford_jobs::*;

#[test]
fn a_refused_batch_is_written_again_whole() {
    let mut cell = Cell::new(1);
    cell.submit(1, LARGE, job(vec![step(2, 1_000, 100), step(1, 1_000, 60_000)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(150);
    // The two short tasks have ended, and a second job came.
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 60_000)]));
    for _ in 0..3 {
        cell.pending = None;
        cell.engine.batch_refused();
        cell.run(20);
    }
    cell.store_up = true;
    cell.run(50);
    assert_eq!(cell.engine.is_kept(JobId(2)), Some(true));
    // Everything is in the store: a new owner needs nothing of what the workers forgot.
    cell.take_over();
    cell.run(200);
    assert_eq!(cell.workers[0].starts, 4);
}

#[test]
fn an_end_whose_batch_is_refused_is_shown_later() {
    let mut cell = Cell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(200);
    cell.pending = None;
    cell.engine.batch_refused();
    cell.run(50);
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.store_up = true;
    cell.run(50);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn a_job_that_is_taken_back_never_runs_and_may_come_again() {
    let mut cell = Cell::new(1);
    cell.run(50);
    cell.store_up = false;
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(20);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 100)]));
    // The first one is in the batch under way and has to stay.
    assert_eq!(cell.engine.withdraw_unsent(), vec![JobId(2)]);
    cell.pending = None;
    cell.engine.batch_refused();
    assert_eq!(cell.engine.withdraw_unsent(), vec![JobId(1)]);
    cell.store_up = true;
    cell.run(500);
    assert_eq!(cell.workers[0].starts, 0);
    assert_eq!(cell.state(1), None);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}
