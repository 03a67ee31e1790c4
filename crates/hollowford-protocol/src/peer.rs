//! Messages between the system's own processes.
//!
//! Written by hand with `prost`'s derive, so that they need no generator. A link
//! starts with a challenge and a hello; from then on frames of both sides mix.

use crate::v1;
use hollowford_core::{Error, ErrorKind};

/// One frame. A reply carries the id of its call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number of the call on this link; 0 for messages without a reply.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What the frame says.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of the side that was called.
    #[prost(message, tag = "2")]
    Challenge(Challenge),
    /// First frame of the side that called.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Sent about twice a second in both directions.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// A call to the owner of a partition.
    #[prost(message, tag = "5")]
    Call(Call),
    /// The answer to a call.
    #[prost(message, tag = "6")]
    Reply(Reply),
    /// A partition was given up and may be taken at once.
    #[prost(message, tag = "7")]
    Released(Released),
    /// The sender has taken a partition over and decides for it.
    #[prost(message, tag = "8")]
    Took(Took),
}

/// Asks the caller to prove that it knows the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Challenge {
    /// Random bytes, to be used once.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
}

/// Names the calling process and proves that it knows the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Id of the calling process.
    #[prost(string, tag = "1")]
    pub process: String,
    /// The proof, over the challenge's nonce.
    #[prost(bytes = "vec", tag = "2")]
    pub mac: Vec<u8>,
}

/// What a process tells its peers about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Id of the sender.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Newest configuration change that the sender has in force.
    #[prost(uint64, tag = "2")]
    pub config_head: u64,
    /// Milliseconds since the sender knew that to be the newest.
    #[prost(uint64, tag = "3")]
    pub config_age_ms: u64,
    /// The sender is about to stop.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Where the sender takes peer links, as `IP:port`.
    #[prost(string, tag = "5")]
    pub addr: String,
    /// The sender's clock in milliseconds.
    #[prost(uint64, tag = "6")]
    pub stamp: u64,
    /// The stamp that the sender heard last from the receiver; 0: none.
    #[prost(uint64, tag = "7")]
    pub echo: u64,
    /// The store does not answer the sender, and for so many milliseconds after it
    /// heard `echo` it takes over no partition; 0: it does not promise that.
    #[prost(uint64, tag = "8")]
    pub promise_ms: u64,
    /// The partitions that the sender owns: one that has missed a takeover can't read of it
    /// while the store is away.
    #[prost(message, repeated, tag = "9")]
    pub owns: Vec<OwnedPartition>,
}

/// A partition that a process owns.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct OwnedPartition {
    /// The partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The epoch in which it is owned.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// The owner has written the partition's row free.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Released {
    /// The partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
}

/// The sender has taken a partition over and decides for it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Took {
    /// The partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The sender's epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Id of the sender.
    #[prost(string, tag = "3")]
    pub process: String,
}

/// A call of a client account, relayed by an entry to the owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
    /// The partition that the entry believes the receiver owns.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The authenticated client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// What is asked.
    #[prost(oneof = "Op", tags = "3, 4, 5, 6, 7")]
    pub op: Option<Op>,
}

/// What a relayed call asks.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Op {
    /// Submit a request.
    #[prost(message, tag = "3")]
    Submit(v1::SubmitRequest),
    /// Read a request, now or after a change.
    #[prost(message, tag = "4")]
    Get(v1::GetRequest),
    /// Cancel a request.
    #[prost(message, tag = "5")]
    Cancel(v1::CancelRequest),
    /// Cancel by label, in this partition.
    #[prost(message, tag = "6")]
    CancelByLabel(v1::CancelByLabelRequest),
    /// List requests of this partition.
    #[prost(message, tag = "7")]
    List(v1::ListRequest),
}

/// The answer to a relayed call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// What is answered.
    #[prost(oneof = "Said", tags = "1, 2, 3, 4")]
    pub said: Option<Said>,
}

/// What a reply says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Said {
    /// A request's view.
    #[prost(message, tag = "1")]
    View(ViewReply),
    /// How many requests were cancelled.
    #[prost(message, tag = "2")]
    Cancelled(v1::CancelByLabelReply),
    /// A page of requests.
    #[prost(message, tag = "3")]
    List(v1::ListReply),
    /// The call was refused.
    #[prost(message, tag = "4")]
    Refused(Refused),
}

/// A request's view, with the results that are kept as objects.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewReply {
    /// The view, without those results.
    #[prost(message, optional, tag = "1")]
    pub view: Option<v1::RequestView>,
    /// Where they are.
    #[prost(message, repeated, tag = "2")]
    pub objects: Vec<ObjectResult>,
}

/// A result that is kept as an object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObjectResult {
    /// Index of the task.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// The object.
    #[prost(string, tag = "2")]
    pub object: String,
}

/// An error on its way between processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Stable name of the kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// What happened.
    #[prost(string, tag = "2")]
    pub message: String,
    /// When to come back, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_ms: Option<u64>,
}

impl From<&Error> for Refused {
    fn from(e: &Error) -> Refused {
        Refused {
            kind: e.kind.info().name.to_owned(),
            message: e.message.clone(),
            retry_after_ms: e.retry_after_ms,
        }
    }
}

impl From<Refused> for Error {
    fn from(r: Refused) -> Error {
        let kind = ErrorKind::from_name(&r.kind).unwrap_or(ErrorKind::Internal);
        Error { kind, message: r.message, retry_after_ms: r.retry_after_ms }
    }
}
