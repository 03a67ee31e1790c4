//! Keeps the configuration up to date by following the store's feed, and by polling the store as
//! well, since a feed may stop sending changes without an error. A member does neither while its
//! owner's heartbeats confirm its configuration.

use crate::compression::{compress, decompress};
use crate::owner_row::{OWNER_KEY, SYSTEM_TABLE};
use crate::shared::Shared;
use crate::wire::ConfigRow;
use hollowford_adapter::{CONFIG_KEY, Config, OPERATOR_TABLE, Row, StoreError, Version};
use hollowford_core::Millis;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Polling interval while the feed is followed. A new configuration must be in force within 2 s
/// even if the feed is silent for a second and one read gets no answer.
const READ_INTERVAL: Duration = Duration::from_millis(650);
/// Polling interval until the number of partitions is known. No caller is served before that, and
/// the feed reports changes. Hundreds of starting processes would otherwise read the configuration
/// many times.
const READ_INTERVAL_BEFORE_PLAN: Duration = Duration::from_millis(15_000);
/// How long a process waits for an owner to confirm the configuration, once the number of
/// partitions is known, before it reads the configuration itself.
const OWNER_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often a member whose owner confirms the configuration checks whether the store answers it.
/// An owner that the store doesn't serve hands over to a member that it serves.
const PROBE_INTERVAL: Millis = Millis(3_000);
/// Interval of these checks while the owner can't reach the store and asks its members to probe it.
const REQUESTED_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a feed call waits for a change.
const MAX_FEED_WAIT: Duration = Duration::from_millis(10_000);
/// Size limit of a decompressed configuration from a peer: many times what a row of the store can
/// hold.
const MAX_CONFIG_BYTES: usize = 16 << 20;
/// Pause after a failed call, and between checks whether an owner still confirms the configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The last store call of [`poll_config`].
#[derive(Debug)]
pub(crate) struct LastStoreCall {
    /// Whether the store answered the call.
    pub answered: bool,
    /// When the call was made.
    pub at: Millis,
    /// Whether the call read the configuration; a probe reads only a small row.
    pub read_config: bool,
}

/// Polls the store for the configuration. While an owner confirms the current one, only probes
/// whether the store answers.
pub async fn poll_config(shared: Arc<Shared>) {
    let mut last = LastStoreCall { answered: true, at: Millis(0), read_config: true };
    loop {
        let confirmed = shared.is_config_confirmed();
        let now = shared.clock.now();
        if !confirmed || is_probe_wanted(&shared) || now.since(last.at) >= PROBE_INTERVAL {
            // Without a configuration nothing can be served, so no call is spent on a probe.
            let has_config = shared.config_version() > 0;
            let probe = confirmed || (has_config && !last.answered);
            let answer = read_or_probe(&shared, probe).await;
            let took = shared.clock.now().since(now);
            record_answer(&shared, last.answered, &answer, took);
            last = LastStoreCall { answered: answer.is_ok(), at: now, read_config: !probe };
        }
        // Ends early when a peer has a newer version.
        let pause = next_pause(&shared, &last);
        if timeout(pause, shared.config_wanted.notified()).await.is_ok() {
            log::debug!("config.wanted");
        }
    }
}

/// Requests a read of the configuration unless an owner confirms it soon. Called once the number of
/// partitions is known.
pub async fn poll_unless_confirmed(shared: &Shared) {
    sleep(OWNER_CONFIRM_TIMEOUT).await;
    if !shared.is_config_confirmed() {
        shared.config_wanted.notify_one();
    }
}

/// Reads the configuration, or with `probe` only a small row to find out whether the store answers.
/// After an outage the store thus doesn't send a large configuration to all members at once.
async fn read_or_probe(shared: &Shared, probe: bool) -> Result<(), StoreError> {
    match shared.partitions().first().filter(|_| probe) {
        Some(p) => {
            shared.store.read(SYSTEM_TABLE, &p.part, OWNER_KEY, READ_TIMEOUT).await.map(drop)
        }
        None => read_once(shared).await,
    }
}

async fn read_once(shared: &Shared) -> Result<(), StoreError> {
    let (row, _) = shared.store.read(OPERATOR_TABLE, "", CONFIG_KEY, READ_TIMEOUT).await?;
    shared.record_config_read();
    if let Some(row) = row {
        apply_row(shared, &row);
    }
    Ok(())
}

/// Records whether the store has answered, and that the call took `took`. `was_answered` says
/// whether it answered the previous call, so that only changes are logged.
fn record_answer(
    shared: &Shared,
    was_answered: bool,
    answer: &Result<(), StoreError>,
    took: Millis,
) {
    match answer {
        Ok(()) => {
            shared.record_store_answer();
            if !was_answered {
                log::info!("store.regained by=config");
            }
        }
        Err(e) => {
            shared.record_store_failure(took);
            if was_answered {
                log::warn!("store.lost by=config error=\"{e}\"");
            }
        }
    }
}

/// Returns true if an owner asks its members to probe the store.
fn is_probe_wanted(shared: &Shared) -> bool {
    shared.partitions().iter().any(|p| p.store_probe_wanted.load(Ordering::Relaxed))
}

/// Returns the pause before the next poll or probe.
pub(crate) fn next_pause(shared: &Shared, last: &LastStoreCall) -> Duration {
    if !last.answered || (!last.read_config && !shared.is_config_confirmed()) {
        RETRY_PAUSE
    } else if shared.partitions().is_empty() {
        READ_INTERVAL_BEFORE_PLAN
    } else if is_probe_wanted(shared) {
        REQUESTED_PROBE_INTERVAL
    } else {
        READ_INTERVAL
    }
}

/// Follows the feed of the operator's table.
pub async fn follow_config(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        if shared.is_config_confirmed() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        match shared.store.wait_for_changes(OPERATOR_TABLE, after, MAX_FEED_WAIT).await {
            Ok(feed) => {
                shared.record_store_answer();
                after = feed.version;
                if let Some(row) = feed.rows.iter().rfind(|r| r.key == CONFIG_KEY && !r.removed) {
                    apply_row(&shared, row);
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!("store.history_gone table={OPERATOR_TABLE} after={after}");
                after = newest_version(&shared).await.unwrap_or(after);
                shared.config_wanted.notify_one();
            }
            Err(e) => {
                log::debug!("config.feed failed error=\"{e}\"");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn newest_version(shared: &Shared) -> Option<u64> {
    let read = shared.store.read_all(OPERATOR_TABLE, "", READ_TIMEOUT).await;
    read.map(|f| f.version).ok()
}

/// Applies the configuration in a row of the store if it is new.
fn apply_row(shared: &Shared, row: &Row) {
    if !shared.is_new_config_row(row.version) {
        return;
    }
    match compress(&row.value) {
        Ok(packed) => {
            parse_and_apply(shared, &row.value, ConfigRow { row_version: row.version, packed });
        }
        Err(e) => log::error!("config.not_packed row_version={} error=\"{e}\"", row.version),
    }
}

/// Applies a configuration that a peer has sent if it is new.
pub fn apply_packed(shared: &Shared, row: ConfigRow) {
    if !shared.is_new_config_row(row.row_version) {
        return;
    }
    match decompress(&row.packed, MAX_CONFIG_BYTES) {
        Ok(value) => parse_and_apply(shared, &value, row),
        Err(e) => log_malformed(shared, row.row_version, &e),
    }
}

fn parse_and_apply(shared: &Shared, value: &[u8], row: ConfigRow) {
    match Config::try_from(value) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            let (bytes, packed) = (value.len(), row.packed.len());
            let previous = shared.config_version();
            if shared.apply_config(config, row) {
                shared.metrics.config_version.set(version as i64);
                log::info!(
                    "config.taken version={version} before={previous} routes={routes} \
                     bytes={bytes} packed={packed}"
                );
            }
        }
        Err(e) => log_malformed(shared, row.row_version, &e),
    }
}

/// Logs that a row is not a configuration; once, since a row is read with every poll.
fn log_malformed(shared: &Shared, row_version: Version, error: &dyn Display) {
    if shared.is_newly_malformed_config(row_version) {
        log::error!("config.malformed row_version={row_version} error=\"{error}\"");
    }
}
