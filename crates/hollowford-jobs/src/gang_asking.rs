//! Which workers to ask advice about for a gang.
//!
//! A gang needs room on many workers at the same moment, and other work holds most of their
//! room. So it gets to know several times the workers that could hold it when empty, by calls
//! side by side, and more of them the longer it waits. Its tickets are renewed just before the
//! time at which it is expected to start, since they lapse sooner than room comes together.

use crate::advice::Standing;
use crate::choose::copies;
use crate::engine::Engine;
use crate::order::Order;
use crate::pass::Pass;
use crate::place::Placing;
use crate::queue::AdviceCost;
use crate::reserve::Plan;
use crate::seats::Want;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

/// The workers that may run a gang should hold so many times its members when empty: at two
/// thirds of full load a third of their room is free.
const ROOM_FACTOR: f32 = 3.0;
/// The factor grows by so much for each second that the gang has waited.
const FACTOR_A_SECOND: f32 = 1.0;
/// A call for a gang names so many workers, if there are as many: the choice is worth more
/// than the few milliseconds for each.
const LEAST_NAMED: usize = 50;
/// Tickets are renewed so long before they are needed, beside the time that the call takes.
const RENEW_AHEAD: Millis = Millis(200);

impl Engine {
    /// Asks for the tickets that a gang lacks where it is to start, or for more workers.
    pub(crate) fn ask_for_gang(
        &mut self,
        pass: &Pass,
        gang: Placing<'_>,
        plan: Option<&Plan>,
        out: &mut Vec<Order>,
    ) {
        let Some(cost) = self.may_ask(pass, gang) else { return };
        let mut workers = self.to_renew(pass, gang, plan, &cost);
        if workers.is_empty() {
            workers = self.more_for_gang(pass, gang);
        }
        if !workers.is_empty() {
            self.ask_side_by_side(Want { step: gang.key, workers, cost }, pass.now, out);
        }
    }

    /// Returns the workers of the plan whose tickets won't hold when the gang starts; none while
    /// that is far away.
    fn to_renew(
        &self,
        pass: &Pass,
        gang: Placing<'_>,
        plan: Option<&Plan>,
        cost: &AdviceCost,
    ) -> Vec<WorkerIdx> {
        let (Some(plan), Some(step)) = (plan, self.jobs.step(gang.key)) else { return Vec::new() };
        let mut workers: Vec<_> = plan.rooms.iter().map(|&at| pass.rooms[at].idx).collect();
        workers.sort_unstable();
        workers.dedup();
        let answered = pass.now + Millis(cost.call_ms(workers.len()) as u64);
        if plan.begin > answered + RENEW_AHEAD {
            return Vec::new();
        }
        let needed_at = plan.begin.max(answered);
        workers.retain(|&w| !step.advice.is_asked(w) && !step.advice.holds_at(w, needed_at));
        workers
    }

    /// Returns workers to get to know, those with the most room now first; none while those that
    /// are known, and those that are being asked about, are enough.
    fn more_for_gang(&self, pass: &Pass, gang: Placing<'_>) -> Vec<WorkerIdx> {
        let Some(missing) = self.members_to_find(pass, gang).filter(|&m| m > 0.0) else {
            return Vec::new();
        };
        let need = gang.spec.allocation();
        let mut unknown = self.unknown_rooms(pass, gang);
        if unknown.is_empty() {
            return Vec::new();
        }
        let most = |at: &usize| copies(&need, &pass.rooms[*at].capacity).max(1);
        let per_worker = unknown.iter().map(most).max().unwrap_or(1);
        let share = self.good_shares.get(&gang.queue.name).copied().unwrap_or_default();
        let workers = share.needed_for(missing / per_worker as f32).max(LEAST_NAMED);
        unknown.sort_by_key(|&at| std::cmp::Reverse(pass.rooms[at].count(&need)));
        unknown.into_iter().take(workers).map(|at| pass.rooms[at].idx).collect()
    }

    /// Returns how many more members the workers that the gang may use should hold when empty.
    fn members_to_find(&self, pass: &Pass, gang: Placing<'_>) -> Option<f32> {
        let step = self.jobs.step(gang.key)?;
        let job = self.jobs.get(gang.key.job)?;
        let waited = pass.now.since(job.accepted_at).0 as f32 / 1_000.0;
        let wanted = gang.spec.count as f32 * (ROOM_FACTOR + FACTOR_A_SECOND * waited);
        let need = gang.spec.allocation();
        let limit = if gang.spec.max_per_worker > 0 { gang.spec.max_per_worker } else { u32::MAX };
        let members = |at: usize| copies(&need, &pass.rooms[at].capacity).min(limit) as f32;
        let good = step.advice.allowed().filter_map(|(w, _)| pass.room_of(w));
        let known: f32 = good.map(members).sum();
        let usual = pass.rooms.first().map_or(0.0, |_| members(0));
        let share = self.good_shares.get(&gang.queue.name).copied().unwrap_or_default();
        let coming = step.advice.asked_unknown() as f32 * usual * share.share();
        Some(wanted - known - coming)
    }

    /// Returns the rooms that the gang might use and doesn't know of.
    fn unknown_rooms(&self, pass: &Pass, gang: Placing<'_>) -> Vec<usize> {
        let Some(step) = self.jobs.step(gang.key) else { return Vec::new() };
        let need = gang.spec.allocation();
        let unknown = |at: &usize| {
            let r = &pass.rooms[*at];
            need.fits(&r.capacity)
                && step.advice.standing(r.idx, pass.now) == Standing::Unknown
                && !step.advice.is_asked(r.idx)
                && self.allowed(r, gang)
        };
        (0..pass.rooms.len()).filter(unknown).collect()
    }
}
