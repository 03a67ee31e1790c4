//! The row that names the owner: reading it, and writing this process into it.

use crate::lane::takeover_rows;
use crate::link;
use crate::partition::Cx;
use crate::wire::{Body, OwnerInfo, OwnerRow, WhoOwns};
use hollowford_adapter::{ExpectedVersion, Row, StoreError, Transaction, TxOutcome, Version};
use prost::Message;
use std::time::Duration;
use tokio::time::sleep;

/// Table of the system's rows.
pub const TABLE: &str = "hollowford";
/// Key of the row that names the owner.
pub const OWNER_KEY: &str = "owner";
/// Longest time for a call to the store that reads or writes few rows.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for the writing that takes the partition. A slow store takes 0.9 s; one that
/// is given up may still be made, and others lose time by it.
const TAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a call that failed.
pub const RETRY: Duration = Duration::from_millis(120);

/// Reads what the owner row says.
pub fn read_owner(row: &Row) -> Option<OwnerRow> {
    OwnerRow::decode(&row.value[..])
        .inspect_err(|e| log::error!("owner_row.malformed error=\"{e}\""))
        .ok()
}

/// Returns the value of the owner row or of another lane's, as a batch or a takeover writes it.
pub fn encode_owner(owner: &OwnerInfo, batch: u64) -> Vec<u8> {
    OwnerRow { owner: Some(owner.clone()), batch }.encode_to_vec()
}

async fn read_row(cx: &Cx) -> Result<Option<Row>, StoreError> {
    let read = cx.shared.store.read(TABLE, &cx.partition.part, OWNER_KEY, CALL_TIMEOUT).await;
    read.map(|(row, _)| row)
}

/// Learns of an owner newer than `known`, from the store or from other processes; takes the
/// partition when there has been none.
pub async fn find_owner(cx: &Cx, known: u64) {
    match read_row(cx).await {
        Ok(Some(row)) => {
            cx.shared.record_store_answer();
            let owner = read_owner(&row).and_then(|r| r.owner);
            if owner.is_none_or(|o| !cx.partition.note_owner_info(&o) && o.epoch <= known) {
                sleep(RETRY).await;
            }
        }
        Ok(None) => {
            cx.shared.record_store_answer();
            take_first(cx).await;
        }
        Err(e) => {
            log::debug!("owner.find failed error=\"{e}\"");
            ask_seeds(cx).await;
            sleep(RETRY).await;
        }
    }
}

/// Takes a partition that has never had an owner, unless another process does before its turn.
async fn take_first(cx: &Cx) {
    let wait = cx.standing().wait_for_first();
    // By then it may have come to own others.
    if cx.is_outrun(0, wait).await || cx.is_outrun(0, cx.standing().wait_as_busy()).await {
        return;
    }
    // Most find that one has, and need no writing call to learn it.
    match read_row(cx).await {
        Ok(None) => take(cx, 0, 1, "first").await,
        Ok(Some(row)) => {
            let owner = read_owner(&row).and_then(|r| r.owner);
            if let Some(owner) = owner {
                cx.partition.note_owner_info(&owner);
            }
        }
        Err(e) => log::debug!("owner.read failed error=\"{e}\""),
    }
}

/// Asks the seeds who owns the partition.
async fn ask_seeds(cx: &Cx) {
    for seed in cx.shared.other_seeds() {
        let question = WhoOwns { partition: cx.partition.number };
        let answer = link::ask(seed, Body::WhoOwns(question), CALL_TIMEOUT).await;
        if let Some(Body::Owner(info)) = answer
            && cx.partition.note_owner_info(&info)
        {
            log::info!("owner.told epoch={} address={} by={seed}", info.epoch, info.address);
            return;
        }
    }
}

/// Returns the version of the owner row, unless it names an owner newer than `info`.
pub async fn unchanged_owner(cx: &Cx, info: &OwnerInfo) -> Option<Version> {
    match read_row(cx).await {
        Ok(row) => {
            cx.shared.record_store_answer();
            let row = row?;
            let owner = read_owner(&row)?.owner?;
            if owner.epoch > info.epoch {
                cx.partition.note_owner_info(&owner);
                return None;
            }
            Some(row.version)
        }
        Err(e) => {
            log::debug!("owner.read failed error=\"{e}\"");
            ask_seeds(cx).await;
            sleep(RETRY).await;
            None
        }
    }
}

/// Writes this process into the owner row. A writing without an answer shows when the row
/// is read next.
pub async fn take(cx: &Cx, rev: Version, epoch: u64, cause: &str) {
    let info = cx.as_owner(epoch);
    let tx = Transaction {
        expect: vec![ExpectedVersion { key: OWNER_KEY.to_owned(), version: rev }],
        put: takeover_rows(&info),
        remove: Vec::new(),
    };
    match cx.shared.store.transact(TABLE, &cx.partition.part, &tx, TAKE_TIMEOUT).await {
        Ok(TxOutcome::Committed(_)) => {
            cx.shared.record_store_answer();
            log::info!("owner.taken partition={} epoch={epoch} cause={cause}", cx.partition.number);
            cx.shared.metrics.takeovers.with_label_values(&[cause]).inc();
            cx.partition.note_owner_info(&info);
        }
        Ok(TxOutcome::Conflict(rows)) => {
            cx.shared.record_store_answer();
            let owner = rows.iter().filter_map(read_owner).find_map(|r| r.owner);
            if let Some(owner) = owner {
                cx.partition.note_owner_info(&owner);
            }
        }
        Err(e) => {
            log::info!("owner.take failed epoch={epoch} error=\"{e}\"");
            sleep(RETRY).await;
            find_owner_again(cx, epoch - 1).await;
        }
    }
}

/// Reads the owner row after a writing without an answer.
async fn find_owner_again(cx: &Cx, known: u64) {
    match read_row(cx).await {
        Ok(row) => {
            cx.shared.record_store_answer();
            let owner = row.as_ref().and_then(read_owner).and_then(|r| r.owner);
            if let Some(owner) = owner.filter(|o| o.epoch > known) {
                cx.partition.note_owner_info(&owner);
            }
        }
        Err(e) => log::debug!("owner.read failed error=\"{e}\""),
    }
}
