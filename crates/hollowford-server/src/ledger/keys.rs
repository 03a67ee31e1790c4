//! Keys of a partition's rows and objects.

use hollowford_core::{Epoch, PartitionId};

/// Key prefix of all owner rows, so that one scan reads them all.
pub(crate) const OWNER_PREFIX: &str = "owner/";

/// Returns the key of the row that names the owner. The row is written at each renewal.
pub(crate) fn owner_key(p: PartitionId) -> String {
    format!("{OWNER_PREFIX}{:05}", p.0)
}

/// Returns the key of the row that holds the epoch. The row is written only at takeovers, so that
/// ledger transactions can check it without conflicting with lease renewals.
pub(crate) fn epoch_key(p: PartitionId) -> String {
    format!("p/{:05}/epoch", p.0)
}

/// Returns the key of the row that points to the newest snapshot.
pub(crate) fn snapshot_key(p: PartitionId) -> String {
    format!("p/{:05}/snapshot", p.0)
}

pub(crate) fn ledger_prefix(p: PartitionId) -> String {
    format!("p/{:05}/ledger/", p.0)
}

pub(crate) fn ledger_key(p: PartitionId, index: u64) -> String {
    format!("{}{index:016x}", ledger_prefix(p))
}

/// Returns the object key of a snapshot. It contains the epoch, so no two owners write the same
/// object.
pub(crate) fn snapshot_object(p: PartitionId, epoch: Epoch, index: u64) -> String {
    format!("snapshot/{:05}-{}-{index:016x}", p.0, epoch.0)
}
