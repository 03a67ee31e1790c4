//! The event loop of the `decide` thread.

use super::owned_partition::OwnedPartition;
use super::waiting_calls::refuse;
use super::{DecideMsg, ReplySender, TakenPartition, calls};
use crate::ledger::LedgerItem;
use crate::shared::Shared;
use crate::workers::WorkerMsg;
use hollowford_core::{ErrorKind, Millis, PartitionId};
use hollowford_protocol::peer::Call;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval of the checks for expired leases, timeouts and retries.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Messages handled before tasks are placed and the resulting actions are sent.
const MAX_MESSAGES_PER_ROUND: usize = 512;

/// State of the `decide` thread.
struct EventLoop {
    shared: Arc<Shared>,
    owned: BTreeMap<PartitionId, OwnedPartition>,
}

/// Runs the event loop. Never returns.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut event_loop = EventLoop { shared: shared.clone(), owned: BTreeMap::new() };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let now = shared.clock.now();
        let busy = event_loop.owned.values().any(|o| o.engine.needs_decide(now));
        let ticked = tokio::select! {
            biased;
            _ = ticks.tick() => true,
            () = shared.decide.ready() => false,
            () = std::future::ready(()), if busy => false,
        };
        event_loop.run_round(ticked).await;
    }
}

impl EventLoop {
    async fn run_round(&mut self, ticked: bool) {
        for _ in 0..MAX_MESSAGES_PER_ROUND {
            match self.shared.decide.pop() {
                Some(msg) => self.handle(msg).await,
                None => break,
            }
        }
        let now = self.shared.clock.now();
        self.drop_deposed().await;
        for owned in self.owned.values_mut() {
            owned.read_ledger_progress();
            if ticked {
                owned.tick(now);
            }
            // The lease is checked against a current clock reading, so that no task is
            // started after it has expired.
            owned.decide(self.shared.clock.now());
            owned.send_actions().await;
        }
    }

    async fn handle(&mut self, msg: DecideMsg) {
        let now = self.shared.clock.now();
        match msg {
            DecideMsg::Call { call, reply } => self.call(now, *call, reply),
            DecideMsg::TakeOver(taken) => self.take_over(now, *taken).await,
            DecideMsg::Release { partition, done } => self.release(partition, done).await,
            DecideMsg::WorkerClaimed { partition, worker, session, report } => {
                if let Some(owned) = self.owned.get_mut(&partition) {
                    owned.worker_claimed(now, worker, session, &report);
                }
            }
            DecideMsg::WorkerReport { partition, worker, session, report } => {
                if let Some(owned) = self.owned.get_mut(&partition) {
                    owned.worker_reported(now, &worker, session, &report);
                }
            }
            DecideMsg::SessionEnded { partition, worker, session } => {
                if let Some(owned) = self.owned.get_mut(&partition) {
                    owned.session_ended(now, &worker, session);
                }
            }
            DecideMsg::InstancesChanged => self.apply_instance_list(now).await,
            DecideMsg::AccountsChanged => {
                self.owned.values_mut().for_each(OwnedPartition::apply_accounts)
            }
            DecideMsg::DumpState(reply) => {
                let dump = self.owned.values().map(OwnedPartition::dump).collect();
                // The caller may have disconnected.
                let _ = reply.send(dump);
            }
        }
    }

    fn call(&mut self, now: Millis, call: Call, reply: ReplySender) {
        match self.owned.get_mut(&PartitionId(call.partition)) {
            Some(owned) => calls::execute_call(owned, now, call, reply),
            None => refuse(reply, ErrorKind::Moved, "this process does not own the partition"),
        }
    }

    async fn take_over(&mut self, now: Millis, taken: TakenPartition) {
        let partition = taken.partition;
        let owned = OwnedPartition::new(&self.shared, taken, now);
        self.owned.insert(partition, owned);
        self.apply_instance_list(now).await;
    }

    /// Applies the instance list, and requests sessions with the workers on it.
    async fn apply_instance_list(&mut self, now: Millis) {
        let list = self.shared.instances.load_full();
        for (partition, owned) in &mut self.owned {
            owned.apply_instance_list(now, &list);
            let msg = WorkerMsg::SetWorkers {
                partition: *partition,
                epoch: owned.engine.epoch(),
                workers: owned.wanted_sessions(&list),
            };
            self.shared.workers.send(msg).await;
        }
    }

    /// Stops scheduling for a partition, and replies once its ledger is durable.
    async fn release(&mut self, partition: PartitionId, done: oneshot::Sender<()>) {
        if let Some(mut owned) = self.owned.remove(&partition) {
            owned.send_actions().await;
            owned.ledger.ring.send(LedgerItem::Flush(done)).await;
            self.stop_partition(partition, owned).await;
        }
    }

    /// Drops partitions whose lease has ended or that another process has taken over.
    async fn drop_deposed(&mut self) {
        let is_over = |o: &OwnedPartition| o.lease.has_ended() || o.ledger.is_deposed();
        let ended: Vec<PartitionId> =
            self.owned.iter().filter(|(_, o)| is_over(o)).map(|(p, _)| *p).collect();
        for partition in ended {
            if let Some(owned) = self.owned.remove(&partition) {
                owned.lease.end();
                self.stop_partition(partition, owned).await;
            }
        }
    }

    async fn stop_partition(&mut self, partition: PartitionId, mut owned: OwnedPartition) {
        owned.waiting_calls.refuse_all_moved();
        self.shared.workers.send(WorkerMsg::EndSessions { partition }).await;
    }
}
