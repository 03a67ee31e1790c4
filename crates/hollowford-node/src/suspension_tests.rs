//! A machine is suspended: afterwards, what a process knew must count as old as it is to other
//! processes.
//!
//! The tests advance the processes' clock between two readings, as a suspension does. They can't
//! show that the operating system's clock counts the time of a suspension.

use crate::access::MAX_CONFIG_AGE;
use crate::config_freshness::{ConfigFreshness, ReportedConfig};
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::takeover::{FailureDetector, HEARTBEAT_INTERVAL, OwnerStatus};
use crate::wire::ConfigRow;
use hollowford_accounts::Credentials;
use hollowford_adapter::{Config, Limits};
use hollowford_core::{Clock, Millis};
use std::sync::atomic::{AtomicU64, Ordering};

/// How long the machine is suspended.
const SUSPENSION: Millis = Millis(8_000);
/// How long the process has run before, in milliseconds.
const INITIAL_UPTIME_MS: u64 = 1_000;

/// Returns a process's shared state and a clock shift with which a suspension is simulated.
fn suspendable() -> (Shared, &'static AtomicU64) {
    let shift: &AtomicU64 = Box::leak(Box::new(AtomicU64::new(INITIAL_UPTIME_MS)));
    let mut shared = shared();
    shared.clock = Clock::new().shifted(shift);
    (shared, shift)
}

fn suspend(shift: &AtomicU64) {
    shift.fetch_add(SUSPENSION.0, Ordering::Relaxed);
}

fn config() -> Config {
    Config {
        version: 1,
        routes: Vec::new(),
        queues: Vec::new(),
        pools: Vec::new(),
        limits: Limits::default(),
        accounts: None,
        credentials: Credentials::default(),
    }
}

#[test]
fn a_member_needs_its_configuration_confirmed_again() {
    let (shared, shift) = suspendable();
    shared.set_partitions(1);
    assert!(shared.apply_config(config(), ConfigRow::default()));
    let mut freshness = ConfigFreshness::default();
    let reported = ReportedConfig { version: 1, age: Millis(0), interval: HEARTBEAT_INTERVAL };
    freshness.record(reported, 1, shared.clock.now());
    shared.partitions()[0].set_config_freshness(freshness);
    assert!(shared.is_config_confirmed());
    suspend(shift);
    assert!(!shared.is_config_confirmed());
}

#[test]
fn an_owner_accepts_no_key_before_it_has_read_the_configuration_again() {
    let (shared, shift) = suspendable();
    shared.record_config_read();
    assert!(shared.config_age() < MAX_CONFIG_AGE);
    suspend(shift);
    assert!(shared.config_age() >= MAX_CONFIG_AGE);
}

#[test]
fn contact_with_the_store_and_the_owners_is_outdated() {
    let (shared, shift) = suspendable();
    shared.set_partitions(1);
    shared.record_store_answer();
    shared.partitions()[0].record_owner_contact(shared.clock.now());
    suspend(shift);
    assert!(shared.store_age() >= SUSPENSION);
    assert!(shared.max_owner_contact_age() >= SUSPENSION);
}

// The process was paused itself, so it must restart detection instead of deposing a live owner.
#[test]
fn a_member_distinguishes_its_own_pause_from_a_silent_owner() {
    let (shared, shift) = suspendable();
    let mut detector = FailureDetector::new(shared.clock.now());
    suspend(shift);
    let status = detector.check(shared.clock.now());
    assert!(matches!(status, OwnerStatus::SelfPaused(time) if time >= SUSPENSION), "{status:?}");
}
