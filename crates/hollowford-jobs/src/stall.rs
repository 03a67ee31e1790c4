//! Progress of tasks: their expected ends, the slowness of their workers, and stalled workers.

use crate::engine::Engine;
use crate::event::Event;
use crate::held_task::{HeldTask, Phase};
use crate::order::Running;
use crate::spec::TaskKey;
use crate::worker::Worker;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// Minimum time without a change of progress after which a task counts as stalled. Progress is
/// reported in whole percent, so long tasks are given more time.
pub(crate) const MIN_STALL_TIMEOUT: Millis = Millis(700);
/// Part of a task's expected run time, in percent, that one percent of progress may take. A worker
/// may be several times slower than expected.
pub(crate) const STALL_RUN_TIME_PERCENT: u64 = 8;
/// Progress in percent from which a task doesn't count as stalled, because it is about to end.
pub(crate) const NEARLY_DONE_PERCENT: u32 = 99;
/// Time for which a stalled worker gets no new tasks; renewed while it stays stalled.
const STALL_PAUSE: Millis = Millis(500);
/// Time after which a stalled short task is started elsewhere. Little work is lost, and its caller
/// is waiting.
const STALLED_TASK_MOVE_TIMEOUT: Millis = Millis(1_000);
/// Maximum expected run time, on an ordinary worker, of a task that counts as short.
const MAX_SHORT_RUN_TIME: Millis = Millis(2_000);
/// Weight of the newest sample in a worker's slowness.
const SLOWNESS_WEIGHT: f32 = 0.2;
/// Limits of one slowness sample, because estimates may be far off.
const SLOWNESS_RANGE: (f32, f32) = (0.5, 8.0);
/// The same in queues whose run times vary. There, one run gives only one sample, so that a single
/// long task isn't taken for a slow worker.
const VARIED_SLOWNESS_RANGE: (f32, f32) = (0.5, 2.0);
/// Progress in percent that a slowness sample needs.
pub(crate) const MIN_SAMPLE_PROGRESS_PERCENT: u32 = 10;

/// Time in which the slowness that progress showed loses its effect where run times have been
/// learned. By then the ends of the runs are known, and a worker that gets no tasks because of one
/// long run would never show that it is not slow.
const SLOWNESS_FADE_TIME: Millis = Millis(5_000);

impl Worker {
    /// Returns the slowness that progress showed recently.
    pub fn recent_slowness(&self, now: Millis) -> f32 {
        let age = now.since(self.slowness_at).0 as f32 / SLOWNESS_FADE_TIME.0 as f32;
        1.0 + (self.slowness - 1.0) * (1.0 - age).max(0.0)
    }
}

impl Engine {
    /// Records the reported progress of a task.
    pub(crate) fn record_progress(&mut self, idx: WorkerIdx, r: &Running, now: Millis) {
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
        let is_repeated = std::mem::replace(&mut h.has_slowness_sample, true);
        let expected = self.expected_run_time_on(r.task.step, idx);
        let is_varied =
            self.jobs.get(r.task.step.job).is_some_and(|j| self.run_times.is_varied(&j.queue));
        let Some(w) = self.workers.get_mut(idx) else { return };
        if expected > Millis(0) && !(is_varied && is_repeated) {
            let sample = total_ms as f32 / expected.0 as f32;
            let range = if is_varied { VARIED_SLOWNESS_RANGE } else { SLOWNESS_RANGE };
            w.slowness += (sample.clamp(range.0, range.1) - w.slowness) * SLOWNESS_WEIGHT;
            w.slowness_at = now;
        }
    }

    /// Pauses a worker on which every running task is stalled, and restarts its short tasks
    /// elsewhere.
    pub(crate) fn check_stalled(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let running: Vec<&HeldTask> = w.held.iter().filter(|h| h.phase == Phase::Running).collect();
        let is_stalled = |h: &&&HeldTask| {
            let unchanged = now.since(h.progressed_at);
            let allowance = || {
                let expected = self.expected_run_time_on(h.task.step, idx);
                Millis(expected.0 * STALL_RUN_TIME_PERCENT / 100)
            };
            h.progress < NEARLY_DONE_PERCENT
                && unchanged >= MIN_STALL_TIMEOUT
                && unchanged >= allowance()
        };
        let stalled = running.iter().filter(is_stalled).count();
        if stalled == 0 || stalled < running.len() {
            return;
        }
        let is_short = |h: &&HeldTask| {
            now.since(h.progressed_at) >= STALLED_TASK_MOVE_TIMEOUT
                && self.expected_run_time(h.task.step) <= MAX_SHORT_RUN_TIME
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
