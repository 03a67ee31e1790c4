//! What a process knows of one partition: who owns it, and how the owner is reached.

use crate::assignment::process_order;
use crate::config_freshness::ConfigFreshness;
use crate::inbox::OwnerHandle;
use crate::relay::RemoteOwner;
use crate::shared::Shared;
use crate::takeover::Candidate;
use crate::wire::OwnerInfo;
use arc_swap::ArcSwap;
use hollowford_core::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::watch;
use tokio::time::timeout;

/// A reading of the clock that stands for never.
const NEVER: u64 = 0;

/// How the owner is reached now.
#[derive(Clone, Debug)]
pub enum Route {
    /// It is not, now.
    None,
    /// It is this process.
    Local(OwnerHandle),
    /// By a link.
    Remote(RemoteOwner),
}

/// What the process knows of one partition.
#[derive(Debug)]
pub struct Partition {
    /// Its number, from 0.
    pub number: u32,
    /// Its part of the system's table.
    pub part: String,
    /// The newest owner that is known.
    pub owner: watch::Sender<OwnerInfo>,
    /// How the owner is reached.
    pub route: watch::Sender<Route>,
    /// The newest epoch in which this process has owned it and no longer does; 0: none.
    released_epoch: AtomicU64,
    /// The owner wants to know whether the store answers this process.
    pub store_probe_wanted: AtomicBool,
    /// Reading of the clock when the owner was last within reach.
    last_owner_contact: AtomicU64,
    /// What the owner tells of the configuration.
    config_freshness: ArcSwap<ConfigFreshness>,
}

impl Partition {
    /// Makes a partition without a known owner.
    pub fn new(number: u32) -> Partition {
        Partition {
            number,
            part: number.to_string(),
            owner: watch::Sender::new(OwnerInfo::default()),
            route: watch::Sender::new(Route::None),
            released_epoch: AtomicU64::new(0),
            store_probe_wanted: AtomicBool::new(false),
            last_owner_contact: AtomicU64::new(NEVER),
            config_freshness: ArcSwap::default(),
        }
    }

    /// Returns what the owner's heartbeats have told of the configuration.
    pub fn config_freshness(&self) -> ConfigFreshness {
        **self.config_freshness.load()
    }

    /// Sets what they have told; only the task that follows the owner does.
    pub fn set_config_freshness(&self, told: ConfigFreshness) {
        self.config_freshness.store(Arc::new(told));
    }

    /// Takes note of an owner, if it is newer than the one that is known.
    pub fn record_owner(&self, info: &OwnerInfo) -> bool {
        self.owner.send_if_modified(|known| {
            let newer = info.epoch > known.epoch;
            if newer {
                *known = info.clone();
            }
            newer
        })
    }

    /// Takes note that this process doesn't own the partition at `epoch` any more.
    pub fn release(&self, epoch: u64) {
        self.released_epoch.fetch_max(epoch, Ordering::Relaxed);
    }

    /// Tells whether this process has owned the partition at `epoch` or later, and doesn't any
    /// more.
    pub fn has_released(&self, epoch: u64) -> bool {
        epoch <= self.released_epoch.load(Ordering::Relaxed)
    }

    /// Tells whether this process owns the partition.
    pub fn is_owned(&self) -> bool {
        matches!(*self.route.borrow(), Route::Local(_))
    }

    /// Takes note that the owner was within reach at `now`.
    pub fn record_owner_contact(&self, now: Millis) {
        self.last_owner_contact.store(now.0.max(NEVER + 1), Ordering::Relaxed);
    }

    /// Returns the time since the owner was within reach; the longest if it never was.
    pub fn owner_contact_age(&self, now: Millis) -> Millis {
        match self.last_owner_contact.load(Ordering::Relaxed) {
            NEVER => Millis::MAX,
            heard => now.since(Millis(heard)),
        }
    }
}

/// One partition, as a duty of the process sees it.
#[derive(Clone, Debug)]
pub struct PartitionContext {
    /// What all duties of the process share.
    pub shared: Arc<Shared>,
    /// The partition.
    pub partition: Arc<Partition>,
}

impl PartitionContext {
    /// Takes note that the owner was within reach.
    pub fn record_owner_contact(&self) {
        self.partition.record_owner_contact(self.shared.clock.now());
    }

    /// Waits so long for an owner newer than `epoch`. Tells whether there is one.
    pub async fn newer_owner_within(&self, epoch: u64, within: Millis) -> bool {
        let mut newest = self.partition.owner.subscribe();
        let newer = newest.wait_for(|o| o.epoch > epoch);
        timeout(within.duration(), newer).await.is_ok()
    }

    /// Returns what decides how long this process leaves the partition to others. Each process
    /// begins with another partition, and comes to the next ones in turn.
    pub fn candidate(&self) -> Candidate {
        let partitions = self.shared.partition_count().max(1);
        let begins_with = process_order(&self.shared.address().to_string(), 0);
        let slot = (begins_with + u64::from(self.partition.number)) % u64::from(partitions);
        Candidate {
            cpu_milli: self.shared.cpu_milli(),
            owned: self.shared.owned_count(),
            slot: slot as u32,
        }
    }

    /// Returns what this process is as an owner at `epoch`.
    pub fn owner_info(&self, epoch: u64) -> OwnerInfo {
        OwnerInfo {
            epoch,
            address: self.shared.address().to_string(),
            boot: self.shared.boot,
            partition: self.partition.number,
            cpu_milli: self.shared.cpu_milli(),
        }
    }
}
