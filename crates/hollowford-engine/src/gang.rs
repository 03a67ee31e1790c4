//! Gang scheduling: all tasks of a gang start together, or none does.
//!
//! A gang that does not fit gets a reservation for the workers on which it is expected
//! to fit earliest. Until the gang has waited for `Policy::gang_drain_after`, other work may
//! use these workers if it is expected to end before that time (backfill). A worker is
//! reserved for one gang at a time, and a reservation is made only if its workers have
//! room for the whole gang, so two gangs never block each other with partial reservations.

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

/// At most 1 / `RESERVED_SHARE_DIVISOR` of the workers are reserved at the same time, unless a
/// single gang needs more.
const RESERVED_SHARE_DIVISOR: usize = 2;
/// Interval at which a gang that does not fit is tried again.
const RESERVATION_RETRY_INTERVAL: Millis = Millis(1_000);

/// Workers that are reserved for one gang.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub workers: Vec<WorkerIdx>,
    /// When the gang is expected to fit.
    pub ready_at: Millis,
    /// When the gang was accepted.
    pub accepted_at: Millis,
}

/// A worker and the number of tasks of a gang that fit on it.
type WorkerSlots = (WorkerIdx, u32);

impl Engine {
    /// Places a whole gang, or reserves workers for it if it does not fit.
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

    /// Finds free room for all waiting tasks, in as few racks as possible.
    fn find_gang_slots(&self, r: &Request, now: Millis) -> Option<Vec<WorkerSlots>> {
        let need = r.waiting.len() as u32;
        let eligible = |idx: &WorkerIdx| self.is_eligible(r, self.workers.get(*idx), *idx, now);
        let mut racks: BTreeMap<Arc<str>, Vec<WorkerSlots>> = BTreeMap::new();
        for idx in self.workers.with_room(&r.spec.per_task).filter(eligible) {
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
        // Every start waits for the last intent, so that the whole gang starts together.
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
        if let Some(reservation) = self.reservations.get(&no) {
            // Keep the reservation while its workers are usable. They are draining, and
            // other workers would have to start from the beginning.
            if reservation.workers.iter().all(|&w| self.workers.get(w).is_usable()) {
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
        let reserved: usize =
            self.reservations.values().map(|reservation| reservation.workers.len()).sum();
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

    pub(crate) fn drop_reservation(&mut self, no: RequestNo) {
        if let Some(reservation) = self.reservations.remove(&no) {
            for idx in reservation.workers {
                self.workers.get_mut_unindexed(idx).reserved_for = None;
            }
            self.needs_pass = true;
        }
    }

    /// Returns true if the request may use the worker in spite of its reservation, if any.
    pub(crate) fn reservation_allows(&self, r: &Request, w: &Worker, now: Millis) -> bool {
        let Some(holder) = w.reserved_for else {
            return true;
        };
        if holder == r.no || r.class == PriorityClass::Urgent {
            return true;
        }
        let Some(reservation) = self.reservations.get(&holder) else {
            return true;
        };
        if self.ranks_before(r, holder) {
            return true;
        }
        let has_run_time = r.spec.run_time_ms > 0 && r.spec.kind == Kind::Batch;
        let is_draining = now.since(reservation.accepted_at) >= self.policy.gang_drain_after;
        has_run_time && !is_draining && self.expected_end(r, now) <= reservation.ready_at
    }

    /// Returns true if the account of the request has a lower rank than the account that
    /// holds the reservation. Such a request goes first, as it would without the
    /// reservation; otherwise a steady stream of gangs would starve it.
    fn ranks_before(&self, r: &Request, holder: RequestNo) -> bool {
        let share_rank = |idx| self.accounts.get(idx).share_rank(&self.workers.total_capacity);
        let holder = self.requests.get(&holder).map(|h| h.account);
        holder.is_some_and(|account| {
            account != r.account && share_rank(r.account) < share_rank(account)
        })
    }

    /// Returns the earliest time at which the gang is expected to fit, and the workers on
    /// which it fits then.
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
            .flat_map(|&idx| self.workers.get(idx).held.iter().map(|h| h.expected_end_at(now)))
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

    /// Returns where the gang fits once all tasks that are expected to end by `t` have ended.
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
            let ended = w.held.iter().filter(|h| h.expected_end_at(now) <= t);
            let free = ended.fold(w.free, |a, h| a.plus(&h.resources));
            let n = slot_count(r, w, &free);
            if n > 0 {
                racks.entry(w.rack.clone()).or_default().push((idx, n));
            }
        }
        pick_slots(r, racks.into_values().collect(), r.waiting.len() as u32)
    }

    /// Stops all tasks of a gang so that it can start again as a whole.
    pub(crate) fn restart_gang(&mut self, now: Millis, no: RequestNo, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.restarting = true;
        }
        self.stop_all(now, no, false, out);
    }

    /// Requeues or fails a stopped gang once all of its tasks have ended.
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
            // Some tasks have completed and must not run again.
            r.failed += 1;
            r.message =
                "a task of the gang did not start, and another had already completed".into();
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

    /// Makes an ended task wait again and drops its result.
    pub(crate) fn apply_queued(&mut self, no: RequestNo, index: u32) {
        if let Some(r) = self.requests.get_mut(&no)
            && r.results.remove(index)
        {
            r.done -= 1;
        }
        self.requeue(no, index);
    }
}

/// Returns how many tasks of the request a worker can run with the resources `available`.
fn slot_count(r: &Request, w: &Worker, available: &Resources) -> u32 {
    let n = fit_count(&r.spec.per_task, available);
    match r.spec.placement.spread {
        Spread::Instance | Spread::Rack => n.min(1),
        Spread::None if w.probing => n.min(1),
        Spread::None => n,
    }
}

/// Takes `need` slots from as few racks as possible, or from a single rack if the request
/// requires it. Returns `None` if there are too few.
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
    // Prefer the smallest rack that fits the whole gang, to leave larger ones free.
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
