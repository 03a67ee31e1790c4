//! Which workers to ask advice about for a step.

use crate::advice::AdviceStatus;
use crate::candidate::CandidateWorker;
use crate::engine::Engine;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::queue::AdviceCost;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// Workers to ask about beyond those that a step needs, as a part of them.
const WORKERS_ASKED_PER_TASK: usize = 3;
/// The first call for a step also names workers without room, for as long as that lengthens it
/// by so much at most, in hundredths of the time that any call takes.
const MAX_CALL_EXTENSION_PERCENT: u32 = 25;
/// Fewest workers to ask about at first.
const MIN_WORKERS_ASKED: usize = 8;

impl Engine {
    /// Returns what a call for advice for the step costs, if one can be made now. A step whose
    /// tasks start one by one has one call at a time.
    pub(crate) fn single_call_cost(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
    ) -> Option<AdviceCost> {
        let cost = self.call_cost(pass, step)?;
        let asking = self.jobs.step(step.key)?.advice.is_call_pending();
        (!asking).then_some(cost)
    }

    /// Returns what a call for advice for the step costs, if this pass may make one: choosing
    /// whom to name goes over all workers, so for a step that has asked before only full passes do it and
    /// those after a call has been answered, unless the answer is quick.
    pub(crate) fn call_cost(&self, pass: &Pass, step: StepPlacement<'_>) -> Option<AdviceCost> {
        let cost = step.queue.advice?;
        let first = self.jobs.step(step.key)?.advice.has_no_answers();
        let now = pass.may_ask_again || first || cost.is_quick();
        (now && self.seats.has_free(&cost, pass.now)).then_some(cost)
    }

    /// Returns the workers to ask about for `tasks` tasks; none when no call would help now.
    pub(crate) fn workers_to_ask_for(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        tasks: usize,
        shunned: Option<WorkerIdx>,
    ) -> Option<Vec<WorkerIdx>> {
        if !pass.may_fit(&step.spec.allocation()) {
            return None;
        }
        let c = self.advice_candidates(pass, step, shunned);
        let mut workers = cheapest(c.lapsed, tasks + tasks / 2 + 1);
        if c.lapsed_room < tasks {
            workers.extend(cheapest(
                c.unknown,
                (tasks * WORKERS_ASKED_PER_TASK).max(MIN_WORKERS_ASKED),
            ));
        }
        if !c.full.is_empty() && !workers.is_empty() {
            // Where few have room, others will sooner than a second call would be answered.
            let more =
                step.queue.advice.map_or(0, |cost| cost.extra_workers(MAX_CALL_EXTENSION_PERCENT));
            workers.extend(cheapest(c.full, more));
        }
        (!workers.is_empty()).then_some(workers)
    }

    /// Returns the workers that a call for the step may name.
    fn advice_candidates(
        &self,
        pass: &Pass,
        step: StepPlacement<'_>,
        shunned: Option<WorkerIdx>,
    ) -> AdviceCandidates {
        let need = step.spec.allocation();
        let ends = pass.now + Millis(step.spec.estimate_ms);
        let mut out = AdviceCandidates::default();
        let Some(advice) = self.jobs.step(step.key).map(|s| &s.advice) else { return out };
        let first = advice.has_no_answers();
        let named = |r: &CandidateWorker| (r.cost(step.spec), r.idx);
        for r in &pass.candidates {
            if Some(r.idx) == shunned || !self.is_eligible(r, step) {
                continue;
            }
            match advice.advice_status(r.idx, pass.now) {
                AdviceStatus::Unknown if r.fits(&need, ends) => out.unknown.push(named(r)),
                AdviceStatus::Unknown if first && need.fits(&r.capacity) => {
                    out.full.push(named(r));
                }
                AdviceStatus::LapsedTicket if r.fits(&need, ends) => {
                    out.lapsed_room += r.unreserved_count(&need).max(1) as usize;
                    out.lapsed.push(named(r));
                }
                _ => {}
            }
        }
        out
    }
}

/// Workers that a call for advice may name, each with what it costs to place a task there.
#[derive(Debug, Default)]
struct AdviceCandidates {
    /// With room, and a ticket that has lapsed.
    lapsed: Vec<(f32, WorkerIdx)>,
    /// How many tasks they have room for.
    lapsed_room: usize,
    /// With room, and not asked about.
    unknown: Vec<(f32, WorkerIdx)>,
    /// Without room, and not asked about; only for a step's first call.
    full: Vec<(f32, WorkerIdx)>,
}

/// Returns the workers of the least cost, at most `most`.
fn cheapest(mut list: Vec<(f32, WorkerIdx)>, most: usize) -> Vec<WorkerIdx> {
    list.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    list.into_iter().take(most).map(|(_, w)| w).collect()
}
