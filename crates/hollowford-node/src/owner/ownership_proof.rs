//! Proof that this process still owns its partition, and the callers' requests that wait for it.
//!
//! Another process can take over while this one is paused or cut off, and accept jobs that this
//! one doesn't know. The owner learns that from its next batch, call to a worker or heartbeat of a
//! member, all of which may come after a request that it could answer from memory. So it reads the
//! owner row first in two cases:
//!
//! - It is about to answer that a job doesn't exist. The row has to be read after the request has
//!   arrived.
//! - It has been paused for so long that the members may have replaced it. All requests wait until
//!   the row has been read after the pause.

use super::Owner;
use crate::callers::caller_timeout;
use crate::inbox::{OwnerMsg, Reply};
use crate::owner_row::read_owner;
use crate::relay::MIN_STORE_OUTAGE;
use crate::takeover::MIN_SUSPECT_TIME;
use crate::wire::{Call, OwnerInfo, Said, Verb};
use hollowford_core::Millis;

/// An owner that was not polled for this long may have been replaced.
const MAX_POLL_GAP: Millis = MIN_SUSPECT_TIME;
/// Minimum time between two reads, so that many requests about unknown jobs share them.
const MIN_READ_INTERVAL: Millis = Millis(20);
/// The row is read again if a read is not answered within this time, since answers may be lost.
const READ_RETRY_INTERVAL: Millis = Millis(200);

/// A caller's request, as the owner received it.
#[derive(Debug)]
pub(super) struct ReceivedCall {
    pub call: Call,
    pub reply: Reply,
    pub received_at: Millis,
}

impl ReceivedCall {
    /// Sends the answer.
    pub fn answer(self, said: Said) {
        self.reply.send(self.call.id, said, 0);
    }

    /// Answers a call that was not handled. A job may have been accepted by another process on an
    /// earlier attempt of its caller, so its submission is not refused.
    fn answer_unhandled(self) {
        let said = if self.call.verb() == Verb::Submit { Said::Unsure } else { Said::NotTaken };
        self.answer(said);
    }

    fn deadline(&self) -> Millis {
        self.received_at + caller_timeout(&self.call)
    }
}

/// A call that waits for a proof that was begun at or after `since`.
#[derive(Debug)]
struct HeldCall {
    received: ReceivedCall,
    since: Millis,
}

/// What is proved of the ownership, and the calls that wait for more. All times are engine time.
#[derive(Debug)]
pub(super) struct OwnershipProof {
    polled_at: Millis,
    /// End of the last pause of this process.
    paused_until: Millis,
    /// When the last read that proved the ownership was begun.
    proven_at: Millis,
    last_read_at: Millis,
    next_read_at: Millis,
    held: Vec<HeldCall>,
}

impl OwnershipProof {
    /// Creates the state of an owner that has taken over and read the partition's rows by `now`.
    pub fn new(now: Millis) -> OwnershipProof {
        OwnershipProof {
            polled_at: now,
            paused_until: now,
            proven_at: now,
            last_read_at: Millis(0),
            next_read_at: Millis(0),
            held: Vec::new(),
        }
    }

    /// Records that the owner is running at `now`. Returns the length of the pause if the process
    /// was paused before.
    pub fn record_poll(&mut self, now: Millis) -> Option<Millis> {
        let gap = now.since(self.polled_at);
        self.polled_at = now;
        let paused = gap >= MAX_POLL_GAP;
        if paused {
            self.paused_until = now;
        }
        paused.then_some(gap)
    }

    /// Returns true if the ownership is proved since the last pause of this process.
    pub fn holds_since_pause(&self) -> bool {
        self.proven_at >= self.paused_until
    }

    /// Returns true if the ownership was proved after a call was received.
    pub fn holds_for(&self, received: &ReceivedCall) -> bool {
        self.proven_at >= received.received_at
    }

    /// Holds a call until the ownership is proved since the last pause.
    pub fn hold_since_pause(&mut self, received: ReceivedCall) {
        self.held.push(HeldCall { received, since: self.paused_until });
    }

    /// Holds a call until the ownership is proved by a read begun after its arrival.
    pub fn hold_since_arrival(&mut self, received: ReceivedCall) {
        let since = received.received_at;
        self.held.push(HeldCall { received, since });
    }

    /// Returns true if the owner row has to be read now.
    pub fn begin_read(&mut self, now: Millis) -> bool {
        let due = !self.held.is_empty() && now >= self.next_read_at;
        if due {
            self.last_read_at = now;
            self.next_read_at = now + READ_RETRY_INTERVAL;
        }
        due
    }

    /// Records that a read begun at `started_at` named this owner, and returns the calls that can
    /// be handled now.
    pub fn prove(&mut self, started_at: Millis) -> Vec<ReceivedCall> {
        self.proven_at = self.proven_at.max(started_at);
        self.next_read_at = self.next_read_at.min(self.last_read_at + MIN_READ_INTERVAL);
        let proven_at = self.proven_at;
        let ready = self.held.extract_if(.., |h| h.since <= proven_at);
        ready.map(|h| h.received).collect()
    }

    /// Answers the calls whose time limit has passed, or all of them if the store is unavailable.
    pub fn answer_unproven(&mut self, store_unavailable: bool, now: Millis) {
        let is_over = |h: &mut HeldCall| store_unavailable || h.received.deadline() <= now;
        for h in self.held.extract_if(.., is_over) {
            h.received.answer_unhandled();
        }
    }

    /// Refers the callers to the next owner.
    pub fn answer_not_owner(&mut self) {
        self.held.drain(..).for_each(|h| h.received.answer(Said::NotOwner));
    }
}

impl Owner {
    /// Records that the owner is running at `now`.
    pub(super) fn record_poll(&mut self, now: Millis) {
        if let Some(pause) = self.ownership_proof.record_poll(now) {
            log::warn!("owner.paused epoch={} for_ms={}", self.info.epoch, pause.0);
        }
    }

    /// Reads the owner row if calls wait for a proof of ownership, and answers those that have
    /// waited long enough.
    pub(super) fn prove_ownership(&mut self, now: Millis) {
        // Store calls that were in flight during a pause have failed and say nothing of the store.
        let outage_known = self.ownership_proof.holds_since_pause() && self.is_store_unavailable();
        self.ownership_proof.answer_unproven(outage_known, now);
        let wanted_for_leases = self.lease_renewal.begin_read(now);
        if self.ownership_proof.begin_read(now) || wanted_for_leases {
            let (cx, handle) = (self.cx.clone(), self.handle.clone());
            tokio::spawn(async move {
                let owner = read_owner(&cx).await;
                handle.send(OwnerMsg::OwnerRowRead { started_at: now, owner }).await;
            });
        }
    }

    fn is_store_unavailable(&self) -> bool {
        self.cx.shared.is_store_unavailable(MIN_STORE_OUTAGE)
    }

    /// Handles the calls for which a read of the owner row proves the ownership, and ends this owner
    /// if the row names another one.
    pub(super) fn handle_owner_row(
        &mut self,
        started_at: Millis,
        owner: Option<OwnerInfo>,
        now: Millis,
    ) {
        let outcome = match owner {
            None => {
                let outage_known = self.is_store_unavailable();
                self.ownership_proof.answer_unproven(outage_known, now);
                "failed"
            }
            Some(owner) if owner == self.info => {
                self.lease_renewal.record_store_confirmation(started_at);
                for received in self.ownership_proof.prove(started_at) {
                    self.handle_call(received, now);
                }
                "proven"
            }
            Some(owner) => {
                self.end_as_deposed(&owner);
                "deposed"
            }
        };
        self.cx.shared.metrics.ownership_reads.with_label_values(&[outcome]).inc();
    }
}
