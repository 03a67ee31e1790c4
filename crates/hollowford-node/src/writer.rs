//! Writes batches to the store, each exactly once.

use crate::owner_row::{OWNER_KEY, TABLE, encode_owner, read_owner};
use crate::shared::Shared;
use crate::wire::OwnerInfo;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hollowford_adapter::{Expect, Row, StoreError, Transaction, TxOutcome, Version};
use hollowford_jobs::Batch;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// A copy of the batch is sent this long after the one before, while none is answered. The
/// store's usual answer takes some 10 ms; an answer may be lost, and its channel with it.
const COPY_AFTER: [Duration; 3] =
    [Duration::from_millis(150), Duration::from_millis(400), Duration::from_millis(900)];
/// Longest time for one copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after the store has refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(80);
/// A batch that the store refuses so often is given back: it may refuse a few calls when
/// many come at once.
const MOST_REFUSALS: u32 = 3;

/// What came of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It is in the store; the owner row has this version.
    Made(Version),
    /// The store has refused it, and it will never be made.
    Refused,
    /// Another process owns the partition.
    Deposed(OwnerInfo),
    /// The owner row is not as only this owner can have written it.
    Inconsistent,
}

/// Writes a batch on top of version `rev` of the owner row, until it is known what came of it.
///
/// Copies of one batch may be under way side by side: at most one can be made, since each
/// requires and replaces the owner row.
pub async fn write(
    shared: Arc<Shared>,
    part: String,
    owner: OwnerInfo,
    rev: Version,
    batch: Batch,
) -> Written {
    let tx = transaction(&owner, rev, &batch);
    let mut copies = FuturesUnordered::new();
    let send = || shared.store.transact(TABLE, &part, &tx, COPY_TIMEOUT);
    copies.push(send());
    let mut sent = 1_usize;
    let mut refusals = 0;
    let mut unsure = false;
    loop {
        let answer = tokio::select! {
            Some(answer) = copies.next() => answer,
            () = sleep(copy_after(sent)) => {
                if copies.len() <= COPY_AFTER.len() {
                    copies.push(send());
                    sent += 1;
                    shared.metrics.batches.with_label_values(&["copied"]).inc();
                }
                continue;
            }
        };
        match answer {
            Ok(TxOutcome::Made(version)) => return made(&shared, version),
            Ok(TxOutcome::Conflict(rows)) => {
                shared.note_store();
                return settle(&shared, &owner, batch.number, &rows);
            }
            Err(e) => {
                note_failure(&shared, &e);
                unsure |= !e.surely_not_done();
                refusals += 1;
            }
        }
        if !copies.is_empty() {
            continue;
        }
        if !unsure && refusals >= MOST_REFUSALS {
            return Written::Refused;
        }
        sleep(REFUSED_PAUSE).await;
        copies.push(send());
    }
}

/// Returns when to send the next copy, after `sent` ones.
fn copy_after(sent: usize) -> Duration {
    COPY_AFTER[sent.saturating_sub(1).min(COPY_AFTER.len() - 1)]
}

fn made(shared: &Shared, version: Version) -> Written {
    shared.note_store();
    shared.metrics.batches.with_label_values(&["made"]).inc();
    Written::Made(version)
}

fn note_failure(shared: &Shared, e: &StoreError) {
    shared.note_store_failure();
    let outcome = if e.surely_not_done() { "refused" } else { "unanswered" };
    shared.metrics.batches.with_label_values(&[outcome]).inc();
    log::debug!("batch.failed error=\"{e}\"");
}

/// Tells from the owner row whether an earlier copy was made.
fn settle(shared: &Shared, owner: &OwnerInfo, number: u64, rows: &[Row]) -> Written {
    let row = rows.iter().find(|r| r.key == OWNER_KEY);
    let Some((found, version)) = row.and_then(|r| Some((read_owner(r)?, r.version))) else {
        log::error!("batch.conflict batch={number} owner_row=missing");
        return Written::Inconsistent;
    };
    let Some(holder) = found.owner else { return Written::Inconsistent };
    if holder != *owner {
        return Written::Deposed(holder);
    }
    if found.batch == number {
        return made(shared, version);
    }
    log::error!("batch.conflict batch={number} found={}", found.batch);
    Written::Inconsistent
}

fn transaction(owner: &OwnerInfo, rev: Version, batch: &Batch) -> Transaction {
    let expect = vec![Expect { key: OWNER_KEY.to_owned(), version: rev }];
    let mut put = vec![encode_owner(owner, batch.number)];
    let mut remove = Vec::new();
    for row in &batch.rows {
        match &row.value {
            Some(value) => put.push((row.key.clone(), value.clone())),
            None => remove.push(row.key.clone()),
        }
    }
    Transaction { expect, put, remove }
}
