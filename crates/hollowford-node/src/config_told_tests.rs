//! When a member needs no reading of its own: loads of a cell whose configuration is large.

use crate::config_told::{ConfigTold, Told};
use hollowford_core::Millis;

/// When the first heartbeat comes.
const FIRST: Millis = Millis(10_000);

fn told(version: u64, age: u64, every: u64) -> Told {
    Told { version, age: Millis(age), every: Millis(every) }
}

/// Pattern: a calm cell of 147 instances (heartbeats every 0.3 s, the owner reads every 0.65 s).
/// No member reads the configuration or follows the feed.
#[test]
fn heartbeats_of_an_owner_that_reads_are_enough() {
    let mut t = ConfigTold::default();
    assert!(!t.is_enough(FIRST), "nothing was told");
    for beat in 0..100 {
        let now = FIRST + Millis(beat * 300);
        t.note(told(4, beat * 300 % 650, 300), 4, now);
        assert!(t.is_enough(now) && t.is_enough(now + Millis(299)));
    }
}

#[test]
fn an_owner_that_is_silent_vouches_for_nothing() {
    let mut t = ConfigTold::default();
    t.note(told(4, 0, 100), 4, FIRST);
    assert!(t.is_enough(FIRST + Millis(300)));
    assert!(!t.is_enough(FIRST + Millis(350)));
}

/// Pattern: the store turns the owner away and serves the others.
#[test]
fn an_owner_that_can_not_read_vouches_for_nothing() {
    let mut t = ConfigTold::default();
    for age in [600, 1_100] {
        t.note(told(4, age, 100), 4, FIRST + Millis(age));
        assert!(t.is_enough(FIRST + Millis(age)));
    }
    t.note(told(4, 1_300, 100), 4, FIRST + Millis(1_300));
    assert!(!t.is_enough(FIRST + Millis(1_300)));
}

/// Pattern: quick changes of a large configuration on a narrow link. Each arrives late, and
/// reading it besides would make the next one later still; but one that doesn't come is read.
#[test]
fn what_is_newer_is_waited_for_a_while() {
    let mut t = ConfigTold::default();
    for beat in 0..10 {
        t.note(told(5, 0, 100), 4, FIRST + Millis(beat * 100));
        assert!(t.is_enough(FIRST + Millis(beat * 100)));
    }
    t.note(told(6, 0, 100), 4, FIRST + Millis(1_000));
    assert!(!t.is_enough(FIRST + Millis(1_000)));
    t.note(told(6, 0, 100), 6, FIRST + Millis(1_100));
    assert!(t.is_enough(FIRST + Millis(1_100)));
}
