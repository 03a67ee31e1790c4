//! Rows of workers that are too many for one row of the store.
//!
//! Guards against batches that the store refuses for good (review/4): after repeated crashes of all
//! workers, the row that names them and their earlier incarnations outgrew the limit. Each batch is
//! checked against the store's limits.

mod common;

use common::store_limits::MAX_ROW_BYTES;
use common::*;
use hollowford_jobs::*;
use std::collections::BTreeSet;

const WORKERS: usize = 60;

/// Restarts all workers, under ids as long as those of a large platform.
fn restart_all(cell: &mut TestCell, round: usize) {
    for (n, w) in cell.workers.iter_mut().enumerate() {
        w.restart(&format!("i-{round:04}-{n:040}"));
    }
    cell.update_worker_list();
    cell.run(100);
}

/// Returns the ids in all rows of workers.
fn stored_ids(cell: &TestCell) -> BTreeSet<String> {
    let rows = cell.rows.iter().filter(|(k, _)| k.starts_with("workers"));
    let lists = rows.map(|(_, value)| decode_workers(value).unwrap_or_default());
    lists.flatten().map(|w| w.life.id().as_str().to_owned()).collect()
}

#[test]
fn every_worker_may_crash_many_times_in_a_minute() {
    let mut cell = TestCell::new(WORKERS);
    cell.submit(1, LARGE, job(vec![step(4, 1_000, 100)]));
    cell.run(200);
    for round in 0..25 {
        restart_all(&mut cell, round);
        cell.submit(2 + round as u64, LARGE, job(vec![step(4, 1_000, 20)]));
    }
    cell.run(2_000);
    let bytes: usize =
        cell.rows.iter().filter(|(k, _)| k.starts_with("workers")).map(|(_, v)| v.len()).sum();
    assert!(bytes > MAX_ROW_BYTES, "the workers fit into one row: {bytes} bytes");
    for job in 1..27 {
        assert_eq!(cell.state(job), Some(JobState::Completed), "job {job}");
    }
    let live: BTreeSet<_> = cell.workers.iter().map(|w| w.id.as_str().to_owned()).collect();
    assert!(stored_ids(&cell).is_superset(&live));
    let stored = stored_ids(&cell);
    assert!(stored.len() > WORKERS * 20, "{} incarnations are stored", stored.len());
    cell.take_over();
    cell.run(6_000);
    cell.submit(100, LARGE, job(vec![step(4, 1_000, 20)]));
    cell.run(500);
    assert_eq!(cell.state(100), Some(JobState::Completed));
}

// The last workers to have crashed are the likeliest to be needed.
#[test]
fn the_rows_of_workers_fit_into_one_batch() {
    let mut cell = TestCell::new(WORKERS);
    for round in 0..120 {
        restart_all(&mut cell, round);
    }
    let bytes: usize =
        cell.rows.iter().filter(|(k, _)| k.starts_with("workers")).map(|(_, v)| v.len()).sum();
    assert!(bytes <= 400_000, "{bytes} bytes");
    let live: BTreeSet<_> = cell.workers.iter().map(|w| w.id.as_str().to_owned()).collect();
    let stored = stored_ids(&cell);
    assert!(stored.is_superset(&live));
    assert!(stored.contains(&format!("i-{:04}-{:040}", 118, 0)));
    assert!(!stored.contains(&format!("i-{:04}-{:040}", 0, 0)), "all of them fit");
}
