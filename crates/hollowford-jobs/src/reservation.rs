//! Room kept for gangs and large tasks that don't fit yet.
//!
//! Without it small tasks would fill every gap for ever. For the most urgent of them the pass
//! works out which of the workers that may run them are free first, and keeps later steps
//! off these, unless they end before.

use crate::advice::AdviceStatus;
use crate::candidate::fit_count;
use crate::engine::Engine;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};

/// Most steps for which room is kept at a time: each more leaves less for all others.
const MAX_RESERVATIONS: usize = 3;

/// Most members that one worker is counted for.
const MAX_SLOTS_PER_WORKER: u32 = 64;

/// A task that takes this part of a worker in some dimension, in hundredths, is large.
const LARGE_TASK_PERCENT: u64 = 40;

/// When and where a gang is expected to start.
#[derive(Clone, Debug)]
pub(crate) struct StartPlan {
    pub begin: Millis,
    /// Position of the room of each member.
    pub candidates: Vec<usize>,
}

impl StartPlan {
    /// Keeps the room.
    pub fn reserve(&self, pass: &mut Pass, need: &Resources) {
        self.candidates.iter().for_each(|&at| pass.candidates[at].reserve(need, self.begin));
    }
}

impl Engine {
    /// Returns when and where all members could start first, among the rooms where the gang may
    /// run; none when they can't, or room is kept for others already.
    pub(crate) fn earliest_start(
        &self,
        pass: &Pass,
        gang: StepPlacement<'_>,
        good: &[usize],
    ) -> Option<StartPlan> {
        let count = gang.spec.count as usize;
        let slots = self.earliest_slots(pass, gang, good, count);
        let &(begin, _) = slots.last().filter(|_| slots.len() == count)?;
        Some(StartPlan { begin, candidates: slots.into_iter().map(|(_, at)| at).collect() })
    }

    /// Keeps the room that tasks of a step could have first, if one of them takes a large part of
    /// a worker: smaller ones would take each part of it as it comes free.
    pub(crate) fn reserve_for_large(&self, pass: &mut Pass, step: StepPlacement<'_>, left: usize) {
        let mut good: Vec<usize> =
            self.candidates_with(pass, step, AdviceStatus::ValidTicket).collect();
        if step.queue.advice.is_some() {
            good.extend(self.candidates_with(pass, step, AdviceStatus::LapsedTicket));
        }
        let need = step.spec.allocation();
        good.retain(|&at| takes_large_part(&need, &pass.candidates[at].capacity));
        let slots = self.earliest_slots(pass, step, &good, left);
        if !slots.is_empty() {
            slots.into_iter().for_each(|(begin, at)| pass.candidates[at].reserve(&need, begin));
            pass.reservations += 1;
        }
    }

    /// Returns the first times at which tasks of a step could start among the given rooms, at
    /// most `count`, with the room of each; none when room is kept for others already.
    fn earliest_slots(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        rooms: &[usize],
        count: usize,
    ) -> Vec<(Millis, usize)> {
        let mut slots = Vec::new();
        if pass.reservations >= MAX_RESERVATIONS {
            return slots;
        }
        let need = step.spec.allocation();
        for &at in rooms {
            let room = &pass.candidates[at];
            if !self.is_eligible(room, step) {
                continue;
            }
            let free = room.free.minus(&room.reserved);
            self.add_slots(at, room.idx, free, &need, pass.now, &mut slots);
        }
        slots.sort_unstable();
        slots.truncate(count);
        slots
    }

    /// Adds the times at which the worker has room for one more member.
    fn add_slots(
        &self,
        at: usize,
        idx: WorkerIdx,
        mut free: Resources,
        need: &Resources,
        now: Millis,
        slots: &mut Vec<(Millis, usize)>,
    ) {
        let Some(w) = self.workers.get(idx) else { return };
        let mut ends: Vec<_> = w.held.iter().map(|h| (h.expected_end.max(now), h.room)).collect();
        ends.sort_unstable_by_key(|&(end, _)| end);
        let mut have = fit_count(need, &free);
        for _ in 0..have.min(MAX_SLOTS_PER_WORKER) {
            slots.push((now, at));
        }
        for (end, room) in ends {
            free = free.plus(&room);
            let count = fit_count(need, &free);
            for _ in have..count.min(MAX_SLOTS_PER_WORKER) {
                slots.push((end, at));
            }
            have = have.max(count);
        }
    }
}

/// Tells whether a task takes a large part of a worker in some dimension.
fn takes_large_part(need: &Resources, of: &Resources) -> bool {
    let large = |n: u32, o: u32| n > 0 && u64::from(n) * 100 >= u64::from(o) * LARGE_TASK_PERCENT;
    large(need.cpu_milli, of.cpu_milli)
        || large(need.memory_mib, of.memory_mib)
        || large(need.accelerators, of.accelerators)
}
