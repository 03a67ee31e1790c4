//! A machine that is suspended: what a process believed before is as old as others see it.
//!
//! The clock of these processes is set ahead between two readings, as it is by a suspension. That the system's
//! own clock counts one can't be shown here.

use crate::access::VOUCHES_FOR;
use crate::config_freshness::{ConfigFreshness, ReportedConfig};
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::takeover::{FailureDetector, HEARTBEAT_INTERVAL, OwnerStatus};
use crate::wire::ConfigRow;
use hollowford_accounts::Credentials;
use hollowford_adapter::{Config, Limits};
use hollowford_core::{Clock, Millis};
use std::sync::atomic::{AtomicU64, Ordering};

/// How long the machines here are suspended.
const SUSPENDED: Millis = Millis(8_000);
/// How long the processes have run before, in milliseconds.
const RUN_FOR: u64 = 1_000;

/// What the duties of a process share, and what suspends its machine.
fn suspendable() -> (Shared, &'static AtomicU64) {
    let shift: &AtomicU64 = Box::leak(Box::new(AtomicU64::new(RUN_FOR)));
    let mut shared = shared();
    shared.clock = Clock::new().shifted(shift);
    (shared, shift)
}

fn suspend(shift: &AtomicU64) {
    shift.fetch_add(SUSPENDED.0, Ordering::Relaxed);
}

fn config() -> Config {
    Config {
        version: 1,
        routes: Vec::new(),
        queues: Vec::new(),
        pools: Vec::new(),
        limits: Limits { body_bytes: 1_000, idle: Millis(1_000) },
        accounts: None,
        credentials: Credentials::default(),
    }
}

#[test]
fn a_member_is_told_of_the_configuration_anew() {
    let (shared, shift) = suspendable();
    shared.set_partitions(1);
    assert!(shared.take_config(config(), ConfigRow::default()));
    let mut freshness = ConfigFreshness::default();
    let reported = ReportedConfig { version: 1, age: Millis(0), interval: HEARTBEAT_INTERVAL };
    freshness.record(reported, 1, shared.clock.now());
    shared.partitions()[0].set_config_freshness(freshness);
    assert!(shared.config_is_told());
    suspend(shift);
    assert!(!shared.config_is_told());
}

#[test]
fn an_owner_vouches_for_no_key_before_it_has_read_the_configuration_again() {
    let (shared, shift) = suspendable();
    shared.note_config_read();
    assert!(shared.config_age() < VOUCHES_FOR);
    suspend(shift);
    assert!(shared.config_age() >= VOUCHES_FOR);
}

#[test]
fn a_process_has_not_just_reached_the_store_and_its_owners() {
    let (shared, shift) = suspendable();
    shared.set_partitions(1);
    shared.note_store();
    shared.partitions()[0].record_owner_contact(shared.clock.now());
    suspend(shift);
    assert!(shared.store_age() >= SUSPENDED);
    assert!(shared.owners_age() >= SUSPENDED);
}

// It was paused itself, so it hears anew in place of deposing an owner that lives.
#[test]
fn a_member_tells_its_own_pause_from_its_owners_silence() {
    let (shared, shift) = suspendable();
    let mut detector = FailureDetector::new(shared.clock.now());
    suspend(shift);
    let status = detector.check(shared.clock.now());
    assert!(matches!(status, OwnerStatus::SelfPaused(time) if time >= SUSPENDED), "{status:?}");
}
