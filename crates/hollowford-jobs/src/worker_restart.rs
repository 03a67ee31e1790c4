//! Workers that restart under the same id.
//!
//! A restarted worker knows nothing of its previous incarnation. Calls contain only the id, so a
//! call meant for the previous incarnation reaches the next one. Only the answer identifies the
//! incarnation: if it differs from the one that was called, it is the later one, because the call
//! was made after the called one became known.

use crate::accounts::NO_ACCOUNT;
use crate::engine::Engine;
use crate::held_task::{HeldTask, Phase};
use crate::order::Look;
use crate::spec::{StepSpec, TaskKey};
use crate::worker::Worker;
use crate::worker_life::{Incarnation, WorkerLife};
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

/// Time during which a worker may still execute a start whose call was given up.
const LATE_START_TIMEOUT: Millis = Millis(15_000);

/// A start that got no answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateStart {
    pub task: TaskKey,
    pub run: u32,
    /// When the call was given up.
    pub since: Millis,
}

impl Worker {
    /// Records that a start got no answer.
    pub fn record_late_start(&mut self, task: TaskKey, run: u32, now: Millis) {
        self.late_starts.retain(|s| now.since(s.since) < LATE_START_TIMEOUT);
        self.late_starts.push(LateStart { task, run, since: now });
    }
}

impl Engine {
    /// Returns the index of the incarnation that answered a call to `called`, found at `idx`.
    /// Returns `None` if the answer may be from an earlier incarnation.
    pub(crate) fn responder(
        &mut self,
        idx: WorkerIdx,
        called: &WorkerLife,
        look: &Look,
        now: Millis,
    ) -> Option<WorkerIdx> {
        let w = self.workers.get(idx)?;
        let Some(incarnation) = look.incarnation else { return Some(idx) };
        match w.life.incarnation() {
            Some(known) if known == incarnation => Some(idx),
            None if !w.fenced => Some(self.set_incarnation(idx, incarnation, now)),
            _ if w.life == *called => self.add_successor(idx, incarnation, look, now),
            _ => None,
        }
    }

    /// Sets the incarnation of a worker that was known by its id only.
    fn set_incarnation(
        &mut self,
        idx: WorkerIdx,
        incarnation: Incarnation,
        now: Millis,
    ) -> WorkerIdx {
        if let Some(w) = self.workers.get_mut(idx) {
            w.life = WorkerLife::new(w.life.id().clone(), Some(incarnation));
            w.lacked_incarnation = true;
        }
        self.apply_listing(idx, now);
        idx
    }

    /// Adds the incarnation that answers under the id of the one at `idx`, which has ended.
    fn add_successor(
        &mut self,
        idx: WorkerIdx,
        incarnation: Incarnation,
        look: &Look,
        now: Millis,
    ) -> Option<WorkerIdx> {
        let w = self.workers.get(idx)?;
        let (life, address) =
            (WorkerLife::new(w.life.id().clone(), Some(incarnation)), w.address.clone());
        if self.ended_incarnations.contains(&life) {
            return None;
        }
        let next = self
            .workers
            .find(&life)
            .unwrap_or_else(|| self.workers.insert(Worker::new(life, address, now)));
        self.apply_listing(next, now);
        self.replace_with_successor(idx, next, look, now);
        Some(next)
    }

    /// Ends the incarnation at `idx`, which the one at `next` has replaced under the same id.
    pub(crate) fn replace_with_successor(
        &mut self,
        idx: WorkerIdx,
        next: WorkerIdx,
        look: &Look,
        now: Millis,
    ) {
        let max_lease = self.time_limits.max_lease;
        if let Some(w) = self.workers.get_mut(next) {
            // The previous incarnation's clock is unrelated, so its lease end may lie far ahead.
            // The worker shortens longer leases to this maximum.
            w.earlier_lease_until = w.earlier_lease_until.max(look.clock + max_lease.0);
        }
        let Some(w) = self.workers.get(idx) else { return };
        let executed = |h: &&HeldTask| {
            let is_same_run = |task: TaskKey, run: u32| task == h.task && run == h.run;
            look.running.iter().any(|r| is_same_run(r.task, r.run))
                || look.ended.iter().any(|e| is_same_run(e.task, e.run))
        };
        let executed: Vec<_> = w.held.iter().filter(executed).map(|h| (h.task, h.run)).collect();
        for (task, run) in executed {
            self.move_held(Placement { idx, task, run }, next);
        }
        self.end_incarnation(idx, Some(next), now);
    }

    /// Marks starts that the previous incarnation may not have executed as stopping at the next
    /// one, which then rejects them. Their tasks wait until that is confirmed.
    pub(crate) fn stop_late_starts(&mut self, idx: WorkerIdx, next: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let may_be_executed = |h: &&HeldTask| !h.unsent && (h.call_in_flight || h.start_unanswered);
        let held = w.held.iter().filter(may_be_executed).map(|h| (h.task, h.run));
        let recent = |s: &&LateStart| now.since(s.since) < LATE_START_TIMEOUT;
        let given_up = w.late_starts.iter().filter(recent).map(|s| (s.task, s.run));
        let late: Vec<_> = held.chain(given_up).collect();
        for (task, run) in late {
            if self.workers.get(next).is_none_or(|w| w.find(task, run).is_some()) {
                continue;
            }
            if !self.move_held(Placement { idx, task, run }, next) {
                self.hold_for_refusal(Placement { idx: next, task, run }, now);
            }
            if let Some(h) = self.workers.get_mut(next).and_then(|w| w.find_mut(task, run)) {
                h.phase = Phase::Stopping;
                h.call_in_flight = false;
                h.stop_answered = false;
            }
        }
    }

    /// Moves a held run to the next incarnation. Returns true if the run was held.
    fn move_held(&mut self, from: Placement, next: WorkerIdx) -> bool {
        let Placement { idx, task, run } = from;
        let Some(w) = self.workers.get_mut(idx) else { return false };
        let Some(at) = w.find(task, run) else { return false };
        let held = w.release(at);
        let Some(w) = self.workers.get_mut(next) else { return false };
        w.hold(held);
        let life = w.life.clone();
        let Some(t) = self.jobs.task_mut(task) else { return true };
        t.move_run(idx, run, next);
        if t.crash_record.as_mut().is_some_and(|c| c.move_run(run, &life)) {
            self.jobs.mark_task_unwritten(task);
        }
        true
    }

    /// Holds a run that is not placed on a worker but may still be started there, so that it is
    /// stopped and rejected.
    fn hold_for_refusal(&mut self, p: Placement, now: Millis) {
        let job = p.task.step.job;
        let name = self.account_of(job).unwrap_or(NO_ACCOUNT).to_owned();
        let account = self.accounts.intern(&name);
        let allocation =
            self.jobs.step_spec(p.task.step).map_or_else(Default::default, StepSpec::allocation);
        let held = HeldTask::new((p.task, p.run), account, allocation, Phase::Stopping, now);
        if let Some(w) = self.workers.get_mut(p.idx) {
            w.hold(held);
        }
    }
}
