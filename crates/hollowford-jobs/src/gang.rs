//! Placement of gangs, whose members start all together or not at all.

use crate::advice::{AdviceRequest, AdviceStatus};
use crate::engine::Engine;
use crate::order::Order;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::reservation::StartPlan;
use crate::spec::StepSpec;
use crate::urgency::WaitingStep;
use crate::workers::Placement;

/// Number of members on each candidate, with the candidate's position in the pass.
type GangPlacement = Vec<(usize, u32)>;

impl Engine {
    /// Starts a gang if all its members can start. Otherwise asks for the tickets that it lacks and
    /// reserves capacity for it. A failing member ends the whole gang, so workers on which tasks
    /// have failed recently are used only if the gang doesn't fit without them.
    pub(crate) fn place_gang(
        &mut self,
        pass: &mut Pass,
        waiting: &WaitingStep,
        gang: StepPlacement<'_>,
        out: &mut Vec<Order>,
    ) {
        let (account, need) = (gang.account, gang.spec.allocation());
        let schedules_advice = self.schedules_advice(pass, gang.queue);
        let request = AdviceRequest::new(*waiting, gang.spec.count as usize);
        if !self.accounts.allows(account, &need, gang.spec.count) {
            self.accounts.reserve(account, &need, gang.spec.count);
            if schedules_advice {
                pass.advice_requests.push(AdviceRequest { exceeds_quota: true, ..request });
                return;
            }
            // Answers are slow, so the gang collects advice while it waits for its quota.
            self.ask_or_defer(pass, waiting, gang, None, out);
            return;
        }
        let ticketed: Vec<usize> =
            self.candidates_with(pass, gang, AdviceStatus::ValidTicket).collect();
        let mut allowed = ticketed.clone();
        if gang.queue.advice.is_some() {
            allowed.extend(self.candidates_with(pass, gang, AdviceStatus::LapsedTicket));
        }
        let without_recent_failures = |pass: &Pass, candidates: &[usize]| -> Vec<usize> {
            candidates.iter().copied().filter(|&at| !pass.candidates[at].recently_failed).collect()
        };
        let (healthy_ticketed, healthy_allowed) =
            (without_recent_failures(pass, &ticketed), without_recent_failures(pass, &allowed));
        let placement = self.find_gang_placement(pass, gang, &healthy_allowed);
        let (ticketed, allowed) = match placement {
            Some(_) => (healthy_ticketed, healthy_allowed),
            None => (ticketed, allowed),
        };
        if gang.durable
            && let Some(placement) = self.find_gang_placement(pass, gang, &ticketed)
        {
            self.start_gang(pass, gang, &placement, out);
            return;
        }
        self.accounts.reserve(account, &need, gang.spec.count);
        let plan = self.plan_gang(pass, gang, placement, &allowed);
        if !schedules_advice {
            self.ask_or_defer(pass, waiting, gang, plan.as_ref(), out);
        }
        let mut reserved = Vec::new();
        if let Some(plan) = &plan {
            plan.reserve(pass, &gang.spec.allocation());
            pass.reservations += usize::from(plan.start > pass.now);
            reserved = plan.candidates.iter().map(|&at| (plan.start, at)).collect();
        }
        if schedules_advice {
            pass.advice_requests.push(AdviceRequest { plan, reserved, ..request });
        }
    }

    /// Asks for advice for a gang. If it already has a pending call, defers the next one until all
    /// other steps had their turn, so that it doesn't take a channel from a step without a call.
    fn ask_or_defer(
        &mut self,
        pass: &mut Pass,
        waiting: &WaitingStep,
        gang: StepPlacement<'_>,
        plan: Option<&StartPlan>,
        out: &mut Vec<Order>,
    ) {
        if self.jobs.step(gang.key).is_some_and(|s| s.advice.is_call_pending()) {
            pass.deferred_gangs.push((*waiting, plan.cloned()));
        } else {
            self.ask_for_gang(pass, gang, plan, out);
        }
    }

    /// Returns when and where the gang is expected to start. That is now if it lacks only valid
    /// tickets or its acceptance in the store, and otherwise when enough of its workers are free.
    fn plan_gang(
        &self,
        pass: &mut Pass,
        gang: StepPlacement<'_>,
        placement: Option<GangPlacement>,
        allowed: &[usize],
    ) -> Option<StartPlan> {
        if let Some(placement) = placement.or_else(|| self.find_gang_placement(pass, gang, allowed))
        {
            let members = |(at, n): (usize, u32)| std::iter::repeat_n(at, n as usize);
            let candidates = placement.into_iter().flat_map(members).collect();
            return Some(StartPlan { start: pass.now, candidates });
        }
        self.earliest_start(pass, gang, allowed)
    }

    fn start_gang(
        &mut self,
        pass: &mut Pass,
        gang: StepPlacement<'_>,
        placement: &GangPlacement,
        out: &mut Vec<Order>,
    ) {
        let StepPlacement { key, account, spec, .. } = gang;
        let run_floor = self.jobs.get(key.job).map_or(0, |j| j.run_floor(self.epoch));
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.gang_changed_at = pass.now;
        let run = step.tasks.iter().map(|t| t.last_run).max().unwrap_or(0).max(run_floor) + 1;
        let mut index = 0;
        for &(at, n) in placement {
            for _ in 0..n {
                pass.candidates[at].allocate(&spec.allocation());
                self.accounts.add_usage(account, &spec.allocation());
                let idx = pass.candidates[at].idx;
                self.start_task(Placement { idx, task: key.task(index), run }, pass.now, out);
                index += 1;
            }
        }
    }

    /// Returns a placement of all members on the given candidates, within one rack if the gang
    /// prefers that and one has enough capacity.
    fn find_gang_placement(
        &self,
        pass: &mut Pass,
        gang: StepPlacement<'_>,
        candidates: &[usize],
    ) -> Option<GangPlacement> {
        let spec = gang.spec;
        let need = spec.allocation();
        if !pass.may_fit(&need) {
            return None;
        }
        let fits = |&at: &usize| need.fits(&pass.candidates[at].free);
        let is_usable = |at: &usize| fits(at) && self.is_eligible(&pass.candidates[*at], gang);
        let mut candidates: Vec<(bool, usize)> = candidates
            .iter()
            .copied()
            .filter(is_usable)
            .map(|at| (self.needs_ticket(pass, gang, at), at))
            .collect();
        // Candidates with a valid or pending ticket first. The sort is stable, so that the order is
        // the same in the next pass.
        candidates.sort_by_key(|&(needs_ticket, _)| needs_ticket);
        if spec.prefer_one_rack {
            let racks = pass.racks();
            let in_rack = |rack| {
                let is_in_rack =
                    |(_, at): &(bool, usize)| pass.candidates[*at].rack.as_ref() == Some(rack);
                distribute_members(
                    pass,
                    spec,
                    candidates.iter().copied().filter(is_in_rack).collect(),
                )
            };
            if let Some(placement) = racks.iter().find_map(in_rack) {
                return Some(placement);
            }
        }
        distribute_members(pass, spec, candidates)
    }

    /// Returns true if the gang has no valid ticket for a candidate and no pending call for one.
    fn needs_ticket(&self, pass: &Pass, gang: StepPlacement<'_>, at: usize) -> bool {
        let idx = pass.candidates[at].idx;
        let is_pending = self.jobs.step(gang.key).is_some_and(|s| s.advice.is_pending(idx));
        !is_pending && self.advice_status(gang, idx, pass.now) != AdviceStatus::ValidTicket
    }
}

/// Distributes all members over the given candidates: those that need no ticket first, and of these
/// the fullest. Where speeds differ, the gang gets the fastest workers that hold it; of these the
/// slow ones first, because it ends with its slowest member and leaves the faster ones to others.
fn distribute_members(
    pass: &Pass,
    spec: &StepSpec,
    candidates: Vec<(bool, usize)>,
) -> Option<GangPlacement> {
    let need = spec.allocation();
    let limit = if spec.max_per_worker > 0 { spec.max_per_worker } else { u32::MAX };
    let mut slots: Vec<_> = candidates
        .into_iter()
        .map(|(needs_ticket, at)| {
            (needs_ticket, at, pass.candidates[at].unreserved_count(&need).min(limit))
        })
        .collect();
    slots.retain(|&(_, _, n)| n > 0);
    if slots.iter().map(|&(_, _, n)| u64::from(n)).sum::<u64>() < u64::from(spec.count) {
        return None;
    }
    let slowest_class = slowest_class_needed(pass, spec.count, &slots);
    slots.retain(|&(_, at, _)| pass.candidates[at].speed_class() <= slowest_class);
    let speed_order = |at: usize| std::cmp::Reverse(pass.candidates[at].speed_class());
    let remaining_cost = |at: usize| {
        pass.candidates[at].remaining_score(&need) + pass.candidates[at].slowness_cost()
    };
    slots.sort_unstable_by(|a, b| {
        a.0.cmp(&b.0)
            .then(speed_order(a.1).cmp(&speed_order(b.1)))
            .then(remaining_cost(a.1).total_cmp(&remaining_cost(b.1)))
    });
    let mut remaining = spec.count;
    let mut out = Vec::new();
    for (_, at, n) in slots {
        let n = n.min(remaining);
        remaining -= n;
        out.push((at, n));
        if remaining == 0 {
            break;
        }
    }
    Some(out)
}

/// Returns the lowest class of speeds such that the candidates up to it have capacity for `count`
/// members.
fn slowest_class_needed(pass: &Pass, count: u32, slots: &[(bool, usize, u32)]) -> i32 {
    let mut by_class: Vec<_> =
        slots.iter().map(|&(_, at, n)| (pass.candidates[at].speed_class(), n)).collect();
    by_class.sort_unstable();
    let mut capacity = 0;
    let is_enough = |&(_, n): &(i32, u32)| {
        capacity += u64::from(n);
        capacity >= u64::from(count)
    };
    by_class.into_iter().find(is_enough).map_or(i32::MAX, |(class, _)| class)
}
