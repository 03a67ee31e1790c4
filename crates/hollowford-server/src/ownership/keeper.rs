//! Keeps one partition's row: renews it as the owner, watches it otherwise.

use super::board::Seen;
use super::lease::OwnerLease;
use crate::decide::{DecideMsg, Take};
use crate::ledger::{Writer, epoch_key, owner_key, recover};
use crate::owners::{Owner, rank};
use crate::peers::PeerMsg;
use crate::shared::Shared;
use hollowford_core::{Epoch, Millis, PartitionId};
use hollowford_platform::{Platform, StoreError, Txn, TxnResult};
use hollowford_protocol::peer::{Body, Released, Took};
use prost::Message;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use tokio::sync::oneshot;

/// Wait of the second choice before it takes a released partition; the third waits twice that.
const RELEASED_STEP: Millis = Millis(150);
/// Shortest time between two partitions that a process hands over to even the load.
const EVEN_EVERY: Millis = Millis(1_000);
/// Longest wait for the store at a planned stop.
const STOP_IN_OUTAGE: Millis = Millis(60_000);
/// Store timeouts after which a write without an answer takes effect no more.
const LATE_WRITE_TIMEOUTS: u32 = 10;
/// Wait before an attempt to recover is repeated.
const RECOVER_AGAIN: Millis = Millis(100);

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

/// Row `p/N/epoch`.
#[derive(Clone, PartialEq, prost::Message)]
struct EpochRow {
    #[prost(uint64, tag = "1")]
    epoch: u64,
}

/// What the owner holds.
#[derive(Debug)]
struct Owned {
    lease: Arc<OwnerLease>,
    /// Version of the owner row that the owner wrote last.
    version: u64,
    /// Last beat that may have been written.
    beat: u64,
    /// When the next renewal is due.
    due_at: Millis,
}

/// What a look at the row shows of a challenge whose reply was lost.
enum Settled {
    Made(u64),
    NotMade,
    Unknown,
}

/// Keeps one partition's row.
struct Keeper {
    shared: Arc<Shared>,
    store: Platform,
    partition: PartitionId,
    owned: Option<Owned>,
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

    /// Tells whether this process owns two more than another that stays, so that a
    /// hand-over evens the load. One partition goes at a time, so that the next look
    /// sees what came of it.
    fn is_one_too_many(&self) -> bool {
        let s = &self.shared;
        let least = self.least_loaded().map(|(_, owned)| owned);
        let answers = s.store_answers.load(Ordering::Acquire);
        if !answers || least.is_none_or(|least| s.owned.load(Ordering::Acquire) < least + 2) {
            return false;
        }
        let now = s.clock.now();
        let mut evened_at = s.evened_at.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(*evened_at) < EVEN_EVERY {
            return false;
        }
        *evened_at = now;
        true
    }

    /// Finds the staying process that owns the fewest partitions, and how many.
    fn least_loaded(&self) -> Option<(String, usize)> {
        let owners = self.shared.owners.all();
        let count = |p: &str| owners.iter().flatten().filter(|o| o.process == p).count();
        let others = self.shared.members.staying(&self.shared.clock);
        let counted = others.into_iter().map(|p| (count(&p), p));
        counted.min().map(|(owned, p)| (p, owned))
    }

    /// Takes the lease off the books of what this process owns.
    fn count_out(&self) {
        self.shared.owned.fetch_sub(1, Ordering::AcqRel);
        self.shared.metrics.owned.dec();
    }

    fn own_row(&self, epoch: Epoch, beat: u64) -> OwnerRow {
        let process = self.shared.settings.process.clone();
        OwnerRow { process, epoch: epoch.0, beat, ..OwnerRow::default() }
    }

    async fn renew(&mut self) {
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
    fn let_go(&mut self) -> Option<Epoch> {
        let owned = self.owned.take()?;
        owned.lease.end();
        self.count_out();
        self.shared.decide.wake();
        Some(owned.lease.epoch)
    }

    async fn read(&self) -> Result<Option<Seen>, StoreError> {
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

    /// Takes the partition over by compare-and-set.
    async fn challenge(&mut self, seen: &Seen) {
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

    /// At a planned stop in an outage: keeps the partition, so that its tasks' leases are
    /// renewed, until the store answers or the longest wait has passed.
    async fn await_store(&mut self) {
        let give_up_at = self.shared.clock.now() + STOP_IN_OUTAGE;
        while let Some(owned) = &mut self.owned {
            owned.due_at = Millis(0);
            self.renew().await;
            let answers = self.shared.store_answers.load(Ordering::Acquire);
            if answers || self.shared.clock.now() >= give_up_at {
                return;
            }
            tokio::time::sleep(self.shared.settings.lease.renew.duration()).await;
        }
    }

    /// At a planned stop, or to even the load: lets all that was decided become
    /// durable, then frees the row, so that no one waits for the lease to lapse.
    async fn hand_over(&mut self) {
        let Some(owned) = self.owned.take() else {
            return;
        };
        let (tx, rx) = oneshot::channel();
        let release = DecideMsg::Release { partition: self.partition, done: tx };
        self.shared.decide.send(release).await;
        let longest = self.shared.settings.lease.ownership.duration();
        let flushed = tokio::time::timeout(longest, rx).await;
        owned.lease.end();
        self.count_out();
        if !matches!(flushed, Ok(Ok(()))) {
            log::warn!("partition={} not handed over: the ledger can't be written", self.partition);
            return;
        }
        let mut row = self.own_row(owned.lease.epoch, owned.beat + 1);
        row.released = true;
        row.successor = self.least_loaded().map(|(p, _)| p).unwrap_or_default();
        let key = owner_key(self.partition);
        let txn = Txn::new().check(&*key, owned.version).put(&*key, row.encode_to_vec());
        if let Ok(TxnResult::Committed(_)) = self.store.txn(&txn).await {
            log::info!("partition={} epoch={} handed over", self.partition, owned.lease.epoch);
            let released = Body::Released(Released { partition: self.partition.0 });
            self.shared.peers.send(PeerMsg::Tell(Box::new(released))).await;
        }
    }
}
