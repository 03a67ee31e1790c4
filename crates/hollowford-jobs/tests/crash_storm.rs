//! A busy cell in which checks keep coming that crash the workers that start them.

mod common;

use common::storm::storm;
use std::collections::BTreeSet;
use yare::parameterized;

// Some of what stands beside is there again and again: two jobs of more than a thousand at most are
// given up with it, and none that was not there twice.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn all_that_crashes_no_worker_is_done(seed: u64) {
    let s = storm(seed, 1, 10);
    assert!(s.wrong().len() <= 2, "seed {seed}: {:?} of {}", s.wrong(), s.jobs);
    assert_eq!(s.given_up_after_one(), BTreeSet::new(), "seed {seed}");
}

// What has run for half a second may have crashed the worker as well as what has just been started: of
// what stood beside some is given up, one job in a hundred at most. The judge bounds the starts.
#[parameterized(first = { 1 }, second = { 2 })]
fn tasks_that_crash_their_workers_late_are_given_up(seed: u64) {
    let s = storm(seed, 1, 500);
    assert!(s.wrong().len() as u64 <= s.jobs / 100, "seed {seed}: {:?} of {}", s.wrong(), s.jobs);
    assert_eq!(s.given_up_after_one(), BTreeSet::new(), "seed {seed}");
}
