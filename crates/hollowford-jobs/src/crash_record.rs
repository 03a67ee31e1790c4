//! The crash record of a task: runs under which a worker has crashed or may have crashed.

use crate::worker_life::WorkerLife;
use std::fmt::{self, Display};

/// Number of crashes shortly after a start that fail a job.
///
/// The platform allows two crashes. A worker that is cut off just after a start and crashes later
/// for another reason can't be distinguished from one that the task has crashed; allowing a third
/// keeps one such mistake from failing a job.
const FRESH_CRASH_LIMIT: usize = 3;
/// Number of crashes that fail a job, however long its task had run each time.
///
/// The platform allows two more starts after the third crash, so five in all. One crash may be
/// unknown to a new owner, because a task's first start is not stored (see
/// `track_unsettled_tasks`).
const CRASH_LIMIT: usize = 4;
/// Number of crashes that fail a job while fewer than [`MIN_CONFIRMED_RUNS`] of the runs were
/// confirmed by their workers: an unconfirmed start may have reached its worker after the crash.
const UNCONFIRMED_CRASH_LIMIT: usize = 5;
/// Maximum number of uncertain crashes that are counted as fresh. One is likely to be real, but a
/// store outage alone can produce several in a row.
const MAX_UNCERTAIN_CRASHES: usize = 1;
/// Number of confirmed runs from which [`CRASH_LIMIT`] applies.
const MIN_CONFIRMED_RUNS: usize = 2;

/// How long a run was known to have lasted when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// The worker had not confirmed that it runs.
    Unconfirmed,
    /// It had been started shortly before.
    Fresh,
    /// It is stored as fresh, but the store was unavailable: it may have become stable or ended
    /// since.
    Uncertain,
    /// It was no longer fresh, so it is unlikely to have caused the crash.
    Stable,
}

impl Display for RunStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RunStage::Unconfirmed => "unconfirmed",
            RunStage::Fresh => "fresh",
            RunStage::Uncertain => "uncertain",
            RunStage::Stable => "stable",
        })
    }
}

/// A run that may still turn out to have crashed its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenRun {
    pub run: u32,
    /// The worker incarnation that was ordered to start it.
    pub worker: WorkerLife,
    /// It is not known to have become stable, so a crash would count as one shortly after the
    /// start.
    pub fresh: bool,
    /// It may have become stable or ended without this being stored.
    pub uncertain: bool,
}

impl OpenRun {
    /// Returns the stage according to what is stored.
    pub fn stage(&self) -> RunStage {
        match (self.fresh, self.uncertain) {
            (true, true) => RunStage::Uncertain,
            (true, false) => RunStage::Fresh,
            (false, _) => RunStage::Stable,
        }
    }
}

/// The crash record of one task. Only tasks whose worker has crashed or may have crashed have one.
/// It is stored with the job's progress, including each start of the task, so that a new owner
/// knows which tasks to count when a crashed worker returns after the takeover.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashRecord {
    /// Runs under which a worker has crashed.
    pub crashed_runs: Vec<u32>,
    /// Crashed runs that had been started shortly before.
    pub fresh_runs: Vec<u32>,
    /// Crashed runs that their workers had not confirmed.
    pub unconfirmed_runs: Vec<u32>,
    /// Crashed runs that may have become stable or ended without this being stored.
    pub uncertain_runs: Vec<u32>,
    /// The current run, and runs whose workers were silent until their leases expired.
    pub open_runs: Vec<OpenRun>,
    /// Number of the change of the job that has to be stored before the task starts again; `None` if
    /// it need not wait for one.
    pub awaited_change: Option<u64>,
}

impl CrashRecord {
    /// Adds an open run, or updates it.
    pub fn open_run(&mut self, run: u32, worker: &WorkerLife, fresh: bool) {
        match self.open_runs.iter_mut().find(|r| r.run == run) {
            Some(r) => (r.fresh, r.uncertain) = (fresh, false),
            None => self.open_runs.push(OpenRun {
                run,
                worker: worker.clone(),
                fresh,
                uncertain: false,
            }),
        }
    }

    /// Records that another incarnation of the worker has started a run. Returns true if the run
    /// was open.
    pub fn move_run(&mut self, run: u32, worker: &WorkerLife) -> bool {
        let r = self.open_runs.iter_mut().find(|r| r.run == run);
        r.map(|r| r.worker = worker.clone()).is_some()
    }

    /// Records that no worker has crashed under a run. Returns true if the run was open.
    pub fn close_run(&mut self, run: u32) -> bool {
        let before = self.open_runs.len();
        self.open_runs.retain(|r| r.run != run);
        self.open_runs.len() < before
    }

    /// Records that a run is no longer fresh. Returns true if it was fresh before.
    pub fn mark_stable(&mut self, run: u32) -> bool {
        let r = self.open_runs.iter_mut().find(|r| r.run == run && r.fresh);
        r.map(|r| r.fresh = false).is_some()
    }

    /// Counts a crash under a run, once. Returns true if it was not counted before.
    pub fn record_crash(&mut self, run: u32, stage: RunStage) -> bool {
        self.close_run(run);
        if self.crashed_runs.contains(&run) {
            return false;
        }
        self.crashed_runs.push(run);
        match stage {
            RunStage::Unconfirmed => self.unconfirmed_runs.push(run),
            RunStage::Fresh => self.fresh_runs.push(run),
            RunStage::Uncertain => self.uncertain_runs.push(run),
            RunStage::Stable => {}
        }
        true
    }

    /// Returns true if the task may start only after a progress row is stored. Without that row,
    /// another owner would count fewer crashes and start the task again for each one missing.
    pub fn awaits_row(&self) -> bool {
        self.awaited_change.is_some()
    }

    /// Records that the changes up to this number are stored.
    pub fn changes_stored(&mut self, number: u64) {
        self.awaited_change = self.awaited_change.filter(|&needed| needed > number);
    }

    /// Returns true if the task is likely enough to crash workers that nothing should be started
    /// beside it.
    pub fn is_suspect(&self) -> bool {
        !self.fresh_runs.is_empty()
    }

    /// Returns true if the task's job has to fail.
    pub fn reaches_crash_limit(&self) -> bool {
        let all = self.crashed_runs.len();
        let confirmed = all - self.unconfirmed_runs.len();
        reaches_crash_limit(self.count_fresh(0, 0), confirmed, all)
    }

    /// Returns true if the next start has to wait for the outcome of open runs: if all of them were
    /// crashes, the job would fail.
    pub fn blocks_start(&self) -> bool {
        let open = |stage| self.open_runs.iter().filter(|r| r.stage() == stage).count();
        let fresh = self.count_fresh(open(RunStage::Fresh), open(RunStage::Uncertain));
        let all = self.crashed_runs.len() + self.open_runs.len();
        reaches_crash_limit(fresh, all - self.unconfirmed_runs.len(), all)
    }

    /// Returns the number of crashes counted as fresh, with the given numbers of further fresh and
    /// uncertain ones.
    fn count_fresh(&self, more_fresh: usize, more_uncertain: usize) -> usize {
        let uncertain = self.uncertain_runs.len() + more_uncertain;
        self.fresh_runs.len() + more_fresh + uncertain.min(MAX_UNCERTAIN_CRASHES)
    }
}

/// Returns true if a job fails after `fresh` crashes shortly after a start and `all` crashes in
/// total, with `confirmed` of the runs confirmed.
fn reaches_crash_limit(fresh: usize, confirmed: usize, all: usize) -> bool {
    let limit = if confirmed >= MIN_CONFIRMED_RUNS { CRASH_LIMIT } else { UNCONFIRMED_CRASH_LIMIT };
    fresh >= FRESH_CRASH_LIMIT || all >= limit
}
