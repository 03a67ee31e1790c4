//! What a lease lets its owner do, as time passes.

use super::OwnerLease;
use hollowford_core::{Epoch, Millis};
use hollowford_engine::Authority;

const BOUND: Millis = Millis(1_000);

#[test]
fn a_lapsed_lease_only_renews_and_only_for_so_long() {
    let lease = OwnerLease::new(Epoch(1), Millis(500));
    assert_eq!(lease.authority(Millis(499), BOUND), Authority::Full);
    assert_eq!(lease.authority(Millis(500), BOUND), Authority::RenewOnly);
    assert_eq!(lease.authority(Millis(1_499), BOUND), Authority::RenewOnly);
    assert_eq!(lease.authority(Millis(1_500), BOUND), Authority::None);
}

#[test]
fn a_renewal_extends_a_lease_and_a_late_one_does_not_shorten_it() {
    let lease = OwnerLease::new(Epoch(1), Millis(500));
    lease.extend(Millis(900));
    lease.extend(Millis(700));
    assert_eq!(lease.authority(Millis(899), BOUND), Authority::Full);
}

#[test]
fn an_ended_lease_lets_nothing_happen() {
    let lease = OwnerLease::new(Epoch(1), Millis(500));
    lease.end();
    lease.extend(Millis(9_000));
    assert_eq!(lease.authority(Millis(1), BOUND), Authority::None);
}
