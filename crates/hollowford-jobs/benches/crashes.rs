//! Measures what tasks that crash their workers cost the others: `cargo bench -p hollowford-jobs
//! --bench crashes`. `SEEDS` sets how many storms each line is of.
#![allow(clippy::expect_used)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::crash_load::{CrashLoad, run_crash_load};
use std::thread;

/// Storms of each kind, unless SEEDS says another number.
const SEEDS: u64 = 12;

fn storms(seeds: u64, percent: u32, after: u64) -> Vec<CrashLoad> {
    let play = |seed| thread::spawn(move || run_crash_load(seed, percent, after));
    let threads: Vec<_> = (1..=seeds).map(play).collect();
    threads.into_iter().map(|t| t.join().expect("a storm that keeps the rules")).collect()
}

fn main() {
    let seeds = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    println!("percent after_ms jobs crashing given_up_for_others after_one crashes lost_core_s");
    for percent in [1, 6] {
        for after in [10, 50, 150, 400] {
            let storms = storms(seeds, percent, after);
            let sum = |count: &dyn Fn(&CrashLoad) -> u64| storms.iter().map(count).sum::<u64>();
            println!(
                "{percent:>7} {after:>8} {:>4} {:>8} {:>19} {:>9} {:>7} {:>11}",
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
