//! Manages the ownership lease of one partition: renews it as the owner, and otherwise watches
//! the owner row and takes over when the lease has expired.

use super::lease::OwnerLease;
use super::owner_rows::ObservedRow;
use crate::ledger::owner_key;
use crate::owners::owner_rank;
use crate::shared::Shared;
use hollowford_core::{Epoch, Millis, PartitionId};
use hollowford_platform::{Platform, StoreError, Txn, TxnResult};
use prost::Message;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Delay per rank before a process takes over a released partition: the second-ranked process
/// waits once, the third-ranked twice.
const RELEASED_TAKEOVER_STEP: Millis = Millis(150);

/// Row `owner/N`.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct OwnerRow {
    #[prost(string, tag = "1")]
    pub process: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Changes with each write, so that a process recognises its own write after a lost reply.
    #[prost(uint64, tag = "3")]
    pub write_id: u64,
    /// Whether the owner has released the partition, so that a takeover need not wait for the
    /// lease to expire.
    #[prost(bool, tag = "4")]
    pub released: bool,
    /// Process that should take over a released partition; empty for the usual order.
    #[prost(string, tag = "5")]
    pub successor: String,
}

/// State of an owned partition's lease.
#[derive(Debug)]
pub(super) struct Ownership {
    pub lease: Arc<OwnerLease>,
    /// Version of the owner row after this owner's last write.
    pub version: u64,
    /// Write id of the last renewal that was sent, whether or not it took effect.
    pub write_id: u64,
    /// When the next renewal is due, by this process's clock.
    pub next_renewal_at: Millis,
}

/// Manages the ownership lease of one partition.
pub(super) struct LeaseManager {
    pub shared: Arc<Shared>,
    pub store: Platform,
    pub partition: PartitionId,
    pub ownership: Option<Ownership>,
}

/// Manages the lease of one partition until the process stops, then hands the partition over.
pub(crate) async fn run(shared: Arc<Shared>, store: Platform, partition: PartitionId) {
    let mut manager = LeaseManager { shared, store, partition, ownership: None };
    let mut rows_changed = manager.shared.owner_rows_changed.subscribe();
    let mut stopping = manager.shared.stopping.subscribe();
    while !manager.shared.is_stopping() {
        manager.step().await;
        tokio::select! {
            () = tokio::time::sleep(manager.time_until_renewal().duration()) => {}
            _ = rows_changed.changed() => {}
            _ = stopping.changed() => {}
        }
    }
    manager.wait_for_store().await;
    manager.hand_over().await;
}

impl LeaseManager {
    async fn step(&mut self) {
        if self.ownership.is_none() {
            self.watch_row().await;
        } else if self.should_rebalance() {
            self.hand_over().await;
        } else {
            self.renew().await;
        }
    }

    /// Returns the time until the next renewal, or the renewal interval without ownership.
    fn time_until_renewal(&self) -> Millis {
        let renew = self.shared.settings.lease.renew;
        let now = self.shared.clock.now();
        self.ownership.as_ref().map_or(renew, |ownership| ownership.next_renewal_at.since(now))
    }

    /// Removes the partition from the count and the metric of owned partitions.
    pub(super) fn decrement_owned_count(&self) {
        self.shared.owned_count.fetch_sub(1, Ordering::AcqRel);
        self.shared.metrics.partitions_owned.dec();
    }

    pub(super) fn own_row(&self, epoch: Epoch, write_id: u64) -> OwnerRow {
        let process = self.shared.settings.process.clone();
        OwnerRow { process, epoch: epoch.0, write_id, ..OwnerRow::default() }
    }

    pub(super) async fn renew(&mut self) {
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        if ownership.lease.has_ended() {
            self.record_deposed();
            return;
        }
        let length = self.shared.settings.lease.ownership;
        let epoch = ownership.lease.epoch;
        // The lease is counted from before the renewal is sent.
        let sent_at = self.shared.clock.now();
        if sent_at < ownership.next_renewal_at {
            return;
        }
        ownership.next_renewal_at = sent_at + self.shared.settings.lease.renew;
        ownership.write_id += 1;
        let write_id = ownership.write_id;
        let version = ownership.version;
        let row = self.own_row(epoch, write_id);
        let key = owner_key(self.partition);
        let txn = Txn::new().check(&*key, version).put(&*key, row.encode_to_vec());
        let result = self.store.txn(&txn).await;
        self.record_store_answer(&result);
        match result {
            Ok(TxnResult::Committed(version)) => self.renewed(version, sent_at + length),
            Ok(TxnResult::Conflict(_)) => self.resolve_renewal_conflict(epoch).await,
            // The next renewal finds out whether this one took effect.
            Err(_) => {}
        }
    }

    fn record_store_answer<T>(&self, result: &Result<T, StoreError>) {
        let is_answered = result.is_ok();
        self.shared.store_available.store(is_answered, Ordering::Release);
    }

    fn renewed(&mut self, version: u64, until: Millis) {
        if let Some(ownership) = &mut self.ownership {
            ownership.version = version;
            ownership.lease.extend(until);
        }
    }

    /// Resolves a version conflict of a renewal: either an earlier renewal took effect and its
    /// reply was lost, or another process has taken over.
    async fn resolve_renewal_conflict(&mut self, epoch: Epoch) {
        let Ok(Some(observed)) = self.read().await else {
            return;
        };
        let is_ours =
            observed.row.process == self.shared.settings.process && observed.row.epoch == epoch.0;
        match &mut self.ownership {
            // The lease itself is extended only when the next renewal is committed.
            Some(ownership) if is_ours => ownership.version = observed.version,
            _ => self.record_deposed(),
        }
    }

    fn record_deposed(&mut self) {
        if let Some(epoch) = self.end_lease() {
            self.shared.metrics.deposed.inc();
            log::warn!("partition={} epoch={epoch} deposed", self.partition);
        }
    }

    /// Ends the lease, so that the `decide` thread drops the partition. Returns the epoch.
    pub(super) fn end_lease(&mut self) -> Option<Epoch> {
        let ownership = self.ownership.take()?;
        ownership.lease.end();
        self.decrement_owned_count();
        self.shared.decide.wake();
        Some(ownership.lease.epoch)
    }

    pub(super) async fn read(&self) -> Result<Option<ObservedRow>, StoreError> {
        let row = self.store.get(&owner_key(self.partition)).await;
        self.record_store_answer(&row);
        let first_seen_at = self.shared.clock.now();
        Ok(row?.map(|r| ObservedRow {
            version: r.version,
            row: OwnerRow::decode(&r.value.0[..]).unwrap_or_default(),
            first_seen_at,
        }))
    }

    /// Watches the row, and takes over once it has been unchanged for [`Self::takeover_delay`].
    async fn watch_row(&mut self) {
        let is_released = self.shared.take_released(self.partition.0);
        if is_released && let Ok(Some(row)) = self.read().await {
            self.shared.owner_rows.record(self.partition, row);
        }
        let Some(observed) = self.shared.owner_rows.get(self.partition) else {
            return;
        };
        let now = self.shared.clock.now();
        let delay = self.takeover_delay(&observed);
        if now.since(observed.first_seen_at) >= delay {
            self.try_take_over(&observed).await;
        } else if observed.version == 0 || observed.row.released {
            // Check again when the delay has passed.
            tokio::time::sleep((observed.first_seen_at + delay).since(now).duration()).await;
            self.shared.owner_rows_changed.send_modify(|n| *n += 1);
        }
    }

    /// Returns how long the row must be unchanged before this process takes over. Lower-ranked
    /// processes wait longer, so that they rarely compete.
    fn takeover_delay(&self, observed: &ObservedRow) -> Millis {
        let own = &self.shared.settings.process;
        let mut others = self.shared.members.available(&self.shared.clock);
        // The process that released the row may be stopping, which its last heartbeat may not
        // show yet.
        others.retain(|p| !observed.row.released || *p != observed.row.process);
        let rank = owner_rank(self.partition, own, &others) as u64;
        let lease = self.shared.settings.lease.ownership;
        if observed.version > 0 && !observed.row.released {
            return Millis(lease.0 + lease.0 / 2 * rank);
        }
        match &*observed.row.successor {
            "" => Millis(RELEASED_TAKEOVER_STEP.0 * rank),
            named if named == own => Millis(0),
            // The named successor goes first.
            _ => Millis(RELEASED_TAKEOVER_STEP.0 * (rank + 1)),
        }
    }
}
