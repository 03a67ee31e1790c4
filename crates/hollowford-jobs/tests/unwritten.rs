//! What one owner knows of a task and the next one doesn't: crashes, starts and rounds that are in no row yet.
//!
//! What was seen: an owner in touch started a task three and four times more after three workers had
//! crashed under it, once an outage of the store had come before a takeover, or takeovers one after the other; and a round of a
//! job with a schedule ran in two places.
//!
//! How it came about: crashes were counted in memory and written down beside what they led to. While the store was
//! away, one owner started the task again and again, and all of its count went with it. Of a start that was ordered in the same turn as
//! its row was cut, the next owner knew nothing when that row was lost. A round that had fallen due was added by
//! each owner anew, as one that no worker could have.
//!
//! What caused it: what a start rests on, and that it was made, was in the store only after it, or never.
//!
//! What proved it: none of it with outages or takeovers alone while rows are made at once; `task.crashed_under crashes=1`
//! in the later epoch for a task that had `crashes=2` in the one before.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;
use std::sync::Arc;
use yare::parameterized;

/// The job whose tasks crash their workers.
const CRASHER: u64 = 1;

/// A cell in which that job's tasks crash workers so long after their start.
fn cell(after: u64) -> Cell {
    let mut cell = Cell::new(8);
    cell.crashes.jobs.insert(JobId(CRASHER));
    cell.crashes.after = Millis(after);
    cell
}

fn submit(cell: &mut Cell) {
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
}

fn until(cell: &mut Cell, what: impl Fn(&Cell) -> bool) {
    for _ in 0..20_000 {
        if what(cell) {
            return;
        }
        cell.run(5);
    }
    panic!("it never came to that");
}

// The store is away while the task crashes its workers, and another owner goes on with what is there.
#[parameterized(
    soon = { 10, 3_000 },
    soon_longer = { 10, 9_000 },
    late = { 400, 5_000 },
    late_longer = { 400, 13_000 },
)]
fn an_outage_and_another_owner_hide_one_crash_at_most(after: u64, outage: u64) {
    let mut cell = cell(after);
    cell.crashes.down = Millis(1_000);
    submit(&mut cell);
    until(&mut cell, |c| c.engine.is_durable(JobId(CRASHER)) == Some(true));
    cell.store_up = false;
    cell.crashes.in_touch = false;
    cell.run(outage);
    assert!(cell.crashes.count >= 1, "it was started in the outage");
    cell.take_over();
    cell.store_up = true;
    cell.crashes.in_touch = true;
    until(&mut cell, |c| c.state(CRASHER) == Some(JobState::Failed));
    assert!(cell.crashes.count <= 5, "{} crashes", cell.crashes.count);
}

// A batch takes longer than the task does to crash its worker, and each owner is lost as that happens.
#[test]
fn owners_lost_before_their_rows_with_takeovers_hide_one_crash_at_most() {
    let mut cell = cell(10);
    submit(&mut cell);
    cell.run(5);
    cell.store_up = false;
    while cell.state(CRASHER) != Some(JobState::Failed) {
        let before = cell.crashes.count;
        until_slowly(&mut cell, |c| {
            c.crashes.count > before || c.state(CRASHER) == Some(JobState::Failed)
        });
        cell.take_over();
    }
    assert!(cell.crashes.count <= 5, "{} crashes", cell.crashes.count);
}

/// Lets time pass, with batches that take 30 ms each.
fn until_slowly(cell: &mut Cell, what: impl Fn(&Cell) -> bool) {
    let mut since = cell.now;
    while !what(cell) {
        if cell.pending.is_empty() {
            since = cell.now;
        } else if cell.now.since(since) >= Millis(30) {
            cell.write_one(0);
            since = cell.now;
        }
        cell.run(5);
    }
}

// The round has begun, and the next owner doesn't know: the worker that runs it doesn't answer at first.
#[test]
fn a_round_of_another_owner_runs_once_with_failing_workers() {
    let mut cell = Cell::new(3);
    let schedule = Schedule { first_unix_ms: cell.now.0 + 500, interval_ms: 60_000, rounds: 1 };
    let raw = RawJob {
        template: "t".into(),
        steps: vec![step(1, 1_000, 2_000)],
        schedule: Some(schedule),
    };
    let spec = Arc::new(JobSpec::try_from(raw).expect("a valid job"));
    cell.submit(2, QUICK, spec);
    cell.run(100);
    cell.store_up = false;
    until(&mut cell, |c| c.running() == 1);
    let at = cell.workers.iter().position(|w| !w.running.is_empty()).expect("it runs");
    cell.workers[at].reachable = false;
    cell.take_over();
    cell.store_up = true;
    cell.run(1_000);
    assert_eq!(cell.running(), 1, "it runs in one place");
    cell.workers[at].reachable = true;
    cell.run(9_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// One job runs, one waits, and the worker of a third is cut off for good, two seconds after its start.
#[test]
fn what_has_crashed_nothing_goes_on_in_an_outage() {
    let mut cell = Cell::new(2);
    for id in 2..4 {
        cell.submit(id, LARGE, job(vec![step(1, 16_000, 3_000)]));
    }
    cell.submit(4, LARGE, job(vec![step(1, 16_000, 1_000)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(1_950);
    let at = cell.workers.iter().position(|w| w.running.keys().any(|t| t.step.job == JobId(2)));
    cell.workers[at.expect("it runs")].reachable = false;
    cell.run(12_000);
    let done: usize = cell.workers.iter().map(|w| w.done()).sum();
    assert_eq!(done, 3, "all is done while the store is away");
    cell.store_up = true;
    cell.run(5_000);
    for id in 2..5 {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
}

// The first start, which is on no record, crashes its worker as its owner is lost. The next owner learns that the
// worker is gone, and is lost while another worker keeps it from starting the task again.
#[test]
fn a_crash_that_is_in_no_row_is_reckoned_with_by_all_later_owners() {
    let mut cell = cell(10);
    submit(&mut cell);
    until(&mut cell, |c| c.crashes.count == 1);
    let at = cell.workers.iter().position(|w| w.up).expect("another worker");
    cell.workers[at].reachable = false;
    cell.take_over();
    cell.run(4_000);
    assert_eq!(cell.engine.stats().crashes, 1);
    assert_eq!(cell.crashes.count, 1, "it has not been started again");
    cell.workers[at].reachable = true;
    cell.take_over();
    until(&mut cell, |c| c.crashes.count == 2);
    cell.engine.take_events();
    cell.take_over();
    let recovered = |n: &Note| matches!(n, Note::Recovered { open: 1, .. });
    assert!(cell.engine.take_events().iter().any(recovered), "its second start is on record");
}
