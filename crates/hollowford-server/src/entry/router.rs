//! Sends a call to the owner of its partition, and retries when the owner changes.
//!
//! This is the only layer that retries calls. Every operation is idempotent: a submission is
//! keyed by its request id, and repeating any other operation changes nothing more.

use crate::decide::DecideMsg;
use crate::peers::PeerMsg;
use crate::shared::Shared;
use hollowford_core::{AccountId, Error, ErrorKind, Millis, PartitionId};
use hollowford_protocol::peer::{Call, Op, Said};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Time after which a call that no owner has answered fails.
const OWNER_TIMEOUT: Millis = Millis(6_000);
/// Delay before the first retry of a call. It doubles with each retry.
const INITIAL_RETRY_DELAY: Millis = Millis(5);
/// Maximum delay before a retry of a call.
const MAX_RETRY_DELAY: Millis = Millis(100);
/// Maximum wait for an owner's reply. Longer than `MAX_CALL_WAIT`, for which the owner may hold
/// a call.
const REPLY_TIMEOUT: Millis = Millis(20_000);

/// Outcome of one attempt.
enum AttemptOutcome {
    Answered(Box<Result<Said, Error>>),
    /// The call had no effect. Holds the reason, a label value.
    NotSent(&'static str),
    /// The call may have had an effect. Holds the reason, a label value.
    NoAnswer(&'static str),
}

/// Sends a call to the owner of its partition, with retries.
///
/// # Errors
/// The owner's error; `Unavailable` if no owner was reached and nothing was sent; `Unknown` if
/// the call was sent and no answer arrived.
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
    Error::new(ErrorKind::Unavailable, "no owner of the partition was reached; nothing was done")
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
        let error = Error::new(ErrorKind::QueueFull, "this process accepts no more calls now");
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
        let error = Error::new(ErrorKind::QueueFull, "the owner accepts no more calls now");
        return AttemptOutcome::Answered(Box::new(Err(error)));
    }
    match answer.await {
        Ok(answer) => AttemptOutcome::Answered(Box::new(answer)),
        Err(_) => AttemptOutcome::NoAnswer("dropped"),
    }
}
