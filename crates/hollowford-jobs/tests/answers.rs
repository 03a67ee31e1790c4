//! Calls to workers whose answers are late or lost.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// Maximum time that a look waits for an end; used while no answers are lost.
const MAX_LOOK_WAIT: Millis = Millis(1_000);

/// Returns the wait of each executed look, and clears the list of executed orders.
fn take_look_waits(cell: &mut TestCell) -> Vec<Millis> {
    let wait = |order: Order| match order {
        Order::Worker { call: WorkerCall::Look { wait, .. }, .. } => Some(wait),
        _ => None,
    };
    std::mem::take(&mut cell.executed_orders).into_iter().filter_map(wait).collect()
}

/// Returns the timeout of the last executed start.
fn start_timeout(cell: &TestCell) -> Millis {
    let limit = |order: &Order| match order {
        Order::Worker { call: WorkerCall::Start { .. }, limit } => Some(*limit),
        _ => None,
    };
    cell.executed_orders.iter().rev().find_map(limit).expect("a start should have been executed")
}

/// Submits a job, and answers its start after `took` milliseconds.
fn answer_one_start(cell: &mut TestCell, id: u64, took: u64) {
    cell.submit(id, QUICK, job(vec![step(1, 1_000, 60_000)]));
    cell.write_batches();
    for order in cell.poll() {
        cell.executed_orders.push(order.clone());
        if let Order::Worker { call: WorkerCall::Start { worker, task, run, .. }, .. } = order {
            let sent = cell.now;
            cell.now = cell.now + Millis(took);
            let clock = cell.workers[0].clock() + took;
            let answer = StartAnswer::Runs(clock);
            cell.engine.start_answered(&worker, (task, run), answer, sent, cell.now);
        }
    }
    cell.now = cell.now + Millis(5);
}

#[test]
fn the_timeout_of_an_order_adapts_to_the_answer_times_of_its_worker() {
    let mut cell = TestCell::new(1);
    for id in 0..10 {
        answer_one_start(&mut cell, id, 4);
    }
    let quick = start_timeout(&cell);
    assert!(quick < Millis(100), "timeout of {quick:?} for a worker that answers in 4 ms");
    for id in 10..30 {
        answer_one_start(&mut cell, id, 200);
    }
    let slow = start_timeout(&cell);
    assert!(slow > Millis(200), "timeout of {slow:?} for a worker that answers in 200 ms");
}

#[test]
fn a_silent_worker_is_called_less_and_less_often() {
    let mut cell = TestCell::new(1);
    cell.run(500);
    cell.workers[0].reachable = false;
    cell.run(1_000);
    cell.executed_orders.clear();
    // The cell reports a silent worker as unanswered at once, so only the engine's pauses count.
    cell.run(1_000);
    let looks = cell.executed_orders.len();
    assert!((2..=5).contains(&looks), "{looks} looks in a second");
}

#[test]
fn looks_wait_shorter_while_answers_are_lost_and_long_again_afterwards() {
    let mut cell = TestCell::new(4);
    cell.run(200);
    let without_losses = take_look_waits(&mut cell);
    assert!(without_losses.contains(&MAX_LOOK_WAIT), "{without_losses:?}");
    // In half of the steps the answers of one worker are lost.
    for iteration in 0..400 {
        cell.workers[iteration % 4].drops_answers = true;
        cell.run(5);
        cell.workers[iteration % 4].drops_answers = false;
        cell.run(5);
    }
    take_look_waits(&mut cell);
    cell.run(50);
    let with_losses = take_look_waits(&mut cell);
    assert!(with_losses.iter().all(|w| *w < Millis(500)), "{with_losses:?}");
    cell.run(10_000);
    take_look_waits(&mut cell);
    cell.run(50);
    let without_losses = take_look_waits(&mut cell);
    assert!(without_losses.contains(&MAX_LOOK_WAIT), "{without_losses:?}");
}

#[test]
fn lost_answers_make_no_task_run_twice() {
    let mut cell = TestCell::new(4);
    for id in 0..40 {
        cell.submit(id, QUICK, job(vec![step(2, 1_000, 100)]));
        cell.workers[id as usize % 4].drops_answers = true;
        cell.run(15);
        cell.workers[id as usize % 4].drops_answers = false;
        cell.run(15);
    }
    cell.run(1_000);
    let done = (0..40).filter(|&id| cell.state(id) == Some(JobState::Completed)).count();
    assert_eq!(done, 40);
    assert_eq!(cell.workers.iter().map(|w| w.starts).sum::<u64>(), 80);
}

/// Returns the worker's answer to a look, even while its answers are lost.
fn look_at(cell: &mut TestCell, at: usize) -> LookAnswer {
    let w = &mut cell.workers[at];
    let drops_answers = std::mem::replace(&mut w.drops_answers, false);
    let answer = w.look(None, 0, 1);
    w.drops_answers = drops_answers;
    answer
}

#[test]
fn an_end_in_a_late_answer_counts_and_its_task_runs_once() {
    let mut cell = TestCell::new(2);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 300)]));
    cell.run(50);
    let at = usize::from(cell.workers[0].running.is_empty());
    let id = cell.workers[at].life();
    // From here on its answers arrive after their timeouts.
    cell.workers[at].drops_answers = true;
    cell.run(1_000);
    let late = look_at(&mut cell, at);
    let sent = cell.now;
    cell.run(400);
    assert!(!cell.engine.look_answered_late(&id, late, sent, cell.now));
    cell.run(6_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers.iter().map(|w| w.starts).sum::<u64>(), 1);
}

#[test]
fn outdated_late_answers_change_nothing() {
    let mut cell = TestCell::new(1);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 300)]));
    cell.run(50);
    let old = look_at(&mut cell, 0);
    let sent = cell.now;
    cell.run(600);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    cell.engine.look_answered_late(&"w0".into(), old, sent, cell.now);
    cell.run(100);
    assert_eq!(cell.engine.stats().foreign, 0);
}

#[test]
fn a_late_confirmation_of_a_start_counts_and_a_late_refusal_does_not() {
    let mut cell = TestCell::new(1);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 2_000)]));
    cell.workers[0].drops_answers = true;
    cell.run(60);
    cell.workers[0].drops_answers = false;
    let (id, task) = (cell.workers[0].life(), StepKey { job: JobId(1), round: 0, step: 0 }.task(0));
    let clock = cell.workers[0].clock();
    let (sent, now) = (cell.now, cell.now);
    let runs = StartAnswer::Runs(clock);
    assert!(!cell.engine.start_answered_late(&id, (task, 1), &runs, sent, now));
    assert!(!cell.engine.start_answered_late(&id, (task, 1), &StartAnswer::NoRoom, sent, now));
    cell.run(2_500);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert!(cell.engine.start_answered_late(&id, (task, 1), &StartAnswer::Fenced, sent, now));
}

// Jobs whose starts were ordered from workers that are down must still be counted as waiting.
#[test]
fn a_job_whose_start_got_no_answer_waits() {
    let mut cell = TestCell::new(1);
    cell.workers[0].crash();
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 2_000)]));
    cell.poll_and_execute();
    cell.poll_and_execute();
    assert_eq!(cell.engine.stats().started, 1, "its start should be ordered");
    assert_eq!(cell.engine.waiting_jobs(QUICK), 1);
    assert_eq!(cell.state(1), Some(JobState::Queued));
    cell.workers[0].restart("next");
    cell.update_worker_list();
    cell.run(500);
    assert_eq!(cell.engine.waiting_jobs(QUICK), 0);
    assert_eq!(cell.state(1), Some(JobState::Running));
}
