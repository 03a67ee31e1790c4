//! Callers' requests on their way to the owner, and its answers.

use prost::Message;

/// What a caller wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verb {
    /// Hand in a job.
    Submit = 0,
    /// Cancel it.
    Cancel = 1,
    /// Read its state.
    State = 2,
    /// Count the queue's jobs that wait.
    Waiting = 3,
}

impl Verb {
    /// Returns its name, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Verb::Submit => "submit",
            Verb::Cancel => "cancel",
            Verb::State => "state",
            Verb::Waiting => "waiting",
        }
    }
}

/// A caller's request on its way to the owner.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// Matches the answer to the call, on one link.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is wanted.
    #[prost(enumeration = "Verb", tag = "2")]
    pub verb: i32,
    /// The job.
    #[prost(fixed64, tag = "3")]
    pub job: u64,
    /// The queue.
    #[prost(string, tag = "4")]
    pub queue: String,
    /// The job's specification, for `Submit`.
    #[prost(bytes = "vec", tag = "5")]
    pub spec: Vec<u8>,
    /// Version of the configuration by which the queue was found.
    #[prost(uint64, tag = "6")]
    pub config: u64,
    /// How long the caller waits for the answer, in milliseconds; 0: not told.
    #[prost(uint64, tag = "7")]
    pub limit_ms: u64,
    /// The client account that the entry found; empty: none is needed.
    #[prost(string, tag = "8")]
    pub account: String,
    /// Digest of the caller's key; empty: it bears none.
    #[prost(bytes = "vec", tag = "9")]
    pub credential: Vec<u8>,
    /// The entry knows no account for the key, and knows that it is behind.
    #[prost(bool, tag = "10")]
    pub unknown_key: bool,
}

/// What the owner says to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Said {
    /// Done: the job is kept, or cancelled.
    Done = 0,
    /// There is no such job.
    NoJob = 1,
    /// The owner doesn't know the queue yet.
    NoQueue = 2,
    /// Nothing was done; come back later.
    Unavailable = 3,
    /// The sender doesn't own the partition, or no longer: it has done nothing.
    NotOwner = 4,
    /// The state or count that was asked for.
    Value = 5,
    /// It may take effect: the store has not answered.
    Unsure = 6,
    /// The sender owned the partition and no longer does: what it did may stand.
    Deposed = 7,
    /// The key is missing or unknown. Nothing was done.
    UnknownKey = 8,
    /// The job is another account's. Nothing was done.
    NotYours = 9,
    /// The owner has done nothing, and didn't look what an earlier one may have: too much waits for
    /// it, or it has not read the configuration for too long to vouch for any key.
    NotTaken = 10,
}

/// The owner's answer to a call.
#[derive(Clone, PartialEq, Message)]
pub struct CallAnswer {
    /// The call's.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What came of it.
    #[prost(enumeration = "Said", tag = "2")]
    pub said: i32,
    /// The count, or the state's code.
    #[prost(uint64, tag = "3")]
    pub value: u64,
}

impl CallAnswer {
    /// Returns what came of the call. What a later version says and this one doesn't know may have
    /// been done.
    pub fn outcome(&self) -> Said {
        Said::try_from(self.said).unwrap_or(Said::Unsure)
    }
}
