//! When a member with a large configuration has to read it from the store itself.

use crate::config_freshness::{ConfigFreshness, ReportedConfig};
use hollowford_core::Millis;

/// When the first heartbeat arrives.
const FIRST_HEARTBEAT: Millis = Millis(10_000);

fn reported(version: u64, age: u64, interval: u64) -> ReportedConfig {
    ReportedConfig { version, age: Millis(age), interval: Millis(interval) }
}

/// A healthy cell of 147 instances: heartbeats arrive every 0.3 s and the owner reads every 0.65 s.
/// No member must read the configuration or follow the feed.
#[test]
fn heartbeats_of_an_owner_that_reads_confirm_the_configuration() {
    let mut freshness = ConfigFreshness::default();
    assert!(!freshness.is_current(FIRST_HEARTBEAT), "no heartbeat was received");
    for heartbeat in 0..100 {
        let now = FIRST_HEARTBEAT + Millis(heartbeat * 300);
        freshness.record(reported(4, heartbeat * 300 % 650, 300), 4, now);
        assert!(freshness.is_current(now) && freshness.is_current(now + Millis(299)));
    }
}

#[test]
fn a_silent_owner_confirms_nothing() {
    let mut freshness = ConfigFreshness::default();
    freshness.record(reported(4, 0, 100), 4, FIRST_HEARTBEAT);
    assert!(freshness.is_current(FIRST_HEARTBEAT + Millis(300)));
    assert!(!freshness.is_current(FIRST_HEARTBEAT + Millis(350)));
}

/// The store refuses the owner's calls but serves the members.
#[test]
fn an_owner_that_cannot_read_confirms_nothing() {
    let mut freshness = ConfigFreshness::default();
    for age in [600, 1_100] {
        freshness.record(reported(4, age, 100), 4, FIRST_HEARTBEAT + Millis(age));
        assert!(freshness.is_current(FIRST_HEARTBEAT + Millis(age)));
    }
    freshness.record(reported(4, 1_300, 100), 4, FIRST_HEARTBEAT + Millis(1_300));
    assert!(!freshness.is_current(FIRST_HEARTBEAT + Millis(1_300)));
}

/// A large configuration changes frequently on a narrow link. Each version arrives late, and
/// reading it from the store as well would delay the next one further. A version that doesn't
/// arrive is read from the store.
#[test]
fn a_newer_configuration_is_waited_for_a_limited_time() {
    let mut freshness = ConfigFreshness::default();
    for heartbeat in 0..10 {
        freshness.record(reported(5, 0, 100), 4, FIRST_HEARTBEAT + Millis(heartbeat * 100));
        assert!(freshness.is_current(FIRST_HEARTBEAT + Millis(heartbeat * 100)));
    }
    freshness.record(reported(6, 0, 100), 4, FIRST_HEARTBEAT + Millis(1_000));
    assert!(!freshness.is_current(FIRST_HEARTBEAT + Millis(1_000)));
    freshness.record(reported(6, 0, 100), 6, FIRST_HEARTBEAT + Millis(1_100));
    assert!(freshness.is_current(FIRST_HEARTBEAT + Millis(1_100)));
}
