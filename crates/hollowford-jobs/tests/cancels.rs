//! Cancelled jobs whose tasks workers start late: they are stopped, whoever ordered the start.
//!
//! The users count a task that runs on after its job was cancelled also when its worker carried
//! the order out late, and when the process that gave it is gone (letter 4).
#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// A task that a worker has begun is to be gone this long after, at the latest: the next look,
/// and a stop.
const GONE_WITHIN: u64 = 1_300;

/// Hands in a job whose start gets no answer, and cancels it. Returns the order, which the
/// worker has not carried out yet.
fn cancelled_with_a_start_under_way(cell: &mut TestCell) -> Order {
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

/// The worker carries an order of the owner at `epoch` out now; the answer is lost.
fn carry_out_late(cell: &mut TestCell, order: &Order, epoch: u64) {
    let Order::Worker { call: WorkerCall::Start { task, run, lease_until, .. }, .. } = order else {
        panic!("not a start: {order:?}");
    };
    let spec = step(1, 1_000, 60_000);
    let w = &mut cell.workers[0];
    w.reachable = true;
    w.start(*task, *run, *lease_until, epoch, &spec, "".into());
}

#[test]
fn a_task_that_begins_after_its_job_was_cancelled_is_stopped() {
    let mut cell = TestCell::new(1);
    let order = cancelled_with_a_start_under_way(&mut cell);
    carry_out_late(&mut cell, &order, 1);
    assert_eq!(cell.running_tasks(), 1);
    cell.run(GONE_WITHIN);
    assert_eq!(cell.running_tasks(), 0);
}

#[test]
fn a_task_that_begins_late_after_its_owner_is_gone_is_stopped() {
    let mut cell = TestCell::new(1);
    let order = cancelled_with_a_start_under_way(&mut cell);
    cell.take_over();
    cell.run(200);
    carry_out_late(&mut cell, &order, 1);
    assert_eq!(cell.running_tasks(), 1, "the worker has not heard of the new owner");
    cell.run(GONE_WITHIN);
    assert_eq!(cell.running_tasks(), 0);
}

#[test]
fn an_order_that_a_worker_carries_out_after_the_stop_begins_nothing() {
    let mut cell = TestCell::new(1);
    let order = cancelled_with_a_start_under_way(&mut cell);
    cell.workers[0].reachable = true;
    cell.run(500);
    carry_out_late(&mut cell, &order, 1);
    assert_eq!(cell.running_tasks(), 0);
    let until = cell.now + Millis(2_000);
    while cell.now < until {
        cell.run(100);
        assert_eq!(cell.running_tasks(), 0);
    }
}
