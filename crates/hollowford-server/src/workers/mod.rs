//! The duty that holds the sessions with workers.

mod duty;
mod session;
#[cfg(test)]
mod tests;

pub(crate) use duty::run;

use hollowford_core::{Epoch, InstanceId, PartitionId};
use hollowford_protocol::v1;
use std::collections::HashMap;

/// An order, for one session only.
#[derive(Debug)]
pub(crate) struct Addressed {
    pub worker: InstanceId,
    pub session: u64,
    pub order: v1::Order,
}

/// What the duty is told.
#[derive(Debug)]
pub(crate) enum WorkerMsg {
    /// Hold sessions with just these workers, by address.
    Hold { partition: PartitionId, epoch: Epoch, workers: HashMap<InstanceId, String> },
    /// End all sessions of a partition.
    Drop { partition: PartitionId },
    /// Send orders.
    Orders { partition: PartitionId, orders: Vec<Addressed> },
}
