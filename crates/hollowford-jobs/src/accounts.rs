//! Client accounts: their quotas and what they use of them.
//!
//! The usage of an account is counted again for each pass from the tasks on the workers, including
//! starts without an answer, stopping tasks, and tasks on silent workers whose lease may not have
//! expired. After a takeover, tasks that may run on workers that this owner has not claimed count
//! as well. Counting again avoids incremental counters that could drift, and no start relies on an
//! outdated count.

use crate::engine::Engine;
use crate::job::{Job, Task};
use crate::spec::JobId;
use hollowford_accounts::{AccountPolicy, Allowance};
use hollowford_core::{Millis, Resources, Totals};
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Position of a client account in the engine's table.
pub(crate) type AccountIdx = u32;

/// Name of the account of jobs that were submitted over a route without keys. It has no quota.
pub const NO_ACCOUNT: &str = "";

/// The configuration of a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: Arc<str>,
    /// Quota and other limits of the account.
    pub policy: AccountPolicy,
    /// Jobs per second that are guaranteed to be served in time. Jobs beyond this rate come after
    /// guaranteed ones. 0 means that all jobs are guaranteed.
    pub guaranteed_jobs_per_s: u32,
}

/// Policy and usage of one account.
#[derive(Clone, Debug)]
struct AccountState {
    name: Arc<str>,
    policy: AccountPolicy,
    /// Its share when a pool is full; 0 if it has none, which counts as 1.
    weight: u32,
    /// Resources that its tasks hold, or may hold.
    used: Totals,
    /// Part of its quota that is reserved for one of its gangs.
    reserved: Option<Totals>,
    allowance: Allowance,
}

impl AccountState {
    fn new(name: Arc<str>) -> AccountState {
        let policy = AccountPolicy::default();
        AccountState {
            name,
            policy,
            weight: 0,
            used: Totals::default(),
            reserved: None,
            allowance: Allowance::default(),
        }
    }
}

/// All accounts that are configured or that jobs belong to.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    list: Vec<AccountState>,
    by_name: FxHashMap<Arc<str>, AccountIdx>,
}

impl Accounts {
    /// Returns the position of an account, which is added without a quota if it is unknown.
    pub fn intern(&mut self, name: &str) -> AccountIdx {
        if let Some(&idx) = self.by_name.get(name) {
            return idx;
        }
        let name: Arc<str> = name.into();
        let idx = self.list.len() as AccountIdx;
        self.list.push(AccountState::new(name.clone()));
        self.by_name.insert(name, idx);
        idx
    }

    /// Applies the configured policies. An account that is no longer configured keeps its last
    /// policy, since its accepted jobs continue.
    pub fn set(&mut self, accounts: &[Account]) {
        for a in accounts {
            let idx = self.intern(&a.name);
            let state = &mut self.list[idx as usize];
            state.policy = a.policy;
            state.weight = a.guaranteed_jobs_per_s;
            state.allowance.set_rate(f64::from(a.guaranteed_jobs_per_s));
        }
    }

    /// Counts a submitted job of an account. Returns true if it is within the account's guaranteed
    /// rate.
    pub fn record_job(&mut self, idx: AccountIdx, now: Millis) -> bool {
        self.list[idx as usize].allowance.count_job(now)
    }

    pub fn name(&self, idx: AccountIdx) -> &Arc<str> {
        &self.list[idx as usize].name
    }

    /// Returns the names of all accounts.
    pub fn names(&self) -> impl Iterator<Item = (AccountIdx, &Arc<str>)> {
        self.list.iter().enumerate().map(|(at, a)| (at as AccountIdx, &a.name))
    }

    /// Returns true if some account has a weight.
    pub fn has_weights(&self) -> bool {
        self.list.iter().any(|a| a.weight > 0)
    }

    /// Returns the weight of each account, 0 for one without.
    pub fn weights(&self) -> Vec<u32> {
        self.list.iter().map(|a| a.weight).collect()
    }

    pub fn has_quotas(&self) -> bool {
        self.list.iter().any(|a| !a.policy.is_unlimited())
    }

    /// Resets the usage and the reservation of all accounts.
    pub fn reset_usage(&mut self) {
        for a in &mut self.list {
            a.used = Totals::default();
            a.reserved = None;
        }
    }

    /// Adds the resources of one task to the account's usage.
    pub fn add_usage(&mut self, idx: AccountIdx, resources: &Resources) {
        self.list[idx as usize].used.add(resources);
    }

    /// Adds the resources of several tasks to the account's usage.
    fn add_total_usage(&mut self, idx: AccountIdx, resources: &Totals) {
        self.list[idx as usize].used.plus(resources);
    }

    /// Returns true if `count` more tasks fit in the account's quota next to its reservation for a
    /// gang.
    pub fn allows(&self, idx: AccountIdx, need: &Resources, count: u32) -> bool {
        let a = &self.list[idx as usize];
        if a.policy.is_unlimited() {
            return true;
        }
        let mut total = a.used;
        if let Some(reserved) = &a.reserved {
            total.plus(reserved);
        }
        a.policy.allows(&total, need, count)
    }

    /// Returns true if `count` more tasks fit in the account's quota once its tasks have released
    /// `released`.
    pub fn allows_after_release(
        &self,
        idx: AccountIdx,
        need: &Resources,
        count: u32,
        released: &Totals,
    ) -> bool {
        let a = &self.list[idx as usize];
        let used = Totals {
            cpu_milli: a.used.cpu_milli.saturating_sub(released.cpu_milli),
            memory_mib: a.used.memory_mib.saturating_sub(released.memory_mib),
            accelerators: a.used.accelerators.saturating_sub(released.accelerators),
        };
        a.policy.allows(&used, need, count)
    }

    /// Returns how many more tasks that need `need` fit in the account's quota, at most `limit`.
    pub fn allowed_count(&self, idx: AccountIdx, need: &Resources, limit: usize) -> usize {
        (0..limit).take_while(|&n| self.allows(idx, need, n as u32 + 1)).count()
    }

    /// Reserves a part of the account's quota for a gang that can't start yet. Otherwise the
    /// account's smaller tasks would use each part of the quota as it becomes free. Only the first
    /// gang in a pass gets a reservation, which is the most urgent one, and none that is larger
    /// than the quota.
    pub fn reserve(&mut self, idx: AccountIdx, need: &Resources, count: u32) {
        let a = &mut self.list[idx as usize];
        let fits = a.policy.allows(&Totals::default(), need, count);
        if a.policy.is_unlimited() || a.reserved.is_some() || !fits {
            return;
        }
        a.reserved = Some(Totals::of(need, count));
    }

    /// Returns the usage of each account with a quota.
    pub fn usage(&self) -> impl Iterator<Item = AccountUsage> {
        let with_quota = self.list.iter().filter(|a| !a.policy.is_unlimited());
        with_quota.map(|a| AccountUsage {
            name: a.name.clone(),
            used: a.used,
            quota: a.policy.quota,
        })
    }
}

/// Resources that an account uses of its quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountUsage {
    /// Name of the account.
    pub name: Arc<str>,
    /// Resources that its tasks hold, or may hold.
    pub used: Totals,
    /// Maximum resources that its tasks may hold; 0 means no limit.
    pub quota: Totals,
}

impl AccountUsage {
    /// Returns true if the account uses at least `percent` of its quota of any resource.
    pub fn has_reached(&self, percent: u64) -> bool {
        let is_reached = |used: u64, quota: u64| quota > 0 && used * 100 >= quota * percent;
        is_reached(self.used.cpu_milli, self.quota.cpu_milli)
            || is_reached(self.used.memory_mib, self.quota.memory_mib)
            || is_reached(self.used.accelerators, self.quota.accelerators)
    }
}

impl Engine {
    /// Applies the client accounts of a configuration. All jobs of an account belong to one
    /// partition, so the partition applies the whole quota.
    pub fn set_accounts(&mut self, accounts: &[Account]) {
        self.accounts.set(accounts);
        self.needs_pass = true;
    }

    /// Returns the client account of a job, or `None` if the job is unknown.
    pub fn account_of(&self, job: JobId) -> Option<&str> {
        let open = self.jobs.get(job).map(|j| j.account);
        let idx = open.or_else(|| self.jobs.ended(job).map(|e| e.account))?;
        Some(self.accounts.name(idx))
    }

    /// Returns the current usage of each account with a quota.
    pub fn account_usage(&mut self) -> Vec<AccountUsage> {
        self.recount_usage();
        self.accounts.usage().collect()
    }

    /// Counts the usage of all accounts again.
    pub(crate) fn recount_usage(&mut self) {
        if !self.accounts.has_quotas() {
            return;
        }
        self.accounts.reset_usage();
        for (_, w) in self.workers.iter() {
            for h in &w.held {
                // The allocation of an ended job's task is unknown, so it counts as the whole
                // worker.
                let resources =
                    if h.allocation == Resources::ALL { &w.capacity } else { &h.allocation };
                self.accounts.add_usage(h.account, resources);
            }
        }
        if self.tasks_unsettled {
            self.count_unsettled_usage();
        }
    }

    /// Counts the tasks that may run on workers that this owner has not claimed: the unsettled
    /// tasks of each account, limited to the capacity of those workers.
    fn count_unsettled_usage(&mut self) {
        let max_capacity = self
            .workers
            .iter()
            .fold(Resources::default(), |max, (_, w)| max.component_max(&w.capacity));
        let mut unclaimed_capacity = Totals::default();
        for &idx in &self.unsettled_workers {
            let capacity = self.workers.get(idx).map_or(max_capacity, |w| w.capacity);
            // The capacity of a worker that is no longer listed is unknown, so it counts as the
            // largest.
            unclaimed_capacity.add(if capacity == Resources::default() {
                &max_capacity
            } else {
                &capacity
            });
        }
        let mut by_account: FxHashMap<AccountIdx, Totals> = FxHashMap::default();
        for job in self.jobs.open() {
            by_account.entry(job.account).or_default().plus(&unsettled_usage(job));
        }
        for (idx, tasks) in by_account {
            self.accounts.add_total_usage(idx, &tasks.component_min(&unclaimed_capacity));
        }
    }
}

/// Returns the resources of a job's tasks that may run on unclaimed workers.
fn unsettled_usage(job: &Job) -> Totals {
    let mut sum = Totals::default();
    for round in &job.rounds {
        for (step, spec) in round.steps.iter().zip(&job.spec.steps) {
            let runs = step.tasks.iter().map(Task::unsettled_runs).sum();
            sum.plus(&Totals::of(&spec.allocation(), runs));
        }
    }
    sum
}
