//! Writes the records of one partition in order, by group commit.

use super::keys::{epoch_key, ledger_key, snapshot_key, snapshot_object};
use super::recover::{Recovered, SnapshotRow};
use crate::codec::record_to_wire;
use crate::ring::Ring;
use crate::shared::Shared;
use hollowford_core::{Epoch, Millis, PartitionId};
use hollowford_engine::Record;
use hollowford_platform::{Platform, StoreError, Txn, TxnResult};
use hollowford_protocol::ledger::{self, Batch};
use prost::Message;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum number of items that wait for the writer of one partition.
const RING_CAPACITY: usize = 4_096;
/// Number of records after which no more are added to a ledger row.
const MAX_BATCH_RECORDS: usize = 4_000;
/// Maximum number of ledger rows deleted in one transaction.
const MAX_DELETES_PER_TXN: u64 = 100;
/// Delay before the first retry of a write. It doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay before a retry of a write.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// An item that the owner sends to its ledger.
#[derive(Debug)]
pub(crate) enum LedgerItem {
    /// Records to append. `seq` is the position of the last one.
    Records { seq: u64, records: Vec<Record> },
    /// Records that reproduce the state after all earlier items.
    Snapshot(Vec<Record>),
    /// Reply once all earlier items are durable.
    Flush(oneshot::Sender<()>),
}

/// Progress of the ledger, read by the owner.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    durable_seq: AtomicU64,
    stalled: AtomicBool,
    deposed: AtomicBool,
}

/// Handle through which the owner uses its ledger. Cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct LedgerHandle {
    pub ring: Ring<LedgerItem>,
    progress: Arc<Progress>,
}

impl LedgerHandle {
    pub fn new() -> LedgerHandle {
        LedgerHandle { ring: Ring::new(RING_CAPACITY), progress: Arc::default() }
    }

    /// Returns the position up to which everything is durable.
    pub fn durable_seq(&self) -> u64 {
        self.progress.durable_seq.load(Ordering::Acquire)
    }

    /// Returns true while writes fail repeatedly.
    pub fn is_stalled(&self) -> bool {
        self.progress.stalled.load(Ordering::Acquire)
    }

    /// Returns true if another process has taken over the partition.
    pub fn is_deposed(&self) -> bool {
        self.progress.deposed.load(Ordering::Acquire)
    }
}

#[derive(Debug)]
pub(crate) struct Writer {
    pub shared: Arc<Shared>,
    pub partition: PartitionId,
    pub epoch: Epoch,
    /// Version of the epoch row at the takeover.
    pub epoch_version: u64,
    pub handle: LedgerHandle,
    /// Index of the next row to write.
    next_index: u64,
    /// Index of the oldest row that may still be in the store.
    first_index: u64,
    /// Key of the newest snapshot object; empty if there is none.
    snapshot_object: String,
}

/// Another process has taken over the partition.
struct Deposed;

enum NextWrite {
    Write { seq: u64, batch: Batch },
    Snapshot(Vec<Record>),
    Flush(oneshot::Sender<()>),
}

/// Runs the `ledger` thread: one task for each partition that this process takes over.
pub(crate) async fn run(shared: Arc<Shared>) -> Result<(), StoreError> {
    let store = shared.store()?;
    loop {
        let writer = shared.ledger.recv().await;
        tokio::spawn(writer.run(store.clone()));
    }
}

impl Writer {
    pub fn new(
        shared: &Arc<Shared>,
        partition: PartitionId,
        epoch: Epoch,
        epoch_version: u64,
        recovered: &Recovered,
    ) -> Writer {
        Writer {
            shared: shared.clone(),
            partition,
            epoch,
            epoch_version,
            handle: LedgerHandle::new(),
            next_index: recovered.next_index,
            first_index: recovered.first_index,
            snapshot_object: recovered.snapshot_object.clone(),
        }
    }

    async fn run(mut self, store: Platform) {
        let write_interval = self.write_interval();
        let mut lookahead = None;
        loop {
            let started_at = self.shared.clock.now();
            let next = self.next_write(&mut lookahead).await;
            let done = match next {
                NextWrite::Write { seq, batch } => self.write(&store, seq, &batch).await,
                NextWrite::Snapshot(records) => self.write_snapshot(&store, &records).await,
                NextWrite::Flush(reply) => {
                    // The owner may no longer wait for it.
                    let _ = reply.send(());
                    continue;
                }
            };
            if done.is_err() {
                self.handle.progress.deposed.store(true, Ordering::Release);
                self.shared.decide.wake();
                return;
            }
            let spent = self.shared.clock.now().since(started_at);
            tokio::time::sleep(write_interval.since(spent).duration()).await;
        }
    }

    /// Returns the minimum time between two writes of this partition, so that all partitions
    /// together stay within the write rate of the settings.
    fn write_interval(&self) -> Millis {
        const SECOND_MS: u64 = 1_000;
        let s = &self.shared.settings;
        let partition_writes_per_second =
            (s.store.writes_per_second / u64::from(s.partitions)).max(1);
        Millis(SECOND_MS.div_ceil(partition_writes_per_second))
    }

    /// Waits for the next item. Combines consecutive records into one row; an item of another
    /// kind that follows them is kept in `lookahead`.
    async fn next_write(&self, lookahead: &mut Option<LedgerItem>) -> NextWrite {
        let first = match lookahead.take() {
            Some(item) => item,
            None => self.handle.ring.recv().await,
        };
        let (mut seq, mut records) = match first {
            LedgerItem::Snapshot(records) => return NextWrite::Snapshot(records),
            LedgerItem::Flush(reply) => return NextWrite::Flush(reply),
            LedgerItem::Records { seq, records } => (seq, records),
        };
        while records.len() < MAX_BATCH_RECORDS {
            match self.handle.ring.pop() {
                Some(LedgerItem::Records { seq: later, records: more }) => {
                    seq = later;
                    records.extend(more);
                }
                other => {
                    *lookahead = other;
                    break;
                }
            }
        }
        NextWrite::Write { seq, batch: self.new_batch(&records) }
    }

    fn new_batch(&self, records: &[Record]) -> Batch {
        Batch {
            partition: self.partition.0,
            epoch: self.epoch.0,
            id: fastrand::u64(1..),
            records: records.iter().map(record_to_wire).collect::<Vec<ledger::Record>>(),
        }
    }

    /// Writes one row, retrying until it succeeds or another process has taken over.
    async fn write(&mut self, store: &Platform, seq: u64, batch: &Batch) -> Result<(), Deposed> {
        let key = ledger_key(self.partition, self.next_index);
        let txn = Txn::new()
            .check(epoch_key(self.partition), self.epoch_version)
            .check(&*key, 0)
            .put(&*key, batch.encode_to_vec());
        let m = &self.shared.metrics;
        m.ledger_batch.observe(batch.records.len() as f64);
        self.commit(store, &txn, || self.row_holds_batch(store, &key, batch.id)).await?;
        m.ledger_writes.inc();
        self.next_index += 1;
        self.handle.progress.durable_seq.store(seq, Ordering::Release);
        self.shared.decide.wake();
        Ok(())
    }

    /// Returns whether the row holds the batch with this id, or `None` if the store doesn't answer.
    async fn row_holds_batch(&self, store: &Platform, key: &str, id: u64) -> Option<bool> {
        let row = store.get(key).await.ok()?;
        let batch = row.and_then(|row| Batch::decode(&row.value.0[..]).ok());
        Some(batch.is_some_and(|b| b.id == id))
    }

    /// Retries a transaction until it is committed, or fails for good after a conflict. A conflict
    /// also occurs when an earlier attempt was committed and its reply was lost; `is_committed`
    /// returns whether that is so, or `None` if the store doesn't answer.
    async fn commit<F>(
        &self,
        store: &Platform,
        txn: &Txn,
        is_committed: impl Fn() -> F,
    ) -> Result<(), Deposed>
    where
        F: Future<Output = Option<bool>>,
    {
        let mut delay = INITIAL_RETRY_DELAY;
        let mut failures = 0;
        loop {
            match store.txn(txn).await {
                Ok(TxnResult::Committed(_)) => break,
                Ok(TxnResult::Conflict(_)) => match is_committed().await {
                    Some(true) => break,
                    Some(false) => return Err(Deposed),
                    None => {}
                },
                Err(e) => {
                    self.shared.metrics.ledger_unanswered.inc();
                    failures += 1;
                    if failures == 2 {
                        log::warn!("partition={} ledger stalled: {e}", self.partition);
                        self.set_stalled(true);
                    }
                }
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        if self.handle.is_stalled() {
            log::info!("partition={} ledger written again", self.partition);
            self.set_stalled(false);
        }
        Ok(())
    }

    fn set_stalled(&self, stalled: bool) {
        self.handle.progress.stalled.store(stalled, Ordering::Release);
        self.shared.decide.wake();
    }

    /// Writes a snapshot, updates the row that points to it, and deletes the rows that it contains.
    async fn write_snapshot(
        &mut self,
        store: &Platform,
        records: &[Record],
    ) -> Result<(), Deposed> {
        let object = snapshot_object(self.partition, self.epoch, self.next_index);
        let bytes = self.new_batch(records).encode_to_vec();
        if let Err(e) = store.put_object(&object, bytes).await {
            // The rows are kept, and the next snapshot contains them.
            log::warn!("partition={} snapshot not written: {e}", self.partition);
            return Ok(());
        }
        let row = SnapshotRow { object: object.clone(), next_index: self.next_index };
        let key = snapshot_key(self.partition);
        let txn = Txn::new()
            .check(epoch_key(self.partition), self.epoch_version)
            .put(&*key, row.encode_to_vec());
        self.commit(store, &txn, || self.is_epoch_current(store)).await?;
        let superseded = std::mem::replace(&mut self.snapshot_object, object);
        self.delete_superseded(store, &superseded).await;
        Ok(())
    }

    /// Returns whether the epoch row is unchanged since the takeover, or `None` if the store
    /// doesn't answer.
    async fn is_epoch_current(&self, store: &Platform) -> Option<bool> {
        let row = store.get(&epoch_key(self.partition)).await.ok()?;
        Some(row.is_some_and(|r| r.version == self.epoch_version))
    }

    /// Deletes the rows and the older snapshot that the new snapshot replaces. Rows that remain
    /// after a failure are deleted with the next snapshot; an old snapshot that remains is
    /// harmless.
    async fn delete_superseded(&mut self, store: &Platform, superseded: &str) {
        while self.first_index < self.next_index {
            let to = self.next_index.min(self.first_index + MAX_DELETES_PER_TXN);
            let mut txn = Txn::new().check(epoch_key(self.partition), self.epoch_version);
            for index in self.first_index..to {
                txn = txn.delete(ledger_key(self.partition, index));
            }
            if !matches!(store.txn(&txn).await, Ok(TxnResult::Committed(_))) {
                return;
            }
            self.first_index = to;
        }
        if !superseded.is_empty()
            && let Err(e) = store.delete_object(superseded).await
        {
            log::warn!("partition={} old snapshot not deleted: {e}", self.partition);
        }
    }
}
