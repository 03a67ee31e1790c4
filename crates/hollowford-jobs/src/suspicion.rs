//! What is known of a task under which workers have crashed, or may have.

use crate::life::WorkerLife;

/// Crashes shortly after a start that end a job.
///
/// The platform allows two. A worker that is cut off just after a start, and crashes later for another reason,
/// looks the same as one that the task has crashed; the third crash keeps one such mistake from ending a
/// job.
const FRESH_CRASHES_TO_FAIL: usize = 3;
/// Crashes that end a job, however long its task had run each time.
///
/// The platform allows two more starts after the third crash, so five in all. One crash may be unknown to a new
/// owner, since the first start is not on record (see `watch_unsettled`).
const CRASHES_TO_FAIL: usize = 4;
/// Crashes that end a job while fewer than [`LEAST_CONFIRMED`] of the runs were confirmed by their workers: a
/// start that was never confirmed may have reached its worker after the crash.
const UNCONFIRMED_CRASHES_TO_FAIL: usize = 5;
/// Crashes that count as soon after a start though their runs may have worked or ended unwritten. One such
/// crash is likely to be real; more of them come about in a row by an outage alone.
const MOST_UNTOLD: usize = 1;
/// Confirmed runs from which on [`CRASHES_TO_FAIL`] applies.
const LEAST_CONFIRMED: usize = 2;

/// How far a run was known to have come when its worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The worker had not said that it runs.
    Unconfirmed,
    /// It had been started shortly before.
    Fresh,
    /// It was on record as just started, but the store was away: that it had worked or ended may not have
    /// been written.
    Untold,
    /// It had worked for a while: what crashes a worker does so sooner.
    Worked,
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
    pub untold: bool,
}

impl OpenRun {
    /// Returns how far it has come, as far as that is on record.
    pub fn stage(&self) -> Stage {
        match (self.fresh, self.untold) {
            (true, true) => Stage::Untold,
            (true, false) => Stage::Fresh,
            (false, _) => Stage::Worked,
        }
    }
}

/// The record of one task. Only tasks that were on a worker that has crashed, or may have, have one;
/// it is written to the store with the job's progress, each start of such a task included, so that a new
/// owner can tell what a worker crashed under that comes back after the takeover.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Suspicion {
    /// Runs under which a worker has crashed.
    pub crashed_runs: Vec<u32>,
    /// Those of them that had been started shortly before.
    pub fresh_runs: Vec<u32>,
    /// Those of them that their workers had not confirmed.
    pub unconfirmed_runs: Vec<u32>,
    /// Those of them that may have worked or ended without its being written.
    pub untold_runs: Vec<u32>,
    /// The run that is under way, and runs whose workers fell silent for longer than a lease.
    pub open_runs: Vec<OpenRun>,
    /// Number of the row of the job's progress that tells all of this first; none: the store has it.
    pub unwritten_row: Option<u64>,
}

impl Suspicion {
    /// Takes note of a start, or of what has become known of it.
    pub fn opens(&mut self, run: u32, worker: &WorkerLife, fresh: bool) {
        match self.open_runs.iter_mut().find(|r| r.run == run) {
            Some(r) => (r.fresh, r.untold) = (fresh, false),
            None => {
                self.open_runs.push(OpenRun { run, worker: worker.clone(), fresh, untold: false })
            }
        }
    }

    /// Takes note that another life of the worker has begun a run. Tells whether that was open.
    pub fn moves(&mut self, run: u32, worker: &WorkerLife) -> bool {
        let r = self.open_runs.iter_mut().find(|r| r.run == run);
        r.map(|r| r.worker = worker.clone()).is_some()
    }

    /// Takes note that no worker has crashed under a run. Tells whether that was open.
    pub fn closes(&mut self, run: u32) -> bool {
        let before = self.open_runs.len();
        self.open_runs.retain(|r| r.run != run);
        self.open_runs.len() < before
    }

    /// Takes note that a run has worked for a while. Tells whether that is new.
    pub fn has_worked(&mut self, run: u32) -> bool {
        let r = self.open_runs.iter_mut().find(|r| r.run == run && r.fresh);
        r.map(|r| r.fresh = false).is_some()
    }

    /// Counts a crash under a run, once. Tells whether it is a new one.
    pub fn crashed(&mut self, run: u32, stage: Stage) -> bool {
        self.closes(run);
        if self.crashed_runs.contains(&run) {
            return false;
        }
        self.crashed_runs.push(run);
        match stage {
            Stage::Unconfirmed => self.unconfirmed_runs.push(run),
            Stage::Fresh => self.fresh_runs.push(run),
            Stage::Untold => self.untold_runs.push(run),
            Stage::Worked => {}
        }
        true
    }

    /// Tells whether the store lacks some of this: another owner would count less, and start the task
    /// once more for each crash that it doesn't know of.
    pub fn is_unwritten(&self) -> bool {
        self.unwritten_row.is_some()
    }

    /// Takes note that a row of the job's progress is in the store.
    pub fn row_made(&mut self, row: u64) {
        self.unwritten_row = self.unwritten_row.filter(|&needed| needed > row);
    }

    /// Tells whether the task is likely enough to crash its workers that it should run apart.
    pub fn is_suspect(&self) -> bool {
        !self.fresh_runs.is_empty()
    }

    /// Tells whether the task is to be given up.
    pub fn is_telling(&self) -> bool {
        let all = self.crashed_runs.len();
        let confirmed = all - self.unconfirmed_runs.len();
        is_telling(self.count_fresh(0, 0), confirmed, all)
    }

    /// Tells whether the next start has to wait until it is known what became of earlier ones: were all
    /// of them crashes, the task would be given up.
    pub fn holds_back(&self) -> bool {
        let open = |stage| self.open_runs.iter().filter(|r| r.stage() == stage).count();
        let fresh = self.count_fresh(open(Stage::Fresh), open(Stage::Untold));
        let all = self.crashed_runs.len() + self.open_runs.len();
        is_telling(fresh, all - self.unconfirmed_runs.len(), all)
    }

    /// Counts the crashes that count as soon after a start, with so many more of either kind.
    fn count_fresh(&self, more_fresh: usize, more_untold: usize) -> usize {
        let untold = self.untold_runs.len() + more_untold;
        self.fresh_runs.len() + more_fresh + untold.min(MOST_UNTOLD)
    }
}

/// Tells whether so many crashes soon after a start, under so many confirmed runs, and so many in
/// all, end a job.
fn is_telling(fresh: usize, confirmed: usize, all: usize) -> bool {
    let most =
        if confirmed >= LEAST_CONFIRMED { CRASHES_TO_FAIL } else { UNCONFIRMED_CRASHES_TO_FAIL };
    fresh >= FRESH_CRASHES_TO_FAIL || all >= most
}
