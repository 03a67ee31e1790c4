//! Running and ended tasks that workers report.

use crate::accounts::NO_ACCOUNT;
use crate::engine::Engine;
use crate::event::Event;
use crate::held_task::{HeldTask, Phase};
use crate::job::{JobState, TaskCopy, count_failure};
use crate::order::{End, EndKind, Running};
use crate::spec::{JobId, StepSpec, TaskKey};
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::{Millis, Resources};
use std::sync::Arc;

/// Minimum pause before a service task that has ended is started again.
const SERVICE_RESTART_DELAY: Millis = Millis(200);

impl Engine {
    /// Processes a report that a task runs.
    pub(crate) fn process_running(&mut self, idx: WorkerIdx, r: &Running, now: Millis) {
        self.jobs.mark_started(r.task.step.job);
        let Some(w) = self.workers.get_mut(idx) else { return };
        if let Some(h) = w.unlisted_ends.remove(&(r.task, r.run)) {
            w.hold(h);
        }
        if let Some(h) = w.find_mut(r.task, r.run) {
            h.mark_started(now);
            let (stable, cleared) = (h.becomes_stable(now), h.becomes_cleared(now));
            self.record_progress(idx, r, now);
            let p = Placement { idx, task: r.task, run: r.run };
            if cleared {
                self.clear_crash_record(r.task);
            } else if stable {
                self.record_stable(p);
            }
            self.record_checkpoint(r.task, &r.saved);
            return;
        }
        let worker = w.life.clone();
        if self.adopt(idx, r, now) {
            self.events.push(Event::TaskAdopted { task: r.task, run: r.run, worker });
            self.record_progress(idx, r, now);
            self.record_checkpoint(r.task, &r.saved);
        } else {
            self.hold_foreign(idx, r, now);
        }
    }

    /// Adopts a task that an earlier owner started. Returns false if it should not run here.
    fn adopt(&mut self, idx: WorkerIdx, r: &Running, now: Millis) -> bool {
        let key = r.task;
        let run_time = self.expected_run_time_on(key.step, idx);
        let Some(job) = self.jobs.get_mut(key.step.job).filter(|j| j.end.is_none()) else {
            return false;
        };
        let (spec, account) = (job.spec.clone(), job.account);
        let Some(step_spec) = spec.steps.get(key.step.step as usize) else { return false };
        let may_be_copied = step_spec.allows_copies();
        let takes_copies = may_be_copied && self.features.task_copies;
        let Some(step) = self.jobs.step_mut(key.step) else { return false };
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return false };
        // Of two runs, the one with the lower number may be found last.
        let may_be_current = task.worker.is_none() && r.run >= task.last_run;
        let is_other = |t: TaskCopy| t.worker != idx && t.run != r.run;
        let may_be_either = takes_copies && task.copy.is_none() && task.runs().all(is_other);
        if task.done || !(may_be_current || may_be_either) {
            return false;
        }
        if task.worker.is_some() {
            task.unsettled_copy = false;
        }
        task.place_run(idx, r.run);
        task.unsettled = false;
        let (suspect, copy) = (task.is_suspect(), task.copy);
        let held = HeldTask {
            // How long it has run already is unknown; half of the run time is assumed.
            expected_end: now + Millis(run_time.0 / 2),
            suspect,
            may_be_copied,
            ..HeldTask::new((key, r.run), account, step_spec.allocation(), Phase::Running, now)
        };
        if let Some(w) = self.workers.get_mut(idx) {
            w.hold(held);
        }
        if let Some(copy) = copy
            && let Some(h) =
                self.workers.get_mut(copy.worker).and_then(|w| w.find_mut(key, copy.run))
        {
            h.is_copy = true;
        }
        self.record_open_run(Placement { idx, task: key, run: r.run });
        true
    }

    /// Stops a task that should not run, and keeps new tasks off the worker until it has ended.
    fn hold_foreign(&mut self, idx: WorkerIdx, r: &Running, now: Millis) {
        let id = r.task.step.job;
        let name = self.account_of(id).unwrap_or(NO_ACCOUNT).to_owned();
        let account = self.accounts.intern(&name);
        let spec = self.jobs.get(id).map(|j| j.spec.clone());
        let step = spec.as_ref().and_then(|s| s.steps.get(r.task.step.step as usize));
        let Some(w) = self.workers.get_mut(idx) else { return };
        // The resources of a task of an ended job are unknown, and the worker's capacity may be
        // unknown too: nothing fits beside it.
        let allocation = step.map_or(Resources::ALL, StepSpec::allocation);
        w.hold(HeldTask::new((r.task, r.run), account, allocation, Phase::Stopping, now));
        self.events.push(Event::ForeignTask { task: r.task, run: r.run, worker: w.life.clone() });
        self.stats.foreign += 1;
    }

    fn record_checkpoint(&mut self, key: TaskKey, saved: &Arc<str>) {
        if saved.is_empty() {
            return;
        }
        if let Some(task) = self.jobs.task_mut(key) {
            task.saved = Some(saved.clone());
        }
    }

    /// Processes a report that a task has ended.
    pub(crate) fn process_end(&mut self, idx: WorkerIdx, end: &End, now: Millis) {
        let held = self.release_ended(idx, end);
        let key = end.task;
        self.jobs.mark_started(key.step.job);
        let Some(job) = self.jobs.get(key.step.job).filter(|j| j.end.is_none()) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(step_spec) = spec.steps.get(key.step.step as usize) else { return };
        let Some(task) = self.jobs.task_mut(key) else { return };
        if task.done {
            // The run of a copy, or of a task of which another run was done first.
            task.remove_run(idx, end.run);
            return;
        }
        let is_current = task.has_run(idx, end.run);
        let is_newest = task.worker.is_none() && end.run >= task.last_run;
        // Ends of earlier runs count too: an earlier owner may not have stored them.
        let counts = matches!(end.kind, EndKind::Done | EndKind::Failed);
        if !(is_current || is_newest || counts) {
            return;
        }
        if is_current {
            self.learn_run_time(idx, end, held.as_ref(), step_spec, now);
            self.unplace(Placement { idx, task: key, run: end.run }, now);
        }
        if let Some(task) = self.jobs.task_mut(key) {
            task.record_run_number(end.run);
        }
        self.close_run(key, end.run);
        self.record_checkpoint(key, &end.saved);
        self.record_health(idx, end, now);
        self.apply_end(idx, end, step_spec, now);
        self.end_job_if_exhausted(key, now);
        if step_spec.gang {
            // What concerns the whole gang is stored with its first task.
            self.jobs.mark_task_unwritten(key.step.task(0));
        }
        self.jobs.mark_task_unwritten(key);
        self.needs_pass = true;
    }

    /// Releases the resources of a task that has ended on a worker.
    fn release_ended(&mut self, idx: WorkerIdx, end: &End) -> Option<HeldTask> {
        let w = self.workers.get_mut(idx)?;
        let held = w.release_run(end.task, end.run);
        self.needs_pass |= held.is_some();
        self.events.push(Event::TaskEnded {
            task: end.task,
            run: end.run,
            worker: w.life.clone(),
            kind: end.kind,
            number: end.number,
            expected: held.is_some(),
        });
        if held.as_ref().is_some_and(|h| h.is_copy) {
            self.count_copy_end(end.task, Some(end.kind));
        }
        held
    }

    /// Applies the consequences of an end for the task and its job.
    fn apply_end(&mut self, idx: WorkerIdx, end: &End, spec: &StepSpec, now: Millis) {
        match end.kind {
            EndKind::Done if !spec.service => self.task_done(end.task, spec.gang, now),
            EndKind::Failed if !spec.service => self.task_failed(idx, end, spec, now),
            EndKind::Done | EndKind::Failed => self.service_task_ended(end.task, now),
            _ => self.stats.interrupted += 1,
        }
    }

    fn record_health(&mut self, idx: WorkerIdx, end: &End, now: Millis) {
        if matches!(end.kind, EndKind::Done | EndKind::Failed) {
            self.failure_rate.record(end.kind == EndKind::Failed);
        }
        let quarantine_threshold = self.failure_rate.quarantine_threshold();
        let Some(w) = self.workers.get_mut(idx) else { return };
        match end.kind {
            EndKind::Done => w.health.record_success(),
            EndKind::Failed
                if w.health.record_failure(end.task.step.job, quarantine_threshold, now) =>
            {
                self.events.push(Event::WorkerQuarantined { worker: w.life.clone() });
                self.stats.put_aside += 1;
            }
            _ => {}
        }
    }

    fn service_task_ended(&mut self, key: TaskKey, now: Millis) {
        self.stats.interrupted += 1;
        if let Some(task) = self.jobs.task_mut(key) {
            task.not_before = now + SERVICE_RESTART_DELAY;
        }
    }

    fn task_done(&mut self, key: TaskKey, gang: bool, now: Millis) {
        self.stats.done += 1;
        let Some(step) = self.jobs.step_mut(key.step) else { return };
        if gang {
            // The end of one member completes the whole gang. The ends of the others only release
            // resources.
            step.tasks.iter_mut().for_each(|t| t.done = true);
            step.remaining = 0;
        } else if let Some(task) = step.tasks.get_mut(key.index as usize) {
            task.done = true;
            task.copied |= task.unsettled_copy;
            step.remaining -= 1;
        }
        let step_done = step.is_done();
        let other_runs: Vec<_> = step.tasks[key.index as usize].runs().filter(|_| !gang).collect();
        for other in other_runs {
            self.mark_stopping(other.worker, key);
        }
        if step_done {
            self.jobs.mark_all_steps_waiting(key.step.job);
        }
        self.complete_job_if_done(key.step.job, now);
    }

    fn complete_job_if_done(&mut self, id: JobId, now: Millis) {
        if self.jobs.get(id).is_some_and(|j| j.is_done()) {
            self.end_job(id, JobState::Completed, now);
        }
    }

    fn task_failed(&mut self, idx: WorkerIdx, end: &End, spec: &StepSpec, now: Millis) {
        let (key, run) = (end.task, end.run);
        self.stats.failed += 1;
        let max_attempts = self.max_attempts(key.step.job);
        let Some(step) = self.jobs.step_mut(key.step) else { return };
        if spec.gang {
            if count_failure(&mut step.failed_gang_runs, run) >= max_attempts {
                self.end_job(key.step.job, JobState::Failed, now);
            }
            return;
        }
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
        task.avoid_worker(idx, now);
        let failures = count_failure(&mut task.failed_runs, run);
        // Another run of the task may still succeed if the step allows copies. Without them, a
        // failure of an earlier run that is reported late ends the job too.
        if failures >= max_attempts && !spec.allows_copies() {
            self.end_job(key.step.job, JobState::Failed, now);
        }
    }

    /// Fails the job of a task that has used up its attempts and has no run left, in a step that
    /// allows copies.
    pub(crate) fn end_job_if_exhausted(&mut self, key: TaskKey, now: Millis) {
        let max_attempts = self.max_attempts(key.step.job);
        let is_exhausted = self.jobs.task(key).is_some_and(|t| t.is_exhausted(max_attempts));
        if is_exhausted && self.jobs.step_spec(key.step).is_some_and(StepSpec::allows_copies) {
            self.end_job(key.step.job, JobState::Failed, now);
        }
    }

    /// Ends the jobs that have failed as often as their queues allow. Their queues may not have
    /// been known to this owner when the failures were counted.
    pub(crate) fn end_exhausted(&mut self, now: Millis) {
        for id in self.jobs.ids() {
            let max_attempts = self.max_attempts(id);
            if self.jobs.get(id).is_some_and(|j| j.is_exhausted(max_attempts)) {
                self.end_job(id, JobState::Failed, now);
            }
        }
    }

    pub(crate) fn max_attempts(&self, id: JobId) -> u32 {
        let queue = self.jobs.get(id).and_then(|j| self.queues.get(&j.queue));
        queue.map_or(u32::MAX, |q| q.max_attempts.max(1))
    }

    /// Records that a run is no longer on the worker.
    pub(crate) fn unplace(&mut self, p: Placement, now: Millis) {
        let Some(task) = self.jobs.task_mut(p.task) else { return };
        if !task.remove_run(p.idx, p.run) {
            return;
        }
        self.jobs.mark_step_waiting(p.task.step);
        let Some(step) = self.jobs.step_mut(p.task.step) else { return };
        if step.tasks.iter().all(|t| t.worker.is_none()) {
            step.restarting = false;
        }
        step.gang_changed_at = now;
    }

    /// Marks all held tasks of a job as stopping.
    pub(crate) fn stop_job(&mut self, id: JobId) {
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get_mut(idx) else { continue };
            for h in w.held.iter_mut().filter(|h| h.task.step.job == id) {
                h.phase = Phase::Stopping;
            }
        }
    }

    pub(crate) fn mark_stopping(&mut self, idx: WorkerIdx, key: TaskKey) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        for h in w.held.iter_mut().filter(|h| h.task == key) {
            h.phase = Phase::Stopping;
        }
    }
}
