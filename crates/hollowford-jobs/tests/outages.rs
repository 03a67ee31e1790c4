//! What else is known to one owner only while the store is away: attempts that failed, ends, cancellations. And
//! owners and rooms that are not what they were when a start was decided.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// A cell with one kept job, and the store away from then on.
fn cell_in_an_outage(ms: u64) -> Cell {
    let mut cell = Cell::new(3);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, ms)]));
    cell.run(50);
    assert_eq!(cell.engine.is_durable(JobId(1)), Some(true));
    cell.store_up = false;
    cell
}

/// Another owner takes over as the store is back.
fn go_on(cell: &mut Cell) {
    cell.take_over();
    cell.store_up = true;
    cell.run(15_000);
}

// Each failed end is listed by its worker until a row tells of it.
#[test]
fn attempts_that_failed_in_an_outage_count_for_the_next_owner() {
    let mut cell = cell_in_an_outage(300);
    for w in &mut cell.workers {
        w.poison.insert(JobId(1));
    }
    cell.run(5_000);
    go_on(&mut cell);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(cell.starts(), 3);
}

#[test]
fn what_was_done_in_an_outage_does_not_run_again() {
    let mut cell = cell_in_an_outage(300);
    cell.run(5_000);
    go_on(&mut cell);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.starts(), 1);
}

// It was told as pending only, so the next owner may go on with the job, until the caller cancels it again.
#[test]
fn a_cancellation_in_an_outage_is_confirmed_once_it_is_kept() {
    let mut cell = cell_in_an_outage(60_000);
    assert_eq!(cell.engine.cancel(JobId(1), cell.now), CancelAnswer::Pending);
    cell.run(2_000);
    assert_ne!(cell.state(1), Some(JobState::Cancelled));
    go_on(&mut cell);
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.engine.cancel(JobId(1), cell.now);
    cell.run(2_000);
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
    assert_eq!(cell.running(), 0);
}

// Its process was suspended for 8 s, which its steady clock doesn't count, and another owner has claimed the workers.
// It still has a start to send again.
#[test]
fn an_owner_that_was_suspended_starts_nothing() {
    let is_start = |o: &Order| matches!(o, Order::Worker { call: WorkerCall::Start { .. }, .. });
    let mut cell = Cell::new(3);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 600)]));
    let mut orders = Vec::new();
    while !orders.iter().any(is_start) {
        cell.carry_out_all(orders);
        cell.now = cell.now + Millis(5);
        orders = cell.poll();
    }
    // The answer to the start is lost.
    cell.workers.iter_mut().for_each(|w| w.mute = true);
    cell.carry_out_all(orders);
    let behind = cell.now;
    let other = Engine::new(2, BOUNDS, cell.now);
    let mut suspended = std::mem::replace(&mut cell.engine, other);
    cell.workers.iter_mut().for_each(|w| w.mute = false);
    cell.take_over();
    cell.run(8_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    let mut orders = Vec::new();
    suspended.poll(behind + Millis(5), &mut orders);
    assert!(orders.iter().any(is_start), "it has one to send");
    for order in orders {
        if let Order::Worker { call, .. } = order {
            cell.call(call, suspended.epoch());
        }
    }
    assert_eq!(cell.starts(), 1);
}

// The start of a task that may crash its worker waits for its row; its worker says meanwhile that it has less room.
#[test]
fn a_start_that_waits_for_its_row_is_not_sent_to_a_room_that_has_shrunk() {
    let mut cell = Cell::new(1);
    cell.crashes.jobs.insert(JobId(1));
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 600)]));
    while cell.crashes.count == 0 {
        cell.run(5);
    }
    while cell.engine.stats().started < 2 {
        cell.store_up = cell.pending.is_empty() || cell.running() == 0;
        cell.run(5);
    }
    cell.store_up = false;
    assert_eq!(cell.running(), 0, "it waits for its row");
    cell.workers[0].capacity.cpu_milli = 500;
    cell.list();
    cell.store_up = true;
    cell.run(3_000);
    assert_eq!(cell.crashes.count, 1);
}

/// A worker that has crashed here is down for so long, in milliseconds.
const DOWN: u64 = 1_000;
/// Until its next life is known, in milliseconds.
const KNOWN_AFTER: u64 = 500;

/// Waits until the only task runs, and returns where.
fn runs_at(cell: &mut Cell) -> usize {
    for _ in 0..2_000 {
        if let Some(at) = cell.workers.iter().position(|w| !w.running.is_empty()) {
            return at;
        }
        cell.run(5);
    }
    panic!("it doesn't run: {:?}", cell.state(1));
}

fn crash(cell: &mut Cell, at: usize) {
    let Cell { crashes, workers, .. } = cell;
    crashes.crash(&mut workers[at]);
}

/// The task's worker crashes just after the start, and the owner learns of it.
fn crash_after_the_start(cell: &mut Cell) {
    let at = runs_at(cell);
    cell.run(100);
    crash(cell, at);
    cell.run(DOWN - 50);
}

/// The task ends well in an outage, and its worker crashes later, for a reason of its own. Another owner
/// goes on: no row tells it of the end, and no worker.
fn crash_after_the_end_in_an_outage(cell: &mut Cell) {
    let at = runs_at(cell);
    cell.store_up = false;
    cell.run(2_000);
    assert_eq!(cell.running(), 0);
    crash(cell, at);
    cell.outage_before = true;
    cell.take_over();
    cell.outage_before = false;
    cell.store_up = true;
    cell.run(DOWN - 50);
}

/// A cell with one job, whose task takes less than two seconds.
fn cell_with_a_task() -> Cell {
    let mut cell = Cell::new(6);
    cell.crashes.down = Millis(DOWN);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 1_800)]));
    cell
}

// Each of these crashes looks like one just after the start, and three such end a job.
#[test]
fn crashes_after_ends_that_an_outage_has_hidden_do_not_end_a_job() {
    let mut cell = cell_with_a_task();
    crash_after_the_start(&mut cell);
    crash_after_the_end_in_an_outage(&mut cell);
    crash_after_the_end_in_an_outage(&mut cell);
    cell.run(KNOWN_AFTER);
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.run(5_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

// What really crashes its workers must not have an outage for each of its starts.
#[test]
fn one_crash_after_an_outage_counts_as_one_just_after_the_start() {
    let mut cell = cell_with_a_task();
    crash_after_the_start(&mut cell);
    crash_after_the_end_in_an_outage(&mut cell);
    crash_after_the_start(&mut cell);
    cell.run(KNOWN_AFTER);
    assert_eq!(cell.state(1), Some(JobState::Failed));
}

#[test]
fn crashes_after_outages_end_a_job_in_the_end() {
    let mut cell = cell_with_a_task();
    crash_after_the_start(&mut cell);
    for _ in 0..3 {
        crash_after_the_end_in_an_outage(&mut cell);
    }
    cell.run(KNOWN_AFTER);
    assert_eq!(cell.state(1), Some(JobState::Failed));
}
