//! Rows of the table and entries of the instance list.

use serde::{Deserialize, Serialize};

/// A row's value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value(pub Vec<u8>);

/// A row as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Changes with each write; never 0.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

/// A row's version, 0 for "there is none".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowVersion {
    /// The row's key.
    pub key: String,
    /// Its version.
    pub version: u64,
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
