//! Takes a partition over: the challenge, and the recovery that follows.

use super::board::Seen;
use super::keeper::{Keeper, Owned, OwnerRow};
use super::lease::OwnerLease;
use crate::decide::{DecideMsg, Take};
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

/// Store timeouts after which a write without an answer takes effect no more.
const LATE_WRITE_TIMEOUTS: u32 = 10;
/// Wait before an attempt to recover is repeated.
const RECOVER_AGAIN: Millis = Millis(100);

/// Row `p/N/epoch`.
#[derive(Clone, PartialEq, prost::Message)]
struct EpochRow {
    #[prost(uint64, tag = "1")]
    epoch: u64,
}

/// What a look at the row shows of a challenge whose reply was lost.
enum Settled {
    Made(u64),
    NotMade,
    Unknown,
}

impl Keeper {
    /// Takes the partition over by compare-and-set.
    pub(super) async fn challenge(&mut self, seen: &Seen) {
        if !self.may_challenge(seen) {
            return;
        }
        let epoch = Epoch(seen.row.epoch + 1);
        let Ok(epoch_row) = self.store.get(&epoch_key(self.partition)).await else {
            self.shared.standstill.end_challenge();
            return;
        };
        let sent_at = self.shared.clock.now();
        let until = sent_at + self.shared.settings.lease.ownership;
        let row = self.own_row(epoch, fastrand::u64(1..u64::from(u32::MAX)));
        let txn = Txn::new()
            .check(owner_key(self.partition), seen.version)
            .check(epoch_key(self.partition), epoch_row.map_or(0, |r| r.version))
            .put(owner_key(self.partition), row.encode_to_vec())
            .put(epoch_key(self.partition), EpochRow { epoch: epoch.0 }.encode_to_vec());
        let version = match self.store.txn(&txn).await {
            Ok(TxnResult::Committed(version)) => Some(version),
            Ok(TxnResult::Conflict(_)) => None,
            Err(_) => match self.settle_challenge(&row).await {
                Settled::Made(version) => Some(version),
                Settled::NotMade => None,
                // Still open: it may take effect, so nothing is promised meanwhile.
                Settled::Unknown => {
                    self.end_challenge_later();
                    return;
                }
            },
        };
        self.shared.standstill.end_challenge();
        if let Some(version) = version {
            // Both rows were written by one transaction, so they share the version.
            self.shared.metrics.takeovers.with_label_values(&[seen.how_free()]).inc();
            self.take(epoch, version, row.beat, until).await;
        }
    }

    /// After a lost reply: reads the row back. A write that takes effect later than
    /// this read is met as a row of ours that no one renews, and lapses.
    async fn settle_challenge(&self, row: &OwnerRow) -> Settled {
        match self.read().await {
            Ok(Some(seen)) if seen.row == *row => Settled::Made(seen.version),
            Ok(_) => Settled::NotMade,
            Err(_) => Settled::Unknown,
        }
    }

    /// Notes the challenge, unless this process is young or has promised not to.
    fn may_challenge(&self, seen: &Seen) -> bool {
        let standstill = &self.shared.standstill;
        if seen.how_free() == "lapsed" {
            return !self.is_young() && standstill.begin_challenge(self.shared.clock.now());
        }
        standstill.begin_taking();
        true
    }

    /// Counts a challenge without an answer as open for as long as a write may still
    /// take effect.
    fn end_challenge_later(&self) {
        let late = self.shared.settings.platform.timeout.duration() * LATE_WRITE_TIMEOUTS;
        let shared = self.shared.clone();
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            shared.standstill.end_challenge();
        });
    }

    /// A process that has just started may be unknown to an owner that goes by the
    /// members' promises; it waits until that owner must have heard of it.
    fn is_young(&self) -> bool {
        let lease = &self.shared.settings.lease;
        self.shared.clock.now() < lease.ownership + lease.promise
    }

    /// Recovers the state, renewing the lease meanwhile, and starts to decide.
    async fn take(&mut self, epoch: Epoch, version: u64, beat: u64, until: Millis) {
        log::info!("partition={} epoch={epoch} taken over", self.partition);
        let lease = Arc::new(OwnerLease::new(epoch, until));
        self.owned = Some(Owned { lease: lease.clone(), version, beat, due_at: Millis(0) });
        self.shared.owned.fetch_add(1, Ordering::AcqRel);
        self.shared.metrics.owned.inc();
        let (tx, mut rx) = oneshot::channel();
        let (store, partition) = (self.store.clone(), self.partition);
        tokio::spawn(async move {
            let recovered = loop {
                match recover(&store, partition).await {
                    Ok(recovered) => break recovered,
                    Err(e) => log::warn!("partition={partition} not recovered yet: {e}"),
                }
                tokio::time::sleep(RECOVER_AGAIN.duration()).await;
            };
            // The keeper may have been deposed meanwhile.
            let _ = tx.send(recovered);
        });
        let renew = self.shared.settings.lease.renew.duration();
        let recovered = loop {
            tokio::select! {
                recovered = &mut rx => break recovered,
                () = tokio::time::sleep(renew) => self.renew().await,
            }
            if self.shared.is_stopping() {
                // Nothing was decided yet, so the lease may just lapse.
                self.let_go();
            }
            if self.owned.is_none() {
                return;
            }
        };
        let Ok(recovered) = recovered else {
            return;
        };
        let writer = Writer::new(&self.shared, self.partition, epoch, version, &recovered);
        let ledger = writer.handle.clone();
        self.shared.ledger.send(writer).await;
        let take = Take { partition: self.partition, lease, ledger, records: recovered.records };
        self.shared.decide.send(DecideMsg::Take(Box::new(take))).await;
        let process = self.shared.settings.process.clone();
        let owner = Owner { process: process.clone(), epoch };
        self.shared.owners.set(self.partition, Some(owner));
        self.shared.instances_wanted.notify_one();
        let took = Took { partition: self.partition.0, epoch: epoch.0, process };
        self.shared.peers.send(PeerMsg::Tell(Box::new(Body::Took(took)))).await;
    }
}
