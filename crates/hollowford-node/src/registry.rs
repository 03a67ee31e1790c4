//! Keeps the list of workers up to date while this process owns the partition.

use crate::homes::home_of_worker;
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::partition::Cx;
use crate::shared::Shared;
use crate::worker_changes::{READER, WorkerChanges, WorkerRow};
use hollowford_adapter::{REGISTRY_TABLE, Row, StoreError, Version, decode_listing};
use hollowford_core::Millis;
use hollowford_jobs::WorkerListing;
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::broadcast::Receiver;
use tokio::time::{Instant, sleep, timeout_at};

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
/// The list is read here once nothing has been told for so long. The owner that reads for all tells
/// of each reading, also of one that has changed nothing, some twice a second.
const TOLD_WITHIN: Millis = Millis(1_000);
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
    /// An entry may be missing that was not believed to be; a whole reading tells.
    doubtful: bool,
    /// Rows that could not be read and have been logged.
    malformed: FxHashSet<String>,
    /// When the owner that reads for all has told something last that followed on what is known.
    told_at: Option<Millis>,
}

/// What came of changes that another owner has told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// They were taken in; tells whether one was new here.
    Taken(bool),
    /// They are older than what is known here.
    Old,
    /// They don't follow on what is known here.
    Gap,
}

/// Follows the list until the owner ends.
/// The owner is told of its own partition's workers only.
pub async fn follow(cx: Cx, owner: OwnerHandle) {
    let shared = &cx.shared;
    let mut told = shared.worker_changes.subscribe();
    let mut list = Registry::new(shared.clock.now());
    let mut config = 0;
    while !owner.is_closed() {
        let changed = match list.wait(&cx, &mut told).await {
            Some(changed) => changed,
            None => match list.next(shared).await {
                Ok(changes) => {
                    let changed = !changes.rows.is_empty();
                    tell(&cx, &owner, changes).await;
                    changed
                }
                Err(e) => {
                    log::debug!("workers.list failed error=\"{e}\"");
                    sleep(RETRY).await;
                    continue;
                }
            },
        };
        if changed || shared.config_version() != config {
            config = shared.config_version();
            let count = shared.partition_count();
            let own = |l: &&WorkerListing| home_of_worker(l, count) == cx.partition.number;
            let listings = list.workers(shared).filter(own).cloned().collect();
            owner.send(OwnerMsg::WorkerList(listings)).await;
        }
    }
}

/// Tells the owners of other partitions what a reading has changed, if this one reads for all.
async fn tell(cx: &Cx, owner: &OwnerHandle, changes: WorkerChanges) {
    if cx.partition.number != READER || cx.shared.partition_count() < 2 || !changes.can_be_told() {
        return;
    }
    // This process may own others itself. Nobody listens if not.
    let _ = cx.shared.worker_changes.send(Arc::new(changes.clone()));
    owner.send(OwnerMsg::WorkerChanges(changes)).await;
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
            doubtful: false,
            malformed: FxHashSet::default(),
            told_at: None,
        }
    }

    /// Returns the workers on the list. A row of a pool that the configuration doesn't name is
    /// another writer's.
    pub fn workers(&self, shared: &Shared) -> impl Iterator<Item = &WorkerListing> {
        let config = shared.config.load_full();
        let named = move |l: &&WorkerListing| config.as_ref().is_none_or(|c| c.has_pool(&l.pool));
        self.rows.values().filter(named)
    }

    /// Waits for what the owner that reads for all tells; none when the list is to be read here. Tells
    /// whether something changed.
    async fn wait(&mut self, cx: &Cx, told: &mut Receiver<Arc<WorkerChanges>>) -> Option<bool> {
        if self.version == 0 {
            // A new owner waits for its first list.
            return None;
        }
        if cx.partition.number == READER {
            sleep(PAUSE).await;
            return None;
        }
        let now = cx.shared.clock.now();
        if self.doubtful && self.is_read_due(now) {
            return None;
        }
        let is_told = self.told_at.is_some_and(|at| now.since(at) < TOLD_WITHIN);
        let patience = if is_told { TOLD_WITHIN.duration() } else { PAUSE };
        let deadline = Instant::now() + patience;
        while let Ok(Ok(changes)) = timeout_at(deadline, told.recv()).await {
            match self.take_told(&changes) {
                Told::Taken(changed) => {
                    self.note_told(cx.shared.clock.now());
                    return Some(changed);
                }
                Told::Old => {}
                Told::Gap => break,
            }
        }
        self.told_at = None;
        None
    }

    /// Takes note that the owner that reads for all has told what follows on what is known here.
    fn note_told(&mut self, now: Millis) {
        self.note_answer(now);
        self.told_at = Some(now);
        if !self.doubtful {
            // It reads the whole list, too.
            self.read_at = now;
        }
    }

    /// Takes in what another owner has read.
    pub fn take_told(&mut self, changes: &WorkerChanges) -> Told {
        if changes.to < self.version {
            return Told::Old;
        }
        if changes.from > self.version {
            return Told::Gap;
        }
        self.version = changes.to;
        Told::Taken(changes.rows.iter().fold(false, |changed, r| self.apply_told(r) | changed))
    }

    /// Takes one row of it. Whether a missing entry is believed was the other owner's to judge.
    fn apply_told(&mut self, row: &WorkerRow) -> bool {
        if row.removed {
            self.rows.remove(&row.key).is_some()
        } else {
            self.put(&row.key, &row.value)
        }
    }

    /// Waits for a change, or reads the whole list. Returns what has changed.
    async fn next(&mut self, shared: &Shared) -> Result<WorkerChanges, StoreError> {
        let now = shared.clock.now();
        let from = self.version;
        if self.version == 0 || self.is_read_due(now) {
            let feed = shared.store.read_all(REGISTRY_TABLE, "", READ_TIMEOUT).await?;
            shared.record_store_answer();
            self.note_answer(shared.clock.now());
            self.version = feed.version;
            self.read_at = shared.clock.now();
            let rows = self.replace(&feed.rows);
            return Ok(WorkerChanges { from, to: self.version, rows });
        }
        match shared.store.wait_for_changes(REGISTRY_TABLE, self.version, FEED_WAIT).await {
            Ok(feed) => {
                shared.record_store_answer();
                self.note_answer(shared.clock.now());
                self.version = feed.version;
                let changed = feed.rows.iter().filter(|r| self.apply(r));
                let rows = changed.map(WorkerRow::from).collect();
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

    /// Tells whether the whole list is to be read again.
    fn is_read_due(&self, now: Millis) -> bool {
        let every = READ_EVERY.max(Millis(READ_EVERY_FOR_EACH.0 * self.rows.len() as u64));
        now.since(self.read_at) >= every
    }

    /// Takes note that the store has answered, here or to the owner that reads for all.
    pub fn note_answer(&mut self, now: Millis) {
        if now.since(self.answered_at) > AWAY + Millis(FEED_WAIT.as_millis() as u64) {
            self.believe_missing_at = now + TRUST_MISSING_AFTER;
        }
        self.answered_at = now;
    }

    /// Takes the whole list. Returns the rows that have changed.
    pub fn replace(&mut self, rows: &[Row]) -> Vec<WorkerRow> {
        let mut changed = Vec::new();
        self.doubtful = !self.believes_missing();
        if !self.doubtful {
            let there: FxHashSet<&str> = rows.iter().map(|r| r.key.as_str()).collect();
            let gone = |key: String| WorkerRow { key, removed: true, ..WorkerRow::default() };
            let missing = self.rows.extract_if(.., |id, _| !there.contains(id.as_str()));
            changed.extend(missing.map(|(id, _)| gone(id)));
            self.malformed.retain(|id| there.contains(id.as_str()));
        }
        changed.extend(rows.iter().filter(|r| self.apply(r)).map(WorkerRow::from));
        changed
    }

    fn believes_missing(&self) -> bool {
        self.answered_at >= self.believe_missing_at
    }

    /// Tells whether it may hold entries that are missing in the store: what others have read doesn't
    /// tell of those.
    #[cfg(test)]
    pub fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// Takes one row. One that can't be read names no worker: the one that it named before is not
    /// on the list any more, so nothing new is started there, and what runs goes on under its
    /// lease. Tells whether something changed.
    pub fn apply(&mut self, row: &Row) -> bool {
        if row.removed && !self.believes_missing() {
            self.doubtful = true;
            return false;
        }
        if row.removed {
            return self.rows.remove(&row.key).is_some();
        }
        self.put(&row.key, &row.value)
    }

    /// Takes the bytes of a row. Tells whether something changed.
    fn put(&mut self, key: &str, value: &[u8]) -> bool {
        match decode_listing(key, value) {
            Ok(listing) => {
                let old = self.rows.insert(key.to_owned(), listing.clone());
                old.as_ref() != Some(&listing)
            }
            Err(e) => {
                let known = self.rows.remove(key).is_some();
                // Once for each row: it is read again and again.
                if known || self.malformed.insert(key.to_owned()) {
                    log::error!("worker.malformed worker={key} error=\"{e}\"");
                }
                known
            }
        }
    }
}
