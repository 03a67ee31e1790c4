//! What the duties of a process share.

use crate::inbox::OwnerHandle;
use crate::metrics::Metrics;
use crate::wire::{ConfigRow, OwnerInfo};
use arc_swap::ArcSwapOption;
use hollowford_adapter::{AdviceClient, Config, NodeSettings, StoreClient};
use hollowford_core::{Clock, Millis};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use tokio::sync::{Notify, watch};

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
    Remote(crate::relay::RemoteOwner),
}

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
    /// The newest configuration.
    pub config: ArcSwapOption<Config>,
    /// The row that the configuration was read from last.
    config_row: ArcSwapOption<ConfigRow>,
    /// Asks the watch to read the configuration at once.
    pub config_wanted: Notify,
    /// The newest owner that is known.
    pub owner: watch::Sender<OwnerInfo>,
    /// How the owner is reached.
    pub route: watch::Sender<Route>,
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
    /// The owner wants to know whether the store answers this process.
    pub probe_store: AtomicBool,
    /// Reading of the clock when the owner was last within reach.
    owner_heard: AtomicU64,
    /// Its metrics.
    pub metrics: Metrics,
}

impl Shared {
    /// Puts the parts together.
    pub fn new(
        settings: NodeSettings,
        store: StoreClient,
        advice: Option<AdviceClient>,
        metrics: Metrics,
    ) -> Shared {
        Shared {
            settings_changed: watch::Sender::new(settings.clone()),
            settings,
            clock: Clock::new(),
            boot: fastrand::u64(1..),
            store,
            advice,
            config: ArcSwapOption::empty(),
            config_row: ArcSwapOption::empty(),
            config_wanted: Notify::new(),
            owner: watch::Sender::new(OwnerInfo::default()),
            route: watch::Sender::new(Route::None),
            stopping: AtomicBool::new(false),
            open_calls: AtomicUsize::new(0),
            store_answered: AtomicU64::new(0),
            store_failed: AtomicU64::new(0),
            probe_store: AtomicBool::new(false),
            owner_heard: AtomicU64::new(NEVER),
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

    /// Tells whether the process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Takes note that the store has answered.
    pub fn note_store(&self) {
        self.store_answered.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Takes note that a call to the store has failed.
    pub fn note_store_failure(&self) {
        self.store_failed.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Tells whether the store has failed this process for `at_least`, up to its last call.
    pub fn store_away(&self, at_least: Millis) -> bool {
        let failed = self.store_failed.load(Ordering::Relaxed);
        failed > self.store_answered.load(Ordering::Relaxed) && self.store_age() >= at_least
    }

    /// Returns the time since the store answered.
    pub fn store_age(&self) -> Millis {
        self.clock.now().since(Millis(self.store_answered.load(Ordering::Relaxed)))
    }

    /// Takes note that the owner was within reach.
    pub fn note_owner(&self) {
        self.owner_heard.store(self.clock.now().0.max(NEVER + 1), Ordering::Relaxed);
    }

    /// Returns the time since the owner was within reach; the longest if it never was.
    pub fn owner_age(&self) -> Millis {
        if self.owner_heard.load(Ordering::Relaxed) == NEVER {
            return Millis::MAX;
        }
        self.clock.now().since(Millis(self.owner_heard.load(Ordering::Relaxed)))
    }

    /// Takes note of an owner, if it is newer than the one that is known.
    pub fn note_owner_info(&self, info: &OwnerInfo) -> bool {
        self.owner.send_if_modified(|known| {
            let newer = info.epoch > known.epoch;
            if newer {
                *known = info.clone();
            }
            newer
        })
    }

    /// Tells whether this process owns the partition.
    pub fn owns(&self) -> bool {
        matches!(*self.route.borrow(), Route::Local(_))
    }

    /// Returns what this process is as an owner at `epoch`.
    pub fn as_owner(&self, epoch: u64) -> OwnerInfo {
        OwnerInfo { epoch, address: self.address().to_string(), boot: self.boot }
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
