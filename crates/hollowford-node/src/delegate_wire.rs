//! Messages about calls to workers that the owner has its members make.
//!
//! A frame holds many calls, and each template once, since the tasks of a step share theirs.

mod convert;

use prost::{Enumeration, Message, Oneof};

/// Calls that a member is to make.
#[derive(Clone, PartialEq, Message)]
pub struct Delegated {
    /// Epoch of the owner, which is the fence of the calls.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Templates of the starts.
    #[prost(string, repeated, tag = "2")]
    pub templates: Vec<String>,
    /// The calls.
    #[prost(message, repeated, tag = "3")]
    pub calls: Vec<DelegatedCall>,
}

/// One of them.
#[derive(Clone, PartialEq, Message)]
pub struct DelegatedCall {
    /// Matches the outcome to the call, on one link.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// How long to wait for the answer, beyond the time that the call itself lets the worker
    /// wait, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub limit_ms: u64,
    /// The worker.
    #[prost(string, tag = "3")]
    pub worker: String,
    /// Its address.
    #[prost(string, tag = "4")]
    pub address: String,
    /// What is asked of it.
    #[prost(oneof = "What", tags = "5, 6, 7, 8")]
    pub what: Option<What>,
    /// Tells its life apart from others under its id.
    #[prost(uint64, optional, tag = "9")]
    pub incarnation: Option<u64>,
}

/// What is asked of a worker.
#[derive(Clone, PartialEq, Oneof)]
pub enum What {
    /// Start a task.
    #[prost(message, tag = "5")]
    Start(StartCall),
    /// Stop a task.
    #[prost(message, tag = "6")]
    Stop(TaskRun),
    /// Let a task work at a share of its full pace.
    #[prost(message, tag = "7")]
    Pace(PaceCall),
    /// Renew the lease and list what runs and has ended.
    #[prost(message, tag = "8")]
    Look(LookCall),
}

/// One start of a task.
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

/// See [`WorkerCall::Start`].
#[derive(Clone, PartialEq, Message)]
pub struct StartCall {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(uint64, tag = "2")]
    lease_until: u64,
    /// Position of the template in the frame.
    #[prost(uint32, tag = "3")]
    template: u32,
    #[prost(string, tag = "4")]
    saved: String,
    #[prost(string, tag = "5")]
    ticket: String,
}

/// See [`WorkerCall::Pace`].
#[derive(Clone, PartialEq, Message)]
pub struct PaceCall {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(uint32, tag = "2")]
    percent: u32,
}

/// See [`WorkerCall::Look`].
#[derive(Clone, PartialEq, Message)]
pub struct LookCall {
    #[prost(uint64, optional, tag = "1")]
    lease_until: Option<u64>,
    #[prost(uint64, tag = "2")]
    acknowledged: u64,
    #[prost(uint64, tag = "3")]
    wait_ms: u64,
}

/// What came of calls.
#[derive(Clone, PartialEq, Message)]
pub struct Outcomes {
    /// One for each call, or two for one that was answered after its time limit.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<Outcome>,
}

/// What came of one call.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// The call's.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What the worker said.
    #[prost(oneof = "OutcomeOf", tags = "2, 3, 4, 5")]
    pub of: Option<OutcomeOf>,
}

/// What came of a call, by its kind.
#[derive(Clone, PartialEq, Oneof)]
pub enum OutcomeOf {
    /// Of a start.
    #[prost(message, tag = "2")]
    Start(StartOutcome),
    /// Of a stop: whether it was answered.
    #[prost(bool, tag = "3")]
    Stop(bool),
    /// Of a pace: whether it was answered.
    #[prost(bool, tag = "4")]
    Pace(bool),
    /// Of a look.
    #[prost(message, tag = "5")]
    Look(LookOutcome),
}

/// See [`StartAnswer`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StartOutcome {
    #[prost(enumeration = "StartSaid", tag = "1")]
    said: i32,
    #[prost(uint64, tag = "2")]
    clock: u64,
}

/// The kinds of [`StartAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum StartSaid {
    /// No answer.
    Unanswered = 0,
    /// It runs.
    Runs = 1,
    /// A newer owner has claimed the worker.
    Fenced = 2,
    /// The run has been stopped or has ended.
    Old = 3,
    /// The lease was over.
    Late = 4,
    /// No room.
    NoRoom = 5,
    /// The ticket is not valid.
    Ticket = 6,
    /// The worker is not well.
    Unhealthy = 7,
    /// Another life answered.
    OtherLife = 8,
    /// Not understood.
    Invalid = 9,
}

/// See [`LookAnswer`].
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

/// The kinds of [`LookAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum LookSaid {
    /// No answer.
    Unanswered = 0,
    /// The lists.
    Lists = 1,
    /// Another life answered.
    OtherLife = 2,
    /// A newer owner has claimed the worker.
    Fenced = 3,
}

/// See [`Running`].
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

/// See [`End`].
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

/// The kinds of [`EndKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EndedHow {
    /// Well.
    Done = 0,
    /// By a fault.
    Failed = 1,
    /// By an order.
    Stopped = 2,
    /// Its lease was over.
    Lapsed = 3,
    /// Another member ended.
    Broken = 4,
    /// Its gang was not complete in time.
    Alone = 5,
}

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DelegateError {
    /// A part that every such message has is missing.
    #[error("a call without content")]
    Empty,
    /// It names a template that the frame doesn't hold.
    #[error("a start without its template")]
    Template,
}
