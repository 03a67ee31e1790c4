//! The owner rows of all partitions, read by one periodic scan of the store.

use super::lease_manager::OwnerRow;
use crate::ledger::OWNER_PREFIX;
use crate::owners::Owner;
use crate::shared::Shared;
use hollowford_core::{Epoch, Millis, PartitionId};
use hollowford_platform::{Platform, StoreError};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Scan interval of a stopping process, which must learn of new owners quickly to pass calls on.
const STOPPING_SCAN_INTERVAL: Millis = Millis(100);
/// Maximum number of rows in one read.
const PAGE_ROWS: usize = 1_000;

/// An owner row as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ObservedRow {
    /// Version of the row; 0 if there is no row.
    pub version: u64,
    pub row: OwnerRow,
    /// When this version was first read, by this process's clock.
    pub first_seen_at: Millis,
}

impl ObservedRow {
    /// Returns which kind of takeover the row calls for, as a label value: `new` without a row,
    /// `released` after a hand-over, otherwise `lapsed`: the lease must have expired.
    pub fn takeover_kind(&self) -> &'static str {
        match (self.version, self.row.released) {
            (0, _) => "new",
            (_, true) => "released",
            (_, false) => "lapsed",
        }
    }
}

/// The owner rows as they were last read.
#[derive(Debug, Default)]
pub(crate) struct OwnerRows {
    rows: Mutex<Option<BTreeMap<PartitionId, ObservedRow>>>,
}

impl OwnerRows {
    fn lock(&self) -> MutexGuard<'_, Option<BTreeMap<PartitionId, ObservedRow>>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a partition's row; `None` before the first scan.
    pub(super) fn get(&self, partition: PartitionId) -> Option<ObservedRow> {
        self.lock().as_ref()?.get(&partition).cloned()
    }

    /// Records a row. An unchanged version keeps the time at which it was first read.
    pub(super) fn record(&self, partition: PartitionId, found: ObservedRow) {
        let mut rows = self.lock();
        let rows = rows.get_or_insert_default();
        let same = rows.get(&partition).is_some_and(|s| s.version == found.version);
        if !same {
            rows.insert(partition, found);
        }
    }
}

/// Scans the owner rows periodically. Never returns.
pub(crate) async fn follow_owner_rows(shared: Arc<Shared>, store: Platform) {
    loop {
        let read = scan(&shared, &store).await;
        shared.store_available.store(read.is_ok(), Ordering::Release);
        if let Err(e) = read {
            log::debug!("owner rows not read: {e}");
        }
        let interval = match shared.is_stopping() {
            true => STOPPING_SCAN_INTERVAL,
            false => shared.settings.lease.renew,
        };
        tokio::time::sleep(interval.duration()).await;
    }
}

async fn scan(shared: &Shared, store: &Platform) -> Result<(), StoreError> {
    let rows = store.scan(OWNER_PREFIX, "", PAGE_ROWS).await?;
    let first_seen_at = shared.clock.now();
    let mut found = BTreeMap::new();
    for row in rows {
        let number = row.key.trim_start_matches(OWNER_PREFIX).parse();
        let owner = OwnerRow::decode(&row.value.0[..]);
        if let (Ok(number), Ok(owner)) = (number, owner) {
            let observed = ObservedRow { version: row.version, row: owner, first_seen_at };
            found.insert(PartitionId(number), observed);
        }
    }
    for p in (0..shared.settings.partitions).map(PartitionId) {
        let observed =
            found.remove(&p).unwrap_or(ObservedRow { first_seen_at, ..ObservedRow::default() });
        record_owner(shared, p, &observed);
        shared.owner_rows.record(p, observed);
    }
    shared.owner_rows_changed.send_modify(|n| *n += 1);
    Ok(())
}

fn record_owner(shared: &Shared, partition: PartitionId, observed: &ObservedRow) {
    if observed.version > 0 && !observed.row.released {
        let process = observed.row.process.clone();
        shared.owners.set(partition, Some(Owner { process, epoch: Epoch(observed.row.epoch) }));
    }
}
