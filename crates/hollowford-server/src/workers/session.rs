//! Maintains the session with one worker, and opens a new one when it ends.

use crate::decide::DecideMsg;
use crate::shared::Shared;
use hollowford_core::{Epoch, InstanceId, PartitionId};
use hollowford_platform::{LinkError, Orders, Reports, WorkerClaim, attach};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Maximum wait for the reply to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a report after which a session ends.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Delay before a worker is claimed again. It doubles each time until a claim succeeds.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay before a worker is claimed again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// An open session.
#[derive(Debug)]
pub(super) struct OpenSession {
    pub session: u64,
    pub orders: Orders,
}

/// Holds the open session with a worker, if there is one.
pub(super) type Slot = Arc<Mutex<Option<OpenSession>>>;

/// A worker, and the partition and epoch for which it is claimed.
#[derive(Debug)]
pub(super) struct Target {
    pub partition: PartitionId,
    pub epoch: Epoch,
    pub worker: InstanceId,
    pub addr: String,
}

/// Clears the session's slot and decrements the metric of open sessions when dropped, also when
/// the task is aborted.
struct SessionGuard<'a>(&'a Shared, &'a Slot);

impl Drop for SessionGuard<'_> {
    fn drop(&mut self) {
        *self.1.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.0.metrics.sessions.dec();
    }
}

/// Claims the worker, relays its reports, and repeats this until the task is aborted.
pub(super) async fn keep_session(shared: Arc<Shared>, target: Target, slot: Slot) {
    let owner = shared.settings.process.clone();
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let t = &target;
        let claim =
            WorkerClaim { addr: &t.addr, partition: t.partition, epoch: t.epoch, owner: &owner };
        match attach(claim, CLAIM_TIMEOUT).await {
            Ok((orders, reports, claimed)) => {
                delay = INITIAL_RETRY_DELAY;
                let session = shared.next_id();
                let open = OpenSession { session, orders };
                *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(open);
                shared.metrics.sessions.inc();
                let guard = SessionGuard(&shared, &slot);
                let (partition, worker) = (t.partition, t.worker.clone());
                let report = Box::new(claimed);
                let msg = DecideMsg::WorkerClaimed { partition, worker, session, report };
                shared.decide.send(msg).await;
                relay_reports(&shared, t, session, reports, &slot).await;
                drop(guard);
                let (partition, worker) = (t.partition, t.worker.clone());
                shared.decide.send(DecideMsg::SessionEnded { partition, worker, session }).await;
            }
            // The worker knows a higher epoch. The lease manager of the partition learns of it
            // from the store.
            Err(LinkError::Deposed) => delay = MAX_RETRY_DELAY,
            Err(LinkError::Unreachable(_)) => {}
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Relays a session's reports to the `decide` thread until the session ends.
async fn relay_reports(
    shared: &Shared,
    t: &Target,
    session: u64,
    mut reports: Reports,
    slot: &Slot,
) {
    loop {
        let next = tokio::time::timeout(SILENCE_TIMEOUT, reports.message()).await;
        let Ok(Ok(Some(report))) = next else {
            return;
        };
        let (partition, worker) = (t.partition, t.worker.clone());
        let report = Box::new(report);
        shared.decide.send(DecideMsg::WorkerReport { partition, worker, session, report }).await;
        let is_open = slot
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_ref()
            .is_some_and(|open| open.session == session);
        if !is_open {
            return;
        }
    }
}
