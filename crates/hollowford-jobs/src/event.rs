//! Events of the engine, for the log.

mod display;

use crate::copies::CopyCause;
use crate::crash_record::RunStage;
use crate::job::JobState;
use crate::order::{EndKind, StartAnswer};
use crate::run_times::LearnedQueue;
use crate::spec::{JobId, StepKey, TaskKey};
use crate::worker_life::WorkerLife;
use hollowford_core::{Millis, Resources};
use std::sync::Arc;

/// A decision or a change of state, with the inputs that led to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A job was accepted.
    JobAccepted {
        /// The accepted job.
        job: JobId,
        /// The client account that submitted it; empty if there is none.
        account: Arc<str>,
        /// The job's queue.
        queue: Arc<str>,
        /// Number of steps.
        steps: usize,
    },
    /// A job was withdrawn before its acceptance was sent to the store.
    JobWithdrawn {
        /// The withdrawn job.
        job: JobId,
    },
    /// The final state of a job was decided.
    JobEnded {
        /// The job that ends.
        job: JobId,
        /// Its final state.
        state: JobState,
        /// Time since the job's acceptance.
        age: Millis,
    },
    /// A task was placed on a worker and is to start.
    TaskStarting {
        /// The task to start.
        task: TaskKey,
        /// Number of the new run.
        run: u32,
        /// The worker on which it was placed.
        worker: WorkerLife,
        /// Resources that remain free on the worker.
        free: Resources,
        /// Time since the job's acceptance.
        age: Millis,
    },
    /// A second run of a task was ordered.
    TaskCopied {
        /// The task with two runs.
        task: TaskKey,
        /// Number of the second run.
        run: u32,
        /// The worker of the second run.
        worker: WorkerLife,
        /// Number of the first run.
        first_run: u32,
        /// Why the first run doesn't suffice.
        cause: CopyCause,
    },
    /// A worker refused a start.
    StartRefused {
        /// The task that was to start.
        task: TaskKey,
        /// Number of the refused run.
        run: u32,
        /// The worker that refused.
        worker: WorkerLife,
        /// The worker's answer, with the reason.
        answer: StartAnswer,
    },
    /// A worker has reported the end of a task.
    TaskEnded {
        /// The task that has ended.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The worker that reported the end.
        worker: WorkerLife,
        /// How the run ended.
        kind: EndKind,
        /// The worker's number of the end.
        number: u64,
        /// Whether the owner knew the run on this worker.
        expected: bool,
    },
    /// A task that an earlier owner started was found running and adopted.
    TaskAdopted {
        /// The adopted task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The worker on which it runs.
        worker: WorkerLife,
    },
    /// A task was found running that should not run there; it is stopped.
    ForeignTask {
        /// The task that is stopped.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The worker on which it was found.
        worker: WorkerLife,
    },
    /// A run was given up; its task waits again.
    TaskGivenUp {
        /// The task of the run.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The worker on which it was placed.
        worker: WorkerLife,
        /// Why it was given up.
        cause: GiveUpCause,
    },
    /// A worker answered this owner for the first time.
    WorkerClaimed {
        /// The worker that answered.
        worker: WorkerLife,
        /// Number of tasks that it runs.
        running: usize,
        /// Number of ends that are not acknowledged yet.
        ended: usize,
    },
    /// A worker stopped answering, or answers again.
    WorkerSilent {
        /// The worker concerned.
        worker: WorkerLife,
        /// True if it stopped answering, false if it answers again.
        silent: bool,
        /// Time since its last answer.
        since: Millis,
    },
    /// A worker was quarantined because tasks keep failing on it.
    WorkerQuarantined {
        /// The quarantined worker.
        worker: WorkerLife,
    },
    /// A worker answers, but its tasks make no progress.
    WorkerStalled {
        /// The stalled worker.
        worker: WorkerLife,
        /// Number of stalled tasks.
        tasks: usize,
    },
    /// A worker incarnation has ended.
    WorkerDead {
        /// The incarnation that has ended.
        worker: WorkerLife,
        /// Whether it had left or crashed.
        how: WorkerExit,
        /// Number of tasks that it held.
        tasks: usize,
    },
    /// A worker has crashed while a task was on it.
    WorkerCrashed {
        /// The task that was on the worker.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The worker that crashed.
        worker: WorkerLife,
        /// Whether the run had been started shortly before.
        fresh: bool,
        /// What was known of the run when the worker crashed.
        stage: RunStage,
        /// Number of crashes under the task so far, including this one.
        crashes: usize,
    },
    /// A crash record of a task, stored by an earlier owner, was restored.
    CrashRecordRecovered {
        /// The task of the record.
        task: TaskKey,
        /// Number of crashes under the task.
        crashes: usize,
        /// Number of runs whose outcome is not known yet.
        open: usize,
    },
    /// A worker is leaving.
    WorkerLeaving {
        /// The worker that leaves.
        worker: WorkerLife,
    },
    /// An advice call was answered or timed out.
    AdviceAnswered {
        /// The step for which advice was asked.
        step: StepKey,
        /// Number of workers in the call.
        asked: usize,
        /// Number of workers that may run the step (`good` in the log); `None` if there was no
        /// answer.
        allowed: Option<usize>,
    },
    /// The tickets of an answered advice call have lapsed, and no task of the step has started
    /// since the answer.
    AdviceUnused {
        /// The step for which advice was asked.
        step: StepKey,
        /// Number of workers in the call.
        asked: usize,
    },
    /// Ordering by the accounts' shares has begun or ended.
    AccountsFull {
        /// The pool that is full, or no longer is.
        pool: Arc<str>,
        /// True if the order begins to follow the shares, false if it ceases to.
        begins: bool,
        /// Number of accounts that are beyond their share.
        beyond: usize,
    },
    /// Tasks no longer wait for workers that this owner has not claimed.
    PartitionSettled {
        /// Workers that were not claimed in time.
        unclaimed: Vec<WorkerLife>,
    },
    /// The predictions of a queue's run times have changed noticeably.
    RunTimesLearned(LearnedQueue),
    /// A worker's list of ends begins or ceases to be cut.
    EndsCut {
        /// The worker.
        worker: WorkerLife,
        /// Whether it is cut.
        cut: bool,
        /// Number of runs that have ended without their ends being listed.
        unlisted: usize,
    },
    /// The stored row of learned run times can't be read and is ignored.
    RunTimesUnreadable {
        /// Why it can't be read.
        error: String,
    },
}

/// How a worker incarnation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerExit {
    /// It had been listed as leaving.
    Left,
    /// It ended without having been listed as leaving.
    Crashed,
}

/// Why a run was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpCause {
    /// The lease of its worker has expired.
    Lapsed,
    /// The worker incarnation has ended.
    WorkerDead,
    /// The worker no longer lists it.
    Vanished,
    /// The worker refused the start.
    Refused,
    /// The start was never sent, because the row that records it is not stored.
    Unsent,
}
