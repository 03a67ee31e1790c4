//! Steps that depend on others, scheduled rounds, limits per worker, required labels, and gangs.
#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;
use std::sync::Arc;

fn scheduled(first: u64, interval_ms: u64, rounds: u32) -> Arc<JobSpec> {
    let schedule = Some(Schedule { first_unix_ms: first, interval_ms, rounds });
    let raw = RawJob { template: "t".into(), steps: vec![step(1, 1_000, 100)], schedule };
    Arc::new(JobSpec::try_from(raw).unwrap())
}

fn starts(cell: &TestCell) -> u64 {
    cell.workers.iter().map(|w| w.starts).sum()
}

#[test]
fn a_step_starts_after_all_that_it_depends_on() {
    let mut cell = TestCell::new(2);
    let last = RawStep { depends_on: vec![0, 1], ..step(2, 1_000, 100) };
    cell.submit(1, LARGE, job(vec![step(3, 1_000, 300), step(1, 1_000, 700), last]));
    cell.run(600);
    assert_eq!(starts(&cell), 4);
    cell.run(300);
    assert_eq!(starts(&cell), 6);
    cell.run(500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn rounds_start_at_their_times_and_not_before() {
    let mut cell = TestCell::new(1);
    let unix = 1_900_000_000_000;
    cell.engine.set_unix_offset(unix - cell.now.0 as i64);
    cell.submit(1, LARGE, scheduled(unix as u64 + 1_000, 500, 3));
    cell.run(950);
    assert_eq!(starts(&cell), 0);
    for round in 1..=3 {
        cell.run(150);
        assert_eq!(starts(&cell), round, "round {round}");
        cell.run(350);
    }
    cell.run(300);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn a_new_owner_continues_the_rounds() {
    let mut cell = TestCell::new(1);
    let offset = 1_900_000_000_000 - cell.now.0 as i64;
    cell.engine.set_unix_offset(offset);
    cell.submit(1, LARGE, scheduled((cell.now.0 as i64 + offset) as u64, 400, 4));
    cell.run(600);
    assert_eq!(starts(&cell), 2);
    cell.take_over();
    cell.engine.set_unix_offset(offset);
    cell.run(2_500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(starts(&cell), 4);
}

#[test]
fn a_step_runs_no_more_tasks_per_worker_than_it_allows() {
    let mut cell = TestCell::new(4);
    cell.submit(1, LARGE, job(vec![RawStep { max_per_worker: 2, ..step(7, 1_000, 1_000) }]));
    cell.run(300);
    assert_eq!(cell.running_tasks(), 7);
    assert!(cell.workers.iter().all(|w| w.running.len() <= 2));
}

#[test]
fn a_step_runs_only_on_workers_with_the_label_that_it_requires() {
    let mut cell = TestCell::new(2);
    let missing_label = RawStep { required_label: "b".into(), ..step(1, 1_000, 100) };
    cell.submit(1, LARGE, job(vec![missing_label]));
    cell.run(500);
    assert_eq!(starts(&cell), 0);
    let present_label = RawStep { required_label: "a".into(), ..step(1, 1_000, 100) };
    cell.submit(2, LARGE, job(vec![present_label]));
    cell.run(500);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut cell = TestCell::new(2);
    cell.submit(1, LARGE, job(vec![step(6, 4_000, 2_000)]));
    cell.run(200);
    // Only two members of the gang fit.
    cell.submit(2, LARGE, job(vec![RawStep { gang: true, ..step(4, 4_000, 300) }]));
    for _ in 0..30 {
        cell.run(50);
        let members = cell.workers.iter().flat_map(|w| w.running.keys());
        let started = members.filter(|t| t.step.job == JobId(2)).count();
        assert!(started == 0 || started == 4, "{started} members");
    }
    cell.run(2_500);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

#[test]
fn small_tasks_do_not_delay_a_gang_forever() {
    let mut cell = TestCell::new(2);
    let mut id = 10;
    cell.submit(1, LARGE, job(vec![RawStep { gang: true, ..step(2, 14_000, 300) }]));
    let until = cell.now + Millis(20_000);
    while cell.now < until && cell.state(1) != Some(JobState::Completed) {
        id += 1;
        cell.submit(id, LARGE, job(vec![step(3, 3_000, 1_000)]));
        cell.run(150);
    }
    assert_eq!(cell.state(1), Some(JobState::Completed));
}
