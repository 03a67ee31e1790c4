//! Moves resumable tasks off a leaving worker when they can't end there in time.

use crate::engine::Engine;
use crate::held_task::{HeldTask, Phase};
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// Time before a worker's removal by which a stop and its checkpoint have to be complete.
const STOP_MARGIN: Millis = Millis(600);

impl Engine {
    /// Moves resumable tasks off a worker that leaves before they end.
    pub(crate) fn evacuate(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx).filter(|w| w.leaving) else { return };
        let Some(leaves_at) = w.leaves_at.filter(|&at| at > now + STOP_MARGIN) else { return };
        let ends_too_late = |h: &&HeldTask| h.phase == Phase::Running && h.expected_end > leaves_at;
        let late: Vec<_> = w.held.iter().filter(ends_too_late).map(|h| h.task).collect();
        for key in late {
            if self.jobs.step_spec(key.step).is_some_and(|s| s.resumable) {
                self.move_task_elsewhere(idx, key, now);
            }
        }
    }

    /// Returns true if a worker has left: it was leaving and no longer answers, and it has removed
    /// its entry itself or its lease has expired. An entry that has expired says nothing: a worker
    /// that is cut off from the store goes on running its tasks.
    pub(crate) fn has_left(&self, idx: WorkerIdx, now: Millis) -> bool {
        let Some(w) = self.workers.get(idx) else { return false };
        let is_over = w.withdrawn || self.is_lease_over(w, now);
        w.leaving && !w.listed && w.unanswered_calls > 0 && is_over
    }
}
