//! Recovery from the ledger, and snapshots of the state.

use crate::engine::Engine;
use crate::event::{Action, Change, FinalAnswer, Record, TaskEnd};
use crate::placement::held_task;
use crate::request::{Request, TaskState};
use hollowford_core::{Epoch, InstanceId, Millis, RequestNo, TaskId};
use std::sync::Arc;

impl Engine {
    /// Applies one record of the ledger. Called in the order of the ledger, before
    /// [`Engine::activate`].
    pub fn replay(&mut self, now: Millis, record: Record) {
        let no = record.request;
        match record.change {
            Change::Accept { key, spec } => self.replay_accept(now, no, &key, spec),
            Change::Intent { task, worker, incarnation } => {
                self.replay_intent(now, &task, &worker, incarnation);
            }
            Change::Withdrawn { task } => {
                if self.remove_from_worker(now, &task).is_some() {
                    self.replay_requeue(task);
                }
            }
            Change::Ended { task, end } => self.replay_ended(now, &task, end),
            Change::Cancel => {
                if let Some(r) = self.requests.get_mut(&no) {
                    r.cancelled = true;
                }
                self.drop_waiting(no);
            }
            Change::Close(answer) => {
                self.drop_waiting(no);
                self.apply_close(now, no, answer, 0);
            }
            Change::Queued { task, failures, crashes, checkpoint, begun } => {
                self.replay_queued(&task, (failures, crashes), checkpoint);
                if let Some(r) = self.requests.get_mut(&no) {
                    r.begun |= begun;
                }
            }
        }
    }

    fn replay_accept(
        &mut self,
        now: Millis,
        no: RequestNo,
        key: &hollowford_core::RequestKey,
        spec: Arc<hollowford_core::Spec>,
    ) {
        if self.requests.get(&no).is_some() {
            return;
        }
        self.insert_request(no, key, spec, now);
        self.enqueue(no, false);
    }

    fn replay_intent(&mut self, now: Millis, task: &TaskId, worker: &InstanceId, incarnation: u64) {
        let w = self.workers.intern(worker);
        let Some(r) = self.requests.get_mut(&task.request) else {
            return;
        };
        let Some(at) = r.waiting.iter().position(|&i| i == task.index) else {
            return;
        };
        r.waiting.remove(at);
        r.active += 1;
        let t = &mut r.tasks[task.index as usize];
        t.attempt = task.attempt;
        // The start may have been sent, so treat it as sent.
        t.state = TaskState::Starting(w);
        t.since = now;
        let expected_end = self.accounts.get(r.account).expected_end(&r.spec, now);
        let held = held_task(r, task.index, now, expected_end, incarnation);
        self.accounts.get_mut(r.account).used.add(&held.resources);
        self.workers.assign(w, held);
    }

    fn replay_requeue(&mut self, task: TaskId) {
        let stays =
            self.requests.get(&task.request).is_some_and(|r| !r.cancelled && r.answer.is_none());
        if stays {
            self.requeue(task.request, task.index);
        }
    }

    fn replay_ended(&mut self, now: Millis, task: &TaskId, end: TaskEnd) {
        // In a snapshot, an ended task has no intent before its end.
        if self.worker_of(task).is_none() {
            self.end_waiting_task(task);
        }
        self.remove_from_worker(now, task);
        if self.apply_end(task, end) {
            self.replay_requeue(*task);
        }
    }

    /// Marks a waiting task as ended and sets its attempt.
    fn end_waiting_task(&mut self, task: &TaskId) {
        let Some(r) = self.requests.get_mut(&task.request) else {
            return;
        };
        if let Some(at) = r.waiting.iter().position(|&i| i == task.index) {
            r.waiting.remove(at);
        }
        if let Some(t) = r.tasks.get_mut(task.index as usize) {
            t.attempt = task.attempt;
            t.state = TaskState::Ended;
        }
    }

    fn replay_queued(
        &mut self,
        task: &TaskId,
        (failures, crashes): (u32, u32),
        checkpoint: Arc<str>,
    ) {
        let Some(r) = self.requests.get_mut(&task.request) else {
            return;
        };
        let Some(t) = r.tasks.get_mut(task.index as usize) else {
            return;
        };
        t.attempt = task.attempt;
        t.failures = failures;
        t.crashes = crashes;
        t.checkpoint = Some(checkpoint).filter(|c| !c.is_empty());
        if t.state == TaskState::Ended {
            self.apply_queued(task.request, task.index);
        }
    }

    /// Ends recovery and starts operation. Tasks with an intent stay on their workers until
    /// these are claimed, or until every lease of an earlier owner has ended.
    pub fn activate(&mut self, now: Millis, out: &mut Vec<Action>) {
        let p = &self.policy;
        let lease_expiry = now + p.renewal_bound + p.task_lease + p.drift_margin;
        for idx in 0..self.workers.len() as u32 {
            self.workers.get_mut_unindexed(idx).lease_expiry = lease_expiry;
        }
        let mut open: Vec<RequestNo> =
            self.requests.values().filter(|r| r.answer.is_none()).map(|r| r.no).collect();
        open.sort_unstable();
        for no in open {
            self.resume_request(now, no, out);
        }
        self.feasibility_checked_at = now;
        self.needs_pass = true;
    }

    /// Completes a gang restart or a close that an earlier owner did not finish.
    fn resume_request(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        let must_restart =
            r.failed > 0 || r.uncertain > 0 || (r.active > 0 && !r.waiting.is_empty());
        if r.is_gang() && must_restart {
            r.restarting = true;
        }
        self.finish_gang_restart(now, no, out);
        self.close_if_ended(now, no, out);
    }

    /// Returns records whose replay results in the current state.
    ///
    /// They include changes that are not durable yet, so the caller must write the snapshot
    /// after all records that were appended before it.
    pub fn snapshot(&self) -> Vec<Record> {
        let mut requests: Vec<&Request> = self.requests.values().collect();
        requests.sort_unstable_by_key(|r| r.no);
        let mut records = Vec::with_capacity(requests.len() * 2);
        for r in requests {
            match &r.answer {
                Some(answer) => snapshot_ended(r, answer, &mut records),
                None => self.snapshot_request(r, &mut records),
            }
        }
        records
    }

    fn snapshot_request(&self, r: &Request, records: &mut Vec<Record>) {
        let mut push = |change| records.push(Record { request: r.no, change });
        push(Change::Accept { key: r.key.clone(), spec: r.spec.clone() });
        for (i, t) in r.tasks.iter().enumerate() {
            if t.attempt == 0 {
                continue;
            }
            let task = r.task_id(i as u32);
            if let Some(result) = r.results.get(task.index) {
                push(Change::Ended { task, end: TaskEnd::Done(result.clone()) });
                continue;
            }
            let checkpoint = t.checkpoint.clone().unwrap_or_else(|| "".into());
            let (failures, crashes, begun) = (t.failures, t.crashes, r.begun);
            push(Change::Queued { task, failures, crashes, checkpoint, begun });
            if let Some(w) = t.state.worker() {
                let worker = self.workers.get(w);
                let held = worker.held.iter().find(|h| h.task == task);
                let incarnation = held.map_or(0, |h| h.incarnation);
                push(Change::Intent { task, worker: worker.id.clone(), incarnation });
            } else if t.state == TaskState::Ended {
                push(Change::Ended { task, end: snapshot_end(r) });
            }
        }
        if r.cancelled {
            push(Change::Cancel);
        }
    }

    /// Returns the first request number that this owner assigns.
    pub fn first_request_number(&self) -> RequestNo {
        RequestNo::new(Epoch(self.epoch.0), 1)
    }
}

/// Appends the records of a closed request, with its results.
fn snapshot_ended(r: &Request, answer: &FinalAnswer, records: &mut Vec<Record>) {
    let mut push = |change| records.push(Record { request: r.no, change });
    push(Change::Accept { key: r.key.clone(), spec: r.spec.clone() });
    for (index, result) in r.results.iter() {
        let task = TaskId { request: r.no, index, attempt: 1 };
        push(Change::Ended { task, end: TaskEnd::Done(result.clone()) });
    }
    if r.cancelled {
        push(Change::Cancel);
    }
    push(Change::Close(answer.clone()));
}

/// Returns an end for an ended task without a result, so that a replay ends it again.
fn snapshot_end(r: &Request) -> TaskEnd {
    if r.uncertain > 0 {
        return TaskEnd::Lost;
    }
    if r.cancelled {
        return TaskEnd::Stopped("".into());
    }
    TaskEnd::Failed(r.message.to_string())
}
