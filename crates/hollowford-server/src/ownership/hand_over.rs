//! Gives a partition up: at a planned stop, or to even the load.

use super::keeper::Keeper;
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

/// Shortest time between two partitions that a process hands over to even the load.
const EVEN_EVERY: Millis = Millis(1_000);
/// Longest wait for the store at a planned stop.
const STOP_IN_OUTAGE: Millis = Millis(60_000);

impl Keeper {
    /// Tells whether this process owns two more than another that stays, so that a
    /// hand-over evens the load. One partition goes at a time, so that the next look
    /// sees what came of it.
    pub(super) fn is_one_too_many(&self) -> bool {
        let s = &self.shared;
        let least = self.least_loaded().map(|(_, owned)| owned);
        let answers = s.store_answers.load(Ordering::Acquire);
        if !answers || least.is_none_or(|least| s.owned.load(Ordering::Acquire) < least + 2) {
            return false;
        }
        let now = s.clock.now();
        let mut evened_at = s.evened_at.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(*evened_at) < EVEN_EVERY {
            return false;
        }
        *evened_at = now;
        true
    }

    /// Finds the staying process that owns the fewest partitions, and how many.
    fn least_loaded(&self) -> Option<(String, usize)> {
        let owners = self.shared.owners.all();
        let count = |p: &str| owners.iter().flatten().filter(|o| o.process == p).count();
        let others = self.shared.members.staying(&self.shared.clock);
        let counted = others.into_iter().map(|p| (count(&p), p));
        counted.min().map(|(owned, p)| (p, owned))
    }

    /// At a planned stop in an outage: keeps the partition, so that its tasks' leases are
    /// renewed, until the store answers or the longest wait has passed.
    pub(super) async fn await_store(&mut self) {
        let give_up_at = self.shared.clock.now() + STOP_IN_OUTAGE;
        while let Some(owned) = &mut self.owned {
            owned.due_at = Millis(0);
            self.renew().await;
            let answers = self.shared.store_answers.load(Ordering::Acquire);
            if answers || self.shared.clock.now() >= give_up_at {
                return;
            }
            tokio::time::sleep(self.shared.settings.lease.renew.duration()).await;
        }
    }

    /// At a planned stop, or to even the load: lets all that was decided become
    /// durable, then frees the row, so that no one waits for the lease to lapse.
    pub(super) async fn hand_over(&mut self) {
        let Some(owned) = self.owned.take() else {
            return;
        };
        let (tx, rx) = oneshot::channel();
        let release = DecideMsg::Release { partition: self.partition, done: tx };
        self.shared.decide.send(release).await;
        let longest = self.shared.settings.lease.ownership.duration();
        let flushed = tokio::time::timeout(longest, rx).await;
        owned.lease.end();
        self.count_out();
        if !matches!(flushed, Ok(Ok(()))) {
            log::warn!("partition={} not handed over: the ledger can't be written", self.partition);
            return;
        }
        let mut row = self.own_row(owned.lease.epoch, owned.beat + 1);
        row.released = true;
        row.successor = self.least_loaded().map(|(p, _)| p).unwrap_or_default();
        let key = owner_key(self.partition);
        let txn = Txn::new().check(&*key, owned.version).put(&*key, row.encode_to_vec());
        if let Ok(TxnResult::Committed(_)) = self.store.txn(&txn).await {
            log::info!("partition={} epoch={} handed over", self.partition, owned.lease.epoch);
            let released = Body::Released(Released { partition: self.partition.0 });
            self.shared.peers.send(PeerMsg::Tell(Box::new(released))).await;
        }
    }
}
