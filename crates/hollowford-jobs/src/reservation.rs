//! Reservations for gangs and large tasks that don't fit yet.
//!
//! Without reservations, small tasks would keep filling every gap. For the most urgent steps that
//! don't fit, the pass computes which of their workers become free first. Later steps use these
//! workers only for tasks that end before the reservation starts.

use crate::advice::AdviceStatus;
use crate::candidate::fit_count;
use crate::engine::Engine;
use crate::held_task::HeldTask;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::queue::Queue;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};

/// Maximum number of steps with reservations at a time. Each reservation leaves less capacity for
/// other steps.
const MAX_RESERVATIONS: usize = 3;
/// Maximum number of tasks of a step that are planned on one worker.
const MAX_SLOTS_PER_WORKER: u32 = 64;
/// Share of a worker's capacity, in percent, from which a task is large. One resource is enough.
const LARGE_TASK_PERCENT: u64 = 40;

/// When and where a gang is expected to start.
#[derive(Clone, Debug)]
pub(crate) struct StartPlan {
    /// Expected start.
    pub start: Millis,
    /// Position of the candidate of each member.
    pub candidates: Vec<usize>,
}

impl StartPlan {
    /// Reserves the resources of all members.
    pub fn reserve(&self, pass: &mut Pass, need: &Resources) {
        self.candidates.iter().for_each(|&at| pass.candidates[at].reserve(need, self.start));
    }
}

impl Engine {
    /// Returns the earliest time and place at which all members could start on the allowed
    /// candidates. `None` if these are too few or [`MAX_RESERVATIONS`] is reached.
    pub(crate) fn earliest_start(
        &self,
        pass: &Pass,
        gang: StepPlacement<'_>,
        allowed: &[usize],
    ) -> Option<StartPlan> {
        let count = gang.spec.count as usize;
        let slots = self.earliest_slots(pass, gang, allowed, count);
        let &(start, _) = slots.last().filter(|_| slots.len() == count)?;
        Some(StartPlan { start, candidates: slots.into_iter().map(|(_, at)| at).collect() })
    }

    /// Reserves the earliest capacity for the unstarted tasks of a step on workers of which one
    /// task takes a large part. Otherwise smaller tasks would use each part of it as it becomes
    /// free. Returns the expected start and the position of the candidate of each reservation.
    pub(crate) fn reserve_for_large_tasks(
        &self,
        pass: &mut Pass,
        step: StepPlacement<'_>,
        remaining: usize,
    ) -> Vec<(Millis, usize)> {
        let mut allowed: Vec<usize> =
            self.candidates_with(pass, step, AdviceStatus::ValidTicket).collect();
        if step.queue.advice.is_some() {
            allowed.extend(self.candidates_with(pass, step, AdviceStatus::LapsedTicket));
        }
        let need = step.spec.allocation();
        allowed.retain(|&at| takes_large_part(&need, &pass.candidates[at].capacity));
        let slots = self.earliest_slots(pass, step, &allowed, remaining);
        if !slots.is_empty() {
            slots.iter().for_each(|&(start, at)| pass.candidates[at].reserve(&need, start));
            pass.reservations += 1;
        }
        slots
    }

    /// Returns the earliest times at which tasks of a step could start on the given candidates, at
    /// most `count`, with the candidate of each. Empty if [`MAX_RESERVATIONS`] is reached.
    fn earliest_slots(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        candidates: &[usize],
        count: usize,
    ) -> Vec<(Millis, usize)> {
        let mut slots = Vec::new();
        if pass.reservations >= MAX_RESERVATIONS {
            return slots;
        }
        let need = step.spec.allocation();
        for &at in candidates {
            let candidate = &pass.candidates[at];
            if !self.is_eligible(candidate, step) {
                continue;
            }
            let free = candidate.free.minus(&candidate.reserved);
            let ends = self.expected_ends(candidate.idx, step.queue, pass.now);
            add_slots(at, ends, free, &need, pass.now, &mut slots);
        }
        slots.sort_unstable();
        slots.truncate(count);
        slots
    }

    /// Returns the expected ends of a worker's tasks with what they release, the earliest first. A
    /// call for advice that relies on the end of an overdue task would be in vain, so for steps that
    /// need advice such a task is expected to take longer.
    fn expected_ends(
        &self,
        idx: WorkerIdx,
        queue: &Queue,
        now: Millis,
    ) -> Vec<(Millis, Resources)> {
        let Some(w) = self.workers.get(idx) else { return Vec::new() };
        let is_scheduled = self.features.advice_scheduling && queue.advice.is_some();
        let end = |h: &HeldTask| match is_scheduled {
            true => h.remaining_until(now),
            false => h.expected_end.max(now),
        };
        let mut ends: Vec<_> = w.held.iter().map(|h| (end(h), h.allocation)).collect();
        ends.sort_unstable_by_key(|&(end, _)| end);
        ends
    }
}

/// Adds each time at which a worker has capacity for one more task.
fn add_slots(
    at: usize,
    ends: Vec<(Millis, Resources)>,
    mut free: Resources,
    need: &Resources,
    now: Millis,
    slots: &mut Vec<(Millis, usize)>,
) {
    let mut fitting = fit_count(need, &free);
    for _ in 0..fitting.min(MAX_SLOTS_PER_WORKER) {
        slots.push((now, at));
    }
    for (end, allocation) in ends {
        free = free.plus(&allocation);
        let count = fit_count(need, &free);
        for _ in fitting..count.min(MAX_SLOTS_PER_WORKER) {
            slots.push((end, at));
        }
        fitting = fitting.max(count);
    }
}

/// Returns true if a task takes at least [`LARGE_TASK_PERCENT`] of some resource of a worker.
fn takes_large_part(need: &Resources, capacity: &Resources) -> bool {
    let large = |part: u32, whole: u32| {
        part > 0 && u64::from(part) * 100 >= u64::from(whole) * LARGE_TASK_PERCENT
    };
    large(need.cpu_milli, capacity.cpu_milli)
        || large(need.memory_mib, capacity.memory_mib)
        || large(need.accelerators, capacity.accelerators)
}
