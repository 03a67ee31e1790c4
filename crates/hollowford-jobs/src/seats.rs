//! Calls for placement advice: which instance makes which.
//!
//! The service for advice has one seat for each calling instance and takes its time for each
//! worker named. A quick check behind the slow call of a large gang would be late before it
//! is placed, so one seat takes quick calls only, and some are kept from the slowest.

use crate::advice::Standing;
use crate::engine::Engine;
use crate::note::Note;
use crate::order::{Advised, Order};
use crate::queue::{AdviceCost, QUICK_CALL_MS};
use crate::spec::StepKey;
use crate::workers::WorkerIdx;
use hollowford_core::{InstanceId, Millis};
use std::sync::Arc;

/// Calls over this time are slow.
const SLOW_CALL_MS: f64 = 200.0;
/// One seat in so many takes quick calls only.
const SEATS_FOR_ONE_QUICK: usize = 3;
/// Calls side by side for one step take one free seat in so many.
const SEATS_SHARE: usize = 4;
/// Most workers that one call may name (PROTOCOL).
const MOST_NAMED: usize = 100;
/// A quick call without an answer is given up after its expected time and this.
const QUICK_SLACK: Millis = Millis(250);
/// Another call without an answer is given up after its expected time and this.
const SLACK: Millis = Millis(700);
/// A seat whose call failed gets no other one for so long, unless all have failed; twice as
/// long after each further one.
const SEAT_RESTS: Millis = Millis(1_000);
/// Most times that the rest is doubled.
const MOST_DOUBLINGS: u32 = 4;

/// An instance that can make calls for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceChannel {
    /// The instance's address between processes; empty: this process.
    pub address: Arc<str>,
}

/// A call under way.
#[derive(Clone, Debug)]
struct Call {
    step: StepKey,
    workers: Vec<WorkerIdx>,
    quick: bool,
    slow: bool,
    give_up: Millis,
}

/// A seat with the call that it makes.
#[derive(Debug)]
struct Place {
    seat: AdviceChannel,
    call: Option<Call>,
    /// Calls that failed since the last one that was answered.
    failures: u32,
    /// It gets no call before, if others do.
    rests_until: Millis,
}

impl Place {
    fn new(seat: AdviceChannel) -> Place {
        Place { seat, call: None, failures: 0, rests_until: Millis(0) }
    }

    /// Tells whether it may get a call though others could take it.
    fn has_rested(&self, now: Millis) -> bool {
        self.rests_until <= now
    }

    fn is_slow(&self) -> bool {
        self.call.as_ref().is_some_and(|c| c.slow)
    }

    fn failed(&mut self, now: Millis) {
        self.rests_until = now + Millis(SEAT_RESTS.0 << self.failures.min(MOST_DOUBLINGS));
        self.failures += 1;
    }
}

/// The instances that make the calls.
#[derive(Debug, Default)]
pub(crate) struct Seats {
    list: Vec<Place>,
}

/// A call that a step needs.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    pub step: StepKey,
    pub workers: Vec<WorkerIdx>,
    pub cost: AdviceCost,
}

impl Seats {
    /// Tells whether a seat may be free for a call at this cost, however few workers it names.
    pub fn has_free(&self, cost: &AdviceCost, now: Millis) -> bool {
        self.free_for(cost.call_ms(1), now).is_some()
    }

    /// Returns the seat for a call of the given time, if one is free for it.
    fn free_for(&self, ms: f64, now: Millis) -> Option<usize> {
        let rested = self.list.iter().filter(|p| p.has_rested(now)).count();
        // While all seats rest, each may take a call.
        let all_rest = rested == 0;
        let n = if all_rest { self.list.len() } else { rested };
        let quick = if n < 2 { 0 } else { n.div_ceil(SEATS_FOR_ONE_QUICK) };
        let places = self.list.iter().enumerate();
        let mut seats = places.filter(|(_, p)| all_rest || p.has_rested(now));
        let free = |(_, p): &(usize, &Place)| p.call.is_none();
        if ms <= QUICK_CALL_MS {
            return seats.find(free).map(|(at, _)| at);
        }
        if ms > SLOW_CALL_MS && !self.may_be_slow(n - quick) {
            return None;
        }
        // The last ones first, since quick calls take the first ones. Calls between quick and slow block a seat for
        // little time: one seat kept from them is enough.
        let skipped = if ms > SLOW_CALL_MS { quick } else { quick.min(1) };
        seats.skip(skipped).filter(free).last().map(|(at, _)| at)
    }

    /// Returns how many seats are free for calls of the given time, at least about.
    fn free_count(&self, ms: f64, now: Millis) -> usize {
        let free = self.list.iter().filter(|p| p.call.is_none() && p.has_rested(now)).count();
        if ms <= QUICK_CALL_MS {
            return free;
        }
        free.saturating_sub(self.list.len().div_ceil(SEATS_FOR_ONE_QUICK))
    }

    /// Tells whether one more of so many seats for longer calls may take a slow one: one is
    /// left to the calls between quick and slow.
    fn may_be_slow(&self, seats: usize) -> bool {
        let busy = self.list.iter().filter(|p| p.is_slow()).count();
        busy + 1 < seats || seats <= 1
    }
}

impl Engine {
    /// Sets the instances that can make calls for advice. The first ones take quick calls.
    pub fn set_advice_channels(&mut self, seats: &[AdviceChannel]) {
        let mut old = std::mem::take(&mut self.seats.list);
        for seat in seats {
            let at = old.iter().position(|p| p.seat == *seat);
            let place = at.map(|at| old.swap_remove(at));
            self.seats.list.push(place.unwrap_or_else(|| Place::new(seat.clone())));
        }
        for call in old.into_iter().filter_map(|place| place.call) {
            self.advice_failed(&call);
        }
    }

    /// Returns the seat at a position.
    pub fn advice_channel(&self, at: usize) -> Option<&AdviceChannel> {
        self.seats.list.get(at).map(|p| &p.seat)
    }

    fn advice_failed(&mut self, call: &Call) {
        if let Some(step) = self.jobs.step_mut(call.step) {
            step.advice.unanswered(&call.workers);
        }
    }

    /// Hands the calls to as many seats as help and are free for them, the workers named first
    /// before others. What is not asked for comes again with the next pass.
    pub(crate) fn ask_side_by_side(&mut self, want: Want, now: Millis, out: &mut Vec<Order>) {
        let Want { step, workers, cost } = want;
        let free = self.seats.free_count(cost.call_ms(workers.len()), now);
        let calls = calls_for(workers.len(), &cost, free);
        for part in workers.chunks(workers.len().div_ceil(calls.max(1)).max(1)) {
            self.ask(Want { step, workers: part.to_vec(), cost }, now, out);
        }
    }

    /// Hands a call to a seat that is free for it. Without one it comes again with the next
    /// pass.
    pub(crate) fn ask(&mut self, want: Want, now: Millis, out: &mut Vec<Order>) {
        let Want { step: key, mut workers, cost } = want;
        workers.truncate(MOST_NAMED);
        let ms = cost.call_ms(workers.len());
        let Some(seat) = self.seats.free_for(ms, now) else { return };
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.advice.asks(&workers);
        let id = |&w: &WorkerIdx| self.workers.get(w).map(|w| w.life.id().clone());
        let ids: Vec<_> = workers.iter().filter_map(id).collect();
        let quick = ms <= QUICK_CALL_MS;
        let slack = if quick { QUICK_SLACK } else { SLACK };
        let give_up = now + Millis(ms as u64) + slack;
        let slow = ms > SLOW_CALL_MS;
        self.seats.list[seat].call = Some(Call { step: key, workers, quick, slow, give_up });
        self.stats.asked += 1;
        out.push(Order::Advice { seat, step: key, workers: ids });
    }

    /// Gives up on calls that should have been answered by now.
    pub(crate) fn give_up_calls(&mut self, now: Millis) {
        for at in 0..self.seats.list.len() {
            let place = &mut self.seats.list[at];
            if let Some(call) = place.call.take_if(|c| c.give_up <= now) {
                place.failed(now);
                let asked = call.workers.len();
                self.notes.push(Note::Advised { step: call.step, asked, good: None });
                self.advice_failed(&call);
            }
        }
    }

    /// Takes in the answer of a call for advice; none when it failed. The tickets hold from
    /// the time of the answer.
    pub fn advice_answered(
        &mut self,
        seat: &AdviceChannel,
        key: StepKey,
        answer: Option<(Advised, Millis)>,
        now: Millis,
    ) {
        let theirs =
            |p: &&mut Place| p.seat == *seat && p.call.as_ref().is_some_and(|c| c.step == key);
        let Some(place) = self.seats.list.iter_mut().find(theirs) else { return };
        let Some(call) = place.call.take() else { return };
        if answer.is_some() {
            place.failures = 0;
        } else {
            place.failed(now);
        }
        self.dirty = true;
        // Its seat would be idle until the next full pass.
        self.seat_freed |= !call.quick;
        let (asked, good) = (call.workers.len(), answer.as_ref().map(|(rows, _)| rows.len()));
        self.notes.push(Note::Advised { step: key, asked, good });
        let Some((rows, validity)) = answer else {
            self.advice_failed(&call);
            return;
        };
        // A ticket is for the life that was asked about: another one needs its own.
        let asked = |id: &InstanceId| {
            let lives = self.workers.of_id(id).map(|(idx, _)| idx);
            lives.filter(|idx| call.workers.contains(idx)).last()
        };
        let good: Vec<_> =
            rows.iter().filter_map(|(id, t)| Some((asked(id)?, t.clone()))).collect();
        self.note_good_share(key, &call.workers, &good);
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.advice.answered(&call.workers, good, now + validity);
    }

    /// Learns from an answer which share of a queue's workers may run one of its steps. Calls
    /// that renew tickets tell nothing of it.
    fn note_good_share(
        &mut self,
        key: StepKey,
        asked: &[WorkerIdx],
        good: &[(WorkerIdx, Arc<str>)],
    ) {
        let Some(step) = self.jobs.step(key) else { return };
        let is_new = |w: WorkerIdx| step.advice.standing(w, Millis(0)) == Standing::Unknown;
        let asked = asked.iter().filter(|&&w| is_new(w)).count();
        let good = good.iter().filter(|&&(w, _)| is_new(w)).count();
        let Some(queue) = self.jobs.get(key.job).map(|j| j.queue.clone()) else { return };
        self.good_shares.entry(queue).or_default().note(asked, good);
    }
}

/// Returns over how many calls to spread so many workers, with so many seats free: as many as
/// make the part of a call that grows with its workers half of the part that doesn't. One step
/// takes a fourth of the free seats at most.
fn calls_for(workers: usize, cost: &AdviceCost, free: usize) -> usize {
    let least = workers.div_ceil(MOST_NAMED);
    let useful = 2.0 * cost.per_worker_ms * workers as f64 / cost.base_ms.max(1.0);
    (useful.ceil() as usize).min(free / SEATS_SHARE).max(least)
}
