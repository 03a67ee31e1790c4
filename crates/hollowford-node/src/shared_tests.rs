//! What a process believes before it has heard anything.
#![allow(clippy::expect_used)]

use crate::metrics::Metrics;
use crate::shared::Shared;
use hollowford_adapter::{NodeSettings, StoreClient, WorkerClient};
use hollowford_core::Millis;
use std::net::SocketAddr;

/// Makes what the duties of a process share, from the example of the settings.
pub fn shared() -> Shared {
    shared_with(None)
}

/// Makes the same with the store at another address.
pub fn shared_with(store: Option<SocketAddr>) -> Shared {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../platform/examples/settings.toml");
    let settings = NodeSettings::from_file(file).expect("the example");
    let store = StoreClient::new(store.unwrap_or(settings.store)).expect("a client");
    let workers = WorkerClient::new().expect("a client");
    Shared::new(settings, store, None, workers, Metrics::new().expect("metrics"))
}

#[test]
fn a_process_that_has_just_started_has_reached_no_owner() {
    let shared = shared();
    assert_eq!(shared.owners_age(), Millis::MAX, "the plan is not known");
    shared.set_partitions(2);
    assert_eq!(shared.owners_age(), Millis::MAX);
    shared.partitions()[0].note_owner(shared.clock.now());
    assert_eq!(shared.owners_age(), Millis::MAX, "one of two owners was never reached");
    shared.partitions()[1].note_owner(shared.clock.now());
    assert!(shared.owners_age() < Millis::MAX);
}
