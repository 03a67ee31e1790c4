//! Keeps the configuration up to date: by the store's feed, and by reading it besides, since
//! the feed may go silent.

use crate::partition::Partition;
use crate::shared::Shared;
use crate::wire::ConfigRow;
use hollowford_adapter::{CONFIG_KEY, Config, OPERATOR_TABLE, Row, StoreError};
use hollowford_core::Millis;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often the configuration is read beside the feed. It has to be in force after 2 s, also
/// when the feed is silent for a second and one reading gets no answer.
const READ_EVERY: Duration = Duration::from_millis(650);
/// How often it is read by a member, which the owner's heartbeats tell of a newer version, and of
/// a store that the owner can't reach. Readings of all members were a third of all calls to the
/// store in a cell of 147 instances.
const READ_EVERY_AS_MEMBER: Duration = Duration::from_millis(3_000);
/// How often it is read while the owner can't reach the store, to learn whether this process
/// can.
const READ_EVERY_FOR_OWNER: Duration = Duration::from_millis(200);
/// A heartbeat that is older doesn't count for that.
const HEARTBEAT_FRESH: Millis = Millis(400);
/// Longest time for a reading.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a call to the feed waits for a change.
const FEED_WAIT: Duration = Duration::from_millis(10_000);
/// Pause after a failure.
const RETRY: Duration = Duration::from_millis(200);

/// Reads the configuration again and again.
pub async fn read_config(shared: Arc<Shared>) {
    let mut reached = true;
    loop {
        reached = read_once(&shared, reached).await;
        // Woken early when a peer knows a newer version.
        if timeout(pause(&shared, reached), shared.config_wanted.notified()).await.is_ok() {
            log::debug!("config.wanted");
        }
    }
}

/// Reads the configuration. Tells whether the store was reached; `before`: whether it was at
/// the reading before.
async fn read_once(shared: &Shared, before: bool) -> bool {
    match shared.store.read(OPERATOR_TABLE, "", CONFIG_KEY, READ_TIMEOUT).await {
        Ok((row, _)) => {
            shared.note_store();
            if let Some(row) = row {
                take(shared, &row);
            }
            if !before {
                log::info!("store.regained by=config");
            }
            true
        }
        Err(e) => {
            shared.note_store_failure();
            if before {
                log::warn!("store.lost by=config error=\"{e}\"");
            }
            false
        }
    }
}

/// Returns how long to wait for the next reading.
fn pause(shared: &Shared, reached: bool) -> Duration {
    let now = shared.clock.now();
    let tells = |p: &Arc<Partition>| !p.is_owned() && p.owner_age(now) < HEARTBEAT_FRESH;
    let told = shared.partitions().iter().any(tells);
    let probed = shared.partitions().iter().any(|p| p.probe_store.load(Ordering::Relaxed));
    match (reached, told) {
        (false, _) => RETRY,
        _ if probed => READ_EVERY_FOR_OWNER,
        (true, false) => READ_EVERY,
        (true, true) => READ_EVERY_AS_MEMBER,
    }
}

/// Follows the feed of the operator's table.
pub async fn follow_config(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        match shared.store.feed(OPERATOR_TABLE, after, FEED_WAIT).await {
            Ok(feed) => {
                shared.note_store();
                after = feed.version;
                if let Some(row) = feed.rows.iter().rfind(|r| r.key == CONFIG_KEY && !r.removed) {
                    take(&shared, row);
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!("store.history_gone table={OPERATOR_TABLE} after={after}");
                after = newest_version(&shared).await.unwrap_or(after);
                shared.config_wanted.notify_one();
            }
            Err(e) => {
                log::debug!("config.feed failed error=\"{e}\"");
                sleep(RETRY).await;
            }
        }
    }
}

async fn newest_version(shared: &Shared) -> Option<u64> {
    let read = shared.store.read_all(OPERATOR_TABLE, "", READ_TIMEOUT).await;
    read.map(|f| f.version).ok()
}

fn take(shared: &Shared, row: &Row) {
    take_row(shared, ConfigRow { row_version: row.version, value: row.value.clone() });
}

/// Puts the configuration of a row in force, if it is new.
pub fn take_row(shared: &Shared, row: ConfigRow) {
    if !shared.is_new_config_row(row.row_version) {
        return;
    }
    match Config::try_from(&row.value[..]) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            let before = shared.config_version();
            if shared.take_config(config, row) {
                shared.metrics.config_version.set(version as i64);
                log::info!("config.taken version={version} before={before} routes={routes}");
            }
        }
        Err(e) => log::error!("config.malformed row_version={} error=\"{e}\"", row.row_version),
    }
}
