//! Batches that the store refuses, and jobs that are taken back.

mod common;

use common::*;
use hollowford_jobs::*;

#[test]
fn a_refused_batch_is_written_again_whole() {
    let mut cell = Cell::new(1);
    cell.submit(1, LARGE, job(vec![step(2, 1_000, 100), step(1, 1_000, 60_000)]));
    cell.run(50);
    cell.store_up = false;
    cell.run(150);
    // The two short tasks have ended, and a second job came.
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 60_000)]));
    for _ in 0..3 {
        cell.refuse_pending();
        cell.run(20);
    }
    cell.store_up = true;
    cell.run(50);
    assert_eq!(cell.engine.is_durable(JobId(2)), Some(true));
    // Everything is in the store: a new owner needs nothing of what the workers forgot.
    cell.take_over();
    cell.run(200);
    assert_eq!(cell.workers[0].starts, 4);
}

#[test]
fn an_end_whose_batch_is_refused_is_shown_later() {
    let mut cell = Cell::new(1);
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
fn a_job_that_is_taken_back_never_runs_and_may_come_again() {
    let mut cell = Cell::new(1);
    cell.run(50);
    cell.store_up = false;
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(20);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 100)]));
    // The first one is in the batch under way and has to stay.
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

/// Ids that are spread over all values, as callers choose them.
fn scattered(i: u64) -> u64 {
    i.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn kept(cell: &Cell, ids: impl Iterator<Item = u64>) -> Vec<bool> {
    ids.map(|i| cell.engine.is_durable(JobId(scattered(i))) == Some(true)).collect()
}

#[test]
fn what_came_first_is_written_first_and_a_batch_takes_more_than_eighty_jobs() {
    let mut cell = Cell::new(1);
    for i in 0..200 {
        cell.submit(scattered(i), LARGE, job(vec![step(1, 16_000, 60_000)]));
    }
    cell.write();
    let first = kept(&cell, 0..200);
    let written = first.iter().filter(|&&k| k).count();
    assert!(written > 80, "{written} in the first batch");
    assert!(first[..written].iter().all(|&k| k), "in the order of arrival");
    cell.write();
    assert!(kept(&cell, 0..2 * written as u64).iter().all(|&k| k));
}

#[test]
fn progress_is_written_beside_acceptances_that_never_end() {
    let mut cell = Cell::new(8);
    // Each of these has a task that ends and one that goes on.
    for i in 0..20 {
        let spec = job(vec![step(1, 1_000, 50), step(1, 1_000, 60_000)]);
        cell.submit(scattered(i), QUICK, spec);
    }
    cell.run(40);
    cell.store_up = false;
    cell.run(200);
    cell.store_up = true;
    // More is handed in before each batch than one can take.
    for round in 0..8 {
        for i in 0..100 {
            let id = scattered(1_000 + round * 100 + i);
            cell.submit(id, LARGE, job(vec![step(1, 16_000, 60_000)]));
        }
        cell.write();
    }
    let progress = cell.rows.keys().filter(|k| k.starts_with("p/")).count();
    assert_eq!(progress, 20);
}

#[test]
fn one_job_is_taken_back_unless_it_was_sent() {
    let mut cell = Cell::new(1);
    cell.run(50);
    cell.store_up = false;
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(20);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 100)]));
    assert!(!cell.engine.withdraw(JobId(1)), "it is in the batch under way");
    assert!(cell.engine.withdraw(JobId(2)));
    cell.store_up = true;
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.state(2), None);
    assert_eq!(cell.workers[0].starts, 1);
}

#[test]
fn the_batches_ahead_grow_with_what_waits_to_be_written() {
    let mut cell = Cell::new(1);
    cell.run(50);
    cell.store_up = false;
    assert_eq!(cell.engine.batches_ahead(), 1);
    for i in 0..330 {
        cell.submit(scattered(i), LARGE, job(vec![step(1, 1_000, 100)]));
    }
    assert_eq!(cell.engine.batches_ahead(), 8);
    cell.engine.withdraw_unsent();
    assert_eq!(cell.engine.batches_ahead(), 1);
}

/// Batches under way at a time, at most.
const SIDE_BY_SIDE: usize = 3;
/// Jobs handed in for each seed.
const JOBS: u64 = 60;

/// Does one random thing to the batches under way, or to the owner.
fn disturb(cell: &mut Cell, random: &mut fastrand::Rng) {
    let under_way = cell.pending.len();
    match random.u32(0..12) {
        0..=3 if under_way < SIDE_BY_SIDE => {
            cell.cut();
        }
        4..=8 if under_way > 0 => cell.write_one(random.usize(..under_way)),
        9 if under_way > 0 => {
            let batch = cell.pending.swap_remove(random.usize(..under_way));
            cell.engine.batch_refused(batch.number);
        }
        10 if random.u32(0..4) == 0 => {
            // Of the batches under way some were made, in any order, and nobody was told.
            for _ in 0..random.usize(..=under_way) {
                let left = cell.pending.len();
                cell.write_unheard(random.usize(..left));
            }
            cell.take_over();
        }
        _ => {}
    }
}

/// Several batches under way, made or refused in any order, with takeovers between: what was
/// kept once is kept, and no task is started again whose end was forgotten by its worker.
#[test]
fn batches_made_in_any_order_lose_nothing_and_start_nothing_twice() {
    for seed in 1..=40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut cell = Cell::new(4);
        cell.store_up = false;
        let mut kept = std::collections::BTreeSet::new();
        for turn in 0..2_000 {
            if turn % 20 == 0 && turn / 20 < JOBS {
                // They run side by side on different workers, and each end is written as it comes.
                let steps = (0..3).map(|_| step(1, 9_000, random.u64(5..150)));
                cell.submit(turn / 20, QUICK, job(steps.collect()));
            }
            cell.run(5);
            disturb(&mut cell, &mut random);
            kept.extend((0..JOBS).filter(|&id| cell.engine.is_durable(JobId(id)) == Some(true)));
        }
        cell.store_up = true;
        cell.run(10_000);
        assert!(!kept.is_empty(), "seed {seed}");
        for id in &kept {
            assert_eq!(cell.state(*id), Some(JobState::Completed), "seed {seed}: job {id}");
        }
        let completed = (0..JOBS).filter(|&id| cell.state(id) == Some(JobState::Completed)).count();
        let starts: u64 = cell.workers.iter().map(|w| w.starts).sum();
        assert_eq!(starts, 3 * completed as u64, "seed {seed}");
    }
}

#[test]
fn rows_of_old_jobs_are_removed_though_the_batch_that_should_is_refused() {
    let mut cell = Cell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 20)]));
    cell.run(200);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    cell.now = cell.now + BOUNDS.ended_job_retention + BOUNDS.ended_job_retention;
    assert!(cell.cut());
    cell.refuse_pending();
    assert!(cell.rows.keys().any(|k| k.starts_with("j/")));
    cell.write();
    assert!(!cell.rows.keys().any(|k| k.starts_with("j/")), "{:?}", cell.rows.keys());
}

/// Entries of a transaction (the platform takes 100), less two for the row of the batch's lane and
/// one for the row of workers.
const MOST_ENTRIES: usize = 97;

/// Pattern: the store refuses batch after batch while old jobs fall due to be forgotten. What the
/// refused ones were to remove came on top of each other, until no transaction could hold it.
#[test]
fn a_batch_after_many_refused_ones_still_fits_a_transaction() {
    let mut cell = Cell::new(8);
    for i in 0..200 {
        cell.submit(scattered(i), LARGE, job(vec![step(1, 100, 20)]));
    }
    cell.run(2_000);
    assert_eq!(cell.rows.keys().filter(|k| k.starts_with("j/")).count(), 200);
    cell.now = cell.now + BOUNDS.ended_job_retention + BOUNDS.ended_job_retention;
    for i in 200..400 {
        cell.submit(scattered(i), LARGE, job(vec![step(1, 16_000, 60_000)]));
    }
    for _ in 0..20 {
        assert!(cell.cut());
        let entries = cell.pending[0].rows.len();
        assert!(entries <= MOST_ENTRIES, "{entries}");
        cell.refuse_pending();
    }
    for _ in 0..60 {
        cell.write();
    }
    assert_eq!(kept(&cell, 200..400), [true; 200]);
    assert_eq!(cell.rows.keys().filter(|k| k.starts_with("j/")).count(), 200, "the new ones");
}
