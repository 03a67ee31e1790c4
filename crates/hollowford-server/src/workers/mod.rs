//! The `workers` thread, which maintains the sessions with workers.

mod event_loop;
mod session;
#[cfg(test)]
mod tests;

pub(crate) use event_loop::run;

use hollowford_core::{Epoch, InstanceId, PartitionId};
use hollowford_protocol::v1;
use std::collections::HashMap;

/// An order for a worker, valid in one session only.
#[derive(Debug)]
pub(crate) struct AddressedOrder {
    pub worker: InstanceId,
    pub session: u64,
    pub order: v1::Order,
}

/// A message to the `workers` thread.
#[derive(Debug)]
pub(crate) enum WorkerMsg {
    /// Maintain sessions with exactly these workers of a partition. The values are addresses.
    SetWorkers { partition: PartitionId, epoch: Epoch, workers: HashMap<InstanceId, String> },
    /// End all sessions of a partition.
    EndSessions { partition: PartitionId },
    /// Send orders.
    SendOrders { partition: PartitionId, orders: Vec<AddressedOrder> },
}
