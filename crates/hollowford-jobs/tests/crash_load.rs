//! A busy cell in which some jobs crash the workers that run them: the other jobs must complete.

mod common;

use common::crash_load::run_crash_load;
use std::collections::BTreeSet;
use yare::parameterized;

// Some harmless tasks share a worker with a crashing task several times. At most two jobs of more
// than a thousand may fail for that, and only if two workers have crashed under one of their tasks.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn jobs_that_crash_no_worker_complete(seed: u64) {
    let s = run_crash_load(seed, 1, 10);
    assert!(s.unexpected_ends().len() <= 2, "seed {seed}: {:?} of {}", s.unexpected_ends(), s.jobs);
    assert_eq!(s.failed_without_two_crashes(), BTreeSet::new(), "seed {seed}");
}

// A task that has run for half a second may have caused the crash as well as one that has just been
// started, so up to 1% of the jobs may fail with it. The cell limits the starts of crashing tasks.
#[parameterized(first = { 1 }, second = { 2 })]
fn jobs_whose_tasks_crash_their_workers_late_fail(seed: u64) {
    let s = run_crash_load(seed, 1, 500);
    assert!(
        s.unexpected_ends().len() as u64 <= s.jobs / 100,
        "seed {seed}: {:?} of {}",
        s.unexpected_ends(),
        s.jobs
    );
    assert_eq!(s.failed_without_two_crashes(), BTreeSet::new(), "seed {seed}");
}
