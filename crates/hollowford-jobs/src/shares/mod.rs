//! Shares of the client accounts while a pool is full.
//!
//! While guaranteed steps are late for lack of capacity, steps of accounts that exceed their
//! weighted share of the pool come after those of the other accounts with the same rank. The state
//! is kept in the owner's memory; a new owner counts the usage from the tasks that workers hold.

mod contention;
mod pool;
#[cfg(test)]
mod tests;
mod usage;

pub(crate) use pool::{PoolShares, Position};

use std::sync::Arc;

/// The shares of all pools.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    pools: Vec<(Arc<str>, PoolShares)>,
}

impl Shares {
    /// Returns the shares of a pool, if any are counted.
    pub fn pool(&self, name: &Arc<str>) -> Option<&PoolShares> {
        self.pools.iter().find(|(known, _)| known == name).map(|(_, pool)| pool)
    }

    /// Returns the shares of a pool, which are added if the pool is unknown.
    pub fn pool_mut(&mut self, name: &Arc<str>) -> &mut PoolShares {
        let known = self.pools.iter().position(|(known, _)| known == name);
        let at = known.unwrap_or_else(|| {
            self.pools.push((name.clone(), PoolShares::default()));
            self.pools.len() - 1
        });
        &mut self.pools[at].1
    }

    /// Returns the number of pools.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &PoolShares)> {
        self.pools.iter().map(|(name, pool)| (name, pool))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&Arc<str>, &mut PoolShares)> {
        self.pools.iter_mut().map(|(name, pool)| (&*name, pool))
    }

    /// Drops all state, so that the next use starts without past usage.
    pub fn clear(&mut self) {
        self.pools.clear();
    }
}
