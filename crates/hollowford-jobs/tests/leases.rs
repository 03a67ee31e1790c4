//! Workers that stop answering: their tasks run elsewhere once their leases have ended, and not
//! before.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

#[test]
fn tasks_of_a_silent_worker_run_elsewhere_once_its_lease_has_ended() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(2, 1_000, 60_000)]));
    cell.run(1_500);
    cell.workers[0].reachable = false;
    cell.workers.push(worker::SimWorker::new(1, cell.now));
    cell.update_worker_list();
    let silent_since = cell.now;
    while cell.workers[1].running.is_empty() && cell.now - silent_since < Millis(20_000) {
        cell.run(50);
        cell.assert_no_duplicates();
    }
    assert_eq!(cell.workers[1].running.len(), 2);
    assert!(cell.now - silent_since < Millis(4_200), "after {:?}", cell.now - silent_since);
}

#[test]
fn leases_are_renewed_while_no_task_ends_and_the_store_is_down() {
    let mut cell = TestCell::new(1);
    cell.submit(1, LARGE, job(vec![step(1, 1_000, 500), step(1, 1_000, 20_000)]));
    cell.run(100);
    cell.store_up = false;
    cell.run(15_000);
    assert_eq!(cell.running_tasks(), 1, "the long task should still run");
    assert_eq!(cell.workers[0].starts, 2);
}

#[test]
fn a_start_without_an_answer_is_sent_again_and_runs_once() {
    let mut cell = TestCell::new(1);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 400)]));
    cell.workers[0].drops_answers = true;
    cell.run(100);
    cell.workers[0].drops_answers = false;
    cell.run(1_500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers[0].starts, 1);
}
