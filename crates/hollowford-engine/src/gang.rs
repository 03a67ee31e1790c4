//! Gangs: all tasks start together, or none does.
//!
//! A gang that doesn't fit gets a reservation: workers on which it will have room
//! soonest by the expected run times. Other work may still use them when it is
//! expected to end before that (backfill), until the gang has waited too long. A
//! worker is reserved for one gang at a time, and a reservation is made only when
//! its workers hold the whole gang, so two gangs never hold halves.

use crate::engine::Engine;
use crate::event::{Action, Change};
use crate::feasibility::{fit_count, placement_allows};
use crate::placement::{Pass, TryOutcome};
use crate::request::{PlacementChoice, PriorityClass, Request, Task, TaskState, WaitCause};
use crate::worker::{Worker, WorkerIdx};
use hollowford_core::{Kind, Millis, RequestNo, Resources, Spread};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Largest part of the workers that are reserved at once.
const RESERVED_SHARE_DIVISOR: usize = 2;
/// Wait before a gang without a reservation is looked at again.
const RESERVATION_RETRY_INTERVAL: Millis = Millis(1_000);

/// Workers kept for one gang.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub workers: Vec<WorkerIdx>,
    /// When the gang is expected to fit.
    pub ready_at: Millis,
    /// When the gang was accepted.
    pub accepted_at: Millis,
}

/// How many tasks of a gang go to one worker.
type WorkerSlots = (WorkerIdx, u32);

impl Engine {
    /// Places a whole gang, or reserves workers for it.
    pub(crate) fn try_gang(
        &mut self,
        no: RequestNo,
        pass: &mut Pass,
        out: &mut Vec<Action>,
    ) -> TryOutcome {
        let Some(r) = self.requests.get(&no) else {
            return TryOutcome::Waits(WaitCause::AwaitingTurn);
        };
        match self.find_gang_slots(r, pass.now) {
            Some(slots) => {
                self.place_gang(no, &slots, pass, out);
                TryOutcome::Placed
            }
            None => self.reserve(no, pass.now, out),
        }
    }

    /// Finds room for every waiting task now, in as few racks as possible.
    fn find_gang_slots(&self, r: &Request, now: Millis) -> Option<Vec<WorkerSlots>> {
        let need = r.waiting.len() as u32;
        let allowed = |idx: &WorkerIdx| self.is_eligible(r, self.workers.get(*idx), *idx, now);
        let mut racks: BTreeMap<Arc<str>, Vec<WorkerSlots>> = BTreeMap::new();
        for idx in self.workers.with_room(&r.spec.per_task).filter(allowed) {
            let w = self.workers.get(idx);
            let n = slot_count(r, w, &w.free);
            racks.entry(w.rack.clone()).or_default().push((idx, n));
        }
        pick_slots(r, racks.into_values().collect(), need)
    }

    fn place_gang(
        &mut self,
        no: RequestNo,
        slots: &[WorkerSlots],
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
            self.queue_start(no, index, worker, last_seq);
        }
        if let Some(&(_, worker)) = placed.first() {
            let compared = slots.len() as u32;
            self.record_placement_choice(no, PlacementChoice { worker, compared, runner_up: None });
        }
        self.drop_reservation(no);
        Engine::count_placed(pass, placed.len());
    }

    fn reserve(&mut self, no: RequestNo, now: Millis, out: &mut Vec<Action>) -> TryOutcome {
        if let Some(v) = self.reservations.get(&no) {
            // A reservation stands while its workers do: they drain, and choosing
            // again would begin anew.
            if v.workers.iter().all(|&w| self.workers.get(w).is_usable()) {
                return TryOutcome::Waits(WaitCause::GangReservation);
            }
            self.drop_reservation(no);
        }
        let Some(r) = self.requests.get(&no) else {
            return TryOutcome::Waits(WaitCause::AwaitingTurn);
        };
        self.retry_times.insert((now + RESERVATION_RETRY_INTERVAL, no));
        let Some((ready_at, workers)) = self.earliest_fit(r, now) else {
            return TryOutcome::Waits(WaitCause::NoRoom);
        };
        let reserved: usize = self.reservations.values().map(|v| v.workers.len()).sum();
        let first = self.reservations.is_empty();
        if !first && (reserved + workers.len()) * RESERVED_SHARE_DIVISOR > self.workers.len() {
            return TryOutcome::Waits(WaitCause::NoRoom);
        }
        let urgent = r.class == PriorityClass::Urgent;
        let accepted_at = r.accepted_at;
        for &idx in &workers {
            self.workers.get_mut_unindexed(idx).reserved_for = Some(no);
        }
        if urgent {
            self.preempt_on(&workers, now, out);
        }
        self.reservations.insert(no, Reservation { workers, ready_at, accepted_at });
        TryOutcome::Waits(WaitCause::GangReservation)
    }

    /// Gives a reservation's workers back to all.
    pub(crate) fn drop_reservation(&mut self, no: RequestNo) {
        if let Some(v) = self.reservations.remove(&no) {
            for idx in v.workers {
                self.workers.get_mut_unindexed(idx).reserved_for = None;
            }
            self.needs_pass = true;
        }
    }

    /// Tells whether a worker's reservation lets this request use it.
    pub(crate) fn reservation_allows(&self, r: &Request, w: &Worker, now: Millis) -> bool {
        let Some(holder) = w.reserved_for else {
            return true;
        };
        if holder == r.no || r.class == PriorityClass::Urgent {
            return true;
        }
        let Some(v) = self.reservations.get(&holder) else {
            return true;
        };
        if self.ranks_before(r, holder) {
            return true;
        }
        let bounded = r.spec.run_time_ms > 0 && r.spec.kind == Kind::Batch;
        let is_draining = now.since(v.accepted_at) >= self.policy.gang_drain_after;
        bounded && !is_draining && self.expected_end(r, now) <= v.ready_at
    }

    /// Tells whether the request's account is further behind in the order than that of
    /// a reservation's holder. Such work goes first, as it would without the
    /// reservation; or else gangs that keep coming would starve it.
    fn ranks_before(&self, r: &Request, holder: RequestNo) -> bool {
        let share_rank = |idx| self.accounts.get(idx).share_rank(&self.workers.total_capacity);
        let holder = self.requests.get(&holder).map(|h| h.account);
        holder.is_some_and(|account| {
            account != r.account && share_rank(r.account) < share_rank(account)
        })
    }

    /// Finds the earliest time at which the gang fits, by the declared run times,
    /// and the workers that have the room then.
    fn earliest_fit(&self, r: &Request, now: Millis) -> Option<(Millis, Vec<WorkerIdx>)> {
        let usable: Vec<WorkerIdx> = self
            .workers
            .usable()
            .filter(|&idx| {
                let w = self.workers.get(idx);
                placement_allows(&r.spec, w) && w.reserved_for.is_none_or(|holder| holder == r.no)
            })
            .collect();
        let mut ends: Vec<Millis> = usable
            .iter()
            .flat_map(|&idx| self.workers.get(idx).held.iter().map(|h| h.estimated_end(now)))
            .collect();
        ends.push(now);
        ends.sort_unstable();
        ends.dedup();
        let fits = |t: &Millis| self.slots_at(r, &usable, now, *t).is_some();
        let at = ends.partition_point(|t| !fits(t));
        let t = *ends.get(at)?;
        let slots = self.slots_at(r, &usable, now, t)?;
        Some((t.max(now), slots.into_iter().map(|(idx, _)| idx).collect()))
    }

    /// Returns where the gang would fit at `t`, when all that ends by then has ended.
    fn slots_at(
        &self,
        r: &Request,
        usable: &[WorkerIdx],
        now: Millis,
        t: Millis,
    ) -> Option<Vec<WorkerSlots>> {
        let mut racks: BTreeMap<Arc<str>, Vec<WorkerSlots>> = BTreeMap::new();
        for &idx in usable {
            let w = self.workers.get(idx);
            let ended = w.held.iter().filter(|h| h.estimated_end(now) <= t);
            let free = ended.fold(w.free, |a, h| a.plus(&h.resources));
            let n = slot_count(r, w, &free);
            if n > 0 {
                racks.entry(w.rack.clone()).or_default().push((idx, n));
            }
        }
        pick_slots(r, racks.into_values().collect(), r.waiting.len() as u32)
    }

    /// Stops all tasks of a gang, since one of them won't go on.
    pub(crate) fn restart_gang(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.restarting = true;
        }
        self.stop_all(now, no, false, out);
    }

    /// Once all tasks of a stopped gang have ended: lets it wait again as a whole,
    /// or fails it.
    pub(crate) fn finish_gang_restart(
        &mut self,
        now: Millis,
        no: RequestNo,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        if !r.restarting || r.active > 0 {
            return;
        }
        r.restarting = false;
        if !r.spec.repeatable && r.done > 0 {
            // Part of it has run to its end and must not run again.
            r.failed += 1;
            r.message = "a task of the gang did not start, and another had ended".into();
        }
        if r.failed > 0 || r.uncertain > 0 || r.cancelled {
            self.drop_waiting(no);
            self.close_if_ended(now, no, out);
            return;
        }
        let ended: Vec<u32> = (0..r.tasks.len() as u32)
            .filter(|&i| r.tasks[i as usize].state == TaskState::Ended)
            .collect();
        for index in ended {
            self.requeue_ended(no, index, out);
        }
    }

    fn requeue_ended(&mut self, no: RequestNo, index: u32, out: &mut Vec<Action>) {
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
fn slot_count(r: &Request, w: &Worker, room: &Resources) -> u32 {
    let n = fit_count(&r.spec.per_task, room);
    match r.spec.placement.spread {
        Spread::Instance | Spread::Rack => n.min(1),
        Spread::None if w.probing => n.min(1),
        Spread::None => n,
    }
}

/// Takes `need` slots from as few racks as possible, or from one if the request
/// asks for it. Returns `None` when there are too few.
fn pick_slots(
    r: &Request,
    mut racks: Vec<Vec<WorkerSlots>>,
    need: u32,
) -> Option<Vec<WorkerSlots>> {
    let total = |rack: &Vec<WorkerSlots>| rack.iter().map(|(_, n)| u64::from(*n)).sum::<u64>();
    let need = u64::from(need);
    if r.spec.placement.spread == Spread::Rack {
        racks.iter_mut().for_each(|rack| rack.truncate(1));
    }
    // The smallest rack that holds the whole gang leaves the larger ones free.
    let one_rack = racks.iter().filter(|rack| total(rack) >= need).min_by_key(|rack| total(rack));
    let from: Vec<WorkerSlots> = match one_rack {
        Some(rack) => rack.clone(),
        None if r.spec.placement.same_rack => return None,
        None => {
            racks.sort_by_key(|rack| Reverse(total(rack)));
            racks.into_iter().flatten().collect()
        }
    };
    take_slots(from, need)
}

fn take_slots(from: Vec<WorkerSlots>, need: u64) -> Option<Vec<WorkerSlots>> {
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
