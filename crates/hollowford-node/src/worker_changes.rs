//! Changes of the list of workers, as one owner tells them to the others.
//!
//! Each owner would follow the whole list for its own part of it, so the store would send every
//! sign of life of every worker once for each partition. The owner of [`READER_PARTITION`] follows it for all:
//! it tells the others what each of its readings has changed. They read for themselves while
//! nothing comes that follows on what they know.

use hollowford_adapter::{Row, Version};
use prost::Message;

/// Number of the partition whose owner reads the list for all.
pub const READER_PARTITION: u32 = 0;
/// Changes of more bytes aren't told: it is the whole list, or what has gathered while the store was
/// away, and each owner reads that for itself.
const MAX_FORWARDED_BYTES: usize = 256 << 10;

/// What one reading of the list has changed.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerChanges {
    /// Version of the list that was known before.
    #[prost(uint64, tag = "1")]
    pub from: Version,
    /// Version that was read.
    #[prost(uint64, tag = "2")]
    pub to: Version,
    /// The rows that name another worker than before, or none.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<WorkerRow>,
}

/// A row of the list.
#[derive(Clone, PartialEq, Message)]
pub struct WorkerRow {
    /// Its key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its bytes, as they stand in the store.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// It is off the list.
    #[prost(bool, tag = "3")]
    pub removed: bool,
}

impl WorkerChanges {
    /// Tells whether they are few enough to be told.
    pub fn can_be_forwarded(&self) -> bool {
        self.encoded_len() <= MAX_FORWARDED_BYTES
    }
}

impl From<&Row> for WorkerRow {
    fn from(row: &Row) -> WorkerRow {
        WorkerRow { key: row.key.clone(), value: row.value.clone(), removed: row.removed }
    }
}
