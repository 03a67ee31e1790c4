//! Workers that leave.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// A cell in which one of two workers runs a task and then says that it leaves.
fn leaving(resumable: bool, ms: u64) -> (Cell, usize) {
    let mut cell = Cell::new(2);
    cell.submit(1, LARGE, job(vec![RawStep { resumable, ..step(1, 1_000, ms) }]));
    cell.run(1_500);
    let at = cell.workers.iter().position(|w| w.starts == 1).expect("a worker");
    cell.workers[at].leaving = true;
    cell.workers[at].remaining = Some(Millis(4_000));
    cell.list();
    (cell, at)
}

#[test]
fn a_worker_that_leaves_gets_nothing_new() {
    let (mut cell, at) = leaving(false, 60_000);
    for id in 2..10 {
        cell.submit(id, QUICK, job(vec![step(2, 1_000, 50)]));
        cell.run(100);
    }
    assert_eq!(cell.workers[at].starts, 1);
}

#[test]
fn a_task_that_saves_its_progress_moves_when_it_would_not_end_in_time() {
    let (mut cell, at) = leaving(true, 30_000);
    cell.run(1_500);
    assert_eq!(cell.workers[at].running.len(), 0);
    assert_eq!(cell.workers[1 - at].running.len(), 1);
}

#[test]
fn a_task_that_ends_in_time_or_saves_nothing_stays() {
    for (checkpoints, ms) in [(true, 3_500), (false, 30_000)] {
        let (mut cell, at) = leaving(checkpoints, ms);
        cell.run(1_000);
        assert_eq!(cell.workers[at].running.len(), 1);
    }
}

#[test]
fn what_a_worker_took_along_starts_elsewhere_once_it_has_left() {
    let (mut cell, at) = leaving(false, 30_000);
    cell.workers[at].up = false;
    cell.workers[at].running.clear();
    cell.run(1_300);
    let before = cell.now;
    cell.workers[at].listed = false;
    cell.list();
    cell.run(200);
    assert_eq!(cell.workers[1 - at].running.len(), 1);
    assert!(cell.now - before < Millis(300));
}

#[test]
fn a_worker_that_is_silent_and_still_listed_has_not_left() {
    let (mut cell, at) = leaving(false, 60_000);
    cell.workers[at].reachable = false;
    for _ in 0..20 {
        cell.run(100);
        cell.judge_twice();
    }
    assert_eq!(cell.workers[1 - at].running.len(), 0);
}
