//! Ordering by the accounts' shares: counting their usage and finding out whether a pool is full.

use crate::accounts::AccountIdx;
use crate::advice::AdviceStatus;
use crate::candidate::fit_count;
use crate::engine::Engine;
use crate::event::{Event, GiveUpCause};
use crate::held_task::HeldTask;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::shares::Position;
use crate::urgency::WaitingStep;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};
use std::sync::Arc;

/// The dominant share that an account uses of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountShare {
    /// Name of the account.
    pub name: Arc<str>,
    /// Thousandths of the pool's capacity, for the resource of which the account uses most. Where
    /// it uses several pools, that of the pool of which it uses most.
    pub permille: u32,
}

impl Engine {
    /// Returns true if a full pool is shared by the accounts' weights.
    fn shares_by_weight(&self) -> bool {
        self.features.account_shares && self.accounts.has_weights()
    }

    /// Counts what the accounts use of each pool and updates their positions.
    pub(crate) fn update_shares(&mut self, now: Millis) {
        if !self.shares_by_weight() {
            self.end_sharing();
            return;
        }
        self.shares.iter_mut().for_each(|(_, pool)| pool.begin_count());
        // The pool of a worker that the platform hasn't listed yet is unknown.
        for (_, w) in self.workers.iter().filter(|(_, w)| !w.pool.is_empty()) {
            let pool = self.shares.pool_mut(&w.pool);
            if w.is_usable(now) {
                pool.add_capacity(&w.capacity);
            }
            // What a silent worker holds may be lost, so it isn't charged to the accounts, unlike
            // for the quotas. Tasks of ended jobs have an unknown allocation.
            if w.is_silent() {
                continue;
            }
            for h in w.held.iter().filter(|h| h.allocation != Resources::ALL) {
                pool.add_usage(h.account, &h.allocation);
            }
        }
        let weights = self.accounts.weights();
        self.shares.iter_mut().for_each(|(_, pool)| pool.end_count(&weights, now));
    }

    /// Stops ordering by share and drops the counted usage.
    fn end_sharing(&mut self) {
        for (pool, _) in self.shares.iter().filter(|(_, s)| s.is_full()) {
            let event = Event::AccountsFull { pool: pool.clone(), begins: false, beyond: 0 };
            self.events.push(event);
        }
        self.shares.clear();
    }

    /// Returns the position of an account in the order of a pool's waiting steps.
    pub(crate) fn share_position(&self, account: AccountIdx, pool: &Arc<str>) -> Position {
        self.shares.pool(pool).map_or(0, |shares| shares.position(account))
    }

    /// Finds out, at the end of a full pass, in which pools some late step of a guaranteed job lacks
    /// capacity. As long as these jobs are in time, the order by latest start serves all accounts.
    pub(crate) fn update_contention(&mut self, pass: &Pass, steps: &[WaitingStep]) {
        if !self.shares_by_weight() {
            return;
        }
        let pools = self.shares.len();
        let mut full_pools: Vec<Arc<str>> = Vec::new();
        for waiting in steps {
            if full_pools.len() == pools {
                break;
            }
            if !waiting.urgency.is_late_guaranteed() {
                continue;
            }
            let Some((job, queue, account)) = self.placement_inputs(waiting.key) else { continue };
            let Some(spec) = job.steps.get(waiting.key.step as usize) else { continue };
            let durable = waiting.durable;
            let step = StepPlacement {
                key: waiting.key,
                account,
                durable,
                spec,
                queue: &queue,
                run_time: Millis(0),
                headroom: f32::INFINITY,
            };
            if !full_pools.contains(&queue.pool) && self.lacks_capacity(pass, step) {
                full_pools.push(queue.pool.clone());
            }
        }
        self.record_contention(&full_pools, pass.now);
    }

    /// Records in which pools some late step lacks capacity.
    pub(crate) fn record_contention(&mut self, full_pools: &[Arc<str>], now: Millis) {
        for (name, shares) in self.shares.iter_mut() {
            if shares.record_contention(full_pools.contains(name), now) {
                let (begins, beyond) = (shares.is_full(), shares.beyond_share());
                self.events.push(Event::AccountsFull { pool: name.clone(), begins, beyond });
            }
        }
    }

    /// Returns true if too little capacity is free for a step that could run otherwise. A step
    /// that wouldn't fit into an empty pool doesn't count.
    fn lacks_capacity(&self, pass: &Pass, step: StepPlacement<'_>) -> bool {
        let (need, spec) = (step.spec.allocation(), step.spec);
        let wanted = if spec.gang { spec.count } else { 1 };
        let may_start = step.durable
            && self.is_waiting(step.key, pass.now)
            && self.accounts.allows(step.account, &need, wanted);
        if !may_start {
            return false;
        }
        let limit = if spec.max_per_worker > 0 { spec.max_per_worker } else { u32::MAX };
        let (mut free, mut total) = (0_u32, 0_u32);
        for c in &pass.candidates {
            if self.advice_status(step, c.idx, pass.now) == AdviceStatus::Denied
                || !self.is_eligible(c, step)
            {
                continue;
            }
            free = free.saturating_add(fit_count(&need, &c.free).min(limit));
            if free >= wanted {
                return false;
            }
            total = total.saturating_add(fit_count(&need, &c.capacity).min(limit));
        }
        total >= wanted
    }

    /// Takes back what an account was charged for a run that was lost with its worker.
    pub(crate) fn refund_lost_run(
        &mut self,
        worker: WorkerIdx,
        held: &HeldTask,
        cause: GiveUpCause,
        now: Millis,
    ) {
        if !matches!(cause, GiveUpCause::Lapsed | GiveUpCause::WorkerDead)
            || held.allocation == Resources::ALL
        {
            return;
        }
        let Some(pool) = self.workers.get(worker).map(|w| w.pool.clone()) else { return };
        if self.shares.pool(&pool).is_some() {
            let age = now.since(held.since);
            self.shares.pool_mut(&pool).refund(held.account, &held.allocation, age);
        }
    }

    /// Returns the share that each account uses now; 0 while pools aren't shared by weight. Empty if
    /// no account has a weight.
    pub fn account_shares(&self) -> Vec<AccountShare> {
        if !self.accounts.has_weights() {
            return Vec::new();
        }
        let share = |(idx, name): (AccountIdx, &Arc<str>)| {
            let by_pool = self.shares.iter().map(|(_, pool)| pool.current_share(idx));
            let permille = (by_pool.fold(0.0, f64::max) * 1_000.0).round() as u32;
            AccountShare { name: name.clone(), permille }
        };
        self.accounts.names().map(share).collect()
    }
}
