//! Keeps the worker list up to date while this process owns the partition.

use crate::assignment::partition_of_worker;
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::partition::PartitionContext;
use crate::shared::Shared;
use crate::withdrawals::Withdrawals;
use crate::worker_changes::{READER_PARTITION, WorkerChanges, WorkerRow};
use hollowford_adapter::{REGISTRY_TABLE, Row, StoreError, Version, decode_listing};
use hollowford_core::Millis;
use hollowford_jobs::WorkerListing;
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::broadcast::Receiver;
use tokio::time::{Instant, sleep, timeout_at};

/// How long a feed call waits for a change. Short, since a feed may stop sending changes without an
/// error.
const MAX_FEED_WAIT: Duration = Duration::from_millis(200);
/// Pause between two feed calls. Entries change with each heartbeat of a worker, so without a pause
/// the feed would answer about thirty times a second.
const FEED_PAUSE: Duration = Duration::from_millis(250);
/// Time limit of a read of the whole list.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Minimum interval between reads of the whole list, which make up for a feed that has stopped
/// sending changes.
const MIN_READ_INTERVAL: Millis = Millis(2_000);
/// Interval between reads of the whole list per worker, where that exceeds [`MIN_READ_INTERVAL`]:
/// all owners together must not read megabytes a second. A feed that has lost its history reports
/// it.
const READ_INTERVAL_PER_WORKER: Millis = Millis(4);
/// How long removed entries are kept after a store outage. Workers whose entries expired during the
/// outage are back on the list within 2 s.
const MISSING_ENTRY_GRACE: Millis = Millis(2_500);
/// This process reads the list itself if no forwarded changes arrive within this time. The reader
/// partition's owner forwards every read, even without changes, about twice a second.
const CHANGES_TIMEOUT: Millis = Millis(1_000);
/// Time without an answer from the store from which it counts as an outage.
const MIN_STORE_OUTAGE: Millis = Millis(1_000);

/// The worker list of one owner.
#[derive(Debug)]
pub(crate) struct Registry {
    rows: BTreeMap<String, WorkerListing>,
    version: Version,
    /// When the whole list was last read.
    read_at: Millis,
    /// When the store last answered.
    answered_at: Millis,
    /// Removals are ignored until the store has answered at or after this time.
    trust_missing_from: Millis,
    /// The list may hold entries that the store has removed; the next read of the whole list
    /// decides.
    has_unconfirmed_entries: bool,
    /// Keys of malformed rows that have been logged.
    malformed: FxHashSet<String>,
    /// When the last forwarded changes that could be applied arrived.
    changes_received_at: Option<Millis>,
    withdrawals: Withdrawals,
}

/// Outcome of applying changes that another owner has forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangesOutcome {
    /// The changes were applied; true if they changed this list.
    Applied(bool),
    /// The changes are older than this list.
    Outdated,
    /// Changes between this list and these are missing.
    Gap,
}

/// Keeps the list up to date until the owner ends. The owner gets only its own partition's workers.
pub async fn follow(cx: PartitionContext, owner: OwnerHandle) {
    let shared = &cx.shared;
    let mut changes_rx = shared.worker_changes.subscribe();
    let mut list = Registry::new(shared.clock.now());
    list.set_heartbeat(shared.settings.worker_heartbeat);
    let mut sent_config_version = 0;
    while !owner.is_closed() {
        let changed = match list.next_changes(&cx, &mut changes_rx).await {
            Some(changed) => changed,
            None => match list.read_store(shared).await {
                Ok(changes) => {
                    let changed = !changes.rows.is_empty();
                    forward_changes(&cx, &owner, changes).await;
                    changed
                }
                Err(e) => {
                    log::debug!("workers.list failed error=\"{e}\"");
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            },
        };
        if changed || shared.config_version() != sent_config_version {
            sent_config_version = shared.config_version();
            let count = shared.partition_count();
            let own = |l: &&WorkerListing| partition_of_worker(l, count) == cx.partition.number;
            let withdrawn = list.take_withdrawn();
            let listings = list.workers(shared).chain(&withdrawn).filter(own).cloned().collect();
            owner.send(OwnerMsg::WorkerList(listings)).await;
        }
    }
}

/// Forwards changes to the owners of other partitions, if this is the reader partition's owner.
async fn forward_changes(cx: &PartitionContext, owner: &OwnerHandle, changes: WorkerChanges) {
    if cx.partition.number != READER_PARTITION
        || cx.shared.partition_count() < 2
        || !changes.can_be_forwarded()
    {
        return;
    }
    // For other owners in this process; there may be none.
    let _ = cx.shared.worker_changes.send(Arc::new(changes.clone()));
    owner.send(OwnerMsg::WorkerChanges(changes)).await;
}

impl Registry {
    /// Creates an empty list.
    pub fn new(now: Millis) -> Registry {
        Registry {
            rows: BTreeMap::new(),
            version: 0,
            read_at: Millis(0),
            answered_at: now,
            trust_missing_from: now,
            has_unconfirmed_entries: false,
            malformed: FxHashSet::default(),
            changes_received_at: None,
            withdrawals: Withdrawals::default(),
        }
    }

    /// Sets the interval at which workers write their entries.
    pub fn set_heartbeat(&mut self, heartbeat: Option<Millis>) {
        self.withdrawals.set_heartbeat(heartbeat);
    }

    /// Returns the workers that have removed their entries since the last call.
    pub fn take_withdrawn(&mut self) -> Vec<WorkerListing> {
        self.withdrawals.take_withdrawn()
    }

    /// Returns the workers on the list. Rows of a pool that the configuration doesn't name belong
    /// to another writer and are left out.
    pub fn workers(&self, shared: &Shared) -> impl Iterator<Item = &WorkerListing> {
        let config = shared.config.load_full();
        let in_named_pool =
            move |l: &&WorkerListing| config.as_ref().is_none_or(|c| c.has_pool(&l.pool));
        self.rows.values().filter(in_named_pool)
    }

    /// Waits for forwarded changes. Returns true if they changed the list, and `None` if this
    /// process has to read the list itself.
    async fn next_changes(
        &mut self,
        cx: &PartitionContext,
        changes_rx: &mut Receiver<Arc<WorkerChanges>>,
    ) -> Option<bool> {
        if self.version == 0 {
            // A new owner reads the list first.
            return None;
        }
        if cx.partition.number == READER_PARTITION {
            sleep(FEED_PAUSE).await;
            return None;
        }
        let now = cx.shared.clock.now();
        if self.has_unconfirmed_entries && self.is_read_due(now) {
            return None;
        }
        let is_receiving =
            self.changes_received_at.is_some_and(|at| now.since(at) < CHANGES_TIMEOUT);
        let max_wait = if is_receiving { CHANGES_TIMEOUT.duration() } else { FEED_PAUSE };
        let deadline = Instant::now() + max_wait;
        while let Ok(Ok(changes)) = timeout_at(deadline, changes_rx.recv()).await {
            match self.apply_changes(&changes) {
                ChangesOutcome::Applied(changed) => {
                    self.record_changes(cx.shared.clock.now());
                    return Some(changed);
                }
                ChangesOutcome::Outdated => {}
                ChangesOutcome::Gap => break,
            }
        }
        self.changes_received_at = None;
        None
    }

    /// Records that forwarded changes were applied.
    fn record_changes(&mut self, now: Millis) {
        self.record_answer(now);
        self.changes_received_at = Some(now);
        if !self.has_unconfirmed_entries {
            // The reader partition's owner reads the whole list, too.
            self.read_at = now;
        }
    }

    /// Applies changes that another owner has read.
    pub fn apply_changes(&mut self, changes: &WorkerChanges) -> ChangesOutcome {
        if changes.to < self.version {
            return ChangesOutcome::Outdated;
        }
        if changes.from > self.version {
            return ChangesOutcome::Gap;
        }
        self.version = changes.to;
        ChangesOutcome::Applied(
            changes.rows.iter().fold(false, |changed, r| self.apply_change(r) | changed),
        )
    }

    /// Applies one forwarded row. The other owner has already decided whether to trust a removal.
    /// Returns true if the list changed.
    fn apply_change(&mut self, row: &WorkerRow) -> bool {
        if !row.removed {
            return self.put(&row.key, &row.value);
        }
        let listing = self.rows.remove(&row.key);
        let was_listed = listing.is_some();
        if let Some(listing) = listing.filter(|_| row.withdrawn) {
            self.withdrawals.add(listing);
        }
        was_listed
    }

    /// Waits for a change in the store, or reads the whole list if that is due. Returns the
    /// changes.
    pub async fn read_store(&mut self, shared: &Shared) -> Result<WorkerChanges, StoreError> {
        let now = shared.clock.now();
        let from = self.version;
        if self.version == 0 || self.is_read_due(now) {
            let feed = shared.store.read_all(REGISTRY_TABLE, "", READ_TIMEOUT).await?;
            shared.record_store_answer();
            self.record_answer(shared.clock.now());
            self.version = feed.version;
            self.read_at = shared.clock.now();
            let rows = self.replace(&feed.rows);
            self.withdrawals.read_completed(now);
            return Ok(WorkerChanges { from, to: self.version, rows });
        }
        match shared.store.wait_for_changes(REGISTRY_TABLE, self.version, MAX_FEED_WAIT).await {
            Ok(feed) => {
                shared.record_store_answer();
                self.record_answer(shared.clock.now());
                self.version = feed.version;
                let rows = self.apply_rows(&feed.rows);
                self.withdrawals.read_completed(now);
                Ok(WorkerChanges { from, to: self.version, rows })
            }
            Err(StoreError::HistoryGone) => {
                log::info!("store.history_gone table={REGISTRY_TABLE} after={}", self.version);
                self.version = 0;
                Ok(WorkerChanges::default())
            }
            Err(e) => Err(e),
        }
    }

    /// Returns true if the whole list has to be read again.
    fn is_read_due(&self, now: Millis) -> bool {
        let interval =
            MIN_READ_INTERVAL.max(Millis(READ_INTERVAL_PER_WORKER.0 * self.rows.len() as u64));
        now.since(self.read_at) >= interval
    }

    /// Records that the store has answered this process or the reader partition's owner.
    pub fn record_answer(&mut self, now: Millis) {
        if now.since(self.answered_at) > MIN_STORE_OUTAGE + Millis(MAX_FEED_WAIT.as_millis() as u64)
        {
            self.trust_missing_from = now + MISSING_ENTRY_GRACE;
        }
        self.answered_at = now;
    }

    /// Replaces the list with the rows of a full read. Returns the rows that changed.
    pub fn replace(&mut self, rows: &[Row]) -> Vec<WorkerRow> {
        let mut changed = Vec::new();
        self.has_unconfirmed_entries = !self.trusts_missing();
        if !self.has_unconfirmed_entries {
            let present: FxHashSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
            let is_missing = |id: &&String| !present.contains(id.as_str());
            let missing: Vec<_> = self.rows.keys().filter(is_missing).cloned().collect();
            self.malformed.retain(|id| present.contains(id.as_str()));
            for key in missing {
                let withdrawn = self.remove(&key) == Some(true);
                changed.push(WorkerRow { key, removed: true, withdrawn, ..WorkerRow::default() });
            }
        }
        changed.extend(self.apply_rows(rows));
        changed
    }

    /// Applies rows. Returns those that changed the list.
    fn apply_rows(&mut self, rows: &[Row]) -> Vec<WorkerRow> {
        let mut changed = Vec::new();
        for row in rows {
            if self.apply_row(row) {
                let withdrawn = self.withdrawals.contains(&row.key);
                changed.push(WorkerRow { withdrawn, ..WorkerRow::from(row) });
            }
        }
        changed
    }

    /// Removes an entry. Returns whether its worker has removed it itself; `None` if there was no
    /// such entry.
    fn remove(&mut self, key: &str) -> Option<bool> {
        let listing = self.rows.remove(key)?;
        Some(self.withdrawals.entry_removed(key, listing, self.answered_at))
    }

    fn trusts_missing(&self) -> bool {
        self.answered_at >= self.trust_missing_from
    }

    /// Returns true if the list may hold entries that the store has removed. Forwarded changes
    /// don't report those.
    #[cfg(test)]
    pub fn has_unconfirmed_entries(&self) -> bool {
        self.has_unconfirmed_entries
    }

    /// Applies one row; returns true if the list changed. A malformed row takes its worker off the
    /// list: nothing new is started there, and running tasks continue under their lease.
    pub fn apply_row(&mut self, row: &Row) -> bool {
        if row.removed && !self.trusts_missing() {
            self.has_unconfirmed_entries = true;
            return false;
        }
        if row.removed {
            return self.remove(&row.key).is_some();
        }
        let changed = self.put(&row.key, &row.value);
        if self.rows.contains_key(&row.key) {
            self.withdrawals.entry_read(&row.key, row.version);
        } else {
            self.withdrawals.forget(&row.key);
        }
        changed
    }

    /// Decodes a row and stores its worker. Returns true if the list changed.
    fn put(&mut self, key: &str, value: &[u8]) -> bool {
        match decode_listing(key, value) {
            Ok(listing) => {
                let old = self.rows.insert(key.to_owned(), listing.clone());
                old.as_ref() != Some(&listing)
            }
            Err(e) => {
                let was_listed = self.rows.remove(key).is_some();
                let is_new = self.malformed.insert(key.to_owned());
                // Logged once per change, since a row is read many times.
                if was_listed || is_new {
                    log::error!("worker.malformed worker={} error=\"{e}\"", key.escape_debug());
                }
                was_listed
            }
        }
    }
}
