//! Writes batches to the store, each exactly once.

use crate::lane::lane_key;
use crate::owner_row::{SYSTEM_TABLE, decode_owner, encode_owner};
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
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after the store has refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(80);

/// What came of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
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
pub struct Writing {
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
    pub read_after: Millis,
}

/// Writes a batch until it is known what came of it.
///
/// Copies of one batch may be under way side by side: at most one can be made, since each
/// requires and replaces the row of its lane. The store makes the transactions of a part one
/// after the other, so a copy that isn't needed keeps the next batch waiting. So the row is read
/// first, which costs no turn: it shows a batch whose answer was lost, and how slow the store is.
pub async fn write(shared: Arc<Shared>, writing: Writing) -> Written {
    let tx = transaction(&writing);
    let mut calls = FuturesUnordered::new();
    calls.push(copy(&shared, &writing, &tx).boxed());
    let mut retries = Retries::begun(shared.clock.now(), writing.read_after);
    loop {
        let wait = retries.wait(shared.store_age(), shared.clock.now());
        let heard = tokio::select! {
            Some(heard) = calls.next() => heard,
            () = sleep(wait.duration()) => {
                let now = shared.clock.now();
                if retries.copy_is_due(shared.store_age(), now) {
                    calls.push(copy(&shared, &writing, &tx).boxed());
                    retries.copied(now);
                    shared.metrics.batches.with_label_values(&["copied"]).inc();
                } else {
                    calls.push(reading(&shared, &writing).boxed());
                    retries.reads();
                }
                continue;
            }
        };
        match heard {
            Heard::Copy(Ok(TxOutcome::Made(rev)), took) => return made(&shared, rev, Some(took)),
            Heard::Copy(Ok(TxOutcome::Conflict(rows)), _) => {
                shared.note_store();
                return settle(&shared, &writing, &rows);
            }
            Heard::Copy(Err(e), _) => {
                note_failure(&shared, &e);
                retries.copy_failed(e.surely_not_done());
                if retries.all_failed() {
                    if retries.is_refused() {
                        return Written::Refused;
                    }
                    sleep(REFUSED_PAUSE).await;
                    calls.push(copy(&shared, &writing, &tx).boxed());
                    retries.copied(shared.clock.now());
                }
            }
            Heard::Reading(Ok(Some(row)), took) => {
                shared.note_store();
                if row.version != writing.rev {
                    return settle(&shared, &writing, &[row]);
                }
                retries.not_made(took, shared.clock.now());
            }
            Heard::Reading(_, _) => retries.unread(shared.clock.now()),
        }
    }
}

/// What a call for a batch came to, and how long it took.
enum Heard {
    /// A copy of the batch.
    Copy(Result<TxOutcome, StoreError>, Millis),
    /// A reading of the lane's row.
    Reading(Result<Option<Row>, StoreError>, Millis),
}

/// Sends one copy.
async fn copy(shared: &Shared, writing: &Writing, tx: &Transaction) -> Heard {
    let began = shared.clock.now();
    let answer = shared.store.transact(SYSTEM_TABLE, &writing.part, tx, COPY_TIMEOUT).await;
    Heard::Copy(answer, shared.clock.now().since(began))
}

/// Reads the row of the batch's lane.
async fn reading(shared: &Shared, writing: &Writing) -> Heard {
    let began = shared.clock.now();
    let key = lane_key(writing.lane);
    let answer = shared.store.read(SYSTEM_TABLE, &writing.part, &key, READ_TIMEOUT).await;
    Heard::Reading(answer.map(|(row, _)| row), shared.clock.now().since(began))
}

fn made(shared: &Shared, rev: Version, answered_in: Option<Millis>) -> Written {
    shared.note_store();
    shared.metrics.batches.with_label_values(&["made"]).inc();
    Written::Made { rev, answered_in }
}

fn note_failure(shared: &Shared, e: &StoreError) {
    shared.note_store_failure();
    let outcome = if e.surely_not_done() { "refused" } else { "unanswered" };
    shared.metrics.batches.with_label_values(&[outcome]).inc();
    log::debug!("batch.failed error=\"{e}\"");
}

/// Tells from the lane's row whether an earlier copy was made.
fn settle(shared: &Shared, writing: &Writing, rows: &[Row]) -> Written {
    let (number, key) = (writing.batch.number, lane_key(writing.lane));
    let row = rows.iter().find(|r| r.key == key);
    let Some((found, version)) = row.and_then(|r| Some((decode_owner(r)?, r.version))) else {
        log::error!("batch.conflict batch={number} row={key} missing");
        return Written::Inconsistent;
    };
    let Some(holder) = found.owner else { return Written::Inconsistent };
    if holder != writing.owner {
        return Written::Deposed(holder);
    }
    if found.batch == number {
        return made(shared, version, None);
    }
    log::error!("batch.conflict batch={number} row={key} found={}", found.batch);
    Written::Inconsistent
}

pub(crate) fn transaction(writing: &Writing) -> Transaction {
    let Writing { owner, lane, rev, batch, .. } = writing;
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
