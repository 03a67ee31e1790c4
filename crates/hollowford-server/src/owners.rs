//! The owners of the partitions, as known to this process.

use hollowford_core::{Epoch, PartitionId, hash64};
use hollowford_protocol::peer::OwnedPartition;
use std::sync::{RwLock, RwLockReadGuard};

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub process: String,
    pub epoch: Epoch,
}

#[derive(Debug)]
pub(crate) struct Owners {
    list: RwLock<Vec<Option<Owner>>>,
}

impl Owners {
    pub fn new(partitions: u32) -> Owners {
        Owners { list: RwLock::new(vec![None; partitions as usize]) }
    }

    fn read(&self) -> RwLockReadGuard<'_, Vec<Option<Owner>>> {
        self.list.read().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sets the owner of a partition. Ignores an owner with a lower epoch than the known one.
    pub fn set(&self, partition: PartitionId, owner: Option<Owner>) {
        let mut list = self.list.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        let current = &mut list[partition.0 as usize];
        let is_later = |new: &Owner, old: &Owner| new.epoch >= old.epoch;
        match (&owner, &current) {
            (Some(new), Some(old)) if !is_later(new, old) => {}
            _ => *current = owner,
        }
    }

    pub fn get(&self, partition: PartitionId) -> Option<Owner> {
        self.read().get(partition.0 as usize).cloned().flatten()
    }

    /// Returns the partitions that a process owns.
    pub fn owned_by(&self, process: &str) -> Vec<OwnedPartition> {
        let list = self.read();
        let owned = list.iter().zip(0..).filter_map(|(owner, partition)| {
            let owner = owner.as_ref().filter(|o| o.process == process)?;
            Some(OwnedPartition { partition, epoch: owner.epoch.0 })
        });
        owned.collect()
    }

    /// Records the partitions that a process reports as its own. Partitions outside this
    /// process's settings are ignored: the sender runs with other settings.
    pub fn record_owned(&self, process: &str, owned: &[OwnedPartition]) {
        let partitions = self.read().len() as u32;
        for o in owned.iter().filter(|o| o.partition < partitions) {
            let owner = Owner { process: process.to_owned(), epoch: Epoch(o.epoch) };
            self.set(PartitionId(o.partition), Some(owner));
        }
    }

    /// Returns the owners of all partitions, indexed by partition.
    pub fn all(&self) -> Vec<Option<Owner>> {
        self.read().clone()
    }
}

/// Returns the rank of `process` among the candidates for a partition, by rendezvous hashing.
/// Rank 0 is the first choice.
pub(crate) fn owner_rank(partition: PartitionId, process: &str, others: &[String]) -> usize {
    let weight = |p: &str| hash64(&["owner", &partition.to_string(), p]);
    let own_weight = weight(process);
    others.iter().filter(|p| p.as_str() != process && weight(p) > own_weight).count()
}
