//! Calls for placement advice: which instance makes which.
//!
//! The service for advice has one seat for each calling instance and takes its time for each
//! worker named. A quick check behind the slow call of a large gang would be late before it
//! is placed, so one seat takes quick calls only, and some are kept from the slowest.

use crate::advice::AdviceStatus;
use crate::engine::Engine;
use crate::note::Note;
use crate::order::{Advised, Order};
use crate::queue::{AdviceCost, MAX_QUICK_CALL_MS};
use crate::spec::StepKey;
use crate::workers::WorkerIdx;
use hollowford_core::{InstanceId, Millis};
use std::sync::Arc;

/// Calls over this time are slow.
const MIN_SLOW_CALL_MS: f64 = 200.0;
/// One seat in so many takes quick calls only.
const CHANNELS_PER_QUICK_CHANNEL: usize = 3;
/// Calls side by side for one step take one free seat in so many.
const FREE_CHANNELS_PER_STEP_CALL: usize = 4;
/// Most workers that one call may name (PROTOCOL).
const MAX_WORKERS_PER_CALL: usize = 100;
/// A quick call without an answer is given up after its expected time and this.
const QUICK_CALL_GRACE: Millis = Millis(250);
/// Another call without an answer is given up after its expected time and this.
const CALL_GRACE: Millis = Millis(700);
/// A seat whose call failed gets no other one for so long, unless all have failed; twice as
/// long after each further one.
const CHANNEL_BACKOFF: Millis = Millis(1_000);
/// Most times that the rest is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// An instance that can make calls for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceChannel {
    /// The instance's address between processes; empty: this process.
    pub address: Arc<str>,
}

/// A call under way.
#[derive(Clone, Debug)]
struct PendingCall {
    step: StepKey,
    workers: Vec<WorkerIdx>,
    quick: bool,
    slow: bool,
    deadline: Millis,
}

/// A seat with the call that it makes.
#[derive(Debug)]
struct ChannelState {
    channel: AdviceChannel,
    call: Option<PendingCall>,
    /// Calls that failed since the last one that was answered.
    failures: u32,
    /// It gets no call before, if others do.
    backoff_until: Millis,
}

impl ChannelState {
    fn new(channel: AdviceChannel) -> ChannelState {
        ChannelState { channel, call: None, failures: 0, backoff_until: Millis(0) }
    }

    /// Tells whether it may get a call though others could take it.
    fn is_available(&self, now: Millis) -> bool {
        self.backoff_until <= now
    }

    fn is_slow(&self) -> bool {
        self.call.as_ref().is_some_and(|c| c.slow)
    }

    fn failed(&mut self, now: Millis) {
        self.backoff_until =
            now + Millis(CHANNEL_BACKOFF.0 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.failures += 1;
    }
}

/// The instances that make the calls.
#[derive(Debug, Default)]
pub(crate) struct AdviceChannels {
    list: Vec<ChannelState>,
}

/// A call that a step needs.
#[derive(Clone, Debug)]
pub(crate) struct AdviceCall {
    pub step: StepKey,
    pub workers: Vec<WorkerIdx>,
    pub cost: AdviceCost,
}

impl AdviceChannels {
    /// Tells whether a seat may be free for a call at this cost, however few workers it names.
    pub fn has_free(&self, cost: &AdviceCost, now: Millis) -> bool {
        self.free_for(cost.call_ms(1), now).is_some()
    }

    /// Returns the seat for a call of the given time, if one is free for it.
    fn free_for(&self, ms: f64, now: Millis) -> Option<usize> {
        let rested = self.list.iter().filter(|p| p.is_available(now)).count();
        // While all seats rest, each may take a call.
        let all_rest = rested == 0;
        let n = if all_rest { self.list.len() } else { rested };
        let quick = if n < 2 { 0 } else { n.div_ceil(CHANNELS_PER_QUICK_CHANNEL) };
        let places = self.list.iter().enumerate();
        let mut seats = places.filter(|(_, p)| all_rest || p.is_available(now));
        let free = |(_, p): &(usize, &ChannelState)| p.call.is_none();
        if ms <= MAX_QUICK_CALL_MS {
            return seats.find(free).map(|(at, _)| at);
        }
        if ms > MIN_SLOW_CALL_MS && !self.may_take_slow_call(n - quick) {
            return None;
        }
        // The last ones first, since quick calls take the first ones. Calls between quick and slow block a seat for
        // little time: one seat kept from them is enough.
        let skipped = if ms > MIN_SLOW_CALL_MS { quick } else { quick.min(1) };
        seats.skip(skipped).filter(free).last().map(|(at, _)| at)
    }

    /// Returns how many seats are free for calls of the given time, at least about.
    fn free_count(&self, ms: f64, now: Millis) -> usize {
        let free = self.list.iter().filter(|p| p.call.is_none() && p.is_available(now)).count();
        if ms <= MAX_QUICK_CALL_MS {
            return free;
        }
        free.saturating_sub(self.list.len().div_ceil(CHANNELS_PER_QUICK_CHANNEL))
    }

    /// Tells whether one more of so many seats for longer calls may take a slow one: one is
    /// left to the calls between quick and slow.
    fn may_take_slow_call(&self, seats: usize) -> bool {
        let busy = self.list.iter().filter(|p| p.is_slow()).count();
        busy + 1 < seats || seats <= 1
    }
}

impl Engine {
    /// Sets the instances that can make calls for advice. The first ones take quick calls.
    pub fn set_advice_channels(&mut self, seats: &[AdviceChannel]) {
        let mut old = std::mem::take(&mut self.seats.list);
        for seat in seats {
            let at = old.iter().position(|p| p.channel == *seat);
            let place = at.map(|at| old.swap_remove(at));
            self.seats.list.push(place.unwrap_or_else(|| ChannelState::new(seat.clone())));
        }
        for call in old.into_iter().filter_map(|place| place.call) {
            self.advice_failed(&call);
        }
    }

    /// Returns the seat at a position.
    pub fn advice_channel(&self, at: usize) -> Option<&AdviceChannel> {
        self.seats.list.get(at).map(|p| &p.channel)
    }

    fn advice_failed(&mut self, call: &PendingCall) {
        if let Some(step) = self.jobs.step_mut(call.step) {
            step.advice.call_failed(&call.workers);
        }
    }

    /// Hands the calls to as many seats as help and are free for them, the workers named first
    /// before others. What is not asked for comes again with the next pass.
    pub(crate) fn ask_in_parallel(&mut self, want: AdviceCall, now: Millis, out: &mut Vec<Order>) {
        let AdviceCall { step, workers, cost } = want;
        let free = self.seats.free_count(cost.call_ms(workers.len()), now);
        let calls = call_count(workers.len(), &cost, free);
        for part in workers.chunks(workers.len().div_ceil(calls.max(1)).max(1)) {
            self.ask(AdviceCall { step, workers: part.to_vec(), cost }, now, out);
        }
    }

    /// Hands a call to a seat that is free for it. Without one it comes again with the next
    /// pass.
    pub(crate) fn ask(&mut self, want: AdviceCall, now: Millis, out: &mut Vec<Order>) {
        let AdviceCall { step: key, mut workers, cost } = want;
        workers.truncate(MAX_WORKERS_PER_CALL);
        let ms = cost.call_ms(workers.len());
        let Some(seat) = self.seats.free_for(ms, now) else { return };
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.advice.call_sent(&workers);
        let id = |&w: &WorkerIdx| self.workers.get(w).map(|w| w.life.id().clone());
        let ids: Vec<_> = workers.iter().filter_map(id).collect();
        let quick = ms <= MAX_QUICK_CALL_MS;
        let slack = if quick { QUICK_CALL_GRACE } else { CALL_GRACE };
        let deadline = now + Millis(ms as u64) + slack;
        let slow = ms > MIN_SLOW_CALL_MS;
        self.seats.list[seat].call =
            Some(PendingCall { step: key, workers, quick, slow, deadline });
        self.stats.asked += 1;
        out.push(Order::Advice { seat, step: key, workers: ids });
    }

    /// Gives up on calls that should have been answered by now.
    pub(crate) fn expire_advice_calls(&mut self, now: Millis) {
        for at in 0..self.seats.list.len() {
            let place = &mut self.seats.list[at];
            if let Some(call) = place.call.take_if(|c| c.deadline <= now) {
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
        let theirs = |p: &&mut ChannelState| {
            p.channel == *seat && p.call.as_ref().is_some_and(|c| c.step == key)
        };
        let Some(place) = self.seats.list.iter_mut().find(theirs) else { return };
        let Some(call) = place.call.take() else { return };
        if answer.is_some() {
            place.failures = 0;
        } else {
            place.failed(now);
        }
        self.needs_pass = true;
        // Its seat would be idle until the next full pass.
        self.slow_call_answered |= !call.quick;
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
        self.record_allowed_share(key, &call.workers, &good);
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.advice.call_answered(&call.workers, good, now + validity);
    }

    /// Learns from an answer which share of a queue's workers may run one of its steps. Calls
    /// that renew tickets tell nothing of it.
    fn record_allowed_share(
        &mut self,
        key: StepKey,
        asked: &[WorkerIdx],
        good: &[(WorkerIdx, Arc<str>)],
    ) {
        let Some(step) = self.jobs.step(key) else { return };
        let is_new =
            |w: WorkerIdx| step.advice.advice_status(w, Millis(0)) == AdviceStatus::Unknown;
        let asked = asked.iter().filter(|&&w| is_new(w)).count();
        let good = good.iter().filter(|&&(w, _)| is_new(w)).count();
        let Some(queue) = self.jobs.get(key.job).map(|j| j.queue.clone()) else { return };
        self.allowed_shares.entry(queue).or_default().record(asked, good);
    }
}

/// Returns over how many calls to spread so many workers, with so many seats free: as many as
/// make the part of a call that grows with its workers half of the part that doesn't. One step
/// takes a fourth of the free seats at most.
fn call_count(workers: usize, cost: &AdviceCost, free: usize) -> usize {
    let least = workers.div_ceil(MAX_WORKERS_PER_CALL);
    let useful = 2.0 * cost.per_worker_ms * workers as f64 / cost.base_ms.max(1.0);
    (useful.ceil() as usize).min(free / FREE_CHANNELS_PER_STEP_CALL).max(least)
}
