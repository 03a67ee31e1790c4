//! All owner rows as this process has seen them, read by one scan for all partitions.

use super::keeper::OwnerRow;
use crate::ledger::OWNER_PREFIX;
use crate::owners::Owner;
use crate::shared::Shared;
use hollowford_core::{Epoch, Millis, PartitionId};
use hollowford_platform::{Platform, StoreError};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How often a stopping process looks for new owners.
const EVERY_WHEN_STOPPING: Millis = Millis(100);
/// Rows in one read.
const PAGE: usize = 1_000;

/// A row as it was seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Seen {
    /// Version of the row; 0: there is none.
    pub version: u64,
    pub row: OwnerRow,
    /// When this version was first seen, by this process's clock.
    pub since: Millis,
}

impl Seen {
    /// Names how the partition is free, for the metric of takeovers.
    pub fn how_free(&self) -> &'static str {
        match (self.version, self.row.released) {
            (0, _) => "new",
            (_, true) => "released",
            (_, false) => "lapsed",
        }
    }
}

/// All rows as they were seen.
#[derive(Debug, Default)]
pub(crate) struct Board {
    rows: Mutex<Option<BTreeMap<PartitionId, Seen>>>,
}

impl Board {
    fn lock(&self) -> MutexGuard<'_, Option<BTreeMap<PartitionId, Seen>>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a partition's row; `None` before the first scan.
    pub(super) fn get(&self, partition: PartitionId) -> Option<Seen> {
        self.lock().as_ref()?.get(&partition).cloned()
    }

    /// Notes a row, keeping the time at which its version was first seen.
    pub(super) fn note(&self, partition: PartitionId, found: Seen) {
        let mut rows = self.lock();
        let rows = rows.get_or_insert_default();
        let same = rows.get(&partition).is_some_and(|s| s.version == found.version);
        if !same {
            rows.insert(partition, found);
        }
    }
}

/// Scans the owner rows for as long as the process lives.
pub(crate) async fn follow(shared: Arc<Shared>, store: Platform) {
    loop {
        let read = scan(&shared, &store).await;
        shared.store_answers.store(read.is_ok(), Ordering::Release);
        if let Err(e) = read {
            log::debug!("owner rows not read: {e}");
        }
        let every = match shared.is_stopping() {
            true => EVERY_WHEN_STOPPING,
            false => shared.settings.lease.renew,
        };
        tokio::time::sleep(every.duration()).await;
    }
}

async fn scan(shared: &Shared, store: &Platform) -> Result<(), StoreError> {
    let rows = store.scan(OWNER_PREFIX, "", PAGE).await?;
    let since = shared.clock.now();
    let mut found = BTreeMap::new();
    for row in rows {
        let number = row.key.trim_start_matches(OWNER_PREFIX).parse();
        let owner = OwnerRow::decode(&row.value.0[..]);
        if let (Ok(number), Ok(owner)) = (number, owner) {
            let seen = Seen { version: row.version, row: owner, since };
            found.insert(PartitionId(number), seen);
        }
    }
    for p in (0..shared.settings.partitions).map(PartitionId) {
        let seen = found.remove(&p).unwrap_or(Seen { since, ..Seen::default() });
        tell_owner(shared, p, &seen);
        shared.board.note(p, seen);
    }
    shared.owner_news.send_modify(|n| *n += 1);
    Ok(())
}

fn tell_owner(shared: &Shared, partition: PartitionId, seen: &Seen) {
    if seen.version > 0 && !seen.row.released {
        let process = seen.row.process.clone();
        shared.owners.set(partition, Some(Owner { process, epoch: Epoch(seen.row.epoch) }));
    }
}
