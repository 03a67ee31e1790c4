//! A new owner takes over: nothing is lost, nothing runs twice, no room is given twice.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// Fills the cell with tasks that run for `ms`.
fn busy(workers: usize, ms: u64) -> Cell {
    let mut cell = Cell::new(workers);
    cell.submit(1, LARGE, job(vec![step(workers as u32 * 4, 4_000, ms)]));
    cell.run(200);
    assert_eq!(cell.running(), workers * 4);
    cell
}

#[test]
fn what_runs_is_taken_over_and_goes_on() {
    let mut cell = busy(3, 2_000);
    cell.take_over();
    cell.submit(2, QUICK, job(vec![step(4, 4_000, 300)]));
    cell.run(1_000);
    assert_eq!(cell.running(), 12, "nothing is stopped, and nothing is put on top");
    assert_eq!(cell.engine.stats().lapsed, 0);
    cell.run(4_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.state(2), Some(JobState::Completed));
    assert_eq!(cell.workers.iter().map(|w| w.starts).sum::<u64>(), 16);
}

#[test]
fn a_task_on_an_unreachable_worker_is_not_started_again_before_its_lease_is_over() {
    let mut cell = busy(2, 60_000);
    cell.workers[0].reachable = false;
    cell.take_over();
    let lapse = cell.now + BOUNDS.previous_lease;
    while cell.now < lapse {
        cell.run(100);
        cell.judge_twice();
    }
    cell.run(7_000);
    cell.judge_twice();
    assert_eq!(cell.running(), 4, "the others still run where they were");
}

#[test]
fn ends_that_were_not_durable_come_again() {
    let mut cell = busy(1, 300);
    cell.store_up = false;
    cell.run(400);
    assert_eq!(cell.running(), 0);
    cell.store_up = true;
    cell.take_over();
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers[0].starts, 4);
}

#[test]
fn a_new_job_does_not_wait_for_unreachable_workers() {
    let mut cell = busy(2, 60_000);
    cell.workers[0].reachable = false;
    cell.workers[1].running.clear();
    cell.take_over();
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 50)]));
    cell.run(300);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

#[test]
fn cancelled_work_found_at_a_takeover_is_stopped() {
    let mut cell = busy(1, 60_000);
    assert_eq!(cell.engine.cancel(JobId(1), cell.now), CancelAnswer::Pending);
    cell.store_up = true;
    // The batch is made, and the owner is lost before it orders the stops.
    let batch = cell.engine.cut_batch(cell.now).expect("a batch");
    for row in batch.rows {
        match row.value {
            Some(value) => cell.rows.insert(row.key, value),
            None => cell.rows.remove(&row.key),
        };
    }
    cell.take_over();
    cell.run(200);
    assert_eq!(cell.running(), 0);
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
}

#[test]
fn runs_of_a_new_owner_are_above_all_that_came_before() {
    let mut cell = Cell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 60_000)]));
    cell.run(100);
    // The worker crashes, and with it all knowledge of the run.
    cell.workers[0].restart("w9");
    cell.take_over();
    cell.run(7_000);
    let run = cell.workers[0].running.values().map(|r| r.run).max();
    assert!(run > Some(1), "{run:?}");
}

#[test]
fn a_restarted_worker_frees_what_its_earlier_life_held() {
    let mut cell = Cell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 60_000)]));
    cell.run(100);
    let before = cell.now;
    cell.workers[0].restart("w9");
    cell.list();
    cell.run(200);
    assert_eq!(cell.running(), 1);
    assert!(cell.now - before < Millis(300));
}

#[test]
fn two_lives_at_one_address_in_the_list_free_nothing_that_runs() {
    let mut cell = Cell::new(1);
    let old = cell.workers[0].listing();
    cell.workers[0].restart("a-later-life");
    cell.stale.push(old);
    cell.list();
    cell.submit(1, LARGE, job(vec![step(4, 4_000, 60_000)]));
    cell.run(200);
    assert_eq!(cell.running(), 4);
    // Both entries are listed again and again, and by a new owner in either order.
    cell.list();
    cell.run(200);
    cell.take_over();
    cell.run(300);
    cell.list();
    cell.submit(2, QUICK, job(vec![step(4, 4_000, 60_000)]));
    cell.run(300);
    assert_eq!(cell.running(), 4);
    assert_eq!(cell.workers[0].starts, 4);
}

#[test]
fn an_order_that_was_being_carried_out_at_the_claim_is_counted() {
    let mut cell = Cell::new(2);
    cell.submit(1, LARGE, job(vec![step(1, 12_000, 60_000)]));
    cell.run(100);
    let at = cell.workers.iter().position(|w| w.starts == 1).expect("a worker");
    let (task, run) = cell.workers[at].running.pop_first().expect("the task");
    cell.workers[at].in_progress = Some((task, run));
    cell.take_over();
    for id in 2..6 {
        cell.submit(id, QUICK, job(vec![step(2, 8_000, 200)]));
    }
    for _ in 0..100 {
        cell.run(5);
        cell.judge_room();
        cell.judge_twice();
    }
    cell.run(3_000);
    assert!((2..6).all(|id| cell.state(id) == Some(JobState::Completed)));
    assert_eq!(cell.running(), 1);
}

#[test]
fn what_is_being_stopped_of_an_ended_job_counts_before_the_workers_size_is_known() {
    let mut cell = Cell::new(1);
    cell.workers[0].stop_takes = 400;
    cell.submit(1, LARGE, job(vec![step(2, 6_000, 60_000)]));
    cell.run(100);
    assert_eq!(cell.running(), 2);
    // The cancellation is in the store; the owner is lost before it has told the worker.
    cell.engine.cancel(JobId(1), cell.now);
    cell.write();
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
    cell.take_over_unlisted();
    cell.run(100);
    cell.list();
    for id in 2..6 {
        cell.submit(id, QUICK, job(vec![step(1, 8_000, 100)]));
    }
    for _ in 0..100 {
        cell.run(5);
        cell.judge_room();
    }
    cell.run(1_000);
    assert!((2..6).all(|id| cell.state(id) == Some(JobState::Completed)));
}
