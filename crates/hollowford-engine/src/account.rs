//! Client accounts as the engine sees them: configuration, use and queues.

use crate::request::{PriorityClass, QueueKind};
use hollowford_accounts::AccountPolicy;
use hollowford_core::{AccountId, Kind, Millis, RequestNo, Resources, Spec, Totals};
use std::collections::{HashMap, VecDeque};

/// Position of a client account in the engine's table.
pub(crate) type AccountIdx = u32;

/// One client account.
#[derive(Debug)]
pub(crate) struct Account {
    pub id: AccountId,
    pub policy: AccountPolicy,
    /// What its placed tasks take.
    pub used: Totals,
    /// Requests without a final answer.
    pub open: u32,
    /// Requests with waiting tasks, oldest first.
    pub queues: [VecDeque<RequestNo>; QueueKind::COUNT],
    /// Pass in which nothing more of the class can be placed.
    pub blocked_in_pass: [u64; PriorityClass::COUNT],
    /// Attempts that ended well and badly of late.
    recent_ends: (u32, u32),
    /// Mean of true to declared run time, of late.
    run_time_factor: f64,
    past_share: f64,
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

    /// Folds the share held since the last call into the decayed past.
    pub fn update_past_share(&mut self, now: Millis, total_capacity: &Totals, half_life: Millis) {
        let dt = now.since(self.past_share_at).0 as f64;
        if dt > 0.0 {
            let keep = 0.5_f64.powf(dt / half_life.0.max(1) as f64);
            let held = self.used.dominant_share(total_capacity);
            self.past_share = self.past_share * keep + held * (1.0 - keep);
            self.past_share_at = now;
        }
    }

    /// Returns the number by which accounts are ordered; the lowest goes first.
    pub fn share_rank(&self, total_capacity: &Totals) -> f64 {
        let held = self.used.dominant_share(total_capacity);
        (held + self.past_share) / f64::from(self.policy.weight.max(1))
    }

    /// Notes how an attempt ended.
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

    /// Learns from a task that ran to its end how true the declared run times are.
    pub fn record_run_time(&mut self, declared_ms: u64, ran: Millis) {
        const NEW_RUN_WEIGHT: f64 = 0.05;
        const FACTOR_RANGE: (f64, f64) = (0.1, 10.0);
        if declared_ms > 0 {
            let seen = (ran.0 as f64 / declared_ms as f64).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
            self.run_time_factor += (seen - self.run_time_factor) * NEW_RUN_WEIGHT;
        }
    }

    /// Returns when a task that starts at `now` is expected to end, by what its
    /// account declares and how true that was; `Millis::MAX`: not known.
    pub fn expected_end(&self, spec: &Spec, now: Millis) -> Millis {
        if spec.run_time_ms == 0 || spec.kind == Kind::Service {
            return Millis::MAX;
        }
        now + Millis((spec.run_time_ms as f64 * self.run_time_factor) as u64)
    }

    /// Tells whether most of the account's work ends well, so that a failure
    /// speaks against the worker.
    pub fn mostly_succeeds(&self) -> bool {
        self.recent_ends.0 > self.recent_ends.1
    }

    /// Tells whether the account has anything queued in a class.
    pub fn has_queued(&self, class: PriorityClass) -> bool {
        class.queue_kinds().iter().any(|queue_kind| !self.queues[*queue_kind as usize].is_empty())
    }

    /// Tells whether one more `r`, `count` times, stays within the quota.
    pub fn allows(&self, r: &Resources, count: u32) -> bool {
        self.policy.allows(&self.used, r, count)
    }
}

/// All client accounts that the engine has met.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    list: Vec<Account>,
    by_id: HashMap<AccountId, AccountIdx>,
}

impl Accounts {
    /// Accounts that are compared for one placement.
    const MAX_COMPARED_ACCOUNTS: usize = 8;

    /// Finds an account, or adds it with the default configuration.
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

    /// Returns the accounts that could be served and are at most `tolerance` behind
    /// `first` in order.
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
        let close_in_rank = self.list.iter().enumerate();
        close_in_rank
            .filter(move |(_, a)| is_servable(a) && a.share_rank(total_capacity) <= limit)
            .map(|(i, _)| i as AccountIdx)
            .take(Self::MAX_COMPARED_ACCOUNTS)
    }

    /// Returns the account to serve next in a class: the lowest in order with a
    /// queue that is not blocked in this pass.
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
