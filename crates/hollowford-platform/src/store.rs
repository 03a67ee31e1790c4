//! The table, the objects and the instance list as the processes of `serve` use them.
//!
//! There is one client of the store, that of the users' platform; this adds the table and
//! part in which the rows lie, a time limit and a count of the calls.

use crate::rows::{Check, Instance, Row, Value};
use hollowford_adapter::{
    ExpectedVersion, KeyRange, REGISTRY_TABLE, StoreClient, Transaction, TxOutcome, decode_listing,
    next_key,
};
use hollowford_jobs::WorkerListing;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Table of the rows.
const TABLE: &str = "cell";
/// Part of the table: all rows are in one, since transactions join rows of all kinds.
const PART: &str = "";
/// Position of the rack in a worker's labels; its kind comes first.
const RACK_LABEL: usize = 1;

/// Why a call to the store gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The call failed or took too long; a write may have taken effect.
    #[error("store: {0}")]
    Unanswered(String),
    /// The store refused the call as wrong; it had no effect.
    #[error("store refused: {0}")]
    Refused(String),
}

impl From<hollowford_adapter::StoreError> for StoreError {
    fn from(e: hollowford_adapter::StoreError) -> StoreError {
        use hollowford_adapter::StoreError as Theirs;
        let text = e.to_string();
        match e {
            // 429 and 5xx are the store's state and not the call's fault: it is tried again.
            Theirs::Refused(status) if status != 429 && status < 500 => StoreError::Refused(text),
            _ => StoreError::Unanswered(text),
        }
    }
}

/// A transaction being put together.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    tx: Transaction,
}

impl Txn {
    /// Starts an empty transaction.
    pub fn new() -> Txn {
        Txn::default()
    }

    /// Requires the row to have this version; 0: to be absent.
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Txn {
        self.tx.expect.push(ExpectedVersion { key: key.into(), version });
        self
    }

    /// Writes a row.
    pub fn put(mut self, key: impl Into<String>, value: Vec<u8>) -> Txn {
        self.tx.put.push((key.into(), value));
        self
    }

    /// Deletes a row.
    pub fn delete(mut self, key: impl Into<String>) -> Txn {
        self.tx.remove.push(key.into());
        self
    }
}

/// What came of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnResult {
    /// Made; the written rows have this version.
    Committed(u64),
    /// Not made; these rows were not as expected.
    Conflict(Vec<Check>),
}

/// Calls made since the start, for the budget of the store.
#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
}

/// Client of the platform's services. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Platform {
    store: StoreClient,
    timeout: Duration,
    counts: Arc<Counts>,
}

impl Platform {
    /// Makes a client of the platform at `addr` (`IP:port`), whose calls take
    /// `timeout` at most.
    ///
    /// # Errors
    /// `Refused` when the address can't be read or the HTTP client can't be made.
    pub fn new(addr: &str, timeout: Duration) -> Result<Platform, StoreError> {
        let wrong = |e: &dyn std::fmt::Display| StoreError::Refused(format!("{addr}: {e}"));
        let addr: SocketAddr = addr.parse().map_err(|e| wrong(&e))?;
        let store = StoreClient::new(addr).map_err(|e| wrong(&e))?;
        Ok(Platform { store, timeout, counts: Arc::default() })
    }

    /// Returns the reads and writes sent since the start.
    pub fn calls(&self) -> (u64, u64) {
        let c = &self.counts;
        (c.reads.load(Ordering::Relaxed), c.writes.load(Ordering::Relaxed))
    }

    fn count_read(&self) {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
    }

    fn count_write(&self) {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// `Unanswered`: it may have been made; read back to find out. `Refused`: it was not.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResult, StoreError> {
        self.count_write();
        Ok(match self.store.transact(TABLE, PART, &txn.tx, self.timeout).await? {
            TxOutcome::Committed(version) => TxnResult::Committed(version),
            TxOutcome::Conflict(rows) => TxnResult::Conflict(differing(&txn.tx.expect, &rows)),
        })
    }

    /// Reads rows by key, one after the other; absent ones are left out.
    ///
    /// # Errors
    /// `Unanswered` or `Refused`.
    pub async fn read(&self, keys: &[&str]) -> Result<Vec<Row>, StoreError> {
        let mut rows = Vec::new();
        for key in keys {
            rows.extend(self.get(key).await?);
        }
        Ok(rows)
    }

    /// Reads one row.
    ///
    /// # Errors
    /// `Unanswered` or `Refused`.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.count_read();
        let (row, _) = self.store.read(TABLE, PART, key, self.timeout).await?;
        Ok(row.map(Row::from))
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and are after `after`.
    ///
    /// # Errors
    /// `Unanswered` or `Refused`.
    pub async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, StoreError> {
        self.count_read();
        let from = if after < prefix { prefix.to_owned() } else { next_key(after) };
        let to = end_of_prefix(prefix);
        let range = KeyRange { from: &from, to: &to, limit };
        let rows = self.store.read_range(TABLE, PART, &range, self.timeout).await?;
        Ok(rows.into_iter().map(Row::from).collect())
    }

    /// Writes an object.
    ///
    /// # Errors
    /// `Unanswered`: it may have been written.
    pub async fn put_object(&self, key: &str, value: Vec<u8>) -> Result<(), StoreError> {
        self.count_write();
        Ok(self.store.put_object(key, value, self.timeout).await?)
    }

    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    /// `Unanswered`.
    pub async fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.count_read();
        Ok(self.store.get_object(key, self.timeout).await?)
    }

    /// Deletes an object, if it is there.
    ///
    /// # Errors
    /// `Unanswered`: it may have been deleted.
    pub async fn delete_object(&self, key: &str) -> Result<(), StoreError> {
        self.count_write();
        Ok(self.store.delete_object(key, self.timeout).await?)
    }

    /// Reads the instance list.
    ///
    /// # Errors
    /// `Unanswered`.
    pub async fn instances(&self) -> Result<Vec<Instance>, StoreError> {
        self.count_read();
        let feed = self.store.read_all(REGISTRY_TABLE, PART, self.timeout).await?;
        let listing = |r: &hollowford_adapter::Row| {
            decode_listing(&r.key, &r.value)
                .inspect_err(|e| log::error!("instance {}: {e}", r.key))
                .ok()
        };
        Ok(feed.rows.iter().filter_map(listing).map(Instance::from).collect())
    }
}

/// Returns the key after all that start with `prefix`, whose last character is in ASCII.
fn end_of_prefix(prefix: &str) -> String {
    let mut chars: Vec<char> = prefix.chars().collect();
    if let Some(last) = chars.last_mut() {
        *last = char::from_u32(u32::from(*last) + 1).unwrap_or(char::MAX);
    }
    chars.into_iter().collect()
}

/// Returns the expected rows that are not as expected, as they stand; version 0: absent.
fn differing(expected: &[ExpectedVersion], rows: &[hollowford_adapter::Row]) -> Vec<Check> {
    let version = |key: &str| rows.iter().find(|r| r.key == key).map_or(0, |r| r.version);
    let differs = |e: &&ExpectedVersion| version(&e.key) != e.version;
    let check = |e: &ExpectedVersion| Check { key: e.key.clone(), version: version(&e.key) };
    expected.iter().filter(differs).map(check).collect()
}

impl From<hollowford_adapter::Row> for Row {
    fn from(r: hollowford_adapter::Row) -> Row {
        Row { key: r.key, version: r.version, value: Value(r.value) }
    }
}

impl From<WorkerListing> for Instance {
    fn from(l: WorkerListing) -> Instance {
        Instance {
            id: l.life.id().as_str().to_owned(),
            addr: l.address.to_string(),
            zone: l.zone.to_string(),
            rack: l.labels.get(RACK_LABEL).map(ToString::to_string).unwrap_or_default(),
            leaving: l.leaving,
        }
    }
}
