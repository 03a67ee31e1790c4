//! What the platform's store refuses: PROTOCOL.md, "The platform's metadata store".

use hollowford_jobs::{Batch, RowWrite};

/// Maximum size of a row's value, in bytes.
pub const MAX_ROW_BYTES: usize = 65_536;
/// Maximum number of entries of a transaction.
const MAX_ENTRIES: usize = 100;
/// Entries that the owner adds to a batch: the row of its lane, and its expected version.
const OWNER_ENTRIES: usize = 2;
/// Maximum size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
/// Bytes of an entry beside its key and value.
const ENTRY_BYTES: usize = 100;
/// Maximum size of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;

fn base64_bytes(bytes: usize) -> usize {
    bytes.div_ceil(3) * 4
}

fn entry_bytes(row: &RowWrite) -> usize {
    let value = row.value.as_ref().map_or(0, |v| base64_bytes(v.len()));
    ENTRY_BYTES + row.key.len() + value
}

/// Panics if the store would refuse a batch, or if a progress row is larger than
/// `max_progress_bytes`.
pub fn assert_accepted(batch: &Batch, max_progress_bytes: usize) {
    let entries = batch.rows.len() + OWNER_ENTRIES;
    assert!(entries <= MAX_ENTRIES, "a batch has {entries} entries");
    let bytes: usize = batch.rows.iter().map(entry_bytes).sum();
    assert!(bytes <= MAX_TRANSACTION_BYTES, "a batch has {bytes} bytes");
    for row in &batch.rows {
        let bytes = row.value.as_ref().map_or(0, Vec::len);
        let limit = if row.key.starts_with("p/") { max_progress_bytes } else { MAX_ROW_BYTES };
        assert!(bytes <= limit, "row {} has {bytes} bytes", row.key);
        assert!(row.key.len() <= MAX_KEY_BYTES, "key {}", row.key);
    }
    let mut keys: Vec<_> = batch.rows.iter().map(|r| &r.key).collect();
    keys.sort_unstable();
    assert!(keys.windows(2).all(|k| k[0] != k[1]), "a batch has two entries for a key");
}
