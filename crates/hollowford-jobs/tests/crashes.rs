//! Tasks that crash the workers that run them.
//!
//! A crashed worker reports no ends. If only a reported failure uses up an attempt, such a task is
//! started again without limit and crashes one worker after the other. All tasks that a crash
//! interrupts are queued again together; if they go to the same next worker as the task that
//! caused the crash, they are interrupted again and again.
#![allow(clippy::expect_used)]

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;
use yare::parameterized;

/// Id of the job whose tasks crash their workers.
const CRASHING_JOB: u64 = 1;

/// Returns a cell in which that job's tasks crash workers, which restart after `downtime_ms`.
fn cell_with_crashing_job(workers: usize, downtime_ms: u64) -> TestCell {
    let mut cell = TestCell::new(workers);
    cell.crashes.jobs.insert(JobId(CRASHING_JOB));
    cell.crashes.downtime = Millis(downtime_ms);
    cell
}

/// Returns the position of the first worker that runs a task.
fn running_at(cell: &TestCell) -> usize {
    cell.workers.iter().position(|w| !w.running.is_empty()).expect("a task should run")
}

/// Returns whether a counted crash came soon after the start of the task; `None` for other events.
fn crash_freshness(event: &Event) -> Option<bool> {
    if let Event::WorkerCrashed { fresh, .. } = event { Some(*fresh) } else { None }
}

/// Advances the clock until the next crash, or until the job has failed.
fn run_until_crash(cell: &mut TestCell) {
    let before = cell.crashes.count;
    for _ in 0..20_000 {
        if cell.crashes.count > before || cell.state(CRASHING_JOB) == Some(JobState::Failed) {
            return;
        }
        cell.run(5);
    }
    panic!("no further crash after {before} crashes");
}

// Workers restart before the lease of their tasks ends, at about that time, after it, after their
// removal from the list, and long after that.
#[parameterized(
    soon = { 1_500 },
    at_lease_end = { 3_300 },
    late = { 4_000 },
    unlisted = { 7_000 },
    very_late = { 13_000 },
)]
fn a_task_that_crashes_its_workers_fails(downtime_ms: u64) {
    let mut cell = cell_with_crashing_job(8, downtime_ms);
    cell.submit(CRASHING_JOB, QUICK, job(vec![step(1, 1_000, 600)]));
    cell.run(90_000);
    assert_eq!(cell.state(CRASHING_JOB), Some(JobState::Failed));
}

// A takeover comes before each restart of a worker, so that no owner sees the crash itself.
#[parameterized(
    early = { 500, 3_300 },
    late = { 3_000, 3_300 },
    after_lease = { 3_900, 5_000 },
    unlisted = { 500, 7_000 },
)]
fn crashes_count_across_takeovers(after: u64, downtime_ms: u64) {
    let mut cell = cell_with_crashing_job(8, downtime_ms);
    cell.submit(CRASHING_JOB, QUICK, job(vec![step(1, 1_000, 600)]));
    run_until_crash(&mut cell);
    while cell.state(CRASHING_JOB) != Some(JobState::Failed) {
        cell.run(after);
        cell.take_over();
        run_until_crash(&mut cell);
    }
    assert!(cell.crashes.count <= 5, "{} crashes", cell.crashes.count);
}

// Ten other tasks share a worker with the one that crashes it.
#[test]
fn jobs_beside_a_crashing_task_complete() {
    let mut cell = cell_with_crashing_job(8, 3_300);
    cell.submit(CRASHING_JOB, QUICK, job(vec![step(1, 1_000, 600)]));
    for id in 2..12 {
        cell.submit(id, QUICK, job(vec![step(1, 1_500, 3_000)]));
    }
    cell.run(60_000);
    assert_eq!(cell.state(CRASHING_JOB), Some(JobState::Failed));
    for id in 2..12 {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
}

// One worker is empty, so the next start must interrupt no other task.
#[test]
fn a_suspected_task_starts_on_the_worker_with_the_fewest_other_tasks() {
    let mut cell = cell_with_crashing_job(5, 3_300);
    for id in 2..8 {
        cell.submit(id, LARGE, job(vec![step(1, 6_000, 60_000)]));
    }
    cell.run(1_000);
    cell.submit(CRASHING_JOB, QUICK, job(vec![step(1, 1_000, 600)]));
    cell.run(10_000);
    assert_eq!(cell.state(CRASHING_JOB), Some(JobState::Failed));
    let interrupted = cell.crashes.by_task.keys().filter(|t| t.step.job != JobId(CRASHING_JOB));
    assert_eq!(
        interrupted.count(),
        2,
        "only tasks beside the first start may be interrupted: {:?}",
        cell.crashes.by_task
    );
}

// The second start shares a worker with another job that has run for a while, since the restarted
// worker has too little free capacity.
#[test]
fn a_crash_is_not_counted_against_a_task_that_had_run_beside_a_suspect() {
    let mut cell = cell_with_crashing_job(2, 1_000);
    cell.submit(CRASHING_JOB, QUICK, job(vec![step(1, 1_000, 600)]));
    run_until_crash(&mut cell);
    let down = cell.workers.iter().position(|w| !w.up).expect("a worker should have crashed");
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 10_000)]));
    while !cell.workers[down].up {
        cell.run(5);
    }
    cell.workers[down].capacity.cpu_milli = 500;
    cell.update_worker_list();
    run_until_crash(&mut cell);
    assert_eq!(
        cell.crashes.by_task.len(),
        2,
        "both tasks should be on the crashed worker: {:?}",
        cell.crashes.by_task
    );
    cell.run(2_000);
    let other =
        |e: &Event| matches!(e, Event::WorkerCrashed { task, .. } if task.step.job == JobId(2));
    assert!(!cell.engine.take_events().iter().any(other));
}

#[test]
fn a_gang_with_a_member_that_crashes_its_worker_fails() {
    let mut cell = cell_with_crashing_job(8, 3_300);
    let gang = RawStep { gang: true, ..step(6, 8_000, 600) };
    cell.submit(CRASHING_JOB, LARGE, job(vec![gang]));
    cell.run(90_000);
    assert_eq!(cell.state(CRASHING_JOB), Some(JobState::Failed));
}

#[test]
fn a_later_step_and_a_service_task_fail_as_well() {
    for last in [
        RawStep { depends_on: vec![0], ..step(1, 1_000, 100) },
        RawStep { depends_on: vec![0], service: true, ..step(1, 1_000, 0) },
    ] {
        let mut cell = cell_with_crashing_job(8, 3_300);
        // The tasks of the first step end before they crash a worker.
        cell.crashes.crash_after = Millis(50);
        cell.workers.iter_mut().for_each(|w| w.runs_until_stopped = true);
        cell.submit(CRASHING_JOB, QUICK, job(vec![step(2, 1_000, 20), last]));
        cell.run(90_000);
        assert_eq!(cell.state(CRASHING_JOB), Some(JobState::Failed));
    }
}

// Each worker in turn is disconnected for longer than its lease, without a crash.
#[test]
fn a_disconnect_is_no_crash() {
    let mut cell = cell_with_crashing_job(2, 3_300);
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

// A worker is disconnected for longer than its lease, and crashes after its task has moved
// elsewhere.
#[test]
fn a_crash_is_not_counted_against_tasks_that_the_worker_had_before_a_disconnect() {
    let mut cell = cell_with_crashing_job(2, 3_300);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 20_000)]));
    cell.run(1_000);
    let at = running_at(&cell);
    cell.workers[at].reachable = false;
    cell.run(5_000);
    cell.workers[at].reachable = true;
    cell.run(500);
    assert!(cell.workers[at].running.is_empty(), "the task should run on the other worker");
    cell.crashes.crash(&mut cell.workers[at]);
    cell.run(5_000);
    let is_crash = |e: &Event| matches!(e, Event::WorkerCrashed { .. });
    assert_eq!(cell.engine.take_events().iter().filter(|e| is_crash(e)).count(), 0);
    assert_eq!(cell.engine.stats().crashes, 1);
}

// Both workers crash just before the start is sent, unknown to the owner. The task never ran there.
#[test]
fn a_start_sent_after_a_crash_does_not_count_as_a_crash_after_the_start() {
    let mut cell = cell_with_crashing_job(2, 3_300);
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 600)]));
    cell.run(5);
    cell.crashes.crash(&mut cell.workers[0]);
    while cell.workers[0].down_since.is_some() {
        cell.run(5);
    }
    cell.crashes.crash(&mut cell.workers[1]);
    cell.run(10_000);
    assert_eq!(cell.crashes.by_task.len(), 0);
    let fresh: Vec<_> = cell.engine.take_events().iter().filter_map(crash_freshness).collect();
    assert_eq!(
        fresh,
        [false, false],
        "two starts were sent, and neither crash counts as one soon after the start"
    );
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// One worker crashes under the task for another reason. Then three workers in turn crash just
// before its start is sent to them, unknown to the owner, so the task never ran there.
#[test]
fn starts_sent_after_crashes_fail_no_job() {
    let mut cell = cell_with_crashing_job(6, 1_000);
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 600)]));
    let mut sent = 0;
    while sent < 4 {
        cell.now = cell.now + Millis(5);
        let now = cell.now;
        cell.workers.iter_mut().for_each(|w| w.tick(now));
        if cell.crashes.tick(&mut cell.workers, now) {
            cell.update_worker_list();
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
                cell.execute_all(orders);
                cell.run(10);
                cell.crashes.crash(&mut cell.workers[at]);
                continue;
            }
            cell.crashes.crash(&mut cell.workers[at]);
        }
        cell.execute_all(orders);
    }
    cell.run(10_000);
    assert_eq!(cell.crashes.by_task.values().sum::<u32>(), 1);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Two workers in turn are disconnected right after the start, complete the task unreported, and
// crash later. To the owner this looks like two crashes soon after the start, although the task was
// not running at either.
#[test]
fn two_crashes_after_unreported_ends_fail_no_job() {
    let mut cell = cell_with_crashing_job(2, 1_000);
    cell.submit(2, QUICK, job(vec![step(1, 1_000, 600)]));
    for _ in 0..2 {
        while cell.running_tasks() == 0 {
            cell.run(5);
        }
        let at = running_at(&cell);
        cell.workers[at].reachable = false;
        cell.run(700);
        assert_eq!(cell.running_tasks(), 0, "the task should have ended there");
        cell.crashes.crash(&mut cell.workers[at]);
    }
    cell.run(5_000);
    assert_eq!(cell.crashes.by_task.len(), 0);
    let fresh: Vec<_> = cell.engine.take_events().iter().filter_map(crash_freshness).collect();
    assert_eq!(fresh, [true, true]);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Workers announce that they leave, and other workers soon have their addresses.
#[test]
fn a_worker_that_leaves_has_not_crashed() {
    let mut cell = cell_with_crashing_job(2, 3_300);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 7_000)]));
    for incarnation in 0..6 {
        cell.run(1_000);
        let at = running_at(&cell);
        cell.workers[at].leaving = true;
        cell.update_worker_list();
        cell.run(500);
        cell.workers[at].restart(&format!("next-{incarnation}"));
        cell.update_worker_list();
        cell.run(500);
    }
    assert_eq!(cell.engine.stats().crashes, 0);
    cell.run(10_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Four workers crash one after the other for other reasons, and never restart.
#[test]
fn workers_that_never_return_delay_a_task_for_a_limited_time() {
    let mut cell = cell_with_crashing_job(5, 1_000_000);
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

// Five workers are disconnected one after the other, and leave before they are reconnected.
#[test]
fn workers_that_leave_while_disconnected_delay_no_task() {
    let mut cell = cell_with_crashing_job(6, 3_300);
    cell.submit(2, LARGE, job(vec![step(1, 1_000, 3_000)]));
    for _ in 0..5 {
        cell.run(200);
        let at = cell.workers.iter().position(|w| w.listed && !w.running.is_empty());
        let w = &mut cell.workers[at.expect("the task should run")];
        w.reachable = false;
        let id = w.id.clone();
        cell.run(3_750);
        let w = cell.worker(&id).expect("the worker should exist");
        w.leaving = true;
        cell.update_worker_list();
        let w = cell.worker(&id).expect("the worker should exist");
        (w.listed, w.withdrawn) = (false, true);
        cell.update_worker_list();
    }
    cell.run(4_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

// Workers crash under the task from time to time, for other reasons.
#[test]
fn a_service_task_does_not_fail_for_crashes_far_apart() {
    let mut cell = cell_with_crashing_job(4, 3_300);
    let service = RawStep { service: true, ..step(1, 1_000, 0) };
    cell.workers.iter_mut().for_each(|w| w.runs_until_stopped = true);
    cell.submit(2, LARGE, job(vec![service]));
    for _ in 0..6 {
        cell.run(12_000);
        let at = running_at(&cell);
        cell.crashes.crash(&mut cell.workers[at]);
        cell.run(5_000);
    }
    assert_eq!(cell.crashes.count, 6);
    assert_eq!(cell.state(2), Some(JobState::Running));
    assert_eq!(cell.running_tasks(), 1);
}
