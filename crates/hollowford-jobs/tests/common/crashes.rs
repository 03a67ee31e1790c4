//! Tasks that crash the workers that run them, and the restarts of these workers.

use super::worker::SimWorker;
use hollowford_core::Millis;
use hollowford_jobs::{JobId, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// The platform removes a crashed worker from its list after three missed heartbeats of 1.5 s.
const UNLISTED_AFTER: Millis = Millis(4_500);
/// After this many crashes, only a few more starts of the task are allowed.
const CRASH_LIMIT: u32 = 3;
/// The start at which `assert_start_limit` fails, counted from the first one after `CRASH_LIMIT`
/// crashes.
const EXTRA_START_LIMIT: u32 = 3;

/// Crashes workers under chosen jobs, and records the effects.
#[derive(Debug)]
pub struct CrashInjector {
    /// Jobs whose tasks crash the workers that run them.
    pub jobs: BTreeSet<JobId>,
    /// Time from the start of such a task to the crash.
    pub crash_after: Millis,
    /// Time from a crash to the restart.
    pub downtime: Millis,
    /// Whether crashed workers restart under the same id.
    pub same_id: bool,
    /// Number of workers that have crashed while they ran each task, whatever the cause.
    pub by_task: BTreeMap<TaskKey, u32>,
    /// Starts of each crashing task after `CRASH_LIMIT` crashes, while `store_healthy` was true.
    pub extra_starts: BTreeMap<TaskKey, u32>,
    /// Whether the store has worked for a while. Only then does the limit on starts hold, since an
    /// owner that can't write may lose its count of crashes.
    pub store_healthy: bool,
    /// Number of crashes.
    pub count: u32,
    /// Work lost on crashed workers, in core-milliseconds.
    pub lost_core_ms: u64,
}

impl Default for CrashInjector {
    fn default() -> CrashInjector {
        CrashInjector {
            jobs: BTreeSet::new(),
            crash_after: Millis(10),
            downtime: Millis(3_200),
            same_id: false,
            by_task: BTreeMap::new(),
            extra_starts: BTreeMap::new(),
            store_healthy: true,
            count: 0,
            lost_core_ms: 0,
        }
    }
}

impl CrashInjector {
    /// Crashes the workers that are due, and restarts those that were down for `downtime`. Returns
    /// true if the platform's list of workers has changed.
    pub fn tick(&mut self, workers: &mut [SimWorker], now: Millis) -> bool {
        let mut changed = false;
        for w in workers {
            if self.must_crash(w, now) {
                self.crash(w);
            }
            let Some(since) = w.down_since else { continue };
            if now - since >= self.downtime {
                self.restart(w, now);
                changed = true;
            } else if w.listed && now - since >= UNLISTED_AFTER {
                w.listed = false;
                changed = true;
            }
        }
        changed
    }

    fn restart(&self, w: &mut SimWorker, now: Millis) {
        if self.same_id {
            w.restart_with_same_id();
        } else {
            w.restart(&format!("incarnation-{}-{}", w.address, now.0));
        }
    }

    fn must_crash(&self, w: &SimWorker, now: Millis) -> bool {
        let due = |r: &super::worker::Run| now - r.started_at >= self.crash_after;
        w.up && w.running.iter().any(|(t, r)| self.jobs.contains(&t.step.job) && due(r))
    }

    /// Crashes a worker, and counts the crash for every task on it.
    pub fn crash(&mut self, w: &mut SimWorker) {
        self.count += 1;
        for (task, r) in &w.running {
            self.lost_core_ms +=
                (w.now - r.started_at).0 * u64::from(r.allocation.cpu_milli) / 1_000;
            *self.by_task.entry(*task).or_default() += 1;
        }
        w.crash();
    }

    /// Records a start, and panics if a task that crashes its workers is started too often.
    pub fn assert_start_limit(&mut self, task: TaskKey) {
        let crashed = self.by_task.get(&task).is_some_and(|&n| n >= CRASH_LIMIT);
        if !crashed || !self.store_healthy || !self.jobs.contains(&task.step.job) {
            return;
        }
        let extra_starts = self.extra_starts.entry(task).or_default();
        *extra_starts += 1;
        assert!(
            *extra_starts < EXTRA_START_LIMIT,
            "{task} was started {extra_starts} times after {CRASH_LIMIT} crashes"
        );
    }
}
