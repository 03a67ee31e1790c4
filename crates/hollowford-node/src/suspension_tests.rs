//! A machine that is suspended: what a process believed before is as old as others see it.
//!
//! The clock of these processes is set ahead between two readings, as it is by a suspension. That the system's
//! own clock counts one can't be shown here.

use crate::access::MAX_CONFIG_AGE;
use crate::config_told::{ConfigTold, Told};
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::succession::{BEAT, Hearing, Judged};
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
        limits: Limits { max_body_bytes: 1_000, idle_timeout: Millis(1_000) },
        accounts: None,
        credentials: Credentials::default(),
    }
}

#[test]
fn a_member_is_told_of_the_configuration_anew() {
    let (shared, shift) = suspendable();
    shared.set_partitions(1);
    assert!(shared.apply_config(config(), ConfigRow::default()));
    let mut told = ConfigTold::default();
    let beat = Told { version: 1, age: Millis(0), every: BEAT };
    told.note(beat, 1, shared.clock.now());
    shared.partitions()[0].set_config_told(told);
    assert!(shared.is_config_confirmed());
    suspend(shift);
    assert!(!shared.is_config_confirmed());
}

#[test]
fn an_owner_vouches_for_no_key_before_it_has_read_the_configuration_again() {
    let (shared, shift) = suspendable();
    shared.record_config_read();
    assert!(shared.config_age() < MAX_CONFIG_AGE);
    suspend(shift);
    assert!(shared.config_age() >= MAX_CONFIG_AGE);
}

#[test]
fn a_process_has_not_just_reached_the_store_and_its_owners() {
    let (shared, shift) = suspendable();
    shared.set_partitions(1);
    shared.record_store_answer();
    shared.partitions()[0].note_owner(shared.clock.now());
    suspend(shift);
    assert!(shared.store_age() >= SUSPENDED);
    assert!(shared.max_owner_contact_age() >= SUSPENDED);
}

// It was paused itself, so it hears anew in place of deposing an owner that lives.
#[test]
fn a_member_tells_its_own_pause_from_its_owners_silence() {
    let (shared, shift) = suspendable();
    let mut hearing = Hearing::new(shared.clock.now());
    suspend(shift);
    let judged = hearing.judge(shared.clock.now());
    assert!(matches!(judged, Judged::Paused(time) if time >= SUSPENDED), "{judged:?}");
}
