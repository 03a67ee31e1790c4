//! Chooses the worker for a task, and the account to serve among those of nearly equal rank.

use crate::account::AccountIdx;
use crate::engine::Engine;
use crate::feasibility::placement_allows;
use crate::placement::Pass;
use crate::request::{PlacementChoice, PriorityClass, QueueKind, Request};
use crate::worker::{Worker, WorkerIdx};
use hollowford_core::{Millis, Resources, Spread};

impl Engine {
    /// Chooses, among accounts whose rank is close to that of `first`, the one whose next
    /// task fits its worker best.
    pub(crate) fn best_fitting_account(
        &self,
        first: AccountIdx,
        class: PriorityClass,
        pass: &Pass,
    ) -> AccountIdx {
        let tolerance = self.policy.packing_tolerance;
        if tolerance <= 0.0 || class != PriorityClass::Normal {
            return first;
        }
        let close_in_rank = self.accounts.close_in_rank(
            first,
            tolerance,
            class,
            pass.no,
            &self.workers.total_capacity,
        );
        let scored = close_in_rank.filter_map(|idx| Some((self.score_next_task(idx, pass)?, idx)));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map_or(first, |(_, idx)| idx)
    }

    /// Scores the best worker for an account's next batch task. Accounts with a waiting
    /// gang are not scored, because gangs are served by rank alone.
    fn score_next_task(&self, idx: AccountIdx, pass: &Pass) -> Option<f64> {
        let a = self.accounts.get(idx);
        if !a.queues[QueueKind::Gang as usize].is_empty() {
            return None;
        }
        let no = a.queues[QueueKind::Batch as usize].front()?;
        let r = self.requests.get(no).filter(|r| !r.waiting.is_empty())?;
        if pass.is_unplaceable(r.class, &r.spec.per_task) || !a.allows(&r.spec.per_task, 1) {
            return None;
        }
        let placement_choice = self.find_worker(r, pass.now)?;
        Some(score(&r.spec.per_task, self.workers.get(placement_choice.worker)))
    }

    /// Chooses the eligible worker with the best score.
    pub(crate) fn find_worker(&self, r: &Request, now: Millis) -> Option<PlacementChoice> {
        let mut best: Option<(f64, WorkerIdx)> = None;
        let mut runner_up = None;
        let mut compared = 0;
        for idx in self.workers.with_room(&r.spec.per_task) {
            let w = self.workers.get(idx);
            if !self.is_eligible(r, w, idx, now) {
                continue;
            }
            let score = score(&r.spec.per_task, w);
            if best.is_none_or(|(low, _)| score < low) {
                runner_up = best.map(|(_, idx)| idx);
                best = Some((score, idx));
            }
            compared += 1;
            if compared as usize >= self.policy.max_candidates {
                break;
            }
        }
        best.map(|(_, worker)| PlacementChoice { worker, compared, runner_up })
    }

    /// Returns true if a request's next task may run on a worker, provided that it has room.
    pub(crate) fn is_eligible(&self, r: &Request, w: &Worker, idx: WorkerIdx, now: Millis) -> bool {
        !w.has_probe_task()
            && !r.failed_workers.contains(&idx)
            && placement_allows(&r.spec, w)
            && self.spread_allows(r, w, idx)
            && self.reservation_allows(r, w, now)
    }

    fn spread_allows(&self, r: &Request, w: &Worker, idx: WorkerIdx) -> bool {
        match r.spec.placement.spread {
            Spread::None => true,
            Spread::Instance => r.workers().all(|other| other != idx),
            Spread::Rack => r.workers().all(|other| self.workers.get(other).rack != w.rack),
        }
    }
}

/// Weight of the imbalance between free CPU and free memory in a worker's score. Below 1, so that
/// filling a worker always counts for more.
const BALANCE_WEIGHT: f64 = 0.5;

/// Scores a worker for a task; lower is better. Favours workers that the task fills, and
/// those whose free CPU and memory remain in proportion.
fn score(need: &Resources, w: &Worker) -> f64 {
    let left = w.free.minus(need);
    let fraction = |l: u32, c: u32| {
        if c == 0 { 0.0 } else { f64::from(l) / f64::from(c) }
    };
    let cpu = fraction(left.cpu_milli, w.capacity.cpu_milli);
    let memory = fraction(left.memory_mib, w.capacity.memory_mib);
    cpu + memory + BALANCE_WEIGHT * (cpu - memory).abs()
}
