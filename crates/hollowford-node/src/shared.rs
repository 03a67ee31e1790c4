//! State shared by the tasks of a process.

use crate::assignment::{partition_of_account, partition_of_job};
use crate::members::KnownConfig;
use crate::metrics::Metrics;
use crate::partition::Partition;
use crate::wire::ConfigRow;
use crate::worker_changes::WorkerChanges;
use arc_swap::ArcSwapOption;
use hollowford_adapter::{AdviceClient, Config, NodeSettings, StoreClient, WorkerClient};
use hollowford_connections::{HttpLimits, Limits, Pool};
use hollowford_core::{Clock, Millis};
use hollowford_jobs::{JobId, NO_ACCOUNT};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use tokio::sync::{Notify, broadcast, watch};

/// Maximum number of unprocessed changes of the list of workers. An owner that falls further behind
/// reads the whole list.
const WORKER_CHANGES_CAPACITY: usize = 16;

/// Minimum duration of failing store calls that counts as an outage. Changes that an owner could
/// not write during an outage may be lost with the owner.
const MIN_OUTAGE: Millis = Millis(500);

/// A store call that fails within this time was rejected: refused, reset or not connected. A slow or
/// silent store causes timeouts, which are longer.
const MAX_REJECTION_TIME: Millis = Millis(200);
/// Rejections stop counting when none has followed for this long. The configuration is polled every
/// 200 ms while the store fails.
const REJECTION_MEMORY: Millis = Millis(500);

/// State shared by all tasks of a process.
#[derive(Debug)]
pub struct Shared {
    /// The settings at the start of the process.
    pub settings: NodeSettings,
    pub clock: Clock,
    /// Random id of this process, which distinguishes it from others at the same address.
    pub boot: u64,
    pub store: StoreClient,
    /// Client of the advice service, if one is configured.
    pub advice: Option<AdviceClient>,
    /// Client of the workers, without a fence.
    pub workers: WorkerClient,
    /// The newest configuration.
    pub config: ArcSwapOption<Config>,
    /// The row from which the configuration was last read.
    config_row: ArcSwapOption<ConfigRow>,
    /// Version of the last row that was not a configuration, or 0 if there was none.
    malformed_config_row: AtomicU64,
    /// Wakes the task that reads the configuration.
    pub config_wanted: Notify,
    /// The partitions, once their number is known.
    partitions: OnceLock<Vec<Arc<Partition>>>,
    /// Publishes the settings whenever the settings file has changed.
    pub settings_changed: watch::Sender<NodeSettings>,
    /// Whether the process is about to stop.
    pub stopping: AtomicBool,
    /// Connections that others have opened to this process.
    pub connections: Arc<Pool>,
    /// Number of callers' requests that are not answered yet.
    pub open_calls: AtomicUsize,
    /// Process time of the store's last answer, in milliseconds.
    store_answered_at: AtomicU64,
    /// Process time of the last failed store call, in milliseconds.
    store_failed_at: AtomicU64,
    /// Process time of the first failed store call since the last answer, in milliseconds.
    store_failing_since: AtomicU64,
    /// Process time of the first rejected store call since the last answer, in milliseconds, or 0 if
    /// there was none.
    store_rejecting_since: AtomicU64,
    /// Process time of the last rejected store call, in milliseconds.
    store_rejected_at: AtomicU64,
    /// Process time of the end of the last store outage, in milliseconds, or 0 if there was none.
    outage_ended_at: AtomicU64,
    /// Process time of the last read of the configuration, in milliseconds.
    config_read_at: AtomicU64,
    /// Changes of the list of workers sent by the owner of another partition.
    pub worker_changes: broadcast::Sender<Arc<WorkerChanges>>,
    pub metrics: Metrics,
}

impl Shared {
    /// Creates the state of a process that has just started.
    pub fn new(
        settings: NodeSettings,
        store: StoreClient,
        advice: Option<AdviceClient>,
        workers: WorkerClient,
        metrics: Metrics,
    ) -> Shared {
        let clock = Clock::new();
        let limits = Limits::new(settings.memory_mb, settings.max_fds);
        Shared {
            settings_changed: watch::Sender::new(settings.clone()),
            settings,
            clock,
            connections: Pool::new(limits, clock),
            boot: fastrand::u64(1..),
            store,
            advice,
            workers,
            config: ArcSwapOption::empty(),
            config_row: ArcSwapOption::empty(),
            malformed_config_row: AtomicU64::new(0),
            config_wanted: Notify::new(),
            partitions: OnceLock::new(),
            stopping: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            store_answered_at: AtomicU64::new(0),
            store_failed_at: AtomicU64::new(0),
            store_failing_since: AtomicU64::new(0),
            store_rejecting_since: AtomicU64::new(0),
            store_rejected_at: AtomicU64::new(0),
            outage_ended_at: AtomicU64::new(0),
            config_read_at: AtomicU64::new(0),
            worker_changes: broadcast::Sender::new(WORKER_CHANGES_CAPACITY),
            metrics,
        }
    }

    /// Returns the CPU share of the process, in thousandths of a core.
    pub fn cpu_milli(&self) -> u32 {
        (self.settings.cpu_share * 1_000.0) as u32
    }

    /// Returns the limits on requests that the configuration in force names.
    pub fn http_limits(&self) -> HttpLimits {
        let limits = self.config.load().as_ref().map(|c| c.limits).unwrap_or_default();
        HttpLimits {
            max_head_bytes: limits.max_head_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }

    /// Returns the address for links from other processes.
    pub fn address(&self) -> SocketAddr {
        self.settings.addresses.peers
    }

    /// Returns the processes to ask while the store is unavailable.
    pub fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.address();
        self.settings.seeds.iter().copied().filter(move |&seed| seed != own)
    }

    /// Returns true if the process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Records an answer of the store. The end of a failure of at least [`MIN_OUTAGE`] is recorded
    /// as the end of an outage.
    pub fn record_store_answer(&self) {
        let now = self.clock.now();
        if self.is_store_failing() {
            let failing_since = Millis(self.store_failing_since.load(Ordering::Relaxed));
            if now.since(failing_since) >= MIN_OUTAGE {
                self.outage_ended_at.store(now.0, Ordering::Relaxed);
            }
        }
        self.store_rejecting_since.store(0, Ordering::Relaxed);
        self.store_answered_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns true if the last store call failed.
    fn is_store_failing(&self) -> bool {
        self.store_failed_at.load(Ordering::Relaxed)
            > self.store_answered_at.load(Ordering::Relaxed)
    }

    /// Records a store call that failed after `took`.
    pub fn record_store_failure(&self, took: Millis) {
        let now = self.clock.now().0;
        if took <= MAX_REJECTION_TIME {
            let is_first = self.store_rejecting_since.load(Ordering::Relaxed) == 0;
            if is_first {
                self.store_rejecting_since.store(now.max(1), Ordering::Relaxed);
            }
            self.store_rejected_at.store(now, Ordering::Relaxed);
        }
        if !self.is_store_failing() {
            self.store_failing_since.store(now, Ordering::Relaxed);
        }
        self.store_failed_at.store(now, Ordering::Relaxed);
    }

    /// Returns true if the last store call failed and the store has not answered for `at_least`.
    pub fn is_store_unavailable(&self, at_least: Millis) -> bool {
        self.is_store_failing() && self.store_age() >= at_least
    }

    /// Returns since when the store has rejected this process's calls without answering any; `None`
    /// if it doesn't reject them now.
    pub fn store_rejecting_since(&self) -> Option<Millis> {
        let since = Millis(self.store_rejecting_since.load(Ordering::Relaxed));
        let last = Millis(self.store_rejected_at.load(Ordering::Relaxed));
        let recent = self.clock.now().since(last) <= REJECTION_MEMORY;
        (since > Millis(0) && recent).then_some(since)
    }

    /// Returns true if the store has rejected this process's calls for `at_least` and answered none.
    pub fn is_store_rejecting(&self, at_least: Millis) -> bool {
        self.store_rejecting_since().is_some_and(|since| self.clock.now().since(since) >= at_least)
    }

    /// Returns true if a store outage ended within the last `span`. Single failed calls don't count
    /// because they are repeated.
    pub fn had_outage_within(&self, span: Millis) -> bool {
        let ended_at = self.outage_ended_at.load(Ordering::Relaxed);
        ended_at > 0 && self.clock.now().since(Millis(ended_at)) < span
    }

    /// Returns the time since the store's last answer.
    pub fn store_age(&self) -> Millis {
        self.clock.now().since(Millis(self.store_answered_at.load(Ordering::Relaxed)))
    }

    /// Sets the number of partitions. Calls after the first have no effect.
    pub fn set_partitions(&self, count: u32) {
        self.partitions.get_or_init(|| (0..count).map(|n| Arc::new(Partition::new(n))).collect());
    }

    /// Returns the partitions. Empty until their number is known.
    pub fn partitions(&self) -> &[Arc<Partition>] {
        self.partitions.get().map_or(&[], Vec::as_slice)
    }

    /// Returns the number of partitions, or 0 if it isn't known yet.
    pub fn partition_count(&self) -> u32 {
        self.partitions().len() as u32
    }

    /// Returns the partition of a client account's job, or `None` until the number of partitions is
    /// known.
    pub fn partition_of(&self, account: &str, job: JobId) -> Option<&Arc<Partition>> {
        let partitions = self.partition_count();
        let assigned = match account {
            NO_ACCOUNT => partition_of_job(job, partitions),
            account => partition_of_account(account, partitions),
        };
        self.partitions().get(assigned as usize)
    }

    /// Returns the longest time since any partition's owner was reached.
    pub fn max_owner_contact_age(&self) -> Millis {
        let now = self.clock.now();
        let ages = self.partitions().iter().map(|p| p.owner_contact_age(now));
        ages.max().unwrap_or(Millis::MAX)
    }

    /// Returns the number of partitions that this process owns.
    pub fn owned_count(&self) -> u32 {
        self.partitions().iter().filter(|p| p.is_owned()).count() as u32
    }

    /// Records that this process has read the configuration.
    pub fn record_config_read(&self) {
        self.config_read_at.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Returns the time since this process read the configuration, or since its start if it has
    /// not.
    pub fn config_age(&self) -> Millis {
        self.clock.now().since(Millis(self.config_read_at.load(Ordering::Relaxed)))
    }

    /// Returns the version and age of the configuration that this process knows.
    pub fn known_config(&self) -> KnownConfig {
        KnownConfig { version: self.config_version(), age: self.config_age() }
    }

    /// Returns true if an owner's heartbeats confirm that the known configuration is current.
    /// Always false if this process owns a partition, since owners read the configuration
    /// themselves.
    pub fn is_config_confirmed(&self) -> bool {
        let now = self.clock.now();
        self.config_version() > 0
            && self.owned_count() == 0
            && self.partitions().iter().any(|p| p.config_freshness().is_current(now))
    }

    /// Returns true if this process knows that a newer configuration exists.
    pub fn config_is_behind(&self) -> bool {
        self.partitions().iter().any(|p| p.config_freshness().is_behind())
    }

    /// Returns true if a configuration row of this version is newer than the last one read.
    pub fn is_new_config_row(&self, version: u64) -> bool {
        self.config_row.load().as_ref().is_none_or(|r| r.row_version < version)
    }

    /// Records that the row of this version is not a configuration. Returns false if it is the one
    /// that was last recorded.
    pub fn is_newly_malformed_config(&self, row_version: u64) -> bool {
        self.malformed_config_row.swap(row_version, Ordering::Relaxed) != row_version
    }

    /// Returns the row from which the configuration was last read, or `None` if none was read.
    pub fn config_row(&self) -> Option<Arc<ConfigRow>> {
        self.config_row.load_full()
    }

    /// Returns the version of the known configuration, or 0 if none is known.
    pub fn config_version(&self) -> u64 {
        self.config.load().as_ref().map_or(0, |c| c.version)
    }

    /// Puts a configuration in force. Returns false if the known one is at least as new.
    pub fn apply_config(&self, config: Config, row: ConfigRow) -> bool {
        self.config_row.store(Some(Arc::new(row)));
        if config.version <= self.config_version() {
            return false;
        }
        self.config.store(Some(Arc::new(config)));
        true
    }
}
