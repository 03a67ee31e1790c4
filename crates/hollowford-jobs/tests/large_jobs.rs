//! Jobs whose progress needs more than one row of the store.
//!
//! Guards against rows and batches that the store refuses for good (review/5): the progress of a job
//! was one row, and none of the partition's batches was stored any more once it had outgrown the
//! limit. Each batch is checked against the store's limits.

#![allow(clippy::expect_used)]

mod common;

use common::store_limits::MAX_ROW_BYTES;
use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;
use std::sync::Arc;
use yare::parameterized;

/// Small enough that each row of the tests' jobs has to be divided.
const TINY_ROWS: RowLimits = RowLimits { max_row_bytes: 120, tasks_per_segment: 3 };

/// CPU of a small task, in thousandths of a core. A worker runs 160 at a time.
const SMALL_CPU: u32 = 100;

fn large_step(count: u32, ms: u64) -> RawStep {
    let resources = hollowford_core::Resources::new(SMALL_CPU, 1, 0);
    RawStep { resources, ..step(count, SMALL_CPU, ms) }
}

fn repeated(steps: Vec<RawStep>, rounds: u32, interval_ms: u64) -> Arc<JobSpec> {
    let schedule = Schedule { first_unix_ms: 0, interval_ms, rounds };
    let raw = RawJob { template: "t".into(), steps, schedule: Some(schedule) };
    Arc::new(JobSpec::try_from(raw).expect("a valid job"))
}

fn total_starts(cell: &TestCell) -> u64 {
    cell.workers.iter().map(|w| w.starts).sum()
}

fn progress_rows(cell: &TestCell) -> usize {
    cell.rows.keys().filter(|k| k.starts_with("p/")).count()
}

fn run_until_completed(cell: &mut TestCell, job: u64, max_ms: u64) {
    let until = cell.now + Millis(max_ms);
    while cell.state(job) != Some(JobState::Completed) {
        assert!(cell.now < until, "job {job} is {:?}", cell.state(job));
        cell.run(100);
    }
}

// review/5: the row was refused from some 6,500 ended tasks on.
#[test]
fn a_job_of_four_steps_of_2_000_tasks_completes_beside_small_ones() {
    let mut cell = TestCell::new(8);
    cell.submit(1, LARGE, job((0..4).map(|_| large_step(2_000, 450)).collect()));
    for small in 0..4 {
        cell.submit(100 + small, QUICK, job(vec![step(2, 1_000, 300)]));
        cell.run(250);
    }
    run_until_completed(&mut cell, 1, 60_000);
    assert_eq!(total_starts(&cell), 8_000 + 8);
    for small in 0..4 {
        assert_eq!(cell.state(100 + small), Some(JobState::Completed));
    }
    cell.run(2_000);
    assert_eq!(progress_rows(&cell), 0, "the rows of ended jobs are removed");
}

#[parameterized(
    one_row_a_segment = { RowLimits { max_row_bytes: MAX_ROW_BYTES, tasks_per_segment: 16 } },
    several_rows_a_segment = { RowLimits { max_row_bytes: 120, tasks_per_segment: 16 } },
    tiny = { TINY_ROWS },
)]
fn what_is_done_does_not_run_again_after_a_takeover(limits: RowLimits) {
    let mut cell = TestCell::new(2);
    cell.set_row_limits(limits);
    let last = RawStep { depends_on: vec![0, 1], ..step(1, 1_000, 100) };
    cell.submit(1, LARGE, job(vec![step(40, 1_000, 300), step(7, 1_000, 700), last]));
    for _ in 0..6 {
        cell.run(250);
        cell.take_over();
    }
    run_until_completed(&mut cell, 1, 30_000);
    assert_eq!(total_starts(&cell), 48);
    cell.run(3_000);
    assert_eq!(progress_rows(&cell), 0);
}

// The members of a gang are done together, and their segments are stored one after the other.
#[test]
fn a_gang_in_several_segments_runs_once() {
    let mut cell = TestCell::new(4);
    cell.set_row_limits(TINY_ROWS);
    let gang = RawStep { gang: true, ..step(40, 1_000, 500) };
    cell.submit(
        1,
        LARGE,
        job(vec![gang, RawStep { depends_on: vec![0], ..step(1, 1_000, 5_000) }]),
    );
    for _ in 0..8 {
        cell.run(200);
        cell.take_over();
    }
    run_until_completed(&mut cell, 1, 30_000);
    assert_eq!(total_starts(&cell), 41);
}

// Half of the tasks' segments are stored when the owner is lost.
#[test]
fn ends_are_acknowledged_only_once_their_segment_is_stored() {
    let mut cell = TestCell::new(4);
    cell.set_row_limits(RowLimits { max_row_bytes: MAX_ROW_BYTES, tasks_per_segment: 1 });
    cell.submit(1, LARGE, job(vec![step(64, 1_000, 300)]));
    cell.run(200);
    cell.store_up = false;
    cell.run(400);
    cell.write_pending();
    cell.add_pending_batch();
    cell.write_pending();
    assert!(progress_rows(&cell) < 64, "all segments are stored: {}", progress_rows(&cell));
    cell.store_up = true;
    cell.take_over();
    run_until_completed(&mut cell, 1, 30_000);
    assert_eq!(total_starts(&cell), 64);
}

#[test]
fn all_segments_of_refused_batches_are_written_again() {
    let mut cell = TestCell::new(4);
    cell.set_row_limits(TINY_ROWS);
    cell.submit(1, LARGE, job(vec![step(60, 1_000, 100), step(1, 1_000, 20_000)]));
    cell.run(100);
    for _ in 0..10 {
        cell.store_up = false;
        cell.run(50);
        cell.refuse_pending();
        cell.store_up = true;
        cell.run(20);
    }
    cell.run(1_000);
    // Everything is in the store, so a new owner doesn't need the ends that workers have dropped.
    cell.take_over();
    cell.run(500);
    assert_eq!(total_starts(&cell), 61);
}

#[parameterized(
    tiny_rows = { TINY_ROWS, 30 },
    a_thousand_rounds_at_once = { RowLimits { max_row_bytes: MAX_ROW_BYTES, tasks_per_segment: 256 }, 1_000 },
)]
fn rounds_of_a_repeated_job_run_once_through_takeovers(limits: RowLimits, rounds: u32) {
    let mut cell = TestCell::new(8);
    cell.set_row_limits(limits);
    cell.submit(1, LARGE, repeated(vec![large_step(3, 200), large_step(2, 300)], rounds, 1));
    for _ in 0..5 {
        cell.run(700);
        cell.take_over();
    }
    run_until_completed(&mut cell, 1, 60_000);
    assert_eq!(total_starts(&cell), u64::from(rounds) * 5);
    cell.run(20_000);
    assert_eq!(progress_rows(&cell), 0);
}

// A row that an earlier release wrote contains the whole job.
#[test]
fn a_large_jobs_row_of_the_earlier_release_is_read_and_replaced() {
    let mut cell = TestCell::new(2);
    cell.set_row_limits(RowLimits { tasks_per_segment: 1_000, ..RowLimits::default() });
    cell.submit(1, LARGE, job(vec![step(40, 1_000, 300), step(20, 1_000, 2_000)]));
    cell.run(900);
    assert!(cell.rows.contains_key("p/0000000000000001"));
    cell.row_limits = TINY_ROWS;
    cell.take_over();
    cell.run(300);
    assert!(!cell.rows.contains_key("p/0000000000000001"), "it is replaced");
    cell.take_over();
    run_until_completed(&mut cell, 1, 30_000);
    assert_eq!(total_starts(&cell), 60);
}

// A checkpoint that no row can hold must not keep the other progress from being stored.
#[test]
fn a_checkpoint_larger_than_a_row_is_left_out() {
    let mut cell = TestCell::new(1);
    let resumable = RawStep { resumable: true, ..step(2, 1_000, 60_000) };
    cell.submit(1, LARGE, job(vec![resumable, step(1, 1_000, 200)]));
    cell.run(100);
    cell.workers[0].checkpoint_text = "x".repeat(MAX_ROW_BYTES).into();
    cell.run(5_000);
    assert_eq!(progress_rows(&cell), 1);
    cell.take_over();
    cell.run(500);
    assert_eq!(total_starts(&cell), 3);
}
