//! Reads and writes the store row that names a partition's owner.

use crate::lane::takeover_rows;
use crate::link;
use crate::partition::PartitionContext;
use crate::wire::{Body, OwnerInfo, OwnerRow, RenewalTerms, WhoOwns};
use hollowford_adapter::{ExpectedVersion, Row, StoreError, Transaction, TxOutcome, Version};
use hollowford_core::Millis;
use prost::Message;
use std::time::Duration;
use tokio::time::sleep;

/// Store table with hollowford's own rows.
pub const SYSTEM_TABLE: &str = "hollowford";
/// Key of the owner row.
pub const OWNER_KEY: &str = "owner";
/// Time limit of a store call that reads or writes a few rows.
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit of the transaction that takes a partition over. A slow store takes 0.9 s. A
/// transaction that times out here may still be committed, which delays the other candidates.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed call.
pub const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Decodes an owner row. Logs an error and returns none if it is malformed.
pub fn decode_owner(row: &Row) -> Option<OwnerRow> {
    OwnerRow::decode(&row.value[..])
        .inspect_err(|e| log::error!("owner_row.malformed error=\"{e}\""))
        .ok()
}

/// The owner row as found by a process that may take over.
#[derive(Clone, Debug)]
pub struct FoundOwnerRow {
    pub version: Version,
    pub terms: RenewalTerms,
    /// Reading of the store's clock.
    pub store_now: Millis,
}

/// Reads the owner row; the inner option is `None` if the partition has never had an owner.
async fn read_owner_row(cx: &PartitionContext) -> Result<Option<Row>, StoreError> {
    read_owner_row_and_clock(cx).await.map(|(row, _)| row)
}

/// Does the same as [`read_owner_row`] and returns the reading of the store's clock, too.
async fn read_owner_row_and_clock(
    cx: &PartitionContext,
) -> Result<(Option<Row>, Millis), StoreError> {
    let read =
        cx.shared.store.read(SYSTEM_TABLE, &cx.partition.part, OWNER_KEY, STORE_CALL_TIMEOUT).await;
    match &read {
        Ok(_) => cx.shared.record_store_answer(),
        Err(e) => log::debug!("owner.read failed error=\"{e}\""),
    }
    read
}

/// Returns the owner that the owner row names. Returns `None` if the row can't be read.
pub async fn read_owner(cx: &PartitionContext) -> Option<OwnerInfo> {
    let row = read_owner_row(cx).await.ok()??;
    decode_owner(&row)?.owner
}

/// Looks for an owner newer than `known` in the store or, if the store doesn't answer, among the
/// seeds. Takes the partition over if it has never had an owner.
pub async fn find_owner(cx: &PartitionContext, known: u64) {
    match read_owner_row(cx).await {
        Ok(Some(row)) => {
            let owner = decode_owner(&row).and_then(|r| r.owner);
            if owner.is_none_or(|o| !cx.partition.record_owner(&o) && o.epoch <= known) {
                sleep(RETRY_PAUSE).await;
            }
        }
        Ok(None) => take_unowned(cx).await,
        Err(_) => {
            ask_seeds(cx).await;
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Takes over a partition that has never had an owner, unless another process does so before this
/// one's turn.
async fn take_unowned(cx: &PartitionContext) {
    let wait = cx.candidate().first_owner_delay();
    // This process may have become the owner of other partitions in the meantime.
    if cx.newer_owner_within(0, wait).await
        || cx.newer_owner_within(0, cx.candidate().first_owner_owned_partitions_delay()).await
    {
        return;
    }
    // Most processes find an owner here, without the cost of a write.
    match read_owner_row(cx).await {
        Ok(None) => {
            take_over(cx, 0, 1, "first", RenewalTerms::default()).await;
        }
        Ok(Some(row)) => {
            let owner = decode_owner(&row).and_then(|r| r.owner);
            if let Some(owner) = owner {
                cx.partition.record_owner(&owner);
            }
        }
        // Tried again with the next search for the owner.
        Err(_) => {}
    }
}

/// Asks the seeds who owns the partition.
async fn ask_seeds(cx: &PartitionContext) {
    for seed in cx.shared.other_seeds() {
        let request = WhoOwns { partition: cx.partition.number };
        let answer = link::request(seed, Body::WhoOwns(request), STORE_CALL_TIMEOUT).await;
        if let Some(Body::Owner(info)) = answer
            && cx.partition.record_owner(&info)
        {
            log::info!("owner.told epoch={} address={} by={seed}", info.epoch, info.address);
            return;
        }
    }
}

/// Returns the owner row. Returns `None` if the row can't be read, or names an owner newer than
/// `info`, which is then recorded.
pub async fn row_unless_newer(cx: &PartitionContext, info: &OwnerInfo) -> Option<FoundOwnerRow> {
    match read_owner_row_and_clock(cx).await {
        Ok((row, store_now)) => {
            let row = row?;
            let OwnerRow { owner, terms, .. } = decode_owner(&row)?;
            let owner = owner?;
            if owner.epoch > info.epoch {
                cx.partition.record_owner(&owner);
                return None;
            }
            let terms = terms.unwrap_or_default();
            Some(FoundOwnerRow { version: row.version, terms, store_now })
        }
        Err(_) => {
            ask_seeds(cx).await;
            sleep(RETRY_PAUSE).await;
            None
        }
    }
}

/// Writes this process into the owner row, with these terms, if the row's version is still `rev`.
/// If the store doesn't answer, the outcome shows when the row is next read.
pub async fn take_over(
    cx: &PartitionContext,
    rev: Version,
    epoch: u64,
    cause: &str,
    terms: RenewalTerms,
) {
    let info = cx.owner_info(epoch);
    let tx = Transaction {
        expect: vec![ExpectedVersion { key: OWNER_KEY.to_owned(), version: rev }],
        put: takeover_rows(&info, &terms),
        remove: Vec::new(),
    };
    match cx.shared.store.transact(SYSTEM_TABLE, &cx.partition.part, &tx, TAKEOVER_TIMEOUT).await {
        Ok(TxOutcome::Committed(_)) => {
            cx.shared.record_store_answer();
            log::info!("owner.taken partition={} epoch={epoch} cause={cause}", cx.partition.number);
            cx.shared.metrics.takeovers.with_label_values(&[cause]).inc();
            cx.partition.record_owner(&info);
        }
        Ok(TxOutcome::Conflict(rows)) => {
            cx.shared.record_store_answer();
            let owner = rows.iter().filter_map(decode_owner).find_map(|r| r.owner);
            if let Some(owner) = owner {
                cx.partition.record_owner(&owner);
            }
        }
        Err(e) => {
            log::info!("owner.take failed epoch={epoch} error=\"{e}\"");
            sleep(RETRY_PAUSE).await;
            reread_owner(cx, epoch - 1).await;
        }
    }
}

/// Reads the owner row after a write that was not answered.
async fn reread_owner(cx: &PartitionContext, known: u64) {
    if let Some(owner) = read_owner(cx).await.filter(|o| o.epoch > known) {
        cx.partition.record_owner(&owner);
    }
}
