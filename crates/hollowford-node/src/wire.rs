//! Messages between the processes of a cell.

mod caller_calls;

use crate::delegate_wire::{Delegated, Outcomes};
use crate::worker_changes::WorkerChanges;
pub use caller_calls::{Call, CallAnswer, Said, Verb};
use prost::{Message, Oneof};

/// One frame on a link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message in the frame.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<Body>,
}

/// The messages that a frame can hold.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Introduces a process that opens a link to the owner.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Heartbeat of the owner.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Heartbeat of a member.
    #[prost(message, tag = "3")]
    MemberBeat(MemberBeat),
    /// A caller's request.
    #[prost(message, tag = "4")]
    Call(Call),
    /// The answer to a caller's request.
    #[prost(message, tag = "5")]
    Answer(CallAnswer),
    /// Asks a member to call the advice service.
    #[prost(message, tag = "6")]
    Ask(Ask),
    /// The outcome of a call to the advice service.
    #[prost(message, tag = "7")]
    Advice(Advice),
    /// The owner of the partition, as far as the sender knows.
    #[prost(message, tag = "8")]
    Owner(OwnerInfo),
    /// Asks the receiver to take over the partition.
    #[prost(message, tag = "9")]
    HandOver(HandOver),
    /// Asks who owns a partition.
    #[prost(message, tag = "10")]
    WhoOwns(WhoOwns),
    /// The newest configuration, for a member that doesn't have it.
    #[prost(message, tag = "11")]
    Config(ConfigRow),
    /// Asks how many partitions the cell has.
    #[prost(message, tag = "12")]
    WhatPlan(WhatPlan),
    /// The number of partitions.
    #[prost(message, tag = "13")]
    Plan(Plan),
    /// Calls to workers that the member should make.
    #[prost(message, tag = "14")]
    Delegated(Delegated),
    /// Outcomes of calls to workers.
    #[prost(message, tag = "15")]
    Outcomes(Outcomes),
    /// Another frame, compressed.
    #[prost(bytes, tag = "16")]
    Packed(Vec<u8>),
    /// Changes of the list of workers.
    #[prost(message, tag = "17")]
    Workers(WorkerChanges),
}

/// Asks who owns a partition.
#[derive(Clone, PartialEq, Message)]
pub struct WhoOwns {
    /// Number of the partition.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
}

/// Asks how many partitions the cell has.
#[derive(Clone, PartialEq, Message)]
pub struct WhatPlan {}

/// The number of partitions, decided once for the whole cell. Also stored as a row.
#[derive(Clone, PartialEq, Message)]
pub struct Plan {
    /// Number of partitions, or 0 if the sender doesn't know.
    #[prost(uint32, tag = "1")]
    pub partitions: u32,
}

/// Introduces a process to the owner.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Address for links from other processes.
    #[prost(string, tag = "1")]
    pub address: String,
    /// CPU share of the process, in thousandths of a core.
    #[prost(uint32, tag = "2")]
    pub cpu_milli: u32,
    /// Time since the process started, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The owner that the sender expects at the receiver.
    #[prost(message, optional, tag = "4")]
    pub owner: Option<OwnerInfo>,
    /// Availability zone of the process.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Random id of the process; 0 if the sender doesn't tell it.
    #[prost(uint64, tag = "6")]
    pub boot: u64,
}

/// The owner of a partition in one epoch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OwnerInfo {
    /// Epoch of the owner, or 0 if none is known.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Address for links from other processes.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Random id of the process, which distinguishes it from earlier processes at the same address.
    #[prost(uint64, tag = "3")]
    pub boot: u64,
    /// Number of the partition.
    #[prost(uint32, tag = "4")]
    pub partition: u32,
    /// CPU share of the process, in thousandths of a core.
    #[prost(uint32, tag = "5")]
    pub cpu_milli: u32,
}

/// The operator's configuration as stored.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigRow {
    /// Version of the row in the store.
    #[prost(uint64, tag = "1")]
    pub row_version: u64,
    /// Compressed content of the row.
    #[prost(bytes = "vec", tag = "2")]
    pub packed: Vec<u8>,
}

/// Hands the partition over to a member.
#[derive(Clone, PartialEq, Message)]
pub struct HandOver {
    /// Version of the owner row, or 0 if the owner may still change it; then the receiver has to
    /// read it.
    #[prost(uint64, tag = "1")]
    pub rev: u64,
}

/// The owner's heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Epoch of the owner, or 0 if the sender is taking over and accepts no calls yet.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Addresses of the members in the order in which they take over. Empty if unchanged.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
    /// Version of the configuration that the owner knows.
    #[prost(uint64, tag = "3")]
    pub config: u64,
    /// The store doesn't answer the owner; members should check whether it answers them.
    #[prost(bool, tag = "4")]
    pub store_lost: bool,
    /// Interval of the owner's heartbeats, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub every_ms: u64,
    /// Time since the owner read the configuration in the store, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub config_age_ms: u64,
    /// When it was sent, by the owner's clock, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub sent_ms: u64,
}

/// A member's heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct MemberBeat {
    /// Newest epoch that the member knows.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Time since the store last answered the member, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub store_age_ms: u64,
    /// Version of the configuration that the member knows.
    #[prost(uint64, tag = "3")]
    pub config: u64,
    /// The process is about to stop.
    #[prost(bool, tag = "4")]
    pub stopping: bool,
    /// Number of partitions that the process owns.
    #[prost(uint32, tag = "5")]
    pub owned: u32,
    /// [`Heartbeat::sent_ms`] of the last heartbeat received over this link; 0 if there was none.
    #[prost(uint64, tag = "6")]
    pub echoed_ms: u64,
}

/// A request to call the advice service.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// The step, as the advice service names it.
    #[prost(string, tag = "1")]
    pub step: String,
    /// Ids of the workers.
    #[prost(string, repeated, tag = "2")]
    pub workers: Vec<String>,
    /// Timeout of the call, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub timeout_ms: u64,
}

/// The outcome of a call to the advice service.
#[derive(Clone, PartialEq, Message)]
pub struct Advice {
    /// The step, as the advice service names it.
    #[prost(string, tag = "1")]
    pub step: String,
    /// Whether the service answered.
    #[prost(bool, tag = "2")]
    pub answered: bool,
    /// Ids of the workers that may run the step.
    #[prost(string, repeated, tag = "3")]
    pub workers: Vec<String>,
    /// Tickets of these workers, in the same order.
    #[prost(string, repeated, tag = "4")]
    pub tickets: Vec<String>,
    /// How long the tickets are valid, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub validity_ms: u64,
}

impl From<Body> for Frame {
    fn from(body: Body) -> Frame {
        Frame { body: Some(body) }
    }
}

/// Content of a lane's row in the store. The row of the first lane is the owner row.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerRow {
    /// The owner of the partition.
    #[prost(message, optional, tag = "1")]
    pub owner: Option<OwnerInfo>,
    /// Number of the last batch committed in the lane, or 0 after a takeover.
    #[prost(uint64, tag = "2")]
    pub batch: u64,
    /// Only in the owner row.
    #[prost(message, optional, tag = "3")]
    pub terms: Option<RenewalTerms>,
}

/// From what the next owner concludes how long workers that it doesn't reach may run tasks.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RenewalTerms {
    /// Random ids of the designated successors: while the store doesn't confirm the ownership, the
    /// owner renews leases only as long as all of them follow it.
    #[prost(fixed64, repeated, tag = "1")]
    pub successors: Vec<u64>,
    /// Until when earlier owners' leases may last, by the store's clock in milliseconds; 0 if they
    /// end within the usual time.
    #[prost(uint64, tag = "2")]
    pub earlier_leases_until_ms: u64,
}
