//! Tasks that run and end, as the workers tell it.

use crate::accounts::NO_ACCOUNT;
use crate::engine::Engine;
use crate::held::{Held, Phase};
use crate::job::{JobState, count_failure};
use crate::note::Note;
use crate::order::{End, EndKind, Running};
use crate::spec::{JobId, StepSpec, TaskKey};
use crate::workers::{Placement, WorkerIdx};
use hollowford_core::{Millis, Resources};
use std::sync::Arc;

/// Shortest time between two runs of a task that lasts, after one that failed.
const LASTING_BACKOFF: Millis = Millis(200);

impl Engine {
    /// Takes in that a task runs.
    pub(crate) fn take_running(&mut self, idx: WorkerIdx, r: &Running, now: Millis) {
        self.jobs.has_begun(r.task.step.job);
        let Some(w) = self.workers.get_mut(idx) else { return };
        if let Some(h) = w.find_mut(r.task, r.run) {
            h.has_begun(now);
            let (worked, proven) = (h.has_newly_worked(now), h.is_newly_proven(now));
            self.note_progress(idx, r, now);
            let p = Placement { idx, task: r.task, run: r.run };
            if proven {
                self.clear_proven(p);
            } else if worked {
                self.note_worked(p);
            }
            self.note_saved(r.task, &r.saved);
            return;
        }
        let worker = w.life.clone();
        if self.adopt(idx, r, now) {
            self.events.push(Note::Adopted { task: r.task, run: r.run, worker });
            self.note_progress(idx, r, now);
            self.note_saved(r.task, &r.saved);
        } else {
            self.hold_foreign(idx, r, now);
        }
    }

    /// Takes over a task that an earlier owner started. Tells whether it should run here.
    fn adopt(&mut self, idx: WorkerIdx, r: &Running, now: Millis) -> bool {
        let key = r.task;
        let Some(job) = self.jobs.get_mut(key.step.job).filter(|j| j.end.is_none()) else {
            return false;
        };
        let (spec, account) = (job.spec.clone(), job.account);
        let Some(step_spec) = spec.steps.get(key.step.step as usize) else { return false };
        let Some(step) = self.jobs.step_mut(key.step) else { return false };
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return false };
        if task.done || task.at.is_some() || r.run < task.run {
            return false;
        }
        task.at = Some(idx);
        task.run = r.run;
        task.unsettled = false;
        let suspect = task.is_suspect();
        let held = Held {
            // How long it has run already is not known.
            expected_end: now + Millis(step_spec.estimate_ms / 2),
            suspect,
            ..Held::new((key, r.run), account, step_spec.allocation(), Phase::Running, now)
        };
        if let Some(w) = self.workers.get_mut(idx) {
            w.hold(held);
        }
        self.note_open_run(Placement { idx, task: key, run: r.run });
        true
    }

    /// Keeps a worker from new work while it runs what it should not, and stops that.
    fn hold_foreign(&mut self, idx: WorkerIdx, r: &Running, now: Millis) {
        let id = r.task.step.job;
        let name = self.account_of(id).unwrap_or(NO_ACCOUNT).to_owned();
        let account = self.accounts.intern(&name);
        let spec = self.jobs.get(id).map(|j| j.spec.clone());
        let step = spec.as_ref().and_then(|s| s.steps.get(r.task.step.step as usize));
        let Some(w) = self.workers.get_mut(idx) else { return };
        // What a job that has ended takes is not known any more, and the worker's size may not
        // be known yet: nothing fits beside it.
        let room = step.map_or(Resources::ALL, StepSpec::allocation);
        w.hold(Held::new((r.task, r.run), account, room, Phase::Stopping, now));
        self.events.push(Note::Foreign { task: r.task, run: r.run, worker: w.life.clone() });
        self.stats.foreign += 1;
    }

    fn note_saved(&mut self, key: TaskKey, saved: &Arc<str>) {
        if saved.is_empty() {
            return;
        }
        if let Some(task) = self.jobs.task_mut(key) {
            task.saved = Some(saved.clone());
        }
    }

    /// Takes in that a task has ended.
    pub(crate) fn take_end(&mut self, idx: WorkerIdx, end: &End, now: Millis) {
        self.release_ended(idx, end);
        let key = end.task;
        self.jobs.has_begun(key.step.job);
        let Some(job) = self.jobs.get(key.step.job).filter(|j| j.end.is_none()) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(step_spec) = spec.steps.get(key.step.step as usize) else { return };
        let Some(task) = self.jobs.task(key) else { return };
        let here = task.at == Some(idx) && task.run == end.run;
        let earlier = task.at.is_none() && end.run >= task.run;
        // Ends of earlier runs count, too: an earlier owner may not have written them down.
        let counts = matches!(end.kind, EndKind::Done | EndKind::Failed);
        if task.done || !(here || earlier || counts) {
            return;
        }
        if here {
            self.unplace(Placement { idx, task: key, run: end.run }, now);
        }
        if let Some(task) = self.jobs.task_mut(key) {
            task.run = task.run.max(end.run);
        }
        self.close_run(key, end.run);
        self.note_saved(key, &end.saved);
        self.note_health(idx, end, now);
        self.count_end(idx, end, step_spec, now);
        self.jobs.progressed(key.step.job);
        self.needs_pass = true;
    }

    /// Frees the room of a task that has ended on a worker.
    fn release_ended(&mut self, idx: WorkerIdx, end: &End) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        let held = w.find(end.task, end.run).map(|at| w.release(at));
        self.needs_pass |= held.is_some();
        self.events.push(Note::Ended {
            task: end.task,
            run: end.run,
            worker: w.life.clone(),
            kind: end.kind,
            number: end.number,
            expected: held.is_some(),
        });
    }

    /// Draws from an end what it means for the task and its job.
    fn count_end(&mut self, idx: WorkerIdx, end: &End, spec: &StepSpec, now: Millis) {
        match end.kind {
            EndKind::Done if !spec.service => self.task_done(end.task, spec.gang, now),
            EndKind::Failed if !spec.service => self.task_failed(idx, end, spec, now),
            EndKind::Done | EndKind::Failed => self.lasting_ended(end.task, now),
            _ => self.stats.interrupted += 1,
        }
    }

    fn note_health(&mut self, idx: WorkerIdx, end: &End, now: Millis) {
        if matches!(end.kind, EndKind::Done | EndKind::Failed) {
            self.failure_rate.note(end.kind == EndKind::Failed);
        }
        let telling = self.failure_rate.telling();
        let Some(w) = self.workers.get_mut(idx) else { return };
        match end.kind {
            EndKind::Done => w.health.success(),
            EndKind::Failed if w.health.failure(end.task.step.job, telling, now) => {
                self.events.push(Note::PutAside { worker: w.life.clone() });
                self.stats.put_aside += 1;
            }
            _ => {}
        }
    }

    fn lasting_ended(&mut self, key: TaskKey, now: Millis) {
        self.stats.interrupted += 1;
        if let Some(task) = self.jobs.task_mut(key) {
            task.not_before = now + LASTING_BACKOFF;
        }
    }

    fn task_done(&mut self, key: TaskKey, gang: bool, now: Millis) {
        self.stats.done += 1;
        let Some(step) = self.jobs.step_mut(key.step) else { return };
        if gang {
            // One such end stands for all members; their own ends only free their room.
            step.tasks.iter_mut().for_each(|t| t.done = true);
            step.left = 0;
        } else if let Some(task) = step.tasks.get_mut(key.index as usize) {
            task.done = true;
            step.left -= 1;
        }
        let step_done = step.done();
        let elsewhere = step.tasks[key.index as usize].at;
        if let Some(other) = elsewhere.filter(|_| !gang) {
            self.order_stop(other, key);
        }
        if step_done {
            self.jobs.rounds_wait(key.step.job);
        }
        self.job_may_be_done(key.step.job, now);
    }

    fn job_may_be_done(&mut self, id: JobId, now: Millis) {
        if self.jobs.get(id).is_some_and(|j| j.all_done()) {
            self.end_job(id, JobState::Completed, now);
        }
    }

    fn task_failed(&mut self, idx: WorkerIdx, end: &End, spec: &StepSpec, now: Millis) {
        let (key, run) = (end.task, end.run);
        self.stats.failed += 1;
        let most = self.max_attempts(key.step.job);
        let Some(step) = self.jobs.step_mut(key.step) else { return };
        let failures = if spec.gang {
            count_failure(&mut step.gang_failed, run)
        } else {
            let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
            task.keep_off(idx, now);
            count_failure(&mut task.failed_runs, run)
        };
        if failures >= most {
            self.end_job(key.step.job, JobState::Failed, now);
        }
    }

    /// Ends the jobs that have failed as often as their queues allow: when they did, this owner may
    /// not have known their queues yet.
    pub(crate) fn end_exhausted(&mut self, now: Millis) {
        for id in self.jobs.ids() {
            let most = self.max_attempts(id);
            if self.jobs.get(id).is_some_and(|j| j.is_exhausted(most)) {
                self.end_job(id, JobState::Failed, now);
            }
        }
    }

    fn max_attempts(&self, id: JobId) -> u32 {
        let queue = self.jobs.get(id).and_then(|j| self.queues.get(&j.queue));
        queue.map_or(u32::MAX, |q| q.max_attempts.max(1))
    }

    /// Takes note that a task doesn't run on the worker any more.
    pub(crate) fn unplace(&mut self, p: Placement, now: Millis) {
        let Some(task) = self.jobs.task_mut(p.task) else { return };
        if task.at != Some(p.idx) || task.run != p.run {
            return;
        }
        task.at = None;
        self.jobs.step_waits(p.task.step);
        let Some(step) = self.jobs.step_mut(p.task.step) else { return };
        if step.tasks.iter().all(|t| t.at.is_none()) {
            step.regroup = false;
        }
        step.gang_since = now;
    }

    /// Stops everything of a job that runs.
    pub(crate) fn stop_job(&mut self, id: JobId) {
        for idx in self.workers.indexes() {
            let Some(w) = self.workers.get_mut(idx) else { continue };
            for h in w.held.iter_mut().filter(|h| h.task.step.job == id) {
                h.phase = Phase::Stopping;
            }
        }
    }

    /// Stops a task on a worker.
    pub(crate) fn order_stop(&mut self, idx: WorkerIdx, key: TaskKey) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        for h in w.held.iter_mut().filter(|h| h.task == key) {
            h.phase = Phase::Stopping;
        }
    }
}
