//! Records of the ledger, as they are kept in the platform's table and objects.

use crate::v1;

/// One group commit: a row of the table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Batch {
    /// The partition that the records belong to.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// Epoch of the owner that wrote it.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Random id, by which a write with a lost reply is found again.
    #[prost(uint64, tag = "3")]
    pub id: u64,
    /// The records, in the order in which they happened.
    #[prost(message, repeated, tag = "4")]
    pub records: Vec<Record>,
}

/// One change of a partition's state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Number of the request, unique within the partition.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Index of the task, where the change is of a task.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of the attempt, where the change is of a task.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// What changed.
    #[prost(oneof = "Change", tags = "4, 5, 6, 7, 8, 9, 10")]
    pub change: Option<Change>,
}

/// What a record changes.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Change {
    /// The request was accepted.
    #[prost(message, tag = "4")]
    Accept(Accept),
    /// The attempt is about to be sent to a worker.
    #[prost(message, tag = "5")]
    Intent(Intent),
    /// The attempt was never started, and the task waits again.
    #[prost(message, tag = "6")]
    Withdrawn(Withdrawn),
    /// The attempt ended.
    #[prost(message, tag = "7")]
    Ended(Ended),
    /// The caller cancelled the request.
    #[prost(message, tag = "8")]
    Cancel(Cancel),
    /// The request has its final answer.
    #[prost(message, tag = "9")]
    Close(Close),
    /// Snapshots only: the task waits, after the attempts counted.
    #[prost(message, tag = "10")]
    Queued(Queued),
}

/// The request was accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The id that the account chose.
    #[prost(string, tag = "2")]
    pub id: String,
    /// What was asked.
    #[prost(message, optional, tag = "3")]
    pub spec: Option<v1::RequestSpec>,
}

/// The attempt is about to be sent to a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Intent {
    /// Id of the worker's instance.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The worker's incarnation that the owner had claimed.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// The attempt was never started.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Withdrawn {}

/// The attempt ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ended {
    /// How, by the engine's numbering.
    #[prost(uint32, tag = "1")]
    pub end: u32,
    /// Result, up to 1,024 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub result: Vec<u8>,
    /// Object that holds a longer result.
    #[prost(string, tag = "3")]
    pub object: String,
    /// Length of the result in bytes.
    #[prost(uint64, tag = "4")]
    pub len: u64,
    /// XXH3 hash of the result.
    #[prost(uint64, tag = "5")]
    pub xxh3: u64,
    /// The worker's message, for failures.
    #[prost(string, tag = "6")]
    pub message: String,
    /// Object from which a later attempt goes on.
    #[prost(string, tag = "7")]
    pub checkpoint: String,
}

/// The caller cancelled the request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Cancel {}

/// The request has its final answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Close {
    /// The outcome, by the schema's numbering.
    #[prost(int32, tag = "1")]
    pub outcome: i32,
    /// Stable name of the error kind.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// What happened.
    #[prost(string, tag = "3")]
    pub message: String,
    /// Whether a task had started.
    #[prost(bool, tag = "4")]
    pub had_begun: bool,
}

/// The task waits, after the attempts counted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Queued {
    /// Attempts that failed.
    #[prost(uint32, tag = "1")]
    pub failures: u32,
    /// Object from which the next attempt goes on.
    #[prost(string, tag = "2")]
    pub checkpoint: String,
    /// Whether a task of the request had started.
    #[prost(bool, tag = "3")]
    pub begun: bool,
    /// Attempts under which the worker restarted.
    #[prost(uint32, tag = "4")]
    pub crashes: u32,
}
