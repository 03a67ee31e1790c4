//! Tests that an order reaches the worker only in the session for which it was made.

use super::AddressedOrder;
use super::event_loop::{Link, Links, send};
use super::session::{OpenSession, Slot};
use crate::shared::Shared;
use hollowford_config::Settings;
use hollowford_core::{Epoch, InstanceId, PartitionId};
use hollowford_protocol::v1;
use std::sync::Arc;
use tokio::sync::mpsc;

const PARTITION: PartitionId = PartitionId(0);

fn shared() -> Arc<Shared> {
    let text = include_str!("../../../../examples/kivu-process.jsonc");
    Shared::new(Settings::try_from(text).unwrap()).unwrap()
}

fn links(session: u64, capacity: usize) -> (Links, mpsc::Receiver<v1::Order>) {
    let (orders, rx) = mpsc::channel(capacity);
    let slot = Slot::default();
    *slot.lock().unwrap() = Some(OpenSession { session, orders });
    let task = tokio::spawn(async {});
    let link = Link { addr: "a".to_owned(), epoch: Epoch(1), slot, task };
    (Links::from([((PARTITION, InstanceId::from("w")), link)]), rx)
}

fn order(session: u64) -> AddressedOrder {
    AddressedOrder { worker: "w".into(), session, order: v1::Order::default() }
}

#[tokio::test]
async fn an_order_of_an_ended_session_is_dropped() {
    let shared = shared();
    let (links, mut rx) = links(2, 4);
    send(&shared, &links, PARTITION, order(1));
    assert!(rx.try_recv().is_err());
    send(&shared, &links, PARTITION, order(2));
    assert!(rx.try_recv().is_ok());
}

#[tokio::test]
async fn a_worker_that_does_not_keep_up_loses_its_session() {
    let shared = shared();
    let (links, mut rx) = links(1, 1);
    send(&shared, &links, PARTITION, order(1));
    send(&shared, &links, PARTITION, order(1));
    let slot = &links[&(PARTITION, InstanceId::from("w"))].slot;
    assert!(slot.lock().unwrap().is_none());
    assert!(rx.try_recv().is_ok());
    // No further order is sent in that session.
    send(&shared, &links, PARTITION, order(1));
    assert!(rx.try_recv().is_err());
}
