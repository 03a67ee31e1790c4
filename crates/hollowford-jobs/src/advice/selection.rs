//! Selection of the workers that an advice call for a step names.

use crate::advice::AdviceStatus;
use crate::advice::scheduling::NamedWorker;
use crate::candidate::CandidateWorker;
use crate::engine::Engine;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::queue::AdviceCost;
use crate::workers::WorkerIdx;

/// Workers to ask about per task, since not all of them may run the step.
const WORKERS_ASKED_PER_TASK: usize = 3;
/// Maximum by which workers without capacity may lengthen the first call for a step, in percent of
/// a call's base duration.
const MAX_CALL_EXTENSION_PERCENT: u32 = 25;
/// Minimum number of unknown workers that a call asks about, if there are as many.
const MIN_WORKERS_ASKED: usize = 8;

impl Engine {
    /// Returns the cost of an advice call for a step that is not a gang, if one can be made now.
    /// Such a step has one call at a time.
    pub(crate) fn single_call_cost(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
    ) -> Option<AdviceCost> {
        let cost = self.call_cost(pass, step)?;
        let is_call_pending = self.jobs.step(step.key)?.advice.is_call_pending();
        (!is_call_pending).then_some(cost)
    }

    /// Returns the cost of an advice call for the step, if this pass may make one. Selecting the
    /// workers visits all of them, so a step that has asked before may ask again only in full
    /// passes and after an answered call, unless its calls are quick.
    pub(crate) fn call_cost(&self, pass: &Pass, step: StepPlacement<'_>) -> Option<AdviceCost> {
        let cost = step.queue.advice?;
        let is_first = self.jobs.step(step.key)?.advice.has_no_answers();
        // While the store is unavailable, tickets would be renewed in vain again and again.
        if self.features.advice_scheduling && !step.durable && !is_first {
            return None;
        }
        let may_ask = pass.may_ask_again || is_first || cost.is_quick();
        (may_ask && self.advice_channels.has_free(&cost, pass.now)).then_some(cost)
    }

    /// Returns the workers to ask about for `tasks` tasks, without the one to avoid. `None` if no
    /// call would help now.
    pub(crate) fn workers_to_ask_for(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        tasks: usize,
        avoided: Option<WorkerIdx>,
    ) -> Option<Vec<WorkerIdx>> {
        if !pass.may_fit(&step.spec.allocation()) {
            return None;
        }
        let candidates = self.advice_candidates(pass, step, avoided);
        let mut workers = cheapest(candidates.lapsed, tasks + tasks / 2 + 1);
        if candidates.lapsed_task_capacity < tasks {
            workers.extend(cheapest(
                candidates.unknown,
                (tasks * WORKERS_ASKED_PER_TASK).max(MIN_WORKERS_ASKED),
            ));
        }
        if !candidates.full.is_empty() && !workers.is_empty() {
            // While few workers have capacity, others will have some before a second call would be
            // answered.
            let extra_count =
                step.queue.advice.map_or(0, |cost| cost.extra_workers(MAX_CALL_EXTENSION_PERCENT));
            workers.extend(cheapest(candidates.full, extra_count));
        }
        (!workers.is_empty()).then_some(workers)
    }

    /// Returns the workers that a scheduled call names, of those with lapsed tickets, unknown ones
    /// and unknown ones without expected capacity. `missing` tasks need tickets.
    pub(crate) fn choose_workers(
        &self,
        step: StepPlacement<'_>,
        cost: &AdviceCost,
        missing: usize,
        [lapsed, unknown, full]: [Vec<NamedWorker>; 3],
    ) -> Vec<WorkerIdx> {
        // Some of the expected capacity will be in use by others.
        let wanted_slots = missing + missing / 2 + 1;
        let renewed = cheapest_named(lapsed, usize::MAX, wanted_slots);
        let renewed_slots: usize = renewed.iter().map(|w| w.slots).sum();
        let mut workers: Vec<WorkerIdx> = renewed.iter().map(|w| w.idx).collect();
        if renewed_slots < missing {
            let share = self.allowed_shares.get(&step.queue.name).copied().unwrap_or_default();
            let wanted = share.workers_to_ask((wanted_slots - renewed_slots) as f32);
            let limit = (missing * WORKERS_ASKED_PER_TASK).max(MIN_WORKERS_ASKED);
            let named = cheapest_named(unknown, limit, wanted.max(MIN_WORKERS_ASKED));
            workers.extend(named.iter().map(|w| w.idx));
        }
        let extra_count = cost.extra_workers(MAX_CALL_EXTENSION_PERCENT);
        workers.extend(cheapest_named(full, extra_count, usize::MAX).iter().map(|w| w.idx));
        workers
    }

    /// Returns the workers that an advice call for the step may name.
    fn advice_candidates(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        avoided: Option<WorkerIdx>,
    ) -> AdviceCandidates {
        let need = step.spec.allocation();
        let end = |c: &CandidateWorker| c.expected_end(pass.now, step.run_time);
        let mut out = AdviceCandidates::default();
        let Some(advice) = self.jobs.step(step.key).map(|s| &s.advice) else { return out };
        let is_first = advice.has_no_answers();
        let with_cost = |c: &CandidateWorker| (c.cost(&step), c.idx);
        for c in &pass.candidates {
            if Some(c.idx) == avoided || !self.is_eligible(c, step) {
                continue;
            }
            match advice.advice_status(c.idx, pass.now) {
                AdviceStatus::Unknown if c.fits(&need, end(c)) => out.unknown.push(with_cost(c)),
                AdviceStatus::Unknown if is_first && need.fits(&c.capacity) => {
                    out.full.push(with_cost(c));
                }
                AdviceStatus::LapsedTicket if c.fits(&need, end(c)) => {
                    out.lapsed_task_capacity += c.unreserved_count(&need).max(1) as usize;
                    out.lapsed.push(with_cost(c));
                }
                _ => {}
            }
        }
        out
    }
}

/// Workers that an advice call may name, each with the cost of placing a task there.
#[derive(Debug, Default)]
struct AdviceCandidates {
    /// With capacity and a lapsed ticket.
    lapsed: Vec<(f32, WorkerIdx)>,
    /// Number of tasks that fit on the workers in `lapsed`.
    lapsed_task_capacity: usize,
    /// With capacity and no advice.
    unknown: Vec<(f32, WorkerIdx)>,
    /// Without capacity and no advice; only for a step's first call.
    full: Vec<(f32, WorkerIdx)>,
}

/// Returns the workers with the lowest cost, at most `limit`.
fn cheapest(mut list: Vec<(f32, WorkerIdx)>, limit: usize) -> Vec<WorkerIdx> {
    list.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    list.into_iter().take(limit).map(|(_, w)| w).collect()
}

/// Returns the workers with capacity now and the lowest cost, then those with expected capacity: at
/// most `limit`, and no more than hold `slots` tasks.
fn cheapest_named(mut list: Vec<NamedWorker>, limit: usize, slots: usize) -> Vec<NamedWorker> {
    list.sort_unstable_by(|a, b| {
        b.has_room_now.cmp(&a.has_room_now).then(a.cost.total_cmp(&b.cost))
    });
    let mut found = 0;
    list.into_iter()
        .take(limit)
        .take_while(|w| {
            let is_needed = found < slots;
            found = w.slots.saturating_add(found);
            is_needed
        })
        .collect()
}
