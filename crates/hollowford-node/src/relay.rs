//! Relays callers' requests to the owner, in this process or over a link.

use crate::link::Outbox;
use crate::partition::{Partition, Route};
use crate::shared::Shared;
use crate::wire::{Body, Call, CallAnswer, Said};
use hollowford_core::Millis;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

/// Pause before a call is sent again to an owner that can't serve it yet.
const RETRY_PAUSE: Millis = Millis(30);
/// A call that no owner has taken within this time is refused as not done. Takeovers and hand-overs
/// usually take less.
const UNSENT_TIMEOUT: Millis = Millis(1_200);
/// Without an owner, and with a store that has not answered for this long, no process can take
/// over, so calls are refused at once.
pub const MIN_STORE_OUTAGE: Millis = Millis(900);

/// Outcome of relaying a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The owner's answer and the requested value.
    Said(Said, u64),
    /// No owner could be reached; nothing was done.
    NotSent,
    /// An owner received the call, but its outcome is unknown.
    Unsure,
}

type PendingCalls = Arc<Mutex<HashMap<u64, oneshot::Sender<CallAnswer>>>>;

/// The owner at the other end of a link.
#[derive(Clone, Debug)]
pub struct RemoteOwner {
    outbox: Outbox,
    pending: PendingCalls,
    next_id: Arc<AtomicU64>,
}

impl RemoteOwner {
    /// Creates a client of the owner that `outbox` sends to.
    pub fn new(outbox: Outbox) -> RemoteOwner {
        RemoteOwner { outbox, pending: Arc::default(), next_id: Arc::default() }
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<CallAnswer>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a call. The receiver fails if the link ends before the answer arrives.
    fn call(&self, call: &Call) -> Option<oneshot::Receiver<CallAnswer>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.pending().insert(id, tx);
        let sent = self.outbox.send(Body::Call(Call { id, ..call.clone() }));
        if !sent {
            self.pending().remove(&id);
        }
        sent.then_some(rx)
    }

    /// Completes the pending call that an answer belongs to.
    pub fn complete(&self, answer: CallAnswer) {
        if let Some(tx) = self.pending().remove(&answer.id) {
            // The caller may have given up.
            let _ = tx.send(answer);
        }
    }

    /// Fails all pending calls because the link has ended.
    pub fn fail_all(&self) {
        self.pending().clear();
    }
}

/// Sends a call to the owner, and again to the next one where that is needed, until `deadline`.
/// Every call is safe to send again, since the job's id makes a repeated submission the same job.
pub async fn relay(
    shared: &Shared,
    partition: &Partition,
    mut call: Call,
    deadline: Millis,
) -> RelayOutcome {
    let mut route = partition.route.subscribe();
    // An early refusal lets the caller retry while the result is still useful to it.
    let unsent_until = deadline.min(shared.clock.now() + UNSENT_TIMEOUT);
    let mut sent = false;
    loop {
        let until = if sent { deadline } else { unsent_until };
        let left = until.since(shared.clock.now());
        if left == Millis(0) {
            return if sent { RelayOutcome::Unsure } else { RelayOutcome::NotSent };
        }
        call.limit_ms = deadline.since(shared.clock.now()).0;
        let Some(rx) = send(&route.borrow_and_update(), &call) else {
            if !sent
                && shared.is_store_unavailable(MIN_STORE_OUTAGE)
                && partition.owner_contact_age(shared.clock.now()) >= MIN_STORE_OUTAGE
            {
                return RelayOutcome::NotSent;
            }
            wait_for_route_change(&mut route, left.min(MIN_STORE_OUTAGE)).await;
            continue;
        };
        let limit = deadline.since(shared.clock.now());
        let Ok(answer) = timeout(limit.duration(), rx).await else { return RelayOutcome::Unsure };
        let Ok(answer) = answer else {
            // The link ended before the answer arrived.
            sent = true;
            wait_for_route_change(&mut route, left.min(RETRY_PAUSE)).await;
            continue;
        };
        match answer.outcome() {
            Said::NotOwner => wait_for_route_change(&mut route, left.min(RETRY_PAUSE)).await,
            Said::Deposed => {
                sent = true;
                wait_for_route_change(&mut route, left.min(RETRY_PAUSE)).await;
            }
            Said::NoQueue => sleep(RETRY_PAUSE.duration()).await,
            // These answers don't reveal what an earlier owner did that had received the call.
            Said::UnknownKey | Said::NotTaken if sent => return RelayOutcome::Unsure,
            Said::NotTaken => return RelayOutcome::NotSent,
            said => return RelayOutcome::Said(said, answer.value),
        }
        shared.metrics.relayed_again.inc();
    }
}

/// Sends a call on a route; `None` if the route leads to no owner that takes calls.
fn send(route: &Route, call: &Call) -> Option<oneshot::Receiver<CallAnswer>> {
    match route {
        Route::None => None,
        Route::Local(owner) => owner.call(call),
        Route::Remote(owner) => owner.call(call),
    }
}

/// Waits up to `limit` for the route to change.
async fn wait_for_route_change(route: &mut watch::Receiver<Route>, limit: Millis) {
    // A timeout is no error: the route is read again either way.
    let _ = timeout(limit.duration(), route.changed()).await;
}
