//! Hands a partition over, at a planned stop or to balance the load.

use super::lease_manager::LeaseManager;
use crate::decide::DecideMsg;
use crate::ledger::owner_key;
use crate::peers::PeerMsg;
use hollowford_core::Millis;
use hollowford_platform::{Txn, TxnResult};
use hollowford_protocol::peer::{Body, Released};
use prost::Message;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// Minimum time between two hand-overs that balance the load.
const REBALANCE_INTERVAL: Millis = Millis(1_000);
/// Maximum time for which a planned stop waits for the store to answer.
const STOP_STORE_TIMEOUT: Millis = Millis(60_000);

impl LeaseManager {
    /// Returns true if this process should hand over a partition because it owns at least two
    /// more than another available process. At most one partition is handed over per
    /// [`REBALANCE_INTERVAL`], so that the next check sees the effect.
    pub(super) fn should_rebalance(&self) -> bool {
        let s = &self.shared;
        let fewest_owned = self.least_loaded_member().map(|(_, owned_count)| owned_count);
        let is_available = s.store_available.load(Ordering::Acquire);
        if !is_available
            || fewest_owned
                .is_none_or(|fewest_owned| s.owned_count.load(Ordering::Acquire) < fewest_owned + 2)
        {
            return false;
        }
        let now = s.clock.now();
        let mut rebalanced_at = s.rebalanced_at.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(*rebalanced_at) < REBALANCE_INTERVAL {
            return false;
        }
        *rebalanced_at = now;
        true
    }

    /// Returns the available process that owns the fewest partitions, and their number.
    fn least_loaded_member(&self) -> Option<(String, usize)> {
        let owners = self.shared.owners.all();
        let count = |p: &str| owners.iter().flatten().filter(|o| o.process == p).count();
        let others = self.shared.members.available(&self.shared.clock);
        let counted = others.into_iter().map(|p| (count(&p), p));
        counted.min().map(|(owned_count, p)| (p, owned_count))
    }

    /// Waits at a planned stop until the store answers, for at most [`STOP_STORE_TIMEOUT`]. In an
    /// outage this process keeps the partition meanwhile, so that the leases of its tasks are
    /// renewed.
    pub(super) async fn wait_for_store(&mut self) {
        let give_up_at = self.shared.clock.now() + STOP_STORE_TIMEOUT;
        while let Some(ownership) = &mut self.ownership {
            ownership.next_renewal_at = Millis(0);
            self.renew().await;
            let is_available = self.shared.store_available.load(Ordering::Acquire);
            if is_available || self.shared.clock.now() >= give_up_at {
                return;
            }
            tokio::time::sleep(self.shared.settings.lease.renew.duration()).await;
        }
    }

    /// Hands the partition over: waits until all its records are durable, then releases the
    /// owner row, so that the next owner need not wait for the lease to expire.
    pub(super) async fn hand_over(&mut self) {
        let Some(ownership) = self.ownership.take() else {
            return;
        };
        let (tx, rx) = oneshot::channel();
        let release = DecideMsg::Release { partition: self.partition, done: tx };
        self.shared.decide.send(release).await;
        let timeout = self.shared.settings.lease.ownership.duration();
        let flushed = tokio::time::timeout(timeout, rx).await;
        ownership.lease.end();
        self.decrement_owned_count();
        if !matches!(flushed, Ok(Ok(()))) {
            log::warn!(
                "partition={} not handed over: the ledger could not be written",
                self.partition
            );
            return;
        }
        let mut row = self.own_row(ownership.lease.epoch, ownership.write_id + 1);
        row.released = true;
        row.successor = self.least_loaded_member().map(|(p, _)| p).unwrap_or_default();
        let key = owner_key(self.partition);
        let txn = Txn::new().check(&*key, ownership.version).put(&*key, row.encode_to_vec());
        if let Ok(TxnResult::Committed(_)) = self.store.txn(&txn).await {
            log::info!("partition={} epoch={} handed over", self.partition, ownership.lease.epoch);
            let released = Body::Released(Released { partition: self.partition.0 });
            self.shared.peers.send(PeerMsg::Broadcast(Box::new(released))).await;
        }
    }
}
