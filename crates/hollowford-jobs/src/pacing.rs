//! Tasks that only fill what others leave idle, slowed down while they disturb tasks that
//! serve users.
//!
//! What fills a worker disturbs what serves there by amounts that shift within seconds. When
//! the tail of a serving task's answer times is over its target, all that fills on the same
//! worker is slowed down at once; it is sped up again step by step.

use crate::engine::Engine;
use crate::held::{FULL_PACE, Held, Phase};
use crate::life::WorkerLife;
use crate::order::{Order, Running, WorkerCall};
use crate::spec::TaskKey;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// What fills may work at this share, in percent, once a target was missed; the next miss
/// stops it.
const SLOWED_PACE_PERCENT: u32 = 30;
/// What fills is sped up by this many percent at a time.
const SPEED_UP_STEP_PERCENT: u32 = 20;
/// It is sped up while tails are below this part of their targets, in percent.
const CALM_LATENCY_PERCENT: u64 = 70;
/// Time between two changes on a worker: tails are told over the last half second.
const SLOW_DOWN_INTERVAL: Millis = Millis(600);
/// Time between two steps up, so that a disturbance shows before the next one.
const SPEED_UP_INTERVAL: Millis = Millis(1_500);

/// How a worker's serving tasks stand to their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LatencyStatus {
    /// None serves here, or all are well below.
    Calm,
    /// Between calm and missed.
    Near,
    /// At least one is over.
    Missed,
}

impl Engine {
    /// Decides how fast the worker's filling tasks may work, by what it told of its serving
    /// ones.
    pub(crate) fn pace_best_effort_tasks(
        &mut self,
        idx: WorkerIdx,
        running: &[Running],
        now: Millis,
    ) {
        let tails = self.latency_status(running);
        let fills = |t: &TaskKey| self.jobs.step_spec(t.step).is_some_and(|s| s.best_effort);
        let fillers: Vec<TaskKey> = running.iter().map(|r| r.task).filter(fills).collect();
        let Some(w) = self.workers.get_mut(idx) else { return };
        let waited = now.since(w.paced_at);
        let due = match tails {
            LatencyStatus::Missed => waited >= SLOW_DOWN_INTERVAL,
            LatencyStatus::Calm => waited >= SPEED_UP_INTERVAL,
            LatencyStatus::Near => false,
        };
        if !due || fillers.is_empty() {
            return;
        }
        let mut changed = false;
        for h in w.held.iter_mut().filter(|h| fillers.contains(&h.task)) {
            let wanted = match tails {
                LatencyStatus::Missed if h.pace_wanted > SLOWED_PACE_PERCENT => SLOWED_PACE_PERCENT,
                LatencyStatus::Missed => 0,
                _ => (h.pace_wanted + SPEED_UP_STEP_PERCENT).min(FULL_PACE),
            };
            changed |= wanted != h.pace_wanted;
            h.pace_wanted = wanted;
        }
        if changed {
            w.paced_at = now;
        }
    }

    fn latency_status(&self, running: &[Running]) -> LatencyStatus {
        let mut worst = LatencyStatus::Calm;
        for r in running {
            let Some(spec) = self.jobs.step_spec(r.task.step) else { continue };
            if !spec.service || spec.latency_target_ms == 0 {
                continue;
            }
            let tail = u64::from(r.load);
            if tail > spec.latency_target_ms {
                return LatencyStatus::Missed;
            }
            if tail * 100 > spec.latency_target_ms * CALM_LATENCY_PERCENT {
                worst = LatencyStatus::Near;
            }
        }
        worst
    }

    /// Orders the paces that are not in force yet.
    pub(crate) fn send_paces(&mut self, out: &mut Vec<Order>) {
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get_mut(idx) else { continue };
            let (worker, address, limit) = (w.life.clone(), w.address.clone(), w.answer_limit());
            let due =
                |h: &&mut Held| h.phase == Phase::Running && !h.calling && h.pace != h.pace_wanted;
            for h in w.held.iter_mut().filter(due) {
                h.calling = true;
                let call = WorkerCall::Pace {
                    worker: worker.clone(),
                    address: address.clone(),
                    task: h.task,
                    run: h.run,
                    percent: h.pace_wanted,
                };
                out.push(Order::Worker { call, limit });
            }
        }
    }

    /// Takes in whether an order of a pace was answered.
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
        h.calling = false;
        if answered {
            h.pace = percent;
        }
    }
}
