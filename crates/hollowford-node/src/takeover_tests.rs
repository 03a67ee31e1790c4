//! When a member takes its owner for gone, and which process comes next.

use crate::takeover::{Candidate, FailureDetector, HEARTBEAT_INTERVAL, OwnerChanges, OwnerStatus};
use hollowford_core::Millis;
use yare::parameterized;

const NOW: Millis = Millis(7_000);
const WHOLE: Candidate = Candidate { cpu_milli: 1_000, owned: 0, slot: 0 };
const SMALL: Candidate = Candidate { cpu_milli: 120, owned: 0, slot: 0 };

/// Judges every beat until the owner is taken for silent; returns how long that took, and when
/// it was to be asked first.
fn silence(detector: &mut FailureDetector, from: Millis) -> (Millis, Millis) {
    let mut asked = None;
    for beats in 1..=100 {
        let after = Millis(HEARTBEAT_INTERVAL.0 * beats);
        match detector.check(from + after) {
            OwnerStatus::Failed => return (after, asked.unwrap_or(after)),
            OwnerStatus::Suspected => {
                asked.get_or_insert(after);
            }
            OwnerStatus::Alive | OwnerStatus::SelfPaused(_) => {}
        }
    }
    panic!("an owner that says nothing is never missed");
}

#[parameterized(
    one_of_the_first = { 100, 500, 300 },
    one_of_many = { 500, 2_500, 1_500 },
)]
fn an_owner_that_says_nothing_is_asked_and_then_missed(every: u64, missed: u64, asked: u64) {
    let mut detector = FailureDetector::new(NOW);
    detector.set_interval(Millis(every));
    assert_eq!(silence(&mut detector, NOW), (Millis(missed), Millis(asked)));
    assert_eq!(detector.probe_timeout(), Millis(missed - asked));
}

#[test]
fn a_new_owner_that_says_nothing_at_all_is_missed_within_half_a_second() {
    assert_eq!(silence(&mut FailureDetector::new(NOW), NOW).0, Millis(500));
}

#[test]
fn a_member_that_was_paused_itself_hears_anew() {
    let mut detector = FailureDetector::new(NOW);
    let later = NOW + Millis(4_000);
    assert_eq!(detector.check(later), OwnerStatus::SelfPaused(Millis(4_000)));
    assert_eq!(silence(&mut detector, later).0, Millis(500));
}

/// Pattern: 72 whole cores and 516 of 0.12; the owner has named eight of the former, which are
/// gone with it.
#[test]
fn a_small_instance_does_not_take_over_before_a_larger_one() {
    for slot in 0..5 {
        let whole = Candidate { slot, ..WHOLE }.takeover_delay(None, 8, 1_000);
        let small = Candidate { slot: 0, ..SMALL }.takeover_delay(None, 8, 1_000);
        assert!(whole + Millis(500) <= small, "slot {slot}: {whole:?} and {small:?}");
        let whole = Candidate { slot, ..WHOLE }.first_owner_delay();
        let small = Candidate { slot: 0, ..SMALL }.first_owner_delay();
        assert!(whole + Millis(300) <= small, "slot {slot}: {whole:?} and {small:?}");
    }
}

#[test]
fn small_instances_alone_wait_for_nobody() {
    let alike = SMALL.takeover_delay(None, 0, SMALL.cpu_milli);
    assert_eq!(alike, Millis(0));
    assert_eq!(SMALL.takeover_delay(Some(0), 8, 1_000), Millis(0), "the owner has named it first");
}

#[test]
fn those_that_the_owner_has_named_go_first_and_one_after_the_other() {
    let waits: Vec<Millis> =
        (0..8).map(|rank| WHOLE.takeover_delay(Some(rank), 8, 1_000)).collect();
    assert!(waits.windows(2).all(|w| w[0] < w[1]), "{waits:?}");
    assert!(waits[7] < WHOLE.takeover_delay(None, 8, 1_000));
}

#[test]
fn one_that_owns_partitions_leaves_others_to_those_that_own_none() {
    let busy = Candidate { owned: 1, ..WHOLE };
    assert!(busy.takeover_delay(Some(0), 8, 1_000) > WHOLE.takeover_delay(Some(1), 8, 1_000));
    assert_eq!(WHOLE.first_owner_owned_partitions_delay(), Millis(0));
    assert!(busy.first_owner_owned_partitions_delay() > SMALL.first_owner_delay());
}

#[test]
fn a_partition_whose_owners_follow_each_other_is_unsettled() {
    let mut changes = OwnerChanges::default();
    // A process that has just started knows nothing of the ones before.
    changes.record(16, NOW);
    assert!(!changes.is_flapping());
    changes.record(17, NOW + Millis(600));
    changes.record(17, NOW + Millis(700));
    assert_eq!(changes.count(), 1);
    // It has not heard of two of them.
    changes.record(20, NOW + Millis(1_300));
    assert_eq!(changes.count(), 4);
    assert!(changes.is_flapping());
    changes.record(21, NOW + Millis(90_000));
    assert!(!changes.is_flapping());
}
