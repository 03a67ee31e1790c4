//! Workers that announce that they leave.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// Returns a cell in which one of two workers runs a task and then announces that it leaves, and
/// the position of that worker.
fn cell_with_leaving_worker(resumable: bool, ms: u64) -> (TestCell, usize) {
    let mut cell = TestCell::new(2);
    cell.submit(1, LARGE, job(vec![RawStep { resumable, ..step(1, 1_000, ms) }]));
    cell.run(1_500);
    let at = cell.workers.iter().position(|w| w.starts == 1).expect("a worker should run the task");
    cell.workers[at].leaving = true;
    cell.workers[at].remaining = Some(Millis(4_000));
    cell.update_worker_list();
    (cell, at)
}

#[test]
fn a_leaving_worker_gets_no_new_tasks() {
    let (mut cell, at) = cell_with_leaving_worker(false, 60_000);
    for id in 2..10 {
        cell.submit(id, QUICK, job(vec![step(2, 1_000, 50)]));
        cell.run(100);
    }
    assert_eq!(cell.workers[at].starts, 1);
}

#[test]
fn a_resumable_task_moves_if_it_would_not_end_in_time() {
    let (mut cell, at) = cell_with_leaving_worker(true, 30_000);
    cell.run(1_500);
    assert_eq!(cell.workers[at].running.len(), 0);
    assert_eq!(cell.workers[1 - at].running.len(), 1);
}

#[test]
fn a_task_that_ends_in_time_or_is_not_resumable_stays() {
    for (checkpoints, ms) in [(true, 3_500), (false, 30_000)] {
        let (mut cell, at) = cell_with_leaving_worker(checkpoints, ms);
        cell.run(1_000);
        assert_eq!(cell.workers[at].running.len(), 1);
    }
}

#[test]
fn tasks_of_a_worker_start_elsewhere_once_it_has_left() {
    let (mut cell, at) = cell_with_leaving_worker(false, 30_000);
    cell.workers[at].up = false;
    cell.workers[at].running.clear();
    cell.run(1_300);
    let before = cell.now;
    cell.workers[at].listed = false;
    cell.update_worker_list();
    cell.run(200);
    assert_eq!(cell.workers[1 - at].running.len(), 1);
    assert!(cell.now - before < Millis(300));
}

#[test]
fn a_silent_worker_that_is_still_listed_has_not_left() {
    let (mut cell, at) = cell_with_leaving_worker(false, 60_000);
    cell.workers[at].reachable = false;
    for _ in 0..20 {
        cell.run(100);
        cell.assert_no_duplicates();
    }
    assert_eq!(cell.workers[1 - at].running.len(), 0);
}
