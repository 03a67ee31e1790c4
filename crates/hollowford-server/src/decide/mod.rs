//! The `decide` thread, which runs the engines of all partitions that this process owns.

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

/// Sends the answer to one call.
pub(crate) type ReplySender = oneshot::Sender<Result<Said, Error>>;

/// A partition that this process has taken over, with the records recovered from its ledger.
#[derive(Debug)]
pub(crate) struct TakenPartition {
    pub partition: PartitionId,
    pub lease: Arc<OwnerLease>,
    pub ledger: LedgerHandle,
    pub records: Vec<Record>,
}

/// A message to the `decide` thread.
#[derive(Debug)]
pub(crate) enum DecideMsg {
    /// A call of a client account.
    Call { call: Box<Call>, reply: ReplySender },
    /// Start scheduling for a partition.
    TakeOver(Box<TakenPartition>),
    /// Stop scheduling for a partition, and reply once its ledger is durable.
    Release { partition: PartitionId, done: oneshot::Sender<()> },
    /// A worker replied to the claim that opened this session.
    WorkerClaimed {
        partition: PartitionId,
        worker: InstanceId,
        session: u64,
        report: Box<v1::Report>,
    },
    /// A worker sent a report in this session.
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
    /// The active account configuration has changed.
    AccountsChanged,
    /// Describe the state of all owned partitions, as JSON.
    DumpState(oneshot::Sender<serde_json::Value>),
}
