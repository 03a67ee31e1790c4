//! Initial state of a process, and detection of store outages.
#![allow(clippy::expect_used)]

use crate::metrics::Metrics;
use crate::shared::Shared;
use hollowford_adapter::{NodeSettings, StoreClient, WorkerClient};
use hollowford_core::{Clock, Millis};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

/// Returns the shared state of a process with the example settings.
pub fn shared() -> Shared {
    shared_with(None)
}

/// Returns the shared state of such a process with the store at another address.
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
    assert_eq!(
        shared.max_owner_contact_age(),
        Millis::MAX,
        "the number of partitions is not known"
    );
    shared.set_partitions(2);
    assert_eq!(shared.max_owner_contact_age(), Millis::MAX);
    shared.partitions()[0].record_owner_contact(shared.clock.now());
    assert_eq!(shared.max_owner_contact_age(), Millis::MAX, "one of two owners was never reached");
    shared.partitions()[1].record_owner_contact(shared.clock.now());
    assert!(shared.max_owner_contact_age() < Millis::MAX);
}

// Only an outage of some length can lose changes of the previous owner. A single failed call must
// not count as one.
#[test]
fn single_calls_to_the_store_that_fail_are_no_outage() {
    let shift: &AtomicU64 = Box::leak(Box::new(AtomicU64::new(1_000)));
    let mut shared = shared();
    shared.clock = Clock::new().shifted(shift);
    let pass = |ms| shift.fetch_add(ms, Ordering::Relaxed);
    let within = Millis(2_000);
    shared.record_store_answer();
    pass(3_000);
    shared.record_store_failure(Millis(500));
    pass(100);
    shared.record_store_answer();
    assert!(!shared.had_outage_within(within), "a single failed call");

    pass(100);
    for _ in 0..5 {
        shared.record_store_failure(Millis(500));
        pass(200);
    }
    shared.record_store_answer();
    assert!(shared.had_outage_within(within));
    pass(2_500);
    assert!(!shared.had_outage_within(within), "the outage ended too long ago");
}

// A slow store must not be taken for one that rejects this process: the owner would hand over
// although no other process is served any better.
#[test]
fn only_calls_that_fail_at_once_are_rejections() {
    let shift: &AtomicU64 = Box::leak(Box::new(AtomicU64::new(1_000)));
    let mut shared = shared();
    shared.clock = Clock::new().shifted(shift);
    let pass = |ms| shift.fetch_add(ms, Ordering::Relaxed);
    shared.record_store_answer();
    for _ in 0..3 {
        pass(500);
        shared.record_store_failure(Millis(500));
    }
    assert_eq!(shared.store_rejecting_since(), None, "timeouts");

    shared.record_store_failure(Millis(3));
    let since = shared.store_rejecting_since();
    assert!(since.is_some());
    pass(250);
    shared.record_store_failure(Millis(3));
    assert!(shared.is_store_rejecting(Millis(200)));
    assert_eq!(shared.store_rejecting_since(), since, "counted from the first rejection");

    shared.record_store_answer();
    assert_eq!(shared.store_rejecting_since(), None, "the store has answered");
    shared.record_store_failure(Millis(3));
    pass(2_000);
    assert_eq!(shared.store_rejecting_since(), None, "an old rejection says nothing about now");
}
