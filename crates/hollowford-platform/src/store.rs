//! Client of the table, the object store and the instance list.

use crate::wire::{
    Check, Instance, ReadBody, Row, RowsReply, ScanBody, TxnBody, TxnReply, Value, Write,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Why a call to the store gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The call failed or took too long; a write may have taken effect.
    #[error("store: {0}")]
    Unanswered(String),
    /// The store refused the call; it had no effect.
    #[error("store refused: {0}")]
    Refused(String),
}

impl From<reqwest::Error> for StoreError {
    fn from(e: reqwest::Error) -> StoreError {
        StoreError::Unanswered(e.without_url().to_string())
    }
}

/// A transaction being put together.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    body: TxnBody,
}

impl Txn {
    /// Starts an empty transaction.
    pub fn new() -> Txn {
        Txn::default()
    }

    /// Requires the row to have this version; 0: to be absent.
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Txn {
        self.body.checks.push(Check { key: key.into(), version });
        self
    }

    /// Writes a row.
    pub fn put(mut self, key: impl Into<String>, value: Vec<u8>) -> Txn {
        self.body.writes.push(Write { key: key.into(), value: Some(Value(value)) });
        self
    }

    /// Deletes a row.
    pub fn delete(mut self, key: impl Into<String>) -> Txn {
        self.body.writes.push(Write { key: key.into(), value: None });
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
    base: Arc<str>,
    http: reqwest::Client,
    counts: Arc<Counts>,
}

impl Platform {
    /// Makes a client of the platform at `addr` (`IP:port`), whose calls take
    /// `timeout` at most.
    ///
    /// # Errors
    /// `Refused` when the HTTP client can't be made.
    pub fn new(addr: &str, timeout: Duration) -> Result<Platform, StoreError> {
        let http = reqwest::Client::builder()
            .timeout(timeout)
            .no_proxy()
            .build()
            .map_err(|e| StoreError::Refused(e.to_string()))?;
        let base = format!("http://{addr}").into();
        Ok(Platform { base, http, counts: Arc::default() })
    }

    /// Returns the reads and writes sent since the start.
    pub fn calls(&self) -> (u64, u64) {
        let c = &self.counts;
        (c.reads.load(Ordering::Relaxed), c.writes.load(Ordering::Relaxed))
    }

    async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<R, StoreError> {
        let url = format!("{}{path}", self.base);
        let reply = self.http.post(url).json(body).send().await?;
        let status = reply.status();
        if status.is_client_error() {
            return Err(StoreError::Refused(reply.text().await.unwrap_or_default()));
        }
        Ok(reply.error_for_status()?.json().await?)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// `Unanswered`: it may have been made; read back to find out. `Refused`: it was not.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResult, StoreError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let reply: TxnReply = self.post("/table/txn", &txn.body).await?;
        Ok(match reply.version {
            Some(version) => TxnResult::Committed(version),
            None => TxnResult::Conflict(reply.conflicts),
        })
    }

    /// Reads rows by key; absent ones are left out.
    ///
    /// # Errors
    /// `Unanswered` or `Refused`.
    pub async fn read(&self, keys: &[&str]) -> Result<Vec<Row>, StoreError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let body = ReadBody { keys: keys.iter().map(|k| (*k).to_owned()).collect() };
        let reply: RowsReply = self.post("/table/read", &body).await?;
        Ok(reply.rows)
    }

    /// Reads one row.
    ///
    /// # Errors
    /// `Unanswered` or `Refused`.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        Ok(self.read(&[key]).await?.pop())
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
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let body = ScanBody { prefix: prefix.to_owned(), after: after.to_owned(), limit };
        let reply: RowsReply = self.post("/table/scan", &body).await?;
        Ok(reply.rows)
    }

    /// Writes an object.
    ///
    /// # Errors
    /// `Unanswered`: it may have been written.
    pub async fn put_object(&self, key: &str, value: Vec<u8>) -> Result<(), StoreError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let url = format!("{}/objects/{key}", self.base);
        self.http.put(url).body(value).send().await?.error_for_status()?;
        Ok(())
    }

    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    /// `Unanswered`.
    pub async fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let url = format!("{}/objects/{key}", self.base);
        let reply = self.http.get(url).send().await?;
        if reply.status() == reqwest::StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(reply.error_for_status()?.bytes().await?.to_vec()))
    }

    /// Deletes an object, if it is there.
    ///
    /// # Errors
    /// `Unanswered`: it may have been deleted.
    pub async fn delete_object(&self, key: &str) -> Result<(), StoreError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let url = format!("{}/objects/{key}", self.base);
        self.http.delete(url).send().await?.error_for_status()?;
        Ok(())
    }

    /// Reads the instance list.
    ///
    /// # Errors
    /// `Unanswered`.
    pub async fn instances(&self) -> Result<Vec<Instance>, StoreError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let url = format!("{}/instances", self.base);
        Ok(self.http.get(url).send().await?.error_for_status()?.json().await?)
    }
}
