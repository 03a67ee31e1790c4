//! Callers' requests to the owner, and its answers.

use prost::Message;

/// An operation that a caller requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verb {
    /// Submits a job.
    Submit = 0,
    /// Cancels a job.
    Cancel = 1,
    /// Returns the state of a job.
    State = 2,
    /// Counts the waiting jobs of a queue.
    Waiting = 3,
}

impl Verb {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Verb::Submit => "submit",
            Verb::Cancel => "cancel",
            Verb::State => "state",
            Verb::Waiting => "waiting",
        }
    }
}

/// A caller's request to the owner.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// Identifies the call in its answer; unique per link.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The requested operation.
    #[prost(enumeration = "Verb", tag = "2")]
    pub verb: i32,
    /// Id of the job.
    #[prost(fixed64, tag = "3")]
    pub job: u64,
    /// Name of the queue.
    #[prost(string, tag = "4")]
    pub queue: String,
    /// The encoded job specification, for `Submit`.
    #[prost(bytes = "vec", tag = "5")]
    pub spec: Vec<u8>,
    /// Version of the configuration by which the entry process found the queue.
    #[prost(uint64, tag = "6")]
    pub config: u64,
    /// Time limit for the answer in milliseconds, or 0 if the caller set none.
    #[prost(uint64, tag = "7")]
    pub limit_ms: u64,
    /// The client account that the entry process found, or empty if none is needed.
    #[prost(string, tag = "8")]
    pub account: String,
    /// Digest of the caller's key, or empty if the request has none.
    #[prost(bytes = "vec", tag = "9")]
    pub credential: Vec<u8>,
    /// The entry process found no account for the key, but knows that its configuration is
    /// outdated.
    #[prost(bool, tag = "10")]
    pub unknown_key: bool,
}

/// The owner's answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Said {
    /// The job is stored or cancelled.
    Done = 0,
    /// The job doesn't exist.
    NoJob = 1,
    /// The owner doesn't know the queue yet.
    NoQueue = 2,
    /// Nothing was done; the caller may retry later.
    Unavailable = 3,
    /// The sender doesn't own the partition and has done nothing.
    NotOwner = 4,
    /// The requested state or count.
    Value = 5,
    /// The request may take effect; the store has not answered.
    Unsure = 6,
    /// The sender lost the partition while the call was open; the request may take effect.
    Deposed = 7,
    /// The key is missing or unknown. Nothing was done.
    UnknownKey = 8,
    /// The job belongs to another account. Nothing was done.
    NotYours = 9,
    /// The owner has done nothing, and has not checked whether an earlier attempt took effect: its
    /// inbox is full, or its configuration is too old to accept any key.
    NotTaken = 10,
}

/// The owner's answer to a call.
#[derive(Clone, PartialEq, Message)]
pub struct CallAnswer {
    /// Id of the call.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The outcome of the call.
    #[prost(enumeration = "Said", tag = "2")]
    pub said: i32,
    /// The requested count, or the code of the requested state.
    #[prost(uint64, tag = "3")]
    pub value: u64,
}

impl CallAnswer {
    /// Returns the outcome of the call. An unknown value, sent by a newer version, counts as
    /// [`Said::Unsure`].
    pub fn outcome(&self) -> Said {
        Said::try_from(self.said).unwrap_or(Said::Unsure)
    }
}
