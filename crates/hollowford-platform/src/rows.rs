//! Rows of the table and entries of the instance list.

use serde::{Deserialize, Serialize};

/// Value of a row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value(pub Vec<u8>);

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version, which changes with each write and is never 0.
    pub version: u64,
    /// Value of the row.
    pub value: Value,
}

/// Key of a row and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowVersion {
    /// Key of the row.
    pub key: String,
    /// Version of the row; 0 if it does not exist.
    pub version: u64,
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id of the instance.
    pub id: String,
    /// Address of its worker, as `IP:port`.
    pub addr: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Rack of the instance.
    pub rack: String,
    /// Whether the instance is about to leave.
    pub leaving: bool,
}
