//! Calls from the entry to the owner, wherever it is.

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
/// A call that no owner has taken for so long is refused as not done. A takeover or a hand-over
/// is mostly faster.
const UNSENT_TIMEOUT: Millis = Millis(1_200);
/// Without an owner, and with a store that has not answered for so long, nobody can take over
/// now: the call is refused at once.
const MIN_STORE_OUTAGE: Millis = Millis(900);

/// What came of relaying a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The owner's answer, with the value that was asked for.
    Said(Said, u64),
    /// No owner could be reached: nothing was done.
    NotSent,
    /// An owner got the call, and it is not known what it did.
    Unsure,
}

type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<CallAnswer>>>>;

/// The owner at the other end of a link.
#[derive(Clone, Debug)]
pub struct RemoteOwner {
    outbox: Outbox,
    pending: Pending,
    next_id: Arc<AtomicU64>,
}

impl RemoteOwner {
    /// Makes the owner's end of a link.
    pub fn new(outbox: Outbox) -> RemoteOwner {
        RemoteOwner { outbox, pending: Arc::default(), next_id: Arc::default() }
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<CallAnswer>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a call; the receiver fails when the link ends before the answer.
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

    /// Hands an answer to the call that waits for it.
    pub fn complete(&self, answer: CallAnswer) {
        if let Some(tx) = self.pending().remove(&answer.id) {
            // The caller may have given up.
            let _ = tx.send(answer);
        }
    }

    /// Fails all calls that wait, since the link has ended.
    pub fn fail_all(&self) {
        self.pending().clear();
    }
}

/// Sends a call to the owner, and again to the next one while that is safe, until `deadline`.
/// Every call is safe to send again: a job's id makes it one job.
pub async fn relay(
    shared: &Shared,
    partition: &Partition,
    mut call: Call,
    deadline: Millis,
) -> RelayOutcome {
    let mut route = partition.route.subscribe();
    // A refusal that comes early lets the caller come back while its work is still wanted.
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
                && shared.store_away(MIN_STORE_OUTAGE)
                && partition.owner_contact_age(shared.clock.now()) >= MIN_STORE_OUTAGE
            {
                return RelayOutcome::NotSent;
            }
            wait_for_route_change(&mut route, left.min(MIN_STORE_OUTAGE)).await;
            continue;
        };
        let until_deadline = deadline.since(shared.clock.now());
        let Ok(answer) = timeout(until_deadline.duration(), rx).await else {
            return RelayOutcome::Unsure;
        };
        let Ok(answer) = answer else {
            // The link has ended before the answer.
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
            // Neither says what an earlier owner, which had taken the call, has done.
            Said::UnknownKey | Said::NotTaken if sent => return RelayOutcome::Unsure,
            Said::NotTaken => return RelayOutcome::NotSent,
            said => return RelayOutcome::Said(said, answer.value),
        }
        shared.metrics.relayed_again.inc();
    }
}

/// Sends a call on a route; none when it leads to no owner that takes calls.
fn send(route: &Route, call: &Call) -> Option<oneshot::Receiver<CallAnswer>> {
    match route {
        Route::None => None,
        Route::Local(owner) => owner.call(call),
        Route::Remote(owner) => owner.call(call),
    }
}

/// Waits for the next owner, for `limit` at most.
async fn wait_for_route_change(route: &mut watch::Receiver<Route>, limit: Millis) {
    // Both ways of waking are good: the route is read again either way.
    let _ = timeout(limit.duration(), route.changed()).await;
}
