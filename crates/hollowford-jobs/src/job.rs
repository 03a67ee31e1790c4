//! Jobs, their rounds, steps and tasks.

use crate::accounts::AccountIdx;
use crate::advice::StepAdvice;
use crate::crash_record::CrashRecord;
use crate::progress_segments::{SegmentLayout, StoredSegments, UnwrittenSegments};
use crate::spec::{JobId, JobSpec, StepSpec, TaskKey};
use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use std::sync::Arc;

/// Run numbers that each owner epoch may use for a task. A new owner can't know of starts that no
/// worker lists any more, so it uses higher numbers.
pub(crate) const RUNS_PER_EPOCH: u32 = 16;

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task or gang has failed too often, or has crashed too many workers.
    Failed,
    /// A caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns true if the job has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, JobState::Queued | JobState::Running)
    }
}

/// Reference to an end that a worker keeps until the end's effects are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndRef {
    pub worker: WorkerIdx,
    /// The worker's number of the end.
    pub number: u64,
}

/// An end whose effects are in no batch yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnwrittenEnd {
    pub end: EndRef,
    /// Number of the last of its effects; see [`UnwrittenSegments`].
    pub number: u64,
}

/// One task of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub done: bool,
    /// Number of the run on `worker`, or of the last one there.
    pub run: u32,
    /// Highest known run number, over both runs.
    pub last_run: u32,
    /// Failed runs. Each run counts once: a worker may report an end again, for example to a new
    /// owner.
    pub failed_runs: Vec<u32>,
    /// Crashes and open runs; set if a worker has crashed under the task or may have.
    pub crash_record: Option<Box<CrashRecord>>,
    pub saved: Option<Arc<str>>,
    /// The worker on which it runs or may run.
    pub worker: Option<WorkerIdx>,
    /// The second of its runs; set only while `worker` is.
    pub copy: Option<TaskCopy>,
    /// Whether it has ever had two runs.
    pub copied: bool,
    /// The worker on which it last failed; other workers are tried first.
    pub avoid: Option<AvoidedWorker>,
    /// Whether it may run on a worker that this owner has not claimed yet.
    pub unsettled: bool,
    /// Whether a further run of it may be on a worker that this owner has not claimed yet.
    pub unsettled_copy: bool,
    /// Earliest time of the next start.
    pub not_before: Millis,
}

/// The second of two simultaneous runs of a task. Its run number is the higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskCopy {
    /// The worker on which it runs or may run.
    pub worker: WorkerIdx,
    pub run: u32,
}

/// A worker that a task temporarily avoids.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AvoidedWorker {
    pub worker: WorkerIdx,
    pub until: Millis,
}

/// Time for which a task avoids the worker on which it failed, if it may run elsewhere. It is
/// limited because the other workers may never have enough free capacity.
const AVOID_PERIOD: Millis = Millis(1_000);

impl Task {
    /// Avoids a worker for [`AVOID_PERIOD`].
    pub fn avoid_worker(&mut self, worker: WorkerIdx, now: Millis) {
        self.avoid = Some(AvoidedWorker { worker, until: now + AVOID_PERIOD });
    }

    /// Returns the worker that the task avoids at `now`.
    pub fn avoided_worker(&self, now: Millis) -> Option<WorkerIdx> {
        self.avoid.filter(|a| now < a.until).map(|a| a.worker)
    }

    /// Returns true if its progress differs from that of a new task.
    pub fn is_changed(&self) -> bool {
        self.last_run > 0 || self.done || self.crash_record.is_some()
    }

    /// Returns true if a worker has crashed shortly after a start of the task.
    pub fn is_suspect(&self) -> bool {
        self.crash_record.as_ref().is_some_and(|c| c.is_suspect())
    }

    /// Returns true if the task may be started at `now`.
    pub fn is_startable(&self, now: Millis) -> bool {
        let settled = !self.unsettled && !self.unsettled_copy;
        self.is_free() && settled && self.not_before <= now && !self.is_held_back()
    }

    /// Returns the workers and numbers of its runs, at most two.
    pub fn runs(&self) -> impl Iterator<Item = TaskCopy> + use<> {
        let first = self.worker.map(|worker| TaskCopy { worker, run: self.run });
        first.into_iter().chain(self.copy)
    }

    /// Returns true if the run is one of its current runs and on this worker.
    pub fn has_run(&self, worker: WorkerIdx, run: u32) -> bool {
        self.runs().any(|r| r == TaskCopy { worker, run })
    }

    /// Returns true if it has a run on the worker.
    pub fn is_on(&self, worker: WorkerIdx) -> bool {
        self.runs().any(|r| r.worker == worker)
    }

    /// Adds a run. The higher of two run numbers is that of the copy.
    pub fn place_run(&mut self, worker: WorkerIdx, run: u32) {
        let mut runs: Vec<_> = self.runs().chain([TaskCopy { worker, run }]).collect();
        runs.sort_unstable_by_key(|r| r.run);
        self.set_runs(&runs);
        self.copied |= runs.len() > 1;
        self.record_run_number(run);
    }

    /// Removes a run; the other one, if any, continues as the only one. Returns true if it was a
    /// current run.
    pub fn remove_run(&mut self, worker: WorkerIdx, run: u32) -> bool {
        let before: Vec<_> = self.runs().collect();
        let after: Vec<_> =
            before.iter().copied().filter(|r| *r != TaskCopy { worker, run }).collect();
        self.set_runs(&after);
        after.len() < before.len()
    }

    /// Records that the next incarnation of a run's worker has the run. Returns true if it is a
    /// current run.
    pub fn move_run(&mut self, from: WorkerIdx, run: u32, next: WorkerIdx) -> bool {
        let mut runs: Vec<_> = self.runs().collect();
        let moved = runs.iter_mut().find(|r| **r == TaskCopy { worker: from, run });
        let is_moved = moved.map(|r| r.worker = next).is_some();
        self.set_runs(&runs);
        is_moved
    }

    fn set_runs(&mut self, runs: &[TaskCopy]) {
        self.worker = runs.first().map(|r| r.worker);
        self.run = runs.first().map_or(self.run, |r| r.run);
        self.copy = runs.get(1).copied();
    }

    /// Records that a run number is in use.
    pub fn record_run_number(&mut self, run: u32) {
        self.last_run = self.last_run.max(run);
    }

    /// Returns how many of its runs may be on workers that this owner has not claimed.
    pub fn unsettled_runs(&self) -> u32 {
        u32::from(self.unsettled && self.worker.is_none()) + u32::from(self.unsettled_copy)
    }

    /// Returns true if it has failed `limit` times and has no run left that may still succeed.
    pub fn is_exhausted(&self, limit: u32) -> bool {
        let may_run = self.worker.is_some() || self.unsettled_copy;
        !self.done && !may_run && self.failed_runs.len() as u32 >= limit
    }

    /// Returns true if the task waits for the outcome of its earlier runs, or for its crash record
    /// to be stored.
    pub fn is_held_back(&self) -> bool {
        let held_back = |c: &CrashRecord| c.blocks_start() || c.awaits_row();
        self.is_free() && self.crash_record.as_deref().is_some_and(held_back)
    }

    pub fn has_crash_record(&self) -> bool {
        self.crash_record.is_some()
    }

    /// Returns true if the store has the task's crash record, or there is none.
    pub fn is_crash_record_stored(&self) -> bool {
        self.crash_record.as_ref().is_none_or(|c| !c.awaits_row())
    }

    /// Returns true if the task is neither done nor placed.
    fn is_free(&self) -> bool {
        !self.done && self.worker.is_none()
    }
}

/// One step of one round.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub remaining: u32,
    /// Failed runs of the gang.
    pub failed_gang_runs: Vec<u32>,
    pub advice: StepAdvice,
    /// When the gang was last started or a member of it left its worker.
    pub gang_changed_at: Millis,
    /// Whether the gang is being stopped in order to start again.
    pub restarting: bool,
}

impl Step {
    pub fn new(spec: &StepSpec) -> Step {
        Step {
            tasks: vec![Task::default(); spec.count as usize],
            remaining: spec.count,
            failed_gang_runs: Vec::new(),
            advice: StepAdvice::default(),
            gang_changed_at: Millis(0),
            restarting: false,
        }
    }

    pub fn is_done(&self) -> bool {
        self.remaining == 0
    }

    /// Returns true if some task is neither done nor placed.
    pub fn has_unplaced(&self) -> bool {
        self.remaining > 0 && self.tasks.iter().any(|t| !t.done && t.worker.is_none())
    }

    pub fn has_crash_record(&self) -> bool {
        self.tasks.iter().any(Task::has_crash_record)
    }

    /// Returns true if the store has the crash records of all tasks.
    pub fn are_crash_records_stored(&self) -> bool {
        self.tasks.iter().all(Task::is_crash_record_stored)
    }

    /// Returns how many tasks may be started at `now`.
    pub fn count_startable(&self, now: Millis) -> usize {
        self.tasks.iter().filter(|t| t.is_startable(now)).count()
    }

    /// Returns how many tasks of the step have a run on a worker.
    pub fn tasks_on(&self, w: WorkerIdx) -> u32 {
        self.tasks.iter().filter(|t| t.is_on(w)).count() as u32
    }
}

/// One round of a job's steps. Jobs without a schedule have a single round.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub number: u32,
    /// When the round became due.
    pub due: Millis,
    pub steps: Vec<Step>,
}

impl Round {
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Marks its open tasks as possibly running on workers that this owner has not claimed yet. If
    /// the step allows copies, an open task may have two runs there, and a task that is done may
    /// have one that has not been stopped.
    pub fn mark_unsettled(&mut self, spec: &JobSpec) {
        for (step, spec) in self.steps.iter_mut().zip(&spec.steps) {
            for t in &mut step.tasks {
                t.unsettled = !t.done;
                t.unsettled_copy = spec.allows_copies() && (!t.done || t.copied);
            }
        }
    }

    /// Returns true if all steps that `step` depends on are done.
    pub fn is_ready(&self, spec: &JobSpec, step: usize) -> bool {
        spec.steps[step].depends_on.iter().all(|&d| self.steps[d as usize].is_done())
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub id: JobId,
    pub queue: Arc<str>,
    /// The client account that submitted it.
    pub account: AccountIdx,
    /// Whether it is within its account's guaranteed rate.
    pub guaranteed: bool,
    pub spec: Arc<JobSpec>,
    /// Epoch of the owner that accepted it.
    pub epoch: u64,
    pub accepted_at: Millis,
    /// Whether its acceptance is stored.
    pub durable: bool,
    /// Due rounds that are not done.
    pub rounds: Vec<Round>,
    /// Number of rounds that have become due.
    pub due_rounds: u32,
    /// Whether a worker has started a task.
    pub started: bool,
    /// The decided final state, possibly not stored yet.
    pub end: Option<JobState>,
    /// Whether the acceptance has yet to be added to a batch.
    pub acceptance_unwritten: bool,
    /// How its progress is divided into rows.
    pub layout: SegmentLayout,
    /// Progress that is in no batch yet.
    pub unwritten: UnwrittenSegments,
    /// Progress that the store may have.
    pub stored: StoredSegments,
    /// Whether a task has a crash record.
    pub has_crash_record: bool,
    /// Processed ends of its tasks that are in no batch yet.
    pub ends: Vec<UnwrittenEnd>,
}

impl Job {
    /// Adds the next round, which became due at `due`.
    pub fn add_round(&mut self, due: Millis) {
        let steps = self.spec.steps.iter().map(Step::new).collect();
        self.rounds.push(Round { number: self.due_rounds, due, steps });
        self.due_rounds += 1;
    }

    pub fn round(&self, number: u32) -> Option<&Round> {
        self.rounds.iter().find(|r| r.number == number)
    }

    pub fn round_mut(&mut self, number: u32) -> Option<&mut Round> {
        self.rounds.iter_mut().find(|r| r.number == number)
    }

    /// Returns true if all rounds have become due and are done.
    pub fn is_done(&self) -> bool {
        self.due_rounds == self.spec.rounds() && self.rounds.iter().all(Round::is_done)
    }

    /// Returns true if a gang, or a task that is not done and has no run left, has failed `limit`
    /// times.
    pub fn is_exhausted(&self, limit: u32) -> bool {
        let failed = |runs: &[u32]| runs.len() as u32 >= limit;
        let step =
            |s: &Step| failed(&s.failed_gang_runs) || s.tasks.iter().any(|t| t.is_exhausted(limit));
        self.rounds.iter().any(|r| r.steps.iter().any(step))
    }

    /// Returns the crash record of a task for a change, and creates it if there is none. If
    /// `store_first` is set, the task starts again only after the task's progress is stored, which
    /// has to be marked as changed before.
    pub fn crash_record_mut(
        &mut self,
        key: TaskKey,
        store_first: bool,
    ) -> Option<&mut CrashRecord> {
        let number = self.unwritten.last_number();
        self.has_crash_record = true;
        let step = self.round_mut(key.step.round)?.steps.get_mut(key.step.step as usize)?;
        let task = step.tasks.get_mut(key.index as usize).filter(|t| !t.done)?;
        let crash_record = task.crash_record.get_or_insert_default();
        if store_first {
            crash_record.awaited_change = Some(number);
        }
        Some(crash_record)
    }

    /// Records that the changes up to this number are stored.
    pub fn changes_stored(&mut self, number: u64) {
        let steps = self.rounds.iter_mut().flat_map(|r| &mut r.steps);
        let crash_records =
            steps.flat_map(|s| &mut s.tasks).filter_map(|t| t.crash_record.as_mut());
        crash_records.for_each(|c| c.changes_stored(number));
    }

    /// Returns the number above which the next runs of a task are numbered at `epoch`.
    pub fn run_floor(&self, epoch: u64) -> u32 {
        (epoch.saturating_sub(self.epoch) as u32).saturating_mul(RUNS_PER_EPOCH)
    }
}

/// Counts a failed run once and returns the number of failed runs.
pub(crate) fn count_failure(runs: &mut Vec<u32>, run: u32) -> u32 {
    if !runs.contains(&run) {
        runs.push(run);
    }
    runs.len() as u32
}
