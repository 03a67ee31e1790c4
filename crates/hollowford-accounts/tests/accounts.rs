//! Quotas, guaranteed job rates and credentials of accounts.

use hollowford_accounts::{AccountPolicy, Allowance, Credential, Credentials};
use hollowford_core::{Millis, Resources, Totals};

fn cores(n: u64) -> Totals {
    Totals { cpu_milli: n * 1_000, ..Totals::default() }
}

#[test]
fn a_quota_limits_each_resource_separately_and_zero_is_unlimited() {
    let quota = Totals { accelerators: 2, ..cores(10) };
    let policy = AccountPolicy { quota, ..AccountPolicy::default() };
    let need = Resources::new(2_000, 1 << 30, 0);
    assert!(policy.allows(&cores(2), &need, 4));
    assert!(!policy.allows(&cores(2), &need, 5));
    assert!(policy.allows(&cores(2), &Resources::new(0, 0, 1), 2));
    assert!(!policy.allows(&cores(2), &Resources::new(0, 0, 1), 3));
    assert!(!policy.is_unlimited());
    assert!(AccountPolicy::default().allows(&cores(1 << 20), &need, u32::MAX));
}

#[test]
fn unused_rate_accumulates_up_to_the_burst_limit() {
    let mut allowance = Allowance::default();
    allowance.set_rate(2.0);
    let guaranteed = |a: &mut Allowance, now| (0..100).filter(|_| a.count_job(Millis(now))).count();
    // Five seconds of the rate plus twenty jobs, however long the account was idle.
    assert_eq!(guaranteed(&mut allowance, 1_000_000), 30);
    assert_eq!(guaranteed(&mut allowance, 1_001_000), 2);
    assert_eq!(guaranteed(&mut allowance, 1_061_000), 30);
}

#[test]
fn without_a_rate_all_jobs_are_guaranteed() {
    let mut allowance = Allowance::default();
    assert!((0..1_000).all(|_| allowance.count_job(Millis(5))));
}

#[test]
fn adding_a_key_does_not_affect_other_keys() {
    let mut known = Credentials::default();
    known.add(Credential::of("a"), "one".into());
    known.add(Credential::of("b"), "two".into());
    let account = |key| known.account_of(&Credential::of(key)).map(|a| &**a);
    assert_eq!((account("a"), account("b"), account("c")), (Some("one"), Some("two"), None));
    let bytes = Credential::of("a");
    assert!(Credential::try_from(bytes.as_bytes()).is_ok_and(|c| c == bytes));
    assert!(Credential::try_from(&b"short"[..]).is_err());
}
