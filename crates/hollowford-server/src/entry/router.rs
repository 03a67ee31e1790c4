//! Brings a call to the owner of its partition, and asks again when that changes.
//!
//! This is the one layer that repeats calls. Every operation is safe to repeat: a
//! submission is keyed by the request id, and the rest changes nothing twice.

use crate::decide::DecideMsg;
use crate::peers::PeerMsg;
use crate::shared::Shared;
use hollowford_core::{AccountId, Error, ErrorKind, Millis, PartitionId};
use hollowford_protocol::peer::{Call, Op, Said};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Time after which a call that has met no owner is given up.
const OWNER_TIMEOUT: Millis = Millis(6_000);
/// First and longest wait before a call is sent again.
const INITIAL_RETRY_DELAY: Millis = Millis(5);
const MAX_RETRY_DELAY: Millis = Millis(100);
/// Longest wait for an owner's reply, beyond the owner's own longest wait.
const REPLY_TIMEOUT: Millis = Millis(20_000);

/// What came of one try.
enum AttemptOutcome {
    Answered(Box<Result<Said, Error>>),
    /// It surely had no effect.
    NotSent(&'static str),
    /// It may have had its effect.
    NoAnswer(&'static str),
}

/// Brings a call to its owner.
///
/// # Errors
/// What the owner refuses; `Unavailable` when no owner was met and nothing was
/// sent; `Unknown` when something was sent and no answer came.
pub(super) async fn route(
    shared: &Arc<Shared>,
    partition: PartitionId,
    account: &AccountId,
    op: &Op,
) -> Result<Said, Error> {
    let deadline = shared.clock.now() + OWNER_TIMEOUT;
    let mut delay = INITIAL_RETRY_DELAY;
    let mut may_have_run = false;
    loop {
        let reason = match attempt(shared, partition, account, op.clone()).await {
            AttemptOutcome::Answered(answer) => match *answer {
                Err(e) if e.kind == ErrorKind::Moved => "moved",
                answer => return answer,
            },
            AttemptOutcome::NotSent(reason) => reason,
            AttemptOutcome::NoAnswer(reason) => {
                may_have_run = true;
                reason
            }
        };
        if shared.clock.now() >= deadline {
            return Err(timeout_error(may_have_run));
        }
        shared.metrics.retries.with_label_values(&[reason]).inc();
        tokio::time::sleep(delay.duration()).await;
        delay = Millis((delay.0 * 2).min(MAX_RETRY_DELAY.0));
    }
}

fn timeout_error(may_have_run: bool) -> Error {
    if may_have_run {
        return Error::new(ErrorKind::Unknown, "the owner of the partition did not answer");
    }
    Error::new(ErrorKind::Unavailable, "no owner of the partition was met; nothing was done")
}

async fn attempt(
    shared: &Arc<Shared>,
    partition: PartitionId,
    account: &AccountId,
    op: Op,
) -> AttemptOutcome {
    let Some(owner) = shared.owners.get(partition) else {
        return AttemptOutcome::NotSent("no_owner");
    };
    let call =
        Box::new(Call { partition: partition.0, account: account.to_string(), op: Some(op) });
    if owner.process == shared.settings.process {
        return attempt_locally(shared, call).await;
    }
    let (reply, answer) = oneshot::channel();
    let msg = PeerMsg::Call { process: owner.process, call, reply };
    if shared.peers.push(msg).is_err() {
        shared.metrics.ring_full.with_label_values(&["peers"]).inc();
        let error = Error::new(ErrorKind::QueueFull, "this entry takes no more calls now");
        return AttemptOutcome::Answered(Box::new(Err(error)));
    }
    match tokio::time::timeout(REPLY_TIMEOUT.duration(), answer).await {
        Ok(Ok(reply)) => match reply.said {
            Some(Said::Refused(refused)) => AttemptOutcome::Answered(Box::new(Err(refused.into()))),
            Some(said) => AttemptOutcome::Answered(Box::new(Ok(said))),
            None => AttemptOutcome::NoAnswer("empty"),
        },
        Ok(Err(_)) => AttemptOutcome::NoAnswer("link"),
        Err(_) => AttemptOutcome::NoAnswer("silent"),
    }
}

async fn attempt_locally(shared: &Arc<Shared>, call: Box<Call>) -> AttemptOutcome {
    let (reply, answer) = oneshot::channel();
    if shared.decide.push(DecideMsg::Call { call, reply }).is_err() {
        shared.metrics.ring_full.with_label_values(&["decide"]).inc();
        let error = Error::new(ErrorKind::QueueFull, "the owner takes no more calls now");
        return AttemptOutcome::Answered(Box::new(Err(error)));
    }
    match answer.await {
        Ok(answer) => AttemptOutcome::Answered(Box::new(answer)),
        Err(_) => AttemptOutcome::NoAnswer("dropped"),
    }
}
