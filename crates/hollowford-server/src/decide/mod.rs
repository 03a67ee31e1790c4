//! The deciding duty: one thread that holds the engines of all owned partitions.

mod calls;
mod event_loop;
mod owned_partition;
mod waiting_calls;

pub(crate) use event_loop::run;

use crate::ledger::LedgerHandle;
use crate::ownership::OwnerLease;
use hollowford_core::{Error, InstanceId, PartitionId};
use hollowford_engine::Record;
use hollowford_protocol::peer::{Call, Said};
use hollowford_protocol::v1;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Answers one call.
pub(crate) type ReplySender = oneshot::Sender<Result<Said, Error>>;

/// A partition that this process has taken over.
#[derive(Debug)]
pub(crate) struct TakenPartition {
    pub partition: PartitionId,
    pub lease: Arc<OwnerLease>,
    pub ledger: LedgerHandle,
    pub records: Vec<Record>,
}

/// What the deciding duty is told.
#[derive(Debug)]
pub(crate) enum DecideMsg {
    /// A caller's call.
    Call { call: Box<Call>, reply: ReplySender },
    /// Start to decide for a partition.
    TakeOver(Box<TakenPartition>),
    /// Stop to decide for a partition, and reply once its ledger is written.
    Release { partition: PartitionId, done: oneshot::Sender<()> },
    /// A worker replied to the claim of this session.
    WorkerClaimed {
        partition: PartitionId,
        worker: InstanceId,
        session: u64,
        report: Box<v1::Report>,
    },
    /// A worker of this session reported.
    WorkerReport {
        partition: PartitionId,
        worker: InstanceId,
        session: u64,
        report: Box<v1::Report>,
    },
    /// The session with a worker ended.
    SessionEnded { partition: PartitionId, worker: InstanceId, session: u64 },
    /// The instance list was read again.
    InstancesChanged,
    /// The configuration in force has changed.
    AccountsChanged,
    /// Describe the state of all owned partitions, as JSON.
    DumpState(oneshot::Sender<serde_json::Value>),
}
