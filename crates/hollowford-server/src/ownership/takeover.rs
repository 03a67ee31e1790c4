//! Takes over a partition: writes the owner row and recovers the partition's state.

use super::lease::OwnerLease;
use super::lease_manager::{LeaseManager, OwnerRow, Ownership};
use super::owner_rows::ObservedRow;
use crate::decide::{DecideMsg, TakenPartition};
use crate::ledger::{Writer, epoch_key, owner_key, recover};
use crate::owners::Owner;
use crate::peers::PeerMsg;
use hollowford_core::{Epoch, Millis};
use hollowford_platform::{Txn, TxnResult};
use hollowford_protocol::peer::{Body, Took};
use prost::Message;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// Number of store timeouts after which an unanswered write can't take effect any more.
const LATE_WRITE_TIMEOUTS: u32 = 10;
/// Delay before a failed recovery is retried.
const RECOVERY_RETRY_DELAY: Millis = Millis(100);

/// Row `p/N/epoch`.
#[derive(Clone, PartialEq, prost::Message)]
struct EpochRow {
    #[prost(uint64, tag = "1")]
    epoch: u64,
}

/// Outcome of a takeover whose reply was lost, as read back from the owner row.
enum TakeoverOutcome {
    Succeeded(u64),
    Failed,
    Unknown,
}

impl LeaseManager {
    /// Tries to take over the partition by compare-and-set.
    pub(super) async fn try_take_over(&mut self, observed: &ObservedRow) {
        if !self.register_takeover(observed) {
            return;
        }
        let epoch = Epoch(observed.row.epoch + 1);
        let Ok(epoch_row) = self.store.get(&epoch_key(self.partition)).await else {
            self.shared.no_takeover_promise.end_takeover();
            return;
        };
        let sent_at = self.shared.clock.now();
        let until = sent_at + self.shared.settings.lease.ownership;
        let row = self.own_row(epoch, fastrand::u64(1..u64::from(u32::MAX)));
        let txn = Txn::new()
            .check(owner_key(self.partition), observed.version)
            .check(epoch_key(self.partition), epoch_row.map_or(0, |r| r.version))
            .put(owner_key(self.partition), row.encode_to_vec())
            .put(epoch_key(self.partition), EpochRow { epoch: epoch.0 }.encode_to_vec());
        let version = match self.store.txn(&txn).await {
            Ok(TxnResult::Committed(version)) => Some(version),
            Ok(TxnResult::Conflict(_)) => None,
            Err(_) => match self.read_takeover_outcome(&row).await {
                TakeoverOutcome::Succeeded(version) => Some(version),
                TakeoverOutcome::Failed => None,
                // It may still take effect, so this process must not promise anything yet.
                TakeoverOutcome::Unknown => {
                    self.end_takeover_later();
                    return;
                }
            },
        };
        self.shared.no_takeover_promise.end_takeover();
        if let Some(version) = version {
            // One transaction wrote both rows, so they have the same version.
            self.shared.metrics.takeovers.with_label_values(&[observed.takeover_kind()]).inc();
            self.start_owning(epoch, version, row.write_id, until).await;
        }
    }

    /// Reads the row back after a lost reply. If the write takes effect only after this read,
    /// the row names this process, but nobody renews it, so its lease expires.
    async fn read_takeover_outcome(&self, row: &OwnerRow) -> TakeoverOutcome {
        match self.read().await {
            Ok(Some(observed)) if observed.row == *row => {
                TakeoverOutcome::Succeeded(observed.version)
            }
            Ok(_) => TakeoverOutcome::Failed,
            Err(_) => TakeoverOutcome::Unknown,
        }
    }

    /// Registers a takeover. Returns false if the row was neither new nor released, and this
    /// process has started recently or has promised not to take over.
    fn register_takeover(&self, observed: &ObservedRow) -> bool {
        let no_takeover_promise = &self.shared.no_takeover_promise;
        if observed.takeover_kind() == "lapsed" {
            return !self.has_started_recently()
                && no_takeover_promise.begin_takeover(self.shared.clock.now());
        }
        no_takeover_promise.begin_takeover_of_free_row();
        true
    }

    /// Ends an unanswered takeover once its write can't take effect any more.
    fn end_takeover_later(&self) {
        let late_write_time =
            self.shared.settings.platform.timeout.duration() * LATE_WRITE_TIMEOUTS;
        let shared = self.shared.clone();
        tokio::spawn(async move {
            tokio::time::sleep(late_write_time).await;
            shared.no_takeover_promise.end_takeover();
        });
    }

    /// Returns true if this process may still be unknown to an owner that relies on the promises
    /// of the members it knows. Such a process must not take over a row whose lease has
    /// expired.
    fn has_started_recently(&self) -> bool {
        let lease = &self.shared.settings.lease;
        self.shared.clock.now() < lease.ownership + lease.promise
    }

    /// Recovers the state while renewing the lease, then passes the partition to the `decide`
    /// thread.
    async fn start_owning(&mut self, epoch: Epoch, version: u64, write_id: u64, until: Millis) {
        log::info!("partition={} epoch={epoch} taken over", self.partition);
        let lease = Arc::new(OwnerLease::new(epoch, until));
        self.ownership =
            Some(Ownership { lease: lease.clone(), version, write_id, next_renewal_at: Millis(0) });
        self.shared.owned_count.fetch_add(1, Ordering::AcqRel);
        self.shared.metrics.partitions_owned.inc();
        let (tx, mut rx) = oneshot::channel();
        let (store, partition) = (self.store.clone(), self.partition);
        tokio::spawn(async move {
            let recovered = loop {
                match recover(&store, partition).await {
                    Ok(recovered) => break recovered,
                    Err(e) => log::warn!("partition={partition} not recovered yet: {e}"),
                }
                tokio::time::sleep(RECOVERY_RETRY_DELAY.duration()).await;
            };
            // The lease may have been lost meanwhile.
            let _ = tx.send(recovered);
        });
        let renew = self.shared.settings.lease.renew.duration();
        let recovered = loop {
            tokio::select! {
                recovered = &mut rx => break recovered,
                () = tokio::time::sleep(renew) => self.renew().await,
            }
            if self.shared.is_stopping() {
                // Nothing was scheduled under this lease, so it may just expire.
                self.end_lease();
            }
            if self.ownership.is_none() {
                return;
            }
        };
        let Ok(recovered) = recovered else {
            return;
        };
        let writer = Writer::new(&self.shared, self.partition, epoch, version, &recovered);
        let ledger = writer.handle.clone();
        self.shared.ledger.send(writer).await;
        let taken =
            TakenPartition { partition: self.partition, lease, ledger, records: recovered.records };
        self.shared.decide.send(DecideMsg::TakeOver(Box::new(taken))).await;
        let process = self.shared.settings.process.clone();
        let owner = Owner { process: process.clone(), epoch };
        self.shared.owners.set(self.partition, Some(owner));
        self.shared.instances_requested.notify_one();
        let took = Took { partition: self.partition.0, epoch: epoch.0, process };
        self.shared.peers.send(PeerMsg::Broadcast(Box::new(Body::Took(took)))).await;
    }
}
