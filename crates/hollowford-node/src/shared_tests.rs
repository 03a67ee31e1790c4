//! What a process believes before it has heard anything.
#![allow(clippy::expect_used)]

use crate::metrics::Metrics;
use crate::shared::Shared;
use hollowford_adapter::{NodeSettings, StoreClient};
use hollowford_core::Millis;

fn shared() -> Shared {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../platform/examples/settings.toml");
    let settings = NodeSettings::from_file(file).expect("the example");
    let store = StoreClient::new(settings.store).expect("a client");
    Shared::new(settings, store, None, Metrics::new().expect("metrics"))
}

#[test]
fn a_process_that_has_just_started_has_reached_no_owner() {
    let shared = shared();
    assert_eq!(shared.owner_age(), Millis::MAX);
    shared.note_owner();
    assert!(shared.owner_age() < Millis::MAX);
}
