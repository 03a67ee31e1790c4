//! Processor time of one poll of the engine, by how many steps wait for room in a full cell.
//!
//! `cargo bench -p hollowford-jobs --bench passes`

#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Cell, LARGE, QUICK, job, queue, step};
use hollowford_core::Millis;
use hollowford_jobs::{AdviceChannel, AdviceCost, StepSpec};
use std::time::{Duration, Instant};

/// Workers of one cell: those of the large deployment, in one partition.
const WORKERS: usize = 1_100;
/// Instances that make calls for advice.
const SEATS: usize = 146;
/// Polls that are measured, 5 ms of the cell's time apart.
const POLLS: u32 = 200;
/// Tasks of one job, and the processors of each: the means of the grown deployments.
const SHAPES: [(&str, u32, u32); 3] = [(QUICK, 3, 2_500), (QUICK, 3, 2_500), (LARGE, 20, 4_500)];

fn main() {
    println!("waiting steps | mean poll, us | longest, us | starts in the run");
    for backlog in [0, 250, 500, 1_000, 2_000, 4_000] {
        run(backlog);
    }
}

fn run(backlog: usize) {
    let mut cell = full_cell();
    for i in 0..backlog {
        hand_in(&mut cell, 1_000_000 + i as u64, i);
    }
    cell.run(50);
    let started = cell.engine.stats().started;
    let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..POLLS {
        cell.now = cell.now + Millis(5);
        let now = cell.now;
        cell.workers.iter_mut().for_each(|w| w.tick(now));
        let began = Instant::now();
        let orders = cell.poll();
        let took = began.elapsed();
        total += took;
        longest = longest.max(took);
        cell.carry_out_all(orders);
    }
    let mean = total / POLLS;
    let starts = cell.engine.stats().started - started;
    println!("{backlog:>13} | {:>13} | {:>11} | {starts}", mean.as_micros(), longest.as_micros());
}

/// A cell whose workers are full for a second or so to come.
fn full_cell() -> Cell {
    let mut cell = Cell::new(WORKERS);
    let quick = AdviceCost { base_ms: 7.2, per_worker_ms: 0.1, ticket_validity: Millis(2_000) };
    let large = AdviceCost { base_ms: 540.0, per_worker_ms: 7.8, ticket_validity: Millis(2_000) };
    cell.set_queues(vec![queue(QUICK, 0, Some(quick)), queue(LARGE, 1, Some(large))]);
    let seats: Vec<_> =
        (0..SEATS).map(|i| AdviceChannel { address: format!("s{i}").into() }).collect();
    cell.engine.set_advice_channels(&seats);
    for i in 0..WORKERS * 2 {
        hand_in(&mut cell, i as u64, 0);
    }
    cell.run(300);
    cell
}

fn hand_in(cell: &mut Cell, id: u64, shape: usize) {
    let (queue, count, cpu) = SHAPES[shape % SHAPES.len()];
    let gang = queue == LARGE;
    let spec = StepSpec { gang, ..step(count, cpu, 1_000) };
    cell.submit(id, queue, job(vec![spec]));
}
