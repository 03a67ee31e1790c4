//! Many steps that wait: what one pass over them may cost, and that none is passed over.

mod common;

use common::*;
use hollowford_jobs::*;

/// A cell of two workers with one task on each, and `waiting` jobs that need a whole worker.
fn backlog(waiting: u64) -> Cell {
    let mut cell = Cell::new(2);
    cell.submit(1, QUICK, job(vec![step(2, 9_000, 60_000)]));
    cell.run(50);
    assert_eq!(cell.running(), 2);
    for id in 0..waiting {
        cell.submit(100 + id, QUICK, job(vec![step(1, 16_000, 100)]));
    }
    cell.run(50);
    cell
}

fn tried(cell: &Cell) -> u64 {
    cell.engine.stats().tried
}

#[test]
fn a_pass_between_full_ones_tries_few_steps_however_many_wait() {
    let mut cell = backlog(2_000);
    for _ in 0..100 {
        // Each arrival makes a pass; one in twenty of them, 5 ms apart, is a full one.
        let id = 10_000 + cell.now.0;
        cell.submit(id, LARGE, job(vec![step(1, 16_000, 100)]));
        cell.run(5);
    }
    let before = tried(&cell);
    cell.run(100);
    // One full pass over all 2,100, and at most 19 others: workers answer looks meanwhile.
    assert!(tried(&cell) - before <= 2_100 + 19 * 200, "{} tries", tried(&cell) - before);
    assert!(before < 120 * 200 + 12 * 2_200, "{before} tries");
}

#[test]
fn a_step_that_fits_starts_behind_many_that_do_not() {
    let mut cell = backlog(1_000);
    cell.submit(9_000, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(300);
    assert_eq!(cell.state(9_000), Some(JobState::Completed));
}

#[test]
fn every_step_of_a_backlog_runs_once_there_is_room() {
    let mut cell = backlog(0);
    let two = || StepSpec { depends_on: vec![0], ..step(1, 2_000, 20) };
    for id in 0..600 {
        cell.submit(100 + id, QUICK, job(vec![step(2, 2_000, 20), two()]));
    }
    cell.run(20_000);
    let done = (0..600).filter(|id| cell.state(100 + id) == Some(JobState::Completed)).count();
    assert_eq!(done, 600);
}

#[test]
fn a_large_task_is_not_passed_over_for_ever_by_small_ones() {
    let mut cell = Cell::new(1);
    for i in 0..100 {
        // More small ones come than fit, and each end leaves room for one of them only.
        cell.submit(i, LARGE, job(vec![step(1, 4_000, 100)]));
        if i == 10 {
            cell.submit(1_000, LARGE, job(vec![step(1, 14_000, 100)]));
        }
        cell.run(20);
    }
    assert_eq!(cell.state(1_000), Some(JobState::Completed));
}

#[test]
fn small_tasks_that_end_in_time_go_before_a_large_one() {
    let mut cell = Cell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 8_000, 1_000)]));
    cell.run(50);
    cell.submit(2, LARGE, job(vec![step(1, 12_000, 100)]));
    cell.run(50);
    cell.submit(3, LARGE, job(vec![step(1, 4_000, 100)]));
    cell.submit(4, LARGE, job(vec![step(1, 4_000, 60_000)]));
    cell.run(300);
    assert_eq!(cell.state(3), Some(JobState::Completed), "it ends before the room is needed");
    assert_eq!(cell.state(4), Some(JobState::Queued), "it would be in the way");
    cell.run(1_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}
