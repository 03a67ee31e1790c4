//! Health of workers: failed attempts, and the quarantine of workers that fail often.

use crate::engine::Engine;
use crate::event::TaskEnd;
use crate::worker::WorkerIdx;
use hollowford_core::{Millis, RequestNo, TaskId};

impl Engine {
    /// Updates the account's statistics and the failures of the worker and the request after
    /// an attempt has ended.
    pub(crate) fn update_health(
        &mut self,
        now: Millis,
        idx: WorkerIdx,
        task: &TaskId,
        end: &TaskEnd,
    ) {
        if let Some(r) = self.requests.get(&task.request)
            && matches!(end, TaskEnd::Done(_) | TaskEnd::Failed(_))
        {
            let succeeded = matches!(end, TaskEnd::Done(_));
            let account = self.accounts.get_mut(r.account);
            account.record_end(succeeded);
            if succeeded {
                let ran = now.since(r.tasks[task.index as usize].since);
                account.record_run_time(r.spec.run_time_ms, ran);
            }
        }
        match end {
            TaskEnd::Done(_) => {
                let w = self.workers.get_mut_unindexed(idx);
                w.failed_requests.clear();
                w.quarantine_count = 0;
                w.probing = false;
            }
            TaskEnd::Failed(_) => self.record_failure(now, idx, task.request),
            TaskEnd::Stopped(_) | TaskEnd::Lost | TaskEnd::Crashed => {}
        }
    }

    pub(crate) fn record_failure(&mut self, now: Millis, idx: WorkerIdx, no: RequestNo) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        if !r.failed_workers.contains(&idx) {
            r.failed_workers.push(idx);
        }
        if r.failed_workers.len() >= self.policy.request_fault_after {
            // It fails on several workers, so the request is at fault and not the workers.
            for other in std::mem::take(&mut r.failed_workers) {
                self.workers.get_mut_unindexed(other).failed_requests.retain(|n| *n != no);
            }
            return;
        }
        let w = self.workers.get_mut_unindexed(idx);
        if !w.failed_requests.contains(&no) {
            w.failed_requests.push(no);
        }
        let was_probing = w.probing;
        if was_probing || self.should_quarantine(idx) {
            self.quarantine(now, idx);
        }
    }

    /// Returns true if enough distinct requests failed on the worker, and they belong to
    /// several client accounts or to one whose attempts mostly succeed.
    fn should_quarantine(&self, idx: WorkerIdx) -> bool {
        let failed_requests = &self.workers.get(idx).failed_requests;
        if failed_requests.len() < self.policy.quarantine_after {
            return false;
        }
        let mut accounts: Vec<u32> = failed_requests
            .iter()
            .filter_map(|no| self.requests.get(no))
            .map(|r| r.account)
            .collect();
        accounts.sort_unstable();
        accounts.dedup();
        accounts.len() >= 2 || accounts.iter().any(|a| self.accounts.get(*a).mostly_succeeds())
    }

    fn quarantine(&mut self, now: Millis, idx: WorkerIdx) {
        const MAX_DOUBLINGS: u32 = 5;
        let max_quarantined =
            (self.workers.len() as f64 * self.policy.max_quarantined_share) as u32;
        if self.workers.get(idx).quarantined_until.is_some()
            || self.workers.quarantined >= max_quarantined
        {
            return;
        }
        let base = self.policy.quarantine_time.0;
        self.workers.quarantined += 1;
        self.stats.quarantined += 1;
        self.workers.update(idx, |w| {
            let wait = base << w.quarantine_count.min(MAX_DOUBLINGS);
            w.quarantine_count += 1;
            w.quarantined_until = Some(now + Millis(wait));
            w.probing = false;
        });
    }
}
