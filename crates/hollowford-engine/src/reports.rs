//! Reports of workers about their tasks.

use crate::engine::Engine;
use crate::event::{Action, EndReport, TaskEnd, TaskUsage};
use crate::request::{Request, TaskState};
use crate::worker::WorkerIdx;
use hollowford_core::{InstanceId, Millis, TaskId};

/// Maximum tolerated usage of a resource, in percent of the declared amount.
const MAX_USE_PERCENT: u32 = 110;

impl Engine {
    /// Records a reading of a worker's clock.
    pub fn record_clock(&mut self, now: Millis, worker: &InstanceId, clock: u64) {
        if let Some(idx) = self.workers.find(worker) {
            let w = self.workers.get_mut_unindexed(idx);
            w.clock = clock;
            w.clock_read_at = now;
        }
    }

    /// Records that a task has started. A task that is not expected there is stopped.
    pub fn task_started(
        &mut self,
        now: Millis,
        worker: &InstanceId,
        task: &TaskId,
        out: &mut Vec<Action>,
    ) {
        let Some(idx) = self.workers.find(worker) else {
            return;
        };
        if self.worker_of(task) != Some(idx) {
            self.stats.stale_reports += 1;
            out.push(Action::Stop { worker: worker.clone(), task: *task, checkpoint: false });
            return;
        }
        let Some(r) = self.requests.get_mut(&task.request) else {
            return;
        };
        r.begun = true;
        let t = &mut r.tasks[task.index as usize];
        if t.state == TaskState::Starting(idx) {
            t.state = TaskState::Running(idx);
            t.since = now;
            r.running += 1;
        }
        if r.first_start.is_none() {
            r.first_start = Some(now);
            out.push(Action::FirstStart {
                kind: r.spec.kind,
                urgent: r.spec.urgent,
                waited: now.since(r.accepted_at),
            });
        }
        self.mark_changed(task.request, out);
    }

    /// Records the end of a task. The worker may forget it once the record is durable.
    pub fn task_ended(
        &mut self,
        now: Millis,
        worker: &InstanceId,
        report: &EndReport,
        out: &mut Vec<Action>,
    ) {
        let Some(idx) = self.workers.find(worker) else {
            return;
        };
        let task = report.task;
        if self.worker_of(&task) != Some(idx) {
            self.unknown_task_ended(idx, &task);
            return;
        }
        let end = self.effective_end(&task, &report.end);
        self.update_health(now, idx, &task, &end);
        let seq = self.end_attempt(now, &task, end, out);
        self.pending_forgets.push_back((seq, worker.clone(), task));
    }

    /// Returns the end that counts: a task that was stopped because of its memory usage has
    /// failed.
    fn effective_end(&self, task: &TaskId, end: &TaskEnd) -> TaskEnd {
        let overused = |r: &&Request| {
            let failures = r.tasks[task.index as usize].failures;
            !r.cancelled && failures >= self.policy.max_attempts
        };
        match (end, self.requests.get(&task.request).filter(overused)) {
            (TaskEnd::Stopped(_), Some(r)) => TaskEnd::Failed(r.message.to_string()),
            _ => end.clone(),
        }
    }

    /// Handles the end of an attempt that is not placed on the worker: the task was foreign, or
    /// its end is already recorded.
    pub(crate) fn unknown_task_ended(&mut self, idx: WorkerIdx, task: &TaskId) {
        let foreign = self.workers.get(idx).foreign.iter().any(|h| h.task == *task);
        if foreign {
            self.workers.update(idx, |w| w.foreign.retain(|h| h.task != *task));
            self.needs_pass = true;
        } else {
            self.stats.stale_reports += 1;
        }
        // Any record appended so far may be about this task, so all must be durable first.
        let worker = self.workers.get(idx).id.clone();
        self.pending_forgets.push_back((self.next_seq - 1, worker, *task));
    }

    /// Records that a worker refused a start, so that the task never ran there.
    pub fn start_refused(
        &mut self,
        now: Millis,
        worker: &InstanceId,
        task: &TaskId,
        out: &mut Vec<Action>,
    ) {
        let Some(idx) = self.workers.find(worker) else {
            return;
        };
        if self.worker_of(task) != Some(idx) {
            self.stats.stale_reports += 1;
            return;
        }
        self.record_failure(now, idx, task.request);
        if let Some(r) = self.requests.get_mut(&task.request) {
            r.not_before = r.not_before.max(now + self.policy.retry_backoff);
            self.retry_times.insert((r.not_before, task.request));
        }
        self.withdraw(now, task, out);
    }

    /// Records the resource usage of a worker's tasks, and whether the instance is leaving.
    pub fn usage_reported(
        &mut self,
        now: Millis,
        worker: &InstanceId,
        leaving: bool,
        tasks: &[TaskUsage],
        out: &mut Vec<Action>,
    ) {
        let Some(idx) = self.workers.find(worker) else {
            return;
        };
        if leaving && !self.workers.get(idx).leaving {
            self.workers.update(idx, |w| w.leaving = true);
            self.stop_services(now, idx, out);
        }
        for usage in tasks {
            self.check_usage(now, idx, usage, out);
        }
    }

    /// Throttles a task that uses too much CPU; stops one that uses too much memory.
    fn check_usage(
        &mut self,
        now: Millis,
        idx: WorkerIdx,
        usage: &TaskUsage,
        out: &mut Vec<Action>,
    ) {
        if self.worker_of(&usage.task) != Some(idx) {
            return;
        }
        let Some(r) = self.requests.get_mut(&usage.task.request) else {
            return;
        };
        let declared = r.spec.per_task;
        let over = |used: u32, max: u32| {
            u64::from(used) * 100 > u64::from(max) * u64::from(MAX_USE_PERCENT)
        };
        if over(usage.memory_mib, declared.memory_mib) {
            let t = &mut r.tasks[usage.task.index as usize];
            // Another attempt would use as much, so no attempts are left.
            t.failures = t.failures.max(self.policy.max_attempts);
            r.message = format!(
                "stopped: the task used {} MiB of memory and declared {} MiB",
                usage.memory_mib, declared.memory_mib
            )
            .into();
            self.stop_task(now, usage.task.request, usage.task.index, false, out);
        } else if over(usage.cpu_milli, declared.cpu_milli) {
            out.push(Action::Throttle {
                worker: self.workers.get(idx).id.clone(),
                task: usage.task,
                cpu_milli: declared.cpu_milli,
            });
        }
    }

    /// Stops the services on a leaving worker, so that they start elsewhere.
    pub(crate) fn stop_services(&mut self, now: Millis, idx: WorkerIdx, out: &mut Vec<Action>) {
        let held_tasks: Vec<TaskId> = self.workers.get(idx).held.iter().map(|h| h.task).collect();
        for task in held_tasks {
            let service = self.requests.get(&task.request).is_some_and(|r| r.is_service());
            if service {
                self.stop_task(now, task.request, task.index, true, out);
            }
        }
    }
}
