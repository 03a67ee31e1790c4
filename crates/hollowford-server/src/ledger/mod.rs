//! The ledger of a partition: rows written by group commit, snapshots in the object store, and
//! recovery from both.

mod keys;
mod recover;
#[cfg(test)]
mod tests;
mod writer;

pub(crate) use keys::{OWNER_PREFIX, epoch_key, owner_key};
pub(crate) use recover::recover;
pub(crate) use writer::{LedgerHandle, LedgerItem, Writer, run};
