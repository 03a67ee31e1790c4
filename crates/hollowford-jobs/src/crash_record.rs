//! What is known of a task under which workers have crashed, or may have.

use crate::worker_life::WorkerLife;

/// Crashes shortly after a start that end a job.
///
/// The platform allows two. A worker that is cut off just after a start, and crashes later for another reason,
/// looks the same as one that the task has crashed; the third crash keeps one such mistake from ending a
/// job.
const FRESH_CRASH_LIMIT: usize = 3;
/// Crashes that end a job, however long its task had run each time.
///
/// The platform allows two more starts after the third crash, so five in all. One crash may be unknown to a new
/// owner, since the first start is not on record (see `track_unsettled_tasks`).
const CRASH_LIMIT: usize = 4;
/// Crashes that end a job while fewer than [`MIN_CONFIRMED_RUNS`] of the runs were confirmed by their workers: a
/// start that was never confirmed may have reached its worker after the crash.
const UNCONFIRMED_CRASH_LIMIT: usize = 5;
/// Crashes that count as soon after a start though their runs may have worked or ended unwritten. One such
/// crash is likely to be real; more of them come about in a row by an outage alone.
const MAX_UNCERTAIN_CRASHES: usize = 1;
/// Confirmed runs from which on [`CRASH_LIMIT`] applies.
const MIN_CONFIRMED_RUNS: usize = 2;

/// How far a run was known to have come when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStage {
    /// The worker had not said that it runs.
    Unconfirmed,
    /// It had been started shortly before.
    Fresh,
    /// It was on record as just started, but the store was away: that it had worked or ended may not have
    /// been written.
    Uncertain,
    /// It had worked for a while: what crashes a worker does so sooner.
    Stable,
}

/// A run of which the owner can't know yet whether its worker crashes under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenRun {
    pub run: u32,
    /// The life of the worker that was told to start it.
    pub worker: WorkerLife,
    /// It is not known to have worked for a while: a crash now would count as one soon after its start.
    pub fresh: bool,
    /// That it has worked or ended may not have been written.
    pub uncertain: bool,
}

impl OpenRun {
    /// Returns how far it has come, as far as that is on record.
    pub fn stage(&self) -> RunStage {
        match (self.fresh, self.uncertain) {
            (true, true) => RunStage::Uncertain,
            (true, false) => RunStage::Fresh,
            (false, _) => RunStage::Stable,
        }
    }
}

/// The record of one task. Only tasks that were on a worker that has crashed, or may have, have one;
/// it is written to the store with the job's progress, each start of such a task included, so that a new
/// owner can tell what a worker crashed under that comes back after the takeover.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashRecord {
    /// Runs under which a worker has crashed.
    pub crashed_runs: Vec<u32>,
    /// Those of them that had been started shortly before.
    pub fresh_runs: Vec<u32>,
    /// Those of them that their workers had not confirmed.
    pub unconfirmed_runs: Vec<u32>,
    /// Those of them that may have worked or ended without its being written.
    pub uncertain_runs: Vec<u32>,
    /// The run that is under way, and runs whose workers fell silent for longer than a lease.
    pub open_runs: Vec<OpenRun>,
    /// Number of the row of the job's progress that tells all of this first; none: the store has it.
    pub unwritten_row: Option<u64>,
}

impl CrashRecord {
    /// Takes note of a start, or of what has become known of it.
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

    /// Takes note that another life of the worker has begun a run. Tells whether that was open.
    pub fn move_run(&mut self, run: u32, worker: &WorkerLife) -> bool {
        let r = self.open_runs.iter_mut().find(|r| r.run == run);
        r.map(|r| r.worker = worker.clone()).is_some()
    }

    /// Takes note that no worker has crashed under a run. Tells whether that was open.
    pub fn close_run(&mut self, run: u32) -> bool {
        let before = self.open_runs.len();
        self.open_runs.retain(|r| r.run != run);
        self.open_runs.len() < before
    }

    /// Takes note that a run has worked for a while. Tells whether that is new.
    pub fn mark_stable(&mut self, run: u32) -> bool {
        let r = self.open_runs.iter_mut().find(|r| r.run == run && r.fresh);
        r.map(|r| r.fresh = false).is_some()
    }

    /// Counts a crash under a run, once. Tells whether it is a new one.
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

    /// Tells whether the store lacks some of this: another owner would count less, and start the task
    /// once more for each crash that it doesn't know of.
    pub fn is_unwritten(&self) -> bool {
        self.unwritten_row.is_some()
    }

    /// Takes note that a row of the job's progress is in the store.
    pub fn row_written(&mut self, row: u64) {
        self.unwritten_row = self.unwritten_row.filter(|&needed| needed > row);
    }

    /// Tells whether the task is likely enough to crash its workers that it should run apart.
    pub fn is_suspect(&self) -> bool {
        !self.fresh_runs.is_empty()
    }

    /// Tells whether the task is to be given up.
    pub fn reaches_crash_limit(&self) -> bool {
        let all = self.crashed_runs.len();
        let confirmed = all - self.unconfirmed_runs.len();
        reaches_crash_limit(self.count_fresh(0, 0), confirmed, all)
    }

    /// Tells whether the next start has to wait until it is known what became of earlier ones: were all
    /// of them crashes, the task would be given up.
    pub fn blocks_start(&self) -> bool {
        let open = |stage| self.open_runs.iter().filter(|r| r.stage() == stage).count();
        let fresh = self.count_fresh(open(RunStage::Fresh), open(RunStage::Uncertain));
        let all = self.crashed_runs.len() + self.open_runs.len();
        reaches_crash_limit(fresh, all - self.unconfirmed_runs.len(), all)
    }

    /// Counts the crashes that count as soon after a start, with so many more of either kind.
    fn count_fresh(&self, more_fresh: usize, more_untold: usize) -> usize {
        let uncertain = self.uncertain_runs.len() + more_untold;
        self.fresh_runs.len() + more_fresh + uncertain.min(MAX_UNCERTAIN_CRASHES)
    }
}

/// Tells whether so many crashes soon after a start, under so many confirmed runs, and so many in
/// all, end a job.
fn reaches_crash_limit(fresh: usize, confirmed: usize, all: usize) -> bool {
    let most = if confirmed >= MIN_CONFIRMED_RUNS { CRASH_LIMIT } else { UNCONFIRMED_CRASH_LIMIT };
    fresh >= FRESH_CRASH_LIMIT || all >= most
}
