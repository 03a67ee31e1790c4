//! Gangs: all tasks start together, or none does.
//!
//! A gang that doesn't fit gets a reservation: workers on which it will have room
//! soonest by the expected run times. Other work may still use them when it is
//! expected to end before that (backfill), until the gang has waited too long. A
//! worker is reserved for one gang at a time, and a reservation is made only when
//! its workers hold the whole gang, so two gangs never hold halves.

use crate::engine::Engine;
use crate::event::{Action, Change};
use crate::feasible::{times, zone_allows};
use crate::place::{Pass, Tried};
use crate::request::{Class, Placing, Request, Task, TaskState, Wait};
use crate::worker::{Worker, WorkerIdx};
use hollowford_core::{Kind, Millis, RequestNo, Resources, Spread};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Largest part of the workers that are reserved at once.
const RESERVED_PART: usize = 2;
/// Wait before a gang without a reservation is looked at again.
const RESERVE_AGAIN: Millis = Millis(1_000);

/// Workers kept for one gang.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub workers: Vec<WorkerIdx>,
    /// When the gang is expected to fit.
    pub ready_at: Millis,
    /// When the gang was accepted.
    pub waits_since: Millis,
}

/// How many tasks of a gang go to one worker.
type Slots = (WorkerIdx, u32);

impl Engine {
    /// Places a whole gang, or reserves workers for it.
    pub(crate) fn try_gang(
        &mut self,
        no: RequestNo,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) -> Tried {
        let Some(r) = self.requests.get(&no) else {
            return Tried::Waits(Wait::Fresh);
        };
        match self.gang_slots(r, pass.now) {
            Some(slots) => {
                self.place_gang(no, &slots, pass, out);
                Tried::Placed
            }
            None => self.reserve(no, pass.now, out),
        }
    }

    /// Finds room for every waiting task now, in as few racks as possible.
    fn gang_slots(&self, r: &Request, now: Millis) -> Option<Vec<Slots>> {
        let need = r.waiting.len() as u32;
        let allowed = |idx: &WorkerIdx| self.allows(r, self.workers.get(*idx), *idx, now);
        let mut racks: BTreeMap<Arc<str>, Vec<Slots>> = BTreeMap::new();
        for idx in self.workers.with_room(&r.spec.per_task).filter(allowed) {
            let w = self.workers.get(idx);
            let n = slots_of(r, w, &w.free);
            racks.entry(w.rack.clone()).or_default().push((idx, n));
        }
        pick_slots(r, racks.into_values().collect(), need)
    }

    fn place_gang(
        &mut self,
        no: RequestNo,
        slots: &[Slots],
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) {
        let mut placed = Vec::new();
        let mut last_seq = 0;
        for &(worker, n) in slots {
            for _ in 0..n {
                let Some(index) = self.requests.get_mut(&no).and_then(|r| r.waiting.pop_front())
                else {
                    break;
                };
                last_seq = self.place(no, index, worker, pass.now, out);
                placed.push((index, worker));
            }
        }
        // Every start waits for the last intent: the gang starts whole.
        for &(index, worker) in &placed {
            self.expect_start(no, index, worker, last_seq);
        }
        if let Some(&(_, worker)) = placed.first() {
            let compared = slots.len() as u32;
            self.note_placing(no, Placing { worker, compared, runner_up: None });
        }
        self.drop_reservation(no);
        Engine::count_placed(pass, placed.len());
    }

    fn reserve(&mut self, no: RequestNo, now: Millis, out: &mut Vec<Action>) -> Tried {
        if let Some(v) = self.reservations.get(&no) {
            // A reservation stands while its workers do: they drain, and choosing
            // again would begin anew.
            if v.workers.iter().all(|&w| self.workers.get(w).usable()) {
                return Tried::Waits(Wait::GangReservation);
            }
            self.drop_reservation(no);
        }
        let Some(r) = self.requests.get(&no) else {
            return Tried::Waits(Wait::Fresh);
        };
        self.wakes.insert((now + RESERVE_AGAIN, no));
        let Some((ready_at, workers)) = self.earliest_room(r, now) else {
            return Tried::Waits(Wait::NoRoom);
        };
        let reserved: usize = self.reservations.values().map(|v| v.workers.len()).sum();
        let first = self.reservations.is_empty();
        if !first && (reserved + workers.len()) * RESERVED_PART > self.workers.len() {
            return Tried::Waits(Wait::NoRoom);
        }
        let urgent = r.class == Class::Urgent;
        let waits_since = r.accepted_at;
        for &idx in &workers {
            self.workers.touch(idx).reserved_for = Some(no);
        }
        if urgent {
            self.displace_from(&workers, now, out);
        }
        self.reservations.insert(no, Reservation { workers, ready_at, waits_since });
        Tried::Waits(Wait::GangReservation)
    }

    /// Gives a reservation's workers back to all.
    pub(crate) fn drop_reservation(&mut self, no: RequestNo) {
        if let Some(v) = self.reservations.remove(&no) {
            for idx in v.workers {
                self.workers.touch(idx).reserved_for = None;
            }
            self.dirty = true;
        }
    }

    /// Tells whether a worker's reservation lets this request use it.
    pub(crate) fn reservation_allows(&self, r: &Request, w: &Worker, now: Millis) -> bool {
        let Some(holder) = w.reserved_for else {
            return true;
        };
        if holder == r.no || r.class == Class::Urgent {
            return true;
        }
        let Some(v) = self.reservations.get(&holder) else {
            return true;
        };
        if self.goes_before(r, holder) {
            return true;
        }
        let bounded = r.spec.run_time_ms > 0 && r.spec.kind == Kind::Batch;
        let drains = now.since(v.waits_since) >= self.policy.gang_drain_after;
        bounded && !drains && self.expected_end(r, now) <= v.ready_at
    }

    /// Tells whether the request's account is further behind in the order than that of
    /// a reservation's holder. Such work goes first, as it would without the
    /// reservation; or else gangs that keep coming would starve it.
    fn goes_before(&self, r: &Request, holder: RequestNo) -> bool {
        let order = |idx| self.accounts.get(idx).order(&self.workers.whole);
        let holder = self.requests.get(&holder).map(|h| h.account);
        holder.is_some_and(|account| account != r.account && order(r.account) < order(account))
    }

    /// Finds the earliest time at which the gang fits, by the declared run times,
    /// and the workers that have the room then.
    fn earliest_room(&self, r: &Request, now: Millis) -> Option<(Millis, Vec<WorkerIdx>)> {
        let usable: Vec<WorkerIdx> = self
            .workers
            .usable()
            .filter(|&idx| {
                let w = self.workers.get(idx);
                zone_allows(&r.spec, w) && w.reserved_for.is_none_or(|holder| holder == r.no)
            })
            .collect();
        let mut ends: Vec<Millis> = usable
            .iter()
            .flat_map(|&idx| self.workers.get(idx).held.iter().map(|h| h.ends_by(now)))
            .collect();
        ends.push(now);
        ends.sort_unstable();
        ends.dedup();
        let fits = |t: &Millis| self.room_at(r, &usable, now, *t).is_some();
        let at = ends.partition_point(|t| !fits(t));
        let t = *ends.get(at)?;
        let slots = self.room_at(r, &usable, now, t)?;
        Some((t.max(now), slots.into_iter().map(|(idx, _)| idx).collect()))
    }

    /// Returns where the gang would fit at `t`, when all that ends by then has ended.
    fn room_at(
        &self,
        r: &Request,
        usable: &[WorkerIdx],
        now: Millis,
        t: Millis,
    ) -> Option<Vec<Slots>> {
        let mut racks: BTreeMap<Arc<str>, Vec<Slots>> = BTreeMap::new();
        for &idx in usable {
            let w = self.workers.get(idx);
            let ended = w.held.iter().filter(|h| h.ends_by(now) <= t);
            let free = ended.fold(w.free, |a, h| a.plus(&h.resources));
            let n = slots_of(r, w, &free);
            if n > 0 {
                racks.entry(w.rack.clone()).or_default().push((idx, n));
            }
        }
        pick_slots(r, racks.into_values().collect(), r.waiting.len() as u32)
    }

    /// Stops all tasks of a gang, since one of them won't go on.
    pub(crate) fn regroup(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.regroup = true;
        }
        self.stop_all(now, no, false, out);
    }

    /// Once all tasks of a stopped gang have ended: lets it wait again as a whole,
    /// or fails it.
    pub(crate) fn finish_regroup(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        if !r.regroup || r.active > 0 {
            return;
        }
        r.regroup = false;
        if !r.spec.repeatable && r.done > 0 {
            // Part of it has run to its end and must not run again.
            r.failed += 1;
            r.message = "a task of the gang did not start, and another had ended".into();
        }
        if r.failed > 0 || r.unsure > 0 || r.cancelled {
            self.drop_waiting(no);
            self.close_if_ended(now, no, out);
            return;
        }
        let ended: Vec<u32> = (0..r.tasks.len() as u32)
            .filter(|&i| r.tasks[i as usize].state == TaskState::Ended)
            .collect();
        for index in ended {
            self.requeue_done(no, index, out);
        }
    }

    fn requeue_done(&mut self, no: RequestNo, index: u32, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&no) else {
            return;
        };
        let task = r.task_id(index);
        let Task { failures, crashes, .. } = r.tasks[index as usize];
        let checkpoint = "".into();
        let change = Change::Queued { task, failures, crashes, checkpoint, begun: r.begun };
        self.append(no, change, out);
        self.apply_queued(no, index);
    }

    /// Makes a task that had ended wait again.
    pub(crate) fn apply_queued(&mut self, no: RequestNo, index: u32) {
        if let Some(r) = self.requests.get_mut(&no)
            && r.results.remove(index)
        {
            r.done -= 1;
        }
        self.requeue(no, index);
    }
}

/// Returns how many of the request's tasks a worker can take into `room`.
fn slots_of(r: &Request, w: &Worker, room: &Resources) -> u32 {
    let n = times(&r.spec.per_task, room);
    match r.spec.placement.spread {
        Spread::Instance | Spread::Rack => n.min(1),
        Spread::None if w.probing => n.min(1),
        Spread::None => n,
    }
}

/// Takes `need` slots from as few racks as possible, or from one if the request
/// asks for it. Returns `None` when there are too few.
fn pick_slots(r: &Request, mut racks: Vec<Vec<Slots>>, need: u32) -> Option<Vec<Slots>> {
    let total = |rack: &Vec<Slots>| rack.iter().map(|(_, n)| u64::from(*n)).sum::<u64>();
    let need = u64::from(need);
    if r.spec.placement.spread == Spread::Rack {
        racks.iter_mut().for_each(|rack| rack.truncate(1));
    }
    // The smallest rack that holds the whole gang leaves the larger ones free.
    let whole = racks.iter().filter(|rack| total(rack) >= need).min_by_key(|rack| total(rack));
    let from: Vec<Slots> = match whole {
        Some(rack) => rack.clone(),
        None if r.spec.placement.same_rack => return None,
        None => {
            racks.sort_by_key(|rack| Reverse(total(rack)));
            racks.into_iter().flatten().collect()
        }
    };
    take_slots(from, need)
}

fn take_slots(from: Vec<Slots>, need: u64) -> Option<Vec<Slots>> {
    let mut left = need;
    let mut taken = Vec::new();
    for (idx, n) in from {
        let n = u64::from(n).min(left);
        if n > 0 {
            taken.push((idx, n as u32));
        }
        left -= n;
        if left == 0 {
            return Some(taken);
        }
    }
    None
}
