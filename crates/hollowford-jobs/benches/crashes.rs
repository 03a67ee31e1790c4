//! Measures how tasks that crash their workers affect the others.
//!
//! `cargo bench -p hollowford-jobs --bench crashes`; `SEEDS` sets the number of runs in each line.
#![allow(clippy::expect_used)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::crash_load::{CrashLoad, run_crash_load};
use std::thread;

/// Runs in each line if SEEDS is not set.
const DEFAULT_SEEDS: u64 = 12;

/// Runs the crash load with the seeds 1 to `seeds`, each on its own thread.
fn run_seeds(seeds: u64, percent: u32, crash_after_ms: u64) -> Vec<CrashLoad> {
    let run_seed = |seed| thread::spawn(move || run_crash_load(seed, percent, crash_after_ms));
    let threads: Vec<_> = (1..=seeds).map(run_seed).collect();
    threads.into_iter().map(|t| t.join().expect("no invariant should be broken")).collect()
}

fn main() {
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    println!("percent after_ms jobs crashing given_up_for_others after_one crashes lost_core_s");
    for percent in [1, 6] {
        for crash_after_ms in [10, 50, 150, 400] {
            let loads = run_seeds(seeds, percent, crash_after_ms);
            let sum = |count: &dyn Fn(&CrashLoad) -> u64| loads.iter().map(count).sum::<u64>();
            println!(
                "{percent:>7} {crash_after_ms:>8} {:>4} {:>8} {:>19} {:>9} {:>7} {:>11}",
                sum(&|s| s.jobs),
                sum(&|s| s.cell.crashes.jobs.len() as u64),
                sum(&|s| s.incomplete_harmless_jobs() as u64),
                sum(&|s| s.failed_without_two_crashes().len() as u64),
                sum(&|s| u64::from(s.cell.crashes.count)),
                sum(&|s| s.cell.crashes.lost_core_ms) / 1_000,
            );
        }
    }
}
