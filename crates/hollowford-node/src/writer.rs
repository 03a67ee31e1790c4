//! Writes each batch to the store exactly once.

use crate::lane::lane_key;
use crate::owner_row::{SYSTEM_TABLE, decode_owner};
use crate::retries::Retries;
use crate::shared::Shared;
use crate::wire::{OwnerInfo, OwnerRow, RenewalTerms};
use futures::StreamExt;
use futures::future::FutureExt;
use futures::stream::FuturesUnordered;
use hollowford_adapter::{ExpectedVersion, Row, StoreError, Transaction, TxOutcome, Version};
use hollowford_core::Millis;
use hollowford_jobs::Batch;
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Timeout of a read. A slow store takes up to 0.5 s.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of one write attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before the next attempt after the store has refused one.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(80);

/// The outcome of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// The batch was committed.
    Made {
        /// Version of the lane's row after the commit.
        rev: Version,
        /// Response time of the attempt that was committed, or `None` if the commit was detected by
        /// reading the lane's row.
        answered_in: Option<Millis>,
    },
    /// The store refused the batch; it will never be committed.
    Refused,
    /// Another process owns the partition.
    Deposed(OwnerInfo),
    /// The lane's row is missing or in a state that this owner's batches can't have left.
    Inconsistent,
}

/// A batch to be written.
#[derive(Debug)]
pub struct BatchWrite {
    /// Part of the store's table that holds the partition's rows.
    pub part: String,
    /// The owner that writes the batch.
    pub owner: OwnerInfo,
    pub lane: usize,
    /// Version of the lane's row that the batch requires.
    pub rev: Version,
    /// What the owner row says of leases; `None` in other lanes.
    pub terms: Option<RenewalTerms>,
    pub batch: Batch,
    /// How long to wait for an answer before reading the lane's row.
    pub read_delay: Millis,
}

/// Writes a batch and returns once its outcome is known.
///
/// Several attempts to write the same batch may be in flight at once. At most one of them can be
/// committed because each requires and replaces the row of its lane. [`Retries`] decides when to
/// send another attempt and when to read the lane's row.
pub async fn write(shared: Arc<Shared>, batch_write: BatchWrite) -> BatchOutcome {
    let tx = transaction(&batch_write);
    let mut calls = FuturesUnordered::new();
    calls.push(send_attempt(&shared, &batch_write, &tx).boxed());
    let mut retries = Retries::new(shared.clock.now(), batch_write.read_delay);
    loop {
        let wait = retries.time_to_next_call(shared.store_age(), shared.clock.now());
        let result = tokio::select! {
            Some(result) = calls.next() => result,
            () = sleep(wait.duration()) => {
                let now = shared.clock.now();
                if retries.attempt_is_due(shared.store_age(), now) {
                    calls.push(send_attempt(&shared, &batch_write, &tx).boxed());
                    retries.attempt_sent(now);
                    shared.metrics.batches.with_label_values(&["copied"]).inc();
                } else {
                    calls.push(read_lane_row(&shared, &batch_write).boxed());
                    retries.read_sent();
                }
                continue;
            }
        };
        match result {
            CallResult::Attempt(Ok(TxOutcome::Committed(rev)), took) => {
                return committed(&shared, rev, Some(took));
            }
            CallResult::Attempt(Ok(TxOutcome::Conflict(rows)), _) => {
                shared.record_store_answer();
                return outcome_from_row(&shared, &batch_write, &rows);
            }
            CallResult::Attempt(Err(e), took) => {
                record_failure(&shared, &e, took);
                retries.attempt_failed(e.had_no_effect());
                if retries.all_attempts_failed() {
                    if retries.is_refused() {
                        return BatchOutcome::Refused;
                    }
                    sleep(REFUSED_RETRY_DELAY).await;
                    calls.push(send_attempt(&shared, &batch_write, &tx).boxed());
                    retries.attempt_sent(shared.clock.now());
                }
            }
            CallResult::LaneRead(Ok(Some(row)), took) => {
                shared.record_store_answer();
                if row.version != batch_write.rev {
                    return outcome_from_row(&shared, &batch_write, &[row]);
                }
                retries.batch_not_found(took, shared.clock.now());
            }
            CallResult::LaneRead(_, _) => retries.read_failed(shared.clock.now()),
        }
    }
}

/// The result of a store call for a batch, and how long it took.
enum CallResult {
    /// An attempt to write the batch.
    Attempt(Result<TxOutcome, StoreError>, Millis),
    /// A read of the lane's row.
    LaneRead(Result<Option<Row>, StoreError>, Millis),
}

/// Sends one attempt to write the batch.
async fn send_attempt(shared: &Shared, batch_write: &BatchWrite, tx: &Transaction) -> CallResult {
    let started_at = shared.clock.now();
    let answer = shared.store.transact(SYSTEM_TABLE, &batch_write.part, tx, ATTEMPT_TIMEOUT).await;
    CallResult::Attempt(answer, shared.clock.now().since(started_at))
}

/// Reads the row of the batch's lane.
async fn read_lane_row(shared: &Shared, batch_write: &BatchWrite) -> CallResult {
    let started_at = shared.clock.now();
    let key = lane_key(batch_write.lane);
    let answer = shared.store.read(SYSTEM_TABLE, &batch_write.part, &key, READ_TIMEOUT).await;
    CallResult::LaneRead(answer.map(|(row, _)| row), shared.clock.now().since(started_at))
}

fn committed(shared: &Shared, rev: Version, answered_in: Option<Millis>) -> BatchOutcome {
    shared.record_store_answer();
    shared.metrics.batches.with_label_values(&["made"]).inc();
    BatchOutcome::Made { rev, answered_in }
}

fn record_failure(shared: &Shared, e: &StoreError, took: Millis) {
    shared.record_store_failure(took);
    let outcome = if e.had_no_effect() { "refused" } else { "unanswered" };
    shared.metrics.batches.with_label_values(&[outcome]).inc();
    log::debug!("batch.failed error=\"{e}\"");
}

/// Determines from the lane's row whether an earlier attempt was committed.
fn outcome_from_row(shared: &Shared, batch_write: &BatchWrite, rows: &[Row]) -> BatchOutcome {
    let (number, key) = (batch_write.batch.number, lane_key(batch_write.lane));
    let row = rows.iter().find(|r| r.key == key);
    let Some((found, version)) = row.and_then(|r| Some((decode_owner(r)?, r.version))) else {
        log::error!("batch.conflict batch={number} row={key} missing");
        return BatchOutcome::Inconsistent;
    };
    let Some(row_owner) = found.owner else { return BatchOutcome::Inconsistent };
    if row_owner != batch_write.owner {
        return BatchOutcome::Deposed(row_owner);
    }
    if found.batch == number {
        return committed(shared, version, None);
    }
    log::error!("batch.conflict batch={number} row={key} found={}", found.batch);
    BatchOutcome::Inconsistent
}

pub(crate) fn transaction(batch_write: &BatchWrite) -> Transaction {
    let BatchWrite { owner, lane, rev, terms, batch, .. } = batch_write;
    let row = OwnerRow { owner: Some(owner.clone()), batch: batch.number, terms: terms.clone() };
    let key = lane_key(*lane);
    let expect = vec![ExpectedVersion { key: key.clone(), version: *rev }];
    let mut put = vec![(key, row.encode_to_vec())];
    let mut remove = Vec::new();
    for row in &batch.rows {
        match &row.value {
            Some(value) => put.push((row.key.clone(), value.clone())),
            None => remove.push(row.key.clone()),
        }
    }
    Transaction { expect, put, remove }
}
