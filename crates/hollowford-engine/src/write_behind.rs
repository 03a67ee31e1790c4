//! Quick checks while the ledger can't be written.
//!
//! A check that may be repeated goes on without the ledger for as long as every
//! member has promised not to take the partition over. Its lease ends before the
//! promises do and no renewal extends it, so when anyone can take over, nothing
//! unledgered still runs. Its records are appended like all others and become
//! durable when the ledger is back; its answer is told before that, and says so.

use crate::engine::{Engine, PendingStart};
use crate::event::Action;
use crate::worker::WorkerIdx;
use hollowford_core::{Kind, Millis, RequestNo, Spec};

/// Parts of the declared run time that must fit into the promises, in tenths.
const RUN_TIME_ALLOWANCE_TENTHS: u64 = 15;
const TENTHS: u64 = 10;

impl Engine {
    /// Notes until when every member has promised not to take over; zero when one
    /// of them has not.
    pub fn set_no_takeover_until(&mut self, until: Millis) {
        if until > self.no_takeover_until {
            self.needs_pass = true;
        }
        self.no_takeover_until = until;
    }

    /// Tells whether unledgered work may be started at `now`.
    pub fn allows_write_behind(&self, now: Millis) -> bool {
        self.ledger_stalled && self.no_takeover_until > now + self.policy.drift_margin
    }

    /// Tells whether a request is to go on without the ledger.
    pub(crate) fn may_write_behind(&self, now: Millis, spec: &Spec) -> bool {
        let check = spec.kind == Kind::Check && spec.repeatable && spec.tasks == 1;
        check && self.allows_write_behind(now) && self.ends_before_takeover(now, spec)
    }

    /// Tells whether a task is expected to end before the promises do.
    pub(crate) fn ends_before_takeover(&self, now: Millis, spec: &Spec) -> bool {
        let run = Millis(spec.run_time_ms.saturating_mul(RUN_TIME_ALLOWANCE_TENTHS) / TENTHS);
        spec.run_time_ms > 0 && now + run + self.policy.drift_margin < self.no_takeover_until
    }

    /// Tells whether a request goes on without the ledger.
    pub(crate) fn is_write_behind(&self, no: RequestNo) -> bool {
        self.requests.get(&no).is_some_and(|r| r.write_behind)
    }

    /// Returns the end of a lease, on the worker's clock, that surely ends before the
    /// promises do on ours.
    ///
    /// The worker's reading was taken before it came here, so the worker's clock reaches
    /// reading + x no later than ours reaches the time of its coming + x.
    pub(crate) fn grant_fixed_lease(&mut self, idx: WorkerIdx) -> u64 {
        let (longest, margin) = (self.policy.task_lease, self.policy.drift_margin);
        let until = self.no_takeover_until.since(margin);
        let w = self.workers.get_mut_unindexed(idx);
        let length = until.since(w.clock_read_at).min(longest);
        w.lease_expiry = w.lease_expiry.max(w.clock_read_at + length + margin);
        w.clock + length.0
    }

    /// Sends the starts of checks that were placed when the ledger began to stall.
    pub(crate) fn start_pending_write_behind(&mut self, now: Millis, out: &mut Vec<Action>) {
        for start in std::mem::take(&mut self.pending_starts) {
            let spec = self.requests.get(&start.task.request).map(|r| r.spec.clone());
            if spec.is_some_and(|spec| self.may_write_behind(now, &spec)) {
                let (no, index) = (start.task.request, start.task.index);
                self.start_write_behind(no, index, start.worker, now, out);
            } else {
                self.pending_starts.push_back(start);
            }
        }
    }

    /// Sends a start whose intent is not durable.
    pub(crate) fn start_write_behind(
        &mut self,
        no: RequestNo,
        index: u32,
        worker: WorkerIdx,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if let Some(r) = self.requests.get_mut(&no) {
            // It may have been accepted before the stall.
            r.write_behind = true;
            let start = PendingStart { seq: 0, task: r.task_id(index), worker };
            self.send_start(now, &start, out);
        }
    }
}
