//! When a member needs no reading of its own: loads of a cell whose configuration is large.

use crate::config_freshness::{ConfigFreshness, ReportedConfig};
use hollowford_core::Millis;

/// When the first heartbeat comes.
const FIRST_HEARTBEAT: Millis = Millis(10_000);

fn reported(version: u64, age: u64, interval: u64) -> ReportedConfig {
    ReportedConfig { version, age: Millis(age), interval: Millis(interval) }
}

/// Pattern: a calm cell of 147 instances (heartbeats every 0.3 s, the owner reads every 0.65 s).
/// No member reads the configuration or follows the feed.
#[test]
fn heartbeats_of_an_owner_that_reads_are_enough() {
    let mut freshness = ConfigFreshness::default();
    assert!(!freshness.is_current(FIRST_HEARTBEAT), "nothing was told");
    for beat in 0..100 {
        let now = FIRST_HEARTBEAT + Millis(beat * 300);
        freshness.record(reported(4, beat * 300 % 650, 300), 4, now);
        assert!(freshness.is_current(now) && freshness.is_current(now + Millis(299)));
    }
}

#[test]
fn an_owner_that_is_silent_vouches_for_nothing() {
    let mut freshness = ConfigFreshness::default();
    freshness.record(reported(4, 0, 100), 4, FIRST_HEARTBEAT);
    assert!(freshness.is_current(FIRST_HEARTBEAT + Millis(300)));
    assert!(!freshness.is_current(FIRST_HEARTBEAT + Millis(350)));
}

/// Pattern: the store turns the owner away and serves the others.
#[test]
fn an_owner_that_can_not_read_vouches_for_nothing() {
    let mut freshness = ConfigFreshness::default();
    for age in [600, 1_100] {
        freshness.record(reported(4, age, 100), 4, FIRST_HEARTBEAT + Millis(age));
        assert!(freshness.is_current(FIRST_HEARTBEAT + Millis(age)));
    }
    freshness.record(reported(4, 1_300, 100), 4, FIRST_HEARTBEAT + Millis(1_300));
    assert!(!freshness.is_current(FIRST_HEARTBEAT + Millis(1_300)));
}

/// Pattern: quick changes of a large configuration on a narrow link. Each arrives late, and
/// reading it besides would make the next one later still; but one that doesn't come is read.
#[test]
fn what_is_newer_is_waited_for_a_while() {
    let mut freshness = ConfigFreshness::default();
    for beat in 0..10 {
        freshness.record(reported(5, 0, 100), 4, FIRST_HEARTBEAT + Millis(beat * 100));
        assert!(freshness.is_current(FIRST_HEARTBEAT + Millis(beat * 100)));
    }
    freshness.record(reported(6, 0, 100), 4, FIRST_HEARTBEAT + Millis(1_000));
    assert!(!freshness.is_current(FIRST_HEARTBEAT + Millis(1_000)));
    freshness.record(reported(6, 0, 100), 6, FIRST_HEARTBEAT + Millis(1_100));
    assert!(freshness.is_current(FIRST_HEARTBEAT + Millis(1_100)));
}
