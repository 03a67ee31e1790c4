//! Keys of a partition's rows and objects.

use hollowford_core::{Epoch, PartitionId};

/// What the keys of the owner rows start with, so that one scan reads them all.
pub(crate) const OWNER_PREFIX: &str = "owner/";

/// Row that names the owner; written at each renewal.
pub(crate) fn owner_key(p: PartitionId) -> String {
    format!("{OWNER_PREFIX}{:05}", p.0)
}

/// Row that holds the epoch; written at each takeover only, so that the ledger's
/// transactions can check it without meeting renewals.
pub(crate) fn epoch_key(p: PartitionId) -> String {
    format!("p/{:05}/epoch", p.0)
}

/// Row that points at the newest snapshot.
pub(crate) fn snapshot_key(p: PartitionId) -> String {
    format!("p/{:05}/snapshot", p.0)
}

/// What the keys of the ledger's rows start with.
pub(crate) fn ledger_prefix(p: PartitionId) -> String {
    format!("p/{:05}/ledger/", p.0)
}

/// One row of the ledger.
pub(crate) fn ledger_key(p: PartitionId, index: u64) -> String {
    format!("{}{index:016x}", ledger_prefix(p))
}

/// Object of a snapshot. No two owners write the same one.
pub(crate) fn snapshot_object(p: PartitionId, epoch: Epoch, index: u64) -> String {
    format!("snapshot/{:05}-{}-{index:016x}", p.0, epoch.0)
}
