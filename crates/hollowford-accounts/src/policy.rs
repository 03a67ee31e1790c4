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
        used.can_add(&more, &self.quota)
    }
}
