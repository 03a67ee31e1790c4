//! Messages between the scheduler's processes.
//!
//! They are declared with `prost`'s derive macros, so that they need no code generator. A link
//! starts with a challenge and a hello; after that, both sides send frames at any time.

use crate::v1;
use hollowford_core::{Error, ErrorKind};

/// One frame. A reply has the id of its call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Number of the call on this link; 0 for messages without a reply.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Content of the frame.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of the side that accepted the connection.
    #[prost(message, tag = "2")]
    Challenge(Challenge),
    /// First frame of the side that opened the connection.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Sent several times a second in both directions.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// A call to the owner of a partition.
    #[prost(message, tag = "5")]
    Call(Call),
    /// The answer to a call.
    #[prost(message, tag = "6")]
    Reply(Reply),
    /// A partition was released and may be taken over at once.
    #[prost(message, tag = "7")]
    Released(Released),
    /// The sender has taken a partition over and is its owner.
    #[prost(message, tag = "8")]
    Took(Took),
}

/// Asks the connecting process to prove that it knows the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Challenge {
    /// Random bytes, used only once.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
}

/// Names the connecting process and proves that it knows the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Id of the connecting process.
    #[prost(string, tag = "1")]
    pub process: String,
    /// HMAC over the nonce of the challenge and the process id.
    #[prost(bytes = "vec", tag = "2")]
    pub mac: Vec<u8>,
}

/// State that a process reports to its peers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Id of the sender.
    #[prost(string, tag = "1")]
    pub process: String,
    /// Number of the newest configuration change applied by the sender.
    #[prost(uint64, tag = "2")]
    pub config_head: u64,
    /// Milliseconds since the sender last confirmed that this change is the newest.
    #[prost(uint64, tag = "3")]
    pub config_age_ms: u64,
    /// Whether the sender is about to stop.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Address on which the sender accepts links from peers, as `IP:port`.
    #[prost(string, tag = "5")]
    pub addr: String,
    /// Reading of the sender's clock in milliseconds.
    #[prost(uint64, tag = "6")]
    pub stamp: u64,
    /// Last `stamp` that the sender received from the receiver; 0 if there is none.
    #[prost(uint64, tag = "7")]
    pub echo: u64,
    /// Time in milliseconds, counted from when the sender received `echo`, for which it promises
    /// not to take over a partition because the store does not answer it; 0 means no promise.
    #[prost(uint64, tag = "8")]
    pub promise_ms: u64,
    /// Partitions that the sender owns. A peer that has missed a takeover learns the new owner
    /// from this while the store is unavailable.
    #[prost(message, repeated, tag = "9")]
    pub owns: Vec<OwnedPartition>,
}

/// A partition that a process owns.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct OwnedPartition {
    /// Number of the partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// Epoch of the ownership.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// The owner has cleared the ownership row of a partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Released {
    /// Number of the partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
}

/// The sender has taken a partition over and is its owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Took {
    /// Number of the partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// Epoch of the sender's ownership.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Id of the sender.
    #[prost(string, tag = "3")]
    pub process: String,
}

/// A call of a client account, relayed by an entry process to the owner of the partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Call {
    /// Partition that the receiver should own, as far as the entry process knows.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// The authenticated client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Requested operation.
    #[prost(oneof = "Op", tags = "3, 4, 5, 6, 7")]
    pub op: Option<Op>,
}

/// Operation of a relayed call.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Op {
    /// Submit a request.
    #[prost(message, tag = "3")]
    Submit(v1::SubmitRequest),
    /// Read a request, at once or after a change.
    #[prost(message, tag = "4")]
    Get(v1::GetRequest),
    /// Cancel a request.
    #[prost(message, tag = "5")]
    Cancel(v1::CancelRequest),
    /// Cancel the requests with a label in this partition.
    #[prost(message, tag = "6")]
    CancelByLabel(v1::CancelByLabelRequest),
    /// List the requests of this partition.
    #[prost(message, tag = "7")]
    List(v1::ListRequest),
}

/// The answer to a relayed call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// Content of the reply.
    #[prost(oneof = "Said", tags = "1, 2, 3, 4")]
    pub said: Option<Said>,
}

/// Content of a reply.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Said {
    /// The view of a request.
    #[prost(message, tag = "1")]
    View(ViewReply),
    /// Number of cancelled requests.
    #[prost(message, tag = "2")]
    Cancelled(v1::CancelByLabelReply),
    /// A page of requests.
    #[prost(message, tag = "3")]
    List(v1::ListReply),
    /// The call was refused.
    #[prost(message, tag = "4")]
    Refused(Refused),
}

/// The view of a request and references to the results stored as objects.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewReply {
    /// The view, without the results stored as objects.
    #[prost(message, optional, tag = "1")]
    pub view: Option<v1::RequestView>,
    /// References to these results.
    #[prost(message, repeated, tag = "2")]
    pub objects: Vec<ObjectResult>,
}

/// Reference to a result stored as an object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObjectResult {
    /// Index of the task.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// Key of the object.
    #[prost(string, tag = "2")]
    pub object: String,
}

/// An error returned to another process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Stable name of the error kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Error message.
    #[prost(string, tag = "2")]
    pub message: String,
    /// Delay before a retry, in milliseconds.
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
