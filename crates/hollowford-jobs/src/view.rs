//! Summary of the engine's state.

use crate::engine::{Engine, Stats};
use hollowford_core::Millis;
use std::fmt::{self, Display};

/// Summary of a partition's state, for the state page, logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Steps with tasks that wait to be started.
    pub waiting_steps: usize,
    /// Tasks that wait only for the outcome of their earlier runs.
    pub held_back: usize,
    /// Tasks that can never be started again; more than 0 is a bug in the engine.
    pub stuck: usize,
    /// Known workers.
    pub workers: usize,
    /// Workers that may get tasks now.
    pub usable_workers: usize,
    /// Workers that may still run tasks of an earlier owner.
    pub unsettled_workers: usize,
    /// CPU capacity of the usable workers, in thousandths of a core.
    pub cores_milli: u64,
    /// Free CPU capacity of the usable workers, in thousandths of a core.
    pub free_milli: u64,
    /// Recent share of lost worker answers, in thousandths.
    pub lost_permille: u32,
    /// Tasks that occupy resources on workers.
    pub held: usize,
    /// Batches built by this owner.
    pub batches: u64,
    /// Counters since the engine was created.
    pub stats: Stats,
}

impl Engine {
    /// Returns a summary of the partition's state at `now`.
    pub fn view(&self, now: Millis) -> EngineView {
        let usable = || self.workers.iter().filter(|(_, w)| w.is_usable(now)).map(|(_, w)| w);
        EngineView {
            epoch: self.epoch,
            open_jobs: self.jobs.open_len(),
            waiting_steps: self.count_waiting(now),
            held_back: self.count_held_back(),
            stuck: self.stuck_tasks().len(),
            workers: self.workers.len(),
            usable_workers: usable().count(),
            unsettled_workers: self.unsettled_workers.len(),
            cores_milli: usable().map(|w| u64::from(w.capacity.cpu_milli)).sum(),
            free_milli: usable().map(|w| u64::from(w.free.cpu_milli)).sum(),
            lost_permille: self.answer_loss.permille(),
            held: self.workers.iter().map(|(_, w)| w.held.len()).sum(),
            batches: self.last_batch_number,
            stats: self.stats,
        }
    }
}

impl Display for EngineView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "epoch={} open_jobs={} waiting_steps={} held_back={} stuck={} workers={} usable={} unsettled={} \
             cores_milli={} free_milli={} lost_permille={} held={} batches={} {:?}",
            self.epoch,
            self.open_jobs,
            self.waiting_steps,
            self.held_back,
            self.stuck,
            self.workers,
            self.usable_workers,
            self.unsettled_workers,
            self.cores_milli,
            self.free_milli,
            self.lost_permille,
            self.held,
            self.batches,
            self.stats
        )
    }
}
