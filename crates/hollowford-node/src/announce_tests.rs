//! Hundreds of processes that register at once as a cell starts.
//!
//! The store executes the writes to a part one after the other, 200 a second, and refuses those
//! that would wait for longer than a second.

use crate::announce::RegisterPauses;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use yare::parameterized;

/// Time that the store takes for a write, and the longest that it queues one, in milliseconds.
const WRITE_MS: u64 = 5;
const MAX_QUEUED_MS: u64 = 1_000;
/// Time within which all processes start, in milliseconds.
const START_SPREAD_MS: u64 = 300;
/// Limit of the simulated time, in milliseconds, far above the expected time.
const TIME_LIMIT_MS: u64 = 120_000;

/// Simulates the registration of `processes`. Returns the number of calls and when the last process
/// is registered.
fn register_all(processes: usize, seed: u64) -> (usize, Duration) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut pauses: Vec<RegisterPauses> =
        (0..processes).map(|_| RegisterPauses::default()).collect();
    let mut attempts = BinaryHeap::new();
    let mut pause = |i: usize| pauses[i].next(rng.f64()).as_millis() as u64;
    for i in 0..processes {
        let started = i as u64 * START_SPREAD_MS / processes as u64;
        attempts.push(Reverse((started + pause(i), i)));
    }
    let (mut calls, mut store_free_at) = (0, 0);
    while let Some(Reverse((now, i))) = attempts.pop() {
        assert!(now < TIME_LIMIT_MS, "{} processes never register", attempts.len() + 1);
        calls += 1;
        let write_starts = now.max(store_free_at);
        if write_starts - now > MAX_QUEUED_MS {
            attempts.push(Reverse((now + pause(i), i)));
        } else {
            store_free_at = write_starts + WRITE_MS;
        }
    }
    (calls, Duration::from_millis(store_free_at))
}

#[parameterized(
    fleet = { 588 },
    twice_the_fleet = { 1_176 },
    six_times_the_fleet = { 3_642 },
)]
fn hundreds_of_processes_that_start_together_register_within_bounds(processes: usize) {
    for seed in 0..8 {
        let (calls, took) = register_all(processes, seed);
        assert!(calls <= 4 * processes, "seed {seed}: {calls} calls");
        // Twice the time that the store needs for the writes, plus a few pauses.
        let max_time = Duration::from_millis(2 * processes as u64 * WRITE_MS + 32_000);
        assert!(took <= max_time, "seed {seed}: {took:?}");
    }
}
