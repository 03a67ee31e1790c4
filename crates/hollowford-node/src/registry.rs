//! Keeps the list of workers up to date while this process owns the partition.

use crate::homes::home_of_worker;
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::partition::Cx;
use crate::shared::Shared;
use hollowford_adapter::{REGISTRY_TABLE, Row, StoreError, Version, decode_listing};
use hollowford_core::Millis;
use hollowford_jobs::WorkerListing;
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

/// How long a call to the feed waits for a change. Kept short, since a feed may go silent.
const FEED_WAIT: Duration = Duration::from_millis(200);
/// Pause between two calls. Entries change with each sign of life of a worker, so the feed
/// answers at once, some thirty times a second, if it is asked as often.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest time for a reading.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failure.
const RETRY: Duration = Duration::from_millis(200);
/// The list is read whole so often while workers are few: a feed may go silent.
const READ_EVERY: Millis = Millis(2_000);
/// With many workers it is read more rarely, so that all owners together don't take megabytes
/// a second. A feed whose history is lost says so.
const READ_EVERY_FOR_EACH: Millis = Millis(4);
/// After the store was away, entries that lapsed meanwhile are back within 2 s.
const TRUST_MISSING_AFTER: Millis = Millis(2_500);
/// The store counts as having been away when it did not answer for so long.
const AWAY: Millis = Millis(1_000);

/// The list, and what the store's absence means for it.
#[derive(Debug)]
pub(crate) struct Registry {
    rows: BTreeMap<String, WorkerListing>,
    version: Version,
    read_at: Millis,
    answered_at: Millis,
    /// Missing entries are not believed before.
    believe_missing_at: Millis,
    /// Rows that could not be read and have been logged.
    malformed: FxHashSet<String>,
}

/// Follows the list until the owner ends.
/// The owner is told of its own partition's workers only.
pub async fn follow(cx: Cx, owner: OwnerHandle) {
    let shared = &cx.shared;
    let count = shared.partition_count();
    let now = shared.clock.now();
    let mut list = Registry::new(now);
    let mut config = 0;
    while !owner.is_closed() {
        match list.next(shared).await {
            Ok(changed) => {
                // Told before the pause: a new owner waits for its first list.
                if changed || shared.config_version() != config {
                    config = shared.config_version();
                    let own = |l: &&WorkerListing| home_of_worker(l, count) == cx.partition.number;
                    let listings = list.workers(shared).filter(own).cloned().collect();
                    owner.send(OwnerMsg::Listings(listings)).await;
                }
                sleep(PAUSE).await;
            }
            Err(e) => {
                log::debug!("workers.list failed error=\"{e}\"");
                sleep(RETRY).await;
            }
        }
    }
}

impl Registry {
    /// Makes an empty list.
    pub fn new(now: Millis) -> Registry {
        Registry {
            rows: BTreeMap::new(),
            version: 0,
            read_at: Millis(0),
            answered_at: now,
            believe_missing_at: now,
            malformed: FxHashSet::default(),
        }
    }

    /// Returns the workers on the list. A row of a pool that the configuration doesn't name is
    /// another writer's.
    pub fn workers(&self, shared: &Shared) -> impl Iterator<Item = &WorkerListing> {
        let config = shared.config.load_full();
        let named = move |l: &&WorkerListing| config.as_ref().is_none_or(|c| c.names_pool(&l.pool));
        self.rows.values().filter(named)
    }

    /// Waits for a change, or reads the whole list. Tells whether something changed.
    async fn next(&mut self, shared: &Shared) -> Result<bool, StoreError> {
        let now = shared.clock.now();
        if self.version == 0 || now.since(self.read_at) >= self.read_every() {
            let feed = shared.store.read_all(REGISTRY_TABLE, "", READ_TIMEOUT).await?;
            self.note_answer(shared);
            self.version = feed.version;
            self.read_at = shared.clock.now();
            return Ok(self.replace(&feed.rows));
        }
        match shared.store.feed(REGISTRY_TABLE, self.version, FEED_WAIT).await {
            Ok(feed) => {
                self.note_answer(shared);
                self.version = feed.version;
                let changes = feed.rows.iter().map(|r| self.apply(r)).filter(|&c| c).count();
                Ok(changes > 0)
            }
            Err(StoreError::HistoryGone) => {
                log::info!("store.history_gone table={REGISTRY_TABLE} after={}", self.version);
                self.version = 0;
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    /// Returns the longest time between two readings of the whole list.
    fn read_every(&self) -> Millis {
        READ_EVERY.max(Millis(READ_EVERY_FOR_EACH.0 * self.rows.len() as u64))
    }

    fn note_answer(&mut self, shared: &Shared) {
        shared.note_store();
        let now = shared.clock.now();
        if now.since(self.answered_at) > AWAY + Millis(FEED_WAIT.as_millis() as u64) {
            self.believe_missing_at = now + TRUST_MISSING_AFTER;
        }
        self.answered_at = now;
    }

    /// Takes the whole list. Tells whether something changed.
    pub fn replace(&mut self, rows: &[Row]) -> bool {
        let mut changed = false;
        if self.answered_at >= self.believe_missing_at {
            let there: FxHashSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
            let before = self.rows.len();
            self.rows.retain(|id, _| there.contains(id.as_str()));
            self.malformed.retain(|id| there.contains(id.as_str()));
            changed = self.rows.len() != before;
        }
        rows.iter().fold(changed, |changed, r| self.apply(r) | changed)
    }

    /// Takes one row. One that can't be read names no worker: the one that it named before is not
    /// on the list any more, so nothing new is started there, and what runs goes on under its
    /// lease. Tells whether something changed.
    pub fn apply(&mut self, row: &Row) -> bool {
        if row.removed {
            let believed = self.answered_at >= self.believe_missing_at;
            return believed && self.rows.remove(&row.key).is_some();
        }
        match decode_listing(&row.key, &row.value) {
            Ok(listing) => {
                let old = self.rows.insert(row.key.clone(), listing.clone());
                old.as_ref() != Some(&listing)
            }
            Err(e) => {
                let known = self.rows.remove(&row.key).is_some();
                // Once for each row: it is read again and again.
                if known || self.malformed.insert(row.key.clone()) {
                    log::error!("worker.malformed worker={} error=\"{e}\"", row.key);
                }
                known
            }
        }
    }
}
