//! Keeps the configuration up to date: by the store's feed, and by reading it besides, since
//! the feed may go silent. A member whose owner vouches for what it knows does neither.

use crate::owner_row::{OWNER_KEY, SYSTEM_TABLE};
use crate::packed::{pack, unpack};
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
const READ_INTERVAL: Duration = Duration::from_millis(650);
/// How often before it is known how many partitions there are: nobody is served yet, and the feed
/// tells of changes. Hundreds of processes that start would read it over and over meanwhile.
const READ_INTERVAL_BEFORE_PLAN: Duration = Duration::from_millis(15_000);
/// Once that is known an owner vouches for the configuration within this time, or it is read.
const OWNER_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often a member whose owner vouches for the configuration finds out whether the store
/// answers it: an owner that the store turns away hands over to one that it serves.
const PROBE_INTERVAL: Millis = Millis(3_000);
/// How often while the owner can't reach the store, to learn whether this process can.
const REQUESTED_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for a reading.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a call to the feed waits for a change.
const MAX_FEED_WAIT: Duration = Duration::from_millis(10_000);
/// The largest configuration that is taken from a peer, in bytes: what the store holds in a row,
/// many times over.
const MAX_CONFIG_BYTES: usize = 16 << 20;
/// Pause after a failure, and between two looks whether the owner still vouches.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The last call to the store that this duty has made.
#[derive(Debug)]
pub(crate) struct LastStoreCall {
    /// The store answered it.
    pub answered: bool,
    /// When it was made.
    pub at: Millis,
    /// It read the configuration, and not only a small row.
    pub read_config: bool,
}

/// Reads the configuration again and again, or only finds out whether the store answers while an
/// owner vouches for what this process knows.
pub async fn poll_config(shared: Arc<Shared>) {
    let mut last = LastStoreCall { answered: true, at: Millis(0), read_config: true };
    loop {
        let confirmed = shared.config_is_told();
        let now = shared.clock.now();
        if !confirmed || is_probe_wanted(&shared) || now.since(last.at) >= PROBE_INTERVAL {
            // Without any configuration nothing can be served, so no call is spent on a probe.
            let has_config = shared.config_version() > 0;
            let probe = confirmed || (has_config && !last.answered);
            let answer = read_or_probe(&shared, probe).await;
            record_answer(&shared, last.answered, &answer);
            last = LastStoreCall { answered: answer.is_ok(), at: now, read_config: !probe };
        }
        // Woken early when a peer knows a newer version.
        let pause = next_pause(&shared, &last);
        if timeout(pause, shared.config_wanted.notified()).await.is_ok() {
            log::debug!("config.wanted");
        }
    }
}

/// Has the configuration read once it is known how many partitions there are, unless an owner
/// vouches for it soon.
pub async fn poll_unless_confirmed(shared: &Shared) {
    sleep(OWNER_CONFIRM_TIMEOUT).await;
    if !shared.config_is_told() {
        shared.config_wanted.notify_one();
    }
}

/// Asks the store for the configuration; with `probe` for a small row, only to learn whether it
/// answers: a store that was away doesn't have to send all members a large one as it returns.
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
    shared.note_config_read();
    if let Some(row) = row {
        apply_row(shared, &row);
    }
    Ok(())
}

/// Takes note of whether the store has answered; `was_answered`: whether it had the time before.
fn record_answer(shared: &Shared, was_answered: bool, answer: &Result<(), StoreError>) {
    match answer {
        Ok(()) => {
            shared.note_store();
            if !was_answered {
                log::info!("store.regained by=config");
            }
        }
        Err(e) => {
            shared.note_store_failure();
            if was_answered {
                log::warn!("store.lost by=config error=\"{e}\"");
            }
        }
    }
}

/// Tells whether an owner wants to know whether the store answers this process.
fn is_probe_wanted(shared: &Shared) -> bool {
    shared.partitions().iter().any(|p| p.store_probe_wanted.load(Ordering::Relaxed))
}

/// Returns how long to wait before the next look at what is due.
pub(crate) fn next_pause(shared: &Shared, last: &LastStoreCall) -> Duration {
    if !last.answered || (!last.read_config && !shared.config_is_told()) {
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
        if shared.config_is_told() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        match shared.store.feed(OPERATOR_TABLE, after, MAX_FEED_WAIT).await {
            Ok(feed) => {
                shared.note_store();
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

/// Puts the configuration of a row of the store in force, if it is new.
fn apply_row(shared: &Shared, row: &Row) {
    if !shared.is_new_config_row(row.version) {
        return;
    }
    match pack(&row.value) {
        Ok(packed) => {
            parse_and_apply(shared, &row.value, ConfigRow { row_version: row.version, packed });
        }
        Err(e) => log::error!("config.not_packed row_version={} error=\"{e}\"", row.version),
    }
}

/// Puts the configuration that a peer has sent in force, if it is new.
pub fn apply_packed(shared: &Shared, row: ConfigRow) {
    if !shared.is_new_config_row(row.row_version) {
        return;
    }
    match unpack(&row.packed, MAX_CONFIG_BYTES) {
        Ok(value) => parse_and_apply(shared, &value, row),
        Err(e) => log::error!("config.malformed row_version={} error=\"{e}\"", row.row_version),
    }
}

fn parse_and_apply(shared: &Shared, value: &[u8], row: ConfigRow) {
    match Config::try_from(value) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            let (bytes, packed) = (value.len(), row.packed.len());
            let previous = shared.config_version();
            if shared.take_config(config, row) {
                shared.metrics.config_version.set(version as i64);
                log::info!(
                    "config.taken version={version} before={previous} routes={routes} \
                     bytes={bytes} packed={packed}"
                );
            }
        }
        Err(e) => log::error!("config.malformed row_version={} error=\"{e}\"", row.row_version),
    }
}
