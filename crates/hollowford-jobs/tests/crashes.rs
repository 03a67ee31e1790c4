//! Tasks that crash the workers that start them.
//!
//! What was seen: a few checks crashed each worker that started them, for as long as the day
//! lasted: 195 times one of 48 workers stopped answering within 100 s, runs 53 to 58 of one task by one owner, one
//! each 3.4 s, and over a tenth of the checks unserved at times.
//!
//! How it came about: a life of a worker that ends lists no ends. The owner learned from the next
//! life at its address that it was over, and put all that it had held back among what waits.
//!
//! What caused it: only an end that a worker lists as failed used up an attempt, so a task that
//! never lives to be listed had no limit. Beside it, all that a crash has interrupted waits again
//! in the same turn, and went together to the same next worker, with the task that crashes it.
//!
//! What proved it: such runs went on within one epoch, without a takeover or a lost answer, 10 ms
//! after each `task.given_up ... cause=WorkerDead`.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;
use yare::parameterized;

/// The job whose tasks crash their workers.
const CRASHER: u64 = 1;

/// A cell in which that job's tasks crash workers, which are down for `down` milliseconds.
fn cell(workers: usize, down: u64) -> Cell {
    let mut cell = Cell::new(workers);
    cell.crashes.jobs.insert(JobId(CRASHER));
    cell.crashes.down = Millis(down);
    cell
}

/// Returns the position of the first worker that runs something.
fn running_at(cell: &Cell) -> usize {
    cell.workers.iter().position(|w| !w.running.is_empty()).expect("it runs")
}

/// Tells of a crash that was counted for a task whether it came soon after its start.
fn counted_as_fresh(note: &Note) -> Option<bool> {
    if let Note::CrashedUnder { fresh, .. } = note { Some(*fresh) } else { None }
}

/// Lets time pass until the next worker has crashed, or the job has ended.
fn until_crash(cell: &mut Cell) {
    let before = cell.crashes.count;
    for _ in 0..20_000 {
        if cell.crashes.count > before || cell.state(CRASHER) == Some(JobState::Failed) {
            return;
        }
        cell.run(5);
    }
    panic!("no crash after {before}");
}

// Workers are back before the lease on what they held is over, about then, after it, after their
// entry has left the list, and long after it.
#[parameterized(
    soon = { 1_500 },
    as_seen = { 3_300 },
    late = { 4_000 },
    unlisted = { 7_000 },
    very_late = { 13_000 },
)]
fn a_task_that_crashes_its_workers_is_given_up(down: u64) {
    let mut cell = cell(8, down);
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
    cell.run(90_000);
    assert_eq!(cell.state(CRASHER), Some(JobState::Failed));
}

// Each owner is lost before the worker is back, so that it never learns of the crash.
#[parameterized(
    early = { 500, 3_300 },
    late = { 3_000, 3_300 },
    after_lease = { 3_900, 5_000 },
    unlisted = { 500, 7_000 },
)]
fn crashes_count_across_takeovers(after: u64, down: u64) {
    let mut cell = cell(8, down);
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
    until_crash(&mut cell);
    while cell.state(CRASHER) != Some(JobState::Failed) {
        cell.run(after);
        cell.take_over();
        until_crash(&mut cell);
    }
    assert!(cell.crashes.count <= 5, "{} crashes", cell.crashes.count);
}

// Ten tasks fill the worker together with the one that crashes it.
#[test]
fn what_stood_beside_a_crash_is_done() {
    let mut cell = cell(8, 3_300);
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
    for id in 2..12 {
        cell.submit(id, QUICK, job(vec![step(1, 1_500, 3_000)]));
    }
    cell.run(60_000);
    assert_eq!(cell.state(CRASHER), Some(JobState::Failed));
    for id in 2..12 {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
}

// One worker is empty: the next start takes nothing along.
#[test]
fn a_task_under_which_a_worker_has_crashed_runs_where_it_can_do_least_harm() {
    let mut cell = cell(5, 3_300);
    for id in 2..8 {
        cell.submit(id, LARGE, job(vec![step(1, 6_000, 60_000)]));
    }
    cell.run(1_000);
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
    cell.run(10_000);
    assert_eq!(cell.state(CRASHER), Some(JobState::Failed));
    let beside = cell.crashes.under.keys().filter(|t| t.step.job != JobId(CRASHER));
    assert_eq!(beside.count(), 2, "what stood beside its first start: {:?}", cell.crashes.under);
}

// The second start comes beside another job that has worked for a while: the next life of the worker
// that has crashed has no room.
#[test]
fn what_had_worked_beside_a_suspect_is_not_counted_for_its_crash() {
    let mut cell = cell(2, 1_000);
    cell.submit(CRASHER, QUICK, job(vec![step(1, 1_000, 600)]));
    until_crash(&mut cell);
    let down = cell.workers.iter().position(|w| !w.up).expect("it has crashed");
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 10_000)]));
    while !cell.workers[down].up {
        cell.run(5);
    }
    cell.workers[down].capacity.cpu_milli = 500;
    cell.list();
    until_crash(&mut cell);
    assert_eq!(cell.crashes.under.len(), 2, "both were there: {:?}", cell.crashes.under);
    cell.run(2_000);
    let other =
        |n: &Note| matches!(n, Note::CrashedUnder { task, .. } if task.step.job == JobId(2));
    assert!(!cell.engine.take_events().iter().any(other));
}

#[test]
fn a_gang_with_a_member_that_crashes_its_worker_is_given_up() {
    let mut cell = cell(8, 3_300);
    let gang = RawStep { gang: true, ..step(6, 8_000, 600) };
    cell.submit(CRASHER, LARGE, job(vec![gang]));
    cell.run(90_000);
    assert_eq!(cell.state(CRASHER), Some(JobState::Failed));
}

#[test]
fn a_later_step_and_a_task_that_lasts_are_given_up_as_well() {
    for last in [
        RawStep { depends_on: vec![0], ..step(1, 1_000, 100) },
        RawStep { depends_on: vec![0], service: true, ..step(1, 1_000, 0) },
    ] {
        let mut cell = cell(8, 3_300);
        // The first step ends before a worker would crash under it.
        cell.crashes.after = Millis(50);
        cell.workers.iter_mut().for_each(|w| w.lasts = true);
        cell.submit(CRASHER, QUICK, job(vec![step(2, 1_000, 20), last]));
        cell.run(90_000);
        assert_eq!(cell.state(CRASHER), Some(JobState::Failed));
    }
}

// Each worker in turn is cut off for longer than its lease, and lives.
#[test]
fn a_cut_is_no_crash() {
    let mut cell = cell(2, 3_300);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 7_000)]));
    for _ in 0..6 {
        cell.run(1_000);
        let at = running_at(&cell);
        cell.workers[at].reachable = false;
        cell.run(4_500);
        cell.workers[at].reachable = true;
        cell.run(500);
    }
    assert_eq!(cell.engine.stats().crashes, 0);
    cell.run(10_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// One worker is cut off and lives, and crashes later, with the task elsewhere.
#[test]
fn a_worker_that_lived_through_a_cut_has_not_crashed_under_what_it_held_before() {
    let mut cell = cell(2, 3_300);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 20_000)]));
    cell.run(1_000);
    let at = running_at(&cell);
    cell.workers[at].reachable = false;
    cell.run(5_000);
    cell.workers[at].reachable = true;
    cell.run(500);
    assert!(cell.workers[at].running.is_empty(), "it runs elsewhere");
    cell.crashes.crash(&mut cell.workers[at]);
    cell.run(5_000);
    let under = |n: &Note| matches!(n, Note::CrashedUnder { .. });
    assert_eq!(cell.engine.take_events().iter().filter(|n| under(n)).count(), 0);
    assert_eq!(cell.engine.stats().crashes, 1);
}

// Both workers have crashed just before the task was sent to them, and nobody knew: it never ran there.
#[test]
fn a_start_that_came_after_the_crash_tells_nothing_against_its_task() {
    let mut cell = cell(2, 3_300);
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 600)]));
    cell.run(5);
    cell.crashes.crash(&mut cell.workers[0]);
    while cell.workers[0].down_since.is_some() {
        cell.run(5);
    }
    cell.crashes.crash(&mut cell.workers[1]);
    cell.run(10_000);
    assert_eq!(cell.crashes.under.len(), 0);
    let fresh: Vec<_> = cell.engine.take_events().iter().filter_map(counted_as_fresh).collect();
    assert_eq!(fresh, [false, false], "it was sent twice, and each counts as one of any kind");
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// One worker crashes under it, for a reason of its own. Then three in turn have crashed just before it is sent to
// them, and nobody knew: it never ran there.
#[test]
fn starts_that_came_after_crashes_end_no_job() {
    let mut cell = cell(6, 1_000);
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 600)]));
    let mut sent = 0;
    while sent < 4 {
        cell.now = cell.now + Millis(5);
        let now = cell.now;
        cell.workers.iter_mut().for_each(|w| w.tick(now));
        if cell.crashes.tick(&mut cell.workers, now) {
            cell.list();
        }
        let orders = cell.poll();
        let started = orders.iter().find_map(|o| match o {
            Order::Worker { call: WorkerCall::Start { worker, .. }, .. } => Some(worker.clone()),
            _ => None,
        });
        let at = cell.workers.iter().position(|w| started.as_ref() == Some(&w.life()) && w.up);
        if let Some(at) = at {
            sent += 1;
            if sent == 1 {
                cell.carry_out_all(orders);
                cell.run(10);
                cell.crashes.crash(&mut cell.workers[at]);
                continue;
            }
            cell.crashes.crash(&mut cell.workers[at]);
        }
        cell.carry_out_all(orders);
    }
    cell.run(10_000);
    assert_eq!(cell.crashes.under.values().sum::<u32>(), 1);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Two workers in turn are cut off right after they have started it, end it unheard, and crash later: from
// outside that looks like two crashes soon after the start, and it ran under none.
#[test]
fn two_crashes_that_only_seem_to_come_soon_give_nothing_up() {
    let mut cell = cell(2, 1_000);
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 600)]));
    for _ in 0..2 {
        while cell.running() == 0 {
            cell.run(5);
        }
        let at = running_at(&cell);
        cell.workers[at].reachable = false;
        cell.run(700);
        assert_eq!(cell.running(), 0, "it has ended there");
        cell.crashes.crash(&mut cell.workers[at]);
    }
    cell.run(5_000);
    assert_eq!(cell.crashes.under.len(), 0);
    let fresh: Vec<_> = cell.engine.take_events().iter().filter_map(counted_as_fresh).collect();
    assert_eq!(fresh, [true, true]);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Workers say that they leave, and their addresses are another's soon after.
#[test]
fn a_worker_that_leaves_has_not_crashed() {
    let mut cell = cell(2, 3_300);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 7_000)]));
    for life in 0..6 {
        cell.run(1_000);
        let at = running_at(&cell);
        cell.workers[at].leaving = true;
        cell.list();
        cell.run(500);
        cell.workers[at].restart(&format!("next-{life}"));
        cell.list();
        cell.run(500);
    }
    assert_eq!(cell.engine.stats().crashes, 0);
    cell.run(10_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Four workers are lost one after the other, and never come back: not by the task's doing.
#[test]
fn workers_that_are_lost_for_good_hold_a_task_up_for_a_while_only() {
    let mut cell = cell(5, 1_000_000);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 3_500)]));
    for _ in 0..4 {
        cell.run(1_000);
        let at = running_at(&cell);
        cell.crashes.crash(&mut cell.workers[at]);
        cell.run(4_000);
    }
    cell.run(12_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Five workers are cut off one after the other, then leave without being heard again.
#[test]
fn workers_that_leave_unheard_hold_no_task_up() {
    let mut cell = cell(6, 3_300);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 3_000)]));
    for _ in 0..5 {
        cell.run(200);
        let at = cell.workers.iter().position(|w| w.listed && !w.running.is_empty());
        let w = &mut cell.workers[at.expect("it runs")];
        w.reachable = false;
        let id = w.id.clone();
        cell.run(3_750);
        let w = cell.worker(&id).expect("the worker");
        w.leaving = true;
        cell.list();
        cell.worker(&id).expect("the worker").listed = false;
        cell.list();
    }
    cell.run(4_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Workers crash under it by and by, for reasons of their own.
#[test]
fn a_task_that_lasts_is_not_given_up_for_crashes_far_apart() {
    let mut cell = cell(4, 3_300);
    let lasting = RawStep { service: true, ..step(1, 1_000, 0) };
    cell.workers.iter_mut().for_each(|w| w.lasts = true);
    cell.submit(2, LARGE, job(vec![lasting]));
    for _ in 0..6 {
        cell.run(12_000);
        let at = running_at(&cell);
        cell.crashes.crash(&mut cell.workers[at]);
        cell.run(5_000);
    }
    assert_eq!(cell.crashes.count, 6);
    assert_eq!(cell.state(2), Some(JobState::Running));
    assert_eq!(cell.running(), 1);
}
