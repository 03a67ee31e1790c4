//! Which workers to ask advice about for a gang.
//!
//! A gang needs room on many workers at the same moment, and other work holds most of their
//! room. So it gets to know several times the workers that could hold it when empty, by calls
//! side by side, and more of them the longer it waits. Its tickets are renewed just before the
//! time at which it is expected to start, since they lapse sooner than room comes together.

use crate::advice::AdviceStatus;
use crate::advice_calls::AdviceCall;
use crate::candidate::fit_count;
use crate::engine::Engine;
use crate::order::Order;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::queue::AdviceCost;
use crate::reservation::StartPlan;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// The workers that may run a gang should hold so many times its members when empty: at two
/// thirds of full load a third of their room is free.
const KNOWN_CAPACITY_FACTOR: f32 = 3.0;
/// The factor grows by so much for each second that the gang has waited.
const FACTOR_GROWTH_PER_S: f32 = 1.0;
/// A call for a gang names so many workers, if there are as many: the choice is worth more
/// than the few milliseconds for each.
const MIN_WORKERS_PER_CALL: usize = 50;
/// Tickets are renewed so long before they are needed, beside the time that the call takes.
const TICKET_RENEWAL_LEAD: Millis = Millis(200);

impl Engine {
    /// Asks for the tickets that a gang lacks where it is to start, or for more workers.
    pub(crate) fn ask_for_gang(
        &mut self,
        pass: &Pass,
        gang: StepPlacement<'_>,
        plan: Option<&StartPlan>,
        out: &mut Vec<Order>,
    ) {
        let Some(cost) = self.call_cost(pass, gang) else { return };
        let mut workers = self.tickets_to_renew(pass, gang, plan, &cost);
        if workers.is_empty() {
            workers = self.more_workers_for_gang(pass, gang);
        }
        if !workers.is_empty() {
            self.ask_in_parallel(AdviceCall { step: gang.key, workers, cost }, pass.now, out);
        }
    }

    /// Returns the workers of the plan whose tickets won't hold when the gang starts; none while
    /// that is far away.
    fn tickets_to_renew(
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
        let answered = pass.now + Millis(cost.call_ms(workers.len()) as u64);
        if plan.begin > answered + TICKET_RENEWAL_LEAD {
            return Vec::new();
        }
        let needed_at = plan.begin.max(answered);
        workers.retain(|&w| !step.advice.is_pending(w) && !step.advice.has_ticket_at(w, needed_at));
        workers
    }

    /// Returns workers to get to know, those with the most room now first; none while those that
    /// are known, and those that are being asked about, are enough.
    fn more_workers_for_gang(&self, pass: &Pass, gang: StepPlacement<'_>) -> Vec<WorkerIdx> {
        let Some(missing) = self.missing_member_capacity(pass, gang).filter(|&m| m > 0.0) else {
            return Vec::new();
        };
        let need = gang.spec.allocation();
        let mut unknown = self.unknown_candidates(pass, gang);
        if unknown.is_empty() {
            return Vec::new();
        }
        let most = |at: &usize| fit_count(&need, &pass.candidates[*at].capacity).max(1);
        let per_worker = unknown.iter().map(most).max().unwrap_or(1);
        let share = self.allowed_shares.get(&gang.queue.name).copied().unwrap_or_default();
        let workers = share.workers_to_ask(missing / per_worker as f32).max(MIN_WORKERS_PER_CALL);
        unknown.sort_by_key(|&at| std::cmp::Reverse(pass.candidates[at].unreserved_count(&need)));
        unknown.into_iter().take(workers).map(|at| pass.candidates[at].idx).collect()
    }

    /// Returns how many more members the workers that the gang may use should hold when empty.
    fn missing_member_capacity(&self, pass: &Pass, gang: StepPlacement<'_>) -> Option<f32> {
        let step = self.jobs.step(gang.key)?;
        let job = self.jobs.get(gang.key.job)?;
        let waited = pass.now.since(job.accepted_at).0 as f32 / 1_000.0;
        let wanted =
            gang.spec.count as f32 * (KNOWN_CAPACITY_FACTOR + FACTOR_GROWTH_PER_S * waited);
        let need = gang.spec.allocation();
        let limit = if gang.spec.max_per_worker > 0 { gang.spec.max_per_worker } else { u32::MAX };
        let members = |at: usize| fit_count(&need, &pass.candidates[at].capacity).min(limit) as f32;
        let good = step.advice.allowed().filter_map(|(w, _)| pass.position_of(w));
        let known: f32 = good.map(members).sum();
        let usual = pass.candidates.first().map_or(0.0, |_| members(0));
        let share = self.allowed_shares.get(&gang.queue.name).copied().unwrap_or_default();
        let coming = step.advice.pending_unknown_count() as f32 * usual * share.share();
        Some(wanted - known - coming)
    }

    /// Returns the rooms that the gang might use and doesn't know of.
    fn unknown_candidates(&self, pass: &Pass, gang: StepPlacement<'_>) -> Vec<usize> {
        let Some(step) = self.jobs.step(gang.key) else { return Vec::new() };
        let need = gang.spec.allocation();
        let unknown = |at: &usize| {
            let r = &pass.candidates[*at];
            need.fits(&r.capacity)
                && step.advice.advice_status(r.idx, pass.now) == AdviceStatus::Unknown
                && !step.advice.is_pending(r.idx)
                && self.is_eligible(r, gang)
        };
        (0..pass.candidates.len()).filter(unknown).collect()
    }
}
