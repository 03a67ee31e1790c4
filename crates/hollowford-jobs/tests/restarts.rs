//! Workers that crash and restart under the same id.
//!
//! A restarted worker knows nothing of its earlier incarnation, and numbers its ends from 1. If the
//! owner distinguishes workers by their ids only, it ignores ends whose numbers it has already seen
//! and acknowledges them unread. Completed tasks then start again, failed tasks start more often
//! than their queue allows, and interrupted tasks are given up as vanished without counting the
//! crash. The owner must also not apply the lease, clock, capacity, address, tickets or health of
//! the earlier incarnation to the next one.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::{Millis, Resources};
use hollowford_jobs::*;
use std::collections::BTreeSet;

/// Returns the runs of a job whose start was ordered.
fn ordered_runs(cell: &TestCell, id: u64) -> BTreeSet<(TaskKey, u32)> {
    let run = |order: &Order| match order {
        Order::Worker { call: WorkerCall::Start { task, run, .. }, .. } => Some((*task, *run)),
        _ => None,
    };
    cell.executed_orders.iter().filter_map(run).filter(|(t, _)| t.step.job == JobId(id)).collect()
}

/// Returns a cell in which each worker has completed some tasks.
fn cell_with_completed_tasks(workers: usize) -> TestCell {
    let mut cell = TestCell::new(workers);
    cell.submit(1, QUICK, job(vec![step(16 * workers as u32, 1_000, 100)]));
    cell.run(1_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    cell
}

/// Restarts a worker under the same id, and lets the owner learn of it.
fn restart_worker(cell: &mut TestCell, at: usize) {
    cell.workers[at].restart_with_same_id();
    cell.update_worker_list();
    cell.run(500);
}

#[test]
fn tasks_done_by_the_next_incarnation_are_not_started_again() {
    let mut cell = cell_with_completed_tasks(1);
    restart_worker(&mut cell, 0);
    cell.submit(2, QUICK, job(vec![step(3, 1_000, 200)]));
    cell.run(3_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
    assert_eq!(ordered_runs(&cell, 2).len(), 3);
}

#[test]
fn failures_on_the_next_incarnation_count() {
    let mut cell = cell_with_completed_tasks(2);
    restart_worker(&mut cell, 0);
    restart_worker(&mut cell, 1);
    for w in &mut cell.workers {
        w.failing_jobs.insert(JobId(2));
    }
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 100)]));
    cell.run(10_000);
    assert_eq!(cell.state(2), Some(JobState::Failed));
    assert_eq!(ordered_runs(&cell, 2).len(), 3);
}

// The cell panics if the task is started a third time after three crashes.
#[test]
fn a_task_that_crashes_workers_restarted_under_the_same_id_fails() {
    let mut cell = TestCell::new(6);
    cell.crashes.jobs.insert(JobId(1));
    (cell.crashes.downtime, cell.crashes.same_id) = (Millis(700), true);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 500)]));
    cell.run(60_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
}

#[test]
fn a_worker_is_used_again_after_another_one_had_its_address() {
    let mut cell = cell_with_completed_tasks(2);
    let listing = cell.workers[0].listing();
    cell.workers[0].restart("stranger");
    cell.update_worker_list();
    cell.run(500);
    cell.workers[0].restart(listing.life.id().as_str());
    cell.workers[0].restarted_at = Some(cell.now);
    cell.workers[0].address = "10.0.0.77:1".into();
    cell.update_worker_list();
    cell.run(500);
    cell.submit(2, QUICK, job(vec![step(2, 16_000, 200)]));
    cell.run(150);
    assert_eq!(cell.running_tasks(), 2);
}

#[test]
fn a_restarted_worker_is_called_at_its_new_address() {
    let mut cell = cell_with_completed_tasks(1);
    cell.workers[0].address = "10.0.0.77:1".into();
    restart_worker(&mut cell, 0);
    cell.executed_orders.clear();
    cell.run(500);
    let call =
        |o: &Order| if let Order::Worker { call, .. } = o { Some(call.clone()) } else { None };
    let calls: Vec<_> = cell.executed_orders.iter().filter_map(call).collect();
    assert!(!calls.is_empty());
    assert!(calls.iter().all(|c| **c.address() == *"10.0.0.77:1"), "{calls:?}");
}

// The clock of the next incarnation starts anew. A lease in terms of the earlier clock ends far in
// the future; the worker shortens it to the longest lease, so a task may run longer than the owner
// assumes. The cell panics if the task runs on two workers.
#[test]
fn tasks_of_the_next_incarnation_are_not_started_elsewhere_before_its_lease_ends() {
    let mut cell = cell_with_completed_tasks(1);
    restart_worker(&mut cell, 0);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 20_000)]));
    cell.run(200);
    assert_eq!(cell.running_tasks(), 1);
    cell.workers[0].reachable = false;
    cell.workers.push(worker::SimWorker::new(5, cell.now));
    cell.update_worker_list();
    cell.run(15_000);
    assert_eq!(cell.running_tasks(), 1);
}

// The capacity of a worker may change with a restart, and is unknown until the list names the new
// incarnation. The cell panics if the tasks on a worker take more than its capacity.
#[test]
fn nothing_is_started_on_an_incarnation_that_is_not_listed() {
    let mut cell = cell_with_completed_tasks(1);
    cell.workers[0].restart_with_same_id();
    cell.workers[0].capacity = Resources::new(4_000, 64_000, 0);
    cell.run(500);
    cell.submit(2, QUICK, job(vec![step(16, 1_000, 200)]));
    cell.run(500);
    cell.update_worker_list();
    cell.run(3_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// A call without an answer may still be executed seconds later, also by the next incarnation, since
// both have the same id. The cell panics if the task runs on two workers.
#[test]
fn a_start_for_the_earlier_incarnation_does_not_run_on_the_next_one() {
    let mut cell = cell_with_completed_tasks(2);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 20_000)]));
    let orders = cell.poll();
    cell.write_batches();
    let orders: Vec<_> = orders.into_iter().chain(cell.poll()).collect();
    let is_start = |o: &Order| matches!(o, Order::Worker { call: WorkerCall::Start { .. }, .. });
    let (starts, others): (Vec<_>, Vec<_>) = orders.into_iter().partition(is_start);
    cell.execute_all(others);
    let [Order::Worker { call, .. }] = &starts[..] else { panic!("{starts:?}") };
    let WorkerCall::Start { worker, task, run, lease_until, .. } = call.clone() else { return };
    cell.engine.start_answered(&worker, (task, run), StartAnswer::Unanswered, cell.now, cell.now);
    let at = cell
        .workers
        .iter()
        .position(|w| w.id == *worker.id())
        .expect("the worker of the start should exist");
    cell.workers[at].reachable = false;
    cell.run(6_000);
    assert_eq!(cell.running_tasks(), 1);
    restart_worker(&mut cell, at);
    let (epoch, spec) = (cell.engine.epoch(), cell.specs[&JobId(2)].clone());
    cell.workers[at].start(task, run, lease_until, epoch, &spec.steps[0], "".into());
    cell.assert_runs_once(task);
    cell.run(5_000);
    assert_eq!(cell.running_tasks(), 1);
}

#[test]
fn tickets_of_the_earlier_incarnation_are_not_used_for_the_next_one() {
    let mut cell = TestCell::new(1);
    let cost = AdviceCost { base_ms: 5.0, per_worker_ms: 0.1, ticket_validity: Millis(60_000) };
    cell.set_queues(vec![queue(QUICK, 0, Some(cost)), queue(LARGE, 1, None)]);
    cell.submit(1, QUICK, job(vec![step(2, 16_000, 2_000)]));
    cell.run(100);
    assert_eq!(cell.running_tasks(), 1);
    restart_worker(&mut cell, 0);
    cell.run(6_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.engine.stats().refused, 0);
}

#[test]
fn quarantine_of_the_earlier_incarnation_does_not_apply_to_the_next_one() {
    let mut cell = cell_with_completed_tasks(2);
    cell.workers[0].fails_all = true;
    for id in 2..20 {
        cell.submit(id, QUICK, job(vec![step(2, 8_000, 50)]));
        cell.run(150);
    }
    assert!(cell.engine.stats().put_aside > 0);
    cell.run(20);
    restart_worker(&mut cell, 0);
    cell.submit(50, LARGE, job(vec![step(2, 16_000, 5_000)]));
    cell.run(150);
    assert_eq!(cell.running_tasks(), 2);
}

/// Returns a cell whose only worker has restarted, and the worker's earlier incarnation.
fn cell_with_restarted_worker() -> (TestCell, WorkerLife) {
    let mut cell = cell_with_completed_tasks(1);
    let earlier = cell.workers[0].life();
    restart_worker(&mut cell, 0);
    (cell, earlier)
}

/// Submits a job with one task. Returns true if the first worker runs it.
fn is_used(cell: &mut TestCell, id: u64) -> bool {
    cell.submit(id, LARGE, job(vec![step(1, 1_000, 60_000)]));
    cell.run(200);
    cell.workers[0].running.keys().any(|t| t.step.job == JobId(id))
}

// Answers on different connections may arrive out of order.
#[test]
fn a_late_answer_of_the_earlier_incarnation_changes_nothing() {
    let (mut cell, earlier) = cell_with_restarted_worker();
    assert!(is_used(&mut cell, 2));
    let look = Look { incarnation: earlier.incarnation(), clock: 999_999, ..Look::default() };
    let (sent, now) = (cell.now - Millis(700), cell.now);
    cell.engine.look_answered_late(&earlier, LookAnswer::Lists(look), Millis(sent.0), now);
    cell.run(5_000);
    assert_eq!(cell.running_tasks(), 1);
    assert_eq!(cell.engine.stats().crashes, 1);
    assert_eq!(ordered_runs(&cell, 2).len(), 1);
}

// The list is read from a store, so it may be older than a worker's last answer.
#[test]
fn a_list_that_still_names_the_earlier_incarnation_changes_nothing() {
    let (mut cell, earlier) = cell_with_restarted_worker();
    assert!(is_used(&mut cell, 2));
    let stale = WorkerListing { life: earlier, ..cell.workers[0].listing() };
    cell.engine.set_worker_list(&[stale], cell.now);
    cell.run(2_000);
    assert_eq!(cell.running_tasks(), 1);
    cell.update_worker_list();
    assert!(is_used(&mut cell, 3));
    assert_eq!(ordered_runs(&cell, 2).len(), 1);
}

// An incarnation is a time of day, which may be set back.
#[test]
fn an_incarnation_with_an_earlier_start_time_is_the_next_one() {
    let mut cell = TestCell::new(1);
    cell.workers[0].restarted_at = Some(cell.now + Millis(60_000));
    cell.update_worker_list();
    cell.run(500);
    restart_worker(&mut cell, 0);
    assert!(is_used(&mut cell, 2));
}

#[test]
fn a_worker_that_reports_no_incarnation_is_used() {
    let mut cell = TestCell::new(1);
    cell.workers[0].reports_incarnation = false;
    cell.take_over();
    cell.update_worker_list();
    assert!(is_used(&mut cell, 2));
    cell.update_worker_list();
    cell.run(10_000);
    assert_eq!(ordered_runs(&cell, 2).len(), 1);
}

// Rows and lists written by an earlier release name only the worker's id.
#[test]
fn the_first_answer_of_a_worker_known_by_its_id_names_its_incarnation() {
    let mut cell = TestCell::new(1);
    assert!(is_used(&mut cell, 2));
    let listing = cell.workers[0].listing();
    let unnamed = |id: &WorkerLife| WorkerLife::new(id.id().clone(), None);
    let row = WorkerAddress { life: unnamed(&listing.life), address: listing.address.clone() };
    cell.rows.insert("workers".into(), encode_workers(&[row]));
    cell.take_over_without_worker_list();
    cell.engine.set_advice_channels(&[AdviceChannel { address: "".into() }]);
    let old = WorkerListing { life: unnamed(&listing.life), ..listing };
    cell.engine.set_worker_list(&[old], cell.now);
    cell.run(500);
    cell.update_worker_list();
    cell.run(5_000);
    assert!(is_used(&mut cell, 3));
    assert_eq!(ordered_runs(&cell, 2).len(), 1, "the task should continue after the takeover");
    restart_worker(&mut cell, 0);
    cell.run(500);
    assert_eq!(cell.running_tasks(), 2);
    assert_eq!(ordered_runs(&cell, 2).len(), 2);
}

#[test]
fn a_new_owner_detects_a_restart_that_the_earlier_owner_missed() {
    let mut cell = TestCell::new(1);
    assert!(is_used(&mut cell, 2));
    cell.run(1_000);
    cell.workers[0].restart_with_same_id();
    cell.take_over();
    cell.run(1_000);
    assert_eq!(cell.engine.stats().crashes, 1);
    assert_eq!(cell.running_tasks(), 1);
    assert!(is_used(&mut cell, 3));
}

/// Submits a job, and returns the call for its start without executing it.
fn order_start(cell: &mut TestCell, id: u64) -> WorkerCall {
    cell.submit(id, LARGE, job(vec![step(1, 1_000, 20_000)]));
    cell.poll();
    cell.write_batches();
    let is_start = |c: &WorkerCall| matches!(c, WorkerCall::Start { .. });
    let calls = cell.poll().into_iter().filter_map(|o| match o {
        Order::Worker { call, .. } => Some(call),
        Order::Advice { .. } => None,
    });
    calls.into_iter().find(is_start).expect("the engine should order a start")
}

/// Returns true if only this run of the job was ordered.
fn is_only_run(cell: &TestCell, call: &WorkerCall) -> bool {
    let WorkerCall::Start { task, run, .. } = call else { return false };
    ordered_runs(cell, task.step.job.0).iter().all(|(_, r)| r == run)
}

// A start may reach the next incarnation before the owner knows of the restart. The task continues.
#[test]
fn a_task_started_by_the_next_incarnation_is_not_started_elsewhere() {
    let mut cell = cell_with_completed_tasks(1);
    let call = order_start(&mut cell, 2);
    cell.workers[0].restart_with_same_id();
    cell.call(call.clone(), cell.engine.epoch());
    cell.workers.push(worker::SimWorker::new(5, cell.now));
    cell.run(3_000);
    assert_eq!(cell.running_tasks(), 1);
    assert!(is_only_run(&cell, &call));
    assert_eq!(cell.engine.stats().vanished, 0);
}

// As above, but the task has ended before the owner learns of the restart. The owner's next call
// must not acknowledge that end unread.
#[test]
fn an_end_on_the_next_incarnation_counts_before_the_restart_is_known() {
    let mut cell = cell_with_completed_tasks(1);
    let call = order_start(&mut cell, 2);
    cell.workers[0].reachable = false;
    cell.run(20);
    cell.workers[0].restart_with_same_id();
    let epoch = cell.engine.epoch();
    let WorkerCall::Start { worker, task, run, lease_until, .. } = call.clone() else { return };
    let spec = cell.specs[&JobId(2)].clone();
    cell.workers[0].start(task, run, lease_until, epoch, &spec.steps[0], "".into());
    cell.workers[0].end(task, EndKind::Done);
    let (sent, now) = (cell.now, cell.now);
    cell.engine.start_answered(&worker, (task, run), StartAnswer::Unanswered, sent, now);
    cell.run(1_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
    assert!(is_only_run(&cell, &call));
}

/// Orders a start, and restarts the worker under the same id after `silent_ms` without answers. The
/// next incarnation answers the start. Such an answer doesn't name the incarnation.
fn start_answered_by_next_incarnation(cell: &mut TestCell, id: u64, silent_ms: u64) -> WorkerCall {
    let call = order_start(cell, id);
    cell.workers[0].reachable = false;
    cell.run(silent_ms);
    cell.workers[0].restart_with_same_id();
    cell.workers[0].reachable = true;
    cell.call(call.clone(), cell.engine.epoch());
    call
}

#[test]
fn an_end_is_not_acknowledged_unread_after_the_next_incarnation_answered_a_start() {
    let mut cell = cell_with_completed_tasks(1);
    let call = start_answered_by_next_incarnation(&mut cell, 2, 20);
    let WorkerCall::Start { task, .. } = call.clone() else { return };
    cell.workers[0].end(task, EndKind::Done);
    cell.run(1_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
    assert!(is_only_run(&cell, &call));
}

// The owner got no answer from the worker after it had started the first task. The answer of the
// next incarnation is no evidence that the earlier one ran the task for longer.
#[test]
fn an_answer_of_the_next_incarnation_does_not_make_a_crash_count_as_late() {
    let mut cell = cell_with_completed_tasks(1);
    assert!(is_used(&mut cell, 2));
    start_answered_by_next_incarnation(&mut cell, 3, 1_000);
    cell.run(500);
    let fresh = |e: &Event| match e {
        Event::WorkerCrashed { task, fresh, .. } => (task.step.job == JobId(2)).then_some(*fresh),
        _ => None,
    };
    let events = cell.engine.take_events();
    assert_eq!(events.iter().filter_map(fresh).collect::<Vec<_>>(), [true]);
}

// The first answer of an incarnation may arrive after the next one has been listed.
#[test]
fn a_late_first_answer_does_not_end_a_later_incarnation() {
    let mut cell = TestCell::new(0);
    let mut w = worker::SimWorker::new(0, cell.now);
    cell.engine.set_worker_list(&[w.listing()], cell.now);
    let sent = cell.now;
    cell.poll();
    let LookAnswer::Lists(look) = w.look(None, 0, 1) else { panic!("the worker should answer") };
    let earlier = w.life();
    cell.now = cell.now + Millis(100);
    w.tick(cell.now);
    w.restart_with_same_id();
    cell.workers.push(w);
    cell.update_worker_list();
    cell.engine.look_answered_late(&earlier, LookAnswer::Lists(look), sent, cell.now);
    cell.run(1_000);
    assert!(is_used(&mut cell, 2));
}

/// Returns true if a crash was counted against a task of the job.
fn is_blamed(cell: &mut TestCell, id: u64) -> bool {
    let blamed =
        |e: &Event| matches!(e, Event::WorkerCrashed { task, .. } if task.step.job == JobId(id));
    cell.engine.take_events().iter().any(blamed)
}

#[test]
fn a_task_started_by_the_next_incarnation_is_not_blamed_for_the_earlier_crash() {
    let mut cell = cell_with_completed_tasks(1);
    let call = order_start(&mut cell, 2);
    cell.workers[0].restart_with_same_id();
    cell.call(call, cell.engine.epoch());
    cell.run(500);
    assert_eq!(cell.running_tasks(), 1);
    assert!(!is_blamed(&mut cell, 2));
}

// The earlier incarnation has ended as soon as the next one answers, even before its lease ends.
#[test]
fn tasks_restart_once_the_next_incarnation_answers_at_another_address() {
    let mut cell = cell_with_completed_tasks(1);
    assert!(is_used(&mut cell, 2));
    cell.workers[0].address = "10.0.0.77:1".into();
    restart_worker(&mut cell, 0);
    assert_eq!(cell.running_tasks(), 1);
}

#[test]
fn a_crash_is_not_counted_again_for_a_list_that_still_names_the_earlier_incarnation() {
    let (mut cell, earlier) = cell_with_restarted_worker();
    let stale = WorkerListing { life: earlier, ..cell.workers[0].listing() };
    cell.engine.set_worker_list(&[stale], cell.now);
    cell.run(1_000);
    assert_eq!(cell.engine.stats().crashes, 1);
    assert_eq!(cell.engine.view(cell.now).workers, 1);
}

// The answer of the advice service about the earlier incarnation arrives after the restart is
// known.
#[test]
fn a_ticket_requested_for_the_earlier_incarnation_is_not_used_for_the_next_one() {
    let mut cell = TestCell::new(1);
    let cost = AdviceCost { base_ms: 1_000.0, per_worker_ms: 0.1, ticket_validity: Millis(60_000) };
    cell.set_queues(vec![queue(QUICK, 0, Some(cost)), queue(LARGE, 1, None)]);
    cell.delay_advice = true;
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 500)]));
    cell.run(200);
    restart_worker(&mut cell, 0);
    cell.run(4_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.engine.stats().refused, 0);
}

// The row of the start names the incarnation that was called; the new owner finds another one under
// the same id.
#[test]
fn a_new_owner_counts_a_crash_although_a_worker_with_the_same_id_is_there() {
    let mut cell = TestCell::new(3);
    cell.crashes.jobs.insert(JobId(1));
    (cell.crashes.downtime, cell.crashes.same_id) = (Millis(700), true);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 500)]));
    while cell.crashes.count < 2 {
        cell.run(5);
    }
    cell.take_over();
    cell.engine.take_events();
    cell.run(900);
    assert!(is_blamed(&mut cell, 1));
}

// Two calls are made while the worker is known by its id only, and the first is answered late.
#[test]
fn a_late_answer_counts_after_the_incarnation_has_become_known() {
    let mut cell = TestCell::new(1);
    let (life, address) = (cell.workers[0].life(), cell.workers[0].address.clone());
    let row = WorkerAddress { life: WorkerLife::new(life.id().clone(), None), address };
    cell.rows.insert("workers".into(), encode_workers(std::slice::from_ref(&row)));
    cell.take_over_without_worker_list();
    let answer = cell.workers[0].look(None, 0, 2);
    assert_eq!(cell.poll().len(), 1);
    cell.engine.look_answered(&row.life, LookAnswer::Unanswered, cell.now, cell.now);
    let sent = cell.now;
    cell.now = cell.now + Millis(100);
    assert_eq!(cell.poll().len(), 1);
    cell.engine.look_answered_late(&row.life, answer.clone(), sent, cell.now);
    cell.engine.look_answered(&row.life, answer, cell.now, cell.now);
    cell.update_worker_list();
    cell.engine.set_advice_channels(&[AdviceChannel { address: "".into() }]);
    cell.run(1_000);
    assert!(is_used(&mut cell, 2));
}

// A task with counted crashes isn't started again while the outcome of a run is unknown. So a run
// that the next incarnation has started must be recorded for that incarnation.
#[test]
fn a_recorded_run_started_by_the_next_incarnation_stays_open_there() {
    let mut cell = TestCell::new(1);
    cell.crashes.jobs.insert(JobId(1));
    (cell.crashes.downtime, cell.crashes.same_id) = (Millis(700), true);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 20_000)]));
    while cell.engine.stats().crashes < 1 {
        cell.run(5);
    }
    cell.crashes.jobs.clear();
    let call = loop {
        cell.now = cell.now + Millis(5);
        cell.workers[0].tick(cell.now);
        let orders = cell.poll();
        let is_start =
            |o: &Order| matches!(o, Order::Worker { call: WorkerCall::Start { .. }, .. });
        let (mut starts, others): (Vec<_>, Vec<_>) = orders.into_iter().partition(is_start);
        cell.execute_all(others);
        if let Some(Order::Worker { call, .. }) = starts.pop() {
            break call;
        }
    };
    cell.workers[0].restart_with_same_id();
    cell.call(call, cell.engine.epoch());
    cell.run(2_000);
    assert_eq!(cell.running_tasks(), 1);
    assert_eq!(cell.engine.stuck_tasks(), Vec::new());
}
