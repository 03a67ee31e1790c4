//! Gangs: all members start together, or none does.

use crate::advice::AdviceStatus;
use crate::engine::Engine;
use crate::order::Order;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::reservation::StartPlan;
use crate::spec::StepSpec;
use crate::urgency::WaitingStep;
use crate::workers::Placement;

/// How many members go to each room, by position in the pass.
type GangPlacement = Vec<(usize, u32)>;

impl Engine {
    /// Starts a gang if all its members can start; else asks for what it lacks and keeps room
    /// for it. One member that fails ends all, so workers on which tasks have failed lately are
    /// used only where there is no room for it without them.
    pub(crate) fn place_gang(
        &mut self,
        pass: &mut Pass,
        waiting: &WaitingStep,
        gang: StepPlacement<'_>,
        out: &mut Vec<Order>,
    ) {
        let (account, need) = (gang.account, gang.spec.allocation());
        if !self.accounts.allows(account, &need, gang.spec.count) {
            self.accounts.reserve(account, &need, gang.spec.count);
            // The answers are slow: the gang gets to know its workers meanwhile.
            self.ask_or_defer(pass, waiting, gang, None, out);
            return;
        }
        let ticketed: Vec<usize> =
            self.candidates_with(pass, gang, AdviceStatus::ValidTicket).collect();
        let mut good = ticketed.clone();
        if gang.queue.advice.is_some() {
            good.extend(self.candidates_with(pass, gang, AdviceStatus::LapsedTicket));
        }
        let sound = |pass: &Pass, rooms: &[usize]| -> Vec<usize> {
            rooms.iter().copied().filter(|&at| !pass.candidates[at].recently_failed).collect()
        };
        let (sound_ticketed, sound_good) = (sound(pass, &ticketed), sound(pass, &good));
        let seated = self.find_gang_placement(pass, gang, &sound_good);
        let (ticketed, good) = match seated {
            Some(_) => (sound_ticketed, sound_good),
            None => (ticketed, good),
        };
        if gang.durable
            && let Some(seating) = self.find_gang_placement(pass, gang, &ticketed)
        {
            self.start_gang(pass, gang, &seating, out);
            return;
        }
        self.accounts.reserve(account, &need, gang.spec.count);
        let plan = self.plan_gang(pass, gang, seated, &good);
        self.ask_or_defer(pass, waiting, gang, plan.as_ref(), out);
        if let Some(plan) = plan {
            plan.reserve(pass, &gang.spec.allocation());
            pass.reservations += usize::from(plan.begin > pass.now);
        }
    }

    /// Asks for a gang, or, if it has a call under way, once all other steps had their turn: a seat that
    /// makes a second call for one is missing to another that has none.
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

    /// Returns when and where the gang is expected to start: now, once its tickets are renewed
    /// or its acceptance is in the store, or when enough of its workers are free.
    fn plan_gang(
        &self,
        pass: &mut Pass,
        gang: StepPlacement<'_>,
        seated: Option<GangPlacement>,
        good: &[usize],
    ) -> Option<StartPlan> {
        if let Some(seating) = seated.or_else(|| self.find_gang_placement(pass, gang, good)) {
            let members = |(at, n): (usize, u32)| std::iter::repeat_n(at, n as usize);
            let candidates = seating.into_iter().flat_map(members).collect();
            return Some(StartPlan { begin: pass.now, candidates });
        }
        self.earliest_start(pass, gang, good)
    }

    fn start_gang(
        &mut self,
        pass: &mut Pass,
        gang: StepPlacement<'_>,
        seating: &GangPlacement,
        out: &mut Vec<Order>,
    ) {
        let StepPlacement { key, account, spec, .. } = gang;
        let floor = self.jobs.get(key.job).map_or(0, |j| j.run_floor(self.epoch));
        let Some(step) = self.jobs.step_mut(key) else { return };
        step.gang_since = pass.now;
        let run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0).max(floor) + 1;
        let mut index = 0;
        for &(at, n) in seating {
            for _ in 0..n {
                pass.candidates[at].allocate(&spec.allocation());
                self.accounts.add_usage(account, &spec.allocation());
                let idx = pass.candidates[at].idx;
                self.start_task(Placement { idx, task: key.task(index), run }, pass.now, out);
                index += 1;
            }
        }
    }

    /// Finds room for all members among these rooms.
    fn find_gang_placement(
        &self,
        pass: &mut Pass,
        gang: StepPlacement<'_>,
        rooms: &[usize],
    ) -> Option<GangPlacement> {
        let spec = gang.spec;
        let need = spec.allocation();
        if !pass.may_fit(&need) {
            return None;
        }
        let fits = |&at: &usize| need.fits(&pass.candidates[at].free);
        let usable = |at: &usize| fits(at) && self.is_eligible(&pass.candidates[*at], gang);
        let mut rooms: Vec<(bool, usize)> = rooms
            .iter()
            .copied()
            .filter(usable)
            .map(|at| (self.needs_ticket(pass, gang, at), at))
            .collect();
        // Stable between passes: the rooms whose tickets are there, or on their way, first.
        rooms.sort_by_key(|&(unready, _)| unready);
        if spec.prefer_one_rack {
            let racks = pass.racks();
            let in_rack = |rack| {
                let of = |(_, at): &(bool, usize)| pass.candidates[*at].rack.as_ref() == Some(rack);
                distribute_members(pass, spec, rooms.iter().copied().filter(of).collect())
            };
            if let Some(seating) = racks.iter().find_map(in_rack) {
                return Some(seating);
            }
        }
        distribute_members(pass, spec, rooms)
    }

    /// Tells whether the gang has no ticket for a room and has not asked for one.
    fn needs_ticket(&self, pass: &Pass, gang: StepPlacement<'_>, at: usize) -> bool {
        let idx = pass.candidates[at].idx;
        let asked = self.jobs.step(gang.key).is_some_and(|s| s.advice.is_pending(idx));
        !asked && self.advice_status(gang, idx, pass.now) != AdviceStatus::ValidTicket
    }
}

/// Seats all members in the given rooms: those that are ready first, and of these the fullest.
fn distribute_members(
    pass: &Pass,
    spec: &StepSpec,
    rooms: Vec<(bool, usize)>,
) -> Option<GangPlacement> {
    let need = spec.allocation();
    let limit = if spec.max_per_worker > 0 { spec.max_per_worker } else { u32::MAX };
    let mut slots: Vec<_> = rooms
        .into_iter()
        .map(|(unready, at)| (unready, at, pass.candidates[at].unreserved_count(&need).min(limit)))
        .collect();
    slots.retain(|&(_, _, n)| n > 0);
    if slots.iter().map(|&(_, _, n)| u64::from(n)).sum::<u64>() < u64::from(spec.count) {
        return None;
    }
    let left = |at: usize| {
        pass.candidates[at].remaining_score(&need) + pass.candidates[at].slowness_cost()
    };
    slots.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(left(a.1).total_cmp(&left(b.1))));
    let mut open = spec.count;
    let mut out = Vec::new();
    for (_, at, n) in slots {
        let n = n.min(open);
        open -= n;
        out.push((at, n));
        if open == 0 {
            break;
        }
    }
    Some(out)
}
