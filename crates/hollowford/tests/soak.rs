//! A short soak with fixed seeds. Longer ones are run by hand, see docs/SOAK.md.
#![allow(clippy::expect_used)]

use hollowford_soak::cell::Size;
use hollowford_soak::{Options, run_seed};
use std::path::Path;

/// Seeds of every run, and how long things go wrong in each.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;
const SPAN_MS: u64 = 5_000;

async fn soak(seed: u64, size: Size, span_ms: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_hollowford")).to_owned();
    let options = Options { program, size, callers: 6, span_ms, keep: None };
    let report = run_seed(seed, &options).await.expect("a cell");
    println!("{report:?}");
    assert!(report.taken > 0, "seed {seed}: no job was taken");
    assert!(report.wrong.is_empty(), "seed {seed}: {:#?}", report.wrong);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_are_kept_through_random_failures() {
    for seed in SEEDS {
        soak(seed, Size { nodes: 3, workers: 6, workers_each: 3 }, SPAN_MS).await;
    }
}
