//! Periodic work: leases, retries, deadlines, quarantines, and removal of old answers.

use crate::engine::{Authority, Engine};
use crate::event::{Action, TaskEnd};
use crate::request::TaskState;
use crate::worker::WorkerIdx;
use hollowford_core::{Error, ErrorKind, Millis, RequestNo};

/// Interval at which the feasibility of queued requests is checked again.
const FEASIBILITY_CHECK_INTERVAL: Millis = Millis(2_000);

impl Engine {
    /// Does the periodic work that is due at `now`. Called about ten times a second.
    pub fn tick(&mut self, now: Millis, authority: Authority, out: &mut Vec<Action>) {
        if authority != Authority::None {
            self.renew_leases(now, out);
        }
        self.expire_leases(now, out);
        self.retry_requests(now);
        self.end_quarantines(now);
        if authority == Authority::Full {
            self.give_up_overdue(now, out);
            self.close_infeasible(now, out);
        }
        self.remove_old_answers(now);
    }

    /// Grants a lease to a worker. Returns its end on the worker's clock, and records the
    /// time on the owner's clock by which it has ended.
    ///
    /// The end is relative to a clock reading that the worker reported, so a delayed message
    /// can't extend a lease.
    pub(crate) fn grant_lease(&mut self, idx: WorkerIdx) -> u64 {
        let (length, margin) = (self.policy.task_lease, self.policy.drift_margin);
        let w = self.workers.get_mut_unindexed(idx);
        w.lease_expiry = w.lease_expiry.max(w.clock_read_at + length + margin);
        w.clock + length.0
    }

    fn renew_leases(&mut self, now: Millis, out: &mut Vec<Action>) {
        for idx in 0..self.workers.len() as WorkerIdx {
            let w = self.workers.get(idx);
            let due = now.since(w.renewed_at) >= self.policy.renew_every;
            if !w.claimed || !due || w.held.is_empty() {
                continue;
            }
            let lease_until = self.grant_lease(idx);
            let w = self.workers.get_mut_unindexed(idx);
            w.renewed_at = now;
            out.push(Action::Renew { worker: w.id.clone(), lease_until });
        }
    }

    /// Marks the tasks of unclaimed workers as lost once their leases have ended.
    fn expire_leases(&mut self, now: Millis, out: &mut Vec<Action>) {
        for idx in 0..self.workers.len() as WorkerIdx {
            let w = self.workers.get(idx);
            if w.claimed || w.held.is_empty() || now < w.lease_expiry {
                continue;
            }
            let tasks: Vec<_> = w.held.iter().map(|h| h.task).collect();
            for task in tasks {
                self.end_attempt(now, &task, TaskEnd::Lost, out);
            }
        }
    }

    fn retry_requests(&mut self, now: Millis) {
        while let Some(&(at, no)) = self.retry_times.first() {
            if at > now {
                return;
            }
            self.retry_times.remove(&(at, no));
            self.needs_pass = true;
        }
    }

    /// Ends quarantines that are over. The worker then gets one task as a probe.
    fn end_quarantines(&mut self, now: Millis) {
        if self.workers.quarantined == 0 {
            return;
        }
        for idx in 0..self.workers.len() as WorkerIdx {
            let due = self.workers.get(idx).quarantined_until.is_some_and(|t| t <= now);
            if !due {
                continue;
            }
            self.workers.quarantined -= 1;
            self.workers.update(idx, |w| {
                w.quarantined_until = None;
                w.probing = true;
                w.failed_requests.clear();
            });
            self.needs_pass = true;
        }
    }

    fn give_up_overdue(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(&(at, no)) = self.start_deadlines.first() {
            if at > now {
                return;
            }
            self.start_deadlines.remove(&(at, no));
            let Some(r) = self.requests.get(&no) else {
                continue;
            };
            if r.begun || r.answer.is_some() || r.cancelled {
                continue;
            }
            let sent = |s: &TaskState| matches!(s, TaskState::Starting(_) | TaskState::Stopping(_));
            if r.tasks.iter().any(|t| sent(&t.state)) {
                continue;
            }
            self.give_up(now, no, out);
        }
    }

    /// Closes a request for which no start was sent, because its deadline has passed.
    fn give_up(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        self.drop_waiting(no);
        if let Some(r) = self.requests.get_mut(&no) {
            r.restarting = r.is_gang();
        }
        self.stop_all(now, no, false, out);
        let message = "the request did not start within its time limit";
        self.close_not_run(now, no, &Error::new(ErrorKind::GivenUp, message), out);
        self.mark_changed(no, out);
    }

    /// Closes waiting requests that no instance can run any longer.
    fn close_infeasible(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now.since(self.feasibility_checked_at) < FEASIBILITY_CHECK_INTERVAL {
            return;
        }
        self.feasibility_checked_at = now;
        let queued = self.accounts.iter().flat_map(|a| a.queues.iter().flatten().copied());
        let infeasibility = |no: &RequestNo| {
            let r = self.requests.get(no)?;
            let not_started = !r.begun && r.active == 0 && r.answer.is_none() && !r.cancelled;
            if not_started { self.check_feasible(&r.spec).err() } else { None }
        };
        let found: Vec<(RequestNo, Error)> =
            queued.filter_map(|no| infeasibility(&no).map(|e| (no, e))).collect();
        for (no, e) in found {
            self.close_not_run(now, no, &e, out);
        }
    }

    fn remove_old_answers(&mut self, now: Millis) {
        while let Some(&(at, no)) = self.kept_answers.front() {
            let old = now.since(at) >= self.policy.answer_retention;
            let over_limit = self.kept_answers.len() > self.policy.max_kept_answers;
            if !old && !over_limit {
                return;
            }
            self.kept_answers.pop_front();
            if let Some(r) = self.requests.remove(&no) {
                self.keys.remove(&r.key);
            }
        }
    }
}
