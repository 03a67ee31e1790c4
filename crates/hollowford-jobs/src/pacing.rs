//! Pacing of best-effort tasks: they are slowed down while they disturb service tasks.
//!
//! Best-effort tasks use processors that others leave idle. They disturb the service tasks on the
//! same worker to a degree that changes within seconds. When the tail latency of a service task
//! exceeds its target, all best-effort tasks on its worker are slowed down at once. They are sped
//! up again step by step.

use crate::engine::Engine;
use crate::held_task::{FULL_PACE, HeldTask, Phase};
use crate::order::{Order, Running, WorkerCall};
use crate::spec::TaskKey;
use crate::worker_life::WorkerLife;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// Pace of best-effort tasks after a missed latency target, in percent of the full pace. Another
/// miss stops them.
const SLOWED_PACE_PERCENT: u32 = 30;
/// Increase of the pace per step, in percent of the full pace.
const SPEED_UP_STEP_PERCENT: u32 = 20;
/// Tail latency up to which best-effort tasks are sped up, in percent of the target.
const CALM_LATENCY_PERCENT: u64 = 70;
/// Minimum time between a change of pace and slowing down on a worker. Tail latencies are reported
/// over the last half second.
const SLOW_DOWN_INTERVAL: Millis = Millis(600);
/// Minimum time between a change of pace and speeding up on a worker, so that a disturbance shows
/// before the next step.
const SPEED_UP_INTERVAL: Millis = Millis(1_500);

/// Tail latencies of a worker's service tasks compared with their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LatencyStatus {
    /// All are at most [`CALM_LATENCY_PERCENT`] of their targets, or the worker has no service
    /// task.
    Calm,
    /// At least one is above [`CALM_LATENCY_PERCENT`] of its target, none above the target.
    Near,
    /// At least one is above its target.
    Missed,
}

impl Engine {
    /// Sets the wanted pace of the worker's best-effort tasks by the latencies that it reported for
    /// its service tasks.
    pub(crate) fn pace_best_effort_tasks(
        &mut self,
        idx: WorkerIdx,
        running: &[Running],
        now: Millis,
    ) {
        let status = self.latency_status(running);
        let is_best_effort =
            |t: &TaskKey| self.jobs.step_spec(t.step).is_some_and(|s| s.best_effort);
        let best_effort_tasks: Vec<TaskKey> =
            running.iter().map(|r| r.task).filter(is_best_effort).collect();
        let Some(w) = self.workers.get_mut(idx) else { return };
        let since_change = now.since(w.paced_at);
        let due = match status {
            LatencyStatus::Missed => since_change >= SLOW_DOWN_INTERVAL,
            LatencyStatus::Calm => since_change >= SPEED_UP_INTERVAL,
            LatencyStatus::Near => false,
        };
        if !due || best_effort_tasks.is_empty() {
            return;
        }
        let mut changed = false;
        for h in w.held.iter_mut().filter(|h| best_effort_tasks.contains(&h.task)) {
            let wanted = match status {
                LatencyStatus::Missed if h.desired_pace > SLOWED_PACE_PERCENT => {
                    SLOWED_PACE_PERCENT
                }
                LatencyStatus::Missed => 0,
                _ => (h.desired_pace + SPEED_UP_STEP_PERCENT).min(FULL_PACE),
            };
            changed |= wanted != h.desired_pace;
            h.desired_pace = wanted;
        }
        if changed {
            w.paced_at = now;
        }
    }

    /// Returns the worst status of the service tasks among the given tasks.
    fn latency_status(&self, running: &[Running]) -> LatencyStatus {
        let mut worst = LatencyStatus::Calm;
        for r in running {
            let Some(spec) = self.jobs.step_spec(r.task.step) else { continue };
            if !spec.service || spec.latency_target_ms == 0 {
                continue;
            }
            let latency_ms = u64::from(r.load);
            if latency_ms > spec.latency_target_ms {
                return LatencyStatus::Missed;
            }
            if latency_ms * 100 > spec.latency_target_ms * CALM_LATENCY_PERCENT {
                worst = LatencyStatus::Near;
            }
        }
        worst
    }

    /// Orders the wanted paces that the workers have not confirmed yet.
    pub(crate) fn send_paces(&mut self, out: &mut Vec<Order>) {
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get_mut(idx) else { continue };
            let (worker, address, limit) = (w.life.clone(), w.address.clone(), w.answer_timeout());
            let due = |h: &&mut HeldTask| {
                h.phase == Phase::Running && !h.call_in_flight && h.pace != h.desired_pace
            };
            for h in w.held.iter_mut().filter(due) {
                h.call_in_flight = true;
                let call = WorkerCall::Pace {
                    worker: worker.clone(),
                    address: address.clone(),
                    task: h.task,
                    run: h.run,
                    percent: h.desired_pace,
                };
                out.push(Order::Worker { call, limit });
            }
        }
    }

    /// Records whether an order to change a task's pace was answered.
    pub fn pace_answered(
        &mut self,
        life: &WorkerLife,
        task: TaskKey,
        run: u32,
        percent: u32,
        answered: bool,
    ) {
        let Some(idx) = self.workers.find(life) else { return };
        let Some(w) = self.workers.get_mut(idx) else { return };
        let Some(h) = w.find_mut(task, run) else { return };
        h.call_in_flight = false;
        if answered {
            h.pace = percent;
        }
    }
}
