//! Client accounts in the engine: configuration, resource usage, fair share and queues.

use crate::request::{PriorityClass, QueueKind};
use hollowford_accounts::AccountPolicy;
use hollowford_core::{AccountId, Kind, Millis, RequestNo, Resources, Spec, Totals};
use std::collections::{HashMap, VecDeque};

/// Index of a client account in the engine's table.
pub(crate) type AccountIdx = u32;

#[derive(Debug)]
pub(crate) struct Account {
    pub id: AccountId,
    pub policy: AccountPolicy,
    /// Resources that its placed tasks occupy.
    pub used: Totals,
    /// Requests without a final answer.
    pub open: u32,
    /// Requests with waiting tasks by kind of queue, oldest first.
    pub queues: [VecDeque<RequestNo>; QueueKind::COUNT],
    /// For each class, the last pass in which none of its requests could be placed.
    pub blocked_in_pass: [u64; PriorityClass::COUNT],
    /// Numbers of recent attempts that succeeded and that failed. Both are halved when their sum
    /// reaches a limit.
    recent_ends: (u32, u32),
    /// Moving average of actual run time divided by declared run time.
    run_time_factor: f64,
    /// Past dominant share of the capacity, with exponential decay.
    past_share: f64,
    /// When `past_share` was last updated.
    past_share_at: Millis,
}

impl Account {
    fn new(id: AccountId) -> Account {
        Account {
            id,
            policy: AccountPolicy::default(),
            used: Totals::default(),
            open: 0,
            queues: Default::default(),
            blocked_in_pass: [0; PriorityClass::COUNT],
            recent_ends: (0, 0),
            run_time_factor: 1.0,
            past_share: 0.0,
            past_share_at: Millis(0),
        }
    }

    /// Decays the past share and adds the share in use since the last call.
    pub fn update_past_share(&mut self, now: Millis, total_capacity: &Totals, half_life: Millis) {
        let dt = now.since(self.past_share_at).0 as f64;
        if dt > 0.0 {
            let decay = 0.5_f64.powf(dt / half_life.0.max(1) as f64);
            let current_share = self.used.dominant_share(total_capacity);
            self.past_share = self.past_share * decay + current_share * (1.0 - decay);
            self.past_share_at = now;
        }
    }

    /// Returns the rank of the account: its current and past share divided by its weight.
    /// Accounts with a lower rank are served first.
    pub fn share_rank(&self, total_capacity: &Totals) -> f64 {
        let current_share = self.used.dominant_share(total_capacity);
        (current_share + self.past_share) / f64::from(self.policy.weight.max(1))
    }

    /// Counts an attempt as succeeded or failed.
    pub fn record_end(&mut self, succeeded: bool) {
        const MAX_RECENT_ENDS: u32 = 64;
        if self.recent_ends.0 + self.recent_ends.1 >= MAX_RECENT_ENDS {
            self.recent_ends = (self.recent_ends.0 / 2, self.recent_ends.1 / 2);
        }
        match succeeded {
            true => self.recent_ends.0 += 1,
            false => self.recent_ends.1 += 1,
        }
    }

    /// Updates the run time factor with a completed task.
    pub fn record_run_time(&mut self, declared_ms: u64, ran: Millis) {
        const NEW_RUN_WEIGHT: f64 = 0.05;
        const FACTOR_RANGE: (f64, f64) = (0.1, 10.0);
        if declared_ms > 0 {
            let observed =
                (ran.0 as f64 / declared_ms as f64).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
            self.run_time_factor += (observed - self.run_time_factor) * NEW_RUN_WEIGHT;
        }
    }

    /// Returns when a task that starts at `now` is expected to end: its declared run time,
    /// corrected by the run time factor. `Millis::MAX` if it declares none or is a service.
    pub fn expected_end(&self, spec: &Spec, now: Millis) -> Millis {
        if spec.run_time_ms == 0 || spec.kind == Kind::Service {
            return Millis::MAX;
        }
        now + Millis((spec.run_time_ms as f64 * self.run_time_factor) as u64)
    }

    /// Returns true if most recent attempts of the account succeeded, so that a failure
    /// is likely to be the worker's fault.
    pub fn mostly_succeeds(&self) -> bool {
        self.recent_ends.0 > self.recent_ends.1
    }

    /// Returns true if the account has a queued request in the class.
    pub fn has_queued(&self, class: PriorityClass) -> bool {
        class.queue_kinds().iter().any(|queue_kind| !self.queues[*queue_kind as usize].is_empty())
    }

    /// Returns true if `count` more tasks of size `r` are within the quota.
    pub fn allows(&self, r: &Resources, count: u32) -> bool {
        self.policy.allows(&self.used, r, count)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Accounts {
    list: Vec<Account>,
    by_id: HashMap<AccountId, AccountIdx>,
}

impl Accounts {
    /// Maximum number of accounts that are compared for one placement.
    const MAX_COMPARED_ACCOUNTS: usize = 8;

    /// Returns the index of an account; adds it with the default configuration if it is new.
    pub fn intern(&mut self, id: &AccountId) -> AccountIdx {
        if let Some(&idx) = self.by_id.get(id) {
            return idx;
        }
        let idx = self.list.len() as AccountIdx;
        self.list.push(Account::new(id.clone()));
        self.by_id.insert(id.clone(), idx);
        idx
    }

    pub fn find(&self, id: &AccountId) -> Option<AccountIdx> {
        self.by_id.get(id).copied()
    }

    pub fn get(&self, idx: AccountIdx) -> &Account {
        &self.list[idx as usize]
    }

    pub fn get_mut(&mut self, idx: AccountIdx) -> &mut Account {
        &mut self.list[idx as usize]
    }

    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.list.iter()
    }

    /// Returns accounts that can be served and whose rank is at most `tolerance` above
    /// the rank of `first`.
    pub fn close_in_rank(
        &self,
        first: AccountIdx,
        tolerance: f64,
        class: PriorityClass,
        pass: u64,
        total_capacity: &Totals,
    ) -> impl Iterator<Item = AccountIdx> {
        let limit = self.get(first).share_rank(total_capacity) + tolerance;
        let c = class as usize;
        let is_servable = move |a: &Account| a.blocked_in_pass[c] != pass && a.has_queued(class);
        let indexed = self.list.iter().enumerate();
        indexed
            .filter(move |(_, a)| is_servable(a) && a.share_rank(total_capacity) <= limit)
            .map(|(i, _)| i as AccountIdx)
            .take(Self::MAX_COMPARED_ACCOUNTS)
    }

    /// Returns the account to serve next in a class: the one with the lowest rank among
    /// those with queued requests that are not blocked in this pass.
    pub fn next(
        &self,
        class: PriorityClass,
        pass: u64,
        total_capacity: &Totals,
    ) -> Option<AccountIdx> {
        let c = class as usize;
        let mut best: Option<(f64, AccountIdx)> = None;
        for (i, a) in self.list.iter().enumerate() {
            if a.blocked_in_pass[c] == pass || !a.has_queued(class) {
                continue;
            }
            let share_rank = a.share_rank(total_capacity);
            if best.is_none_or(|(low, _)| share_rank < low) {
                best = Some((share_rank, i as AccountIdx));
            }
        }
        best.map(|(_, idx)| idx)
    }
}
