//! What the engine is told and what it asks for.

use hollowford_core::{InstanceId, Kind, Millis, RequestKey, RequestNo, Resources, Spec, TaskId};
use std::sync::Arc;

/// One change of the partition's state, as kept in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The request that changes.
    pub request: RequestNo,
    /// What changes.
    pub change: Change,
}

/// What a record changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The request was accepted.
    Accept {
        /// The caller's name for it.
        key: RequestKey,
        /// What was asked.
        spec: Arc<Spec>,
    },
    /// The attempt is about to be sent to a worker.
    Intent {
        /// The attempt.
        task: TaskId,
        /// Where it goes.
        worker: InstanceId,
        /// The worker's incarnation that the owner had claimed.
        incarnation: u64,
    },
    /// The attempt was never started, and the task waits again.
    Withdrawn {
        /// The attempt.
        task: TaskId,
    },
    /// The attempt ended.
    Ended {
        /// The attempt.
        task: TaskId,
        /// How it ended.
        end: TaskEnd,
    },
    /// The caller cancelled the request.
    Cancel,
    /// The request has its final answer.
    Close(FinalAnswer),
    /// The task waits again, after the attempts counted.
    Queued {
        /// The last attempt.
        task: TaskId,
        /// Attempts that failed.
        failures: u32,
        /// Attempts under which the worker restarted.
        crashes: u32,
        /// Object from which the next attempt goes on; empty: from the start.
        checkpoint: Arc<str>,
        /// Whether a task of the request had started.
        begun: bool,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskEnd {
    /// It ran to its end.
    Done(TaskResult),
    /// It ran and failed, with the worker's message.
    Failed(String),
    /// It was stopped by order, with the object to go on from, or an empty text.
    Stopped(Arc<str>),
    /// It may have run, and no one can tell any more.
    Lost,
    /// The same, since the worker restarted shortly after its start.
    Crashed,
}

/// What a task gave back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskResult {
    /// The result, when it is short.
    pub bytes: Vec<u8>,
    /// The object that holds a longer result; empty: none.
    pub object: Arc<str>,
    /// Length of the whole result in bytes.
    pub len: u64,
    /// XXH3 hash of the whole result.
    pub xxh3: u64,
}

/// The closed list of final outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task ran to its end.
    Done,
    /// At least one task ran and failed.
    Failed,
    /// No task was started.
    NotRun,
    /// A task may have run.
    MayHaveRun,
    /// Cancelled by the caller.
    Cancelled,
}

/// A final answer, without the tasks' results.
#[derive(Clone, Debug, PartialEq)]
pub struct FinalAnswer {
    /// The outcome.
    pub outcome: Outcome,
    /// Stable name of the error kind; empty when there is none.
    pub reason: Arc<str>,
    /// What happened.
    pub message: Arc<str>,
    /// Whether a task had started.
    pub had_begun: bool,
}

/// What the owner is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the ledger, in the order of `seq`.
    Append {
        /// Position of the record, from 1, without gaps.
        seq: u64,
        /// The record.
        record: Record,
    },
    /// Send a start to a worker.
    Start {
        /// Where it goes.
        worker: InstanceId,
        /// The attempt.
        task: TaskId,
        /// Reading of the worker's clock at which the lease ends.
        lease_until: u64,
        /// Whether no renewal extends the lease.
        fixed_lease: bool,
        /// What to run.
        spec: Arc<Spec>,
        /// Object to go on from; empty: from the start.
        checkpoint: Arc<str>,
    },
    /// Extend the leases of a worker's tasks.
    Renew {
        /// The worker.
        worker: InstanceId,
        /// Reading of the worker's clock at which the leases end.
        lease_until: u64,
    },
    /// Stop a task.
    Stop {
        /// The worker that runs it.
        worker: InstanceId,
        /// The attempt.
        task: TaskId,
        /// Whether to keep what was done.
        checkpoint: bool,
    },
    /// Tell a worker that an outcome is durable.
    Forget {
        /// The worker that remembers it.
        worker: InstanceId,
        /// The attempt.
        task: TaskId,
    },
    /// Hold a task to its declared processors.
    Throttle {
        /// The worker that runs it.
        worker: InstanceId,
        /// The attempt.
        task: TaskId,
        /// Thousandths of a core.
        cpu_milli: u32,
    },
    /// A request's view has changed in a way that callers may see.
    Changed(RequestNo),
    /// A request started for the first time: a measurement.
    FirstStart {
        /// Kind of the request.
        kind: Kind,
        /// Whether it was urgent.
        urgent: bool,
        /// Time from acceptance to the first start.
        waited: Millis,
    },
}

/// What a worker's reply to a claim says.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimReport {
    /// Changes when the worker has lost its memory of tasks.
    pub incarnation: u64,
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// What the instance has.
    pub capacity: Resources,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Tasks that run.
    pub running: Vec<ClaimedTask>,
    /// Outcomes that the worker remembers.
    pub ended: Vec<EndReport>,
}

/// A task that a worker runs at the time of a claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimedTask {
    /// The attempt.
    pub task: TaskId,
    /// What it takes.
    pub resources: Resources,
}

/// A worker's report of an attempt's end.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// The attempt.
    pub task: TaskId,
    /// How it ended.
    pub end: TaskEnd,
    /// How long it ran.
    pub ran: Millis,
}

/// What a running task uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskUsage {
    /// The attempt.
    pub task: TaskId,
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Mebibytes.
    pub memory_mib: u32,
}

/// One instance of the platform's list that belongs to the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// The instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Whether it is leaving.
    pub leaving: bool,
}
