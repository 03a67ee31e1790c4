//! How often a process asks the store for the configuration.

use crate::config_watch::{LastStoreCall, next_pause, poll_unless_confirmed};
use crate::shared_tests::shared;
use hollowford_core::Millis;
use std::time::Duration;

const ANSWERED_READ: LastStoreCall =
    LastStoreCall { answered: true, at: Millis(0), read_config: true };

/// 588 processes wait several seconds for one of them to count the workers. At the usual interval
/// each read the whole configuration ten times in the meantime, half of what the store sent on that
/// day.
#[test]
fn a_process_polls_rarely_until_it_knows_the_partitions() {
    let shared = shared();
    assert!(next_pause(&shared, &ANSWERED_READ) >= Duration::from_secs(10));
    let unanswered = LastStoreCall { answered: false, ..ANSWERED_READ };
    assert!(next_pause(&shared, &unanswered) <= Duration::from_millis(200));
    shared.set_partitions(5);
    assert!(
        next_pause(&shared, &ANSWERED_READ) < Duration::from_secs(1),
        "no owner confirms the configuration yet"
    );
}

#[tokio::test(start_paused = true)]
async fn a_read_is_requested_if_no_owner_confirms_the_configuration() {
    let shared = shared();
    shared.set_partitions(5);
    poll_unless_confirmed(&shared).await;
    // A read was requested; otherwise this would wait forever.
    shared.config_wanted.notified().await;
}
