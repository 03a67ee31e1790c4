//! Tasks that start after their job was cancelled must be stopped.
//!
//! A worker may execute the start late, after the cancellation, and even after a takeover from the
//! owner that ordered it.
#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// Maximum time from the start of such a task to its end: that of the next look and a stop, in
/// milliseconds.
const MAX_STOP_MS: u64 = 1_300;

/// Submits a job, and cancels it while its start is unanswered. Returns the start, which the worker
/// has not executed yet.
fn cancel_with_start_in_flight(cell: &mut TestCell) -> Order {
    let start = |o: &&Order| matches!(o, Order::Worker { call: WorkerCall::Start { .. }, .. });
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 60_000)]));
    let order = loop {
        let orders = cell.poll();
        let found = orders.iter().find(start).cloned();
        cell.workers[0].reachable = found.is_none();
        cell.execute_all(orders);
        cell.now = cell.now + Millis(5);
        if let Some(order) = found {
            break order;
        }
    };
    cell.engine.cancel(JobId(1), cell.now);
    cell.run(20);
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
    order
}

/// Lets the worker execute a start of the owner at `epoch` now, without an answer to the owner.
fn execute_late(cell: &mut TestCell, order: &Order, epoch: u64) {
    let Order::Worker { call: WorkerCall::Start { task, run, lease_until, .. }, .. } = order else {
        panic!("not a start: {order:?}");
    };
    let spec = step(1, 1_000, 60_000);
    let w = &mut cell.workers[0];
    w.reachable = true;
    w.start(*task, *run, *lease_until, epoch, &spec, "".into());
}

#[test]
fn a_task_that_starts_after_its_job_was_cancelled_is_stopped() {
    let mut cell = TestCell::new(1);
    let order = cancel_with_start_in_flight(&mut cell);
    execute_late(&mut cell, &order, 1);
    assert_eq!(cell.running_tasks(), 1);
    cell.run(MAX_STOP_MS);
    assert_eq!(cell.running_tasks(), 0);
}

#[test]
fn a_task_that_starts_after_the_takeover_from_its_owner_is_stopped() {
    let mut cell = TestCell::new(1);
    let order = cancel_with_start_in_flight(&mut cell);
    cell.take_over();
    cell.run(200);
    execute_late(&mut cell, &order, 1);
    assert_eq!(cell.running_tasks(), 1, "no call of the new owner has reached the worker yet");
    cell.run(MAX_STOP_MS);
    assert_eq!(cell.running_tasks(), 0);
}

#[test]
fn a_start_that_arrives_after_the_stop_has_no_effect() {
    let mut cell = TestCell::new(1);
    let order = cancel_with_start_in_flight(&mut cell);
    cell.workers[0].reachable = true;
    cell.run(500);
    execute_late(&mut cell, &order, 1);
    assert_eq!(cell.running_tasks(), 0);
    let until = cell.now + Millis(2_000);
    while cell.now < until {
        cell.run(100);
        assert_eq!(cell.running_tasks(), 0);
    }
}
