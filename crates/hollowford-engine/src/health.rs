//! What the ends of attempts tell about workers, requests and client accounts.

use crate::engine::Engine;
use crate::event::TaskEnd;
use crate::worker::WorkerIdx;
use hollowford_core::{Millis, RequestNo, TaskId};

impl Engine {
    /// Learns from an attempt's end about the worker and about the request.
    pub(crate) fn judge(&mut self, now: Millis, idx: WorkerIdx, task: &TaskId, end: &TaskEnd) {
        if let Some(r) = self.requests.get(&task.request)
            && matches!(end, TaskEnd::Done(_) | TaskEnd::Failed(_))
        {
            let well = matches!(end, TaskEnd::Done(_));
            let account = self.accounts.get_mut(r.account);
            account.note_end(well);
            if well {
                let ran = now.since(r.tasks[task.index as usize].since);
                account.note_run(r.spec.run_time_ms, ran);
            }
        }
        match end {
            TaskEnd::Done(_) => {
                let w = self.workers.touch(idx);
                w.fails.clear();
                w.aside_count = 0;
                w.probing = false;
            }
            TaskEnd::Failed(_) => self.mark_failure(now, idx, task.request),
            TaskEnd::Stopped(_) | TaskEnd::Lost | TaskEnd::Crashed => {}
        }
    }

    pub(crate) fn mark_failure(&mut self, now: Millis, idx: WorkerIdx, no: RequestNo) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        if !r.failed_on.contains(&idx) {
            r.failed_on.push(idx);
        }
        if r.failed_on.len() >= self.policy.request_fault_after {
            // It fails everywhere: the fault is the request's own.
            for other in std::mem::take(&mut r.failed_on) {
                self.workers.touch(other).fails.retain(|n| *n != no);
            }
            return;
        }
        let w = self.workers.touch(idx);
        if !w.fails.contains(&no) {
            w.fails.push(no);
        }
        let again = w.probing;
        if again || self.is_suspect(idx) {
            self.put_aside(now, idx);
        }
    }

    /// Tells whether a worker has failed enough different requests, of different
    /// client accounts or of one whose work ends well elsewhere.
    fn is_suspect(&self, idx: WorkerIdx) -> bool {
        let fails = &self.workers.get(idx).fails;
        if fails.len() < self.policy.quarantine_after {
            return false;
        }
        let mut accounts: Vec<u32> =
            fails.iter().filter_map(|no| self.requests.get(no)).map(|r| r.account).collect();
        accounts.sort_unstable();
        accounts.dedup();
        accounts.len() >= 2 || accounts.iter().any(|a| self.accounts.get(*a).is_credible())
    }

    fn put_aside(&mut self, now: Millis, idx: WorkerIdx) {
        const MOST_DOUBLINGS: u32 = 5;
        let most = (self.workers.len() as f64 * self.policy.max_quarantined_share) as u32;
        if self.workers.get(idx).aside_until.is_some() || self.workers.aside >= most {
            return;
        }
        let base = self.policy.quarantine_time.0;
        self.workers.aside += 1;
        self.stats.quarantined += 1;
        self.workers.update(idx, |w| {
            let wait = base << w.aside_count.min(MOST_DOUBLINGS);
            w.aside_count += 1;
            w.aside_until = Some(now + Millis(wait));
            w.probing = false;
        });
    }
}
