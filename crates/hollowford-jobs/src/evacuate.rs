//! Workers that leave: what can't end there in time moves while it can take its progress along.

use crate::engine::Engine;
use crate::held::{Held, Phase};
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// A stop and its checkpoint have to be over this long before the worker may be gone.
const STOP_MARGIN: Millis = Millis(600);

impl Engine {
    /// Moves tasks that save their progress off a worker that leaves before they end.
    pub(crate) fn evacuate(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx).filter(|w| w.leaving) else { return };
        let Some(gone_at) = w.gone_at.filter(|&at| at > now + STOP_MARGIN) else { return };
        let too_late = |h: &&Held| h.phase == Phase::Running && h.expected_end > gone_at;
        let late: Vec<_> = w.held.iter().filter(too_late).map(|h| h.task).collect();
        for key in late {
            if self.jobs.step_spec(key.step).is_some_and(|s| s.resumable) {
                self.move_off(idx, key, now);
            }
        }
    }

    /// Tells whether a worker has left: it said that it would, answers no more, and the
    /// platform lists it no more. One that is only cut off stays listed for longer than its
    /// lease lasts.
    pub(crate) fn has_left(&self, idx: WorkerIdx) -> bool {
        self.workers.get(idx).is_some_and(|w| w.leaving && !w.listed && w.unanswered > 0)
    }
}
