//! Tests of what an ownership lease allows before and after its expiry.

use super::OwnerLease;
use hollowford_core::{Epoch, Millis};
use hollowford_engine::Authority;

const RENEWAL_BOUND: Millis = Millis(1_000);

#[test]
fn an_expired_lease_allows_only_renewals_and_only_until_the_bound() {
    let lease = OwnerLease::new(Epoch(1), Millis(500));
    assert_eq!(lease.authority(Millis(499), RENEWAL_BOUND), Authority::Full);
    assert_eq!(lease.authority(Millis(500), RENEWAL_BOUND), Authority::RenewOnly);
    assert_eq!(lease.authority(Millis(1_499), RENEWAL_BOUND), Authority::RenewOnly);
    assert_eq!(lease.authority(Millis(1_500), RENEWAL_BOUND), Authority::None);
}

#[test]
fn a_renewal_extends_a_lease_and_a_late_one_does_not_shorten_it() {
    let lease = OwnerLease::new(Epoch(1), Millis(500));
    lease.extend(Millis(900));
    lease.extend(Millis(700));
    assert_eq!(lease.authority(Millis(899), RENEWAL_BOUND), Authority::Full);
}

#[test]
fn an_ended_lease_gives_no_authority() {
    let lease = OwnerLease::new(Epoch(1), Millis(500));
    lease.end();
    lease.extend(Millis(9_000));
    assert_eq!(lease.authority(Millis(1), RENEWAL_BOUND), Authority::None);
}
