//! When a run deserves a copy, where the copy goes, and how many there may be.

use crate::candidate::CandidateWorker;
use crate::stall::{
    MIN_SAMPLE_PROGRESS_PERCENT, MIN_STALL_TIMEOUT, NEARLY_DONE_PERCENT, STALL_RUN_TIME_PERCENT,
};
use hollowford_core::{Millis, Resources, Totals};

/// Share of the tasks of a queue that a run has to have outlasted to count as slow. A run beyond it
/// has left the usual run times; a lower share would copy runs that are about to end.
pub(crate) const SLOW_QUANTILE: f64 = 0.95;
/// What the remaining time of a slow run must be, in percent of the time of a new run. A copy may
/// be as slow as any run, so it has to be ahead by half of a run.
const MIN_REMAINING_PERCENT: u64 = 150;
/// The same while run times are not known. Callers' estimates are usually within a factor of 2.5 of
/// the run time; a run that exceeds this is slow, and not only estimated too low.
const MIN_REMAINING_PERCENT_UNKNOWN: u64 = 300;
/// Minimum time that a copy has to gain, which is what a start, its report and a stop may take.
const MIN_GAIN: Millis = Millis(200);
/// Maximum share of a pool's capacity that copies take, in percent. Few tasks are stragglers; with
/// more, the pool is overloaded or unhealthy and copies would make it worse.
const MAX_POOL_PERCENT: f64 = 5.0;

/// Why a run gets a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopyCause {
    /// Its worker doesn't answer.
    Silent,
    /// Its worker answers, but it makes no progress.
    Stalled,
    /// It takes much longer than its queue's tasks usually do, or than a new run would.
    Slow,
}

impl CopyCause {
    /// Returns the cause's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            CopyCause::Silent => "silent",
            CopyCause::Stalled => "stalled",
            CopyCause::Slow => "slow",
        }
    }
}

/// What is known of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunState {
    /// The caller's estimate of its run time.
    pub estimate: Millis,
    /// Time since its start.
    pub age: Millis,
    /// If its worker is silent, the time until the run is given up.
    pub silent_until_given_up: Option<Millis>,
    /// Whether the worker has confirmed that it runs, and it is not being stopped.
    pub running: bool,
    /// Last reported progress in percent.
    pub progress: u32,
    /// Progress since the first report, in percent.
    pub gained: u32,
    /// Time from the first report to the last one.
    pub observed: Millis,
    /// Time from the last change of the progress to the last report.
    pub unchanged: Millis,
    /// Time since the last report.
    pub reported_ago: Millis,
    /// Run time that is unusual for its queue on its worker; `None` while run times are not known.
    pub usual_limit: Option<Millis>,
}

impl RunState {
    /// Returns why the run may need a copy if a new run takes `new_run`, or `None` if it needs
    /// none.
    pub fn copy_cause(&self, new_run: Millis) -> Option<CopyCause> {
        if let Some(given_up_in) = self.silent_until_given_up {
            return (given_up_in >= MIN_GAIN).then_some(CopyCause::Silent);
        }
        if !self.running || self.progress >= NEARLY_DONE_PERCENT {
            return None;
        }
        if self.is_stalled() && self.remaining_after_stall() >= new_run + MIN_GAIN {
            return Some(CopyCause::Stalled);
        }
        self.is_slow(new_run).then_some(CopyCause::Slow)
    }

    fn is_stalled(&self) -> bool {
        let allowance = Millis(self.estimate.0 * STALL_RUN_TIME_PERCENT / 100);
        self.unchanged >= MIN_STALL_TIMEOUT.max(allowance)
    }

    /// Returns the expected remaining time of a stalled run: the stall is expected to last as long
    /// again as it has.
    fn remaining_after_stall(&self) -> Millis {
        let work = |gained: u64| {
            let left = u64::from(100 - self.progress.min(100));
            (self.observed - self.unchanged).0 * left / gained
        };
        match u64::from(self.gained) {
            0 => Millis(u64::MAX / 2),
            gained => Millis(work(gained)) + self.unchanged,
        }
    }

    fn is_slow(&self, new_run: Millis) -> bool {
        let by_progress = self.remaining_by_progress(new_run);
        let (remaining, percent) = match self.usual_limit {
            Some(limit) if self.age <= limit => return false,
            // A run that is far in the tail is likely to last as long again.
            Some(_) => (by_progress.unwrap_or(self.age), MIN_REMAINING_PERCENT),
            None => match by_progress {
                Some(remaining) => (remaining, MIN_REMAINING_PERCENT_UNKNOWN),
                None => return false,
            },
        };
        remaining.0 >= (new_run.0 * percent / 100).max(new_run.0 + MIN_GAIN.0)
    }

    /// Returns the remaining time according to the reported progress; `None` if too little has been
    /// reported.
    fn remaining_by_progress(&self, new_run: Millis) -> Option<Millis> {
        if self.gained < MIN_SAMPLE_PROGRESS_PERCENT && self.observed < new_run {
            return None;
        }
        let left = u64::from(100 - self.progress.min(100));
        let at_report = Millis(self.observed.0 * left / u64::from(self.gained.max(1)));
        Some(at_report - self.reported_ago)
    }
}

/// The capacity of a pool that copies take, and may take.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CopyBudget {
    /// Capacity of the pool's usable workers.
    pub pool: Totals,
    /// Resources of the present copies.
    pub used: Totals,
    /// Number of the present copies.
    pub count: u32,
}

impl CopyBudget {
    /// Returns true if one more copy is within the share. A pool may always have one.
    pub fn allows(&self, need: &Resources) -> bool {
        let mut used = self.used;
        used.add(need);
        self.count == 0 || used.dominant_share(&self.pool) * 100.0 <= MAX_POOL_PERCENT
    }

    /// Counts one more copy.
    pub fn add(&mut self, need: &Resources) {
        self.used.add(need);
        self.count += 1;
    }
}

/// Returns true if a task fits on a worker next to the reservations there, in capacity that none of
/// the other steps can use. `others` are the resources that one task of each of them needs.
pub(crate) fn is_spare(
    candidate: &CandidateWorker,
    need: &Resources,
    mut others: impl Iterator<Item = Resources>,
) -> bool {
    let unreserved = candidate.free.minus(&candidate.reserved);
    need.fits(&unreserved) && !others.any(|other| other.fits(&candidate.free))
}
