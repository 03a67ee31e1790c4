//! Writes batches to the store, each exactly once.

use crate::lane::lane_key;
use crate::owner_row::{TABLE, encode_owner, read_owner};
use crate::retries::Retries;
use crate::shared::Shared;
use crate::wire::OwnerInfo;
use futures::StreamExt;
use futures::future::FutureExt;
use futures::stream::FuturesUnordered;
use hollowford_adapter::{Expect, Row, StoreError, Transaction, TxOutcome, Version};
use hollowford_core::Millis;
use hollowford_jobs::Batch;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for a reading. A slow store takes up to 0.5 s.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for one copy.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after the store has refused.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(80);

/// What came of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// It is in the store.
    Made {
        /// Version of its lane's row.
        rev: Version,
        /// How long the copy took that was answered; none when only its lane's row told.
        answered_in: Option<Millis>,
    },
    /// The store has refused it, and it will never be made.
    Refused,
    /// Another process owns the partition.
    Deposed(OwnerInfo),
    /// The lane's row is not as only this owner can have written it.
    Inconsistent,
}

/// A batch on its way.
#[derive(Debug)]
pub struct BatchWrite {
    /// Part of the table that it belongs to.
    pub part: String,
    /// Whose batch it is.
    pub owner: OwnerInfo,
    /// Its lane.
    pub lane: usize,
    /// Version of the lane's row on which it builds.
    pub rev: Version,
    /// The batch.
    pub batch: Batch,
    /// How long to wait for an answer before the lane's row is read.
    pub read_delay: Millis,
}

/// Writes a batch until it is known what came of it.
///
/// Copies of one batch may be under way side by side: at most one can be made, since each
/// requires and replaces the row of its lane. The store makes the transactions of a part one
/// after the other, so a copy that isn't needed keeps the next batch waiting. So the row is read
/// first, which costs no turn: it shows a batch whose answer was lost, and how slow the store is.
pub async fn write(shared: Arc<Shared>, batch_write: BatchWrite) -> BatchOutcome {
    let tx = transaction(&batch_write);
    let mut calls = FuturesUnordered::new();
    calls.push(send_attempt(&shared, &batch_write, &tx).boxed());
    let mut retries = Retries::new(shared.clock.now(), batch_write.read_delay);
    loop {
        let wait = retries.wait(shared.store_age(), shared.clock.now());
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
            CallResult::Attempt(Ok(TxOutcome::Made(rev)), took) => {
                return committed(&shared, rev, Some(took));
            }
            CallResult::Attempt(Ok(TxOutcome::Conflict(rows)), _) => {
                shared.record_store_answer();
                return outcome_from_row(&shared, &batch_write, &rows);
            }
            CallResult::Attempt(Err(e), _) => {
                record_failure(&shared, &e);
                retries.attempt_failed(e.surely_not_done());
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

/// What a call for a batch came to, and how long it took.
enum CallResult {
    /// A copy of the batch.
    Attempt(Result<TxOutcome, StoreError>, Millis),
    /// A reading of the lane's row.
    LaneRead(Result<Option<Row>, StoreError>, Millis),
}

/// Sends one copy.
async fn send_attempt(shared: &Shared, batch_write: &BatchWrite, tx: &Transaction) -> CallResult {
    let started_at = shared.clock.now();
    let answer = shared.store.transact(TABLE, &batch_write.part, tx, ATTEMPT_TIMEOUT).await;
    CallResult::Attempt(answer, shared.clock.now().since(started_at))
}

/// Reads the row of the batch's lane.
async fn read_lane_row(shared: &Shared, batch_write: &BatchWrite) -> CallResult {
    let started_at = shared.clock.now();
    let key = lane_key(batch_write.lane);
    let answer = shared.store.read(TABLE, &batch_write.part, &key, READ_TIMEOUT).await;
    CallResult::LaneRead(answer.map(|(row, _)| row), shared.clock.now().since(started_at))
}

fn committed(shared: &Shared, rev: Version, answered_in: Option<Millis>) -> BatchOutcome {
    shared.record_store_answer();
    shared.metrics.batches.with_label_values(&["made"]).inc();
    BatchOutcome::Made { rev, answered_in }
}

fn record_failure(shared: &Shared, e: &StoreError) {
    shared.record_store_failure();
    let outcome = if e.surely_not_done() { "refused" } else { "unanswered" };
    shared.metrics.batches.with_label_values(&[outcome]).inc();
    log::debug!("batch.failed error=\"{e}\"");
}

/// Tells from the lane's row whether an earlier copy was made.
fn outcome_from_row(shared: &Shared, batch_write: &BatchWrite, rows: &[Row]) -> BatchOutcome {
    let (number, key) = (batch_write.batch.number, lane_key(batch_write.lane));
    let row = rows.iter().find(|r| r.key == key);
    let Some((found, version)) = row.and_then(|r| Some((read_owner(r)?, r.version))) else {
        log::error!("batch.conflict batch={number} row={key} missing");
        return BatchOutcome::Inconsistent;
    };
    let Some(holder) = found.owner else { return BatchOutcome::Inconsistent };
    if holder != batch_write.owner {
        return BatchOutcome::Deposed(holder);
    }
    if found.batch == number {
        return committed(shared, version, None);
    }
    log::error!("batch.conflict batch={number} row={key} found={}", found.batch);
    BatchOutcome::Inconsistent
}

pub(crate) fn transaction(batch_write: &BatchWrite) -> Transaction {
    let BatchWrite { owner, lane, rev, batch, .. } = batch_write;
    let key = lane_key(*lane);
    let expect = vec![Expect { key: key.clone(), version: *rev }];
    let mut put = vec![(key, encode_owner(owner, batch.number))];
    let mut remove = Vec::new();
    for row in &batch.rows {
        match &row.value {
            Some(value) => put.push((row.key.clone(), value.clone())),
            None => remove.push(row.key.clone()),
        }
    }
    Transaction { expect, put, remove }
}
