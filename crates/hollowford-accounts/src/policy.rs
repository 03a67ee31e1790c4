//! Share and limits of a client account.

use hollowford_core::{Resources, Totals};

/// Share and limits that the configuration grants to a client account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountPolicy {
    /// Weight in fair sharing, relative to other accounts.
    pub weight: u32,
    /// Maximum resources that its tasks may hold at once; 0 means unlimited, for each resource.
    pub quota: Totals,
    /// Maximum number of requests that may wait at once; 0 means the default of the scheduling
    /// policy.
    pub max_queued: u32,
}

impl Default for AccountPolicy {
    fn default() -> AccountPolicy {
        AccountPolicy { weight: 1, quota: Totals::default(), max_queued: 0 }
    }
}

impl AccountPolicy {
    /// Returns true if no resource is limited by the quota.
    pub fn is_unlimited(&self) -> bool {
        self.quota == Totals::default()
    }

    /// Returns true if `count` times `need` on top of `used` stays within the quota.
    pub fn allows(&self, used: &Totals, need: &Resources, count: u32) -> bool {
        let more = Resources::new(
            need.cpu_milli.saturating_mul(count),
            need.memory_mib.saturating_mul(count),
            need.accelerators.saturating_mul(count),
        );
        used.can_add(&more, &self.quota)
    }
}
