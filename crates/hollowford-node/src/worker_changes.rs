//! Worker list changes that one owner forwards to the others.
//!
//! If each owner followed the whole list for its own workers, the store would send every worker
//! heartbeat once per partition. Instead the owner of [`READER_PARTITION`] follows the list and
//! forwards what each read has changed. Other owners read the list themselves only while no changes
//! arrive that follow on their version.

use hollowford_adapter::{Row, Version};
use prost::Message;

/// Number of the partition whose owner reads the worker list for all.
pub const READER_PARTITION: u32 = 0;
/// Size limit of forwarded changes. Larger ones are the whole list or the backlog of a store
/// outage, which each owner reads for itself.
const MAX_FORWARDED_BYTES: usize = 256 << 10;

/// What one read of the worker list has changed.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerChanges {
    /// Version of the list before the read.
    #[prost(uint64, tag = "1")]
    pub from: Version,
    /// Version of the list that was read.
    #[prost(uint64, tag = "2")]
    pub to: Version,
    /// Rows whose worker has changed, or that no longer describe one.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<WorkerRow>,
}

/// A row of the worker list.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerRow {
    /// Key of the row.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the row, as in the store.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// True if the row was removed.
    #[prost(bool, tag = "3")]
    pub removed: bool,
    /// True if the worker has removed the row itself.
    #[prost(bool, tag = "4")]
    pub withdrawn: bool,
}

impl WorkerChanges {
    /// Returns true if the changes are small enough to be forwarded.
    pub fn can_be_forwarded(&self) -> bool {
        self.encoded_len() <= MAX_FORWARDED_BYTES
    }
}

impl From<&Row> for WorkerRow {
    fn from(row: &Row) -> WorkerRow {
        WorkerRow {
            key: row.key.clone(),
            value: row.value.clone(),
            removed: row.removed,
            withdrawn: false,
        }
    }
}
