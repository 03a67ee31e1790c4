//! How far tasks have come: when they are expected to end, how slow their workers are, and
//! workers on which all stands still.

use crate::engine::Engine;
use crate::event::Event;
use crate::held_task::{HeldTask, Phase};
use crate::order::Running;
use crate::spec::TaskKey;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// A task whose progress has not changed for so long stands still. Progress is told in whole
/// percents, so a slow task has longer.
const MIN_STALL_TIMEOUT: Millis = Millis(700);
/// One percent of a task may take this part of its guessed time, in hundredths: a worker may
/// be some times slower than the guess.
const STALL_ESTIMATE_PERCENT: u64 = 8;
/// A task with so much progress in percent is not taken as standing still: it is about to end.
const NEARLY_DONE_PERCENT: u32 = 99;
/// A worker on which all stands still gets nothing for so long, again and again.
const STALL_PAUSE: Millis = Millis(500);
/// A short task that stands still for so long is started elsewhere. The loss is small, and
/// its caller waits.
const STALLED_TASK_MOVE_TIMEOUT: Millis = Millis(1_000);
/// Tasks guessed to run for up to this time are short.
const MAX_SHORT_TASK_ESTIMATE: Millis = Millis(2_000);
/// Weight of the newest reading in a worker's slowness.
const SLOWNESS_WEIGHT: f32 = 0.2;
/// Bounds of one reading: guesses may be far off.
const SLOWNESS_RANGE: (f32, f32) = (0.5, 8.0);
/// A reading needs this much progress in percent.
const MIN_SAMPLE_PROGRESS_PERCENT: u32 = 10;

impl Engine {
    /// Takes in how far a task has come.
    pub(crate) fn record_progress(&mut self, idx: WorkerIdx, r: &Running, now: Millis) {
        let estimate = self.estimate(r.task);
        let Some(w) = self.workers.get_mut(idx) else { return };
        let Some(h) = w.find_mut(r.task, r.run) else { return };
        if r.progress == h.progress && h.first_progress.is_some() {
            return;
        }
        h.progress = r.progress;
        h.progressed_at = now;
        let (from, since) = *h.first_progress.get_or_insert((r.progress, now));
        let done = r.progress.saturating_sub(from);
        if done < MIN_SAMPLE_PROGRESS_PERCENT {
            return;
        }
        let whole = now.since(since).0 * 100 / u64::from(done);
        h.expected_end = now + Millis(whole * u64::from(100 - r.progress.min(100)) / 100);
        if estimate > Millis(0) {
            let reading = whole as f32 / estimate.0 as f32;
            let reading = reading.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            w.slowness += (reading - w.slowness) * SLOWNESS_WEIGHT;
        }
    }

    /// Returns how long the caller guesses that a task takes; 0: not known.
    fn estimate(&self, key: TaskKey) -> Millis {
        self.jobs.step_spec(key.step).map_or(Millis(0), |s| Millis(s.estimate_ms))
    }

    /// Gives a worker on which all stands still nothing more, and moves its short tasks.
    pub(crate) fn check_stalled(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let running: Vec<&HeldTask> = w.held.iter().filter(|h| h.phase == Phase::Running).collect();
        let still = |h: &&&HeldTask| {
            let slow = Millis(self.estimate(h.task).0 * STALL_ESTIMATE_PERCENT / 100);
            h.progress < NEARLY_DONE_PERCENT
                && now.since(h.progressed_at) >= MIN_STALL_TIMEOUT.max(slow)
        };
        let stuck = running.iter().filter(still).count();
        if stuck == 0 || stuck < running.len() {
            return;
        }
        let short = |h: &&HeldTask| {
            now.since(h.progressed_at) >= STALLED_TASK_MOVE_TIMEOUT
                && self.estimate(h.task) <= MAX_SHORT_TASK_ESTIMATE
        };
        let moved: Vec<TaskKey> = running.into_iter().filter(short).map(|h| h.task).collect();
        let Some(w) = self.workers.get_mut(idx) else { return };
        if !w.health.is_quarantined(now) {
            self.notes.push(Event::WorkerStalled { worker: w.life.clone(), tasks: stuck });
        }
        w.health.pause(now + STALL_PAUSE);
        for key in moved {
            self.move_task_elsewhere(idx, key, now);
        }
    }

    /// Stops a task, so that it starts elsewhere; a gang starts again whole. A task that lasts
    /// stays: its users would miss it.
    pub(crate) fn move_task_elsewhere(&mut self, idx: WorkerIdx, key: TaskKey, now: Millis) {
        if self.jobs.step_spec(key.step).is_none_or(|s| s.lasting) {
            return;
        }
        if self.is_gang(key.step) {
            self.regroup(key.step);
            return;
        }
        if let Some(task) = self.jobs.task_mut(key) {
            task.avoid_worker(idx, now);
        }
        self.order_stop(idx, key);
    }
}
