//! Workers that answer calls while their tasks make no progress, and slow workers.

mod common;

use common::*;
use hollowford_jobs::*;

#[test]
fn short_tasks_that_stall_move_to_another_worker() {
    let mut cell = TestCell::new(2);
    for w in &mut cell.workers {
        w.stalled = true;
    }
    cell.submit(1, QUICK, job(vec![step(4, 1_000, 500)]));
    cell.run(300);
    let stalled =
        cell.workers.iter().position(|w| w.starts > 0).expect("a worker should have got the tasks");
    cell.workers[1 - stalled].stalled = false;
    cell.run(3_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers[stalled].done(), 0);
}

#[test]
fn a_stalled_worker_gets_no_new_tasks() {
    let mut cell = TestCell::new(2);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 30_000)]));
    cell.run(1_500);
    let stalled =
        cell.workers.iter().position(|w| w.starts > 0).expect("a worker should have got the task");
    cell.workers[stalled].stalled = true;
    cell.run(4_000);
    let before = cell.workers[stalled].starts;
    for id in 2..12 {
        cell.submit(id, QUICK, job(vec![step(2, 1_000, 200)]));
        cell.run(100);
    }
    cell.run(500);
    assert_eq!(cell.workers[stalled].starts, before);
    assert!((2..12).all(|id| cell.state(id) == Some(JobState::Completed)));
}

#[test]
fn a_long_task_that_stalls_stays_on_its_worker() {
    let mut cell = TestCell::new(2);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 10_000)]));
    cell.run(2_000);
    cell.workers.iter_mut().for_each(|w| w.stalled = true);
    cell.run(4_000);
    cell.workers.iter_mut().for_each(|w| w.stalled = false);
    cell.run(12_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers.iter().map(|w| w.starts).sum::<u64>(), 1);
}

#[test]
fn a_slow_worker_is_avoided_while_others_have_free_capacity() {
    let mut cell = TestCell::new(3);
    cell.workers[1].slowdown = 5;
    for id in 1..40 {
        cell.submit(id, QUICK, job(vec![step(3, 2_000, 200)]));
        cell.run(60);
    }
    let early = cell.workers[1].starts;
    for id in 40..80 {
        cell.submit(id, QUICK, job(vec![step(3, 2_000, 200)]));
        cell.run(60);
    }
    let late = cell.workers[1].starts - early;
    assert!(late <= 6, "{late} of 120 tasks went to the slow worker");
}
