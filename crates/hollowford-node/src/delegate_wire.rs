//! Messages for calls to workers that members make for the owner.
//!
//! A frame holds many calls. The tasks of a step share a template, so each template is sent once.

mod convert;

use prost::{Enumeration, Message, Oneof};

/// Calls to workers that the member should make.
#[derive(Clone, PartialEq, Message)]
pub struct Delegated {
    /// Epoch of the owner, used as the fence of the calls.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Templates of the start calls, referred to by index.
    #[prost(string, repeated, tag = "2")]
    pub templates: Vec<String>,
    #[prost(message, repeated, tag = "3")]
    pub calls: Vec<DelegatedCall>,
}

/// One call to a worker.
#[derive(Clone, PartialEq, Message)]
pub struct DelegatedCall {
    /// Identifies the call in its outcome; unique per link.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Time limit for the answer in milliseconds, in addition to the time that the call allows the
    /// worker to wait.
    #[prost(uint64, tag = "2")]
    pub limit_ms: u64,
    /// Id of the worker.
    #[prost(string, tag = "3")]
    pub worker: String,
    /// Address of the worker.
    #[prost(string, tag = "4")]
    pub address: String,
    /// The operation to call.
    #[prost(oneof = "What", tags = "5, 6, 7, 8")]
    pub what: Option<What>,
    /// Incarnation of the worker, which distinguishes workers that used the same id.
    #[prost(uint64, optional, tag = "9")]
    pub incarnation: Option<u64>,
}

/// An operation of a worker.
#[derive(Clone, PartialEq, Oneof)]
pub enum What {
    /// Starts a task.
    #[prost(message, tag = "5")]
    Start(StartCall),
    /// Stops a task.
    #[prost(message, tag = "6")]
    Stop(TaskRun),
    /// Sets the share of its full pace at which a task works.
    #[prost(message, tag = "7")]
    Pace(PaceCall),
    /// Renews the lease and lists running and ended tasks.
    #[prost(message, tag = "8")]
    Look(LookCall),
}

/// Identifies one run of a task.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TaskRun {
    #[prost(fixed64, tag = "1")]
    job: u64,
    #[prost(uint32, tag = "2")]
    round: u32,
    #[prost(uint32, tag = "3")]
    step: u32,
    #[prost(uint32, tag = "4")]
    index: u32,
    #[prost(uint32, tag = "5")]
    run: u32,
}

/// Parameters of [`hollowford_jobs::WorkerCall::Start`].
#[derive(Clone, PartialEq, Message)]
pub struct StartCall {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(uint64, tag = "2")]
    lease_until: u64,
    /// Index of the template in the frame.
    #[prost(uint32, tag = "3")]
    template: u32,
    #[prost(string, tag = "4")]
    saved: String,
    #[prost(string, tag = "5")]
    ticket: String,
}

/// Parameters of [`hollowford_jobs::WorkerCall::Pace`].
#[derive(Clone, PartialEq, Message)]
pub struct PaceCall {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(uint32, tag = "2")]
    percent: u32,
}

/// Parameters of [`hollowford_jobs::WorkerCall::Look`].
#[derive(Clone, PartialEq, Message)]
pub struct LookCall {
    #[prost(uint64, optional, tag = "1")]
    lease_until: Option<u64>,
    #[prost(uint64, tag = "2")]
    acknowledged: u64,
    #[prost(uint64, tag = "3")]
    wait_ms: u64,
}

/// Outcomes of calls to workers.
#[derive(Clone, PartialEq, Message)]
pub struct Outcomes {
    /// One outcome per call, or two if the answer arrived after the time limit.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<Outcome>,
}

/// The outcome of one call.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// Id of the call.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The worker's answer, or that there was none.
    #[prost(oneof = "OutcomeOf", tags = "2, 3, 4, 5")]
    pub of: Option<OutcomeOf>,
}

/// The outcome of a call, by operation.
#[derive(Clone, PartialEq, Oneof)]
pub enum OutcomeOf {
    /// Outcome of a start.
    #[prost(message, tag = "2")]
    Start(StartOutcome),
    /// Whether a stop was answered.
    #[prost(bool, tag = "3")]
    Stop(bool),
    /// Whether a pace call was answered.
    #[prost(bool, tag = "4")]
    Pace(bool),
    /// Outcome of a look.
    #[prost(message, tag = "5")]
    Look(LookOutcome),
}

/// Message for a [`hollowford_jobs::StartAnswer`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StartOutcome {
    #[prost(enumeration = "StartSaid", tag = "1")]
    said: i32,
    #[prost(uint64, tag = "2")]
    clock: u64,
}

/// Variants of [`hollowford_jobs::StartAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum StartSaid {
    /// There was no answer.
    Unanswered = 0,
    /// The task is running.
    Runs = 1,
    /// A newer owner has claimed the worker.
    Fenced = 2,
    /// The run was stopped or has ended.
    Old = 3,
    /// The lease had expired.
    Late = 4,
    /// The worker has too little free capacity.
    NoRoom = 5,
    /// The ticket is not valid.
    Ticket = 6,
    /// The worker is unhealthy.
    Unhealthy = 7,
    /// Another incarnation of the worker answered.
    OtherLife = 8,
    /// The worker rejected the call as invalid.
    Invalid = 9,
}

/// Message for a [`hollowford_jobs::LookAnswer`].
#[derive(Clone, PartialEq, Message)]
pub struct LookOutcome {
    #[prost(enumeration = "LookSaid", tag = "1")]
    said: i32,
    #[prost(uint64, tag = "2")]
    clock: u64,
    #[prost(message, repeated, tag = "3")]
    running: Vec<RunningTask>,
    #[prost(message, repeated, tag = "4")]
    ended: Vec<EndedTask>,
    #[prost(uint64, optional, tag = "5")]
    incarnation: Option<u64>,
}

/// Variants of [`hollowford_jobs::LookAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum LookSaid {
    /// There was no answer.
    Unanswered = 0,
    /// The worker listed its running and ended tasks.
    Lists = 1,
    /// Another incarnation of the worker answered.
    OtherLife = 2,
    /// A newer owner has claimed the worker.
    Fenced = 3,
}

/// Message for a [`hollowford_jobs::Running`].
#[derive(Clone, PartialEq, Message)]
pub struct RunningTask {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(string, tag = "2")]
    saved: String,
    #[prost(uint32, tag = "3")]
    progress: u32,
    #[prost(uint32, tag = "4")]
    load: u32,
}

/// Message for a [`hollowford_jobs::End`].
#[derive(Clone, PartialEq, Message)]
pub struct EndedTask {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(enumeration = "EndedHow", tag = "3")]
    how: i32,
    #[prost(string, tag = "4")]
    saved: String,
}

/// Variants of [`hollowford_jobs::EndKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EndedHow {
    /// The task completed.
    Done = 0,
    /// The task failed.
    Failed = 1,
    /// The task was stopped by a call.
    Stopped = 2,
    /// The lease expired.
    Lapsed = 3,
    /// Another task of the gang ended.
    Broken = 4,
    /// The gang was not complete in time.
    Alone = 5,
}

/// Why a message can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DelegateError {
    /// A required part is missing.
    #[error("message has no operation or outcome")]
    Empty,
    /// The call refers to a template that the frame doesn't contain.
    #[error("start refers to a template missing from the frame")]
    Template,
}
