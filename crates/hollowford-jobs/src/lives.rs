//! Lives of workers that follow each other under one id.
//!
//! A worker may start again under the id that it had, and then knows nothing of before. Calls bear the id, so
//! one that was meant for the earlier life reaches the next one. What tells them apart is in the answer:
//! a life that answers a call that was meant for another one is the later one, since the call was made
//! after that one had become known.

use crate::accounts::NO_ACCOUNT;
use crate::engine::Engine;
use crate::held::{Held, Phase};
use crate::life::{Incarnation, WorkerLife};
use crate::order::Look;
use crate::spec::{StepSpec, TaskKey};
use crate::worker::Worker;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

/// A start without an answer may be carried out for so long.
const CARRIED_OUT_WITHIN: Millis = Millis(15_000);

/// A start that got no answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateStart {
    pub task: TaskKey,
    pub run: u32,
    /// When the call was given up.
    pub since: Millis,
}

impl Worker {
    /// Takes note that a start got no answer.
    pub fn note_late_start(&mut self, task: TaskKey, run: u32, now: Millis) {
        self.late_starts.retain(|s| now.since(s.since) < CARRIED_OUT_WITHIN);
        self.late_starts.push(LateStart { task, run, since: now });
    }
}

impl Engine {
    /// Returns the life that has answered a call to `called`, which stands at `idx`; none when the answer
    /// may be of an earlier one.
    pub(crate) fn answering(
        &mut self,
        idx: WorkerIdx,
        called: &WorkerLife,
        look: &Look,
        now: Millis,
    ) -> Option<WorkerIdx> {
        let w = self.workers.get(idx)?;
        let Some(told) = look.incarnation else { return Some(idx) };
        match w.life.incarnation() {
            Some(known) if known == told => Some(idx),
            None if !w.fenced => Some(self.name_life(idx, told, now)),
            _ if w.life == *called => self.next_life(idx, told, look, now),
            _ => None,
        }
    }

    /// Takes note of what tells a life apart that was known by its id only.
    fn name_life(&mut self, idx: WorkerIdx, told: Incarnation, now: Millis) -> WorkerIdx {
        if let Some(w) = self.workers.get_mut(idx) {
            w.life = WorkerLife::new(w.life.id().clone(), Some(told));
            w.was_unnamed = true;
        }
        self.take_listing(idx, now);
        idx
    }

    /// Takes note that another life answers under the id of the one at `idx`, which is over.
    fn next_life(
        &mut self,
        idx: WorkerIdx,
        told: Incarnation,
        look: &Look,
        now: Millis,
    ) -> Option<WorkerIdx> {
        let w = self.workers.get(idx)?;
        let (life, address) = (WorkerLife::new(w.life.id().clone(), Some(told)), w.address.clone());
        if self.ended_incarnations.contains(&life) {
            return None;
        }
        let next = self
            .workers
            .find(&life)
            .unwrap_or_else(|| self.workers.insert(Worker::new(life, address, now)));
        self.take_listing(next, now);
        self.succeed(idx, next, look, now);
        Some(next)
    }

    /// Takes note that the life at `next` has followed the one at `idx` under its id.
    pub(crate) fn succeed(&mut self, idx: WorkerIdx, next: WorkerIdx, look: &Look, now: Millis) {
        let longest = self.time_limits.max_lease;
        if let Some(w) = self.workers.get_mut(next) {
            // A lease by the earlier life's clock lies far ahead, and the worker cuts it.
            w.lease_until = w.lease_until.max(look.clock + longest.0);
        }
        let Some(w) = self.workers.get(idx) else { return };
        let begun = |h: &&Held| {
            let is_this = |task: TaskKey, run: u32| task == h.task && run == h.run;
            look.running.iter().any(|r| is_this(r.task, r.run))
                || look.ended.iter().any(|e| is_this(e.task, e.run))
        };
        let begun: Vec<_> = w.held.iter().filter(begun).map(|h| (h.task, h.run)).collect();
        for (task, run) in begun {
            self.move_held(Placement { idx, task, run }, next);
        }
        self.end_life(idx, Some(next), now);
    }

    /// Has the next life refuse the starts that the earlier one may not have carried out: their tasks
    /// wait until then.
    pub(crate) fn stop_late_starts(&mut self, idx: WorkerIdx, next: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let may_come = |h: &&Held| !h.unsent && (h.calling || h.unsure);
        let held = w.held.iter().filter(may_come).map(|h| (h.task, h.run));
        let recent = |s: &&LateStart| now.since(s.since) < CARRIED_OUT_WITHIN;
        let given_up = w.late_starts.iter().filter(recent).map(|s| (s.task, s.run));
        let late: Vec<_> = held.chain(given_up).collect();
        for (task, run) in late {
            if self.workers.get(next).is_none_or(|w| w.find(task, run).is_some()) {
                continue;
            }
            if !self.move_held(Placement { idx, task, run }, next) {
                self.hold_nothing(Placement { idx: next, task, run }, now);
            }
            if let Some(h) = self.workers.get_mut(next).and_then(|w| w.find_mut(task, run)) {
                h.phase = Phase::Stopping;
                h.calling = false;
                h.stop_answered = false;
            }
        }
    }

    /// Moves what a life held to the next one. Tells whether it held it.
    fn move_held(&mut self, from: Placement, next: WorkerIdx) -> bool {
        let Placement { idx, task, run } = from;
        let Some(w) = self.workers.get_mut(idx) else { return false };
        let Some(at) = w.find(task, run) else { return false };
        let held = w.release(at);
        let Some(w) = self.workers.get_mut(next) else { return false };
        w.hold(held);
        let life = w.life.clone();
        let Some(t) = self.jobs.task_mut(task) else { return true };
        if t.at == Some(idx) && t.run == run {
            t.at = Some(next);
        }
        if t.suspicion.as_mut().is_some_and(|s| s.moves(run, &life)) {
            self.jobs.progressed(task.step.job);
        }
        true
    }

    /// Holds a run that is nowhere now, and may begin: it is to be refused.
    fn hold_nothing(&mut self, p: Placement, now: Millis) {
        let job = p.task.step.job;
        let name = self.account_of(job).unwrap_or(NO_ACCOUNT).to_owned();
        let account = self.accounts.intern(&name);
        let room =
            self.jobs.step_spec(p.task.step).map_or_else(Default::default, StepSpec::allocation);
        let held = Held::new((p.task, p.run), account, room, Phase::Stopping, now);
        if let Some(w) = self.workers.get_mut(p.idx) {
            w.hold(held);
        }
    }
}
