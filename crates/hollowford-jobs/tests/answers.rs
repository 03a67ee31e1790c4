//! Calls to workers whose answers don't come.

#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

/// How long a look of the engine may wait while no answers are lost.
const LONG_WAIT: Millis = Millis(1_000);

/// Returns the wait of each look in the log, and empties it.
fn waits(cell: &mut Cell) -> Vec<Millis> {
    let wait = |order: Order| match order {
        Order::Worker { call: WorkerCall::Look { wait, .. }, .. } => Some(wait),
        _ => None,
    };
    std::mem::take(&mut cell.log).into_iter().filter_map(wait).collect()
}

/// Returns the time limit of the newest start in the log.
fn start_limit(cell: &Cell) -> Millis {
    let limit = |order: &Order| match order {
        Order::Worker { call: WorkerCall::Start { .. }, limit } => Some(*limit),
        _ => None,
    };
    cell.log.iter().rev().find_map(limit).expect("a start")
}

/// Tells the engine of one start that was answered after `took`.
fn start_once(cell: &mut Cell, id: u64, took: u64) {
    cell.submit(id, QUICK, job(vec![step(1, 1_000, 60_000)]));
    cell.write();
    for order in cell.poll() {
        cell.log.push(order.clone());
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
fn the_time_limit_of_an_order_follows_the_answers_of_its_worker() {
    let mut cell = Cell::new(1);
    for id in 0..10 {
        start_once(&mut cell, id, 4);
    }
    let quick = start_limit(&cell);
    assert!(quick < Millis(100), "{quick:?} at a worker that answers in 4 ms");
    for id in 10..30 {
        start_once(&mut cell, id, 200);
    }
    let slow = start_limit(&cell);
    assert!(slow > Millis(200), "{slow:?} at a worker that answers in 200 ms");
}

#[test]
fn a_worker_that_is_silent_is_called_ever_more_rarely() {
    let mut cell = Cell::new(1);
    cell.run(500);
    cell.workers[0].reachable = false;
    cell.run(1_000);
    cell.log.clear();
    // The cell answers for a silent worker at once, so that only the pauses count.
    cell.run(1_000);
    let looks = cell.log.len();
    assert!((2..=5).contains(&looks), "{looks} looks in a second");
}

#[test]
fn looks_wait_for_less_while_answers_are_lost_and_for_long_again_afterwards() {
    let mut cell = Cell::new(4);
    cell.run(200);
    let calm = waits(&mut cell);
    assert!(calm.contains(&LONG_WAIT), "{calm:?}");
    // Half of the time the answers of one worker are lost; the next ones come.
    for turn in 0..400 {
        cell.workers[turn % 4].mute = true;
        cell.run(5);
        cell.workers[turn % 4].mute = false;
        cell.run(5);
    }
    waits(&mut cell);
    cell.run(50);
    let lossy = waits(&mut cell);
    assert!(lossy.iter().all(|w| *w < Millis(500)), "{lossy:?}");
    cell.run(10_000);
    waits(&mut cell);
    cell.run(50);
    let calm = waits(&mut cell);
    assert!(calm.contains(&LONG_WAIT), "{calm:?}");
}

#[test]
fn lost_answers_make_no_task_run_twice() {
    let mut cell = Cell::new(4);
    for id in 0..40 {
        cell.submit(id, QUICK, job(vec![step(2, 1_000, 100)]));
        cell.workers[id as usize % 4].mute = true;
        cell.run(15);
        cell.workers[id as usize % 4].mute = false;
        cell.run(15);
    }
    cell.run(1_000);
    let done = (0..40).filter(|&id| cell.state(id) == Some(JobState::Completed)).count();
    assert_eq!(done, 40);
    assert_eq!(cell.workers.iter().map(|w| w.starts).sum::<u64>(), 80);
}

/// Has the worker's lists answered now, whatever is lost on the way.
fn lists_of(cell: &mut Cell, at: usize) -> LookAnswer {
    let w = &mut cell.workers[at];
    let mute = std::mem::replace(&mut w.mute, false);
    let answer = w.look(None, 0, 1);
    w.mute = mute;
    answer
}

#[test]
fn an_end_that_is_listed_late_is_taken_in_and_its_task_runs_once() {
    let mut cell = Cell::new(2);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 300)]));
    cell.run(50);
    let at = usize::from(cell.workers[0].running.is_empty());
    let id = cell.workers[at].life();
    // From here on its answers come after their time limits.
    cell.workers[at].mute = true;
    cell.run(1_000);
    let late = lists_of(&mut cell, at);
    let sent = cell.now;
    cell.run(400);
    assert!(!cell.engine.looked_late(&id, late, sent, cell.now));
    cell.run(6_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers.iter().map(|w| w.starts).sum::<u64>(), 1);
}

#[test]
fn late_lists_that_are_older_than_what_is_known_change_nothing() {
    let mut cell = Cell::new(1);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 300)]));
    cell.run(50);
    let old = lists_of(&mut cell, 0);
    let sent = cell.now;
    cell.run(600);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    cell.engine.looked_late(&"w0".into(), old, sent, cell.now);
    cell.run(100);
    assert_eq!(cell.engine.stats().foreign, 0);
}

#[test]
fn a_start_that_is_confirmed_late_counts_and_a_late_refusal_does_not() {
    let mut cell = Cell::new(1);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 2_000)]));
    cell.workers[0].mute = true;
    cell.run(60);
    cell.workers[0].mute = false;
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

// What was seen: after all processes had been killed while tasks crashed workers, a queue was told to have one
// job waiting for five seconds and more, when six had.
//
// How it came about: their starts had been ordered, at workers that were down.
#[test]
fn a_job_whose_start_got_no_answer_waits() {
    let mut cell = Cell::new(1);
    cell.workers[0].crash();
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 2_000)]));
    cell.turn();
    cell.turn();
    assert_eq!(cell.engine.stats().started, 1, "its start was ordered");
    assert_eq!(cell.engine.waiting_jobs(QUICK), 1);
    assert_eq!(cell.state(1), Some(JobState::Queued));
    cell.workers[0].restart("next");
    cell.list();
    cell.run(500);
    assert_eq!(cell.engine.waiting_jobs(QUICK), 0);
    assert_eq!(cell.state(1), Some(JobState::Running));
}
