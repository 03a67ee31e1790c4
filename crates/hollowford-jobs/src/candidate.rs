//! Candidate workers of a placement pass and the cost of placing a task on them.

use crate::placement::StepPlacement;
use crate::spec::StepSpec;
use crate::worker::Worker;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};
use std::sync::Arc;

/// Cost of a worker that takes twice as long as estimated; proportional to the additional time.
const SLOWNESS_WEIGHT: f32 = 1.0;
/// Cost of a worker outside the rack of the data. It exceeds the largest score for remaining
/// resources, 2.0.
const OFF_RACK_COST: f32 = 4.0;

/// Cost of a worker on which the step would miss its objective, where speeds differ. It exceeds the
/// largest score for remaining resources, and equals the cost of a worker outside the rack.
const MISS_COST: f32 = 4.0;
/// Cost of a worker that takes twice as long as an ordinary one and leaves a margin of one run time
/// less [`MIN_MARGIN`]. It is inversely proportional to the margin.
const SLACK_WEIGHT: f32 = 2.0;
/// Added to the margin, in multiples of the run time on an ordinary worker.
const MIN_MARGIN: f32 = 0.25;
/// Subtracted from the weight of slowness. With a margin of more than
/// [`SLACK_WEIGHT`] / this - [`MIN_MARGIN`], 2.25 run times, slow workers cost less than fast ones.
const SPARE_FAST_WORKERS_WEIGHT: f32 = 0.8;

/// Width of a class of speeds in natural logarithms: workers of one class differ by less than 20%,
/// about as much as their learned speeds may be off.
const SPEED_CLASS_WIDTH: f32 = 0.18;

/// A worker that may get tasks in a pass.
#[derive(Clone, Debug)]
pub(crate) struct CandidateWorker {
    pub idx: WorkerIdx,
    pub pool: Arc<str>,
    pub rack: Option<Arc<str>>,
    pub capacity: Resources,
    pub free: Resources,
    /// Part of the free resources that is reserved for gangs and large tasks.
    pub reserved: Resources,
    /// Time at which the first of the reservations is expected to be used.
    pub reserved_from: Millis,
    /// Learned run times relative to those on an ordinary worker.
    pub learned_slowness: f32,
    /// Learned slowness times the one that progress showed, which is relative to the former. See
    /// [`Worker::slowness`].
    pub slowness: f32,
    /// Whether some candidate's learned slowness differs from 1.0.
    pub uneven: bool,
    /// Whether tasks have failed here and none has succeeded since.
    pub recently_failed: bool,
}

impl CandidateWorker {
    pub fn from_worker(
        idx: WorkerIdx,
        worker: &Worker,
        (learned_slowness, recent_slowness): (f32, f32),
        now: Millis,
    ) -> CandidateWorker {
        CandidateWorker {
            idx,
            pool: worker.pool.clone(),
            rack: rack_label(&worker.labels).cloned(),
            capacity: worker.capacity,
            free: worker.available(now),
            reserved: Resources::default(),
            reserved_from: Millis(0),
            learned_slowness,
            slowness: learned_slowness * recent_slowness,
            uneven: false,
            recently_failed: worker.health.is_suspect(),
        }
    }

    /// Returns the expected end of a task that starts here now, from its run time on an ordinary
    /// worker.
    pub fn expected_end(&self, now: Millis, run_time: Millis) -> Millis {
        now + Millis((run_time.0 as f64 * f64::from(self.learned_slowness)) as u64)
    }

    /// Returns true if a task fits next to the reservations, or ends before they are needed.
    pub fn fits(&self, need: &Resources, end: Millis) -> bool {
        if !need.fits(&self.free) {
            return false;
        }
        end <= self.reserved_from || need.fits(&self.free.minus(&self.reserved))
    }

    /// Returns how many tasks with these resources fit next to the reservations.
    pub fn unreserved_count(&self, need: &Resources) -> u32 {
        fit_count(need, &self.free.minus(&self.reserved))
    }

    /// Reserves resources for a task that is expected to start at `start`.
    pub fn reserve(&mut self, need: &Resources, start: Millis) {
        let is_first = self.reserved == Resources::default();
        self.reserved = self.reserved.plus(need);
        self.reserved_from = if is_first { start } else { self.reserved_from.min(start) };
    }

    /// Subtracts the resources of a task that starts here.
    pub fn allocate(&mut self, need: &Resources) {
        self.free = self.free.minus(need);
    }

    /// Prevents further starts here in this pass.
    pub fn close(&mut self) {
        self.free = Resources::default();
    }

    /// Returns the score of the resources that would remain free: the free shares of processors and
    /// memory, from 0 (full) to 2 (empty), plus their difference, since one is of no use without
    /// the other.
    pub fn remaining_score(&self, need: &Resources) -> f32 {
        let remaining = self.free.minus(need);
        let share =
            |part: u32, whole: u32| if whole == 0 { 0.0 } else { part as f32 / whole as f32 };
        let cpu = share(remaining.cpu_milli, self.capacity.cpu_milli);
        let memory = share(remaining.memory_mib, self.capacity.memory_mib);
        cpu + memory + (cpu - memory).abs()
    }

    /// Returns the cost of placing one task here. Lower is better.
    pub fn cost(&self, step: &StepPlacement<'_>) -> f32 {
        let off_rack = if self.is_off_data_rack(step.spec) { OFF_RACK_COST } else { 0.0 };
        let slowness = if self.uneven {
            slowness_cost(self.slowness, step.headroom)
        } else {
            self.slowness_cost()
        };
        self.remaining_score(&step.spec.allocation()) + off_rack + slowness
    }

    /// Returns the cost of placing a task here that has crashed workers. It is lowest where another
    /// crash would affect the least other work.
    pub fn crash_impact_cost(&self) -> f32 {
        let free = self.free.cpu_milli as f32 / self.capacity.cpu_milli.max(1) as f32;
        1.0 - free + self.slowness_cost()
    }

    /// Returns the part of the cost that is due to the worker's slowness where speeds are alike.
    pub fn slowness_cost(&self) -> f32 {
        (self.slowness - 1.0).max(0.0) * SLOWNESS_WEIGHT
    }

    /// Returns the class of the worker's speed, the lowest for the fastest; 0 where speeds are
    /// alike. Workers of one class count as equally fast.
    pub fn speed_class(&self) -> i32 {
        if self.uneven { (self.slowness.ln() / SPEED_CLASS_WIDTH).round() as i32 } else { 0 }
    }

    fn is_off_data_rack(&self, spec: &StepSpec) -> bool {
        !spec.data_rack.is_empty() && self.rack.as_deref() != Some(&spec.data_rack)
    }
}

/// Returns the cost of a worker's slowness where speeds differ. `headroom` is the time until the
/// step must be done, as a multiple of its run time on an ordinary worker.
fn slowness_cost(slowness: f32, headroom: f32) -> f32 {
    let margin = headroom - slowness;
    if margin < 0.0 {
        return MISS_COST + slowness - 1.0;
    }
    let weight = SLACK_WEIGHT / (margin + MIN_MARGIN) - SPARE_FAST_WORKERS_WEIGHT;
    ((slowness - 1.0) * weight).min(MISS_COST)
}

/// Returns how many tasks that need `need` fit into `available`.
pub(crate) fn fit_count(need: &Resources, available: &Resources) -> u32 {
    let count = |per_task: u32, total: u32| total.checked_div(per_task).unwrap_or(u32::MAX);
    count(need.cpu_milli, available.cpu_milli)
        .min(count(need.memory_mib, available.memory_mib))
        .min(count(need.accelerators, available.accelerators))
}

/// Returns the label that names a worker's rack: the first that starts with `r` and has more than
/// one character, which excludes the label of the worker's kind.
pub fn rack_label(labels: &[Arc<str>]) -> Option<&Arc<str>> {
    labels.iter().find(|l| l.len() > 1 && l.starts_with('r'))
}
