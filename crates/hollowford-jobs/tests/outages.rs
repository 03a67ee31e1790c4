//! Failed attempts, ends and cancellations that an owner can't write during an outage of the store,
//! and starts that are outdated when they are sent: by a suspended owner, or to a worker whose
//! capacity has shrunk.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// Returns a cell with one durable job of one task that takes `ms`, and with the store down from
/// then on.
fn cell_in_an_outage(ms: u64) -> TestCell {
    let mut cell = TestCell::new(3);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, ms)]));
    cell.run(50);
    assert_eq!(cell.engine.is_durable(JobId(1)), Some(true));
    cell.store_up = false;
    cell
}

/// Ends the outage with a takeover, and lets the new owner work for 15 s.
fn take_over_after_outage(cell: &mut TestCell) {
    cell.take_over();
    cell.store_up = true;
    cell.run(15_000);
}

// A worker lists each failed end until its row is in the store, so the next owner learns of it.
#[test]
fn attempts_that_failed_in_an_outage_count_for_the_next_owner() {
    let mut cell = cell_in_an_outage(300);
    for w in &mut cell.workers {
        w.failing_jobs.insert(JobId(1));
    }
    cell.run(5_000);
    take_over_after_outage(&mut cell);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(cell.total_starts(), 3);
}

#[test]
fn a_task_completed_in_an_outage_does_not_run_again() {
    let mut cell = cell_in_an_outage(300);
    cell.run(5_000);
    take_over_after_outage(&mut cell);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.total_starts(), 1);
}

// The cancellation is only reported as pending, so the next owner may continue the job until it is
// cancelled again.
#[test]
fn a_cancellation_in_an_outage_is_confirmed_once_it_is_durable() {
    let mut cell = cell_in_an_outage(60_000);
    assert_eq!(cell.engine.cancel(JobId(1), cell.now), CancelAnswer::Pending);
    cell.run(2_000);
    assert_ne!(cell.state(1), Some(JobState::Cancelled));
    take_over_after_outage(&mut cell);
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.engine.cancel(JobId(1), cell.now);
    cell.run(2_000);
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
    assert_eq!(cell.running_tasks(), 0);
}

// The owner's process is suspended for 8 s, which its steady clock doesn't count, and another owner
// claims the workers meanwhile. When it resumes, it resends a start; the workers must reject it.
#[test]
fn an_owner_that_was_suspended_starts_nothing() {
    let is_start = |o: &Order| matches!(o, Order::Worker { call: WorkerCall::Start { .. }, .. });
    let mut cell = TestCell::new(3);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 600)]));
    let mut orders = Vec::new();
    while !orders.iter().any(is_start) {
        cell.execute_all(orders);
        cell.now = cell.now + Millis(5);
        orders = cell.poll();
    }
    // The answer to the start is lost.
    cell.workers.iter_mut().for_each(|w| w.drops_answers = true);
    cell.execute_all(orders);
    let resumed_at = cell.now;
    let other = Engine::new(2, TIME_LIMITS, cell.now);
    let mut suspended = std::mem::replace(&mut cell.engine, other);
    cell.workers.iter_mut().for_each(|w| w.drops_answers = false);
    cell.take_over();
    cell.run(8_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    let mut orders = Vec::new();
    suspended.poll(resumed_at + Millis(5), &mut orders);
    assert!(orders.iter().any(is_start), "the suspended owner should resend its start");
    for order in orders {
        if let Order::Worker { call, .. } = order {
            cell.call(call, suspended.epoch());
        }
    }
    assert_eq!(cell.total_starts(), 1);
}

// The start of a task that may crash its worker waits for its row. Meanwhile the capacity of the
// worker shrinks.
#[test]
fn a_start_that_waits_for_its_row_is_not_sent_to_a_worker_that_has_shrunk() {
    let mut cell = TestCell::new(1);
    cell.crashes.jobs.insert(JobId(1));
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 600)]));
    while cell.crashes.count == 0 {
        cell.run(5);
    }
    while cell.engine.stats().started < 2 {
        cell.store_up = cell.pending_batches.is_empty() || cell.running_tasks() == 0;
        cell.run(5);
    }
    cell.store_up = false;
    assert_eq!(cell.running_tasks(), 0, "the start should wait for its row");
    cell.workers[0].capacity.cpu_milli = 500;
    cell.update_worker_list();
    cell.store_up = true;
    cell.run(3_000);
    assert_eq!(cell.crashes.count, 1);
}

/// Time from a crash to the restart of the worker, in milliseconds.
const DOWNTIME_MS: u64 = 1_000;
/// Time that is enough for the owner to learn of a restart, in milliseconds.
const RESTART_DETECTION_MS: u64 = 500;

/// Waits until the only task runs, and returns the position of its worker.
fn wait_for_run(cell: &mut TestCell) -> usize {
    for _ in 0..2_000 {
        if let Some(at) = cell.workers.iter().position(|w| !w.running.is_empty()) {
            return at;
        }
        cell.run(5);
    }
    panic!("the task doesn't run, its job is {:?}", cell.state(1));
}

fn crash(cell: &mut TestCell, at: usize) {
    let TestCell { crashes, workers, .. } = cell;
    crashes.crash(&mut workers[at]);
}

/// Crashes the task's worker soon after the start, and waits until just before the restart.
fn crash_after_the_start(cell: &mut TestCell) {
    let at = wait_for_run(cell);
    cell.run(100);
    crash(cell, at);
    cell.run(DOWNTIME_MS - 50);
}

/// Lets the task complete in an outage, crashes its worker later, and lets another owner take over.
/// The end is in no row, and no worker lists it.
fn crash_after_the_end_in_an_outage(cell: &mut TestCell) {
    let at = wait_for_run(cell);
    cell.store_up = false;
    cell.run(2_000);
    assert_eq!(cell.running_tasks(), 0);
    crash(cell, at);
    cell.store_outage_before = true;
    cell.take_over();
    cell.store_outage_before = false;
    cell.store_up = true;
    cell.run(DOWNTIME_MS - 50);
}

/// Returns a cell with one job, whose task takes less than two seconds.
fn cell_with_a_task() -> TestCell {
    let mut cell = TestCell::new(6);
    cell.crashes.downtime = Millis(DOWNTIME_MS);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 1_800)]));
    cell
}

// To the owner each of these crashes looks like one soon after the start, of which three fail a
// job.
#[test]
fn crashes_after_ends_lost_in_outages_do_not_fail_a_job() {
    let mut cell = cell_with_a_task();
    crash_after_the_start(&mut cell);
    crash_after_the_end_in_an_outage(&mut cell);
    crash_after_the_end_in_an_outage(&mut cell);
    cell.run(RESTART_DETECTION_MS);
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.run(5_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

// Guards against an owner that knows of an outage only until the next one takes over: that one would
// count the same crashes as ones soon after the start.
#[test]
fn crashes_after_ends_lost_in_outages_do_not_fail_a_job_after_a_second_takeover() {
    let mut cell = cell_with_a_task();
    crash_after_the_start(&mut cell);
    crash_after_the_end_in_an_outage(&mut cell);
    cell.take_over();
    crash_after_the_end_in_an_outage(&mut cell);
    cell.take_over();
    cell.run(RESTART_DETECTION_MS);
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.run(7_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

// A task that does crash its workers still fails its job when one of its starts falls into an
// outage.
#[test]
fn one_crash_after_an_outage_counts_as_a_crash_after_the_start() {
    let mut cell = cell_with_a_task();
    crash_after_the_start(&mut cell);
    crash_after_the_end_in_an_outage(&mut cell);
    crash_after_the_start(&mut cell);
    cell.run(RESTART_DETECTION_MS);
    assert_eq!(cell.state(1), Some(JobState::Failed));
}

#[test]
fn repeated_crashes_after_outages_fail_a_job() {
    let mut cell = cell_with_a_task();
    crash_after_the_start(&mut cell);
    for _ in 0..3 {
        crash_after_the_end_in_an_outage(&mut cell);
    }
    cell.run(RESTART_DETECTION_MS);
    assert_eq!(cell.state(1), Some(JobState::Failed));
}
