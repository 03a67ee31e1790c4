//! Looks at workers, which renew their leases and claim them for this owner.

use crate::answers::pause_after;
use crate::engine::Engine;
use crate::held::{Held, Phase};
use crate::job::EndAt;
use crate::life::WorkerLife;
use crate::note::{GiveUp, Note};
use crate::order::{End, Look, Order, WorkerCall};
use crate::spec::TaskKey;
use crate::worker::Worker;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

/// An order of an earlier owner that a worker was just carrying out when it took the new fence
/// has begun, and is listed, after this time.
const CONFIRM_AFTER: Millis = Millis(40);
/// A worker that leaves so many calls unanswered one after the other is logged as silent. Single
/// answers that are lost are many at times, and are told as a share.
const SILENT_AFTER: u32 = 2;
/// How often to look at a worker while ends of it are on the way to the store: a look can't wait
/// for the next end meanwhile. A store of usual speed is faster, and each such look is saved.
const LOOK_UNWRITTEN: Millis = Millis(100);
/// Looks of that kind at all workers in a second, which bounds them in large cells.
const MOST_UNWRITTEN_LOOKS: u64 = 1_000;
/// The longest time between two such looks, so that leases are renewed.
const LOOK_UNWRITTEN_MOST: Millis = Millis(900);

/// What came of a look.
#[derive(Clone, Debug, PartialEq)]
pub enum LookAnswer {
    /// The worker's lists.
    Lists(Look),
    /// Another life of the worker answered: this one is over.
    OtherLife,
    /// A newer owner has claimed the worker.
    Fenced,
    /// No answer, or one that can't be used.
    Unanswered,
}

impl Engine {
    /// Orders the looks that are due.
    pub(crate) fn look(&mut self, now: Millis, out: &mut Vec<Order>) {
        let lease = self.time_limits.lease;
        let longest = self.answer_loss.look_wait();
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get_mut(idx) else { continue };
            if w.looking || w.look_at > now {
                continue;
            }
            w.looking = true;
            let at_once = !w.claimed || w.doubted_since.is_some();
            let wait = if at_once || !w.unwritten_ends.is_empty() { Millis(0) } else { longest };
            let call = WorkerCall::Look {
                worker: w.life.clone(),
                address: w.address.clone(),
                lease_until: w.extend_lease(now, lease),
                acknowledged: w.acknowledged_ends(),
                wait,
            };
            out.push(Order::Worker { call, limit: w.answer_limit() });
        }
    }

    /// Takes in the answer to a look that was sent at `sent`. Tells whether a newer owner
    /// has claimed the worker.
    pub fn looked(
        &mut self,
        life: &WorkerLife,
        answer: LookAnswer,
        sent: Millis,
        now: Millis,
    ) -> bool {
        let Some(idx) = self.workers.find(life) else { return false };
        if let Some(w) = self.workers.get_mut(idx) {
            w.looking = false;
            w.look_at = now;
        }
        match answer {
            LookAnswer::Lists(look) => {
                if let Some(answering) = self.answering(idx, life, &look, now) {
                    self.take_lists(answering, look, sent, now);
                }
            }
            LookAnswer::OtherLife => self.worker_dead(idx, now),
            LookAnswer::Fenced => return true,
            LookAnswer::Unanswered => {
                self.note_unheard(idx, now);
                self.look_after_pause(idx, now);
            }
        }
        false
    }

    /// Takes in the answer to a look that came after it was told that there was none: it still
    /// tells what runs and has ended, unless a newer one has. Tells whether a newer owner has
    /// claimed the worker.
    pub fn looked_late(
        &mut self,
        life: &WorkerLife,
        answer: LookAnswer,
        sent: Millis,
        now: Millis,
    ) -> bool {
        let Some(idx) = self.workers.find(life) else { return false };
        match answer {
            LookAnswer::Lists(look) => {
                let Some(answering) = self.answering(idx, life, &look, now) else { return false };
                let newer = |w: &Worker| look.clock > w.looked_clock;
                if self.workers.get(answering).is_some_and(newer) {
                    self.take_lists(answering, look, sent, now);
                }
            }
            LookAnswer::OtherLife => self.worker_dead(idx, now),
            LookAnswer::Fenced => return true,
            LookAnswer::Unanswered => {}
        }
        false
    }

    /// Takes in that a worker has not answered a call.
    pub(crate) fn note_unheard(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.unanswered += 1;
        w.doubted_since = Some(now);
        if w.unanswered == SILENT_AFTER {
            let since = now.since(w.last_answer);
            self.events.push(Note::Silent { worker: w.life.clone(), silent: true, since });
        }
    }

    /// Sets when to look again at a worker that has not answered a look.
    fn look_after_pause(&mut self, idx: WorkerIdx, now: Millis) {
        if let Some(w) = self.workers.get_mut(idx) {
            w.look_at = now + pause_after(w.unanswered);
        }
    }

    fn take_lists(&mut self, idx: WorkerIdx, look: Look, sent: Millis, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let first = !w.fenced;
        let second = w.fenced && !w.claimed && sent >= w.fenced_at + CONFIRM_AFTER;
        if let Some(w) = self.workers.get_mut(idx) {
            w.looked_clock = look.clock;
            w.lives_on(sent);
        }
        self.note_heard(idx, now);
        self.note_life(idx, look.clock, now);
        if first || second {
            self.end_other_lives(idx, &look, sent, now);
        }
        if first {
            self.take_fenced(idx, &look, now);
        }
        self.take_listed(idx, &look, now);
        if second {
            self.claim(idx);
        }
        self.find_vanished(idx, &look, sent, now);
        self.check_stalled(idx, now);
        self.evacuate(idx, now);
        self.pace_best_effort_tasks(idx, &look.running, now);
        self.plan_look(idx, first, now);
    }

    /// Takes in that a worker has answered a call.
    pub(crate) fn note_heard(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        self.answer_loss.note(w.unanswered > 0);
        // A worker that answers again may get tasks.
        self.needs_pass |= w.unanswered > 0;
        if w.unanswered >= SILENT_AFTER {
            let since = now.since(w.last_answer);
            self.events.push(Note::Silent { worker: w.life.clone(), silent: false, since });
        }
        w.unanswered = 0;
    }

    /// Takes in that it was this life that has answered, with its clock.
    pub(crate) fn note_life(&mut self, idx: WorkerIdx, clock: u64, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.answered(clock, now);
        if !w.lost.is_empty() {
            self.close_lost(idx);
        }
    }

    /// Takes in that a worker refuses the orders of earlier owners from now on.
    fn take_fenced(&mut self, idx: WorkerIdx, look: &Look, now: Millis) {
        let earlier = self.time_limits.previous_lease;
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.fenced = true;
        w.fenced_at = now;
        // What an earlier owner ordered may run for so long without a word of this one.
        w.lease_until = w.lease_until.max(look.clock + earlier.0);
        let (running, ended) = (look.running.len(), look.ended.len());
        self.events.push(Note::Claimed { worker: w.life.clone(), running, ended });
    }

    /// Takes in the ends that are new, then what runs.
    fn take_listed(&mut self, idx: WorkerIdx, look: &Look, now: Millis) {
        let Some(taken) = self.workers.get(idx).map(|w| w.taken) else { return };
        for end in look.ended.iter().filter(|e| e.number > taken) {
            self.take_end(idx, end, now);
            self.keep_end(idx, end);
        }
        for r in &look.running {
            self.take_running(idx, r, now);
        }
        if let Some(w) = self.workers.get_mut(idx) {
            w.taken = look.ended.iter().map(|e| e.number).fold(w.taken, u64::max);
        }
    }

    /// Has the worker keep an end until what it changed is in the store. A job that is not open
    /// needs none: it has ended, or was never accepted.
    fn keep_end(&mut self, worker: WorkerIdx, end: &End) {
        let Some(job) = self.jobs.get_mut(end.task.step.job) else { return };
        if !job.progressed && job.end.is_none() {
            return;
        }
        let number = end.number;
        job.ends.push(EndAt { worker, number });
        if let Some(w) = self.workers.get_mut(worker) {
            w.unwritten_ends.insert(number);
        }
    }

    /// Sets when to look again. The next look waits for the batch that makes the ends durable,
    /// but for the first one: it could not renew the lease.
    fn plan_look(&mut self, idx: WorkerIdx, first: bool, now: Millis) {
        let all_in_turn = Millis(self.workers.len() as u64 * 1_000 / MOST_UNWRITTEN_LOOKS);
        let unwritten = all_in_turn.max(LOOK_UNWRITTEN).min(LOOK_UNWRITTEN_MOST);
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.look_at = if first {
            now + CONFIRM_AFTER
        } else if !w.unwritten_ends.is_empty() {
            now + unwritten
        } else {
            now
        };
    }

    /// Takes the worker into use: nothing of an earlier owner can begin there any more.
    fn claim(&mut self, idx: WorkerIdx) {
        if let Some(w) = self.workers.get_mut(idx) {
            w.claimed = true;
        }
        self.needs_pass = true;
        self.unsettled_workers.remove(&idx);
    }

    /// Frees what the worker had confirmed before the look and lists no more.
    fn find_vanished(&mut self, idx: WorkerIdx, look: &Look, sent: Millis, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let listed =
            |task: TaskKey, run: u32| look.running.iter().any(|r| r.task == task && r.run == run);
        let sure = |h: &Held| match h.phase {
            Phase::Starting => false,
            Phase::Running => true,
            Phase::Stopping => h.stop_answered,
        };
        let grace = self.time_limits.stop_timeout;
        let gone = |h: &&Held| sure(h) && h.since + grace < sent && !listed(h.task, h.run);
        let gone: Vec<_> = w.held.iter().filter(gone).map(|h| (h.task, h.run)).collect();
        for (task, run) in gone {
            self.stats.vanished += 1;
            self.free(Placement { idx, task, run }, GiveUp::Vanished, now);
        }
    }
}
