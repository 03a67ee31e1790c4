//! The event loop of the `workers` thread.

use super::session::{self, Slot};
use super::{AddressedOrder, WorkerMsg};
use crate::shared::Shared;
use hollowford_core::{Epoch, InstanceId, PartitionId};
use std::collections::HashMap;
use std::sync::{Arc, PoisonError};
use tokio::task::JoinHandle;

/// The task that maintains the session with one worker, and the slot of the session.
pub(super) struct Link {
    pub addr: String,
    pub epoch: Epoch,
    pub slot: Slot,
    pub task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// All links, by partition and worker.
pub(super) type Links = HashMap<(PartitionId, InstanceId), Link>;

/// Runs the event loop. Never returns.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut links = Links::new();
    loop {
        match shared.workers.recv().await {
            WorkerMsg::SetWorkers { partition, epoch, workers } => {
                set_workers(&shared, &mut links, partition, epoch, workers);
            }
            WorkerMsg::EndSessions { partition } => links.retain(|(p, _), _| *p != partition),
            WorkerMsg::SendOrders { partition, orders } => {
                for order in orders {
                    send(&shared, &links, partition, order);
                }
            }
        }
    }
}

fn set_workers(
    shared: &Arc<Shared>,
    links: &mut Links,
    partition: PartitionId,
    epoch: Epoch,
    workers: HashMap<InstanceId, String>,
) {
    let is_current =
        |id: &InstanceId, l: &Link| l.epoch == epoch && workers.get(id) == Some(&l.addr);
    links.retain(|(p, id), link| *p != partition || is_current(id, link));
    for (worker, addr) in workers {
        let key = (partition, worker.clone());
        links.entry(key).or_insert_with(|| {
            let slot = Slot::default();
            let target = session::Target { partition, epoch, worker, addr: addr.clone() };
            let task = tokio::spawn(session::keep_session(shared.clone(), target, slot.clone()));
            Link { addr, epoch, slot, task }
        });
    }
}

/// Sends an order if its session is open. An order of an ended session is dropped, because the
/// next claim reports the state of the worker's tasks.
pub(super) fn send(shared: &Shared, links: &Links, partition: PartitionId, order: AddressedOrder) {
    let Some(link) = links.get(&(partition, order.worker)) else {
        return;
    };
    let mut slot = link.slot.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(session) = slot.as_ref().filter(|s| s.session == order.session) else {
        return;
    };
    if session.orders.try_send(order.order).is_err() {
        // The worker receives too slowly: its session ends, and a new claim reports its state.
        shared.metrics.ring_full.with_label_values(&["worker_orders"]).inc();
        *slot = None;
    }
}
