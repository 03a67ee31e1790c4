//! Room kept for gangs that don't fit yet.
//!
//! Without it small tasks would fill every gap for ever. For the most urgent gangs the pass
//! works out which of the workers that may run them are free first, and keeps later steps
//! off these, unless they end before.

use crate::choose::copies;
use crate::engine::Engine;
use crate::pass::Pass;
use crate::place::Placing;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};

/// Most gangs for which room is kept at a time: each more leaves less for all others.
const MOST_RESERVATIONS: usize = 3;

/// Most members that one worker is counted for.
const MOST_SLOTS: u32 = 64;

impl Engine {
    /// Keeps the room in which all members could start first, among the rooms where the gang
    /// may run.
    pub(crate) fn reserve_gang(&self, pass: &mut Pass, gang: Placing<'_>, good: &[usize]) {
        if pass.reservations >= MOST_RESERVATIONS {
            return;
        }
        let Placing { spec, .. } = gang;
        let now = pass.now;
        let need = spec.room();
        let mut slots = Vec::new();
        for &at in good {
            let room = &pass.rooms[at];
            if !self.allowed(room, gang) {
                continue;
            }
            let free = room.free.minus(&room.reserved);
            self.slots_of(at, room.idx, free, &need, now, &mut slots);
        }
        if slots.len() < spec.count as usize {
            return;
        }
        slots.sort_unstable();
        slots.truncate(spec.count as usize);
        let Some(&(begin, _)) = slots.last() else { return };
        for (_, at) in slots {
            let room = &mut pass.rooms[at];
            room.reserved = room.reserved.plus(&need);
            room.reserved_until = begin;
        }
        pass.reservations += 1;
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
