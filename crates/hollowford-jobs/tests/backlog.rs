//! Backlogs of many waiting steps: limits the work of one pass over them, and checks that every
//! step runs in the end.

mod common;

use common::*;
use hollowford_jobs::*;

/// Returns a cell of two workers with one task on each, and `waiting` jobs that each need a whole
/// worker.
fn cell_with_backlog(waiting: u64) -> TestCell {
    let mut cell = TestCell::new(2);
    cell.submit(1, QUICK, job(vec![step(2, 9_000, 60_000)]));
    cell.run(50);
    assert_eq!(cell.running_tasks(), 2);
    for id in 0..waiting {
        cell.submit(100 + id, QUICK, job(vec![step(1, 16_000, 100)]));
    }
    cell.run(50);
    cell
}

/// Returns the number of steps that passes have tried to place.
fn steps_tried(cell: &TestCell) -> u64 {
    cell.engine.stats().tried
}

#[test]
fn a_partial_pass_tries_a_limited_number_of_steps() {
    let mut cell = cell_with_backlog(2_000);
    for _ in 0..100 {
        // Each arrival causes a pass. They are 5 ms apart, and one in twenty is a full pass.
        let id = 10_000 + cell.now.0;
        cell.submit(id, LARGE, job(vec![step(1, 16_000, 100)]));
        cell.run(5);
    }
    let before = steps_tried(&cell);
    cell.run(100);
    // One full pass over all 2,100 steps, and at most 19 partial ones, since workers answer looks
    // meanwhile.
    assert!(
        steps_tried(&cell) - before <= 2_100 + 19 * 200,
        "{} tries",
        steps_tried(&cell) - before
    );
    assert!(before < 120 * 200 + 12 * 2_200, "{before} tries during the arrivals");
}

#[test]
fn a_step_that_fits_starts_behind_many_that_do_not() {
    let mut cell = cell_with_backlog(1_000);
    cell.submit(9_000, LARGE, job(vec![step(1, 1_000, 100)]));
    cell.run(300);
    assert_eq!(cell.state(9_000), Some(JobState::Completed));
}

#[test]
fn every_step_of_a_backlog_runs_once_capacity_is_free() {
    let mut cell = cell_with_backlog(0);
    let second_step = || StepSpec { depends_on: vec![0], ..step(1, 2_000, 20) };
    for id in 0..600 {
        cell.submit(100 + id, QUICK, job(vec![step(2, 2_000, 20), second_step()]));
    }
    cell.run(20_000);
    let done = (0..600).filter(|id| cell.state(100 + id) == Some(JobState::Completed)).count();
    assert_eq!(done, 600);
}

#[test]
fn small_tasks_do_not_delay_a_large_one_forever() {
    let mut cell = TestCell::new(1);
    for i in 0..100 {
        // More small tasks arrive than fit, and each one that ends frees capacity only for another
        // small one.
        cell.submit(i, LARGE, job(vec![step(1, 4_000, 100)]));
        if i == 10 {
            cell.submit(1_000, LARGE, job(vec![step(1, 14_000, 100)]));
        }
        cell.run(20);
    }
    assert_eq!(cell.state(1_000), Some(JobState::Completed));
}

#[test]
fn small_tasks_are_backfilled_if_they_end_in_time() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 8_000, 1_000)]));
    cell.run(50);
    cell.submit(2, LARGE, job(vec![step(1, 12_000, 100)]));
    cell.run(50);
    cell.submit(3, LARGE, job(vec![step(1, 4_000, 100)]));
    cell.submit(4, LARGE, job(vec![step(1, 4_000, 60_000)]));
    cell.run(300);
    assert_eq!(cell.state(3), Some(JobState::Completed), "it ends before the large task can start");
    assert_eq!(cell.state(4), Some(JobState::Queued), "it would delay the large task");
    cell.run(1_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}
