//! What happens as time passes: leases, give-ups, retries and forgetting.

use crate::engine::{Authority, Engine};
use crate::event::{Action, TaskEnd};
use crate::request::TaskState;
use crate::worker::WorkerIdx;
use hollowford_core::{Error, ErrorKind, Millis, RequestNo};

/// How often requests that have never started are checked for being impossible.
const FEASIBLE_EVERY: Millis = Millis(2_000);

impl Engine {
    /// Does what is due at `now`. Called some ten times a second.
    pub fn tick(&mut self, now: Millis, authority: Authority, out: &mut Vec<Action>) {
        if authority != Authority::None {
            self.renew_leases(now, out);
        }
        self.lapse_leases(now, out);
        self.wake_requests(now);
        self.return_workers(now);
        if authority == Authority::Full {
            self.give_up_late(now, out);
            self.close_impossible(now, out);
        }
        self.forget_answers(now);
    }

    /// Returns the end of a lease given now to a worker, on the worker's clock, and
    /// notes when it has surely ended on ours.
    ///
    /// The end is counted from a reading that the worker itself reported, so a
    /// message that arrives late can't lengthen a lease.
    pub(crate) fn lease(&mut self, idx: WorkerIdx) -> u64 {
        let (length, margin) = (self.policy.task_lease, self.policy.drift_margin);
        let w = self.workers.touch(idx);
        w.lapse_at = w.lapse_at.max(w.clock_at + length + margin);
        w.clock + length.0
    }

    fn renew_leases(&mut self, now: Millis, out: &mut Vec<Action>) {
        for idx in 0..self.workers.len() as WorkerIdx {
            let w = self.workers.get(idx);
            let due = now.since(w.renewed_at) >= self.policy.renew_every;
            if !w.claimed || !due || w.held.is_empty() {
                continue;
            }
            let lease_until = self.lease(idx);
            let w = self.workers.touch(idx);
            w.renewed_at = now;
            out.push(Action::Renew { worker: w.id.clone(), lease_until });
        }
    }

    /// Settles the tasks of unclaimed workers whose leases have surely ended.
    fn lapse_leases(&mut self, now: Millis, out: &mut Vec<Action>) {
        for idx in 0..self.workers.len() as WorkerIdx {
            let w = self.workers.get(idx);
            if w.claimed || w.held.is_empty() || now < w.lapse_at {
                continue;
            }
            let tasks: Vec<_> = w.held.iter().map(|h| h.task).collect();
            for task in tasks {
                self.end_attempt(now, &task, TaskEnd::Lost, out);
            }
        }
    }

    fn wake_requests(&mut self, now: Millis) {
        while let Some(&(at, no)) = self.wakes.first() {
            if at > now {
                return;
            }
            self.wakes.remove(&(at, no));
            self.dirty = true;
        }
    }

    /// Lets workers that were put aside take one task, as a probe.
    fn return_workers(&mut self, now: Millis) {
        if self.workers.aside == 0 {
            return;
        }
        for idx in 0..self.workers.len() as WorkerIdx {
            let due = self.workers.get(idx).aside_until.is_some_and(|t| t <= now);
            if !due {
                continue;
            }
            self.workers.aside -= 1;
            self.workers.update(idx, |w| {
                w.aside_until = None;
                w.probing = true;
                w.fails.clear();
            });
            self.dirty = true;
        }
    }

    fn give_up_late(&mut self, now: Millis, out: &mut Vec<Action>) {
        while let Some(&(at, no)) = self.start_by.first() {
            if at > now {
                return;
            }
            self.start_by.remove(&(at, no));
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

    /// Closes a request of which no start was sent.
    fn give_up(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        self.drop_waiting(no);
        if let Some(r) = self.requests.get_mut(&no) {
            r.regroup = r.is_gang();
        }
        self.stop_all(now, no, false, out);
        let message = "it did not start within the time that the request allowed";
        self.close_not_run(now, no, &Error::new(ErrorKind::GivenUp, message), out);
        self.changed(no, out);
    }

    /// Closes waiting requests that no instance can run any more.
    fn close_impossible(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now.since(self.feasible_checked) < FEASIBLE_EVERY {
            return;
        }
        self.feasible_checked = now;
        let waits = self.accounts.iter().flat_map(|a| a.queues.iter().flatten().copied());
        let never = |no: &RequestNo| {
            let r = self.requests.get(no)?;
            let fresh = !r.begun && r.active == 0 && r.answer.is_none() && !r.cancelled;
            if fresh { self.check_possible(&r.spec).err() } else { None }
        };
        let found: Vec<(RequestNo, Error)> =
            waits.filter_map(|no| never(&no).map(|e| (no, e))).collect();
        for (no, e) in found {
            self.close_not_run(now, no, &e, out);
        }
    }

    fn forget_answers(&mut self, now: Millis) {
        while let Some(&(at, no)) = self.answered.front() {
            let old = now.since(at) >= self.policy.answer_retention;
            let many = self.answered.len() > self.policy.max_kept_answers;
            if !old && !many {
                return;
            }
            self.answered.pop_front();
            if let Some(r) = self.requests.remove(&no) {
                self.keys.remove(&r.key);
            }
        }
    }
}
