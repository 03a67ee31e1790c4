//! Workers that are dead or have left. Their tasks wait again.

use crate::engine::Engine;
use crate::event::{Event, GiveUpCause, WorkerExit};
use crate::order::Look;
use crate::worker::Worker;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

impl Engine {
    /// Gives up the tasks of workers whose leases have expired, and removes unlisted workers
    /// without tasks.
    pub(crate) fn expire_leases(&mut self, now: Millis) {
        for idx in self.workers.indexes() {
            if self.has_left(idx, now) {
                self.mark_worker_dead(idx, now);
                continue;
            }
            let Some(w) = self.workers.get(idx) else { continue };
            let expired = self.is_lease_over(w, now);
            if expired && !w.is_empty() {
                self.stats.lapsed += w.runs().count() as u64;
                self.record_lost_runs(idx, now);
                self.free_all(idx, GiveUpCause::Lapsed, now);
            }
            self.expire_lost_runs(idx, now);
            let Some(w) = self.workers.get(idx) else { continue };
            let silent = w.unanswered_calls > 0 && !w.look_in_flight;
            let may_list_ends = w.ends_cut && !expired;
            let may_run_tasks = !w.claimed && (now < self.settled_at || may_list_ends);
            let empty = w.is_empty() && w.lost_runs.is_empty();
            if !w.listed && silent && empty && (expired || !w.claimed) && !may_run_tasks {
                self.forget_worker(idx);
            }
        }
    }

    /// Returns true if no task runs on a worker any more because all its leases have expired.
    pub(crate) fn is_lease_over(&self, w: &Worker, now: Millis) -> bool {
        w.lease_expiry().is_some_and(|at| at + self.time_limits.stop_timeout <= now)
    }

    /// Ends an incarnation that has no known successor: none of its tasks runs any more.
    pub(crate) fn mark_worker_dead(&mut self, idx: WorkerIdx, now: Millis) {
        self.end_incarnation(idx, None, now);
    }

    /// Ends an incarnation; `next` is the one that has followed it under its id.
    pub(crate) fn end_incarnation(&mut self, idx: WorkerIdx, next: Option<WorkerIdx>, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let (worker, tasks) = (w.life.clone(), w.runs().count());
        let how = if w.leaving { WorkerExit::Left } else { WorkerExit::Crashed };
        match how {
            WorkerExit::Crashed => self.record_crash(idx, now),
            WorkerExit::Left => self.close_lost_runs(idx),
        }
        if let Some(next) = next {
            self.stop_late_starts(idx, next, now);
        }
        self.free_all(idx, GiveUpCause::WorkerDead, now);
        self.ended_incarnations.insert(worker.clone());
        self.events.push(Event::WorkerDead { worker, how, tasks });
        self.forget_worker(idx);
    }

    /// Ends the other incarnations with the same id or address that were known before `sent`, when
    /// the answering one was called: only one exists at a time.
    pub(crate) fn end_other_incarnations(
        &mut self,
        idx: WorkerIdx,
        look: &Look,
        sent: Millis,
        now: Millis,
    ) {
        let Some(w) = self.workers.get(idx) else { return };
        let (id, address) = (w.life.id().clone(), w.address.clone());
        let is_other = |i: WorkerIdx, w: &Worker| {
            let same_id_or_address = *w.life.id() == id || w.address == address;
            i != idx && w.known_at < sent && same_id_or_address
        };
        let others = self.workers.iter().filter(|&(i, w)| is_other(i, w));
        let others: Vec<_> = others.map(|(i, w)| (i, *w.life.id() == id)).collect();
        for (other, is_same_id) in others {
            if is_same_id {
                self.replace_with_successor(other, idx, look, now);
            } else {
                self.mark_worker_dead(other, now);
            }
        }
    }

    fn forget_worker(&mut self, idx: WorkerIdx) {
        self.unsettled_workers.remove(&idx);
        self.workers.remove(idx);
        self.run_times.forget_worker(idx);
        self.needs_pass = true;
    }

    fn free_all(&mut self, idx: WorkerIdx, cause: GiveUpCause, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        for (task, run) in w.runs().collect::<Vec<_>>() {
            self.free(Placement { idx, task, run }, cause, now);
        }
    }

    /// Takes a task off a worker on which it can no longer run, so that it waits again.
    pub(crate) fn free(&mut self, p: Placement, cause: GiveUpCause, now: Millis) {
        let Placement { idx, task, run } = p;
        if cause != GiveUpCause::Lapsed {
            self.close_run(task, run);
        }
        if let Some(w) = self.workers.get_mut(idx)
            && let Some(held) = w.release_run(task, run)
        {
            self.events.push(Event::TaskGivenUp { task, run, worker: w.life.clone(), cause });
            let is_copy = held.is_copy;
            self.refund_lost_run(idx, &held, cause, now);
            if is_copy {
                self.count_copy_end(task, None);
            }
        }
        self.unplace(p, now);
        self.end_job_if_exhausted(task, now);
        self.needs_pass = true;
    }
}
