//! Service tasks, and best-effort tasks that use the processors that these leave idle.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

fn service_step(latency_target_ms: u64) -> RawStep {
    RawStep { service: true, latency_target_ms, ..step(1, 4_000, 0) }
}

fn best_effort_step() -> RawStep {
    RawStep { best_effort: true, ..step(2, 8_000, 60_000) }
}

/// Returns a cell of one worker with a service task and two best-effort tasks, each of which adds
/// 100 ms to the tail latency of the service task at full pace.
fn shared_worker(latency_ms: u64) -> TestCell {
    let mut cell = TestCell::new(1);
    cell.workers[0].runs_until_stopped = true;
    cell.submit(1, QUICK, job(vec![service_step(latency_ms)]));
    cell.submit(2, LARGE, job(vec![best_effort_step()]));
    cell.run(500);
    assert_eq!(cell.running_tasks(), 3, "best-effort tasks should not need free processors");
    cell
}

/// Returns the longest time for which the tail latency was over its target.
fn longest_violation(cell: &mut TestCell, latency_ms: u32, ms: u64) -> Millis {
    let (mut longest, mut since) = (Millis(0), cell.now);
    let until = cell.now + Millis(ms);
    while cell.now < until {
        cell.run(50);
        let paces = cell.workers[0].running.keys().map(|t| {
            let is_best_effort = t.step.job == JobId(2);
            let pace = cell.workers[0].paces.get(t).copied().unwrap_or(100);
            if is_best_effort { pace } else { 0 }
        });
        if 50 + paces.sum::<u32>() <= latency_ms {
            since = cell.now;
        }
        longest = longest.max(cell.now - since);
    }
    longest
}

#[test]
fn best_effort_tasks_are_slowed_down_while_latency_is_over_its_target() {
    for latency_ms in [60, 120, 200] {
        let mut cell = shared_worker(latency_ms);
        let longest = longest_violation(&mut cell, latency_ms as u32, 20_000);
        assert!(longest < Millis(3_500), "the latency was over {latency_ms} ms for {longest:?}");
        assert_eq!(cell.running_tasks(), 3, "no task should be stopped");
    }
}

#[test]
fn best_effort_tasks_return_to_full_pace_without_service_tasks() {
    let mut cell = shared_worker(200);
    cell.run(5_000);
    assert!(cell.workers[0].paces.values().any(|&p| p < 100));
    assert_eq!(cell.engine.cancel(JobId(1), cell.now), CancelAnswer::Pending);
    cell.run(15_000);
    let paces: Vec<u32> = cell.workers[0].paces.values().copied().collect();
    assert!(paces.iter().all(|&p| p == 100), "{paces:?}");
}

#[test]
fn a_service_task_starts_again_however_it_ends() {
    let mut cell = TestCell::new(2);
    cell.workers.iter_mut().for_each(|w| w.runs_until_stopped = true);
    cell.submit(1, QUICK, job(vec![service_step(200)]));
    cell.run(200);
    for kind in [EndKind::Failed, EndKind::Failed, EndKind::Failed, EndKind::Failed, EndKind::Done]
    {
        for w in &mut cell.workers {
            let tasks: Vec<TaskKey> = w.running.keys().copied().collect();
            tasks.into_iter().for_each(|t| w.end(t, kind));
        }
        cell.run(2_500);
        assert_eq!(cell.running_tasks(), 1, "after {kind:?}");
        assert_eq!(cell.state(1), Some(JobState::Running));
    }
}
