//! Bodies of the platform's HTTP calls, in JSON. Values are base64.
//!
//! `POST /table/txn`, `POST /table/read`, `POST /table/scan`,
//! `PUT|GET|DELETE /objects/KEY`, `GET /instances`.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A row's value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value(pub Vec<u8>);

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Value, D::Error> {
        let text = String::deserialize(d)?;
        STANDARD.decode(text).map(Value).map_err(serde::de::Error::custom)
    }
}

/// A row as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Changes with each write; never 0.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

/// A condition of a transaction: the row has this version, 0 for "there is none".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version that it must have.
    pub version: u64,
}

/// A write of a transaction; no value deletes the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value.
    pub value: Option<Value>,
}

/// All checks hold and all writes are made, or none is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnBody {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// Reply to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnReply {
    /// The version that the written rows have now, or `None` when a check failed.
    pub version: Option<u64>,
    /// The checked rows that were not as expected, as they stand.
    pub conflicts: Vec<Check>,
}

/// Reads rows by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadBody {
    /// The keys.
    pub keys: Vec<String>,
}

/// Reads rows in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanBody {
    /// Keys start with this.
    pub prefix: String,
    /// Keys are after this one.
    pub after: String,
    /// Most rows.
    pub limit: usize,
}

/// Reply to a read or scan: the rows that there are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsReply {
    /// The rows.
    pub rows: Vec<Row>,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// Where its worker takes links, as `IP:port`.
    pub addr: String,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// Whether it is leaving.
    pub leaving: bool,
}
