//! Room kept for gangs and large tasks that don't fit yet.
//!
//! Without it small tasks would fill every gap for ever. For the most urgent of them the pass
//! works out which of the workers that may run them are free first, and keeps later steps
//! off these, unless they end before.

use crate::advice::Standing;
use crate::choose::copies;
use crate::engine::Engine;
use crate::pass::Pass;
use crate::place::Placing;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};

/// Most steps for which room is kept at a time: each more leaves less for all others.
const MOST_RESERVATIONS: usize = 3;

/// Most members that one worker is counted for.
const MOST_SLOTS: u32 = 64;

/// A task that takes this part of a worker in some dimension, in hundredths, is large.
const LARGE_PERCENT: u64 = 40;

/// When and where a gang is expected to start.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub begin: Millis,
    /// Position of the room of each member.
    pub rooms: Vec<usize>,
}

impl Plan {
    /// Keeps the room.
    pub fn keep(&self, pass: &mut Pass, need: &Resources) {
        self.rooms.iter().for_each(|&at| pass.rooms[at].keep(need, self.begin));
    }
}

impl Engine {
    /// Returns when and where all members could start first, among the rooms where the gang may
    /// run; none when they can't, or room is kept for others already.
    pub(crate) fn first_start(
        &self,
        pass: &Pass,
        gang: Placing<'_>,
        good: &[usize],
    ) -> Option<Plan> {
        let count = gang.spec.count as usize;
        let slots = self.first_slots(pass, gang, good, count);
        let &(begin, _) = slots.last().filter(|_| slots.len() == count)?;
        Some(Plan { begin, rooms: slots.into_iter().map(|(_, at)| at).collect() })
    }

    /// Keeps the room that tasks of a step could have first, if one of them takes a large part of
    /// a worker: smaller ones would take each part of it as it comes free.
    pub(crate) fn reserve_for_large(&self, pass: &mut Pass, step: Placing<'_>, left: usize) {
        let mut good: Vec<usize> = self.rooms_of(pass, step, Standing::Ticketed).collect();
        if step.queue.advice.is_some() {
            good.extend(self.rooms_of(pass, step, Standing::Lapsed));
        }
        let need = step.spec.allocation();
        good.retain(|&at| takes_large_part(&need, &pass.rooms[at].capacity));
        let slots = self.first_slots(pass, step, &good, left);
        if !slots.is_empty() {
            slots.into_iter().for_each(|(begin, at)| pass.rooms[at].keep(&need, begin));
            pass.reservations += 1;
        }
    }

    /// Returns the first times at which tasks of a step could start among the given rooms, at
    /// most `count`, with the room of each; none when room is kept for others already.
    fn first_slots(
        &self,
        pass: &Pass,
        step: Placing<'_>,
        rooms: &[usize],
        count: usize,
    ) -> Vec<(Millis, usize)> {
        let mut slots = Vec::new();
        if pass.reservations >= MOST_RESERVATIONS {
            return slots;
        }
        let need = step.spec.allocation();
        for &at in rooms {
            let room = &pass.rooms[at];
            if !self.allowed(room, step) {
                continue;
            }
            let free = room.free.minus(&room.reserved);
            self.slots_of(at, room.idx, free, &need, pass.now, &mut slots);
        }
        slots.sort_unstable();
        slots.truncate(count);
        slots
    }

    /// Adds the times at which the worker has room for one more member.
    fn slots_of(
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
        let mut have = copies(need, &free);
        for _ in 0..have.min(MOST_SLOTS) {
            slots.push((now, at));
        }
        for (end, room) in ends {
            free = free.plus(&room);
            let count = copies(need, &free);
            for _ in have..count.min(MOST_SLOTS) {
                slots.push((end, at));
            }
            have = have.max(count);
        }
    }
}

/// Tells whether a task takes a large part of a worker in some dimension.
fn takes_large_part(need: &Resources, of: &Resources) -> bool {
    let large = |n: u32, o: u32| n > 0 && u64::from(n) * 100 >= u64::from(o) * LARGE_PERCENT;
    large(need.cpu_milli, of.cpu_milli)
        || large(need.memory_mib, of.memory_mib)
        || large(need.accelerators, of.accelerators)
}
