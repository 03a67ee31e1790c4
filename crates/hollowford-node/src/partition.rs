//! What a process knows about one partition: its owner, and the route to it.

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

/// Clock reading that stands for "never".
const NEVER: u64 = 0;

/// The route to a partition's owner.
#[derive(Clone, Debug)]
pub enum Route {
    /// The owner can't be reached.
    None,
    /// The owner runs in this process.
    Local(OwnerHandle),
    /// The owner is reached over a link.
    Remote(RemoteOwner),
}

/// What the process knows about one partition.
#[derive(Debug)]
pub struct Partition {
    /// Number of the partition, from 0.
    pub number: u32,
    /// The partition's part of [`SYSTEM_TABLE`](crate::owner_row::SYSTEM_TABLE).
    pub part: String,
    /// The newest known owner.
    pub owner: watch::Sender<OwnerInfo>,
    /// The current route to the owner.
    pub route: watch::Sender<Route>,
    /// Newest epoch at which this process owned the partition and no longer does; 0 if there is
    /// none.
    released_epoch: AtomicU64,
    /// Whether the owner asks its members to probe the store.
    pub store_probe_wanted: AtomicBool,
    /// Clock reading of the last contact with the owner.
    last_owner_contact: AtomicU64,
    /// What the owner's heartbeats report about the configuration.
    config_freshness: ArcSwap<ConfigFreshness>,
}

impl Partition {
    /// Creates a partition without a known owner.
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

    /// Returns what the owner's heartbeats have reported about the configuration.
    pub fn config_freshness(&self) -> ConfigFreshness {
        **self.config_freshness.load()
    }

    /// Sets what the owner's heartbeats have reported. Only the task that follows the owner calls
    /// this.
    pub fn set_config_freshness(&self, freshness: ConfigFreshness) {
        self.config_freshness.store(Arc::new(freshness));
    }

    /// Records an owner if it is newer than the known one. Returns true if it is.
    pub fn record_owner(&self, info: &OwnerInfo) -> bool {
        self.owner.send_if_modified(|known| {
            let newer = info.epoch > known.epoch;
            if newer {
                *known = info.clone();
            }
            newer
        })
    }

    /// Records that this process no longer owns the partition at `epoch`.
    pub fn release(&self, epoch: u64) {
        self.released_epoch.fetch_max(epoch, Ordering::Relaxed);
    }

    /// Returns true if this process owned the partition at `epoch` or later and no longer does.
    pub fn has_released(&self, epoch: u64) -> bool {
        epoch <= self.released_epoch.load(Ordering::Relaxed)
    }

    /// Returns true if this process owns the partition.
    pub fn is_owned(&self) -> bool {
        matches!(*self.route.borrow(), Route::Local(_))
    }

    /// Records contact with the owner at `now`.
    pub fn record_owner_contact(&self, now: Millis) {
        self.last_owner_contact.store(now.0.max(NEVER + 1), Ordering::Relaxed);
    }

    /// Returns the time since the last contact with the owner; [`Millis::MAX`] if there was none.
    pub fn owner_contact_age(&self, now: Millis) -> Millis {
        match self.last_owner_contact.load(Ordering::Relaxed) {
            NEVER => Millis::MAX,
            contact_at => now.since(Millis(contact_at)),
        }
    }
}

/// One partition and the state shared by the process's tasks.
#[derive(Clone, Debug)]
pub struct PartitionContext {
    /// State shared by all tasks of the process.
    pub shared: Arc<Shared>,
    pub partition: Arc<Partition>,
}

impl PartitionContext {
    pub fn record_owner_contact(&self) {
        self.partition.record_owner_contact(self.shared.clock.now());
    }

    /// Waits up to `within` for an owner newer than `epoch`. Returns true if there is one.
    pub async fn newer_owner_within(&self, epoch: u64, within: Millis) -> bool {
        let mut newest = self.partition.owner.subscribe();
        let newer = newest.wait_for(|o| o.epoch > epoch);
        timeout(within.duration(), newer).await.is_ok()
    }

    /// Returns this process as a candidate for the partition. Processes start with different
    /// partitions and try the next ones in turn.
    pub fn candidate(&self) -> Candidate {
        let partitions = self.shared.partition_count().max(1);
        let first_slot = process_order(&self.shared.address().to_string(), 0);
        let slot = (first_slot + u64::from(self.partition.number)) % u64::from(partitions);
        Candidate {
            cpu_milli: self.shared.cpu_milli(),
            owned: self.shared.owned_count(),
            slot: slot as u32,
        }
    }

    /// Returns this process's description as the owner at `epoch`.
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
