//! When a member declares its owner failed, and which process takes over.

use crate::takeover::{
    Candidate, FailureDetector, HEARTBEAT_INTERVAL, OwnerChanges, OwnerStatus, earlier_leases_until,
};
use crate::wire::RenewalTerms;
use hollowford_core::Millis;
use yare::parameterized;

const NOW: Millis = Millis(7_000);
const FULL_SIZE: Candidate = Candidate { cpu_milli: 1_000, owned: 0, slot: 0 };
const SMALL: Candidate = Candidate { cpu_milli: 120, owned: 0, slot: 0 };

/// Checks at every interval until the owner is declared failed; returns how long that took and when
/// the owner was first suspected.
fn time_to_failure(detector: &mut FailureDetector, from: Millis) -> (Millis, Millis) {
    let mut suspected_after = None;
    for checks in 1..=100 {
        let after = Millis(HEARTBEAT_INTERVAL.0 * checks);
        match detector.check(from + after) {
            OwnerStatus::Failed => return (after, suspected_after.unwrap_or(after)),
            OwnerStatus::Suspected => {
                suspected_after.get_or_insert(after);
            }
            OwnerStatus::Alive | OwnerStatus::SelfPaused(_) => {}
        }
    }
    panic!("a silent owner is never declared failed");
}

#[parameterized(
    one_of_the_first = { 100, 500, 300 },
    one_of_many = { 500, 2_500, 1_500 },
)]
fn a_silent_owner_is_suspected_and_then_declared_failed(
    interval: u64,
    failed_after: u64,
    suspected_after: u64,
) {
    let mut detector = FailureDetector::new(NOW);
    detector.set_interval(Millis(interval));
    assert_eq!(
        time_to_failure(&mut detector, NOW),
        (Millis(failed_after), Millis(suspected_after))
    );
    assert_eq!(detector.probe_timeout(), Millis(failed_after - suspected_after));
}

#[test]
fn a_new_owner_that_sends_nothing_is_declared_failed_within_half_a_second() {
    assert_eq!(time_to_failure(&mut FailureDetector::new(NOW), NOW).0, Millis(500));
}

#[test]
fn a_member_that_was_paused_itself_restarts_detection() {
    let mut detector = FailureDetector::new(NOW);
    let later = NOW + Millis(4_000);
    assert_eq!(detector.check(later), OwnerStatus::SelfPaused(Millis(4_000)));
    assert_eq!(time_to_failure(&mut detector, later).0, Millis(500));
}

/// A cell of 72 instances with a whole core and 516 with 0.12 cores: the eight members that the
/// owner named all have a whole core and fail together with it. A small instance must not take over
/// before the remaining large ones.
#[test]
fn a_small_instance_does_not_take_over_before_a_larger_one() {
    for slot in 0..5 {
        let large = Candidate { slot, ..FULL_SIZE }.takeover_delay(None, 8, 1_000);
        let small = Candidate { slot: 0, ..SMALL }.takeover_delay(None, 8, 1_000);
        assert!(large + Millis(500) <= small, "slot {slot}: {large:?} and {small:?}");
        let large = Candidate { slot, ..FULL_SIZE }.first_owner_delay();
        let small = Candidate { slot: 0, ..SMALL }.first_owner_delay();
        assert!(large + Millis(300) <= small, "slot {slot}: {large:?} and {small:?}");
    }
}

#[test]
fn small_instances_do_not_wait_when_there_is_no_larger_one() {
    let delay = SMALL.takeover_delay(None, 0, SMALL.cpu_milli);
    assert_eq!(delay, Millis(0));
    assert_eq!(SMALL.takeover_delay(Some(0), 8, 1_000), Millis(0), "the owner named it first");
}

#[test]
fn members_that_the_owner_has_named_go_first_in_rank_order() {
    let delays: Vec<Millis> =
        (0..8).map(|rank| FULL_SIZE.takeover_delay(Some(rank), 8, 1_000)).collect();
    assert!(delays.windows(2).all(|w| w[0] < w[1]), "{delays:?}");
    assert!(delays[7] < FULL_SIZE.takeover_delay(None, 8, 1_000));
}

#[test]
fn a_process_that_owns_partitions_goes_after_those_that_own_none() {
    let owner_of_one = Candidate { owned: 1, ..FULL_SIZE };
    assert!(
        owner_of_one.takeover_delay(Some(0), 8, 1_000)
            > FULL_SIZE.takeover_delay(Some(1), 8, 1_000)
    );
    assert_eq!(FULL_SIZE.first_owner_owned_partitions_delay(), Millis(0));
    assert!(owner_of_one.first_owner_owned_partitions_delay() > SMALL.first_owner_delay());
}

#[test]
fn a_partition_with_many_changes_of_owner_within_a_minute_is_flapping() {
    let mut changes = OwnerChanges::default();
    // A process that has just started doesn't know the earlier owners.
    changes.record(16, NOW);
    assert!(!changes.is_flapping());
    changes.record(17, NOW + Millis(600));
    changes.record(17, NOW + Millis(700));
    assert_eq!(changes.count(), 1);
    // Epochs 18 and 19 were missed.
    changes.record(20, NOW + Millis(1_300));
    assert_eq!(changes.count(), 4);
    assert!(changes.is_flapping());
    changes.record(21, NOW + Millis(90_000));
    assert!(!changes.is_flapping());
}

// An earlier owner's leases at workers that nobody else reaches don't end sooner with a new owner.
#[parameterized(
    already_over = { 6_000, true, 6_000 },
    last_owner_ended = { 20_000, true, 20_000 },
    last_owner_may_renew = { 20_000, false, 40_673 },
    known_to_last_longer = { 50_000, false, 50_000 },
)]
fn leases_of_several_earlier_owners_are_waited_for(earlier: u64, has_ended: bool, until: u64) {
    let terms = RenewalTerms { successors: vec![1], earlier_leases_until_ms: earlier };
    let lease = Millis(3_000);
    assert_eq!(earlier_leases_until(&terms, has_ended, 2, lease, NOW), Millis(until));
}
