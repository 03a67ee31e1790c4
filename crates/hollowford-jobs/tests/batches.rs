//! Batches of rows that the store refuses or commits out of order, and jobs that are withdrawn.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

#[test]
fn all_rows_of_a_refused_batch_are_written_again() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(2, 1_000, 100), step(1, 1_000, 60_000)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(150);
    // The two short tasks have ended. Now a second job arrives.
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 60_000)]));
    for _ in 0..3 {
        cell.refuse_pending();
        cell.run(20);
    }
    cell.store_up = true;
    cell.run(50);
    assert_eq!(cell.engine.is_durable(JobId(2)), Some(true));
    // Everything is in the store, so a new owner doesn't need the ends that workers have dropped.
    cell.take_over();
    cell.run(200);
    assert_eq!(cell.workers[0].starts, 4);
}

#[test]
fn an_end_is_shown_only_once_its_batch_is_committed() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(200);
    cell.refuse_pending();
    cell.run(50);
    assert_eq!(cell.state(1), Some(JobState::Running));
    cell.store_up = true;
    cell.run(50);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn a_withdrawn_job_never_runs_and_may_be_resubmitted() {
    let mut cell = TestCell::new(1);
    cell.run(50);
    cell.store_up = false;
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(20);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 100)]));
    // The first job is in the batch in flight and can't be withdrawn.
    assert_eq!(cell.engine.withdraw_unsent(), vec![JobId(2)]);
    cell.refuse_pending();
    assert_eq!(cell.engine.withdraw_unsent(), vec![JobId(1)]);
    cell.store_up = true;
    cell.run(500);
    assert_eq!(cell.workers[0].starts, 0);
    assert_eq!(cell.state(1), None);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

/// Returns an id for `i`. The ids are spread over all values, like those that callers choose.
fn scattered_id(i: u64) -> u64 {
    i.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Returns which of these jobs are durable.
fn durable(cell: &TestCell, ids: impl Iterator<Item = u64>) -> Vec<bool> {
    ids.map(|i| cell.engine.is_durable(JobId(scattered_id(i))) == Some(true)).collect()
}

#[test]
fn jobs_are_written_in_order_of_arrival_and_a_batch_takes_more_than_eighty() {
    let mut cell = TestCell::new(1);
    for i in 0..200 {
        cell.submit(scattered_id(i), LARGE, job(vec![step(1, 16_000, 60_000)]));
    }
    cell.write_batches();
    let first = durable(&cell, 0..200);
    let written = first.iter().filter(|&&d| d).count();
    assert!(written > 80, "only {written} jobs in the first batch");
    assert!(first[..written].iter().all(|&d| d), "jobs should be written in the order of arrival");
    cell.write_batches();
    assert!(durable(&cell, 0..2 * written as u64).iter().all(|&d| d));
}

#[test]
fn progress_is_written_while_more_jobs_arrive_than_a_batch_takes() {
    let mut cell = TestCell::new(8);
    // Each of these has a task that ends and one that continues.
    for i in 0..20 {
        let spec = job(vec![step(1, 1_000, 50), step(1, 1_000, 60_000)]);
        cell.submit(scattered_id(i), QUICK, spec);
    }
    cell.run(40);
    cell.store_up = false;
    cell.run(200);
    cell.store_up = true;
    // Before each batch more jobs arrive than it can take.
    for round in 0..8 {
        for i in 0..100 {
            let id = scattered_id(1_000 + round * 100 + i);
            cell.submit(id, LARGE, job(vec![step(1, 16_000, 60_000)]));
        }
        cell.write_batches();
    }
    let progress = cell.rows.keys().filter(|k| k.starts_with("p/")).count();
    assert_eq!(progress, 20);
}

#[test]
fn a_job_is_withdrawn_unless_it_is_in_a_batch() {
    let mut cell = TestCell::new(1);
    cell.run(50);
    cell.store_up = false;
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(20);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 100)]));
    assert!(!cell.engine.withdraw(JobId(1)), "the job is in the batch in flight");
    assert!(cell.engine.withdraw(JobId(2)));
    cell.store_up = true;
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.state(2), None);
    assert_eq!(cell.workers[0].starts, 1);
}

#[test]
fn the_batches_ahead_grow_with_the_jobs_to_be_written() {
    let mut cell = TestCell::new(1);
    cell.run(50);
    cell.store_up = false;
    assert_eq!(cell.engine.batches_ahead(), 1);
    for i in 0..330 {
        cell.submit(scattered_id(i), LARGE, job(vec![step(1, 1_000, 100)]));
    }
    assert_eq!(cell.engine.batches_ahead(), 8);
    cell.engine.withdraw_unsent();
    assert_eq!(cell.engine.batches_ahead(), 1);
}

/// Maximum number of batches in flight at a time.
const MAX_BATCHES_IN_FLIGHT: usize = 3;
/// Number of jobs submitted for each seed.
const JOBS_PER_SEED: u64 = 60;

/// Adds, commits or refuses a batch, or lets another owner take over, or does nothing.
fn disturb_at_random(cell: &mut TestCell, random: &mut fastrand::Rng) {
    let in_flight = cell.pending_batches.len();
    match random.u32(0..12) {
        0..=3 if in_flight < MAX_BATCHES_IN_FLIGHT => {
            cell.add_pending_batch();
        }
        4..=8 if in_flight > 0 => cell.write_batch(random.usize(..in_flight)),
        9 if in_flight > 0 => {
            let batch = cell.pending_batches.swap_remove(random.usize(..in_flight));
            cell.engine.batch_refused(batch.number);
        }
        10 if random.u32(0..4) == 0 => {
            // Some of the batches in flight are committed in any order, without an answer.
            for _ in 0..random.usize(..=in_flight) {
                let left = cell.pending_batches.len();
                cell.write_batch_unconfirmed(random.usize(..left));
            }
            cell.take_over();
        }
        _ => {}
    }
}

/// With several batches in flight that are committed or refused in any order, and with takeovers in
/// between, durable jobs stay durable, and no task starts again after its worker has dropped its
/// end.
#[test]
fn batches_committed_in_any_order_lose_nothing_and_start_nothing_twice() {
    for seed in 1..=40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut cell = TestCell::new(4);
        cell.store_up = false;
        let mut durable = std::collections::BTreeSet::new();
        for iteration in 0..2_000 {
            if iteration % 20 == 0 && iteration / 20 < JOBS_PER_SEED {
                // The tasks run on different workers, so that their ends are written one by one.
                let steps = (0..3).map(|_| step(1, 9_000, random.u64(5..150)));
                cell.submit(iteration / 20, QUICK, job(steps.collect()));
            }
            cell.run(5);
            disturb_at_random(&mut cell, &mut random);
            durable.extend(
                (0..JOBS_PER_SEED).filter(|&id| cell.engine.is_durable(JobId(id)) == Some(true)),
            );
        }
        cell.store_up = true;
        cell.run(10_000);
        assert!(!durable.is_empty(), "seed {seed}");
        for id in &durable {
            assert_eq!(cell.state(*id), Some(JobState::Completed), "seed {seed}: job {id}");
        }
        let completed =
            (0..JOBS_PER_SEED).filter(|&id| cell.state(id) == Some(JobState::Completed)).count();
        let starts: u64 = cell.workers.iter().map(|w| w.starts).sum();
        assert_eq!(starts, 3 * completed as u64, "seed {seed}");
    }
}

#[test]
fn rows_of_old_jobs_are_removed_after_the_batch_that_removes_them_is_refused() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 20)]));
    cell.run(200);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    cell.now = cell.now + TIME_LIMITS.ended_job_retention + TIME_LIMITS.ended_job_retention;
    assert!(cell.add_pending_batch());
    cell.refuse_pending();
    assert!(cell.rows.keys().any(|k| k.starts_with("j/")));
    cell.write_batches();
    assert!(!cell.rows.keys().any(|k| k.starts_with("j/")), "{:?}", cell.rows.keys());
}

/// Maximum number of rows in a batch. The platform takes 100 entries per transaction; two are used
/// for the row of the batch's lane and one for the row of workers.
const MAX_BATCH_ROWS: usize = 97;

/// The store refuses one batch after the other while old jobs are due for removal. If the removals
/// of refused batches accumulate, the next batch no longer fits into a transaction.
#[test]
fn a_batch_after_many_refused_ones_still_fits_a_transaction() {
    let mut cell = TestCell::new(8);
    for i in 0..200 {
        cell.submit(scattered_id(i), LARGE, job(vec![step(1, 100, 20)]));
    }
    cell.run(2_000);
    assert_eq!(cell.rows.keys().filter(|k| k.starts_with("j/")).count(), 200);
    cell.now = cell.now + TIME_LIMITS.ended_job_retention + TIME_LIMITS.ended_job_retention;
    for i in 200..400 {
        cell.submit(scattered_id(i), LARGE, job(vec![step(1, 16_000, 60_000)]));
    }
    for _ in 0..20 {
        assert!(cell.add_pending_batch());
        let entries = cell.pending_batches[0].rows.len();
        assert!(entries <= MAX_BATCH_ROWS, "{entries} rows in the batch");
        cell.refuse_pending();
    }
    for _ in 0..60 {
        cell.write_batches();
    }
    assert_eq!(durable(&cell, 200..400), [true; 200]);
    assert_eq!(
        cell.rows.keys().filter(|k| k.starts_with("j/")).count(),
        200,
        "only rows of the new jobs should be left"
    );
}

// Guards against a gang that starts again after an end as done that was acknowledged. One end
// completes the gang; the ends of the other members, listed while the batch with that one was in
// flight, were acknowledged at once. The batch was lost with its owner, and the first member's
// worker with them.
#[test]
fn ends_of_a_gang_are_acknowledged_only_once_the_gang_is_stored_as_done() {
    let mut cell = TestCell::new(2);
    let gang = RawStep { gang: true, ..step(2, 16_000, 400) };
    let next = RawStep { depends_on: vec![0], ..step(1, 1_000, 60_000) };
    cell.submit(1, LARGE, job(vec![gang, next]));
    cell.run(100);
    assert_eq!(cell.running_tasks(), 2, "the gang should run");
    cell.store_up = false;
    for r in cell.workers[1].running.values_mut() {
        r.ends_at = r.ends_at + Millis(50);
    }
    cell.run(900);
    cell.workers[0].restart("w9");
    cell.store_up = true;
    cell.take_over();
    cell.executed_orders.clear();
    cell.run(8_000);
    let starts_gang = |o: &Order| match o {
        Order::Worker { call: WorkerCall::Start { task, .. }, .. } => task.step.step == 0,
        _ => false,
    };
    assert!(!cell.executed_orders.iter().any(starts_gang));
    assert_eq!(cell.running_tasks(), 1, "the next step should run");
}
