//! State that the threads of one process share.

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
use hollowford_connections::{Limits, Pool};
use hollowford_core::{Clock, Millis};
use hollowford_platform::rows::Instance;
use hollowford_platform::{Platform, StoreError};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{Notify, watch};

/// State of a process, shared by its threads.
#[derive(Debug)]
pub(crate) struct Shared {
    pub settings: Settings,
    pub clock: Clock,
    pub metrics: Metrics,
    /// Connections that others have opened to this process.
    pub connections: Arc<Pool>,
    /// The active configuration of the client accounts.
    pub accounts: ArcSwap<ActiveAccounts>,
    pub config_freshness: ConfigFreshness,
    /// Wakes the task that reads the configuration, when another process knows a newer one.
    pub config_changed: Notify,
    pub members: Members,
    pub owners: Owners,
    /// The owner rows, as last read.
    pub owner_rows: OwnerRows,
    pub no_takeover_promise: NoTakeoverPromise,
    pub owned_count: AtomicUsize,
    /// When this process last decided to hand a partition over to balance the load.
    pub rebalanced_at: Mutex<Millis>,
    /// Partitions whose release another process has announced.
    pub released: Mutex<Vec<u32>>,
    /// Counts the changes of the owner rows, and wakes the lease managers.
    pub owner_rows_changed: watch::Sender<u64>,
    /// The platform's instance list, as last read.
    pub instances: ArcSwap<Vec<Instance>>,
    /// Wakes the task that reads the instance list.
    pub instances_requested: Notify,
    pub decide: Ring<DecideMsg>,
    pub ledger: Ring<Writer>,
    pub peers: Ring<PeerMsg>,
    pub workers: Ring<WorkerMsg>,
    /// True once a stop was requested.
    pub stopping: watch::Sender<bool>,
    /// Set once all partitions were handed over at a planned stop.
    pub handed_over: AtomicBool,
    /// Number of calls of client accounts in progress.
    pub calls_open: AtomicUsize,
    /// Whether the store answered the last call about owner rows.
    pub store_available: AtomicBool,
    /// Address at which this process accepts peer links.
    pub peer_addr: Mutex<String>,
    stores: Mutex<Vec<Platform>>,
    next_id: AtomicU64,
}

// Capacities of the rings, in items.
const DECIDE_RING_CAPACITY: usize = 32_768;
const LEDGER_RING_CAPACITY: usize = 64;
const PEERS_RING_CAPACITY: usize = 8_192;
const WORKERS_RING_CAPACITY: usize = 8_192;

impl Shared {
    pub fn new(settings: Settings) -> Result<Arc<Shared>, prometheus::Error> {
        let clock = Clock::new();
        let limits = Limits::new(settings.limits.memory_mb, settings.limits.max_fds);
        Ok(Arc::new(Shared {
            clock,
            metrics: Metrics::new()?,
            connections: Pool::new(limits, clock),
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

    /// Creates a client of the platform for one thread. Its calls are included in
    /// [`Self::store_calls`].
    pub fn store(&self) -> Result<Platform, StoreError> {
        let p = &self.settings.platform;
        let store = Platform::new(&p.address.to_string(), p.timeout.duration())?;
        self.stores.lock().unwrap_or_else(PoisonError::into_inner).push(store.clone());
        Ok(store)
    }

    /// Returns the numbers of reads and writes that all threads have sent to the store.
    pub fn store_calls(&self) -> (u64, u64) {
        let stores = self.stores.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = |(r, w): (u64, u64), s: &Platform| (r + s.call_counts().0, w + s.call_counts().1);
        stores.iter().fold((0, 0), sum)
    }

    /// Returns a number that is unique in this process.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns the address at which this process accepts peer links.
    pub fn peer_addr(&self) -> String {
        self.peer_addr.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns true if the active configuration was confirmed recently enough to accept changes
    /// under it.
    pub fn is_config_fresh(&self) -> bool {
        let age = self.config_freshness.age(&self.clock);
        age.is_some_and(|age| age < self.settings.lease.config_fresh)
    }

    /// Returns the time until which all other processes have promised not to take over
    /// partitions, while the store doesn't answer this process. Zero means there is no such time.
    pub fn no_takeover_until(&self) -> Millis {
        if self.store_available.load(Ordering::Acquire) {
            return Millis(0);
        }
        let if_alone = self.clock.now() + self.settings.lease.promise;
        self.members.no_takeover_until(self.accounts.load().head, if_alone)
    }

    /// Returns true if the active configuration may be used: either it was confirmed recently,
    /// or no process can reach the store, so that no change of it can be accepted.
    pub fn is_config_usable(&self) -> bool {
        self.is_config_fresh() || self.no_takeover_until() > self.clock.now()
    }

    /// Records that another process has released a partition, and wakes the lease managers.
    pub fn record_released(&self, partition: u32) {
        self.released.lock().unwrap_or_else(PoisonError::into_inner).push(partition);
        self.owner_rows_changed.send_modify(|n| *n += 1);
    }

    /// Removes the record of a released partition. Returns true if there was one.
    pub fn take_released(&self, partition: u32) -> bool {
        let mut released = self.released.lock().unwrap_or_else(PoisonError::into_inner);
        let count_before = released.len();
        released.retain(|p| *p != partition);
        released.len() < count_before
    }
}
