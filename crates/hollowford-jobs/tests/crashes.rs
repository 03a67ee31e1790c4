//! Tasks that crash the workers that start them.
//!
//! What was seen: a few checks crashed each worker that started them, for as long as the day
//! lasted: 237 alerts of 48 workers in two minutes, runs 53 to 58 of one task by one owner, one
//! each 3.4 s, and over a tenth of the checks unserved at times.
//!
//! How it came about: a life of a worker that ends lists no ends. The owner learned from the next
//! life at its address that it was over, and put all that it had held back among what waits.
//!
//! What caused it: only an end that a worker lists as failed used up an attempt, so a task that
//! never lives to be listed had no limit. Beside it, all that a crash has interrupted waits again
//! in the same turn, and went together to the same next worker, with the task that crashes it.
//!
//! What proved it: such runs went on within one epoch, without a takeover or a lost answer, 10 ms
//! after each `task.given_up ... cause=WorkerDead`.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;
use yare::parameterized;

/// The job whose tasks crash their workers.
const CRASHER: u64 = 1;

/// A cell in which that job's tasks crash workers, which are down for `down` milliseconds.
fn cell(workers: usize, down: u64) -> Cell {
    let mut cell = Cell::new(workers);
    cell.crashes.jobs.insert(JobId(CRASHER));
    cell.crashes.down = Millis(down);
    cell
}

/// Lets time pass until so many workers have crashed.
fn until_crashes(cell: &mut Cell, count: u32) {
    for _ in 0..20_000 {
        if cell.crashes.count >= count {
            return;
        }
        cell.run(5);
    }
    panic!("{} of {count} crashes", cell.crashes.count);
}

// Workers are back before the lease on what they held is over, about then, after it, and after
// their entry has left the list.
#[parameterized(soon = { 1_500 }, as_seen = { 3_300 }, late = { 4_000 }, unlisted = { 7_000 })]
fn a_task_that_crashes_its_workers_is_given_up(down: u64) {
    let mut cell = cell(8, down);
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
    cell.run(90_000);
    assert_eq!(cell.state(CRASHER), Some(JobState::Failed));
}

// The owner is lost before the worker is back, so it never learns of that crash; again and again.
#[parameterized(early = { 500, 3_300 }, late = { 3_000, 3_300 }, after_lease = { 3_900, 5_000 })]
fn crashes_count_across_takeovers(after: u64, down: u64) {
    let mut cell = cell(8, down);
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
    for crash in 1..=6 {
        if cell.state(CRASHER) == Some(JobState::Failed) {
            break;
        }
        until_crashes(&mut cell, crash);
        cell.run(after);
        cell.take_over();
        cell.run(6_000);
    }
    assert_eq!(cell.state(CRASHER), Some(JobState::Failed));
}

// Ten tasks fill the worker together with the one that crashes it.
#[test]
fn what_stood_beside_a_crash_is_done() {
    let mut cell = cell(8, 3_300);
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
    for id in 2..12 {
        cell.submit(id, QUICK, job(vec![step(1, 1_500, 3_000)]));
    }
    cell.run(60_000);
    assert_eq!(cell.state(CRASHER), Some(JobState::Failed));
    for id in 2..12 {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
}
