//! Recovers a partition's state from the newest snapshot and the ledger rows after it.

use super::keys::{ledger_key, ledger_prefix, snapshot_key};
use crate::codec::record_from_wire;
use hollowford_core::{Error, ErrorKind, PartitionId};
use hollowford_engine::Record;
use hollowford_platform::{Platform, StoreError};
use hollowford_protocol::ledger::Batch;
use prost::Message;

/// Maximum number of rows in one read.
const PAGE_ROWS: usize = 100;

/// Row `p/N/snapshot`, which points to the newest snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SnapshotRow {
    /// Key of the snapshot object.
    #[prost(string, tag = "1")]
    pub object: String,
    /// Index of the first ledger row that the snapshot doesn't contain.
    #[prost(uint64, tag = "2")]
    pub next_index: u64,
}

/// The contents of a recovered ledger.
#[derive(Debug)]
pub(crate) struct Recovered {
    pub records: Vec<Record>,
    /// Index of the next row to write.
    pub next_index: u64,
    /// Index of the oldest row that may still be in the store.
    pub first_index: u64,
    /// Key of the newest snapshot object; empty if there is none.
    pub snapshot_object: String,
}

fn damaged(detail: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Internal, format!("the ledger is damaged: {detail}"))
}

fn store_unavailable(e: StoreError) -> Error {
    Error::new(ErrorKind::Unavailable, e.to_string())
}

/// Recovers all records. The caller must have raised the epoch before, so that no earlier owner
/// can append while they are read.
///
/// # Errors
/// `Unavailable` if the store doesn't answer; `Internal` if a row or the snapshot is missing or
/// damaged; as [`record_from_wire`] for an invalid record.
pub(crate) async fn recover(store: &Platform, p: PartitionId) -> Result<Recovered, Error> {
    let row = store.get(&snapshot_key(p)).await.map_err(store_unavailable)?;
    let snapshot = match row {
        Some(row) => SnapshotRow::decode(&row.value.0[..]).map_err(damaged)?,
        None => SnapshotRow::default(),
    };
    let mut records = Vec::new();
    if !snapshot.object.is_empty() {
        let bytes = store.get_object(&snapshot.object).await.map_err(store_unavailable)?;
        let bytes = bytes.ok_or_else(|| damaged("the snapshot is missing"))?;
        decode_batch(&bytes, &mut records)?;
    }
    let next_index = read_rows(store, p, snapshot.next_index, &mut records).await?;
    let first_index = snapshot.next_index;
    Ok(Recovered { records, next_index, first_index, snapshot_object: snapshot.object })
}

async fn read_rows(
    store: &Platform,
    p: PartitionId,
    from: u64,
    records: &mut Vec<Record>,
) -> Result<u64, Error> {
    let prefix = ledger_prefix(p);
    let mut index = from;
    // Rows that the snapshot contains may not be deleted yet; the scan starts after them.
    let mut after = match from {
        0 => String::new(),
        n => ledger_key(p, n - 1),
    };
    loop {
        let rows = store.scan(&prefix, &after, PAGE_ROWS).await.map_err(store_unavailable)?;
        let is_full = rows.len() == PAGE_ROWS;
        for row in rows {
            if row.key != ledger_key(p, index) {
                return Err(damaged(format!("row {index} is missing before {}", row.key)));
            }
            decode_batch(&row.value.0, records)?;
            index += 1;
            after = row.key;
        }
        if !is_full {
            return Ok(index);
        }
    }
}

fn decode_batch(bytes: &[u8], records: &mut Vec<Record>) -> Result<(), Error> {
    let batch = Batch::decode(bytes).map_err(damaged)?;
    for wire in batch.records {
        records.push(record_from_wire(wire)?);
    }
    Ok(())
}
