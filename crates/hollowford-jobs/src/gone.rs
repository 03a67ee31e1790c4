//! Workers that are gone, and what they held: it waits again.

use crate::engine::Engine;
use crate::note::{GiveUp, LifeEnd, Note};
use crate::order::Look;
use crate::worker::Worker;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

impl Engine {
    /// Gives up on what workers held whose leases are surely over, and forgets those that
    /// are not listed and hold nothing.
    pub(crate) fn lapse(&mut self, now: Millis) {
        for idx in self.workers.indexes() {
            if self.has_left(idx) {
                self.worker_dead(idx, now);
                continue;
            }
            let Some(w) = self.workers.get(idx) else { continue };
            let over = w.lease_over().is_some_and(|at| at + self.time_limits.stop_timeout <= now);
            if over && !w.held.is_empty() {
                self.stats.lapsed += w.held.len() as u64;
                self.note_lost(idx, now);
                self.free_all(idx, GiveUp::Lapsed, now);
            }
            self.expire_lost(idx, now);
            let Some(w) = self.workers.get(idx) else { continue };
            let silent = w.unanswered > 0 && !w.looking;
            let known = !w.claimed && now < self.settled_at;
            let empty = w.held.is_empty() && w.lost.is_empty();
            if !w.listed && silent && empty && (over || !w.claimed) && !known {
                self.forget_worker(idx);
            }
        }
    }

    /// This life of the worker is over: nothing that it held runs any more.
    pub(crate) fn worker_dead(&mut self, idx: WorkerIdx, now: Millis) {
        self.end_life(idx, None, now);
    }

    /// This life of the worker is over. `next`: the one that has followed it under its id.
    pub(crate) fn end_life(&mut self, idx: WorkerIdx, next: Option<WorkerIdx>, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let (worker, tasks) = (w.life.clone(), w.held.len());
        let how = if w.leaving { LifeEnd::Left } else { LifeEnd::Crashed };
        match how {
            LifeEnd::Crashed => self.note_crash(idx, now),
            LifeEnd::Left => self.close_lost(idx),
        }
        if let Some(next) = next {
            self.stop_late_starts(idx, next, now);
        }
        self.free_all(idx, GiveUp::WorkerDead, now);
        self.ended_incarnations.insert(worker.clone());
        self.events.push(Note::Dead { worker, how, tasks });
        self.forget_worker(idx);
    }

    /// One address, and one id, has one life at a time: the others there that were known before this one
    /// was called, at `sent`, are over once it answers.
    pub(crate) fn end_other_lives(
        &mut self,
        idx: WorkerIdx,
        look: &Look,
        sent: Millis,
        now: Millis,
    ) {
        let Some(w) = self.workers.get(idx) else { return };
        let (id, address) = (w.life.id().clone(), w.address.clone());
        let is_other = |i: WorkerIdx, w: &Worker| {
            let there = *w.life.id() == id || w.address == address;
            i != idx && w.known_at < sent && there
        };
        let others = self.workers.iter().filter(|&(i, w)| is_other(i, w));
        let others: Vec<_> = others.map(|(i, w)| (i, *w.life.id() == id)).collect();
        for (other, is_same_id) in others {
            if is_same_id {
                self.succeed(other, idx, look, now);
            } else {
                self.worker_dead(other, now);
            }
        }
    }

    fn forget_worker(&mut self, idx: WorkerIdx) {
        self.unsettled_workers.remove(&idx);
        self.workers.remove(idx);
        self.needs_pass = true;
    }

    fn free_all(&mut self, idx: WorkerIdx, cause: GiveUp, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let held: Vec<_> = w.held.iter().map(|h| (h.task, h.run)).collect();
        for (task, run) in held {
            self.free(Placement { idx, task, run }, cause, now);
        }
    }

    /// Takes a task off a worker on which it can't run any more; it waits again.
    pub(crate) fn free(&mut self, p: Placement, cause: GiveUp, now: Millis) {
        let Placement { idx, task, run } = p;
        if cause != GiveUp::Lapsed {
            self.close_run(task, run);
        }
        if let Some(w) = self.workers.get_mut(idx)
            && let Some(at) = w.find(task, run)
        {
            w.release(at);
            self.events.push(Note::GivenUp { task, run, worker: w.life.clone(), cause });
        }
        self.unplace(p, now);
        self.needs_pass = true;
    }
}
