//! Gangs: all members start together, or none does.

use crate::advice::{Standing, Want};
use crate::choose::Room;
use crate::engine::Engine;
use crate::order::Order;
use crate::place::Pass;
use crate::queue::Queue;
use crate::spec::{StepKey, StepSpec};
use crate::urgency::Waiting;
use crate::workers::WorkerIdx;

/// How many members go to each room, by position in the pass.
type Seating = Vec<(usize, u32)>;

impl Engine {
    pub(crate) fn place_gang(
        &mut self,
        pass: &mut Pass,
        waiting: &Waiting,
        spec: &StepSpec,
        queue: &Queue,
        out: &mut Vec<Order>,
    ) {
        let key = waiting.key;
        let now = pass.now;
        let ticketed = |s: Standing| s == Standing::Ticketed;
        if waiting.kept
            && let Some(seating) = self.seat_gang(pass, key, spec, queue, &ticketed)
        {
            self.start_gang(pass, key, spec, &seating, out);
            return;
        }
        let Some(step) = self.jobs.step(key) else { return };
        let asking = step.advice.asking;
        if let Some(cost) = queue.advice
            && !asking
            && let Some(workers) = self.gang_to_ask(pass, key, spec, queue)
        {
            pass.wants.push(Want { step: key, workers, cost });
        }
        let may = |s: Standing| matches!(s, Standing::Ticketed | Standing::Lapsed);
        if let Some(seating) = self.seat_gang(pass, key, spec, queue, &may) {
            // It fits once its tickets are renewed, or its acceptance is in the store.
            for (at, n) in seating {
                let room = &mut pass.rooms[at];
                for _ in 0..n {
                    room.reserved = room.reserved.plus(&spec.room());
                }
            }
        } else {
            self.reserve_gang(pass, key, spec, queue, now);
        }
    }

    fn start_gang(
        &mut self,
        pass: &mut Pass,
        key: StepKey,
        spec: &StepSpec,
        seating: &Seating,
        out: &mut Vec<Order>,
    ) {
        let floor = self.jobs.get(key.job).map_or(0, |j| j.run_floor(self.epoch));
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.gang_since = pass.now;
        let run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0).max(floor) + 1;
        let mut index = 0;
        for &(at, n) in seating {
            for _ in 0..n {
                pass.rooms[at].take(&spec.room());
                let idx = pass.rooms[at].idx;
                self.start(idx, key.task(index), run, pass.now, out);
                index += 1;
            }
        }
    }

    /// Finds room for all members on workers of a standing that `may` allows.
    fn seat_gang(
        &self,
        pass: &Pass,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        may: &dyn Fn(Standing) -> bool,
    ) -> Option<Seating> {
        let usable = |r: &Room| {
            may(self.standing(key, r.idx, queue, pass.now)) && self.allowed(r, key, spec, queue)
        };
        let rooms: Vec<usize> =
            (0..pass.rooms.len()).filter(|&at| usable(&pass.rooms[at])).collect();
        if spec.one_rack {
            let in_rack = |rack| {
                let of = |&at: &usize| pass.rooms[at].rack.as_ref() == Some(rack);
                seat(pass, spec, rooms.iter().copied().filter(of).collect())
            };
            if let Some(seating) = Engine::racks(pass).iter().find_map(in_rack) {
                return Some(seating);
            }
        }
        seat(pass, spec, rooms)
    }

    /// Returns the workers to ask about for a gang: all of the pool at first, then those of
    /// which the tickets would let it start.
    fn gang_to_ask(
        &self,
        pass: &Pass,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
    ) -> Option<Vec<WorkerIdx>> {
        let standing = |r: &Room| self.standing(key, r.idx, queue, pass.now);
        let unknown: Vec<_> = pass
            .rooms
            .iter()
            .filter(|r| standing(r) == Standing::Unknown && self.allowed(r, key, spec, queue))
            .collect();
        if self.jobs.step(key)?.advice.nothing_known() {
            return some(unknown.iter().map(|r| r.idx).collect());
        }
        let may = |s: Standing| matches!(s, Standing::Ticketed | Standing::Lapsed);
        if let Some(seating) = self.seat_gang(pass, key, spec, queue, &may) {
            return some(seating.iter().map(|&(at, _)| pass.rooms[at].idx).collect());
        }
        let any = |s: Standing| s != Standing::Barred;
        self.seat_gang(pass, key, spec, queue, &any)?;
        some(unknown.iter().map(|r| r.idx).collect())
    }
}

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
