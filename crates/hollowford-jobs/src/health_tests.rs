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
fn failures_tell_the_sooner_the_rarer_they_are() {
    assert_eq!(learned(200).quarantine_threshold(), 2);
    assert_eq!(learned(25).quarantine_threshold(), 3);
    assert_eq!(learned(3).quarantine_threshold(), 4, "four at most, or nothing would be put aside");
    assert_eq!(FailureRate::default().quarantine_threshold(), 3, "before anything is known");
}

#[test]
fn a_worker_is_put_aside_by_so_many_jobs_that_fail_in_a_row() {
    let now = Millis(1_000);
    let mut h = Health::default();
    assert!(!h.record_failure(JobId(1), 2, now));
    assert!(h.is_suspect());
    assert!(!h.record_failure(JobId(1), 2, now), "the same job tells nothing more");
    h.record_success();
    assert!(!h.is_suspect());
    assert!(!h.record_failure(JobId(2), 2, now));
    assert!(h.record_failure(JobId(3), 2, now));
    assert!(!h.is_available(now));
}
