//! What is known of a task under which workers have crashed, or may have.

use hollowford_core::InstanceId;

/// A task is given up once so many workers have crashed shortly after they had started it.
///
/// Two would do for the platform, were each of them sure: but a worker that is cut off just after a start
/// and crashes later looks the same, with the task done meanwhile. Two crashes ended such a job in one of
/// 51 runs of random failures. Three cost half as many crashes again (1,216 in place of 777 for 221 jobs
/// that crash their workers, 24 seeds of the load in `crash_storm`).
const CRASHES_TELLING: usize = 3;
/// A task is given up once so many have crashed under it, however long it had run.
///
/// The platform lets a task be given up after two, and bears two starts after the third: five in all. A
/// takeover can hide one crash (see `watch_unsettled`), so four that are known keep within it.
const MOST_CRASHES: usize = 4;

/// A run of which the owner can't know yet whether its worker crashes under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenRun {
    pub run: u32,
    /// The life of the worker that was told to start it.
    pub worker: InstanceId,
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
    /// The run that is under way, and runs whose workers fell silent for longer than a lease.
    pub open_runs: Vec<OpenRun>,
}

impl Suspicion {
    /// Takes note of a start.
    pub fn opens(&mut self, run: u32, worker: &InstanceId) {
        if !self.open_runs.iter().any(|r| r.run == run) {
            self.open_runs.push(OpenRun { run, worker: worker.clone() });
        }
    }

    /// Takes note that no worker has crashed under a run.
    pub fn closes(&mut self, run: u32) {
        self.open_runs.retain(|r| r.run != run);
    }

    /// Counts a crash under a run, once; `fresh`: it had been started shortly before. Tells whether it
    /// is a new one.
    pub fn crashed(&mut self, run: u32, fresh: bool) -> bool {
        self.closes(run);
        if self.crashed_runs.contains(&run) {
            return false;
        }
        self.crashed_runs.push(run);
        if fresh {
            self.fresh_runs.push(run);
        }
        true
    }

    /// Tells whether the task is likely enough to crash its workers that it should run apart.
    pub fn is_suspect(&self) -> bool {
        !self.fresh_runs.is_empty()
    }

    /// Tells whether the task is to be given up.
    pub fn is_telling(&self) -> bool {
        self.fresh_runs.len() >= CRASHES_TELLING || self.crashed_runs.len() >= MOST_CRASHES
    }

    /// Tells whether the next start has to wait until it is known what became of earlier ones: were all
    /// of them crashes, the task would be given up.
    pub fn holds_back(&self) -> bool {
        self.crashed_runs.len() + self.open_runs.len() >= MOST_CRASHES
    }
}
