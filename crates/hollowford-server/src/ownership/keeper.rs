//! Keeps one partition's row: renews it as the owner, watches it otherwise.

use super::board::Seen;
use super::lease::OwnerLease;
use crate::ledger::owner_key;
use crate::owners::rank;
use crate::shared::Shared;
use hollowford_core::{Epoch, Millis, PartitionId};
use hollowford_platform::{Platform, StoreError, Txn, TxnResult};
use prost::Message;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Wait of the second choice before it takes a released partition; the third waits twice that.
const RELEASED_STEP: Millis = Millis(150);

/// Row `owner/N`.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct OwnerRow {
    #[prost(string, tag = "1")]
    pub process: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Changes with each write, so that a write with a lost reply is recognised.
    #[prost(uint64, tag = "3")]
    pub beat: u64,
    /// The owner has given it up and nothing waits for its lease.
    #[prost(bool, tag = "4")]
    pub released: bool,
    /// Released: the process that is to take it; empty: by the usual order.
    #[prost(string, tag = "5")]
    pub successor: String,
}

/// What the owner holds.
#[derive(Debug)]
pub(super) struct Owned {
    pub lease: Arc<OwnerLease>,
    /// Version of the owner row that the owner wrote last.
    pub version: u64,
    /// Last beat that may have been written.
    pub beat: u64,
    /// When the next renewal is due.
    pub due_at: Millis,
}

/// Keeps one partition's row.
pub(super) struct Keeper {
    pub shared: Arc<Shared>,
    pub store: Platform,
    pub partition: PartitionId,
    pub owned: Option<Owned>,
}

/// Runs the keeper of one partition until the process is to stop.
pub(crate) async fn run(shared: Arc<Shared>, store: Platform, partition: PartitionId) {
    let mut keeper = Keeper { shared, store, partition, owned: None };
    let mut news = keeper.shared.owner_news.subscribe();
    let mut stopping = keeper.shared.stopping.subscribe();
    while !keeper.shared.is_stopping() {
        keeper.step().await;
        tokio::select! {
            () = tokio::time::sleep(keeper.nap().duration()) => {}
            _ = news.changed() => {}
            _ = stopping.changed() => {}
        }
    }
    keeper.await_store().await;
    keeper.hand_over().await;
}

impl Keeper {
    async fn step(&mut self) {
        if self.owned.is_none() {
            self.watch().await;
        } else if self.is_one_too_many() {
            self.hand_over().await;
        } else {
            self.renew().await;
        }
    }

    /// Returns how long nothing is due, unless news of the rows come.
    fn nap(&self) -> Millis {
        let renew = self.shared.settings.lease.renew;
        let now = self.shared.clock.now();
        self.owned.as_ref().map_or(renew, |owned| owned.due_at.since(now))
    }

    /// Takes the lease off the books of what this process owns.
    pub(super) fn count_out(&self) {
        self.shared.owned.fetch_sub(1, Ordering::AcqRel);
        self.shared.metrics.owned.dec();
    }

    pub(super) fn own_row(&self, epoch: Epoch, beat: u64) -> OwnerRow {
        let process = self.shared.settings.process.clone();
        OwnerRow { process, epoch: epoch.0, beat, ..OwnerRow::default() }
    }

    pub(super) async fn renew(&mut self) {
        let Some(owned) = &mut self.owned else {
            return;
        };
        if owned.lease.has_ended() {
            self.deposed();
            return;
        }
        let length = self.shared.settings.lease.ownership;
        let epoch = owned.lease.epoch;
        // The lease is counted from before the renewal is sent.
        let sent_at = self.shared.clock.now();
        if sent_at < owned.due_at {
            return;
        }
        owned.due_at = sent_at + self.shared.settings.lease.renew;
        owned.beat += 1;
        let beat = owned.beat;
        let version = owned.version;
        let row = self.own_row(epoch, beat);
        let key = owner_key(self.partition);
        let txn = Txn::new().check(&*key, version).put(&*key, row.encode_to_vec());
        let result = self.store.txn(&txn).await;
        self.note_store(&result);
        match result {
            Ok(TxnResult::Committed(version)) => self.renewed(version, sent_at + length),
            Ok(TxnResult::Conflict(_)) => self.settle_renewal(epoch).await,
            // Whether it was written shows at the next renewal.
            Err(_) => {}
        }
    }

    fn note_store<T>(&self, result: &Result<T, StoreError>) {
        let answers = result.is_ok();
        self.shared.store_answers.store(answers, Ordering::Release);
    }

    fn renewed(&mut self, version: u64, until: Millis) {
        if let Some(owned) = &mut self.owned {
            owned.version = version;
            owned.lease.extend(until);
        }
    }

    /// The row is not as we left it: an earlier renewal of ours took effect with its
    /// reply lost, or another process has taken over.
    async fn settle_renewal(&mut self, epoch: Epoch) {
        let Ok(Some(seen)) = self.read().await else {
            return;
        };
        let ours = seen.row.process == self.shared.settings.process && seen.row.epoch == epoch.0;
        match &mut self.owned {
            // The lease itself is extended by the next renewal only.
            Some(owned) if ours => owned.version = seen.version,
            _ => self.deposed(),
        }
    }

    fn deposed(&mut self) {
        if let Some(epoch) = self.let_go() {
            self.shared.metrics.deposed.inc();
            log::warn!("partition={} epoch={epoch} deposed", self.partition);
        }
    }

    /// Ends the lease, so that nothing more is decided by it. Returns its epoch.
    pub(super) fn let_go(&mut self) -> Option<Epoch> {
        let owned = self.owned.take()?;
        owned.lease.end();
        self.count_out();
        self.shared.decide.wake();
        Some(owned.lease.epoch)
    }

    pub(super) async fn read(&self) -> Result<Option<Seen>, StoreError> {
        let row = self.store.get(&owner_key(self.partition)).await;
        self.note_store(&row);
        let since = self.shared.clock.now();
        Ok(row?.map(|r| Seen {
            version: r.version,
            row: OwnerRow::decode(&r.value.0[..]).unwrap_or_default(),
            since,
        }))
    }

    /// Watches the row, and challenges once it has stood unchanged for the lease.
    async fn watch(&mut self) {
        let called = self.shared.take_released(self.partition.0);
        if called && let Ok(Some(fresh)) = self.read().await {
            self.shared.board.note(self.partition, fresh);
        }
        let Some(seen) = self.shared.board.get(self.partition) else {
            return;
        };
        let now = self.shared.clock.now();
        let wait = self.turn(&seen);
        if now.since(seen.since) >= wait {
            self.challenge(&seen).await;
        } else if seen.version == 0 || seen.row.released {
            // Come back when this process's turn is.
            tokio::time::sleep((seen.since + wait).since(now).duration()).await;
            self.shared.owner_news.send_modify(|n| *n += 1);
        }
    }

    /// Returns how long the row must have stood before this process takes it.
    fn turn(&self, seen: &Seen) -> Millis {
        let own = &self.shared.settings.process;
        let mut others = self.shared.members.staying(&self.shared.clock);
        // The heartbeat of one that leaves may not have told yet that it does.
        others.retain(|p| !seen.row.released || *p != seen.row.process);
        let rank = rank(self.partition, own, &others) as u64;
        let lease = self.shared.settings.lease.ownership;
        if seen.version > 0 && !seen.row.released {
            return Millis(lease.0 + lease.0 / 2 * rank);
        }
        match &*seen.row.successor {
            "" => Millis(RELEASED_STEP.0 * rank),
            named if named == own => Millis(0),
            // The one that is named goes first.
            _ => Millis(RELEASED_STEP.0 * (rank + 1)),
        }
    }
}
