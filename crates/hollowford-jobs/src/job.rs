//! A job and its parts.

use crate::accounts::AccountIdx;
use crate::advice::StepAdvice;
use crate::spec::{JobId, JobSpec, StepSpec, TaskKey};
use crate::suspicion::Suspicion;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use std::sync::Arc;

/// Run numbers that each epoch of owners may use for a task. A new owner can't know of starts
/// that no worker lists any more, so it begins above them.
pub(crate) const RUNS_PER_EPOCH: u32 = 16;

/// Where a job stands, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// A task has begun.
    Running,
    /// Every task has ended well.
    Completed,
    /// A task or a gang has failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Tells whether nothing more will happen.
    pub fn is_final(self) -> bool {
        !matches!(self, JobState::Queued | JobState::Running)
    }
}

/// An end that a worker keeps until it need not any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndAt {
    pub worker: WorkerIdx,
    /// Its number in the worker's list.
    pub number: u64,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub done: bool,
    /// Highest run number that is known.
    pub run: u32,
    /// Runs that ended by failing. An end may be told twice, by a worker that a new owner
    /// claims, and has to count once.
    pub failed_runs: Vec<u32>,
    /// A worker has crashed under it, or may have.
    pub suspicion: Option<Box<Suspicion>>,
    pub saved: Option<Arc<str>>,
    /// Where it runs, or may run.
    pub at: Option<WorkerIdx>,
    /// Where it failed last: tried elsewhere first.
    pub avoid: Option<Avoid>,
    /// It may run on a worker that this owner has not claimed yet.
    pub unsettled: bool,
    /// Not started again before.
    pub not_before: Millis,
}

/// A worker that a task keeps off for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Avoid {
    pub worker: WorkerIdx,
    pub until: Millis,
}

/// A task keeps off the worker that it failed on for so long, if it may run elsewhere: another
/// one that never has room must not hold it up for ever.
const AVOIDED_FOR: Millis = Millis(1_000);

impl Task {
    /// Keeps off a worker for a while.
    pub fn keep_off(&mut self, worker: WorkerIdx, now: Millis) {
        self.avoid = Some(Avoid { worker, until: now + AVOIDED_FOR });
    }

    /// Returns the worker that the task keeps off at `now`.
    pub fn avoided(&self, now: Millis) -> Option<WorkerIdx> {
        self.avoid.filter(|a| now < a.until).map(|a| a.worker)
    }

    /// Tells whether a worker has crashed under the task.
    pub fn is_suspect(&self) -> bool {
        self.suspicion.as_ref().is_some_and(|s| s.is_suspect())
    }

    /// Tells whether the task may be started at `now`.
    pub fn waits(&self, now: Millis) -> bool {
        self.is_free() && !self.unsettled && self.not_before <= now && !self.is_held_back()
    }

    /// Tells whether the task waits until it is known what became of earlier runs of it, or until
    /// the store has what is known.
    pub fn is_held_back(&self) -> bool {
        let held_back = |s: &Suspicion| s.holds_back() || s.is_unwritten();
        self.is_free() && self.suspicion.as_deref().is_some_and(held_back)
    }

    /// Tells whether the task has a record of crashes.
    pub fn is_tracked(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Tells whether the store has what is known of crashes under the task.
    pub fn is_written(&self) -> bool {
        self.suspicion.as_ref().is_none_or(|s| !s.is_unwritten())
    }

    /// Tells whether the task is neither done nor placed.
    fn is_free(&self) -> bool {
        !self.done && self.at.is_none()
    }
}

/// One step of one round.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub left: u32,
    /// Runs of the gang that failed.
    pub gang_failed: Vec<u32>,
    pub advice: StepAdvice,
    /// When the current run of the gang was started.
    pub gang_since: Millis,
    /// The gang is being stopped, to start again.
    pub regroup: bool,
}

impl Step {
    pub fn new(spec: &StepSpec) -> Step {
        Step {
            tasks: vec![Task::default(); spec.count as usize],
            left: spec.count,
            gang_failed: Vec::new(),
            advice: StepAdvice::default(),
            gang_since: Millis(0),
            regroup: false,
        }
    }

    pub fn done(&self) -> bool {
        self.left == 0
    }

    /// Tells whether some task is neither done nor placed.
    pub fn has_unplaced(&self) -> bool {
        self.left > 0 && self.tasks.iter().any(|t| !t.done && t.at.is_none())
    }

    /// Tells whether some task has a record of crashes.
    pub fn is_tracked(&self) -> bool {
        self.tasks.iter().any(Task::is_tracked)
    }

    /// Tells whether the store has what is known of crashes under its tasks.
    pub fn is_written(&self) -> bool {
        self.tasks.iter().all(Task::is_written)
    }

    /// Returns how many tasks could be started at `now`.
    pub fn waiting(&self, now: Millis) -> usize {
        self.tasks.iter().filter(|t| t.waits(now)).count()
    }

    /// Returns how many tasks of the step a worker holds.
    pub fn on(&self, w: WorkerIdx) -> u32 {
        self.tasks.iter().filter(|t| t.at == Some(w)).count() as u32
    }
}

/// One round of a job's steps.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub number: u32,
    /// When it fell due.
    pub due: Millis,
    pub steps: Vec<Step>,
}

impl Round {
    pub fn done(&self) -> bool {
        self.steps.iter().all(Step::done)
    }

    /// Takes note that its tasks may run on workers that this owner has not claimed yet.
    pub fn mark_unsettled(&mut self) {
        let tasks = self.steps.iter_mut().flat_map(|s| &mut s.tasks);
        tasks.for_each(|t| t.unsettled = !t.done);
    }

    /// Tells whether everything that the step depends on is done.
    pub fn ready(&self, spec: &JobSpec, step: usize) -> bool {
        spec.steps[step].depends_on.iter().all(|&d| self.steps[d as usize].done())
    }
}

/// One job that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub id: JobId,
    pub queue: Arc<str>,
    /// The client account that handed it in.
    pub account: AccountIdx,
    /// It is within what its account is owed.
    pub owed: bool,
    pub spec: Arc<JobSpec>,
    /// Epoch of the owner that accepted it.
    pub epoch: u64,
    pub accepted_at: Millis,
    /// The acceptance is in the store.
    pub kept: bool,
    /// Rounds that have fallen due and are not done.
    pub rounds: Vec<Round>,
    /// How many rounds have fallen due.
    pub due_rounds: u32,
    /// Whether a task has begun.
    pub begun: bool,
    /// The end that is decided, and maybe not in the store yet.
    pub end: Option<JobState>,
    /// The acceptance is to be written.
    pub unwritten: bool,
    /// The progress is to be written.
    pub progressed: bool,
    /// A row with its progress is in the store.
    pub has_progress: bool,
    /// Rows of its progress that were cut for a batch.
    pub rows_cut: u64,
    /// A task of it has a record of crashes.
    pub is_tracked: bool,
    /// Ends of its tasks that are in no batch yet.
    pub ends: Vec<EndAt>,
}

impl Job {
    /// Adds a round that has fallen due.
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

    /// Tells whether every round has fallen due and is done.
    pub fn all_done(&self) -> bool {
        self.due_rounds == self.spec.rounds() && self.rounds.iter().all(Round::done)
    }

    /// Tells whether a task that is neither done nor running, or a gang, has failed `most` times.
    pub fn is_exhausted(&self, most: u32) -> bool {
        let failed = |runs: &[u32]| runs.len() as u32 >= most;
        let task = |t: &Task| !t.done && t.at.is_none() && failed(&t.failed_runs);
        let step = |s: &Step| failed(&s.gang_failed) || s.tasks.iter().any(task);
        self.rounds.iter().any(|r| r.steps.iter().any(step))
    }

    /// Returns the record of crashes of one of its tasks, made when there is none, for a change.
    /// `first`: the next row of its progress has to tell it before the task is started again.
    pub fn change_suspicion(&mut self, key: TaskKey, first: bool) -> Option<&mut Suspicion> {
        let row = self.rows_cut + 1;
        self.is_tracked = true;
        let step = self.round_mut(key.step.round)?.steps.get_mut(key.step.step as usize)?;
        let task = step.tasks.get_mut(key.index as usize).filter(|t| !t.done)?;
        let suspicion = task.suspicion.get_or_insert_default();
        if first {
            suspicion.unwritten_row = Some(row);
        }
        Some(suspicion)
    }

    /// Takes note that a row of its progress is in the store, by its number.
    pub fn row_made(&mut self, row: u64) {
        let steps = self.rounds.iter_mut().flat_map(|r| &mut r.steps);
        let suspicions = steps.flat_map(|s| &mut s.tasks).filter_map(|t| t.suspicion.as_mut());
        suspicions.for_each(|s| s.row_made(row));
    }

    /// Returns the run number after which the next start of a task has to come.
    pub fn run_floor(&self, epoch: u64) -> u32 {
        (epoch.saturating_sub(self.epoch) as u32).saturating_mul(RUNS_PER_EPOCH)
    }
}

/// Counts a failed run once, and returns how many there are.
pub(crate) fn count_failure(runs: &mut Vec<u32>, run: u32) -> u32 {
    if !runs.contains(&run) {
        runs.push(run);
    }
    runs.len() as u32
}
