//! Access to the table, the object store and the instance list, for processes started by
//! `hollowford serve`.
//!
//! Wraps the store client of `hollowford-adapter`, and adds the names of the table and part that
//! contain the rows, a timeout and counters of the calls.

use crate::rows::{Instance, Row, RowVersion, Value};
use hollowford_adapter::{
    ExpectedVersion, KeyRange, REGISTRY_TABLE, StoreClient, Transaction, TxOutcome, decode_listing,
    next_key,
};
use hollowford_jobs::WorkerListing;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Name of the table that contains the rows.
const CELL_TABLE: &str = "cell";
/// Name of the part of the table that contains all rows. There is only one, since a transaction can
/// change rows of all kinds but of a single part.
const PART: &str = "";
/// Index of the rack in a worker's labels; the first label is the worker's kind.
const RACK_LABEL_INDEX: usize = 1;

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The call failed or timed out; a write may have taken effect.
    #[error("store: {0}")]
    Unanswered(String),
    /// The store rejected the call as invalid; it had no effect.
    #[error("store refused: {0}")]
    Refused(String),
}

impl From<hollowford_adapter::StoreError> for StoreError {
    fn from(e: hollowford_adapter::StoreError) -> StoreError {
        use hollowford_adapter::StoreError as AdapterError;
        let text = e.to_string();
        match e {
            // 429 and 5xx are caused by the state of the store, not by the call: it is retried.
            AdapterError::Refused(status) if status != 429 && status < 500 => {
                StoreError::Refused(text)
            }
            _ => StoreError::Unanswered(text),
        }
    }
}

/// Builder of a transaction.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    tx: Transaction,
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Txn {
        Txn::default()
    }

    /// Requires a row to have this version, where 0 means that it must not exist.
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

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnResult {
    /// Committed; the written rows have this version.
    Committed(u64),
    /// Not committed; these rows did not have the expected versions.
    Conflict(Vec<RowVersion>),
}

/// Number of calls since the start, reported for the budget of store calls.
#[derive(Debug, Default)]
struct CallCounts {
    reads: AtomicU64,
    writes: AtomicU64,
}

/// Client of the platform's services. Cheap to clone; clones share the call counters.
#[derive(Clone, Debug)]
pub struct Platform {
    store: StoreClient,
    timeout: Duration,
    call_counts: Arc<CallCounts>,
}

impl Platform {
    /// Creates a client of the platform at `addr` (`IP:port`). `timeout` applies to each call.
    ///
    /// # Errors
    /// `Refused` if the address is invalid or the HTTP client can't be created.
    pub fn new(addr: &str, timeout: Duration) -> Result<Platform, StoreError> {
        let refused = |e: &dyn std::fmt::Display| StoreError::Refused(format!("{addr}: {e}"));
        let addr: SocketAddr = addr.parse().map_err(|e| refused(&e))?;
        let store = StoreClient::new(addr).map_err(|e| refused(&e))?;
        Ok(Platform { store, timeout, call_counts: Arc::default() })
    }

    /// Returns the numbers of reads and writes sent since the start.
    pub fn call_counts(&self) -> (u64, u64) {
        let c = &self.call_counts;
        (c.reads.load(Ordering::Relaxed), c.writes.load(Ordering::Relaxed))
    }

    fn count_read(&self) {
        self.call_counts.reads.fetch_add(1, Ordering::Relaxed);
    }

    fn count_write(&self) {
        self.call_counts.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// `Unanswered`: the transaction may have been committed; read its rows to find out. `Refused`:
    /// it was not committed.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResult, StoreError> {
        self.count_write();
        Ok(match self.store.transact(CELL_TABLE, PART, &txn.tx, self.timeout).await? {
            TxOutcome::Committed(version) => TxnResult::Committed(version),
            TxOutcome::Conflict(rows) => {
                TxnResult::Conflict(unmet_expectations(&txn.tx.expect, &rows))
            }
        })
    }

    /// Reads rows by key, one call each, and omits rows that do not exist.
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

    /// Reads one row; returns `None` if it does not exist.
    ///
    /// # Errors
    /// `Unanswered` or `Refused`.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.count_read();
        let (row, _) = self.store.read(CELL_TABLE, PART, key, self.timeout).await?;
        Ok(row.map(Row::from))
    }

    /// Reads the first `limit` rows whose keys start with `prefix` and sort after `after`.
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
        let rows = self.store.read_range(CELL_TABLE, PART, &range, self.timeout).await?;
        Ok(rows.into_iter().map(Row::from).collect())
    }

    /// Writes an object.
    ///
    /// # Errors
    /// `Unanswered`: the object may have been written.
    pub async fn put_object(&self, key: &str, value: Vec<u8>) -> Result<(), StoreError> {
        self.count_write();
        Ok(self.store.put_object(key, value, self.timeout).await?)
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    /// `Unanswered`.
    pub async fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.count_read();
        Ok(self.store.get_object(key, self.timeout).await?)
    }

    /// Deletes an object if it exists.
    ///
    /// # Errors
    /// `Unanswered`: the object may have been deleted.
    pub async fn delete_object(&self, key: &str) -> Result<(), StoreError> {
        self.count_write();
        Ok(self.store.delete_object(key, self.timeout).await?)
    }

    /// Reads the instance list. Logs and omits entries that can't be decoded.
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

/// Returns the first key after all keys that start with `prefix`, whose last character must be
/// ASCII.
fn end_of_prefix(prefix: &str) -> String {
    let mut chars: Vec<char> = prefix.chars().collect();
    if let Some(last) = chars.last_mut() {
        *last = char::from_u32(u32::from(*last) + 1).unwrap_or(char::MAX);
    }
    chars.into_iter().collect()
}

/// Returns the rows whose versions differ from the expected ones, with their current versions, or 0
/// if they do not exist.
fn unmet_expectations(
    expected: &[ExpectedVersion],
    rows: &[hollowford_adapter::Row],
) -> Vec<RowVersion> {
    let version = |key: &str| rows.iter().find(|r| r.key == key).map_or(0, |r| r.version);
    let differs = |e: &&ExpectedVersion| version(&e.key) != e.version;
    let row_version =
        |e: &ExpectedVersion| RowVersion { key: e.key.clone(), version: version(&e.key) };
    expected.iter().filter(differs).map(row_version).collect()
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
            rack: l.labels.get(RACK_LABEL_INDEX).map(ToString::to_string).unwrap_or_default(),
            leaving: l.leaving,
        }
    }
}
