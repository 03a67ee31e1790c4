//! Holds one session with one worker after the other.

use crate::decide::DecideMsg;
use crate::shared::Shared;
use hollowford_core::{Epoch, InstanceId, PartitionId};
use hollowford_platform::{LinkError, Orders, Reports, WorkerClaim, attach};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Longest wait for the reply to a claim, and longest silence of a worker.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);
const SILENCE: Duration = Duration::from_millis(3_000);
/// First and longest wait before a worker is claimed again.
const RETRY_FIRST: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_millis(1_000);

/// The session that stands.
#[derive(Debug)]
pub(super) struct Open {
    pub session: u64,
    pub orders: Orders,
}

/// Where the session that stands is found.
pub(super) type Slot = Arc<Mutex<Option<Open>>>;

/// The worker that a session is held with.
#[derive(Debug)]
pub(super) struct Target {
    pub partition: PartitionId,
    pub epoch: Epoch,
    pub worker: InstanceId,
    pub addr: String,
}

/// Takes the session out of its slot and off the gauge, also when the task is aborted.
struct Gauge<'a>(&'a Shared, &'a Slot);

impl Drop for Gauge<'_> {
    fn drop(&mut self) {
        *self.1.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.0.metrics.sessions.dec();
    }
}

/// Claims the worker again and again, until the task is aborted.
pub(super) async fn hold(shared: Arc<Shared>, target: Target, slot: Slot) {
    let owner = shared.settings.process.clone();
    let mut wait = RETRY_FIRST;
    loop {
        let t = &target;
        let claim =
            WorkerClaim { addr: &t.addr, partition: t.partition, epoch: t.epoch, owner: &owner };
        match attach(claim, CLAIM_TIMEOUT).await {
            Ok((orders, reports, claimed)) => {
                wait = RETRY_FIRST;
                let session = shared.next_id();
                let open = Open { session, orders };
                *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(open);
                shared.metrics.sessions.inc();
                let gauge = Gauge(&shared, &slot);
                let (partition, worker) = (t.partition, t.worker.clone());
                let report = Box::new(claimed);
                let msg = DecideMsg::Claimed { partition, worker, session, report };
                shared.decide.send(msg).await;
                relay(&shared, t, session, reports, &slot).await;
                drop(gauge);
                let (partition, worker) = (t.partition, t.worker.clone());
                shared.decide.send(DecideMsg::Lost { partition, worker, session }).await;
            }
            // A higher epoch: the keeper of the partition finds out by the table.
            Err(LinkError::Deposed) => wait = RETRY_MAX,
            Err(LinkError::Unreachable(_)) => {}
        }
        tokio::time::sleep(wait).await;
        wait = (wait * 2).min(RETRY_MAX);
    }
}

/// Relays a session's reports, until it ends or its orders can't be sent.
async fn relay(shared: &Shared, t: &Target, session: u64, mut reports: Reports, slot: &Slot) {
    loop {
        let next = tokio::time::timeout(SILENCE, reports.message()).await;
        let Ok(Ok(Some(report))) = next else {
            return;
        };
        let (partition, worker) = (t.partition, t.worker.clone());
        let report = Box::new(report);
        shared.decide.send(DecideMsg::Report { partition, worker, session, report }).await;
        let stands = slot
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_ref()
            .is_some_and(|open| open.session == session);
        if !stands {
            return;
        }
    }
}
