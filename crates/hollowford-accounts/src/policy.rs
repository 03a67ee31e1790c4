//! What the configuration grants to a client account.

use hollowford_core::{Resources, Totals};

/// What the configuration grants to a client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountPolicy {
    /// Share relative to other accounts.
    pub weight: u32,
    /// Most that its tasks hold at once; zeros: no limit.
    pub quota: Totals,
    /// Requests that may wait at once; 0: the policy's default.
    pub max_queued: u32,
}

impl Default for AccountPolicy {
    fn default() -> AccountPolicy {
        AccountPolicy { weight: 1, quota: Totals::default(), max_queued: 0 }
    }
}

impl AccountPolicy {
    /// Tells whether the account may hold any amount of everything.
    pub fn is_unlimited(&self) -> bool {
        self.quota == Totals::default()
    }

    /// Tells whether `count` times `need` on top of `used` stays within the quota.
    pub fn allows(&self, used: &Totals, need: &Resources, count: u32) -> bool {
        let more = Resources::new(
            need.cpu_milli.saturating_mul(count),
            need.memory_mib.saturating_mul(count),
            need.accelerators.saturating_mul(count),
        );
        used.within(&more, &self.quota)
    }

    /// Returns the policy of one of `parts` equal parts that decide by themselves. A resource
    /// with a limit keeps one: the parts together never grant more than the whole.
    pub fn part_of(&self, parts: u32) -> AccountPolicy {
        let parts = u64::from(parts.max(1));
        let part = |limit: u64| if limit == 0 { 0 } else { (limit / parts).max(1) };
        let quota = Totals {
            cpu_milli: part(self.quota.cpu_milli),
            memory_mib: part(self.quota.memory_mib),
            accelerators: part(self.quota.accelerators),
        };
        AccountPolicy { quota, ..*self }
    }
}
