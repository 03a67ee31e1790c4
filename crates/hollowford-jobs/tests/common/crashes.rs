//! Tasks that crash the workers that start them, and workers that come back.

use super::worker::SimWorker;
use hollowford_core::Millis;
use hollowford_jobs::{JobId, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// A crashed worker's entry goes from the list after three heartbeats of 1.5 s.
const UNLISTED_AFTER: Millis = Millis(4_500);
/// A task may be started so often after so many workers have crashed under it, less once.
const CRASHES: u32 = 3;
const STARTS_MORE: u32 = 3;

/// Which tasks crash their workers, and what came of it.
#[derive(Debug)]
pub struct Crashes {
    /// Each task of these jobs crashes the worker that starts it.
    pub jobs: BTreeSet<JobId>,
    /// How long such a task runs until then.
    pub after: Millis,
    /// How long a crashed worker is down.
    pub down: Millis,
    /// It starts again under the id that it had.
    pub same_id: bool,
    /// Workers that have crashed under each task, whether it was its doing or not.
    pub under: BTreeMap<TaskKey, u32>,
    /// Starts of each task after the third of them, by an owner in touch.
    pub starts_more: BTreeMap<TaskKey, u32>,
    /// The store has been well for a while, so that starts count.
    pub in_touch: bool,
    /// Crashes so far.
    pub count: u32,
    /// Work that was under way on crashed workers, in core-milliseconds.
    pub lost_work: u64,
}

impl Default for Crashes {
    fn default() -> Crashes {
        Crashes {
            jobs: BTreeSet::new(),
            after: Millis(10),
            down: Millis(3_200),
            same_id: false,
            under: BTreeMap::new(),
            starts_more: BTreeMap::new(),
            in_touch: true,
            count: 0,
            lost_work: 0,
        }
    }
}

impl Crashes {
    /// Crashes workers, and brings those back that were down for long enough. Tells whether the
    /// platform's list has changed.
    pub fn tick(&mut self, workers: &mut [SimWorker], now: Millis) -> bool {
        let mut changed = false;
        for w in workers {
            if self.crashes(w, now) {
                self.crash(w);
            }
            let Some(since) = w.down_since else { continue };
            if now - since >= self.down {
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
            w.restart_as_itself();
        } else {
            w.restart(&format!("life-{}-{}", w.address, now.0));
        }
    }

    fn crashes(&self, w: &SimWorker, now: Millis) -> bool {
        let due = |r: &super::worker::Run| now - r.since >= self.after;
        w.up && w.running.iter().any(|(t, r)| self.jobs.contains(&t.step.job) && due(r))
    }

    /// Crashes a worker under all that it runs.
    pub fn crash(&mut self, w: &mut SimWorker) {
        self.count += 1;
        for (task, r) in &w.running {
            self.lost_work += (w.now - r.since).0 * u64::from(r.room.cpu_milli) / 1_000;
            *self.under.entry(*task).or_default() += 1;
        }
        w.crash();
    }

    /// Panics when a task that crashes its workers is started too often.
    pub fn judge_start(&mut self, task: TaskKey) {
        let crashed = self.under.get(&task).is_some_and(|&n| n >= CRASHES);
        if !crashed || !self.in_touch || !self.jobs.contains(&task.step.job) {
            return;
        }
        let more = self.starts_more.entry(task).or_default();
        *more += 1;
        assert!(*more < STARTS_MORE, "{task} was started {more} times after {CRASHES} crashes");
    }
}
