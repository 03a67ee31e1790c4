//! Which worker a task goes to.

use crate::spec::StepSpec;
use crate::worker::Worker;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};
use std::sync::Arc;

/// What a worker that takes twice as long costs in the choice.
const SLOWNESS_WEIGHT: f32 = 1.0;
/// What a worker off the data's rack costs in the choice, against a full worker's 2.0.
const OFF_RACK_COST: f32 = 4.0;

/// A worker that may get tasks in this pass.
#[derive(Clone, Debug)]
pub(crate) struct CandidateWorker {
    pub idx: WorkerIdx,
    pub pool: Arc<str>,
    pub rack: Option<Arc<str>>,
    pub capacity: Resources,
    pub free: Resources,
    /// Room that is kept for gangs.
    pub reserved: Resources,
    /// When the first of the gangs is expected to take its part.
    pub reserved_until: Millis,
    /// See [`Worker::slowness`].
    pub slowness: f32,
    /// Tasks have failed here and none has ended well since.
    pub recently_failed: bool,
}

impl CandidateWorker {
    pub fn of(idx: WorkerIdx, w: &Worker, now: Millis) -> CandidateWorker {
        CandidateWorker {
            idx,
            pool: w.pool.clone(),
            rack: rack_label(&w.labels).cloned(),
            capacity: w.capacity,
            free: w.room(now),
            reserved: Resources::default(),
            reserved_until: Millis(0),
            slowness: w.slowness,
            recently_failed: w.health.is_suspect(),
        }
    }

    /// Tells whether a task fits, beside what is kept for gangs or before they need it.
    pub fn fits(&self, need: &Resources, ends: Millis) -> bool {
        if !need.fits(&self.free) {
            return false;
        }
        ends <= self.reserved_until || need.fits(&self.free.minus(&self.reserved))
    }

    /// Returns how many such tasks fit beside what is kept.
    pub fn unreserved_count(&self, need: &Resources) -> u32 {
        fit_count(need, &self.free.minus(&self.reserved))
    }

    /// Keeps room for a task that is expected to begin at `begin`.
    pub fn reserve(&mut self, need: &Resources, begin: Millis) {
        let first = self.reserved == Resources::default();
        self.reserved = self.reserved.plus(need);
        self.reserved_until = if first { begin } else { self.reserved_until.min(begin) };
    }

    pub fn allocate(&mut self, need: &Resources) {
        self.free = self.free.minus(need);
    }

    /// Lets nothing more be started here in this pass.
    pub fn close(&mut self) {
        self.free = Resources::default();
    }

    /// Returns how much would be left, from 0 (full) to 2 (empty), with a surcharge when
    /// one of processors and memory would be left without the other.
    pub fn remaining_score(&self, need: &Resources) -> f32 {
        let left = self.free.minus(need);
        let part = |a: u32, b: u32| if b == 0 { 0.0 } else { a as f32 / b as f32 };
        let cpu = part(left.cpu_milli, self.capacity.cpu_milli);
        let mem = part(left.memory_mib, self.capacity.memory_mib);
        cpu + mem + (cpu - mem).abs()
    }

    /// Returns the cost of placing one task here; the least is taken.
    pub fn cost(&self, spec: &StepSpec) -> f32 {
        let far = if self.is_off_data_rack(spec) { OFF_RACK_COST } else { 0.0 };
        self.remaining_score(&spec.allocation()) + far + self.slowness_cost()
    }

    /// Returns the cost of placing a task here under which workers have crashed: the least where the
    /// least is lost by one more crash.
    pub fn crash_impact_cost(&self) -> f32 {
        let free = self.free.cpu_milli as f32 / self.capacity.cpu_milli.max(1) as f32;
        1.0 - free + self.slowness_cost()
    }

    /// Returns what the worker's slowness costs in the choice.
    pub fn slowness_cost(&self) -> f32 {
        (self.slowness - 1.0).max(0.0) * SLOWNESS_WEIGHT
    }

    fn is_off_data_rack(&self, spec: &StepSpec) -> bool {
        !spec.data_rack.is_empty() && self.rack.as_deref() != Some(&spec.data_rack)
    }
}

/// Returns how many times `need` fits into `room`.
pub(crate) fn fit_count(need: &Resources, room: &Resources) -> u32 {
    let times = |n: u32, r: u32| r.checked_div(n).unwrap_or(u32::MAX);
    times(need.cpu_milli, room.cpu_milli)
        .min(times(need.memory_mib, room.memory_mib))
        .min(times(need.accelerators, room.accelerators))
}

/// Returns the label that names a worker's rack: the one that isn't its kind.
pub fn rack_label(labels: &[Arc<str>]) -> Option<&Arc<str>> {
    labels.iter().find(|l| l.len() > 1 && l.starts_with('r'))
}
