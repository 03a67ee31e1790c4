//! Input and output of the engine: ledger records, reports of workers, and actions.

use hollowford_core::{InstanceId, Kind, Millis, RequestKey, RequestNo, Resources, Spec, TaskId};
use std::sync::Arc;

/// One change of the partition's state, as stored in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Number of the request that is changed.
    pub request: RequestNo,
    /// Kind and content of the change.
    pub change: Change,
}

/// The kinds of changes in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The request was accepted.
    Accept {
        /// Account and id that identify the request to its caller.
        key: RequestKey,
        /// The specification of the request.
        spec: Arc<Spec>,
    },
    /// An attempt was placed on a worker; its start is sent once this record is durable.
    Intent {
        /// The task and the number of the attempt.
        task: TaskId,
        /// The worker that is to run it.
        worker: InstanceId,
        /// Incarnation of the worker at the last claim.
        incarnation: u64,
    },
    /// The attempt was never started and the task is waiting again.
    Withdrawn {
        /// The task and the number of the attempt.
        task: TaskId,
    },
    /// The attempt ended.
    Ended {
        /// The task and the number of the attempt.
        task: TaskId,
        /// How the attempt ended.
        end: TaskEnd,
    },
    /// The caller cancelled the request.
    Cancel,
    /// The request has its final answer.
    Close(FinalAnswer),
    /// The task is waiting for another attempt: in snapshots, and when a gang restarts.
    Queued {
        /// The task and the number of its last attempt.
        task: TaskId,
        /// Failed attempts of the task.
        failures: u32,
        /// Attempts during which the worker restarted shortly after the start.
        crashes: u32,
        /// Checkpoint object from which the next attempt resumes; empty if there is none.
        checkpoint: Arc<str>,
        /// Whether any task of the request has started.
        begun: bool,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskEnd {
    /// It completed.
    Done(TaskResult),
    /// It ran and failed; has the message of the worker.
    Failed(String),
    /// It was stopped on the engine's order; has the checkpoint object, empty if there is none.
    Stopped(Arc<str>),
    /// It may have run; its outcome is unknown.
    Lost,
    /// As `Lost`, because the worker restarted shortly after the start.
    Crashed,
}

/// The result of a completed task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskResult {
    /// The result if it is short enough to be sent inline.
    pub bytes: Vec<u8>,
    /// The object that holds a longer result; empty if there is none.
    pub object: Arc<str>,
    /// Length of the whole result in bytes.
    pub len: u64,
    /// XXH3 hash of the whole result.
    pub xxh3: u64,
}

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task completed.
    Done,
    /// At least one task ran and failed.
    Failed,
    /// No task was started.
    NotRun,
    /// A task may have run, and its outcome is unknown.
    MayHaveRun,
    /// The caller cancelled it before all tasks completed.
    Cancelled,
}

/// The final answer to a request, without the results of its tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct FinalAnswer {
    /// How the request ended.
    pub outcome: Outcome,
    /// Stable name of the error kind; empty if there is no error.
    pub reason: Arc<str>,
    /// Explanation for the caller; may be empty.
    pub message: Arc<str>,
    /// Whether any task had started.
    pub had_begun: bool,
}

/// An action for the owner to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the ledger. Records are appended in the order of `seq`.
    Append {
        /// Position of the record; starts at 1 and has no gaps.
        seq: u64,
        /// The record to append.
        record: Record,
    },
    /// Send a start to a worker.
    Start {
        /// The worker that is to run it.
        worker: InstanceId,
        /// The task and the number of the attempt.
        task: TaskId,
        /// Reading of the worker's clock at which the lease ends.
        lease_until: u64,
        /// Whether renewals leave the lease as it is.
        fixed_lease: bool,
        /// The specification of the request.
        spec: Arc<Spec>,
        /// Checkpoint object to resume from; empty if there is none.
        checkpoint: Arc<str>,
    },
    /// Renew the leases of all tasks of a worker, except fixed ones.
    Renew {
        /// The worker whose leases are renewed.
        worker: InstanceId,
        /// Reading of the worker's clock at which the leases end.
        lease_until: u64,
    },
    /// Stop a task.
    Stop {
        /// The worker that runs it.
        worker: InstanceId,
        /// The task and the number of the attempt.
        task: TaskId,
        /// Whether to save a checkpoint.
        checkpoint: bool,
    },
    /// Acknowledge an outcome that is durable, so that the worker may forget it.
    Forget {
        /// The worker that reported it.
        worker: InstanceId,
        /// The task and the number of the attempt.
        task: TaskId,
    },
    /// Limit a task to the CPU time that it declared.
    Throttle {
        /// The worker that runs it.
        worker: InstanceId,
        /// The task and the number of the attempt.
        task: TaskId,
        /// Limit in thousandths of a core.
        cpu_milli: u32,
    },
    /// The view of a request has changed.
    Changed(RequestNo),
    /// The first task of a request has started. For metrics.
    FirstStart {
        /// The kind of request.
        kind: Kind,
        /// Whether the request is urgent.
        urgent: bool,
        /// Time from acceptance to the first start.
        waited: Millis,
    },
}

/// A worker's reply to a claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimReport {
    /// Incarnation of the worker. Changes when it restarts and loses its state.
    pub incarnation: u64,
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Total resources of the instance.
    pub capacity: Resources,
    /// Whether the instance is about to be removed.
    pub leaving: bool,
    /// Tasks that the worker is running.
    pub running: Vec<ClaimedTask>,
    /// Outcomes that have not been acknowledged.
    pub ended: Vec<EndReport>,
}

/// A task that a worker is running at the time of a claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimedTask {
    /// The task and the number of the attempt.
    pub task: TaskId,
    /// Resources that it occupies.
    pub resources: Resources,
}

/// A worker's report of an attempt's end.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// The task and the number of the attempt.
    pub task: TaskId,
    /// How the attempt ended.
    pub end: TaskEnd,
    /// Run time of the attempt.
    pub ran: Millis,
}

/// Measured resource usage of a running task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskUsage {
    /// The task and the number of the attempt.
    pub task: TaskId,
    /// CPU usage in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory usage in MiB.
    pub memory_mib: u32,
}

/// An instance in the platform's list that belongs to the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerListing {
    /// Id of the instance.
    pub id: InstanceId,
    /// The availability zone of the instance.
    pub zone: Arc<str>,
    /// The rack of the instance.
    pub rack: Arc<str>,
    /// Whether the instance is about to be removed.
    pub leaving: bool,
}
