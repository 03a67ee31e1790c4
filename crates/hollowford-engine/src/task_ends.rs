//! Ends of attempts and requests, both in operation and during recovery.

use crate::engine::Engine;
use crate::event::{Action, Change, FinalAnswer, Outcome, TaskEnd};
use crate::request::{Request, TaskState};
use crate::worker::WorkerIdx;
use hollowford_core::{ErrorKind, Kind, Millis, RequestNo, TaskId};

/// Number of worker restarts shortly after a start at which a repeatable task fails. The task
/// probably causes them, and would go on to crash one worker after another, with all tasks there.
const MAX_CRASHES: u32 = 4;

impl Engine {
    /// Returns the worker that holds this attempt; `None` if the attempt is not current.
    pub(crate) fn worker_of(&self, task: &TaskId) -> Option<WorkerIdx> {
        let r = self.requests.get(&task.request)?;
        let t = r.tasks.get(task.index as usize)?;
        if t.attempt == task.attempt { t.state.worker() } else { None }
    }

    /// Removes an attempt from its worker and frees its resources.
    pub(crate) fn remove_from_worker(&mut self, now: Millis, task: &TaskId) -> Option<WorkerIdx> {
        let w = self.worker_of(task)?;
        let held = self.workers.release(w, task);
        let r = self.requests.get_mut(&task.request)?;
        let t = &mut r.tasks[task.index as usize];
        if t.state == TaskState::Running(w) {
            r.running -= 1;
        }
        t.state = TaskState::Ended;
        r.active -= 1;
        let account = self.accounts.get_mut(r.account);
        account.update_past_share(now, &self.workers.total_capacity, self.policy.share_half_life);
        if held.is_some() {
            account.used.sub(&r.spec.per_task);
        }
        self.needs_pass = true;
        Some(w)
    }

    /// Makes a task wait again, ahead of the other waiting tasks of its request.
    pub(crate) fn requeue(&mut self, no: RequestNo, index: u32) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        r.tasks[index as usize].state = TaskState::Waiting;
        r.waiting.push_front(index);
        self.enqueue(no, true);
    }

    /// Withdraws an attempt that was never started.
    pub(crate) fn withdraw(&mut self, now: Millis, task: &TaskId, out: &mut Vec<Action>) {
        if self.remove_from_worker(now, task).is_none() {
            return;
        }
        self.stats.withdrawn += 1;
        self.append(task.request, Change::Withdrawn { task: *task }, out);
        self.after_withdrawn(now, task, out);
    }

    fn after_withdrawn(&mut self, now: Millis, task: &TaskId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&task.request) else {
            return;
        };
        if r.cancelled {
            self.close_if_ended(now, task.request, out);
            return;
        }
        let must_restart = r.is_gang() && !r.restarting;
        self.requeue(task.request, task.index);
        if must_restart {
            self.restart_gang(now, task.request, out);
        }
        self.finish_gang_restart(now, task.request, out);
    }

    /// Records the end of an attempt, then requeues the task or closes its request. Returns
    /// the position of the record.
    pub(crate) fn end_attempt(
        &mut self,
        now: Millis,
        task: &TaskId,
        end: TaskEnd,
        out: &mut Vec<Action>,
    ) -> u64 {
        self.remove_from_worker(now, task);
        self.count_end(&end);
        let change = Change::Ended { task: *task, end: end.clone() };
        let seq = self.append(task.request, change, out);
        let runs_again = self.apply_end(task, end);
        self.after_end(now, task, runs_again, out);
        seq
    }

    fn count_end(&mut self, end: &TaskEnd) {
        match end {
            TaskEnd::Done(_) => self.stats.done += 1,
            TaskEnd::Failed(_) => self.stats.failed += 1,
            TaskEnd::Lost | TaskEnd::Crashed => self.stats.lost += 1,
            TaskEnd::Stopped(_) => {}
        }
    }

    /// Applies the end of an attempt to its request. Returns true if the task runs again.
    pub(crate) fn apply_end(&mut self, task: &TaskId, end: TaskEnd) -> bool {
        let max_attempts = self.policy.max_attempts;
        let Some(r) = self.requests.get_mut(&task.request) else {
            return false;
        };
        r.begun = true;
        let may_repeat = r.spec.repeatable && !r.cancelled;
        let service = r.is_service();
        match end {
            TaskEnd::Done(_) if service => may_repeat,
            TaskEnd::Done(result) => {
                r.done += 1;
                r.results.insert(task.index, result);
                false
            }
            TaskEnd::Failed(message) => {
                let t = &mut r.tasks[task.index as usize];
                t.failures += 1;
                if may_repeat && (service || t.failures < max_attempts) {
                    return true;
                }
                r.failed += 1;
                r.message = message.as_str().into();
                false
            }
            TaskEnd::Stopped(checkpoint) => {
                if may_repeat {
                    r.tasks[task.index as usize].checkpoint =
                        Some(checkpoint).filter(|c| !c.is_empty());
                }
                apply_stop(r, may_repeat)
            }
            TaskEnd::Lost => {
                if !r.spec.repeatable {
                    r.uncertain += 1;
                }
                may_repeat
            }
            TaskEnd::Crashed => apply_crash(r, task.index, may_repeat),
        }
    }

    fn after_end(&mut self, now: Millis, task: &TaskId, runs_again: bool, out: &mut Vec<Action>) {
        let no = task.request;
        let Some(r) = self.requests.get(&no) else {
            return;
        };
        let done = r.results.contains(task.index);
        let must_restart = r.is_gang() && !r.restarting && !r.cancelled && !done;
        if runs_again {
            self.back_off(now, task);
            self.requeue(no, task.index);
        }
        if must_restart {
            self.restart_gang(now, no, out);
        }
        self.finish_gang_restart(now, no, out);
        self.close_if_ended(now, no, out);
        self.mark_changed(no, out);
    }

    /// Delays the next attempt after a failure or crash, with exponential backoff.
    fn back_off(&mut self, now: Millis, task: &TaskId) {
        const MAX_DOUBLINGS: u32 = 10;
        let p = &self.policy;
        let Some(r) = self.requests.get_mut(&task.request) else {
            return;
        };
        let t = &r.tasks[task.index as usize];
        let failures = t.failures + t.crashes;
        if failures == 0 {
            return;
        }
        let wait = p.retry_backoff.0 << (failures - 1).min(MAX_DOUBLINGS);
        r.not_before = r.not_before.max(now + Millis(wait.min(p.retry_backoff_max.0)));
        self.retry_times.insert((r.not_before, task.request));
    }

    /// Closes a request that has neither waiting tasks nor tasks on a worker.
    pub(crate) fn close_if_ended(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&no) else {
            return;
        };
        if r.answer.is_some() || r.active > 0 || !r.waiting.is_empty() {
            return;
        }
        let answer = final_answer(r);
        self.close(now, no, answer, out);
    }

    /// Appends the final answer to the ledger and closes the request.
    pub(crate) fn close(
        &mut self,
        now: Millis,
        no: RequestNo,
        answer: FinalAnswer,
        out: &mut Vec<Action>,
    ) {
        let seq = self.append(no, Change::Close(answer.clone()), out);
        self.apply_close(now, no, answer, seq);
        self.mark_changed_when_durable(no, seq);
        if self.is_write_behind(no) {
            self.mark_changed(no, out);
        }
    }

    /// Applies the final answer to the request.
    pub(crate) fn apply_close(
        &mut self,
        now: Millis,
        no: RequestNo,
        answer: FinalAnswer,
        seq: u64,
    ) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        if r.answer.is_some() {
            return;
        }
        r.answer = Some(answer);
        r.answer_seq = seq;
        r.release_memory();
        self.accounts.get_mut(r.account).open -= 1;
        self.open -= 1;
        self.kept_answers.push_back((now, no));
        self.drop_reservation(no);
    }
}

/// Applies a stop to the request. A task that may not run again and was not cancelled has
/// failed. Returns true if the task runs again.
fn apply_stop(r: &mut Request, may_repeat: bool) -> bool {
    if !may_repeat && !r.cancelled {
        r.failed += 1;
        if r.message.is_empty() {
            r.message = "stopped by the scheduler".into();
        }
    }
    may_repeat
}

/// Applies a restart of the worker during the attempt to the request. The task fails at
/// [`MAX_CRASHES`]; a service is started again, with growing delays. Returns true if the
/// task runs again.
fn apply_crash(r: &mut Request, index: u32, may_repeat: bool) -> bool {
    let crashes = &mut r.tasks[index as usize].crashes;
    *crashes += 1;
    let crashed_too_often = r.spec.kind != Kind::Service && *crashes >= MAX_CRASHES;
    if !r.spec.repeatable {
        r.uncertain += 1;
    } else if may_repeat && crashed_too_often {
        r.failed += 1;
        r.message =
            format!("{MAX_CRASHES} workers restarted shortly after they started the task").into();
    }
    may_repeat && !crashed_too_often
}

fn final_answer(r: &Request) -> FinalAnswer {
    let (outcome, reason) = if r.uncertain > 0 {
        (Outcome::MayHaveRun, ErrorKind::Unknown.info().name)
    } else if r.cancelled && (r.done as usize) < r.tasks.len() {
        (Outcome::Cancelled, "")
    } else if r.failed > 0 {
        (Outcome::Failed, ErrorKind::Failed.info().name)
    } else {
        (Outcome::Done, "")
    };
    FinalAnswer { outcome, reason: reason.into(), message: r.message.clone(), had_begun: r.begun }
}
