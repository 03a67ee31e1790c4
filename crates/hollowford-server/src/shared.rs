//! What the duties of one process share.

use crate::accounts::{ActiveAccounts, ConfigFreshness};
use crate::decide::DecideMsg;
use crate::ledger::Writer;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::owners::Owners;
use crate::ownership::{NoTakeoverPromise, OwnerRows};
use crate::peers::PeerMsg;
use crate::ring::Ring;
use crate::workers::WorkerMsg;
use arc_swap::ArcSwap;
use hollowford_config::Settings;
use hollowford_core::{Clock, Millis};
use hollowford_platform::rows::Instance;
use hollowford_platform::{Platform, StoreError};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{Notify, watch};

/// Long-lived state of a process.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub clock: Clock,
    pub metrics: Metrics,
    /// The configuration in force.
    pub accounts: ArcSwap<ActiveAccounts>,
    pub config_freshness: ConfigFreshness,
    /// Wakes the watch of the configuration.
    pub config_changed: Notify,
    pub members: Members,
    pub owners: Owners,
    /// The owner rows as last read.
    pub owner_rows: OwnerRows,
    /// Promises not to take over.
    pub no_takeover_promise: NoTakeoverPromise,
    /// Number of partitions that this process owns now.
    pub owned_count: AtomicUsize,
    /// When this process last handed a partition over to even the load.
    pub rebalanced_at: Mutex<Millis>,
    /// Partitions that were released and may be taken at once.
    pub released: Mutex<Vec<u32>>,
    pub owner_rows_changed: watch::Sender<u64>,
    /// The platform's instance list, as last read.
    pub instances: ArcSwap<Vec<Instance>>,
    /// Wakes the watch of the instance list.
    pub instances_requested: Notify,
    pub decide: Ring<DecideMsg>,
    pub ledger: Ring<Writer>,
    pub peers: Ring<PeerMsg>,
    pub workers: Ring<WorkerMsg>,
    /// Set once the process is to stop.
    pub stopping: watch::Sender<bool>,
    /// Set once the partitions are handed over at a stop.
    pub handed_over: AtomicBool,
    /// Calls of callers that are being answered.
    pub calls_open: AtomicUsize,
    /// Whether the store answered the last call of the watch duty.
    pub store_available: AtomicBool,
    /// Where this process takes peer links.
    pub peer_addr: Mutex<String>,
    stores: Mutex<Vec<Platform>>,
    next_id: AtomicU64,
}

/// Items that each ring may hold.
const DECIDE_RING_CAPACITY: usize = 32_768;
const LEDGER_RING_CAPACITY: usize = 64;
const PEERS_RING_CAPACITY: usize = 8_192;
const WORKERS_RING_CAPACITY: usize = 8_192;

impl Shared {
    pub fn new(settings: Settings) -> Result<Arc<Shared>, prometheus::Error> {
        Ok(Arc::new(Shared {
            clock: Clock::new(),
            metrics: Metrics::new()?,
            accounts: ArcSwap::default(),
            config_freshness: ConfigFreshness::default(),
            config_changed: Notify::new(),
            members: Members::default(),
            owners: Owners::new(settings.partitions),
            released: Mutex::default(),
            owner_rows_changed: watch::Sender::new(0),
            instances: ArcSwap::default(),
            instances_requested: Notify::new(),
            ledger: Ring::new(LEDGER_RING_CAPACITY),
            owner_rows: OwnerRows::default(),
            no_takeover_promise: NoTakeoverPromise::default(),
            owned_count: AtomicUsize::new(0),
            rebalanced_at: Mutex::default(),
            decide: Ring::new(DECIDE_RING_CAPACITY),
            peers: Ring::new(PEERS_RING_CAPACITY),
            workers: Ring::new(WORKERS_RING_CAPACITY),
            stopping: watch::Sender::new(false),
            handed_over: AtomicBool::new(false),
            calls_open: AtomicUsize::new(0),
            store_available: AtomicBool::new(true),
            peer_addr: Mutex::default(),
            stores: Mutex::default(),
            next_id: AtomicU64::new(1),
            settings,
        }))
    }

    /// Makes a client of the platform for one duty, whose calls are counted.
    pub fn store(&self) -> Result<Platform, StoreError> {
        let p = &self.settings.platform;
        let store = Platform::new(&p.address.to_string(), p.timeout.duration())?;
        self.stores.lock().unwrap_or_else(PoisonError::into_inner).push(store.clone());
        Ok(store)
    }

    /// Returns the reads and writes sent to the store by all duties.
    pub fn store_calls(&self) -> (u64, u64) {
        let stores = self.stores.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = |(r, w): (u64, u64), s: &Platform| (r + s.calls().0, w + s.calls().1);
        stores.iter().fold((0, 0), sum)
    }

    /// Returns a number that this process has not used before.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells whether the process is to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns where this process takes peer links.
    pub fn peer_addr(&self) -> String {
        self.peer_addr.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Tells whether the configuration in force was confirmed recently enough to
    /// decide by it.
    pub fn is_config_fresh(&self) -> bool {
        let age = self.config_freshness.age(&self.clock);
        age.is_some_and(|age| age < self.settings.lease.config_fresh)
    }

    /// Returns until when every other process has promised not to take over, while
    /// the store does not answer this one; zero: that is not known.
    pub fn no_takeover_until(&self) -> Millis {
        if self.store_available.load(Ordering::Acquire) {
            return Millis(0);
        }
        let if_alone = self.clock.now() + self.settings.lease.promise;
        self.members.no_takeover_until(self.accounts.load().head, if_alone)
    }

    /// Tells whether the configuration in force may be decided by: it was confirmed
    /// recently, or the store answers no one, so that no change can be accepted.
    pub fn is_config_usable(&self) -> bool {
        self.is_config_fresh() || self.no_takeover_until() > self.clock.now()
    }

    /// Notes a partition that may be taken at once.
    pub fn record_released(&self, partition: u32) {
        self.released.lock().unwrap_or_else(PoisonError::into_inner).push(partition);
        self.owner_rows_changed.send_modify(|n| *n += 1);
    }

    /// Takes the note of a released partition.
    pub fn take_released(&self, partition: u32) -> bool {
        let mut released = self.released.lock().unwrap_or_else(PoisonError::into_inner);
        let count_before = released.len();
        released.retain(|p| *p != partition);
        released.len() < count_before
    }
}
