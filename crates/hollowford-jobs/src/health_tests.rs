//! Number of failures in a row after which a worker is quarantined.

use crate::health::{FailureRate, Health};
use crate::spec::JobId;
use hollowford_core::Millis;

/// Returns the failure rate after 5,000 ends of which one in `every` has failed.
fn learned(every: u32) -> FailureRate {
    let mut f = FailureRate::default();
    (0..5_000).for_each(|i| f.record(i % every == 0));
    f
}

#[test]
fn rarer_failures_lower_the_quarantine_threshold() {
    assert_eq!(learned(200).quarantine_threshold(), 2);
    assert_eq!(learned(25).quarantine_threshold(), 3);
    assert_eq!(
        learned(3).quarantine_threshold(),
        4,
        "four at most, so that failing workers are still quarantined"
    );
    assert_eq!(FailureRate::default().quarantine_threshold(), 3, "with the initial failure share");
}

#[test]
fn failures_of_different_jobs_in_a_row_quarantine_a_worker() {
    let now = Millis(1_000);
    let mut h = Health::default();
    assert!(!h.record_failure(JobId(1), 2, now));
    assert!(h.is_suspect());
    assert!(!h.record_failure(JobId(1), 2, now), "another failure of the same job doesn't count");
    h.record_success();
    assert!(!h.is_suspect());
    assert!(!h.record_failure(JobId(2), 2, now));
    assert!(h.record_failure(JobId(3), 2, now));
    assert!(!h.is_available(now));
}
