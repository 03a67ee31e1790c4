//! Calls to the placement advice service and the instances that make them.
//!
//! The advice service processes one call at a time for each calling instance, and a call takes
//! longer the more workers it names. A quick call queued behind the slow call of a large gang would
//! be late, so the first channel takes only quick calls, and only some of the others take slow
//! ones.

use crate::advice::AdviceStatus;
use crate::engine::Engine;
use crate::event::Event;
use crate::order::{Order, WorkerTickets};
use crate::queue::{AdviceCost, MAX_QUICK_CALL_MS};
use crate::spec::StepKey;
use crate::workers::WorkerIdx;
use hollowford_core::{InstanceId, Millis};
use std::sync::Arc;

/// Expected duration in milliseconds above which a call is slow.
const MIN_SLOW_CALL_MS: f64 = 200.0;
/// Available channels for each channel that is closed to slow calls.
const CHANNELS_PER_QUICK_CHANNEL: usize = 3;
/// Free channels for each channel that the parallel calls of one step may take.
const FREE_CHANNELS_PER_STEP_CALL: usize = 4;
/// Maximum number of workers that the protocol lets one call name.
const MAX_WORKERS_PER_CALL: usize = 100;
/// Time after its expected duration at which an unanswered quick call is abandoned.
const QUICK_CALL_GRACE: Millis = Millis(250);
/// Time after its expected duration at which any other unanswered call is abandoned.
const CALL_GRACE: Millis = Millis(700);
/// Backoff of a channel after a failed call; doubled after each further failure. Channels in
/// backoff get calls only if all are in backoff.
const CHANNEL_BACKOFF: Millis = Millis(1_000);
/// Maximum number of doublings of [`CHANNEL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// An instance that can make advice calls, one at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceChannel {
    /// Address of the instance for messages between processes; empty for this process.
    pub address: Arc<str>,
}

/// A call that has not been answered.
#[derive(Clone, Debug)]
struct PendingCall {
    step: StepKey,
    workers: Vec<WorkerIdx>,
    quick: bool,
    slow: bool,
    deadline: Millis,
}

/// A channel with its pending call and its recent failures.
#[derive(Debug)]
struct ChannelState {
    channel: AdviceChannel,
    call: Option<PendingCall>,
    /// Failed calls since the last answered one.
    failures: u32,
    /// End of the backoff.
    backoff_until: Millis,
}

impl ChannelState {
    fn new(channel: AdviceChannel) -> ChannelState {
        ChannelState { channel, call: None, failures: 0, backoff_until: Millis(0) }
    }

    /// Returns true if the channel is not in backoff.
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

/// The channels to the advice service.
#[derive(Debug, Default)]
pub(crate) struct AdviceChannels {
    list: Vec<ChannelState>,
}

/// An advice call to be made for a step.
#[derive(Clone, Debug)]
pub(crate) struct AdviceCall {
    pub step: StepKey,
    pub workers: Vec<WorkerIdx>,
    pub cost: AdviceCost,
}

impl AdviceChannels {
    /// Returns true if a channel is free for a call with this cost that names one worker.
    pub fn has_free(&self, cost: &AdviceCost, now: Millis) -> bool {
        self.free_for(cost.call_ms(1), now).is_some()
    }

    /// Returns the position of a free channel for a call of the given duration.
    fn free_for(&self, ms: f64, now: Millis) -> Option<usize> {
        let available = self.list.iter().filter(|s| s.is_available(now)).count();
        // If all channels are in backoff, each may take a call.
        let all_in_backoff = available == 0;
        let channel_count = if all_in_backoff { self.list.len() } else { available };
        let quick_only =
            if channel_count < 2 { 0 } else { channel_count.div_ceil(CHANNELS_PER_QUICK_CHANNEL) };
        let states = self.list.iter().enumerate();
        let mut channels = states.filter(|(_, s)| all_in_backoff || s.is_available(now));
        let is_free = |(_, s): &(usize, &ChannelState)| s.call.is_none();
        if ms <= MAX_QUICK_CALL_MS {
            return channels.find(is_free).map(|(at, _)| at);
        }
        if ms > MIN_SLOW_CALL_MS && !self.may_take_slow_call(channel_count - quick_only) {
            return None;
        }
        // The last channels first, since quick calls take the first ones. Calls between quick and
        // slow occupy a channel only briefly, so leaving one channel to quick calls is enough for
        // them.
        let skipped = if ms > MIN_SLOW_CALL_MS { quick_only } else { quick_only.min(1) };
        channels.skip(skipped).filter(is_free).last().map(|(at, _)| at)
    }

    /// Returns approximately how many channels are free for calls of the given duration.
    fn free_count(&self, ms: f64, now: Millis) -> usize {
        let free = self.list.iter().filter(|s| s.call.is_none() && s.is_available(now)).count();
        if ms <= MAX_QUICK_CALL_MS {
            return free;
        }
        free.saturating_sub(self.list.len().div_ceil(CHANNELS_PER_QUICK_CHANNEL))
    }

    /// Returns true if one more of the `channels` for longer calls may take a slow call. One is
    /// left to the calls between quick and slow.
    fn may_take_slow_call(&self, channels: usize) -> bool {
        let slow_calls = self.list.iter().filter(|s| s.is_slow()).count();
        slow_calls + 1 < channels || channels <= 1
    }
}

impl Engine {
    /// Sets the instances that can make advice calls, in order of preference for quick calls.
    /// Pending calls of instances that are no longer listed count as failed.
    pub fn set_advice_channels(&mut self, channels: &[AdviceChannel]) {
        let mut old = std::mem::take(&mut self.advice_channels.list);
        for channel in channels {
            let at = old.iter().position(|s| s.channel == *channel);
            let state = at.map(|at| old.swap_remove(at));
            self.advice_channels
                .list
                .push(state.unwrap_or_else(|| ChannelState::new(channel.clone())));
        }
        for call in old.into_iter().filter_map(|state| state.call) {
            self.advice_failed(&call);
        }
    }

    /// Returns the channel at a position of the list that was set last.
    pub fn advice_channel(&self, at: usize) -> Option<&AdviceChannel> {
        self.advice_channels.list.get(at).map(|s| &s.channel)
    }

    fn advice_failed(&mut self, call: &PendingCall) {
        if let Some(step) = self.jobs.step_mut(call.step) {
            step.advice.call_failed(&call.workers);
        }
    }

    /// Splits a call into parallel calls over as many free channels as make it faster. The order of
    /// the workers is kept, and those without a free channel are asked about by a later pass.
    pub(crate) fn ask_in_parallel(&mut self, call: AdviceCall, now: Millis, out: &mut Vec<Order>) {
        let AdviceCall { step, workers, cost } = call;
        let free = self.advice_channels.free_count(cost.call_ms(workers.len()), now);
        let calls = call_count(workers.len(), &cost, free);
        for chunk in workers.chunks(workers.len().div_ceil(calls.max(1)).max(1)) {
            self.ask_for_advice(AdviceCall { step, workers: chunk.to_vec(), cost }, now, out);
        }
    }

    /// Makes a call through a free channel. If none is free, a later pass makes the call.
    pub(crate) fn ask_for_advice(&mut self, call: AdviceCall, now: Millis, out: &mut Vec<Order>) {
        let AdviceCall { step: key, mut workers, cost } = call;
        workers.truncate(MAX_WORKERS_PER_CALL);
        let ms = cost.call_ms(workers.len());
        let Some(channel) = self.advice_channels.free_for(ms, now) else { return };
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.advice.call_sent(&workers);
        let id = |&w: &WorkerIdx| self.workers.get(w).map(|w| w.life.id().clone());
        let ids: Vec<_> = workers.iter().filter_map(id).collect();
        let quick = ms <= MAX_QUICK_CALL_MS;
        let grace = if quick { QUICK_CALL_GRACE } else { CALL_GRACE };
        let deadline = now + Millis(ms as u64) + grace;
        let slow = ms > MIN_SLOW_CALL_MS;
        self.advice_channels.list[channel].call =
            Some(PendingCall { step: key, workers, quick, slow, deadline });
        self.stats.asked += 1;
        out.push(Order::Advice { channel, step: key, workers: ids });
    }

    /// Abandons pending calls whose deadline has passed.
    pub(crate) fn expire_advice_calls(&mut self, now: Millis) {
        for at in 0..self.advice_channels.list.len() {
            let state = &mut self.advice_channels.list[at];
            if let Some(call) = state.call.take_if(|c| c.deadline <= now) {
                state.failed(now);
                let asked = call.workers.len();
                self.events.push(Event::AdviceAnswered { step: call.step, asked, allowed: None });
                self.advice_failed(&call);
            }
        }
    }

    /// Processes the answer of an advice call: the tickets and how long they are valid from `now`,
    /// or `None` if the call failed. Ignores answers to calls that are no longer pending.
    pub fn advice_answered(
        &mut self,
        channel: &AdviceChannel,
        key: StepKey,
        answer: Option<(WorkerTickets, Millis)>,
        now: Millis,
    ) {
        let is_called = |s: &&mut ChannelState| {
            s.channel == *channel && s.call.as_ref().is_some_and(|c| c.step == key)
        };
        let Some(state) = self.advice_channels.list.iter_mut().find(is_called) else { return };
        let Some(call) = state.call.take() else { return };
        if answer.is_some() {
            state.failures = 0;
        } else {
            state.failed(now);
        }
        self.needs_pass = true;
        // The channel would otherwise be idle until the next full pass.
        self.slow_call_answered |= !call.quick;
        let (asked, allowed) =
            (call.workers.len(), answer.as_ref().map(|(tickets, _)| tickets.len()));
        self.events.push(Event::AdviceAnswered { step: key, asked, allowed });
        let Some((tickets, validity)) = answer else {
            self.advice_failed(&call);
            return;
        };
        // A ticket is for the incarnation that the call named; another one needs its own.
        let asked_worker = |id: &InstanceId| {
            let incarnations = self.workers.with_id(id).map(|(idx, _)| idx);
            incarnations.filter(|idx| call.workers.contains(idx)).last()
        };
        let allowed: Vec<_> =
            tickets.iter().filter_map(|(id, t)| Some((asked_worker(id)?, t.clone()))).collect();
        self.record_allowed_share(key, &call.workers, &allowed);
        self.open_answers.answered(key, asked, now + validity);
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.advice.call_answered(&call.workers, allowed, now + validity);
    }

    /// Updates the share of a queue's workers that may run its steps from an answer. Only counts
    /// workers named for the first time; renewed tickets say nothing about the share.
    fn record_allowed_share(
        &mut self,
        key: StepKey,
        asked: &[WorkerIdx],
        allowed: &[(WorkerIdx, Arc<str>)],
    ) {
        let Some(step) = self.jobs.step(key) else { return };
        let is_new =
            |w: WorkerIdx| step.advice.advice_status(w, Millis(0)) == AdviceStatus::Unknown;
        let asked = asked.iter().filter(|&&w| is_new(w)).count();
        let allowed = allowed.iter().filter(|&&(w, _)| is_new(w)).count();
        let Some(queue) = self.jobs.get(key.job).map(|j| j.queue.clone()) else { return };
        self.allowed_shares.entry(queue).or_default().record(asked, allowed);
    }
}

/// Returns the number of calls over which to split `workers`, with `free` free channels. After the
/// split, the part of a call's duration that depends on the named workers is half of its base
/// duration. One step takes at most a fourth of the free channels.
fn call_count(workers: usize, cost: &AdviceCost, free: usize) -> usize {
    let min_calls = workers.div_ceil(MAX_WORKERS_PER_CALL);
    let useful_calls = 2.0 * cost.per_worker_ms * workers as f64 / cost.base_ms.max(1.0);
    (useful_calls.ceil() as usize).min(free / FREE_CHANNELS_PER_STEP_CALL).max(min_calls)
}
