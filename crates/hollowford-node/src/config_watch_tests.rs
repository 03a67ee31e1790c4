//! How often a process asks the store for the configuration.

use crate::config_watch::{LastStoreCall, next_pause, poll_unless_confirmed};
use crate::shared_tests::shared;
use hollowford_core::Millis;
use std::time::Duration;

const ANSWERED_READ: LastStoreCall =
    LastStoreCall { answered: true, at: Millis(0), read_config: true };

/// Pattern: 588 processes wait for seconds until one has counted the workers. Each read the whole
/// configuration ten times meanwhile, half of what the store sent on the day.
#[test]
fn a_process_that_does_not_know_the_partitions_yet_reads_rarely() {
    let shared = shared();
    assert!(next_pause(&shared, &ANSWERED_READ) >= Duration::from_secs(10));
    let unanswered = LastStoreCall { answered: false, ..ANSWERED_READ };
    assert!(next_pause(&shared, &unanswered) <= Duration::from_millis(200));
    shared.set_partitions(5);
    assert!(
        next_pause(&shared, &ANSWERED_READ) < Duration::from_secs(1),
        "nobody vouches for it yet"
    );
}

#[tokio::test(start_paused = true)]
async fn it_reads_once_they_are_known_and_no_owner_vouches_for_it() {
    let shared = shared();
    shared.set_partitions(5);
    poll_unless_confirmed(&shared).await;
    // A reading is wanted: this would wait for ever otherwise.
    shared.config_wanted.notified().await;
}
