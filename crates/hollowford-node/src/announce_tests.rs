//! Processes that enter themselves into the list all at once, as a cell of hundreds starts.
//!
//! The store makes the writings of a part one after the other, 200 a second, and refuses what would
//! wait for longer than a second.

use crate::announce::RegisterPauses;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use yare::parameterized;

/// Time that a writing takes, and the longest that one waits, in milliseconds.
const WRITE_MS: u64 = 5;
const MAX_QUEUED_MS: u64 = 1_000;
/// All processes start within this time, in milliseconds.
const START_SPREAD_MS: u64 = 300;
/// Far beyond the time that it may take, in milliseconds.
const TIME_LIMIT_MS: u64 = 120_000;

/// Lets `processes` enter themselves. Returns the calls that it takes, and when the last is in.
fn register_all(processes: usize, seed: u64) -> (usize, Duration) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut pauses: Vec<RegisterPauses> =
        (0..processes).map(|_| RegisterPauses::default()).collect();
    let mut tries = BinaryHeap::new();
    let mut pause = |i: usize| pauses[i].next(rng.f64()).as_millis() as u64;
    for i in 0..processes {
        let started = i as u64 * START_SPREAD_MS / processes as u64;
        tries.push(Reverse((started + pause(i), i)));
    }
    let (mut calls, mut free_at) = (0, 0);
    while let Some(Reverse((now, i))) = tries.pop() {
        assert!(now < TIME_LIMIT_MS, "{} processes are never in", tries.len() + 1);
        calls += 1;
        let write_starts = now.max(free_at);
        if write_starts - now > MAX_QUEUED_MS {
            tries.push(Reverse((now + pause(i), i)));
        } else {
            free_at = write_starts + WRITE_MS;
        }
    }
    (calls, Duration::from_millis(free_at))
}

#[parameterized(
    fleet = { 588 },
    twice_the_fleet = { 1_176 },
    first_letter = { 3_642 },
)]
fn hundreds_that_start_together_are_soon_in_and_do_not_ask_for_ever(processes: usize) {
    for seed in 0..8 {
        let (calls, took) = register_all(processes, seed);
        assert!(calls <= 4 * processes, "seed {seed}: {calls} calls");
        // Twice the time that the store needs for the writings, and a few pauses.
        let most = Duration::from_millis(2 * processes as u64 * WRITE_MS + 32_000);
        assert!(took <= most, "seed {seed}: {took:?}");
    }
}
