//! The accounts' shares of one pool and their positions in the order.

use super::contention::Contention;
use super::usage::Usage;
use crate::accounts::AccountIdx;
use hollowford_core::{Millis, Resources, Totals};

/// Position of an account in the order of a full pool: 0 for an account within its share, and one
/// more for each doubling beyond it. Within a position, the latest start decides.
pub(crate) type Position = u8;

/// Multiple of its weighted share of the pool up to which an account is within it. At 2, two large
/// accounts that fill the pool were hardly ever beyond their shares.
const WITHIN_SHARE: f64 = 1.5;
/// Highest position.
const MAX_POSITION: Position = 8;
/// Part of the lower bound of its position below which an account moves to a lower one, so that
/// an account at a bound doesn't move back and forth.
const LEAVE_BELOW: f64 = 0.8;

/// What the accounts use of a pool.
#[derive(Debug, Default)]
pub(crate) struct PoolShares {
    capacity: Totals,
    /// By account; accounts without usage may be missing at the end.
    accounts: Vec<AccountShare>,
    contention: Contention,
    /// When the usage was last counted.
    counted_at: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountShare {
    usage: Usage,
    position: Position,
}

impl PoolShares {
    /// Begins a new count of capacity and usage.
    pub fn begin_count(&mut self) {
        self.capacity = Totals::default();
        self.accounts.iter_mut().for_each(|a| a.usage.current = Totals::default());
    }

    pub fn add_capacity(&mut self, capacity: &Resources) {
        self.capacity.add(capacity);
    }

    /// Adds the resources of one task to an account's usage.
    pub fn add_usage(&mut self, account: AccountIdx, resources: &Resources) {
        self.account_mut(account).usage.current.add(resources);
    }

    /// Ends the count and computes the positions. `weights` has the weight of each account, 0 for
    /// an unknown one, which counts as 1.
    pub fn end_count(&mut self, weights: &[u32], now: Millis) {
        let elapsed = self.counted_at.replace(now).map_or(Millis(0), |at| now.since(at));
        let total: f64 = weights.iter().map(|&w| effective_weight(w)).sum();
        for (at, account) in self.accounts.iter_mut().enumerate() {
            account.usage.update_served(elapsed);
            let weight = effective_weight(weights.get(at).copied().unwrap_or(0));
            let share = account.usage.served_share(&self.capacity);
            account.position = position(share * total / weight, account.position);
        }
    }

    /// Returns the position of an account; 0 while the pool isn't full.
    pub fn position(&self, account: AccountIdx) -> Position {
        if !self.contention.is_full() {
            return 0;
        }
        self.accounts.get(account as usize).map_or(0, |a| a.position)
    }

    /// Returns true if steps are ordered by the shares of their accounts.
    pub fn is_full(&self) -> bool {
        self.contention.is_full()
    }

    /// Records whether some late step lacks capacity. Returns true if the pool has become full or has
    /// ceased to be.
    pub fn record_contention(&mut self, lacks_capacity: bool, now: Millis) -> bool {
        self.contention.record(lacks_capacity, now)
    }

    /// Takes back what an account was charged for a run that was lost with its worker.
    pub fn refund(&mut self, account: AccountIdx, allocation: &Resources, age: Millis) {
        self.account_mut(account).usage.refund(allocation, age);
    }

    /// Returns the dominant share of the pool that an account uses now.
    pub fn current_share(&self, account: AccountIdx) -> f64 {
        let account = self.accounts.get(account as usize);
        account.map_or(0.0, |a| a.usage.current_share(&self.capacity))
    }

    /// Returns the number of accounts that are beyond their share.
    pub fn beyond_share(&self) -> usize {
        self.accounts.iter().filter(|a| a.position > 0).count()
    }

    fn account_mut(&mut self, account: AccountIdx) -> &mut AccountShare {
        let at = account as usize;
        if self.accounts.len() <= at {
            self.accounts.resize(at + 1, AccountShare::default());
        }
        &mut self.accounts[at]
    }
}

/// Returns the weight of an account: 1 if it is unknown or has none.
fn effective_weight(weight: u32) -> f64 {
    f64::from(weight.max(1))
}

/// Returns the position of an account that has `multiple` of its weighted share and was at
/// `previous`.
fn position(multiple: f64, previous: Position) -> Position {
    let class = |multiple: f64| {
        let doublings = (multiple / WITHIN_SHARE).log2().floor();
        (doublings + 1.0).clamp(0.0, f64::from(MAX_POSITION)) as Position
    };
    let entered = class(multiple);
    if entered > previous { entered } else { previous.min(class(multiple / LEAVE_BELOW)) }
}
