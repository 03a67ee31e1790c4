//! A new owner takes over: no job is lost, no task runs twice, no resources are assigned twice.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;
use std::sync::Arc;
use yare::parameterized;

/// Returns a cell whose workers are full of tasks that run for `ms`.
fn full_cell(workers: usize, ms: u64) -> TestCell {
    let mut cell = TestCell::new(workers);
    cell.submit(1, LARGE, job(vec![step(workers as u32 * 4, 4_000, ms)]));
    cell.run(200);
    assert_eq!(cell.running_tasks(), workers * 4);
    cell
}

#[test]
fn running_tasks_continue_after_a_takeover() {
    let mut cell = full_cell(3, 2_000);
    cell.take_over();
    cell.submit(2, QUICK, job(vec![step(4, 4_000, 300)]));
    cell.run(1_000);
    assert_eq!(
        cell.running_tasks(),
        12,
        "no task should stop, and none should start on a full worker"
    );
    assert_eq!(cell.engine.stats().lapsed, 0);
    cell.run(4_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.state(2), Some(JobState::Completed));
    assert_eq!(cell.workers.iter().map(|w| w.starts).sum::<u64>(), 16);
}

#[test]
fn a_task_on_an_unreachable_worker_is_not_started_again_before_its_lease_ends() {
    let mut cell = full_cell(2, 60_000);
    cell.workers[0].reachable = false;
    cell.take_over();
    let lease_end = cell.now + TIME_LIMITS.previous_lease;
    while cell.now < lease_end {
        cell.run(100);
        cell.assert_no_duplicates();
    }
    cell.run(7_000);
    cell.assert_no_duplicates();
    assert_eq!(cell.running_tasks(), 4, "the tasks of the reachable worker should continue");
}

#[test]
fn ends_that_were_not_durable_are_reported_again() {
    let mut cell = full_cell(1, 300);
    cell.store_up = false;
    cell.run(400);
    assert_eq!(cell.running_tasks(), 0);
    cell.store_up = true;
    cell.take_over();
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers[0].starts, 4);
}

#[test]
fn a_new_job_does_not_wait_for_unreachable_workers() {
    let mut cell = full_cell(2, 60_000);
    cell.workers[0].reachable = false;
    cell.workers[1].running.clear();
    cell.take_over();
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 50)]));
    cell.run(300);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

#[test]
fn cancelled_work_found_at_a_takeover_is_stopped() {
    let mut cell = full_cell(1, 60_000);
    assert_eq!(cell.engine.cancel(JobId(1), cell.now), CancelAnswer::Pending);
    cell.store_up = true;
    // The batch is committed, and the owner is lost before it orders the stops.
    let batch = cell.engine.next_batch(cell.now).expect("there should be a batch");
    for row in batch.rows {
        match row.value {
            Some(value) => cell.rows.insert(row.key, value),
            None => cell.rows.remove(&row.key),
        };
    }
    cell.take_over();
    cell.run(200);
    assert_eq!(cell.running_tasks(), 0);
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
}

#[test]
fn a_new_owner_numbers_its_runs_above_all_earlier_ones() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 60_000)]));
    cell.run(100);
    // The worker crashes, so that it no longer reports the run.
    cell.workers[0].restart("w9");
    cell.take_over();
    cell.run(7_000);
    let run = cell.workers[0].running.values().map(|r| r.run).max();
    assert!(run > Some(1), "{run:?}");
}

#[test]
fn a_restarted_worker_frees_the_resources_of_its_earlier_incarnation() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 60_000)]));
    cell.run(100);
    let before = cell.now;
    cell.workers[0].restart("w9");
    cell.update_worker_list();
    cell.run(200);
    assert_eq!(cell.running_tasks(), 1);
    assert!(cell.now - before < Millis(300));
}

/// Returns the ids of the workers that the engine has reported as dead since the last call.
fn dead_workers(cell: &mut TestCell) -> Vec<String> {
    let events = cell.engine.take_events().into_iter();
    let dead = events.filter_map(|e| match e {
        Event::WorkerDead { worker, .. } => Some(worker.id().to_string()),
        _ => None,
    });
    dead.collect()
}

// Guards against an owner that takes the last entry of the list, or the one that it learns of last,
// for the current incarnation, and gives up the tasks of the other one at that address.
#[parameterized(earlier_one_first = { true }, later_one_first = { false })]
fn two_listed_incarnations_at_one_address_interrupt_no_task(earlier_one_first: bool) {
    let mut cell = TestCell::new(1);
    let earlier = cell.workers[0].listing();
    cell.workers[0].restart("a-later-incarnation");
    cell.stale_listings_first = earlier_one_first;
    cell.stale_listings.push(earlier);
    // An owner without any rows learns of both from the list.
    cell.rows.clear();
    cell.take_over();
    cell.submit(1, LARGE, job(vec![step(4, 4_000, 60_000)]));
    cell.run(200);
    assert_eq!(cell.running_tasks(), 4);
    // The list is passed on again.
    cell.update_worker_list();
    cell.run(200);
    assert_eq!(dead_workers(&mut cell), ["w0"]);
    // The row of workers names both to a new owner, and so does the list.
    cell.take_over();
    cell.run(300);
    cell.update_worker_list();
    cell.submit(2, QUICK, job(vec![step(4, 4_000, 60_000)]));
    cell.run(300);
    assert_eq!(dead_workers(&mut cell), ["w0"]);
    assert_eq!(cell.running_tasks(), 4);
    assert_eq!(cell.workers[0].starts, 4);
}

// Guards against the same while tasks run, at an owner that has not known the earlier incarnation.
#[parameterized(earlier_one_first = { true }, later_one_first = { false })]
fn an_earlier_incarnation_that_is_listed_late_interrupts_no_task(earlier_one_first: bool) {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(4, 4_000, 60_000)]));
    cell.run(200);
    assert_eq!(cell.running_tasks(), 4);
    let earlier = WorkerListing { life: "earlier".into(), ..cell.workers[0].listing() };
    cell.stale_listings_first = earlier_one_first;
    cell.stale_listings.push(earlier);
    cell.update_worker_list();
    cell.run(200);
    cell.update_worker_list();
    cell.run(7_000);
    assert_eq!(dead_workers(&mut cell), ["earlier"]);
    assert_eq!(cell.running_tasks(), 4);
    assert_eq!(cell.workers[0].starts, 4);
}

#[test]
fn a_start_in_progress_at_the_first_call_of_a_new_owner_is_counted() {
    let mut cell = TestCell::new(2);
    cell.submit(1, LARGE, job(vec![step(1, 12_000, 60_000)]));
    cell.run(100);
    let at = cell.workers.iter().position(|w| w.starts == 1).expect("a worker should run the task");
    let (task, run) = cell.workers[at].running.pop_first().expect("the task should run there");
    cell.workers[at].delayed_start = Some((task, run));
    cell.take_over();
    for id in 2..6 {
        cell.submit(id, QUICK, job(vec![step(2, 8_000, 200)]));
    }
    for _ in 0..100 {
        cell.run(5);
        cell.assert_within_capacity();
        cell.assert_no_duplicates();
    }
    cell.run(3_000);
    assert!((2..6).all(|id| cell.state(id) == Some(JobState::Completed)));
    assert_eq!(cell.running_tasks(), 1);
}

#[test]
fn tasks_being_stopped_count_before_the_workers_capacity_is_known() {
    let mut cell = TestCell::new(1);
    cell.workers[0].stop_delay_ms = 400;
    cell.submit(1, LARGE, job(vec![step(2, 6_000, 60_000)]));
    cell.run(100);
    assert_eq!(cell.running_tasks(), 2);
    // The cancellation is in the store; the owner is lost before it has called the worker.
    cell.engine.cancel(JobId(1), cell.now);
    cell.write_batches();
    assert_eq!(cell.state(1), Some(JobState::Cancelled));
    cell.take_over_without_worker_list();
    cell.run(100);
    cell.update_worker_list();
    for id in 2..6 {
        cell.submit(id, QUICK, job(vec![step(1, 8_000, 100)]));
    }
    for _ in 0..100 {
        cell.run(5);
        cell.assert_within_capacity();
    }
    cell.run(1_000);
    assert!((2..6).all(|id| cell.state(id) == Some(JobState::Completed)));
}

/// Guards against a new owner that acknowledges the end of a task in a round that it has not added
/// yet, and runs the task again. The store was down since the first round.
#[test]
fn tasks_that_are_done_in_rounds_that_are_not_stored_do_not_run_again() {
    let mut cell = TestCell::new(2);
    let schedule = Schedule { first_unix_ms: cell.now.0 + 500, interval_ms: 600, rounds: 3 };
    let raw =
        RawJob { template: "t".into(), steps: vec![step(1, 1_000, 200)], schedule: Some(schedule) };
    cell.submit(1, QUICK, Arc::new(JobSpec::try_from(raw).expect("job should be valid")));
    cell.run(400);
    cell.store_up = false;
    cell.run(1_600);
    let starts = cell.total_starts();
    assert_eq!(starts, 3);
    cell.store_up = true;
    cell.take_over();
    cell.run(2_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.total_starts(), starts);
}
