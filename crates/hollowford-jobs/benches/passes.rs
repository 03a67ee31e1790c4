//! Measures the processor time of one poll of the engine in a full cell, by the number of waiting
//! steps.
//!
//! `cargo bench -p hollowford-jobs --bench passes`

#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{LARGE, QUICK, TestCell, job, queue, step};
use hollowford_core::Millis;
use hollowford_jobs::{AdviceChannel, AdviceCost, StepSpec};
use std::time::{Duration, Instant};

/// Number of workers of a large deployment, in one partition.
const WORKERS: usize = 1_100;
/// Number of instances that make advice calls.
const ADVICE_CHANNELS: usize = 146;
/// Number of measured polls, which are 5 ms apart on the cell's clock.
const POLLS: u32 = 200;
/// Queue, tasks per job and thousandths of a processor per task: the means of large deployments.
const JOB_SHAPES: [(&str, u32, u32); 3] =
    [(QUICK, 3, 2_500), (QUICK, 3, 2_500), (LARGE, 20, 4_500)];

fn main() {
    println!("waiting steps | mean poll, us | longest, us | starts in the run");
    for backlog in [0, 250, 500, 1_000, 2_000, 4_000] {
        measure(backlog);
    }
}

fn measure(backlog: usize) {
    let mut cell = full_cell();
    for i in 0..backlog {
        submit_shape(&mut cell, 1_000_000 + i as u64, i);
    }
    cell.run(50);
    let started = cell.engine.stats().started;
    let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..POLLS {
        cell.now = cell.now + Millis(5);
        let now = cell.now;
        cell.workers.iter_mut().for_each(|w| w.tick(now));
        let started_at = Instant::now();
        let orders = cell.poll();
        let took = started_at.elapsed();
        total += took;
        longest = longest.max(took);
        cell.execute_all(orders);
    }
    let mean = total / POLLS;
    let starts = cell.engine.stats().started - started;
    println!("{backlog:>13} | {:>13} | {:>11} | {starts}", mean.as_micros(), longest.as_micros());
}

/// Returns a cell whose workers are full for about the next second.
fn full_cell() -> TestCell {
    let mut cell = TestCell::new(WORKERS);
    let quick = AdviceCost { base_ms: 7.2, per_worker_ms: 0.1, ticket_validity: Millis(2_000) };
    let large = AdviceCost { base_ms: 540.0, per_worker_ms: 7.8, ticket_validity: Millis(2_000) };
    cell.set_queues(vec![queue(QUICK, 0, Some(quick)), queue(LARGE, 1, Some(large))]);
    let advice_channels: Vec<_> =
        (0..ADVICE_CHANNELS).map(|i| AdviceChannel { address: format!("s{i}").into() }).collect();
    cell.engine.set_advice_channels(&advice_channels);
    for i in 0..WORKERS * 2 {
        submit_shape(&mut cell, i as u64, 0);
    }
    cell.run(300);
    cell
}

fn submit_shape(cell: &mut TestCell, id: u64, shape: usize) {
    let (queue, count, cpu) = JOB_SHAPES[shape % JOB_SHAPES.len()];
    let gang = queue == LARGE;
    let spec = StepSpec { gang, ..step(count, cpu, 1_000) };
    cell.submit(id, queue, job(vec![spec]));
}
