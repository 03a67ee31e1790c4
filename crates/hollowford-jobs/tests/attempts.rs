//! Failed attempts: each counts once, and the last one allowed ends the job.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

const POISON: JobId = JobId(1);

/// A cell in which the job fails wherever it runs.
fn poisoned(workers: usize) -> Cell {
    let mut cell = Cell::new(workers);
    for w in &mut cell.workers {
        w.poison.insert(POISON);
    }
    cell
}

fn starts(cell: &Cell) -> u64 {
    cell.workers.iter().map(|w| w.starts).sum()
}

#[test]
fn a_job_fails_after_its_attempts() {
    let mut cell = poisoned(4);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    cell.run(2_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(starts(&cell), 3);
}

#[test]
fn attempts_that_were_not_written_down_count_after_a_takeover() {
    let mut cell = poisoned(4);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    cell.run(20);
    cell.store_up = false;
    cell.run(280);
    let before = starts(&cell);
    assert!(before >= 2, "{before} starts");
    cell.store_up = true;
    cell.take_over();
    cell.run(3_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(starts(&cell), 3);
}

#[test]
fn an_attempt_that_is_told_again_counts_once() {
    let mut cell = poisoned(4);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    while starts(&cell) < 2 {
        cell.run(5);
    }
    // The failure may be written down by now, and is not forgotten by the worker.
    for _ in 0..3 {
        cell.take_over();
        cell.run(20);
    }
    assert!(cell.state(1) == Some(JobState::Queued) || cell.state(1) == Some(JobState::Running));
    cell.run(3_000);
    assert_eq!(starts(&cell), 3);
}

#[test]
fn a_gang_counts_one_attempt_for_all_its_members() {
    let mut cell = poisoned(4);
    let gang = RawStep { gang: true, ..step(4, 4_000, 100) };
    cell.submit(1, LARGE, job(vec![gang]));
    cell.run(3_000);
    assert_eq!(cell.state(1), Some(JobState::Failed));
    assert_eq!(starts(&cell), 12);
}

#[test]
fn a_task_may_return_to_the_only_worker_that_has_failed_it() {
    let mut cell = Cell::new(1);
    cell.workers[0].failing = true;
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 100)]));
    cell.run(300);
    cell.workers[0].failing = false;
    cell.run(4_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn a_gang_keeps_off_a_worker_whose_last_task_has_failed() {
    let mut cell = Cell::new(3);
    // The first task goes to one of them, which fails it and all that comes.
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 50)]));
    cell.run(20);
    cell.workers.iter_mut().for_each(|w| w.failing = w.starts > 0);
    cell.run(400);
    assert_eq!(cell.workers.iter().filter(|w| w.failing).count(), 1, "one has failed a task");
    let gang = StepSpec { gang: true, ..step(2, 9_000, 200) };
    cell.submit(9, LARGE, job(vec![gang]));
    cell.run(400);
    assert_eq!(cell.state(9), Some(JobState::Completed));
    let failing = cell.workers.iter().find(|w| w.failing).map(|w| w.starts);
    assert_eq!(failing, Some(1), "nothing more was begun there");
}

#[test]
fn a_gang_does_not_return_to_workers_that_have_failed_it() {
    let mut cell = Cell::new(4);
    let gang = StepSpec { gang: true, ..step(2, 9_000, 100) };
    cell.submit(1, LARGE, job(vec![gang]));
    cell.run(20);
    let bad: Vec<usize> = (0..4).filter(|&i| cell.workers[i].starts == 1).collect();
    assert_eq!(bad.len(), 2);
    bad.iter().for_each(|&i| cell.workers[i].failing = true);
    // More urgent tasks take the other two workers, and these two once the gang has failed.
    cell.submit(2, QUICK, job(vec![step(4, 9_000, 5_000)]));
    cell.run(150);
    assert_eq!(cell.running(), 4);
    // All of them end well at once: none of the workers is suspect, and all are free.
    cell.workers.iter_mut().for_each(|w| w.failing = false);
    let until = cell.now + Millis(50);
    for run in cell.workers.iter_mut().flat_map(|w| w.running.values_mut()) {
        run.until = until;
    }
    cell.run(100);
    assert_eq!(cell.state(2), Some(JobState::Completed));
    let again = |i: &usize| cell.workers[*i].starts;
    assert_eq!(bad.iter().map(again).collect::<Vec<_>>(), [2, 2], "the gang is elsewhere");
}
