//! Client accounts: what each may have running, and what it has.
//!
//! What an account has running is counted anew for each pass, from what workers hold: ordered,
//! unanswered, stopping, or on a worker that is silent and whose lease isn't surely over. After a
//! takeover what may run on workers that this owner has not heard yet counts besides. So nothing
//! has to be kept in step, and no start goes by a count that was right only a moment ago.

use crate::engine::Engine;
use crate::job::Job;
use crate::spec::JobId;
use hollowford_accounts::{AccountPolicy, Allowance};
use hollowford_core::{Millis, Resources, Totals};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Position of a client account in the engine's table.
pub(crate) type AccountIdx = u32;

/// Name of the account of jobs that came over a route without keys. It has no quota.
pub const NO_ACCOUNT: &str = "";

/// A client account as the configuration has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: Arc<str>,
    /// What it is granted.
    pub policy: AccountPolicy,
    /// Jobs of it a second that are owed an answer in time; what comes beyond them goes behind what
    /// is owed. 0: all are.
    pub owed_per_s: u32,
}

/// What the engine knows of one account.
#[derive(Clone, Debug)]
struct State {
    name: Arc<str>,
    policy: AccountPolicy,
    /// What its tasks hold, or may hold.
    used: Totals,
    /// Part of its quota that is kept for a gang of its own.
    kept: Option<Totals>,
    allowance: Allowance,
}

impl State {
    fn new(name: Arc<str>) -> State {
        let policy = AccountPolicy::default();
        State { name, policy, used: Totals::default(), kept: None, allowance: Allowance::default() }
    }
}

/// All accounts that jobs belong to, or that the configuration names.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    list: Vec<State>,
    by_name: FxHashMap<Arc<str>, AccountIdx>,
}

impl Accounts {
    /// Finds an account, or adds it without a quota.
    pub fn intern(&mut self, name: &str) -> AccountIdx {
        if let Some(&idx) = self.by_name.get(name) {
            return idx;
        }
        let name: Arc<str> = name.into();
        let idx = self.list.len() as AccountIdx;
        self.list.push(State::new(name.clone()));
        self.by_name.insert(name, idx);
        idx
    }

    /// Puts what the configuration grants in force. An account that it doesn't name any more keeps
    /// what it was granted last, since its accepted jobs go on.
    pub fn set(&mut self, accounts: &[Account]) {
        for a in accounts {
            let idx = self.intern(&a.name);
            let state = &mut self.list[idx as usize];
            state.policy = a.policy;
            state.allowance.set_rate(f64::from(a.owed_per_s));
        }
    }

    /// Counts a job that an account hands in. Tells whether it is owed an answer in time, or comes
    /// beyond what the account is owed.
    pub fn note_job(&mut self, idx: AccountIdx, now: Millis) -> bool {
        self.list[idx as usize].allowance.count_job(now)
    }

    pub fn name(&self, idx: AccountIdx) -> &Arc<str> {
        &self.list[idx as usize].name
    }

    /// Tells whether some account has a quota.
    pub fn has_quotas(&self) -> bool {
        self.list.iter().any(|a| !a.policy.is_unlimited())
    }

    /// Begins to count anew.
    pub fn clear_use(&mut self) {
        for a in &mut self.list {
            a.used = Totals::default();
            a.kept = None;
        }
    }

    /// Counts what one of the account's tasks holds.
    pub fn take(&mut self, idx: AccountIdx, room: &Resources) {
        self.list[idx as usize].used.add(room);
    }

    /// Counts what the account's tasks may hold together.
    fn take_all(&mut self, idx: AccountIdx, rooms: &Totals) {
        self.list[idx as usize].used.plus(rooms);
    }

    /// Tells whether `count` more tasks stay within the account's quota, beside what is kept of it
    /// for a gang.
    pub fn allows(&self, idx: AccountIdx, need: &Resources, count: u32) -> bool {
        let a = &self.list[idx as usize];
        if a.policy.is_unlimited() {
            return true;
        }
        let mut used = a.used;
        if let Some(kept) = &a.kept {
            used.plus(kept);
        }
        a.policy.allows(&used, need, count)
    }

    /// Returns how many more such tasks, at most `most`, stay within the account's quota.
    pub fn room_for(&self, idx: AccountIdx, need: &Resources, most: usize) -> usize {
        (0..most).take_while(|&n| self.allows(idx, need, n as u32 + 1)).count()
    }

    /// Keeps a part of the account's quota for a gang that can't start yet: its smaller tasks
    /// would use each part of it that comes free. One gang of an account at a time, the most
    /// urgent, and none that is larger than the quota.
    pub fn keep(&mut self, idx: AccountIdx, need: &Resources, count: u32) {
        let a = &mut self.list[idx as usize];
        let fits = a.policy.allows(&Totals::default(), need, count);
        if a.policy.is_unlimited() || a.kept.is_some() || !fits {
            return;
        }
        a.kept = Some(Totals::of(need, count));
    }

    /// Returns what each account with a quota holds of it.
    pub fn uses(&self) -> impl Iterator<Item = AccountUse> {
        let limited = self.list.iter().filter(|a| !a.policy.is_unlimited());
        limited.map(|a| AccountUse { name: a.name.clone(), used: a.used, quota: a.policy.quota })
    }
}

/// What an account holds of its quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountUse {
    /// Its name.
    pub name: Arc<str>,
    /// What its tasks hold.
    pub used: Totals,
    /// Most that they may; 0: no limit.
    pub quota: Totals,
}

impl AccountUse {
    /// Tells whether the account holds so much of its quota, in percent, of some resource.
    pub fn is_over(&self, percent: u64) -> bool {
        let over = |used: u64, quota: u64| quota > 0 && used * 100 >= quota * percent;
        over(self.used.cpu_milli, self.quota.cpu_milli)
            || over(self.used.memory_mib, self.quota.memory_mib)
            || over(self.used.accelerators, self.quota.accelerators)
    }
}

impl Engine {
    /// Puts the client accounts of a configuration in force. All jobs of an account belong to one
    /// partition, which grants it all of its quota.
    pub fn set_accounts(&mut self, accounts: &[Account]) {
        self.accounts.set(accounts);
        self.dirty = true;
    }

    /// Returns the client account that a job belongs to; none when there is no such job.
    pub fn account_of(&self, job: JobId) -> Option<&str> {
        let open = self.jobs.get(job).map(|j| j.account);
        let idx = open.or_else(|| self.jobs.ended(job).map(|e| e.account))?;
        Some(self.accounts.name(idx))
    }

    /// Returns what each account with a quota holds of it.
    pub fn account_uses(&mut self) -> Vec<AccountUse> {
        self.count_use();
        self.accounts.uses().collect()
    }

    /// Counts what the accounts have running, or may have.
    pub(crate) fn count_use(&mut self) {
        if !self.accounts.has_quotas() {
            return;
        }
        self.accounts.clear_use();
        for (_, w) in self.workers.iter() {
            for h in &w.held {
                // What a job that has ended takes is not known: the whole worker at most.
                let room = if h.room == Resources::ALL { &w.capacity } else { &h.room };
                self.accounts.take(h.account, room);
            }
        }
        if self.tasks_unsettled {
            self.count_unsettled();
        }
    }

    /// Counts what may run on workers that this owner has not claimed: of each account what its
    /// unsettled tasks take, and no more than those workers have.
    fn count_unsettled(&mut self) {
        let most = self
            .workers
            .iter()
            .fold(Resources::default(), |m, (_, w)| m.component_max(&w.capacity));
        let mut room = Totals::default();
        for &idx in &self.unsettled {
            let capacity = self.workers.get(idx).map_or(most, |w| w.capacity);
            // One that is not listed any more may be as large as any.
            room.add(if capacity == Resources::default() { &most } else { &capacity });
        }
        let mut by_account: FxHashMap<AccountIdx, Totals> = FxHashMap::default();
        for job in self.jobs.open() {
            by_account.entry(job.account).or_default().plus(&unsettled(job));
        }
        for (idx, tasks) in by_account {
            self.accounts.take_all(idx, &tasks.component_min(&room));
        }
    }
}

/// Returns what the tasks of a job take that may run on unclaimed workers.
fn unsettled(job: &Job) -> Totals {
    let mut sum = Totals::default();
    for round in &job.rounds {
        for (step, spec) in round.steps.iter().zip(&job.spec.steps) {
            let tasks = step.tasks.iter().filter(|t| t.unsettled && t.at.is_none()).count();
            sum.plus(&Totals::of(&spec.room(), tasks as u32));
        }
    }
    sum
}
