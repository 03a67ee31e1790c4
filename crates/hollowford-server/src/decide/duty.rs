//! The loop of the deciding thread.

use super::owned::Owned;
use super::waiters::refuse;
use super::{DecideMsg, ReplyTo, Take, calls};
use crate::ledger::LedgerItem;
use crate::shared::Shared;
use crate::workers::WorkerMsg;
use hollowford_core::{ErrorKind, Millis, PartitionId};
use hollowford_protocol::peer::Call;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How often leases, give-ups and retries are looked at.
const TICK: Duration = Duration::from_millis(50);
/// Messages taken before decisions are made and sent out.
const BURST: usize = 512;

/// The deciding thread's state.
struct Duty {
    shared: Arc<Shared>,
    owned: BTreeMap<PartitionId, Owned>,
}

/// Runs the deciding duty.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut duty = Duty { shared: shared.clone(), owned: BTreeMap::new() };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let now = shared.clock.now();
        let busy = duty.owned.values().any(|o| o.engine.needs_decide(now));
        let ticked = tokio::select! {
            biased;
            _ = ticks.tick() => true,
            () = shared.decide.ready() => false,
            () = std::future::ready(()), if busy => false,
        };
        duty.round(ticked).await;
    }
}

impl Duty {
    async fn round(&mut self, ticked: bool) {
        for _ in 0..BURST {
            match self.shared.decide.pop() {
                Some(msg) => self.handle(msg).await,
                None => break,
            }
        }
        let now = self.shared.clock.now();
        self.drop_deposed().await;
        for owned in self.owned.values_mut() {
            owned.read_ledger();
            if ticked {
                owned.tick(now);
            }
            // The lease is read right before the starts are made.
            owned.decide(self.shared.clock.now());
            owned.flush().await;
        }
    }

    async fn handle(&mut self, msg: DecideMsg) {
        let now = self.shared.clock.now();
        match msg {
            DecideMsg::Call { call, reply } => self.call(now, *call, reply),
            DecideMsg::Take(take) => self.take(now, *take).await,
            DecideMsg::Release { partition, done } => self.release(partition, done).await,
            DecideMsg::Claimed { partition, worker, session, report } => {
                if let Some(owned) = self.owned.get_mut(&partition) {
                    owned.claimed(now, worker, session, &report);
                }
            }
            DecideMsg::Report { partition, worker, session, report } => {
                if let Some(owned) = self.owned.get_mut(&partition) {
                    owned.report(now, &worker, session, &report);
                }
            }
            DecideMsg::Lost { partition, worker, session } => {
                if let Some(owned) = self.owned.get_mut(&partition) {
                    owned.lost(now, &worker, session);
                }
            }
            DecideMsg::Instances => self.instances(now).await,
            DecideMsg::Accounts => self.owned.values_mut().for_each(Owned::take_accounts),
            DecideMsg::Dump(reply) => {
                let dump = self.owned.values().map(Owned::dump).collect();
                // The caller may have gone.
                let _ = reply.send(dump);
            }
        }
    }

    fn call(&mut self, now: Millis, call: Call, reply: ReplyTo) {
        match self.owned.get_mut(&PartitionId(call.partition)) {
            Some(owned) => calls::carry_out(owned, now, call, reply),
            None => refuse(reply, ErrorKind::Moved, "this process does not own the partition"),
        }
    }

    async fn take(&mut self, now: Millis, take: Take) {
        let partition = take.partition;
        let owned = Owned::new(&self.shared, take, now);
        self.owned.insert(partition, owned);
        self.instances(now).await;
    }

    /// Takes in the instance list, and holds sessions with the workers on it.
    async fn instances(&mut self, now: Millis) {
        let list = self.shared.instances.load_full();
        for (partition, owned) in &mut self.owned {
            owned.take_instances(now, &list);
            let msg = WorkerMsg::Hold {
                partition: *partition,
                epoch: owned.engine.epoch(),
                workers: owned.sessions_wanted(&list),
            };
            self.shared.workers.send(msg).await;
        }
    }

    /// Stops to decide for a partition, and replies once its ledger is written.
    async fn release(&mut self, partition: PartitionId, done: oneshot::Sender<()>) {
        if let Some(mut owned) = self.owned.remove(&partition) {
            owned.flush().await;
            owned.ledger.ring.send(LedgerItem::Flush(done)).await;
            self.let_go(partition, owned).await;
        }
    }

    /// Lets go of partitions that another process has taken over.
    async fn drop_deposed(&mut self) {
        let over = |o: &Owned| o.lease.has_ended() || o.ledger.deposed();
        let gone: Vec<PartitionId> =
            self.owned.iter().filter(|(_, o)| over(o)).map(|(p, _)| *p).collect();
        for partition in gone {
            if let Some(owned) = self.owned.remove(&partition) {
                owned.lease.end();
                self.let_go(partition, owned).await;
            }
        }
    }

    async fn let_go(&mut self, partition: PartitionId, mut owned: Owned) {
        owned.waiters.move_all();
        self.shared.workers.send(WorkerMsg::Drop { partition }).await;
    }
}
