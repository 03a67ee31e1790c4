//! Records of the ledger, as stored in the platform's table and objects.

use crate::v1;

/// One group commit, stored as a row of the table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Batch {
    /// The partition that the records belong to.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// Epoch of the owner that wrote the batch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Random id, used to find out whether a write whose reply was lost took effect.
    #[prost(uint64, tag = "3")]
    pub id: u64,
    /// Records in the order of the changes.
    #[prost(message, repeated, tag = "4")]
    pub records: Vec<Record>,
}

/// One change of the state of a partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// Number of the request, unique within the partition.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Index of the task, if the change affects a task.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of the attempt, if the change affects a task.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// The change itself.
    #[prost(oneof = "Change", tags = "4, 5, 6, 7, 8, 9, 10")]
    pub change: Option<Change>,
}

/// Kinds of changes with their data.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Change {
    /// The request was accepted.
    #[prost(message, tag = "4")]
    Accept(Accept),
    /// The attempt is about to be sent to a worker.
    #[prost(message, tag = "5")]
    Intent(Intent),
    /// The attempt was never started; the task is queued again.
    #[prost(message, tag = "6")]
    Withdrawn(Withdrawn),
    /// The attempt ended.
    #[prost(message, tag = "7")]
    Ended(Ended),
    /// The caller cancelled the request.
    #[prost(message, tag = "8")]
    Cancel(Cancel),
    /// The request ended with its final answer.
    #[prost(message, tag = "9")]
    Close(Close),
    /// The task is queued after earlier attempts: in snapshots, and when a gang restarts.
    #[prost(message, tag = "10")]
    Queued(Queued),
}

/// The request was accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accept {
    /// Client account that submitted the request.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Request id chosen by the caller.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Specification of the request.
    #[prost(message, optional, tag = "3")]
    pub spec: Option<v1::RequestSpec>,
}

/// The attempt is about to be sent to a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Intent {
    /// Id of the worker's instance.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Incarnation of the worker that the owner had claimed.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// The attempt was never started.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Withdrawn {}

/// The attempt ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ended {
    /// How it ended: 1 done, 2 failed, 3 stopped, 4 lost, 5 crashed.
    #[prost(uint32, tag = "1")]
    pub end: u32,
    /// Result, if it has at most 1,024 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub result: Vec<u8>,
    /// Object that contains a longer result; empty if there is none.
    #[prost(string, tag = "3")]
    pub object: String,
    /// Length of the result in bytes.
    #[prost(uint64, tag = "4")]
    pub len: u64,
    /// XXH3 hash of the result.
    #[prost(uint64, tag = "5")]
    pub xxh3: u64,
    /// Error message of the worker, for failed attempts.
    #[prost(string, tag = "6")]
    pub message: String,
    /// Checkpoint object from which a later attempt resumes; empty if there is none.
    #[prost(string, tag = "7")]
    pub checkpoint: String,
}

/// The caller cancelled the request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Cancel {}

/// The request ended with its final answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Close {
    /// Outcome, in the numbering of the schema.
    #[prost(int32, tag = "1")]
    pub outcome: i32,
    /// Stable name of the error kind.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Description of the outcome.
    #[prost(string, tag = "3")]
    pub message: String,
    /// Whether a task had started.
    #[prost(bool, tag = "4")]
    pub had_begun: bool,
}

/// The task is queued, after earlier attempts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Queued {
    /// Number of failed attempts.
    #[prost(uint32, tag = "1")]
    pub failures: u32,
    /// Checkpoint object from which the next attempt resumes; empty if there is none.
    #[prost(string, tag = "2")]
    pub checkpoint: String,
    /// Whether a task of the request had started.
    #[prost(bool, tag = "3")]
    pub begun: bool,
    /// Number of attempts during which the worker restarted shortly after the start.
    #[prost(uint32, tag = "4")]
    pub crashes: u32,
}
