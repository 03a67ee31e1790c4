//! Writes batches to the store, each exactly once.

use crate::lane::lane_key;
use crate::owner_row::{TABLE, encode_owner, read_owner};
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

/// The lane's row is read after this time without an answer, and so long after each reading. The
/// store's usual answer takes some 10 ms; an answer may be lost, and its channel with it.
const READ_AFTER: Millis = Millis(150);
/// A batch that a reading doesn't show is sent again once the last copy is older than so many
/// times what the reading took: a transaction takes longer than a reading, and waits its turn.
const COPY_AFTER_READINGS: u64 = 5;
/// A batch is sent again after this time if no reading has come back: one may be lost as well.
const COPY_UNREAD_AFTER: Millis = Millis(1_000);
/// While the store answers nothing at all, copies are sent this often: the first one after its
/// return is to find it, and each costs little.
const COPY_WHILE_AWAY: Millis = Millis(200);
/// A store that has answered nothing for so long is away.
const AWAY: Millis = Millis(1_000);
/// Shortest pause between two calls.
const LEAST_WAIT: Millis = Millis(5);
/// Copies under way at most: a copy every 0.2 s for as long as one may take, and some more.
const MOST_COPIES: usize = 16;
/// Longest time for a reading. A slow store takes up to 0.5 s.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for one copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after the store has refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(80);
/// A batch that the store refuses so often is given back: it may refuse a few calls when
/// many come at once.
const MOST_REFUSALS: u32 = 3;

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
    let mut state = Calls::begun(shared.clock.now());
    loop {
        let wait = state.wait(&shared);
        let heard = tokio::select! {
            Some(heard) = calls.next() => heard,
            () = sleep(wait.duration()) => {
                let now = shared.clock.now();
                if state.copy_is_due(&shared, now) {
                    calls.push(copy(&shared, &writing, &tx).boxed());
                    state.copied(now);
                    shared.metrics.batches.with_label_values(&["copied"]).inc();
                } else {
                    calls.push(reading(&shared, &writing).boxed());
                    state.reading = true;
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
                state.copy_failed(&e);
                if state.copies == 0 {
                    if state.is_refused() {
                        return Written::Refused;
                    }
                    sleep(REFUSED_PAUSE).await;
                    calls.push(copy(&shared, &writing, &tx).boxed());
                    state.copied(shared.clock.now());
                }
            }
            Heard::Reading(Ok(Some(row)), took) => {
                shared.note_store();
                if row.version != writing.rev {
                    return settle(&shared, &writing, &[row]);
                }
                state.not_made(took, shared.clock.now());
            }
            Heard::Reading(_, _) => state.unread(shared.clock.now()),
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

/// The calls for a batch.
#[derive(Debug)]
struct Calls {
    /// Copies without an answer.
    copies: usize,
    /// When the last copy was sent.
    copied_at: Millis,
    /// A reading is under way.
    reading: bool,
    /// When the next reading is due.
    read_at: Millis,
    /// How long the last reading took, which did not show the batch.
    read_took: Option<Millis>,
    /// Copies that failed.
    failures: u32,
    /// One of them may have been made.
    unsure: bool,
}

impl Calls {
    /// The first copy was sent.
    fn begun(now: Millis) -> Calls {
        Calls {
            copies: 1,
            copied_at: now,
            reading: false,
            read_at: now + READ_AFTER,
            read_took: None,
            failures: 0,
            unsure: false,
        }
    }

    /// Returns when the next copy is due, if no answer comes before.
    fn copy_at(&self, shared: &Shared) -> Option<Millis> {
        if self.copies >= MOST_COPIES {
            return None;
        }
        if shared.store_age() >= AWAY {
            return Some(self.copied_at + COPY_WHILE_AWAY);
        }
        let read = |took: Millis| Millis(took.0 * COPY_AFTER_READINGS).max(READ_AFTER);
        Some(self.copied_at + self.read_took.map_or(COPY_UNREAD_AFTER, read))
    }

    fn copy_is_due(&self, shared: &Shared, now: Millis) -> bool {
        self.copy_at(shared).is_some_and(|at| at <= now)
    }

    /// Returns how long to wait for answers before the next call.
    fn wait(&self, shared: &Shared) -> Millis {
        let read_at = if self.reading { self.read_at + AWAY } else { self.read_at };
        let at = self.copy_at(shared).map_or(read_at, |c| c.min(read_at));
        at.since(shared.clock.now()).max(LEAST_WAIT)
    }

    fn copied(&mut self, now: Millis) {
        self.copies += 1;
        self.copied_at = now;
    }

    fn copy_failed(&mut self, e: &StoreError) {
        self.copies -= 1;
        self.failures += 1;
        self.unsure |= !e.surely_not_done();
    }

    /// Tells whether the store has refused all copies, so that none will be made.
    fn is_refused(&self) -> bool {
        !self.unsure && self.failures >= MOST_REFUSALS
    }

    /// A reading that took so long has not shown the batch.
    fn not_made(&mut self, took: Millis, now: Millis) {
        self.read_took = Some(took.max(LEAST_WAIT));
        self.unread(now);
    }

    fn unread(&mut self, now: Millis) {
        self.reading = false;
        self.read_at = now + READ_AFTER;
    }
}

/// Sends one copy.
async fn copy(shared: &Shared, writing: &Writing, tx: &Transaction) -> Heard {
    let began = shared.clock.now();
    let answer = shared.store.transact(TABLE, &writing.part, tx, COPY_TIMEOUT).await;
    Heard::Copy(answer, shared.clock.now().since(began))
}

/// Reads the row of the batch's lane.
async fn reading(shared: &Shared, writing: &Writing) -> Heard {
    let began = shared.clock.now();
    let key = lane_key(writing.lane);
    let answer = shared.store.read(TABLE, &writing.part, &key, READ_TIMEOUT).await;
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
    let Some((found, version)) = row.and_then(|r| Some((read_owner(r)?, r.version))) else {
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
