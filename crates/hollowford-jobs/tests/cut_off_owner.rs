//! An owner goes on after another process has taken over: it is cut off together with a worker, or
//! was paused.
//!
//! Guards against an owner that renews leases at a worker, or starts tasks there, for longer than the
//! next owner waits for workers that it doesn't reach: the tasks then run twice.

mod common;

use common::*;
use hollowford_core::{Millis, Resources};
use hollowford_jobs::*;
use std::mem::swap;
use yare::parameterized;

/// For how long after a confirmation of its ownership an owner renews leases.
/// [`TIME_LIMITS`]`.previous_lease` includes it.
const MAX_CONFIRMATION_AGE: Millis = Millis(2_000);
/// Longer than any test runs, in milliseconds.
const ENDLESS_MS: u64 = 600_000;

/// A cell with two owners: the new one reaches the store and worker 1, the old one worker 0.
struct SplitCell {
    cell: TestCell,
    old_owner: Engine,
    old_batches: Vec<Batch>,
    /// When it was last certain that nobody had taken over from the old owner.
    confirmed_at: Millis,
}

impl SplitCell {
    /// Lets another owner take over `after` the last confirmation of the old one's ownership.
    fn new(mut cell: TestCell, after: u64) -> SplitCell {
        let confirmed_at = cell.now;
        cell.run(after);
        let mut old_owner = Engine::new(1, TIME_LIMITS, cell.now);
        swap(&mut cell.engine, &mut old_owner);
        let mut split = SplitCell { cell, old_owner, old_batches: Vec::new(), confirmed_at };
        split.cell.workers[0].reachable = false;
        split.cell.take_over();
        split
    }

    /// Advances the clock and polls the new owner.
    fn run_new_owner(&mut self, ms: u64) {
        self.cell.run(ms);
    }

    /// Advances the clock and polls both owners. The cell panics if a task runs twice.
    fn run_both_owners(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.cell.run(5);
            self.poll_old_owner();
        }
    }

    fn poll_old_owner(&mut self) {
        let age = self.cell.now.since(self.confirmed_at);
        self.old_owner.set_lease_renewal(age < MAX_CONFIRMATION_AGE);
        self.swap_sides();
        self.cell.poll_and_execute();
        self.swap_sides();
    }

    /// Exchanges the two owners and what each reaches.
    fn swap_sides(&mut self) {
        swap(&mut self.cell.engine, &mut self.old_owner);
        swap(&mut self.cell.pending_batches, &mut self.old_batches);
        self.cell.store_up = !self.cell.store_up;
        for w in &mut self.cell.workers {
            w.reachable = !w.reachable;
        }
    }
}

/// Returns a cell of two workers, with a task on each that runs until the end of the test.
fn cell_with_endless_tasks() -> TestCell {
    let mut cell = TestCell::new(2);
    cell.submit(1, LARGE, job(vec![step(2, 9_000, ENDLESS_MS)]));
    cell.run(200);
    assert!(cell.workers.iter().all(|w| w.running.len() == 1));
    cell.workers[1].capacity = Resources::new(32_000, 64_000, 0);
    cell.update_worker_list();
    cell
}

#[parameterized(
    at_once = { 0 },
    after_half_a_second = { 500 },
    when_renewals_are_about_to_end = { 1_990 },
)]
fn a_task_of_a_cut_off_owner_runs_elsewhere_once_its_lease_is_over(after: u64) {
    let mut split = SplitCell::new(cell_with_endless_tasks(), after);
    split.run_both_owners(3_000);
    assert_eq!(split.cell.workers[0].running.len(), 1, "the lease isn't over");
    split.run_both_owners(9_000);
    assert_eq!(split.cell.workers[0].running.len(), 0);
    assert_eq!(split.cell.workers[1].running.len(), 2);
}

// It knows of tasks that wait, or gives up those whose leases ended during the pause, and the worker
// takes its orders.
#[parameterized(
    short = { 2_500 },
    until_the_leases_are_over = { 4_000 },
    until_the_next_owner_has_started_the_task = { 8_000 },
)]
fn an_owner_that_was_paused_starts_nothing(pause: u64) {
    let mut split = SplitCell::new(cell_with_endless_tasks(), 100);
    split.run_new_owner(pause);
    let starts = split.cell.workers[0].starts;
    split.run_both_owners(9_000);
    assert_eq!(split.cell.workers[0].starts, starts);
    assert_eq!(split.cell.workers[1].running.len(), 2);
}

// An outage of the store that ends without a takeover must not end work.
#[test]
fn renewals_that_are_suspended_for_less_than_a_lease_end_no_task() {
    let mut cell = cell_with_endless_tasks();
    cell.engine.set_lease_renewal(false);
    cell.run(2_500);
    cell.engine.set_lease_renewal(true);
    cell.run(5_000);
    assert_eq!(cell.engine.stats().lapsed, 0);
    assert_eq!(cell.total_starts(), 2);
}

#[test]
fn tasks_that_waited_for_renewals_start_as_soon_as_they_go_on() {
    let mut cell = TestCell::new(1);
    cell.engine.set_lease_renewal(false);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, ENDLESS_MS)]));
    cell.run(1_000);
    assert_eq!(cell.engine.stats().started, 0, "no room is taken either");
    cell.engine.set_lease_renewal(true);
    cell.run(100);
    assert_eq!(cell.total_starts(), 1);
}

/// Polls the engine until it starts a task, and loses that order.
fn lose_next_start(cell: &mut TestCell) {
    for _ in 0..100 {
        cell.now = cell.now + Millis(5);
        for order in cell.poll() {
            match order {
                Order::Worker { call: WorkerCall::Start { worker, task, run, .. }, .. } => {
                    let (answer, now) = (StartAnswer::Unanswered, cell.now);
                    cell.engine.start_answered(&worker, (task, run), answer, now, now);
                    return;
                }
                other => cell.execute_all(vec![other]),
            }
        }
        cell.write_batches();
    }
    panic!("no task is started");
}

#[test]
fn a_start_without_an_answer_is_not_repeated_while_leases_are_not_renewed() {
    let mut cell = TestCell::new(1);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, ENDLESS_MS)]));
    lose_next_start(&mut cell);
    cell.engine.set_lease_renewal(false);
    cell.run(1_000);
    assert_eq!(cell.total_starts(), 0);
    cell.engine.set_lease_renewal(true);
    cell.run(1_000);
    assert_eq!(cell.total_starts(), 1);
}

// The owner before the last one may still renew the leases of workers that neither reaches.
#[test]
fn a_new_owner_waits_for_as_long_as_leases_of_earlier_owners_may_last() {
    let mut cell = cell_with_endless_tasks();
    cell.workers[0].reachable = false;
    cell.take_over();
    let until = cell.now + Millis(20_000);
    cell.engine.set_earlier_leases_until(until);
    while cell.now < until {
        cell.workers[0].lease_until = u64::MAX;
        cell.run(100);
        assert_eq!(cell.workers[1].running.len(), 1);
    }
    cell.workers[0].running.clear();
    cell.run(500);
    assert_eq!(cell.workers[1].running.len(), 2);
}
