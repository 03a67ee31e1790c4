//! How far tasks have come: when they are expected to end, how slow their workers are, and
//! workers on which all stands still.

use crate::engine::Engine;
use crate::held::{Held, Phase};
use crate::note::Note;
use crate::order::Running;
use crate::spec::TaskKey;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// A task whose progress has not changed for so long stands still. Progress is told in whole
/// percents, so a slow task has longer.
const STANDS_STILL: Millis = Millis(700);
/// One percent of a task may take this part of its guessed time, in hundredths: a worker may
/// be some times slower than the guess.
const SLOW_PERCENT: u64 = 8;
/// A task with so much progress in percent is not taken as standing still: it is about to end.
const NEARLY_DONE: u32 = 99;
/// A worker on which all stands still gets nothing for so long, again and again.
const STALLED_PAUSE: Millis = Millis(500);
/// A short task that stands still for so long is started elsewhere. The loss is small, and
/// its caller waits.
const MOVE_AFTER: Millis = Millis(1_000);
/// Tasks guessed to run for up to this time are short.
const SHORT_TASK: Millis = Millis(2_000);
/// Weight of the newest reading in a worker's slowness.
const SLOWNESS_WEIGHT: f32 = 0.2;
/// Bounds of one reading: guesses may be far off.
const SLOWNESS_RANGE: (f32, f32) = (0.5, 8.0);
/// A reading needs this much progress in percent.
const READING_PROGRESS: u32 = 10;

impl Engine {
    /// Takes in how far a task has come.
    pub(crate) fn note_progress(&mut self, idx: WorkerIdx, r: &Running, now: Millis) {
        let guess = self.guess(r.task);
        let Some(w) = self.workers.get_mut(idx) else { return };
        let Some(h) = w.find_mut(r.task, r.run) else { return };
        if r.progress == h.progress && h.first_seen.is_some() {
            return;
        }
        h.progress = r.progress;
        h.progressed_at = now;
        let (from, since) = *h.first_seen.get_or_insert((r.progress, now));
        let done = r.progress.saturating_sub(from);
        if done < READING_PROGRESS {
            return;
        }
        let whole = now.since(since).0 * 100 / u64::from(done);
        h.expected_end = now + Millis(whole * u64::from(100 - r.progress.min(100)) / 100);
        if guess > Millis(0) {
            let reading = whole as f32 / guess.0 as f32;
            let reading = reading.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            w.slowness += (reading - w.slowness) * SLOWNESS_WEIGHT;
        }
    }

    /// Returns how long the caller guesses that a task takes; 0: not known.
    fn guess(&self, key: TaskKey) -> Millis {
        self.jobs.step_spec(key.step).map_or(Millis(0), |s| Millis(s.estimate_ms))
    }

    /// Gives a worker on which all stands still nothing more, and moves its short tasks.
    pub(crate) fn check_stalled(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let running: Vec<&Held> = w.held.iter().filter(|h| h.phase == Phase::Running).collect();
        let still = |h: &&&Held| {
            let slow = Millis(self.guess(h.task).0 * SLOW_PERCENT / 100);
            h.progress < NEARLY_DONE && now.since(h.progressed_at) >= STANDS_STILL.max(slow)
        };
        let stuck = running.iter().filter(still).count();
        if stuck == 0 || stuck < running.len() {
            return;
        }
        let short = |h: &&Held| {
            now.since(h.progressed_at) >= MOVE_AFTER && self.guess(h.task) <= SHORT_TASK
        };
        let moved: Vec<TaskKey> = running.into_iter().filter(short).map(|h| h.task).collect();
        let Some(w) = self.workers.get_mut(idx) else { return };
        if !w.health.is_aside(now) {
            self.events.push(Note::Stalled { worker: w.life.clone(), tasks: stuck });
        }
        w.health.pause(now + STALLED_PAUSE);
        for key in moved {
            self.move_off(idx, key, now);
        }
    }

    /// Stops a task, so that it starts elsewhere; a gang starts again whole. A task that lasts
    /// stays: its users would miss it.
    pub(crate) fn move_off(&mut self, idx: WorkerIdx, key: TaskKey, now: Millis) {
        if self.jobs.step_spec(key.step).is_none_or(|s| s.service) {
            return;
        }
        if self.is_gang(key.step) {
            self.restart_gang(key.step);
            return;
        }
        if let Some(task) = self.jobs.task_mut(key) {
            task.keep_off(idx, now);
        }
        self.order_stop(idx, key);
    }
}
