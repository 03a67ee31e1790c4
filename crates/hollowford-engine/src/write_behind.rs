//! Write-behind requests: short checks that run while the ledger can't be written.
//!
//! A repeatable check may run before its records are durable for as long as every member
//! has promised not to take over the partition. Its lease ends before the promises expire,
//! and renewals don't extend it. So no such task is running any more when another process
//! can take over. The records are appended like all others and become durable once the
//! ledger can be written again. The answer is reported before that and is marked as not
//! durable.

use crate::engine::{Engine, PendingStart};
use crate::event::Action;
use crate::worker::WorkerIdx;
use hollowford_core::{Kind, Millis, RequestNo, Spec};

/// Allowed run time in tenths of the declared run time. A check starts only if this time
/// ends before the promises expire.
const RUN_TIME_ALLOWANCE_TENTHS: u64 = 15;
const TENTHS: u64 = 10;

impl Engine {
    /// Sets the time until which every member has promised not to take over the partition;
    /// zero if any member has not.
    pub fn set_no_takeover_until(&mut self, until: Millis) {
        if until > self.no_takeover_until {
            self.needs_pass = true;
        }
        self.no_takeover_until = until;
    }

    /// Returns true if write-behind requests may start at `now`: the ledger is stalled and
    /// the promises of the members are valid.
    pub fn allows_write_behind(&self, now: Millis) -> bool {
        self.ledger_stalled && self.no_takeover_until > now + self.policy.drift_margin
    }

    /// Returns true if a request may run before its records are durable: a repeatable check
    /// with one task that is expected to end before the promises expire.
    pub(crate) fn may_write_behind(&self, now: Millis, spec: &Spec) -> bool {
        let check = spec.kind == Kind::Check && spec.repeatable && spec.tasks == 1;
        check && self.allows_write_behind(now) && self.ends_before_takeover(now, spec)
    }

    /// Returns true if a task is expected to end before the promises expire.
    pub(crate) fn ends_before_takeover(&self, now: Millis, spec: &Spec) -> bool {
        let run = Millis(spec.run_time_ms.saturating_mul(RUN_TIME_ALLOWANCE_TENTHS) / TENTHS);
        spec.run_time_ms > 0 && now + run + self.policy.drift_margin < self.no_takeover_until
    }

    /// Returns true if a request runs before its records are durable.
    pub(crate) fn is_write_behind(&self, no: RequestNo) -> bool {
        self.requests.get(&no).is_some_and(|r| r.write_behind)
    }

    /// Grants a lease that ends before the promises expire. Returns its end on the worker's
    /// clock. Renewals do not extend it.
    ///
    /// The worker took the clock reading before the report arrived. So its clock reaches
    /// `reading + x` no later than the owner's clock reaches `arrival + x`.
    pub(crate) fn grant_fixed_lease(&mut self, idx: WorkerIdx) -> u64 {
        let (max_length, margin) = (self.policy.task_lease, self.policy.drift_margin);
        let until = self.no_takeover_until.since(margin);
        let w = self.workers.get_mut_unindexed(idx);
        let length = until.since(w.clock_read_at).min(max_length);
        w.lease_expiry = w.lease_expiry.max(w.clock_read_at + length + margin);
        w.clock + length.0
    }

    /// Sends the pending starts of checks that were placed before the ledger stalled.
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

    /// Sends a start without waiting for its intent to be durable.
    pub(crate) fn start_write_behind(
        &mut self,
        no: RequestNo,
        index: u32,
        worker: WorkerIdx,
        now: Millis,
        out: &mut Vec<Action>,
    ) {
        if let Some(r) = self.requests.get_mut(&no) {
            // The request may have been accepted before the ledger stalled.
            r.write_behind = true;
            let start = PendingStart { seq: 0, task: r.task_id(index), worker };
            self.send_start(now, &start, out);
        }
    }
}
