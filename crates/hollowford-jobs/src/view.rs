//! What the engine shows of itself.

use crate::engine::{Engine, Stats};
use hollowford_core::Millis;
use std::fmt::{self, Display};

/// A summary of the partition, for the state page, logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The owner's epoch.
    pub epoch: u64,
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Steps with tasks that wait.
    pub waiting_steps: usize,
    /// Tasks that wait until it is known what became of earlier runs of theirs.
    pub held_back: usize,
    /// Tasks that wait for what can't come: a fault of the engine.
    pub stuck: usize,
    /// Workers known.
    pub workers: usize,
    /// Workers that may get tasks now.
    pub usable_workers: usize,
    /// Workers that may still run what an earlier owner ordered.
    pub unsettled_workers: usize,
    /// Thousandths of a core of usable workers, and how many of them are free.
    pub cores_milli: u64,
    /// Of these, free ones.
    pub free_milli: u64,
    /// Share of workers' answers that were lost lately, in thousandths.
    pub lost_permille: u32,
    /// Tasks that hold room.
    pub held: usize,
    /// Batches cut.
    pub batches: u64,
    /// Counters.
    pub stats: Stats,
}

impl Engine {
    /// Returns a summary.
    pub fn view(&self, now: Millis) -> EngineView {
        let usable = || self.workers.iter().filter(|(_, w)| w.usable(now)).map(|(_, w)| w);
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
