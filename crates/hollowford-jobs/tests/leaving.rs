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
    (cell.workers[at].listed, cell.workers[at].withdrawn) = (false, true);
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

// Guards against a task that runs on two workers: a leaving worker that was cut off from the store
// lost its entry and then one answer, and was taken for gone while it ran its tasks.
#[test]
fn a_leaving_worker_whose_entry_has_expired_is_not_gone_when_an_answer_is_lost() {
    let (mut cell, at) = cell_with_leaving_worker(false, 60_000);
    cell.workers[at].listed = false;
    cell.update_worker_list();
    cell.run(1_000);
    cell.workers[at].drops_answers = true;
    cell.run(600);
    cell.workers[at].drops_answers = false;
    cell.run(1_000);
    assert_eq!(cell.workers[at].running.len(), 1, "the task should go on");
    assert_eq!(cell.workers[1 - at].starts, 0);
}

// Guards against tasks that wait longer than the lease of their worker, which has lost power while
// it was leaving, and against counting that as a crash under them.
#[test]
fn tasks_of_a_leaving_worker_that_fell_silent_start_elsewhere_once_its_lease_is_over() {
    let (mut cell, at) = cell_with_leaving_worker(false, 60_000);
    cell.workers[at].up = false;
    cell.workers[at].running.clear();
    cell.workers[at].listed = false;
    cell.update_worker_list();
    let silent_since = cell.now;
    while cell.workers[1 - at].running.is_empty() && cell.now - silent_since < Millis(20_000) {
        cell.run(50);
    }
    assert!(cell.now - silent_since < Millis(4_200), "after {:?}", cell.now - silent_since);
    assert_eq!(cell.engine.stats().crashes, 0);
}

// Guards against a worker that is taken for gone because an earlier entry of it was removed: it has
// written another one, and that one has expired.
#[test]
fn a_worker_that_is_listed_again_has_not_removed_its_entry() {
    let (mut cell, at) = cell_with_leaving_worker(false, 60_000);
    for (listed, withdrawn) in [(false, true), (true, false), (false, false)] {
        (cell.workers[at].listed, cell.workers[at].withdrawn) = (listed, withdrawn);
        cell.update_worker_list();
        cell.run(100);
    }
    cell.workers[at].drops_answers = true;
    cell.run(600);
    assert_eq!(cell.workers[1 - at].starts, 0);
}
