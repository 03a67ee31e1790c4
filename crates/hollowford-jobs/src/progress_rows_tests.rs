//! Sizes of progress rows at their largest, and what is read back from them.
//!
//! Guards against rows that the store refuses for their size (review/5), and against progress that is
//! lost where it is divided into several rows.
#![allow(clippy::expect_used)]

use crate::accounts::AccountIdx;
use crate::crash_record::{CrashRecord, OpenRun};
use crate::job::{Job, Task};
use crate::progress_rows::{TaskRow, encode_segment};
use crate::progress_segments::{RowLimits, Segment, SegmentLayout};
use crate::spec::{
    JobId, JobSpec, MAX_STEPS_PER_JOB, MAX_TASKS_PER_STEP, RawJob, RawStep, Schedule,
};
use crate::stored_progress::{ProgressKey, StoredProgress};
use crate::submit::new_job;
use crate::worker_life::{Incarnation, WorkerLife};
use hollowford_core::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use yare::parameterized;

const ID: JobId = JobId(u64::MAX);
/// Crashes and open runs after which a job fails, so that no task has more.
const MAX_RUNS: u32 = 5;

fn new(steps: usize, tasks: u32, rounds: u32, limits: RowLimits) -> Job {
    let step = RawStep { count: tasks, ..RawStep::default() };
    let schedule = (rounds > 1).then_some(Schedule { first_unix_ms: 0, interval_ms: 1, rounds });
    let raw = RawJob { template: String::new(), steps: vec![step; steps], schedule };
    let spec = Arc::new(JobSpec::try_from(raw).expect("a valid job"));
    let layout = SegmentLayout::of(&spec, limits);
    let account = AccountIdx::default();
    let mut job = new_job(ID, (account, "queue".into()), spec, layout, (1, Millis(1)));
    (0..rounds).for_each(|_| job.add_round(Millis(u64::MAX / 2)));
    job
}

/// Returns a task about which as much has to be stored as about any.
fn largest_task(saved: &str) -> Task {
    let runs: Vec<u32> = (0..MAX_RUNS).map(|n| u32::MAX - n).collect();
    let open_run = |&run: &u32| OpenRun {
        run,
        worker: WorkerLife::new("i-0123456789abcdef0123".into(), Some(Incarnation(u64::MAX))),
        fresh: false,
        uncertain: true,
    };
    let crash_record = CrashRecord {
        crashed_runs: runs.clone(),
        fresh_runs: runs.clone(),
        unconfirmed_runs: runs.clone(),
        uncertain_runs: runs.clone(),
        open_runs: runs.iter().map(open_run).collect(),
        awaited_change: None,
    };
    Task {
        last_run: u32::MAX,
        failed_runs: runs,
        crash_record: Some(Box::new(crash_record)),
        saved: Some(saved.into()),
        copied: true,
        ..Task::default()
    }
}

/// Writes all segments of a job and returns the rows by key.
fn write_all(job: &mut Job, limits: RowLimits) -> BTreeMap<String, Vec<u8>> {
    job.mark_all_unwritten();
    let mut rows = BTreeMap::new();
    while let Some((_, segment)) = job.unwritten.take_next() {
        let values = encode_segment(job, segment, limits.max_row_bytes);
        rows.extend((0..).zip(values).map(|(row, value)| (segment.row_key(ID, row), value)));
    }
    rows
}

fn read_back(rows: &BTreeMap<String, Vec<u8>>) -> StoredProgress {
    let mut stored = StoredProgress::default();
    let key = |k: &String| ProgressKey::parse(k).expect("a key").expect("of a progress row");
    let mut by_key: Vec<_> = rows.iter().map(|(k, value)| (key(k), value)).collect();
    by_key.sort_unstable();
    for (key, value) in by_key {
        assert_eq!(key.job, ID);
        stored.add(key, value).expect("a row");
    }
    stored
}

/// Panics unless the rows keep to the limit and contain all of the job's progress.
fn assert_stored(job: &mut Job, limits: RowLimits) {
    let rows = write_all(job, limits);
    for (key, value) in &rows {
        assert!(value.len() <= limits.max_row_bytes, "{key} has {} bytes", value.len());
    }
    let stored = read_back(&rows);
    let unfinished: Vec<u32> =
        job.rounds.iter().filter(|r| !r.is_done()).map(|r| r.number).collect();
    assert_eq!(stored.rounds.keys().copied().collect::<Vec<_>>(), unfinished);
    for r in job.rounds.iter().filter(|r| !r.is_done()) {
        let found = &stored.rounds[&r.number];
        let done: BTreeSet<_> = found.done.iter().copied().collect();
        for (step, s) in r.steps.iter().enumerate() {
            for (index, t) in s.tasks.iter().enumerate() {
                let at = (step as u32, index as u32);
                let row = found.tasks.get(&at);
                let is_done = done.contains(&at) || row.is_some_and(|t| t.done);
                assert_eq!(is_done, t.done, "{at:?}");
                if t.is_changed() && !t.done {
                    assert_eq!(row, Some(&TaskRow::of(step, index, t)));
                }
            }
        }
    }
}

#[parameterized(
    small = { 1, 256, 1, 16 },
    one_step = { 1, MAX_TASKS_PER_STEP, 1, 16 },
    long_checkpoints = { 1, 256, 1, 4_000 },
    most_steps = { MAX_STEPS_PER_JOB, 300, 1, 16 },
    repeated = { 2, 20, 40, 16 },
)]
fn no_row_outgrows_the_store(steps: usize, tasks: u32, rounds: u32, saved_bytes: usize) {
    let limits = RowLimits::default();
    let mut job = new(steps, tasks, rounds, limits);
    let largest = largest_task(&"x".repeat(saved_bytes));
    for step in job.rounds.iter_mut().flat_map(|r| &mut r.steps) {
        step.tasks.fill(largest.clone());
        step.failed_gang_runs = (0..MAX_RUNS).collect();
    }
    assert_stored(&mut job, limits);
    for step in job.rounds.iter_mut().flat_map(|r| &mut r.steps) {
        for t in step.tasks.iter_mut().step_by(3) {
            *t = Task { done: true, last_run: 1, ..Task::default() };
        }
    }
    assert_stored(&mut job, limits);
}

#[test]
fn rows_of_many_due_rounds_do_not_outgrow_the_store() {
    let limits = RowLimits::default();
    let mut job = new(1, 1, 4_000, limits);
    for round in job.rounds.iter_mut().step_by(2) {
        round.steps[0].tasks[0].done = true;
        round.steps[0].remaining = 0;
    }
    let rows = write_all(&mut job, limits);
    assert!(rows.values().all(|v| v.len() <= limits.max_row_bytes));
    let stored = read_back(&rows);
    assert_eq!(stored.due_rounds, 4_000);
    assert!(stored.rounds.keys().copied().eq((1..4_000).step_by(2)));
}

#[parameterized(
    job = { Segment::Job, 0, "p/ffffffffffffffff" },
    more_of_a_job = { Segment::Job, 3, "p/ffffffffffffffff/more/3" },
    rounds = { Segment::Rounds(7), 1, "p/ffffffffffffffff/rounds/7/1" },
    tasks = {
        Segment::Tasks { round: 1, step: 2, block: 3 }, 4, "p/ffffffffffffffff/tasks/1/2/3/4"
    },
)]
fn keys_are_read_back(segment: Segment, row: u32, key: &str) {
    assert_eq!(segment.row_key(ID, row), key);
    let parsed = ProgressKey::parse(key).expect("a key");
    assert_eq!(parsed, Some(ProgressKey { job: ID, segment, row }));
}

#[parameterized(
    no_id = { "p/" },
    short_id = { "p/ff" },
    unknown_kind = { "p/ffffffffffffffff/other/1" },
    missing_number = { "p/ffffffffffffffff/tasks/1/2/3" },
    not_a_number = { "p/ffffffffffffffff/rounds/x/0" },
)]
fn unknown_keys_are_errors(key: &str) {
    assert!(ProgressKey::parse(key).is_err(), "{key}");
}
