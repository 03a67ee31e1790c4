//! Tests that a process learns the owners of partitions from heartbeats.

use crate::owners::{Owner, Owners};
use hollowford_core::{Epoch, PartitionId};
use hollowford_protocol::peer::OwnedPartition;

fn owner(process: &str, epoch: u64) -> Owner {
    Owner { process: process.to_owned(), epoch: Epoch(epoch) }
}

/// Guards against a starting process that missed the announcement of a takeover and can't read
/// the owner rows, because the store is unavailable. It could not route calls to that partition
/// until the store was back.
#[test]
fn an_owner_is_learned_from_its_heartbeats() {
    let sender = Owners::new(2);
    sender.set(PartitionId(1), Some(owner("a", 3)));
    let receiver = Owners::new(2);
    receiver.record_owned("a", &sender.owned_by("a"));
    assert_eq!(receiver.all(), [None, Some(owner("a", 3))]);
    assert!(sender.owned_by("b").is_empty());
}

#[test]
fn a_heartbeat_of_an_earlier_owner_changes_nothing() {
    let receiver = Owners::new(1);
    receiver.set(PartitionId(0), Some(owner("b", 4)));
    receiver.record_owned("a", &[OwnedPartition { partition: 0, epoch: 3 }]);
    assert_eq!(receiver.get(PartitionId(0)), Some(owner("b", 4)));
}

#[test]
fn a_partition_outside_the_settings_is_ignored() {
    let receiver = Owners::new(1);
    receiver.record_owned("a", &[OwnedPartition { partition: 7, epoch: 3 }]);
    assert_eq!(receiver.all(), [None]);
}
