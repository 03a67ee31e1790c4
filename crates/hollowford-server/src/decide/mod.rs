//! The deciding duty: one thread that holds the engines of all owned partitions.

mod calls;
mod duty;
mod owned;
mod waiters;

pub(crate) use duty::run;

use crate::ledger::LedgerHandle;
use crate::ownership::OwnerLease;
use hollowford_core::{Error, InstanceId, PartitionId};
use hollowford_engine::Record;
use hollowford_protocol::peer::{Call, Said};
use hollowford_protocol::v1;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Answers one call.
pub(crate) type ReplyTo = oneshot::Sender<Result<Said, Error>>;

/// A partition that this process has taken over.
#[derive(Debug)]
pub(crate) struct Take {
    pub partition: PartitionId,
    pub lease: Arc<OwnerLease>,
    pub ledger: LedgerHandle,
    pub records: Vec<Record>,
}

/// What the deciding duty is told.
#[derive(Debug)]
pub(crate) enum DecideMsg {
    /// A caller's call.
    Call { call: Box<Call>, reply: ReplyTo },
    /// Start to decide for a partition.
    Take(Box<Take>),
    /// Stop to decide for a partition, and reply once its ledger is written.
    Release { partition: PartitionId, done: oneshot::Sender<()> },
    /// A worker replied to the claim of this session.
    Claimed { partition: PartitionId, worker: InstanceId, session: u64, report: Box<v1::Report> },
    /// A worker of this session reported.
    Report { partition: PartitionId, worker: InstanceId, session: u64, report: Box<v1::Report> },
    /// The session with a worker ended.
    Lost { partition: PartitionId, worker: InstanceId, session: u64 },
    /// The instance list was read again.
    Instances,
    /// The configuration in force has changed.
    Accounts,
    /// Describe the state of all owned partitions, as JSON.
    Dump(oneshot::Sender<serde_json::Value>),
}
