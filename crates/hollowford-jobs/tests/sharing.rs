//! Tasks that last and serve users, and tasks that fill what these leave idle.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

fn serving(latency_target_ms: u64) -> RawStep {
    RawStep { service: true, latency_target_ms, ..step(1, 4_000, 0) }
}

fn filling() -> RawStep {
    RawStep { best_effort: true, ..step(2, 8_000, 60_000) }
}

/// A worker with one serving task, and two that fill and add 100 ms each at full pace.
fn shared(latency_ms: u64) -> Cell {
    let mut cell = Cell::new(1);
    cell.workers[0].lasts = true;
    cell.submit(1, QUICK, job(vec![serving(latency_ms)]));
    cell.submit(2, LARGE, job(vec![filling()]));
    cell.run(500);
    assert_eq!(cell.running(), 3, "what fills takes no processors");
    cell
}

/// Returns the longest time for which the tail was over the target.
fn longest_miss(cell: &mut Cell, latency_ms: u32, ms: u64) -> Millis {
    let (mut longest, mut since) = (Millis(0), cell.now);
    let until = cell.now + Millis(ms);
    while cell.now < until {
        cell.run(50);
        let paces = cell.workers[0].running.keys().map(|t| {
            let fills = t.step.job == JobId(2);
            let pace = cell.workers[0].paces.get(t).copied().unwrap_or(100);
            if fills { pace } else { 0 }
        });
        if 50 + paces.sum::<u32>() <= latency_ms {
            since = cell.now;
        }
        longest = longest.max(cell.now - since);
    }
    longest
}

#[test]
fn what_fills_is_slowed_down_before_users_are_harmed() {
    for latency_ms in [60, 120, 200] {
        let mut cell = shared(latency_ms);
        let longest = longest_miss(&mut cell, latency_ms as u32, 20_000);
        assert!(longest < Millis(3_500), "{latency_ms} ms was missed for {longest:?}");
        assert_eq!(cell.running(), 3, "nothing is stopped");
    }
}

#[test]
fn what_fills_works_at_full_pace_again_when_nothing_is_disturbed() {
    let mut cell = shared(200);
    cell.run(5_000);
    assert!(cell.workers[0].paces.values().any(|&p| p < 100));
    assert_eq!(cell.engine.cancel(JobId(1), cell.now), CancelAnswer::Pending);
    cell.run(15_000);
    let paces: Vec<u32> = cell.workers[0].paces.values().copied().collect();
    assert!(paces.iter().all(|&p| p == 100), "{paces:?}");
}

#[test]
fn a_task_that_lasts_starts_again_however_it_ends() {
    let mut cell = Cell::new(2);
    cell.workers.iter_mut().for_each(|w| w.lasts = true);
    cell.submit(1, QUICK, job(vec![serving(200)]));
    cell.run(200);
    for kind in [EndKind::Failed, EndKind::Failed, EndKind::Failed, EndKind::Failed, EndKind::Done]
    {
        for w in &mut cell.workers {
            let tasks: Vec<TaskKey> = w.running.keys().copied().collect();
            tasks.into_iter().for_each(|t| w.end(t, kind));
        }
        cell.run(2_500);
        assert_eq!(cell.running(), 1, "after {kind:?}");
        assert_eq!(cell.state(1), Some(JobState::Running));
    }
}
