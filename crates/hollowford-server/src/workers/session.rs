//! Holds one session with one worker after the other.

use crate::decide::DecideMsg;
use crate::shared::Shared;
use hollowford_core::{Epoch, InstanceId, PartitionId};
use hollowford_platform::{ClaimOf, LinkError, Orders, Reports, attach};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Longest wait for the reply to a claim, and longest silence of a worker.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// First and longest wait before a worker is claimed again.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The session that stands.
#[derive(Debug)]
pub(super) struct OpenSession {
    pub session: u64,
    pub orders: Orders,
}

/// Where the session that stands is found.
pub(super) type Slot = Arc<Mutex<Option<OpenSession>>>;

/// The worker that a session is held with.
#[derive(Debug)]
pub(super) struct Target {
    pub partition: PartitionId,
    pub epoch: Epoch,
    pub worker: InstanceId,
    pub addr: String,
}

/// Takes the session out of its slot and off the gauge, also when the task is aborted.
struct SessionGuard<'a>(&'a Shared, &'a Slot);

impl Drop for SessionGuard<'_> {
    fn drop(&mut self) {
        *self.1.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.0.metrics.sessions.dec();
    }
}

/// Claims the worker again and again, until the task is aborted.
pub(super) async fn keep_session(shared: Arc<Shared>, target: Target, slot: Slot) {
    let owner = shared.settings.process.clone();
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let t = &target;
        let claim =
            ClaimOf { addr: &t.addr, partition: t.partition, epoch: t.epoch, owner: &owner };
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
            // A higher epoch: the keeper of the partition finds out by the table.
            Err(LinkError::Deposed) => delay = MAX_RETRY_DELAY,
            Err(LinkError::Unreachable(_)) => {}
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Relays a session's reports, until it ends or its orders can't be sent.
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
