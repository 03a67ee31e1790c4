//! Keeps the configuration up to date: by the store's feed, and by reading it besides, since
//! the feed may go silent. A member whose owner vouches for what it knows does neither.

use crate::compression::{compress, decompress};
use crate::owner_row::{OWNER_KEY, TABLE};
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
/// How often before it is known how many partitions there are: nobody is served yet, and the feed
/// tells of changes. Hundreds of processes that start would read it over and over meanwhile.
const BEFORE_PLAN_EVERY: Duration = Duration::from_millis(15_000);
/// Once that is known an owner vouches for the configuration within this time, or it is read.
const OWNER_VOUCHES_WITHIN: Duration = Duration::from_millis(1_000);
/// How often a member whose owner vouches for the configuration finds out whether the store
/// answers it: an owner that the store turns away hands over to one that it serves.
const PROBE_EVERY: Millis = Millis(3_000);
/// How often while the owner can't reach the store, to learn whether this process can.
const PROBE_EVERY_FOR_OWNER: Duration = Duration::from_millis(200);
/// Longest time for a reading.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a call to the feed waits for a change.
const FEED_WAIT: Duration = Duration::from_millis(10_000);
/// The largest configuration that is taken from a peer, in bytes: what the store holds in a row,
/// many times over.
const LARGEST_CONFIG: usize = 16 << 20;
/// Pause after a failure, and between two looks whether the owner still vouches.
const RETRY: Duration = Duration::from_millis(200);

/// The last call to the store that this duty has made.
#[derive(Debug)]
pub(crate) struct LastCall {
    /// The store answered it.
    pub answered: bool,
    /// When it was made.
    pub at: Millis,
    /// It read the configuration, and not only a small row.
    pub read: bool,
}

/// Reads the configuration again and again, or only finds out whether the store answers while an
/// owner vouches for what this process knows.
pub async fn read_config(shared: Arc<Shared>) {
    let mut last = LastCall { answered: true, at: Millis(0), read: true };
    loop {
        let told = shared.is_config_confirmed();
        let now = shared.clock.now();
        if !told || is_probed(&shared) || now.since(last.at) >= PROBE_EVERY {
            // Without any configuration nothing can be served, so no call is spent on a probe.
            let known = shared.config_version() > 0;
            let probe = told || (known && !last.answered);
            let answer = ask(&shared, probe).await;
            note(&shared, last.answered, &answer);
            last = LastCall { answered: answer.is_ok(), at: now, read: !probe };
        }
        // Woken early when a peer knows a newer version.
        let pause = pause(&shared, &last);
        if timeout(pause, shared.config_wanted.notified()).await.is_ok() {
            log::debug!("config.wanted");
        }
    }
}

/// Has the configuration read once it is known how many partitions there are, unless an owner
/// vouches for it soon.
pub async fn read_unless_told(shared: &Shared) {
    sleep(OWNER_VOUCHES_WITHIN).await;
    if !shared.is_config_confirmed() {
        shared.config_wanted.notify_one();
    }
}

/// Asks the store for the configuration; with `probe` for a small row, only to learn whether it
/// answers: a store that was away doesn't have to send all members a large one as it returns.
async fn ask(shared: &Shared, probe: bool) -> Result<(), StoreError> {
    match shared.partitions().first().filter(|_| probe) {
        Some(p) => shared.store.read(TABLE, &p.part, OWNER_KEY, READ_TIMEOUT).await.map(drop),
        None => read_once(shared).await,
    }
}

async fn read_once(shared: &Shared) -> Result<(), StoreError> {
    let (row, _) = shared.store.read(OPERATOR_TABLE, "", CONFIG_KEY, READ_TIMEOUT).await?;
    shared.record_config_read();
    if let Some(row) = row {
        take(shared, &row);
    }
    Ok(())
}

/// Takes note of whether the store has answered; `before`: whether it had the time before.
fn note(shared: &Shared, before: bool, answer: &Result<(), StoreError>) {
    match answer {
        Ok(()) => {
            shared.record_store_answer();
            if !before {
                log::info!("store.regained by=config");
            }
        }
        Err(e) => {
            shared.record_store_failure();
            if before {
                log::warn!("store.lost by=config error=\"{e}\"");
            }
        }
    }
}

/// Tells whether an owner wants to know whether the store answers this process.
fn is_probed(shared: &Shared) -> bool {
    shared.partitions().iter().any(|p| p.probe_store.load(Ordering::Relaxed))
}

/// Returns how long to wait before the next look at what is due.
pub(crate) fn pause(shared: &Shared, last: &LastCall) -> Duration {
    if !last.answered || (!last.read && !shared.is_config_confirmed()) {
        RETRY
    } else if shared.partitions().is_empty() {
        BEFORE_PLAN_EVERY
    } else if is_probed(shared) {
        PROBE_EVERY_FOR_OWNER
    } else {
        READ_EVERY
    }
}

/// Follows the feed of the operator's table.
pub async fn follow_config(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        if shared.is_config_confirmed() {
            sleep(RETRY).await;
            continue;
        }
        match shared.store.wait_for_changes(OPERATOR_TABLE, after, FEED_WAIT).await {
            Ok(feed) => {
                shared.record_store_answer();
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

/// Puts the configuration of a row of the store in force, if it is new.
fn take(shared: &Shared, row: &Row) {
    if !shared.is_new_config_row(row.version) {
        return;
    }
    match compress(&row.value) {
        Ok(packed) => {
            put_in_force(shared, &row.value, ConfigRow { row_version: row.version, packed });
        }
        Err(e) => log::error!("config.not_packed row_version={} error=\"{e}\"", row.version),
    }
}

/// Puts the configuration that a peer has sent in force, if it is new.
pub fn take_packed(shared: &Shared, row: ConfigRow) {
    if !shared.is_new_config_row(row.row_version) {
        return;
    }
    match decompress(&row.packed, LARGEST_CONFIG) {
        Ok(value) => put_in_force(shared, &value, row),
        Err(e) => log::error!("config.malformed row_version={} error=\"{e}\"", row.row_version),
    }
}

fn put_in_force(shared: &Shared, value: &[u8], row: ConfigRow) {
    match Config::try_from(value) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            let (bytes, packed) = (value.len(), row.packed.len());
            let before = shared.config_version();
            if shared.apply_config(config, row) {
                shared.metrics.config_version.set(version as i64);
                log::info!(
                    "config.taken version={version} before={before} routes={routes} \
                     bytes={bytes} packed={packed}"
                );
            }
        }
        Err(e) => log::error!("config.malformed row_version={} error=\"{e}\"", row.row_version),
    }
}
