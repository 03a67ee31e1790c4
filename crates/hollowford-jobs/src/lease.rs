//! Looks at workers, which renew their leases and claim them for this owner.

use crate::answer_timeouts::look_pause;
use crate::engine::Engine;
use crate::event::{Event, GiveUpCause};
use crate::held_task::{HeldTask, Phase};
use crate::job::EndRef;
use crate::order::{End, Look, Order, WorkerCall};
use crate::spec::TaskKey;
use crate::worker::Worker;
use crate::worker_life::WorkerLife;
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::Millis;

/// An order of an earlier owner that a worker was just carrying out when it took the new fence
/// has begun, and is listed, after this time.
const CLAIM_DELAY: Millis = Millis(40);
/// A worker that leaves so many calls unanswered one after the other is logged as silent. Single
/// answers that are lost are many at times, and are told as a share.
const MIN_SILENT_CALLS: u32 = 2;
/// How often to look at a worker while ends of it are on the way to the store: a look can't wait
/// for the next end meanwhile. A store of usual speed is faster, and each such look is saved.
const MIN_UNWRITTEN_LOOK_INTERVAL: Millis = Millis(100);
/// Looks of that kind at all workers in a second, which bounds them in large cells.
const MAX_UNWRITTEN_LOOKS_PER_SECOND: u64 = 1_000;
/// The longest time between two such looks, so that leases are renewed.
const MAX_UNWRITTEN_LOOK_INTERVAL: Millis = Millis(900);

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
    pub(crate) fn order_looks(&mut self, now: Millis, out: &mut Vec<Order>) {
        let lease = self.bounds.lease;
        let longest = self.losses.max_look_wait();
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get_mut(idx) else { continue };
            if w.look_in_flight || w.next_look_at > now {
                continue;
            }
            w.look_in_flight = true;
            let at_once = !w.claimed || w.restart_suspected_since.is_some();
            let wait = if at_once || !w.unwritten_ends.is_empty() { Millis(0) } else { longest };
            let call = WorkerCall::Look {
                worker: w.life.clone(),
                address: w.address.clone(),
                lease_until: w.extend_lease(now, lease),
                acknowledged: w.acknowledged_ends(),
                wait,
            };
            out.push(Order::Worker { call, limit: w.answer_timeout() });
        }
    }

    /// Takes in the answer to a look that was sent at `sent`. Tells whether a newer owner
    /// has claimed the worker.
    pub fn look_answered(
        &mut self,
        life: &WorkerLife,
        answer: LookAnswer,
        sent: Millis,
        now: Millis,
    ) -> bool {
        let Some(idx) = self.workers.find(life) else { return false };
        if let Some(w) = self.workers.get_mut(idx) {
            w.look_in_flight = false;
            w.next_look_at = now;
        }
        match answer {
            LookAnswer::Lists(look) => {
                if let Some(responder) = self.responder(idx, life, &look, now) {
                    self.process_look(responder, look, sent, now);
                }
            }
            LookAnswer::OtherLife => self.mark_worker_dead(idx, now),
            LookAnswer::Fenced => return true,
            LookAnswer::Unanswered => {
                self.record_unanswered(idx, now);
                self.delay_next_look(idx, now);
            }
        }
        false
    }

    /// Takes in the answer to a look that came after it was told that there was none: it still
    /// tells what runs and has ended, unless a newer one has. Tells whether a newer owner has
    /// claimed the worker.
    pub fn look_answered_late(
        &mut self,
        life: &WorkerLife,
        answer: LookAnswer,
        sent: Millis,
        now: Millis,
    ) -> bool {
        let Some(idx) = self.workers.find(life) else { return false };
        match answer {
            LookAnswer::Lists(look) => {
                let Some(responder) = self.responder(idx, life, &look, now) else {
                    return false;
                };
                let newer = |w: &Worker| look.clock > w.look_clock;
                if self.workers.get(responder).is_some_and(newer) {
                    self.process_look(responder, look, sent, now);
                }
            }
            LookAnswer::OtherLife => self.mark_worker_dead(idx, now),
            LookAnswer::Fenced => return true,
            LookAnswer::Unanswered => {}
        }
        false
    }

    /// Takes in that a worker has not answered a call.
    pub(crate) fn record_unanswered(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.unanswered_calls += 1;
        w.restart_suspected_since = Some(now);
        if w.unanswered_calls == MIN_SILENT_CALLS {
            let since = now.since(w.last_answer);
            self.notes.push(Event::WorkerSilent { worker: w.life.clone(), silent: true, since });
        }
    }

    /// Sets when to look again at a worker that has not answered a look.
    fn delay_next_look(&mut self, idx: WorkerIdx, now: Millis) {
        if let Some(w) = self.workers.get_mut(idx) {
            w.next_look_at = now + look_pause(w.unanswered_calls);
        }
    }

    fn process_look(&mut self, idx: WorkerIdx, look: Look, sent: Millis, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let first = !w.fenced;
        let second = w.fenced && !w.claimed && sent >= w.fenced_at + CLAIM_DELAY;
        if let Some(w) = self.workers.get_mut(idx) {
            w.look_clock = look.clock;
            w.confirm_alive(sent);
        }
        self.record_contact(idx, now);
        self.record_alive(idx, look.clock, now);
        if first || second {
            self.end_other_lives(idx, &look, sent, now);
        }
        if first {
            self.record_fenced(idx, &look, now);
        }
        self.process_listed(idx, &look, now);
        if second {
            self.claim(idx);
        }
        self.free_vanished(idx, &look, sent, now);
        self.check_stalled(idx, now);
        self.evacuate(idx, now);
        self.pace_fillers(idx, &look.running, now);
        self.schedule_next_look(idx, first, now);
    }

    /// Takes in that a worker has answered a call.
    pub(crate) fn record_contact(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        self.losses.record(w.unanswered_calls > 0);
        // A worker that answers again may get tasks.
        self.dirty |= w.unanswered_calls > 0;
        if w.unanswered_calls >= MIN_SILENT_CALLS {
            let since = now.since(w.last_answer);
            self.notes.push(Event::WorkerSilent { worker: w.life.clone(), silent: false, since });
        }
        w.unanswered_calls = 0;
    }

    /// Takes in that it was this life that has answered, with its clock.
    pub(crate) fn record_alive(&mut self, idx: WorkerIdx, clock: u64, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.record_answer(clock, now);
        if !w.lost_runs.is_empty() {
            self.close_lost_runs(idx);
        }
    }

    /// Takes in that a worker refuses the orders of earlier owners from now on.
    fn record_fenced(&mut self, idx: WorkerIdx, look: &Look, now: Millis) {
        let earlier = self.bounds.earlier_lease;
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.fenced = true;
        w.fenced_at = now;
        // What an earlier owner ordered may run for so long without a word of this one.
        w.lease_until = w.lease_until.max(look.clock + earlier.0);
        let (running, ended) = (look.running.len(), look.ended.len());
        self.notes.push(Event::WorkerClaimed { worker: w.life.clone(), running, ended });
    }

    /// Takes in the ends that are new, then what runs.
    fn process_listed(&mut self, idx: WorkerIdx, look: &Look, now: Millis) {
        let Some(taken) = self.workers.get(idx).map(|w| w.last_processed_end) else { return };
        for end in look.ended.iter().filter(|e| e.number > taken) {
            self.process_end(idx, end, now);
            self.retain_end(idx, end);
        }
        for r in &look.running {
            self.process_running(idx, r, now);
        }
        if let Some(w) = self.workers.get_mut(idx) {
            w.last_processed_end =
                look.ended.iter().map(|e| e.number).fold(w.last_processed_end, u64::max);
        }
    }

    /// Has the worker keep an end until what it changed is in the store. A job that is not open
    /// needs none: it has ended, or was never accepted.
    fn retain_end(&mut self, worker: WorkerIdx, end: &End) {
        let Some(job) = self.jobs.get_mut(end.task.step.job) else { return };
        if !job.progress_unwritten && job.end.is_none() {
            return;
        }
        let number = end.number;
        job.ends.push(EndRef { worker, number });
        if let Some(w) = self.workers.get_mut(worker) {
            w.unwritten_ends.insert(number);
        }
    }

    /// Sets when to look again. The next look waits for the batch that makes the ends durable,
    /// but for the first one: it could not renew the lease.
    fn schedule_next_look(&mut self, idx: WorkerIdx, first: bool, now: Millis) {
        let all_in_turn =
            Millis(self.workers.len() as u64 * 1_000 / MAX_UNWRITTEN_LOOKS_PER_SECOND);
        let unwritten =
            all_in_turn.max(MIN_UNWRITTEN_LOOK_INTERVAL).min(MAX_UNWRITTEN_LOOK_INTERVAL);
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.next_look_at = if first {
            now + CLAIM_DELAY
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
        self.dirty = true;
        self.unsettled.remove(&idx);
    }

    /// Frees what the worker had confirmed before the look and lists no more.
    fn free_vanished(&mut self, idx: WorkerIdx, look: &Look, sent: Millis, now: Millis) {
        let Some(w) = self.workers.get(idx) else { return };
        let listed =
            |task: TaskKey, run: u32| look.running.iter().any(|r| r.task == task && r.run == run);
        let sure = |h: &HeldTask| match h.phase {
            Phase::Starting => false,
            Phase::Running => true,
            Phase::Stopping => h.stop_answered,
        };
        let grace = self.bounds.stop_timeout;
        let gone = |h: &&HeldTask| sure(h) && h.since + grace < sent && !listed(h.task, h.run);
        let gone: Vec<_> = w.held.iter().filter(gone).map(|h| (h.task, h.run)).collect();
        for (task, run) in gone {
            self.stats.vanished += 1;
            self.free(Placement { idx, task, run }, GiveUpCause::Vanished, now);
        }
    }
}
