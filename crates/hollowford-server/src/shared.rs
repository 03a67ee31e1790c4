//! What the duties of one process share.

use crate::accounts::{AccountsInForce, Freshness};
use crate::decide::DecideMsg;
use crate::ledger::Writer;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::owners::Owners;
use crate::ownership::{Board, Standstill};
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
    pub accounts: ArcSwap<AccountsInForce>,
    pub freshness: Freshness,
    /// Wakes the watch of the configuration.
    pub config_news: Notify,
    pub members: Members,
    pub owners: Owners,
    /// The owner rows as last read.
    pub board: Board,
    /// Promises not to take over.
    pub standstill: Standstill,
    /// Number of partitions that this process owns now.
    pub owned: AtomicUsize,
    /// When this process last handed a partition over to even the load.
    pub evened_at: Mutex<Millis>,
    /// Partitions that were released and may be taken at once.
    pub released: Mutex<Vec<u32>>,
    pub owner_news: watch::Sender<u64>,
    /// The platform's instance list, as last read.
    pub instances: ArcSwap<Vec<Instance>>,
    /// Wakes the watch of the instance list.
    pub instances_wanted: Notify,
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
    pub store_answers: AtomicBool,
    /// Where this process takes peer links.
    pub peer_addr: Mutex<String>,
    stores: Mutex<Vec<Platform>>,
    next_id: AtomicU64,
}

/// Items that each ring may hold.
const DECIDE_BOUND: usize = 32_768;
const LEDGER_BOUND: usize = 64;
const PEERS_BOUND: usize = 8_192;
const WORKERS_BOUND: usize = 8_192;

impl Shared {
    pub fn new(settings: Settings) -> Result<Arc<Shared>, prometheus::Error> {
        Ok(Arc::new(Shared {
            clock: Clock::new(),
            metrics: Metrics::new()?,
            accounts: ArcSwap::default(),
            freshness: Freshness::default(),
            config_news: Notify::new(),
            members: Members::default(),
            owners: Owners::new(settings.partitions),
            released: Mutex::default(),
            owner_news: watch::Sender::new(0),
            instances: ArcSwap::default(),
            instances_wanted: Notify::new(),
            ledger: Ring::new(LEDGER_BOUND),
            board: Board::default(),
            standstill: Standstill::default(),
            owned: AtomicUsize::new(0),
            evened_at: Mutex::default(),
            decide: Ring::new(DECIDE_BOUND),
            peers: Ring::new(PEERS_BOUND),
            workers: Ring::new(WORKERS_BOUND),
            stopping: watch::Sender::new(false),
            handed_over: AtomicBool::new(false),
            calls_open: AtomicUsize::new(0),
            store_answers: AtomicBool::new(true),
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
        let sum = |(r, w): (u64, u64), s: &Platform| (r + s.call_counts().0, w + s.call_counts().1);
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
    pub fn config_is_fresh(&self) -> bool {
        let age = self.freshness.age(&self.clock);
        age.is_some_and(|age| age < self.settings.lease.config_fresh)
    }

    /// Returns until when every other process has promised not to take over, while
    /// the store does not answer this one; zero: that is not known.
    pub fn promised_until(&self) -> Millis {
        if self.store_answers.load(Ordering::Acquire) {
            return Millis(0);
        }
        let alone = self.clock.now() + self.settings.lease.promise;
        self.members.promised_until(self.accounts.load().head, alone)
    }

    /// Tells whether the configuration in force may be decided by: it was confirmed
    /// recently, or the store answers no one, so that no change can be accepted.
    pub fn config_stands(&self) -> bool {
        self.config_is_fresh() || self.promised_until() > self.clock.now()
    }

    /// Notes a partition that may be taken at once.
    pub fn note_released(&self, partition: u32) {
        self.released.lock().unwrap_or_else(PoisonError::into_inner).push(partition);
        self.owner_news.send_modify(|n| *n += 1);
    }

    /// Takes the note of a released partition.
    pub fn take_released(&self, partition: u32) -> bool {
        let mut released = self.released.lock().unwrap_or_else(PoisonError::into_inner);
        let before = released.len();
        released.retain(|p| *p != partition);
        released.len() < before
    }
}
