//! Gangs: all members start together, or none does.

use crate::advice::Standing;
use crate::engine::Engine;
use crate::order::Order;
use crate::pass::Pass;
use crate::place::Placing;
use crate::seats::Want;
use crate::spec::StepSpec;
use crate::workers::{Placement, WorkerIdx};

/// How many members go to each room, by position in the pass.
type Seating = Vec<(usize, u32)>;

impl Engine {
    /// Starts a gang if all its members can start; else asks for what it lacks and keeps room
    /// for it.
    pub(crate) fn place_gang(&mut self, pass: &mut Pass, gang: Placing<'_>, out: &mut Vec<Order>) {
        let ticketed: Vec<usize> = self.rooms_of(pass, gang, Standing::Ticketed).collect();
        if gang.kept
            && let Some(seating) = self.seat_gang(pass, gang, &ticketed)
        {
            self.start_gang(pass, gang, &seating, out);
            return;
        }
        if let Some(cost) = self.askable(pass, gang)
            && let Some(workers) = self.gang_to_ask(pass, gang)
        {
            self.ask(Want { step: gang.key, workers, cost }, pass.now, out);
        }
        let mut good = ticketed;
        if gang.queue.advice.is_some() {
            good.extend(self.rooms_of(pass, gang, Standing::Lapsed));
        }
        match self.seat_gang(pass, gang, &good) {
            // It fits once its tickets are renewed, or its acceptance is in the store.
            Some(seating) => reserve(pass, gang.spec, &seating),
            None => self.reserve_gang(pass, gang, &good),
        }
    }

    fn start_gang(
        &mut self,
        pass: &mut Pass,
        gang: Placing<'_>,
        seating: &Seating,
        out: &mut Vec<Order>,
    ) {
        let Placing { key, spec, .. } = gang;
        let floor = self.jobs.get(key.job).map_or(0, |j| j.run_floor(self.epoch));
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.gang_since = pass.now;
        let run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0).max(floor) + 1;
        let mut index = 0;
        for &(at, n) in seating {
            for _ in 0..n {
                pass.rooms[at].take(&spec.room());
                let idx = pass.rooms[at].idx;
                self.start(Placement { idx, task: key.task(index), run }, pass.now, out);
                index += 1;
            }
        }
    }

    /// Finds room for all members among these rooms.
    fn seat_gang(&self, pass: &mut Pass, gang: Placing<'_>, rooms: &[usize]) -> Option<Seating> {
        let spec = gang.spec;
        let need = spec.room();
        if !pass.may_fit(&need) {
            return None;
        }
        let fits = |&at: &usize| need.fits(&pass.rooms[at].free);
        let usable = |at: &usize| fits(at) && self.allowed(&pass.rooms[*at], gang);
        let rooms: Vec<usize> = rooms.iter().copied().filter(usable).collect();
        if spec.one_rack {
            let racks = pass.racks();
            let in_rack = |rack| {
                let of = |&at: &usize| pass.rooms[at].rack.as_ref() == Some(rack);
                seat(pass, spec, rooms.iter().copied().filter(of).collect())
            };
            if let Some(seating) = racks.iter().find_map(in_rack) {
                return Some(seating);
            }
        }
        seat(pass, spec, rooms)
    }

    /// Returns the workers to ask about for a gang: all of the pool at first, then those of
    /// which the tickets would let it start.
    fn gang_to_ask(&self, pass: &mut Pass, gang: Placing<'_>) -> Option<Vec<WorkerIdx>> {
        let (mut good, mut unknown) = (Vec::new(), Vec::new());
        for (at, room) in pass.rooms.iter().enumerate().filter(|(_, r)| self.allowed(r, gang)) {
            match self.standing(gang, room.idx, pass.now) {
                Standing::Unknown => unknown.push(at),
                Standing::Ticketed | Standing::Lapsed => good.push(at),
                Standing::Barred => {}
            }
        }
        let first = self.jobs.step(gang.key)?.advice.nothing_known();
        if !first && let Some(seating) = self.seat_gang(pass, gang, &good) {
            return some(seating.iter().map(|&(at, _)| pass.rooms[at].idx).collect());
        }
        let asked = unknown.iter().map(|&at| pass.rooms[at].idx).collect();
        if !first {
            good.extend(&unknown);
            self.seat_gang(pass, gang, &good)?;
        }
        some(asked)
    }
}

/// Keeps the room that a gang is seated in.
fn reserve(pass: &mut Pass, spec: &StepSpec, seating: &Seating) {
    for &(at, n) in seating {
        let room = &mut pass.rooms[at];
        for _ in 0..n {
            room.reserved = room.reserved.plus(&spec.room());
        }
    }
}

/// Returns the list unless it is empty.
fn some(workers: Vec<WorkerIdx>) -> Option<Vec<WorkerIdx>> {
    (!workers.is_empty()).then_some(workers)
}

/// Seats all members in the given rooms, the fullest rooms first.
fn seat(pass: &Pass, spec: &StepSpec, rooms: Vec<usize>) -> Option<Seating> {
    let need = spec.room();
    let limit = if spec.spread > 0 { spec.spread } else { u32::MAX };
    let mut slots: Vec<_> =
        rooms.into_iter().map(|at| (at, pass.rooms[at].count(&need).min(limit))).collect();
    slots.retain(|&(_, n)| n > 0);
    if slots.iter().map(|&(_, n)| u64::from(n)).sum::<u64>() < u64::from(spec.count) {
        return None;
    }
    let left = |at: usize| pass.rooms[at].left_after(&need) + pass.rooms[at].slow_cost();
    slots.sort_unstable_by(|a, b| left(a.0).total_cmp(&left(b.0)));
    let mut open = spec.count;
    let mut out = Vec::new();
    for (at, n) in slots {
        let n = n.min(open);
        open -= n;
        out.push((at, n));
        if open == 0 {
            break;
        }
    }
    Some(out)
}
