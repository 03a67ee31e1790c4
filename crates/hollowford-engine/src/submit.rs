//! Commands of callers: submit and cancel.

use crate::engine::Engine;
use crate::event::{Action, Change, FinalAnswer, Outcome};
use crate::request::{Request, TaskState};
use hollowford_core::{AccountId, Error, ErrorKind, Kind, Millis, RequestKey, RequestNo, Spec};
use std::sync::Arc;

impl Engine {
    /// Accepts a request, or returns the existing one with the same key and body.
    ///
    /// The caller may be told once [`Engine::is_accepted`] returns true.
    ///
    /// # Errors
    /// `Conflict` if the key is in use with another body, `Unavailable` if the ledger
    /// can't be written, `QueueFull`, `OverQuota` or `Impossible`. After an error the
    /// request has not run.
    pub fn submit(
        &mut self,
        now: Millis,
        key: &RequestKey,
        spec: &Spec,
        out: &mut Vec<Action>,
    ) -> Result<RequestNo, Error> {
        if let Some(found) = self.find_existing(key, spec) {
            return found;
        }
        let write_behind = self.may_write_behind(now, spec);
        if let Err(e) = self.check_admission(key, spec, write_behind) {
            self.stats.refused += 1;
            return Err(e);
        }
        let no = RequestNo::new(self.epoch, self.next_no);
        self.next_no += 1;
        let spec = Arc::new(spec.clone());
        let change = Change::Accept { key: key.clone(), spec: spec.clone() };
        let seq = self.append(no, change, out);
        self.insert_request(no, key, spec, now);
        if let Some(r) = self.requests.get_mut(&no) {
            r.accepted_seq = seq;
            r.write_behind = write_behind;
        }
        self.mark_changed_when_durable(no, seq);
        self.enqueue(no, false);
        Ok(no)
    }

    fn find_existing(&self, key: &RequestKey, spec: &Spec) -> Option<Result<RequestNo, Error>> {
        let no = *self.keys.get(key)?;
        let r = self.requests.get(&no)?;
        if *r.spec == *spec {
            return Some(Ok(no));
        }
        let message = format!("request {} exists with a different body", key.id);
        Some(Err(Error::new(ErrorKind::Conflict, message)))
    }

    fn check_admission(
        &mut self,
        key: &RequestKey,
        spec: &Spec,
        write_behind: bool,
    ) -> Result<(), Error> {
        let stalled = self.ledger_stalled && !write_behind;
        if stalled || self.next_seq - self.durable_seq > self.policy.unsynced_bound {
            let message = "the ledger can't be written; the request did not run";
            return Err(Error::new(ErrorKind::Unavailable, message));
        }
        let idx = self.accounts.intern(&key.account);
        let a = self.accounts.get(idx);
        let limit = if a.policy.max_queued > 0 {
            a.policy.max_queued
        } else {
            self.policy.account_queue_bound
        };
        if a.open >= limit || self.open >= self.policy.queue_bound {
            let message = format!("too many open requests; the client account has {}", a.open);
            return Err(
                Error::new(ErrorKind::QueueFull, message).retry_after(self.retry_delay_ms())
            );
        }
        self.check_quota(idx, spec)?;
        self.check_feasible(spec)
    }

    /// Estimates the time in milliseconds until a full queue has room again.
    fn retry_delay_ms(&self) -> u64 {
        const MIN_RETRY_MS: u64 = 500;
        const MAX_RETRY_MS: u64 = 10_000;
        MIN_RETRY_MS.saturating_add(u64::from(self.open) / 10).min(MAX_RETRY_MS)
    }

    fn check_quota(&self, idx: u32, spec: &Spec) -> Result<(), Error> {
        let a = self.accounts.get(idx);
        let concurrent_tasks = if spec.kind == Kind::Gang { spec.tasks } else { 1 };
        let mut need = hollowford_core::Totals::default();
        for _ in 0..concurrent_tasks {
            need.add(&spec.per_task);
        }
        let q = &a.policy.quota;
        let over = |n: u64, max: u64| max > 0 && n > max;
        if over(need.cpu_milli, q.cpu_milli)
            || over(need.memory_mib, q.memory_mib)
            || over(need.accelerators, q.accelerators)
        {
            let message = format!(
                "the request needs {} mcpu, {} MiB, {} accelerators at once; \
                 the quota is {}, {}, {}",
                need.cpu_milli,
                need.memory_mib,
                need.accelerators,
                q.cpu_milli,
                q.memory_mib,
                q.accelerators
            );
            return Err(Error::new(ErrorKind::OverQuota, message));
        }
        Ok(())
    }

    /// Adds a request to the tables without queueing it.
    pub(crate) fn insert_request(
        &mut self,
        no: RequestNo,
        key: &RequestKey,
        spec: Arc<Spec>,
        now: Millis,
    ) {
        let account = self.accounts.intern(&key.account);
        let mut r = Request::new(no, key.clone(), spec, account);
        r.accepted_at = now;
        if r.spec.start_within_ms > 0 {
            self.start_deadlines.insert((now + Millis(r.spec.start_within_ms), no));
        }
        self.accounts.get_mut(account).open += 1;
        self.open += 1;
        self.keys.insert(key.clone(), no);
        self.requests.insert(r);
    }

    /// Cancels a request. It gets its final answer once its running tasks have stopped.
    ///
    /// # Errors
    /// `NotFound` if the account has no such request.
    pub fn cancel(
        &mut self,
        now: Millis,
        key: &RequestKey,
        out: &mut Vec<Action>,
    ) -> Result<RequestNo, Error> {
        let Some(&no) = self.keys.get(key) else {
            return Err(Error::new(
                ErrorKind::NotFound,
                format!("request {} does not exist", key.id),
            ));
        };
        self.cancel_request(now, no, out);
        Ok(no)
    }

    /// Cancels all open requests of the account that have the label. Returns their number.
    pub fn cancel_by_label(
        &mut self,
        now: Millis,
        account: &AccountId,
        label: &str,
        out: &mut Vec<Action>,
    ) -> u32 {
        let Some(idx) = self.accounts.find(account) else {
            return 0;
        };
        let matches_label = |r: &&Request| {
            r.account == idx
                && r.answer.is_none()
                && !r.cancelled
                && r.spec.labels.iter().any(|l| &**l == label)
        };
        let mut nos: Vec<RequestNo> =
            self.requests.values().filter(matches_label).map(|r| r.no).collect();
        nos.sort_unstable();
        for no in &nos {
            self.cancel_request(now, *no, out);
        }
        nos.len() as u32
    }

    fn cancel_request(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        if r.answer.is_some() || r.cancelled {
            return;
        }
        r.cancelled = true;
        self.append(no, Change::Cancel, out);
        self.drop_waiting(no);
        self.stop_all(now, no, false, out);
        self.close_if_ended(now, no, out);
        self.mark_changed(no, out);
    }

    /// Marks all waiting tasks as ended.
    pub(crate) fn drop_waiting(&mut self, no: RequestNo) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        while let Some(index) = r.waiting.pop_front() {
            r.tasks[index as usize].state = TaskState::Ended;
        }
    }

    /// Withdraws the placed tasks of a request and stops those that may be running.
    pub(crate) fn stop_all(
        &mut self,
        now: Millis,
        no: RequestNo,
        checkpoint: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&no) else {
            return;
        };
        let held: Vec<u32> = (0..r.tasks.len() as u32)
            .filter(|&i| r.tasks[i as usize].state.worker().is_some())
            .collect();
        for index in held {
            self.stop_task(now, no, index, checkpoint, out);
        }
    }

    /// Closes a request that never ran. Its outcome is `NotRun`.
    pub(crate) fn close_not_run(
        &mut self,
        now: Millis,
        no: RequestNo,
        why: &Error,
        out: &mut Vec<Action>,
    ) {
        self.drop_waiting(no);
        let answer = FinalAnswer {
            outcome: Outcome::NotRun,
            reason: why.kind.info().name.into(),
            message: why.message.as_str().into(),
            had_begun: false,
        };
        self.close(now, no, answer, out);
    }
}
