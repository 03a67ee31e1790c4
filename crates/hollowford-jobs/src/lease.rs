//! Looks: calls that renew a worker's lease, claim the worker for this owner and list its tasks.

use crate::answer_timeouts::look_pause;
use crate::engine::Engine;
use crate::event::Event;
use crate::job::{EndRef, UnwrittenEnd};
use crate::order::{End, Look, Order, WorkerCall};
use crate::worker::{MIN_SILENT_CALLS, Worker};
use crate::worker_life::WorkerLife;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// Time after fencing by which the worker lists every order of an earlier owner that it was
/// executing when it accepted the new fence.
const CLAIM_DELAY: Millis = Millis(40);
/// Minimum interval between looks at a worker while its ends are being stored. Such a look returns
/// at once instead of waiting for the next end. A store of usual speed finishes within the
/// interval, which saves the look.
const MIN_STORING_LOOK_INTERVAL: Millis = Millis(100);
/// Limit on such looks at all workers together, per second, for large cells.
const MAX_STORING_LOOKS_PER_SECOND: u64 = 1_000;
/// Maximum interval between such looks, so that leases are still renewed.
const MAX_STORING_LOOK_INTERVAL: Millis = Millis(900);

/// The outcome of a look.
#[derive(Clone, Debug, PartialEq)]
pub enum LookAnswer {
    /// The worker's tasks and ends.
    Lists(Look),
    /// Another incarnation of the worker answered, so the called one has ended.
    OtherLife,
    /// A newer owner has claimed the worker.
    Fenced,
    /// There was no answer, or an unusable one.
    Unanswered,
}

impl Engine {
    /// Sends the looks that are due.
    pub(crate) fn send_looks(&mut self, now: Millis, out: &mut Vec<Order>) {
        let lease = self.lease();
        let max_wait = self.answer_loss.max_look_wait();
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get_mut(idx) else { continue };
            if w.look_in_flight || w.next_look_at > now {
                continue;
            }
            w.look_in_flight = true;
            let at_once = !w.claimed || w.restart_suspected_since.is_some();
            let wait = if at_once || !w.unstored_ends.is_empty() { Millis(0) } else { max_wait };
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

    /// Returns for how long orders extend leases now; `None` if not at all.
    pub(crate) fn lease(&self) -> Option<Millis> {
        self.renews_leases.then_some(self.time_limits.lease)
    }

    /// Processes the outcome of a look that was sent at `sent`. Returns true if a newer owner has
    /// claimed the worker.
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

    /// Processes the answer to a look that arrived after its timeout was reported. It is applied
    /// unless a newer look has been processed. Returns true if a newer owner has claimed the
    /// worker.
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
                let Some(responder) = self.responder(idx, life, &look, now) else { return false };
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

    /// Records that a worker has not answered a call.
    pub(crate) fn record_unanswered(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.unanswered_calls += 1;
        w.restart_suspected_since = Some(now);
        if w.unanswered_calls == MIN_SILENT_CALLS {
            let since = now.since(w.last_answer);
            self.events.push(Event::WorkerSilent { worker: w.life.clone(), silent: true, since });
        }
    }

    /// Schedules the next look at a worker that has not answered one.
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
            self.end_other_incarnations(idx, &look, sent, now);
        }
        if first {
            self.record_fenced(idx, &look, now);
        }
        self.process_listed(idx, &look, now);
        self.record_ends_cut(idx, look.ends_cut);
        // A task of an earlier owner may have ended without its end being listed yet.
        if second && !look.ends_cut {
            self.claim(idx);
        }
        self.free_vanished(idx, &look, sent, now);
        self.check_stalled(idx, now);
        self.evacuate(idx, now);
        self.pace_best_effort_tasks(idx, &look.running, now);
        self.schedule_next_look(idx, first, now);
    }

    /// Records that a worker has answered a call.
    pub(crate) fn record_contact(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        self.answer_loss.record(w.unanswered_calls > 0);
        // A worker that answers again may get tasks.
        self.needs_pass |= w.unanswered_calls > 0;
        if w.unanswered_calls >= MIN_SILENT_CALLS {
            let since = now.since(w.last_answer);
            self.events.push(Event::WorkerSilent { worker: w.life.clone(), silent: false, since });
        }
        w.unanswered_calls = 0;
    }

    /// Records that the called incarnation has answered, with its clock reading.
    pub(crate) fn record_alive(&mut self, idx: WorkerIdx, clock: u64, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.record_answer(clock, now);
        if !w.lost_runs.is_empty() {
            self.close_lost_runs(idx);
        }
    }

    /// Records that a worker rejects the orders of earlier owners from now on.
    fn record_fenced(&mut self, idx: WorkerIdx, look: &Look, now: Millis) {
        let earlier = self.time_limits.previous_lease;
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.fenced = true;
        w.fenced_at = now;
        // Tasks that an earlier owner started may run until then without an order of this owner.
        w.earlier_lease_until = w.earlier_lease_until.max(look.clock + earlier.0);
        let (running, ended) = (look.running.len(), look.ended.len());
        self.events.push(Event::WorkerClaimed { worker: w.life.clone(), running, ended });
    }

    /// Processes new ends, then the running tasks.
    fn process_listed(&mut self, idx: WorkerIdx, look: &Look, now: Millis) {
        let Some(processed) = self.workers.get(idx).map(|w| w.last_processed_end) else { return };
        for end in look.ended.iter().filter(|e| e.number > processed) {
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

    /// Delays the acknowledgement of an end until its effects are stored. They may be those of an
    /// earlier end, since one end completes a whole gang. An end of a job without unstored progress
    /// needs no delay: it has no effect, or the job has ended or was never accepted.
    fn retain_end(&mut self, worker: WorkerIdx, end: &End) {
        let Some(job) = self.jobs.get_mut(end.task.step.job) else { return };
        let number = end.number;
        let end = EndRef { worker, number };
        if !job.unwritten.is_empty() || job.end.is_some() {
            job.ends.push(UnwrittenEnd { end, number: job.unwritten.last_number() });
        } else if !self.in_flight.add_end(job.id, end) {
            return;
        }
        if let Some(w) = self.workers.get_mut(worker) {
            w.unstored_ends.insert(number);
        }
    }

    /// Schedules the next look. It waits for the batch that stores the ends, except after the first
    /// look, which could not renew the lease.
    fn schedule_next_look(&mut self, idx: WorkerIdx, first: bool, now: Millis) {
        let round_duration =
            Millis(self.workers.len() as u64 * 1_000 / MAX_STORING_LOOKS_PER_SECOND);
        let interval = round_duration.max(MIN_STORING_LOOK_INTERVAL).min(MAX_STORING_LOOK_INTERVAL);
        let Some(w) = self.workers.get_mut(idx) else { return };
        w.next_look_at = if first {
            now + CLAIM_DELAY
        } else if !w.unstored_ends.is_empty() {
            now + interval
        } else {
            now
        };
    }

    /// Makes the worker available for tasks: no order of an earlier owner can start anything there
    /// any more.
    fn claim(&mut self, idx: WorkerIdx) {
        if let Some(w) = self.workers.get_mut(idx) {
            w.claimed = true;
        }
        self.needs_pass = true;
        self.unsettled_workers.remove(&idx);
    }
}
