//! Progress of tasks: their expected ends, the slowness of their workers, and stalled workers.

use crate::engine::Engine;
use crate::event::Event;
use crate::held_task::{HeldTask, Phase};
use crate::order::Running;
use crate::spec::TaskKey;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// Minimum time without a change of progress after which a task counts as stalled. Progress is
/// reported in whole percent, so long tasks are given more time.
pub(crate) const MIN_STALL_TIMEOUT: Millis = Millis(700);
/// Part of a task's estimated time, in percent, that one percent of progress may take. A worker may
/// be several times slower than estimated.
pub(crate) const STALL_ESTIMATE_PERCENT: u64 = 8;
/// Progress in percent from which a task doesn't count as stalled, because it is about to end.
pub(crate) const NEARLY_DONE_PERCENT: u32 = 99;
/// Time for which a stalled worker gets no new tasks; renewed while it stays stalled.
const STALL_PAUSE: Millis = Millis(500);
/// Time after which a stalled short task is started elsewhere. Little work is lost, and its caller
/// is waiting.
const STALLED_TASK_MOVE_TIMEOUT: Millis = Millis(1_000);
/// Maximum estimate of a task that counts as short.
const MAX_SHORT_TASK_ESTIMATE: Millis = Millis(2_000);
/// Weight of the newest sample in a worker's slowness.
const SLOWNESS_WEIGHT: f32 = 0.2;
/// Limits of one slowness sample, because estimates may be far off.
const SLOWNESS_RANGE: (f32, f32) = (0.5, 8.0);
/// Progress in percent that a slowness sample needs.
pub(crate) const MIN_SAMPLE_PROGRESS_PERCENT: u32 = 10;

impl Engine {
    /// Records the reported progress of a task.
    pub(crate) fn record_progress(&mut self, idx: WorkerIdx, r: &Running, now: Millis) {
        let estimate = self.estimate(r.task);
        let Some(w) = self.workers.get_mut(idx) else { return };
        let Some(h) = w.find_mut(r.task, r.run) else { return };
        h.reported_at = now;
        if r.progress == h.progress && h.first_progress.is_some() {
            return;
        }
        h.progress = r.progress;
        h.progressed_at = now;
        let (from, since) = *h.first_progress.get_or_insert((r.progress, now));
        let gained = r.progress.saturating_sub(from);
        if gained < MIN_SAMPLE_PROGRESS_PERCENT {
            return;
        }
        let total_ms = now.since(since).0 * 100 / u64::from(gained);
        h.expected_end = now + Millis(total_ms * u64::from(100 - r.progress.min(100)) / 100);
        if estimate > Millis(0) {
            let sample = total_ms as f32 / estimate.0 as f32;
            let sample = sample.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            w.slowness += (sample - w.slowness) * SLOWNESS_WEIGHT;
        }
    }

    /// Returns the caller's estimate of a task's run time; 0 if unknown.
    fn estimate(&self, key: TaskKey) -> Millis {
        self.jobs.step_spec(key.step).map_or(Millis(0), |s| Millis(s.estimate_ms))
    }

    /// Pauses a worker on which every running task is stalled, and restarts its short tasks
    /// elsewhere.
    pub(crate) fn check_stalled(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let running: Vec<&HeldTask> = w.held.iter().filter(|h| h.phase == Phase::Running).collect();
        let is_stalled = |h: &&&HeldTask| {
            let allowance = Millis(self.estimate(h.task).0 * STALL_ESTIMATE_PERCENT / 100);
            h.progress < NEARLY_DONE_PERCENT
                && now.since(h.progressed_at) >= MIN_STALL_TIMEOUT.max(allowance)
        };
        let stalled = running.iter().filter(is_stalled).count();
        if stalled == 0 || stalled < running.len() {
            return;
        }
        let is_short = |h: &&HeldTask| {
            now.since(h.progressed_at) >= STALLED_TASK_MOVE_TIMEOUT
                && self.estimate(h.task) <= MAX_SHORT_TASK_ESTIMATE
        };
        let moved: Vec<TaskKey> = running.into_iter().filter(is_short).map(|h| h.task).collect();
        let Some(w) = self.workers.get_mut(idx) else { return };
        if !w.health.is_quarantined(now) {
            self.events.push(Event::WorkerStalled { worker: w.life.clone(), tasks: stalled });
        }
        w.health.pause(now + STALL_PAUSE);
        for key in moved {
            self.move_task_elsewhere(idx, key, now);
        }
    }

    /// Stops a task so that it starts elsewhere; a gang restarts as a whole. Service tasks stay,
    /// because moving them would interrupt their users.
    pub(crate) fn move_task_elsewhere(&mut self, idx: WorkerIdx, key: TaskKey, now: Millis) {
        if self.jobs.step_spec(key.step).is_none_or(|s| s.service) {
            return;
        }
        if self.is_gang(key.step) {
            self.restart_gang(key.step);
            return;
        }
        if let Some(task) = self.jobs.task_mut(key) {
            task.avoid_worker(idx, now);
        }
        self.mark_stopping(idx, key);
    }
}
