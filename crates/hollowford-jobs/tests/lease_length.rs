//! How long the leases last that an owner's orders grant.
//!
//! Guards against orders that grant a longer lease than `TimeLimits::lease`, or grant one while
//! renewals are suspended: the next owner waits for `TimeLimits::previous_lease` only, and tasks then
//! run twice.

mod common;

use common::*;
use hollowford_core::{Millis, Resources};
use hollowford_jobs::*;
use std::mem::swap;
use yare::parameterized;

const MAX_CONFIRMATION_AGE: Millis = Millis(2_000);
const ENDLESS_MS: u64 = 600_000;

fn cell_with_endless_tasks() -> TestCell {
    let mut cell = TestCell::new(2);
    cell.submit(1, LARGE, job(vec![step(2, 9_000, ENDLESS_MS)]));
    cell.run(200);
    assert!(cell.workers.iter().all(|w| w.running.len() == 1));
    cell
}

fn enlarge_worker_1(cell: &mut TestCell) {
    cell.workers[1].capacity = Resources::new(32_000, 64_000, 0);
    cell.update_worker_list();
}

// The new incarnation's lease counts as the longest one, and the next look grants it.
#[test]
fn a_task_on_a_restarted_worker_runs_once_after_its_owner_crashed() {
    let mut cell = cell_with_endless_tasks();
    cell.workers[0].restart_with_same_id();
    cell.update_worker_list();
    cell.run(600);
    assert_eq!(cell.workers[0].running.len(), 1);
    enlarge_worker_1(&mut cell);
    cell.workers[0].reachable = false;
    cell.take_over();
    // The cell panics if a task runs twice.
    cell.run(9_000);
    assert_eq!(cell.workers[1].running.len(), 2);
}

#[test]
fn the_first_lease_of_a_restarted_worker_is_as_long_as_any_other() {
    let mut cell = cell_with_endless_tasks();
    cell.workers[0].restart_with_same_id();
    cell.update_worker_list();
    cell.run(600);
    let left = cell.workers[0].lease_until - cell.workers[0].clock();
    assert!(left <= TIME_LIMITS.lease.0, "{left} ms");
}

#[test]
fn the_first_lease_of_a_claimed_worker_is_as_long_as_any_other() {
    let mut cell = cell_with_endless_tasks();
    cell.take_over();
    cell.run(100);
    let left = cell.workers[0].lease_until - cell.workers[0].clock();
    assert!(left <= TIME_LIMITS.lease.0, "{left} ms");
}

// The owner claims a worker late, shortly before or after it stops renewing leases.
#[parameterized(
    before_renewals_end = { 1_700 },
    after_renewals_end = { 2_200 },
)]
fn an_owner_that_claims_a_worker_after_it_was_replaced_extends_no_lease(claimed_after: u64) {
    let mut cell = cell_with_endless_tasks();
    enlarge_worker_1(&mut cell);
    cell.workers[0].reachable = false;
    cell.take_over();
    let confirmed_at = cell.now;
    cell.run(100);
    let mut old = Engine::new(cell.engine.epoch(), TIME_LIMITS, cell.now);
    swap(&mut cell.engine, &mut old);
    cell.take_over();
    cell.run(claimed_after);
    let mut old_batches = Vec::new();
    for _ in 0..1_800 {
        cell.run(5);
        old.set_lease_renewal(cell.now.since(confirmed_at) < MAX_CONFIRMATION_AGE);
        for new_side in [false, true] {
            if new_side {
                cell.poll_and_execute();
            }
            swap(&mut cell.engine, &mut old);
            swap(&mut cell.pending_batches, &mut old_batches);
            cell.store_up = !cell.store_up;
            cell.workers.iter_mut().for_each(|w| w.reachable = !w.reachable);
        }
    }
    assert_eq!(cell.workers[1].running.len(), 2);
}
