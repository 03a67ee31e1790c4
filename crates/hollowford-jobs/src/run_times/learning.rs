//! Samples of run times from the ends that workers report.

use crate::candidate::rack_label;
use crate::engine::Engine;
use crate::held_task::{FULL_PACE, HeldTask};
use crate::order::{End, EndKind};
use crate::run_times::RunSample;
use crate::spec::StepSpec;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

impl Engine {
    /// Learns from a run that has ended. Must be called while the other members of a gang are
    /// still placed.
    pub(crate) fn learn_run_time(
        &mut self,
        idx: WorkerIdx,
        end: &End,
        held: Option<&HeldTask>,
        spec: &StepSpec,
        now: Millis,
    ) {
        let Some(held) = held.filter(|_| end.kind == EndKind::Done) else { return };
        // The run times of best-effort tasks depend on what the others leave idle.
        if spec.service || spec.best_effort || held.pace != FULL_PACE {
            return;
        }
        let Some(from) = held.measured_from else { return };
        let Some(job) = self.jobs.get(end.task.step.job) else { return };
        let queue = job.queue.clone();
        let worker = if spec.gang { self.slowest_worker(end, idx) } else { idx };
        let estimate = Millis(spec.estimate_ms);
        let took = now.since(from);
        self.run_times.record(&RunSample { queue, estimate, took, worker, gang: spec.gang });
    }

    /// Returns the slowest worker of the gang that a task belongs to.
    fn slowest_worker(&self, end: &End, idx: WorkerIdx) -> WorkerIdx {
        let tasks = self.jobs.step(end.task.step).map(|s| s.tasks.as_slice()).unwrap_or_default();
        let workers = tasks.iter().filter_map(|t| t.worker).chain([idx]);
        let slowness = |w: WorkerIdx| self.run_times.slowness(w);
        workers.max_by(|&a, &b| slowness(a).total_cmp(&slowness(b))).unwrap_or(idx)
    }

    /// Tells the learned speeds the pool and kind of a listed worker. The kind is the first label
    /// that doesn't name the rack.
    pub(crate) fn register_worker_speed(&mut self, idx: WorkerIdx) {
        let Some(w) = self.workers.get(idx) else { return };
        let rack = rack_label(&w.labels);
        let kind = w.labels.iter().find(|l| Some(*l) != rack);
        self.run_times.register_worker(idx, w.life.id(), &w.pool, kind);
    }
}
