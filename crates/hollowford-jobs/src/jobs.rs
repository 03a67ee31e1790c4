//! The jobs of a partition.

use crate::accounts::AccountIdx;
use crate::crash_record::CrashRecord;
use crate::job::{Job, JobState, Step, Task};
use crate::spec::{JobId, StepKey, StepSpec, TaskKey};
use crate::write_queue::WriteQueue;
use hollowford_core::Millis;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeSet, VecDeque};

/// The final state of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedJob {
    pub state: JobState,
    pub at: Millis,
    pub account: AccountIdx,
}

/// Open jobs, and the final states of ended ones.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    open: FxHashMap<JobId, Job>,
    ended: FxHashMap<JobId, EndedJob>,
    /// Ended jobs in the order in which they ended.
    by_end: VecDeque<JobId>,
    /// Jobs with rows to write.
    pub write_queue: WriteQueue,
    /// Steps that may have tasks to start. A step is removed once a pass finds none.
    waiting: FxHashSet<StepKey>,
    /// Open jobs with a schedule.
    scheduled: BTreeSet<JobId>,
}

impl Jobs {
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.open.get(&id)
    }

    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.open.get_mut(&id)
    }

    pub fn insert(&mut self, job: Job) {
        let id = job.id;
        if job.spec.schedule.is_some() {
            self.scheduled.insert(id);
        }
        self.open.insert(id, job);
        self.mark_all_steps_waiting(id);
    }

    /// Removes an open job without recording an end.
    pub fn remove(&mut self, id: JobId) {
        self.open.remove(&id);
        self.write_queue.remove(id);
        self.scheduled.remove(&id);
    }

    /// Marks a step as possibly having tasks to start.
    pub fn mark_step_waiting(&mut self, key: StepKey) {
        self.waiting.insert(key);
    }

    /// Marks all steps of a job as possibly having tasks to start.
    pub fn mark_all_steps_waiting(&mut self, id: JobId) {
        let Some(job) = self.open.get(&id) else { return };
        for round in &job.rounds {
            let key = |step| StepKey { job: id, round: round.number, step };
            self.waiting.extend((0..round.steps.len() as u32).map(key));
        }
    }

    /// Returns the steps that may have tasks to start.
    pub fn waiting(&self) -> impl Iterator<Item = &StepKey> {
        self.waiting.iter()
    }

    /// Takes the steps that may have tasks to start; `restore_waiting` puts back those that do.
    pub fn take_waiting(&mut self) -> FxHashSet<StepKey> {
        std::mem::take(&mut self.waiting)
    }

    /// Adds steps that still have tasks to start to the waiting ones.
    pub fn restore_waiting(&mut self, steps: FxHashSet<StepKey>) {
        if self.waiting.is_empty() {
            self.waiting = steps;
        } else {
            self.waiting.extend(steps);
        }
    }

    /// Returns the open jobs with a schedule.
    pub fn scheduled(&self) -> Vec<JobId> {
        self.scheduled.iter().copied().collect()
    }

    pub fn open(&self) -> impl Iterator<Item = &Job> {
        self.open.values()
    }

    pub fn open_len(&self) -> usize {
        self.open.len()
    }

    pub fn ids(&self) -> Vec<JobId> {
        self.open.keys().copied().collect()
    }

    pub fn ended(&self, id: JobId) -> Option<EndedJob> {
        self.ended.get(&id).copied()
    }

    /// Replaces an open job by its final state.
    pub fn close(&mut self, id: JobId, ended: EndedJob) {
        self.open.remove(&id);
        self.scheduled.remove(&id);
        if self.ended.insert(id, ended).is_none() {
            self.by_end.push_back(id);
        }
    }

    /// Removes at most `limit` jobs that ended before `before`, and returns them.
    pub fn expire(&mut self, before: Millis, limit: usize) -> Vec<JobId> {
        let mut out = Vec::new();
        while out.len() < limit {
            let Some(&id) = self.by_end.front() else { break };
            if self.ended.get(&id).is_some_and(|e| e.at >= before) {
                break;
            }
            self.by_end.pop_front();
            self.ended.remove(&id);
            out.push(id);
        }
        out
    }

    /// Returns the specification of a step of an open job.
    pub fn step_spec(&self, key: StepKey) -> Option<&StepSpec> {
        self.open.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    pub fn step(&self, key: StepKey) -> Option<&Step> {
        self.open.get(&key.job)?.round(key.round)?.steps.get(key.step as usize)
    }

    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut Step> {
        self.open.get_mut(&key.job)?.round_mut(key.round)?.steps.get_mut(key.step as usize)
    }

    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.step(key.step)?.tasks.get(key.index as usize)
    }

    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.step_mut(key.step)?.tasks.get_mut(key.index as usize)
    }

    /// Returns the crash record of a task for a change, and creates it if there is none. Marks the
    /// task's progress as changed, so that what the task may wait for is always written.
    pub fn crash_record_mut(
        &mut self,
        key: TaskKey,
        store_first: bool,
    ) -> Option<&mut CrashRecord> {
        self.mark_task_unwritten(key);
        self.get_mut(key.step.job)?.crash_record_mut(key, store_first)
    }

    /// Records that a worker has started a task of a job. An order to start one doesn't count,
    /// because the worker may be down and callers query how many jobs are waiting.
    pub fn mark_started(&mut self, id: JobId) {
        if let Some(job) = self.open.get_mut(&id) {
            job.started = true;
        }
    }

    /// Marks the progress of a task as changed, so that it is written with a later batch.
    pub fn mark_task_unwritten(&mut self, key: TaskKey) {
        self.mark_unwritten(key.step.job, |job| job.mark_task_unwritten(key));
    }

    /// Marks the rounds of a job as changed that have become due from number `first` on.
    pub fn mark_rounds_unwritten(&mut self, id: JobId, first: u32) {
        self.mark_unwritten(id, |job| job.mark_rounds_unwritten(first));
    }

    /// Marks all progress of a job as changed.
    pub fn mark_all_unwritten(&mut self, id: JobId) {
        self.mark_unwritten(id, Job::mark_all_unwritten);
    }

    fn mark_unwritten(&mut self, id: JobId, mark: impl FnOnce(&mut Job)) {
        if let Some(job) = self.open.get_mut(&id) {
            mark(job);
            self.write_queue.add_background(id);
        }
    }
}
