//! How many failures tell that a worker is not sound.

use crate::health::{Failures, Health};
use crate::spec::JobId;
use hollowford_core::Millis;

/// Learns from ends of which one in `every` has failed.
fn learned(every: u32) -> Failures {
    let mut f = Failures::default();
    (0..5_000).for_each(|i| f.note(i % every == 0));
    f
}

#[test]
fn failures_tell_the_sooner_the_rarer_they_are() {
    assert_eq!(learned(200).telling(), 2);
    assert_eq!(learned(25).telling(), 3);
    assert_eq!(learned(3).telling(), 4, "four at most, or nothing would be put aside");
    assert_eq!(Failures::default().telling(), 3, "before anything is known");
}

#[test]
fn a_worker_is_put_aside_by_so_many_jobs_that_fail_in_a_row() {
    let now = Millis(1_000);
    let mut h = Health::default();
    assert!(!h.failure(JobId(1), 2, now));
    assert!(h.is_suspect());
    assert!(!h.failure(JobId(1), 2, now), "the same job tells nothing more");
    h.success();
    assert!(!h.is_suspect());
    assert!(!h.failure(JobId(2), 2, now));
    assert!(h.failure(JobId(3), 2, now));
    assert!(!h.ok(now));
}
