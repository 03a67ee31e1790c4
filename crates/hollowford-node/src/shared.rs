//! What the duties of a process share.

use crate::assignment::{partition_of_account, partition_of_job};
use crate::members::KnownConfig;
use crate::metrics::Metrics;
use crate::partition::Partition;
use crate::wire::ConfigRow;
use crate::worker_changes::WorkerChanges;
use arc_swap::ArcSwapOption;
use hollowford_adapter::{AdviceClient, Config, NodeSettings, StoreClient, WorkerClient};
use hollowford_core::{Clock, Millis};
use hollowford_jobs::{JobId, NO_ACCOUNT};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use tokio::sync::{Notify, broadcast, watch};

/// Changes of the list of workers that wait to be taken in; an owner that is further behind reads
/// the list itself.
const WORKER_CHANGES: usize = 16;

/// Calls to the store that have failed for so long are an outage: what an owner had to write meanwhile
/// may be lost with it.
const LEAST_OUTAGE: Millis = Millis(500);

/// Shared by all duties of a process.
#[derive(Debug)]
pub struct Shared {
    /// The settings that it was started with.
    pub settings: NodeSettings,
    /// Its clock.
    pub clock: Clock,
    /// Tells this life of the process from others at its address.
    pub boot: u64,
    /// Client of the store.
    pub store: StoreClient,
    /// Client of the service for advice.
    pub advice: Option<AdviceClient>,
    /// Client of the workers, without a fence.
    pub workers: WorkerClient,
    /// The newest configuration.
    pub config: ArcSwapOption<Config>,
    /// The row that the configuration was read from last.
    config_row: ArcSwapOption<ConfigRow>,
    /// Asks the watch to read the configuration at once.
    pub config_wanted: Notify,
    /// The partitions, once their number is known.
    partitions: OnceLock<Vec<Arc<Partition>>>,
    /// Told when the settings file has been read again.
    pub settings_changed: watch::Sender<NodeSettings>,
    /// The process is about to stop.
    pub stopping: AtomicBool,
    /// Callers' requests that are not answered yet.
    pub open_calls: AtomicUsize,
    /// Reading of the clock when the store answered last.
    store_answered: AtomicU64,
    /// Reading of the clock when a call to the store failed last.
    store_failed: AtomicU64,
    /// Reading of the clock when calls to the store began to fail last.
    store_failing: AtomicU64,
    /// Reading of the clock when the last outage of the store was over; 0: there was none.
    outage_over: AtomicU64,
    /// Reading of the clock when this process read the configuration last.
    config_read: AtomicU64,
    /// Changes of the list of workers that the owner of another partition has told.
    pub worker_changes: broadcast::Sender<Arc<WorkerChanges>>,
    /// Its metrics.
    pub metrics: Metrics,
}

impl Shared {
    /// Puts the parts together.
    pub fn new(
        settings: NodeSettings,
        store: StoreClient,
        advice: Option<AdviceClient>,
        workers: WorkerClient,
        metrics: Metrics,
    ) -> Shared {
        Shared {
            settings_changed: watch::Sender::new(settings.clone()),
            settings,
            clock: Clock::new(),
            boot: fastrand::u64(1..),
            store,
            advice,
            workers,
            config: ArcSwapOption::empty(),
            config_row: ArcSwapOption::empty(),
            config_wanted: Notify::new(),
            partitions: OnceLock::new(),
            stopping: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            store_answered: AtomicU64::new(0),
            store_failed: AtomicU64::new(0),
            store_failing: AtomicU64::new(0),
            outage_over: AtomicU64::new(0),
            config_read: AtomicU64::new(0),
            worker_changes: broadcast::Sender::new(WORKER_CHANGES),
            metrics,
        }
    }

    /// Returns the thousandths of a core that the process gets.
    pub fn cpu_milli(&self) -> u32 {
        (self.settings.cpu_share * 1_000.0) as u32
    }

    /// Returns the address between processes.
    pub fn address(&self) -> SocketAddr {
        self.settings.addresses.peers
    }

    /// Returns the processes to ask while the store is away.
    pub fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.address();
        self.settings.seeds.iter().copied().filter(move |&seed| seed != own)
    }

    /// Tells whether the process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Takes note that the store has answered.
    pub fn note_store(&self) {
        let now = self.clock.now();
        if self.is_store_failing() {
            let failing = Millis(self.store_failing.load(Ordering::Relaxed));
            if now.since(failing) >= LEAST_OUTAGE {
                self.outage_over.store(now.0, Ordering::Relaxed);
            }
        }
        self.store_answered.store(now.0, Ordering::Relaxed);
    }

    /// Tells whether the last call to the store has failed.
    fn is_store_failing(&self) -> bool {
        self.store_failed.load(Ordering::Relaxed) > self.store_answered.load(Ordering::Relaxed)
    }

    /// Takes note that a call to the store has failed.
    pub fn note_store_failure(&self) {
        let now = self.clock.now().0;
        if !self.is_store_failing() {
            self.store_failing.store(now, Ordering::Relaxed);
        }
        self.store_failed.store(now, Ordering::Relaxed);
    }

    /// Tells whether the store has failed this process for `at_least`, up to its last call.
    pub fn store_away(&self, at_least: Millis) -> bool {
        self.is_store_failing() && self.store_age() >= at_least
    }

    /// Tells whether an outage of the store was over within this time. Single calls that fail are none: who
    /// made them makes them again.
    pub fn had_outage_within(&self, span: Millis) -> bool {
        let over = self.outage_over.load(Ordering::Relaxed);
        over > 0 && self.clock.now().since(Millis(over)) < span
    }

    /// Returns the time since the store answered.
    pub fn store_age(&self) -> Millis {
        self.clock.now().since(Millis(self.store_answered.load(Ordering::Relaxed)))
    }

    /// Sets how many partitions there are. The first call counts.
    pub fn set_partitions(&self, count: u32) {
        self.partitions.get_or_init(|| (0..count).map(|n| Arc::new(Partition::new(n))).collect());
    }

    /// Returns the partitions; none before their number is known.
    pub fn partitions(&self) -> &[Arc<Partition>] {
        self.partitions.get().map_or(&[], Vec::as_slice)
    }

    /// Returns how many partitions there are; 0: not known yet.
    pub fn partition_count(&self) -> u32 {
        self.partitions().len() as u32
    }

    /// Returns the partition of a job of a client account, once the number of partitions is known.
    pub fn partition_of(&self, account: &str, job: JobId) -> Option<&Arc<Partition>> {
        let partitions = self.partition_count();
        let home = match account {
            NO_ACCOUNT => partition_of_job(job, partitions),
            account => partition_of_account(account, partitions),
        };
        self.partitions().get(home as usize)
    }

    /// Returns the longest time that the owner of a partition was not within reach.
    pub fn owners_age(&self) -> Millis {
        let now = self.clock.now();
        let ages = self.partitions().iter().map(|p| p.owner_contact_age(now));
        ages.max().unwrap_or(Millis::MAX)
    }

    /// Returns how many partitions this process owns.
    pub fn owned_count(&self) -> u32 {
        self.partitions().iter().filter(|p| p.is_owned()).count() as u32
    }

    /// Takes note that this process has read the configuration.
    pub fn note_config_read(&self) {
        self.config_read.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Returns the time since this process read the configuration, counted from its start before
    /// it first has.
    pub fn config_age(&self) -> Millis {
        self.clock.now().since(Millis(self.config_read.load(Ordering::Relaxed)))
    }

    /// Returns what this process knows of the configuration.
    pub fn config_known(&self) -> KnownConfig {
        KnownConfig { version: self.config_version(), age: self.config_age() }
    }

    /// Tells whether an owner vouches for the configuration that this process knows. Owners read
    /// it themselves.
    pub fn config_is_told(&self) -> bool {
        let now = self.clock.now();
        self.config_version() > 0
            && self.owned_count() == 0
            && self.partitions().iter().any(|p| p.config_freshness().is_current(now))
    }

    /// Tells whether this process knows that there is a newer configuration than its own.
    pub fn config_is_behind(&self) -> bool {
        self.partitions().iter().any(|p| p.config_freshness().is_behind())
    }

    /// Tells whether a row of the configuration is newer than what was read before.
    pub fn is_new_config_row(&self, version: u64) -> bool {
        self.config_row.load().as_ref().is_none_or(|r| r.row_version < version)
    }

    /// Returns the row that the configuration was read from last.
    pub fn config_row(&self) -> Option<Arc<ConfigRow>> {
        self.config_row.load_full()
    }

    /// Returns the version of the configuration that is known; 0: none.
    pub fn config_version(&self) -> u64 {
        self.config.load().as_ref().map_or(0, |c| c.version)
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn take_config(&self, config: Config, row: ConfigRow) -> bool {
        self.config_row.store(Some(Arc::new(row)));
        if config.version <= self.config_version() {
            return false;
        }
        self.config.store(Some(Arc::new(config)));
        true
    }
}
