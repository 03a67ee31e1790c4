//! Crashes, starts and rounds that an owner has not yet written to the store at a takeover.
//!
//! If a start is ordered before the crashes counted so far and the start itself are in the store, a
//! takeover loses them: the next owner starts a task that crashes its workers several times more.
//! This happens when an outage of the store or a batch in flight precedes the takeover. A round
//! that has fallen due but is in no row may already run on a worker; a new owner that assumes it
//! does not would run it on two.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;
use std::sync::Arc;
use yare::parameterized;

/// Id of the job whose tasks crash their workers.
const CRASHING_JOB: u64 = 1;

/// Returns a cell in which that job's tasks crash workers `after` milliseconds after each start.
fn cell_with_crashing_job(after: u64) -> TestCell {
    let mut cell = TestCell::new(8);
    cell.crashes.jobs.insert(JobId(CRASHING_JOB));
    cell.crashes.crash_after = Millis(after);
    cell
}

fn submit_crashing_job(cell: &mut TestCell) {
    cell.submit(CRASHING_JOB, QUICK, job(vec![step(1, 1_000, 600)]));
}

/// Advances the clock until the condition holds, and panics if it never does.
fn run_until(cell: &mut TestCell, condition: impl Fn(&TestCell) -> bool) {
    for _ in 0..20_000 {
        if condition(cell) {
            return;
        }
        cell.run(5);
    }
    panic!("the condition never held");
}

// The store is down while the task crashes its workers; then another owner recovers from the rows.
#[parameterized(
    soon = { 10, 3_000 },
    soon_longer = { 10, 9_000 },
    late = { 400, 5_000 },
    late_longer = { 400, 13_000 },
)]
fn an_outage_and_a_takeover_hide_at_most_one_crash(after: u64, outage: u64) {
    let mut cell = cell_with_crashing_job(after);
    cell.crashes.downtime = Millis(1_000);
    submit_crashing_job(&mut cell);
    run_until(&mut cell, |c| c.engine.is_durable(JobId(CRASHING_JOB)) == Some(true));
    cell.store_up = false;
    cell.crashes.store_healthy = false;
    cell.run(outage);
    assert!(cell.crashes.count >= 1, "the task should start in the outage");
    cell.take_over();
    cell.store_up = true;
    cell.crashes.store_healthy = true;
    run_until(&mut cell, |c| c.state(CRASHING_JOB) == Some(JobState::Failed));
    assert!(cell.crashes.count <= 5, "{} crashes", cell.crashes.count);
}

// Each batch takes longer than the time from a start to the crash, and each crash is followed by a
// takeover.
#[test]
fn takeovers_before_rows_are_written_hide_at_most_one_crash() {
    let mut cell = cell_with_crashing_job(10);
    submit_crashing_job(&mut cell);
    cell.run(5);
    cell.store_up = false;
    while cell.state(CRASHING_JOB) != Some(JobState::Failed) {
        let before = cell.crashes.count;
        run_until_with_slow_batches(&mut cell, |c| {
            c.crashes.count > before || c.state(CRASHING_JOB) == Some(JobState::Failed)
        });
        cell.take_over();
    }
    assert!(cell.crashes.count <= 5, "{} crashes", cell.crashes.count);
}

/// Advances the clock until the condition holds. Each batch takes 30 ms.
fn run_until_with_slow_batches(cell: &mut TestCell, condition: impl Fn(&TestCell) -> bool) {
    let mut since = cell.now;
    while !condition(cell) {
        if cell.pending_batches.is_empty() {
            since = cell.now;
        } else if cell.now.since(since) >= Millis(30) {
            cell.write_batch(0);
            since = cell.now;
        }
        cell.run(5);
    }
}

// The round runs, but is in no row, and its worker doesn't answer the new owner at first.
#[test]
fn a_round_started_by_the_earlier_owner_runs_once_while_its_worker_is_silent() {
    let mut cell = TestCell::new(3);
    let schedule = Schedule { first_unix_ms: cell.now.0 + 500, interval_ms: 60_000, rounds: 1 };
    let raw = RawJob {
        template: "t".into(),
        steps: vec![step(1, 1_000, 2_000)],
        schedule: Some(schedule),
    };
    let spec = Arc::new(JobSpec::try_from(raw).expect("job specification should be valid"));
    cell.submit(2, QUICK, spec);
    cell.run(100);
    cell.store_up = false;
    run_until(&mut cell, |c| c.running_tasks() == 1);
    let at = cell.workers.iter().position(|w| !w.running.is_empty()).expect("a task should run");
    cell.workers[at].reachable = false;
    cell.take_over();
    cell.store_up = true;
    cell.run(1_000);
    assert_eq!(cell.running_tasks(), 1, "the round should run on one worker");
    cell.workers[at].reachable = true;
    cell.run(9_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// One job runs, one waits, and the worker of a third is disconnected permanently two seconds after
// its start.
#[test]
fn tasks_without_crashes_continue_in_an_outage() {
    let mut cell = TestCell::new(2);
    for id in 2..4 {
        cell.submit(id, LARGE, job(vec![step(1, 16_000, 3_000)]));
    }
    cell.submit(4, LARGE, job(vec![step(1, 16_000, 1_000)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(1_950);
    let at = cell.workers.iter().position(|w| w.running.keys().any(|t| t.step.job == JobId(2)));
    cell.workers[at.expect("the task should run")].reachable = false;
    cell.run(12_000);
    let done: usize = cell.workers.iter().map(|w| w.done()).sum();
    assert_eq!(done, 3, "all tasks should end while the store is down");
    cell.store_up = true;
    cell.run(5_000);
    for id in 2..5 {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
}

// The first start, which is in no row, crashes its worker, and a takeover follows. The next owner
// learns of the crash, but can't start the task again because another worker is silent, until the
// next takeover.
#[test]
fn all_later_owners_allow_for_a_crash_that_is_in_no_row() {
    let mut cell = cell_with_crashing_job(10);
    submit_crashing_job(&mut cell);
    run_until(&mut cell, |c| c.crashes.count == 1);
    let at = cell.workers.iter().position(|w| w.up).expect("another worker should be up");
    cell.workers[at].reachable = false;
    cell.take_over();
    cell.run(4_000);
    assert_eq!(cell.engine.stats().crashes, 1);
    assert_eq!(cell.crashes.count, 1, "the task should not start again");
    cell.workers[at].reachable = true;
    cell.take_over();
    run_until(&mut cell, |c| c.crashes.count == 2);
    cell.engine.take_events();
    cell.take_over();
    let recovered = |n: &Event| matches!(n, Event::CrashRecordRecovered { open: 1, .. });
    assert!(cell.engine.take_events().iter().any(recovered), "its second start should be in a row");
}
