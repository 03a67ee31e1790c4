//! Wide gangs in a cell of hundreds of workers, of which 30% may run a step.
//!
//! In a large deployment a relocation is a gang of 40 tasks on average and at most 240, of 4.5 to
//! 7.6 processors each. An advice call takes 390 ms plus 5.6 ms for each worker, for at most 100
//! workers, and its tickets are valid for 2 s. Checks and surveys run at the same time.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// Number of workers in one partition of a large deployment.
const WORKERS: usize = 360;
/// Number of instances that make advice calls there.
const ADVICE_CHANNELS: usize = 49;
/// Duration of advice calls for relocations.
const SLOW_ADVICE: AdviceCost =
    AdviceCost { base_ms: 390.0, per_worker_ms: 5.6, ticket_validity: Millis(2_000) };

/// Returns a cell in which advice accepts three of ten workers.
fn relocation_cell() -> TestCell {
    let mut cell = TestCell::new(WORKERS);
    cell.set_queues(vec![queue(QUICK, 0, None), queue(LARGE, 1, Some(SLOW_ADVICE))]);
    let advice_channels: Vec<_> =
        (0..ADVICE_CHANNELS).map(|i| AdviceChannel { address: format!("s{i}").into() }).collect();
    cell.engine.set_advice_channels(&advice_channels);
    cell.delay_advice = true;
    let excluded_workers = (0..WORKERS).filter(|i| i % 10 >= 3);
    cell.excluded_workers = excluded_workers.map(|i| format!("w{i}").as_str().into()).collect();
    cell
}

fn gang(count: u32, cpu_milli: u32) -> std::sync::Arc<JobSpec> {
    job(vec![RawStep { gang: true, ..step(count, cpu_milli, 4_000) }])
}

/// Advances the clock until the job runs, by at most `timeout_ms`. Returns how long it took, in
/// milliseconds.
fn time_until_running(cell: &mut TestCell, id: u64, timeout_ms: u64) -> Option<u64> {
    let started_at = cell.now;
    while cell.now.since(started_at).0 < timeout_ms {
        if cell.state(id) == Some(JobState::Running) {
            return Some(cell.now.since(started_at).0);
        }
        cell.run(20);
    }
    None
}

#[test]
fn a_wide_gang_gets_advice_for_an_empty_cell_by_concurrent_calls() {
    let mut cell = relocation_cell();
    cell.submit(1, LARGE, gang(150, 7_600));
    // The gang needs 75 of the 108 accepted workers. Sequential calls would take four times 0.95 s.
    let took = time_until_running(&mut cell, 1, 10_000).unwrap();
    assert!(took < 2_000, "{took} ms");
}

/// Keeps about `percent` of the cell's processors busy for `ms` with tasks of one second.
fn keep_busy(cell: &mut TestCell, percent: usize, next: &mut u64, ms: u64) {
    let tasks = WORKERS * 16 / 4 * percent / 100;
    let tasks_per_job = 10;
    // Jobs of ten tasks of four processors each.
    for _ in 0..ms / 20 {
        for _ in 0..tasks / tasks_per_job / 50 {
            *next += 1;
            cell.submit(*next, QUICK, job(vec![step(tasks_per_job as u32, 4_000, 1_000)]));
        }
        cell.run(20);
    }
}

#[test]
fn gangs_of_many_widths_start_in_a_cell_that_is_kept_half_full() {
    let mut cell = relocation_cell();
    let mut next = 1_000;
    keep_busy(&mut cell, 55, &mut next, 1_500);
    for (id, count, cpu) in [(1, 96, 7_600), (2, 40, 4_500), (3, 53, 7_600), (4, 60, 6_800)] {
        cell.submit(id, LARGE, gang(count, cpu));
        keep_busy(&mut cell, 55, &mut next, 1_000);
    }
    let waits = |cell: &TestCell| (1..=4).any(|id| cell.state(id) == Some(JobState::Queued));
    let started_at = cell.now;
    while waits(&cell) && cell.now.since(started_at).0 < 20_000 {
        keep_busy(&mut cell, 55, &mut next, 100);
    }
    let states: Vec<_> = (1..=4).map(|id| cell.state(id)).collect();
    let took = cell.now.since(started_at).0;
    assert!(!waits(&cell), "{states:?} after {took} ms");
    assert!(took < 8_000, "{took} ms");
}

#[test]
fn a_waiting_gang_keeps_asking_for_advice() {
    let mut cell = relocation_cell();
    // The whole cell is full for six seconds.
    cell.submit(10, QUICK, job(vec![step(2 * WORKERS as u32, 8_000, 6_000)]));
    cell.run(100);
    cell.submit(1, LARGE, gang(110, 6_800));
    cell.run(5_000);
    let named_workers = |order: &Order| match order {
        Order::Advice { workers, .. } => workers.len(),
        Order::Worker { .. } => 0,
    };
    let named: usize = cell.executed_orders.iter().map(named_workers).sum();
    assert!(named > 300, "advice calls named only {named} workers while the cell was full");
    let took = time_until_running(&mut cell, 1, 10_000).unwrap();
    assert!(took < 2_500, "{took} ms");
}

#[test]
fn a_late_gang_still_runs_while_others_keep_arriving() {
    let mut cell = TestCell::new(20);
    let mut next = 100;
    // Ten gangs of four tasks of one second every 1.02 s: nearly all of the capacity, for 40 tasks,
    // is always in use, and most gangs wait for a moment without being late.
    let mut submit_burst = |cell: &mut TestCell| {
        for _ in 0..10 {
            next += 1;
            cell.submit(next, QUICK, job(vec![RawStep { gang: true, ..step(4, 7_600, 1_000) }]));
            cell.run(40);
        }
        cell.run(620);
    };
    (0..2).for_each(|_| submit_burst(&mut cell));
    cell.submit(1, LARGE, job(vec![RawStep { gang: true, ..step(30, 7_600, 1_000) }]));
    let started_at = cell.now;
    while cell.state(1) != Some(JobState::Running) {
        assert!(cell.now.since(started_at).0 < 40_000, "the gang has waited for 40 s");
        submit_burst(&mut cell);
    }
}
