//! Runs that a worker no longer lists: they have vanished, or their ends are not listed yet.
//!
//! A worker keeps each end until it is acknowledged, which needs the store, but one answer lists a
//! limited number of them. In an outage of the store, ends therefore pile up behind those that are
//! listed.

use crate::engine::Engine;
use crate::event::{Event, GiveUpCause};
use crate::held_task::{HeldTask, Phase};
use crate::order::Look;
use crate::spec::TaskKey;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

impl Engine {
    /// Records whether a worker's list of ends was cut.
    pub(crate) fn record_ends_cut(&mut self, idx: WorkerIdx, cut: bool) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        if std::mem::replace(&mut w.ends_cut, cut) != cut {
            let (worker, unlisted) = (w.life.clone(), w.unlisted_ends.len());
            self.events.push(Event::EndsCut { worker, cut, unlisted });
        }
    }

    /// Frees runs that the worker had confirmed before the look and no longer lists. If its list of
    /// ends is cut, they have ended and their ends are listed later: only their resources are free,
    /// and their tasks wait.
    pub(crate) fn free_vanished(&mut self, idx: WorkerIdx, look: &Look, sent: Millis, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let listed =
            |task: TaskKey, run: u32| look.running.iter().any(|r| r.task == task && r.run == run);
        let is_confirmed = |h: &HeldTask| match h.phase {
            Phase::Starting => false,
            Phase::Running => true,
            Phase::Stopping => h.stop_answered,
        };
        let grace = self.time_limits.stop_timeout;
        let gone =
            |h: &&HeldTask| is_confirmed(h) && h.since + grace < sent && !listed(h.task, h.run);
        let gone = w.held.iter().filter(gone).map(|h| (h.task, h.run));
        if look.ends_cut {
            for (task, run) in gone.collect::<Vec<_>>() {
                self.await_listed_end(idx, task, run);
            }
            return;
        }
        for (task, run) in gone.chain(w.unlisted_ends.keys().copied()).collect::<Vec<_>>() {
            self.stats.vanished += 1;
            self.free(Placement { idx, task, run }, GiveUpCause::Vanished, now);
        }
    }

    /// Releases the resources of a run that has ended without its end being listed yet.
    fn await_listed_end(&mut self, idx: WorkerIdx, task: TaskKey, run: u32) {
        self.close_run(task, run);
        if let Some(w) = self.workers.get_mut(idx) {
            w.await_listed_end(task, run);
        }
        self.needs_pass = true;
    }
}
