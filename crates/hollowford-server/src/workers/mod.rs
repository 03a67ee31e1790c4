//! The duty that holds the sessions with workers.

mod event_loop;
mod session;
#[cfg(test)]
mod tests;

pub(crate) use event_loop::run;

use hollowford_core::{Epoch, InstanceId, PartitionId};
use hollowford_protocol::v1;
use std::collections::HashMap;

/// An order, for one session only.
#[derive(Debug)]
pub(crate) struct AddressedOrder {
    pub worker: InstanceId,
    pub session: u64,
    pub order: v1::Order,
}

/// What the duty is told.
#[derive(Debug)]
pub(crate) enum WorkerMsg {
    /// Hold sessions with just these workers, by address.
    SetWorkers { partition: PartitionId, epoch: Epoch, workers: HashMap<InstanceId, String> },
    /// End all sessions of a partition.
    EndSessions { partition: PartitionId },
    /// Send orders.
    SendOrders { partition: PartitionId, orders: Vec<AddressedOrder> },
}
