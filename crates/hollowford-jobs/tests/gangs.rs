//! Wide gangs in a cell of hundreds of workers, of which a third may run a step.
//!
//! The pattern: a full relocation of the users' large deployment has 40 tasks on average and
//! 240 at most, of 4.5 to 7.6 processors, and may run on 30% of the workers (the site's sheet).
//! A call for advice takes 390 ms and 5.6 ms for each of 100 workers at most, and its tickets
//! hold for 2 s. A cell's load is checked and surveyed around it.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// Workers of one partition of the large deployment.
const WORKERS: usize = 360;
/// Instances that make calls for advice there.
const SEATS: usize = 49;
/// The advice that relocations take.
const SLOW: AdviceCost =
    AdviceCost { base_ms: 390.0, per_worker_ms: 5.6, ticket_validity: Millis(2_000) };

/// A cell in which the step of a gang may run on three workers of ten.
fn cell() -> Cell {
    let mut cell = Cell::new(WORKERS);
    cell.set_queues(vec![queue(QUICK, 0, None), queue(LARGE, 1, Some(SLOW))]);
    let seats: Vec<_> =
        (0..SEATS).map(|i| AdviceChannel { address: format!("s{i}").into() }).collect();
    cell.engine.set_advice_channels(&seats);
    cell.advice_takes_time = true;
    let barred = (0..WORKERS).filter(|i| i % 10 >= 3);
    cell.barred = barred.map(|i| format!("w{i}").as_str().into()).collect();
    cell
}

fn gang(count: u32, cpu_milli: u32) -> std::sync::Arc<JobSpec> {
    job(vec![RawStep { gang: true, ..step(count, cpu_milli, 4_000) }])
}

/// Lets time pass until a job has begun, at most `most`. Returns how long it took.
fn until_begun(cell: &mut Cell, id: u64, most: u64) -> Option<u64> {
    let began = cell.now;
    while cell.now.since(began).0 < most {
        if cell.state(id) == Some(JobState::Running) {
            return Some(cell.now.since(began).0);
        }
        cell.run(20);
    }
    None
}

#[test]
fn a_wide_gang_gets_to_know_an_empty_cell_by_calls_side_by_side() {
    let mut cell = cell();
    cell.submit(1, LARGE, gang(150, 7_600));
    // It needs 75 workers of 108. One call after the other takes four of 0.95 s.
    let took = until_begun(&mut cell, 1, 10_000).unwrap();
    assert!(took < 2_000, "{took} ms");
}

/// Keeps about `percent` of the cell's processors busy with tasks of one second, a second long.
fn keep_busy(cell: &mut Cell, percent: usize, next: &mut u64, ms: u64) {
    let tasks = WORKERS * 16 / 4 * percent / 100;
    let each = 10;
    // A job of ten tasks of four processors, so many a second.
    for _ in 0..ms / 20 {
        for _ in 0..tasks / each / 50 {
            *next += 1;
            cell.submit(*next, QUICK, job(vec![step(each as u32, 4_000, 1_000)]));
        }
        cell.run(20);
    }
}

#[test]
fn gangs_of_many_widths_start_in_a_cell_that_is_kept_half_full() {
    let mut cell = cell();
    let mut next = 1_000;
    keep_busy(&mut cell, 55, &mut next, 1_500);
    for (id, count, cpu) in [(1, 96, 7_600), (2, 40, 4_500), (3, 53, 7_600), (4, 60, 6_800)] {
        cell.submit(id, LARGE, gang(count, cpu));
        keep_busy(&mut cell, 55, &mut next, 1_000);
    }
    let waits = |cell: &Cell| (1..=4).any(|id| cell.state(id) == Some(JobState::Queued));
    let began = cell.now;
    while waits(&cell) && cell.now.since(began).0 < 20_000 {
        keep_busy(&mut cell, 55, &mut next, 100);
    }
    let states: Vec<_> = (1..=4).map(|id| cell.state(id)).collect();
    let took = cell.now.since(began).0;
    assert!(!waits(&cell), "{states:?} after {took} ms");
    assert!(took < 8_000, "{took} ms");
}

#[test]
fn a_gang_that_waits_goes_on_getting_to_know_workers() {
    let mut cell = cell();
    // Everything is full for a while, then for as long again in another place.
    cell.submit(10, QUICK, job(vec![step(2 * WORKERS as u32, 8_000, 6_000)]));
    cell.run(100);
    cell.submit(1, LARGE, gang(110, 6_800));
    cell.run(5_000);
    let named = |order: &Order| match order {
        Order::Advice { workers, .. } => workers.len(),
        Order::Worker { .. } => 0,
    };
    let named: usize = cell.log.iter().map(named).sum();
    assert!(named > 300, "{named} workers named while the cell is full");
    let took = until_begun(&mut cell, 1, 10_000).unwrap();
    assert!(took < 2_500, "{took} ms");
}

#[test]
fn a_gang_that_came_too_late_still_runs_while_others_keep_coming() {
    let mut cell = Cell::new(20);
    let mut next = 100;
    // Ten gangs of 4 every 1.02 s, each of one second: nearly all of the 40 places, always, and
    // most of them wait for some moments, in time.
    let mut burst = |cell: &mut Cell| {
        for _ in 0..10 {
            next += 1;
            cell.submit(next, QUICK, job(vec![RawStep { gang: true, ..step(4, 7_600, 1_000) }]));
            cell.run(40);
        }
        cell.run(620);
    };
    (0..2).for_each(|_| burst(&mut cell));
    cell.submit(1, LARGE, job(vec![RawStep { gang: true, ..step(30, 7_600, 1_000) }]));
    let began = cell.now;
    while cell.state(1) != Some(JobState::Running) {
        assert!(cell.now.since(began).0 < 40_000, "it has waited for 40 s");
        burst(&mut cell);
    }
}
