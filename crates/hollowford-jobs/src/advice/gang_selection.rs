//! Selection of the workers that an advice call for a gang names.
//!
//! A gang needs capacity on many workers at the same moment, and other work occupies most of it. So
//! the gang collects advice about several times as many workers as would hold it when empty, by
//! calls in parallel, and about more of them the longer it waits. Its tickets are renewed just
//! before the expected start, since they lapse before enough capacity is free.

use crate::advice::forecast::{Demand, Forecast};
use crate::advice::{AdviceCall, AdviceStatus};
use crate::candidate::fit_count;
use crate::engine::Engine;
use crate::order::Order;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::queue::AdviceCost;
use crate::reservation::StartPlan;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// Empty capacity of the workers that may run a gang, as a multiple of the gang's members. With a
/// factor of 3 the free capacity holds the gang at two thirds of full load.
const KNOWN_CAPACITY_FACTOR: f32 = 3.0;
/// Increase of [`KNOWN_CAPACITY_FACTOR`] per second of waiting.
const FACTOR_GROWTH_PER_S: f32 = 1.0;
/// Minimum number of workers that a call for a gang names, if there are as many. A larger choice is
/// worth the few additional milliseconds per worker.
const MIN_WORKERS_PER_CALL: usize = 50;
/// Expected capacity of the workers that a scheduled call finds, as a multiple of the gang's members.
/// More urgent steps that arrive during the call will use some of it.
const EXPECTED_ROOM_FACTOR: f32 = 1.5;
/// Increase of [`EXPECTED_ROOM_FACTOR`] per second of waiting.
const ROOM_FACTOR_GROWTH_PER_S: f32 = 0.5;
/// Smallest share of allowed workers that is assumed, so that a call names a limited number.
const MIN_ALLOWED_SHARE: f32 = 0.05;
/// Time before the expected start at which tickets are renewed, in addition to the call's duration.
const TICKET_RENEWAL_LEAD: Millis = Millis(200);

impl Engine {
    /// Asks for the tickets that a gang lacks for its planned start, or about more workers.
    pub(crate) fn ask_for_gang(
        &mut self,
        pass: &Pass,
        gang: StepPlacement<'_>,
        plan: Option<&StartPlan>,
        out: &mut Vec<Order>,
    ) {
        let Some(cost) = self.call_cost(pass, gang) else { return };
        let mut workers = self.workers_to_renew(pass, gang, plan, &cost);
        if workers.is_empty() {
            workers = self.more_workers_for_gang(pass, gang);
        }
        if !workers.is_empty() {
            self.ask_in_parallel(AdviceCall { step: gang.key, workers, cost }, pass.now, out);
        }
    }

    /// Returns the workers of the plan whose tickets will have lapsed when the gang starts. Empty
    /// while the start is further away than the call and [`TICKET_RENEWAL_LEAD`].
    pub(crate) fn workers_to_renew(
        &self,
        pass: &Pass,
        gang: StepPlacement<'_>,
        plan: Option<&StartPlan>,
        cost: &AdviceCost,
    ) -> Vec<WorkerIdx> {
        let (Some(plan), Some(step)) = (plan, self.jobs.step(gang.key)) else { return Vec::new() };
        let mut workers: Vec<_> =
            plan.candidates.iter().map(|&at| pass.candidates[at].idx).collect();
        workers.sort_unstable();
        workers.dedup();
        let duration = Millis(cost.call_ms(workers.len()) as u64);
        let answered_at = pass.now + duration;
        let unused = if self.features.advice_scheduling { step.advice.unused_answers } else { 0 };
        // After a renewal in vain, the next one is made later: the ends that the plan relies on were
        // expected too early.
        let latest_start = match unused {
            0 => answered_at + TICKET_RENEWAL_LEAD,
            _ => pass.now + Millis(duration.0.checked_shr(unused).unwrap_or(0)),
        };
        if plan.start > latest_start {
            return Vec::new();
        }
        let needed_at = plan.start.max(answered_at);
        workers.retain(|&w| !step.advice.is_pending(w) && !step.advice.has_ticket_at(w, needed_at));
        workers
    }

    /// Returns more workers to ask about, those with the most free capacity first. Empty while the
    /// known workers and those in pending calls are enough.
    pub(crate) fn more_workers_for_gang(
        &self,
        pass: &Pass,
        gang: StepPlacement<'_>,
    ) -> Vec<WorkerIdx> {
        let Some(missing) = self.missing_member_capacity(pass, gang).filter(|&m| m > 0.0) else {
            return Vec::new();
        };
        let need = gang.spec.allocation();
        let mut unknown = self.unknown_candidates(pass, gang);
        if unknown.is_empty() {
            return Vec::new();
        }
        let max_members = |at: &usize| fit_count(&need, &pass.candidates[*at].capacity).max(1);
        let per_worker = unknown.iter().map(max_members).max().unwrap_or(1);
        let share = self.allowed_shares.get(&gang.queue.name).copied().unwrap_or_default();
        let workers = share.workers_to_ask(missing / per_worker as f32).max(MIN_WORKERS_PER_CALL);
        unknown.sort_by_key(|&at| std::cmp::Reverse(pass.candidates[at].unreserved_count(&need)));
        unknown.into_iter().take(workers).map(|at| pass.candidates[at].idx).collect()
    }

    /// Returns unknown workers to ask about, those with the most expected capacity first, if by
    /// `until` the whole gang is expected to find capacity on the workers that advice allows or is
    /// expected to allow. Empty if it isn't, or if the known workers are enough.
    pub(crate) fn gang_workers_with_expected_room(
        &self,
        pass: &Pass,
        forecast: &mut Forecast,
        gang: StepPlacement<'_>,
        until: Millis,
    ) -> Vec<WorkerIdx> {
        let Some(step) = self.jobs.step(gang.key) else { return Vec::new() };
        let Some(job) = self.jobs.get(gang.key.job) else { return Vec::new() };
        let (need, count) = (gang.spec.allocation(), gang.spec.count);
        let share = self.allowed_shares.get(&gang.queue.name).copied().unwrap_or_default();
        let limit = if gang.spec.max_per_worker > 0 { gang.spec.max_per_worker } else { count };
        let demand = Demand { need, until, run_time: self.expected_run_time(gang.key) };
        if !forecast.may_hold(&need, count) || !forecast.has_room(&demand) {
            return Vec::new();
        }
        let slots_at = |at: usize| forecast.slots(at, &demand).min(limit);
        if (0..pass.candidates.len()).map(slots_at).sum::<u32>() < count {
            return Vec::new();
        }
        let (mut known, mut unknown) = (0.0, Vec::new());
        for (at, c) in pass.candidates.iter().enumerate() {
            let status = step.advice.advice_status(c.idx, pass.now);
            if status == AdviceStatus::Denied || !self.is_eligible(c, gang) {
                continue;
            }
            let slots = forecast.slots(at, &demand).min(limit);
            match status {
                AdviceStatus::Unknown if step.advice.is_pending(c.idx) => {
                    known += slots as f32 * share.share();
                }
                AdviceStatus::Unknown if need.fits(&c.capacity) => unknown.push((slots, c.idx)),
                AdviceStatus::Unknown => {}
                _ => known += slots as f32,
            }
        }
        let unknown_slots: u32 = unknown.iter().map(|&(slots, _)| slots).sum();
        if known + unknown_slots as f32 * share.share() < count as f32 {
            return Vec::new();
        }
        let waited_s = pass.now.since(job.accepted_at).0 as f32 / 1_000.0;
        let wanted = count as f32 * (EXPECTED_ROOM_FACTOR + ROOM_FACTOR_GROWTH_PER_S * waited_s);
        if known >= wanted {
            return Vec::new();
        }
        unknown.sort_by_key(|&(slots, _)| std::cmp::Reverse(slots));
        let wanted_slots = (wanted - known) / share.share().max(MIN_ALLOWED_SHARE);
        let mut found = 0.0;
        let mut named = Vec::new();
        for (slots, idx) in unknown {
            if found >= wanted_slots && named.len() >= MIN_WORKERS_PER_CALL {
                break;
            }
            found += slots as f32;
            named.push(idx);
        }
        named
    }

    /// Returns how many more members the allowed workers should be able to hold when empty. Counts
    /// the expected share of allowed workers in pending calls.
    fn missing_member_capacity(&self, pass: &Pass, gang: StepPlacement<'_>) -> Option<f32> {
        let step = self.jobs.step(gang.key)?;
        let job = self.jobs.get(gang.key.job)?;
        let waited = pass.now.since(job.accepted_at).0 as f32 / 1_000.0;
        let wanted =
            gang.spec.count as f32 * (KNOWN_CAPACITY_FACTOR + FACTOR_GROWTH_PER_S * waited);
        let need = gang.spec.allocation();
        let limit = if gang.spec.max_per_worker > 0 { gang.spec.max_per_worker } else { u32::MAX };
        let members = |at: usize| fit_count(&need, &pass.candidates[at].capacity).min(limit) as f32;
        let allowed = step.advice.allowed().filter_map(|(w, _)| pass.position_of(w));
        let known: f32 = allowed.map(members).sum();
        let typical_members = pass.candidates.first().map_or(0.0, |_| members(0));
        let share = self.allowed_shares.get(&gang.queue.name).copied().unwrap_or_default();
        let expected = step.advice.pending_unknown_count() as f32 * typical_members * share.share();
        Some(wanted - known - expected)
    }

    /// Returns the eligible candidates that no answered or pending call has named.
    fn unknown_candidates(&self, pass: &Pass, gang: StepPlacement<'_>) -> Vec<usize> {
        let Some(step) = self.jobs.step(gang.key) else { return Vec::new() };
        let need = gang.spec.allocation();
        let is_unknown = |at: &usize| {
            let c = &pass.candidates[*at];
            need.fits(&c.capacity)
                && step.advice.advice_status(c.idx, pass.now) == AdviceStatus::Unknown
                && !step.advice.is_pending(c.idx)
                && self.is_eligible(c, gang)
        };
        (0..pass.candidates.len()).filter(is_unknown).collect()
    }
}
