//! Tasks of earlier owners that may still run on workers that this owner has not claimed.
//!
//! After a takeover such tasks wait until every recorded worker is claimed, or can't run them any
//! more.

use crate::engine::Engine;
use crate::event::Event;
use crate::worker::Worker;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

impl Engine {
    /// Releases the tasks that waited for unclaimed workers, once none of these workers can still
    /// run a task.
    pub(crate) fn settle(&mut self, now: Millis) {
        if !self.tasks_unsettled {
            return;
        }
        if now >= self.settled_at {
            self.give_up_unsettled_workers(now);
        }
        if !self.unsettled_workers.is_empty() {
            return;
        }
        self.mark_settled();
        self.tasks_unsettled = false;
        // A task that has used up its attempts may have had a run on one of these workers.
        self.end_exhausted(now);
        let unclaimed = std::mem::take(&mut self.unclaimed_workers);
        self.events.push(Event::PartitionSettled { unclaimed });
        self.needs_pass = true;
    }

    /// Stops waiting for workers that run no tasks of an earlier owner any more. A worker whose list of ends is cut is waited for until its lease has expired: the
    /// tasks that wait may be those whose ends it doesn't list yet.
    fn give_up_unsettled_workers(&mut self, now: Millis) {
        let stop_timeout = self.time_limits.stop_timeout;
        let may_list_ends =
            |w: &Worker| w.ends_cut && w.lease_expiry().is_none_or(|at| now < at + stop_timeout);
        let is_over = |idx: &&WorkerIdx| !self.workers.get(**idx).is_some_and(may_list_ends);
        let given_up: Vec<_> = self.unsettled_workers.iter().filter(is_over).copied().collect();
        if !given_up.is_empty() {
            self.track_unsettled_tasks();
        }
        for idx in given_up {
            self.unsettled_workers.remove(&idx);
            let life = self.workers.get(idx).map(|w| w.life.clone());
            self.unclaimed_workers.extend(life);
        }
    }

    /// Marks all tasks as not running on a worker that this owner has not claimed.
    pub(crate) fn mark_settled(&mut self) {
        for id in self.jobs.ids() {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let steps = job.rounds.iter_mut().flat_map(|r| &mut r.steps);
            for t in steps.flat_map(|s| &mut s.tasks) {
                (t.unsettled, t.unsettled_copy) = (false, false);
            }
        }
    }
}
