//! Messages between the system's own processes.

mod caller_calls;

use crate::delegate_wire::{Delegated, Outcomes};
use crate::worker_changes::WorkerChanges;
pub use caller_calls::{Call, CallAnswer, Said, Verb};
use prost::{Message, Oneof};

/// One frame on a link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What it says.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<Body>,
}

/// What a frame says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// A process opens a link to the owner.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The owner is alive.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// A member is alive.
    #[prost(message, tag = "3")]
    MemberBeat(MemberBeat),
    /// A caller's request.
    #[prost(message, tag = "4")]
    Call(Call),
    /// Its answer.
    #[prost(message, tag = "5")]
    Answer(CallAnswer),
    /// The owner wants a call for advice made.
    #[prost(message, tag = "6")]
    Ask(Ask),
    /// What came of that call.
    #[prost(message, tag = "7")]
    Advice(Advice),
    /// Who owns the partition, as the sender knows it.
    #[prost(message, tag = "8")]
    Owner(OwnerInfo),
    /// The receiver is to take the partition over.
    #[prost(message, tag = "9")]
    HandOver(HandOver),
    /// The sender wants to know who owns the partition.
    #[prost(message, tag = "10")]
    WhoOwns(WhoOwns),
    /// The newest configuration, for a member that lacks it.
    #[prost(message, tag = "11")]
    Config(ConfigRow),
    /// The sender wants to know how many partitions there are.
    #[prost(message, tag = "12")]
    WhatPlan(WhatPlan),
    /// How many partitions there are.
    #[prost(message, tag = "13")]
    Plan(Plan),
    /// Calls to workers that the member is to make.
    #[prost(message, tag = "14")]
    Delegated(Delegated),
    /// What came of them.
    #[prost(message, tag = "15")]
    Outcomes(Outcomes),
    /// Another frame, packed.
    #[prost(bytes, tag = "16")]
    Packed(Vec<u8>),
    /// What a reading of the list of workers has changed.
    #[prost(message, tag = "17")]
    Workers(WorkerChanges),
}

/// Asks who owns a partition.
#[derive(Clone, PartialEq, Message)]
pub struct WhoOwns {
    /// Its number.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
}

/// A question without content.
#[derive(Clone, PartialEq, Message)]
pub struct WhatPlan {}

/// What was decided once for the whole cell. Also a row of the store.
#[derive(Clone, PartialEq, Message)]
pub struct Plan {
    /// How many partitions there are; 0: the sender doesn't know.
    #[prost(uint32, tag = "1")]
    pub partitions: u32,
}

/// Names a process to the owner.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Where its peers reach it.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Thousandths of a core that it gets.
    #[prost(uint32, tag = "2")]
    pub cpu_milli: u32,
    /// How long it has run, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The owner that it takes the receiver for.
    #[prost(message, optional, tag = "4")]
    pub owner: Option<OwnerInfo>,
    /// Its availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
}

/// An owner, by its epoch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OwnerInfo {
    /// Its epoch; 0: none is known.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Where its peers reach it.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Tells this life of the process from another at the same address.
    #[prost(uint64, tag = "3")]
    pub boot: u64,
    /// Number of the partition that it owns.
    #[prost(uint32, tag = "4")]
    pub partition: u32,
    /// Thousandths of a core that it gets.
    #[prost(uint32, tag = "5")]
    pub cpu_milli: u32,
}

/// The operator's configuration as it stands in the store.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigRow {
    /// Version of its row.
    #[prost(uint64, tag = "1")]
    pub row_version: u64,
    /// Its bytes, packed.
    #[prost(bytes = "vec", tag = "2")]
    pub packed: Vec<u8>,
}

/// An owner gives the partition to a member.
#[derive(Clone, PartialEq, Message)]
pub struct HandOver {
    /// Version of the owner row, if nothing more will be written by the owner; 0: read it.
    #[prost(uint64, tag = "1")]
    pub rev: u64,
}

/// The owner's heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Its epoch; 0: it is about to become the owner, and takes no calls yet.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Addresses of the members, in the order in which they take over; none: as told before.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
    /// Version of the configuration that it knows.
    #[prost(uint64, tag = "3")]
    pub config: u64,
    /// The store doesn't answer it: members are to find out whether it answers them.
    #[prost(bool, tag = "4")]
    pub store_lost: bool,
    /// Time between two heartbeats, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub every_ms: u64,
    /// Time since it read the configuration in the store, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub config_age_ms: u64,
}

/// A member's heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct MemberBeat {
    /// Newest epoch of an owner that it knows.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Time since the store answered it last, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub store_age_ms: u64,
    /// Version of the configuration that it knows.
    #[prost(uint64, tag = "3")]
    pub config: u64,
    /// It is about to stop.
    #[prost(bool, tag = "4")]
    pub stopping: bool,
    /// How many partitions it owns.
    #[prost(uint32, tag = "5")]
    pub owned: u32,
}

/// A call for advice to be made.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// The step, as the service names it.
    #[prost(string, tag = "1")]
    pub step: String,
    /// Ids of the workers.
    #[prost(string, repeated, tag = "2")]
    pub workers: Vec<String>,
    /// Longest time for it, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub timeout_ms: u64,
}

/// What came of a call for advice.
#[derive(Clone, PartialEq, Message)]
pub struct Advice {
    /// The step.
    #[prost(string, tag = "1")]
    pub step: String,
    /// Whether the service answered.
    #[prost(bool, tag = "2")]
    pub answered: bool,
    /// Ids of the workers that may run it.
    #[prost(string, repeated, tag = "3")]
    pub workers: Vec<String>,
    /// Their tickets, in the same order.
    #[prost(string, repeated, tag = "4")]
    pub tickets: Vec<String>,
    /// How long the tickets hold, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub validity_ms: u64,
}

impl From<Body> for Frame {
    fn from(body: Body) -> Frame {
        Frame { body: Some(body) }
    }
}

/// The row that names the owner.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerRow {
    /// Who owns the partition.
    #[prost(message, optional, tag = "1")]
    pub owner: Option<OwnerInfo>,
    /// Number of its last batch.
    #[prost(uint64, tag = "2")]
    pub batch: u64,
}
