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
const OWNER_WAIT: Millis = Millis(6_000);
/// First and longest wait before a call is sent again.
const RETRY_FIRST: Millis = Millis(5);
const RETRY_MAX: Millis = Millis(100);
/// Longest wait for an owner's reply, beyond the owner's own longest wait.
const REPLY_WAIT: Millis = Millis(20_000);

/// What came of one try.
enum Tried {
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
    let give_up_at = shared.clock.now() + OWNER_WAIT;
    let mut wait = RETRY_FIRST;
    let mut maybe_done = false;
    loop {
        let why = match try_once(shared, partition, account, op.clone()).await {
            Tried::Answered(answer) => match *answer {
                Err(e) if e.kind == ErrorKind::Moved => "moved",
                answer => return answer,
            },
            Tried::NotSent(why) => why,
            Tried::NoAnswer(why) => {
                maybe_done = true;
                why
            }
        };
        if shared.clock.now() >= give_up_at {
            return Err(given_up(maybe_done));
        }
        shared.metrics.retries.with_label_values(&[why]).inc();
        tokio::time::sleep(wait.duration()).await;
        wait = Millis((wait.0 * 2).min(RETRY_MAX.0));
    }
}

fn given_up(maybe_done: bool) -> Error {
    if maybe_done {
        return Error::new(ErrorKind::Unknown, "the owner of the partition did not answer");
    }
    Error::new(ErrorKind::Unavailable, "no owner of the partition was met; nothing was done")
}

async fn try_once(
    shared: &Arc<Shared>,
    partition: PartitionId,
    account: &AccountId,
    op: Op,
) -> Tried {
    let Some(owner) = shared.owners.get(partition) else {
        return Tried::NotSent("no_owner");
    };
    let call =
        Box::new(Call { partition: partition.0, account: account.to_string(), op: Some(op) });
    if owner.process == shared.settings.process {
        return try_here(shared, call).await;
    }
    let (reply, answer) = oneshot::channel();
    let msg = PeerMsg::Call { process: owner.process, call, reply };
    if shared.peers.push(msg).is_err() {
        shared.metrics.ring_full.with_label_values(&["peers"]).inc();
        let full = Error::new(ErrorKind::QueueFull, "this entry takes no more calls now");
        return Tried::Answered(Box::new(Err(full)));
    }
    match tokio::time::timeout(REPLY_WAIT.duration(), answer).await {
        Ok(Ok(reply)) => match reply.said {
            Some(Said::Refused(refused)) => Tried::Answered(Box::new(Err(refused.into()))),
            Some(said) => Tried::Answered(Box::new(Ok(said))),
            None => Tried::NoAnswer("empty"),
        },
        Ok(Err(_)) => Tried::NoAnswer("link"),
        Err(_) => Tried::NoAnswer("silent"),
    }
}

async fn try_here(shared: &Arc<Shared>, call: Box<Call>) -> Tried {
    let (reply, answer) = oneshot::channel();
    if shared.decide.push(DecideMsg::Call { call, reply }).is_err() {
        shared.metrics.ring_full.with_label_values(&["decide"]).inc();
        let full = Error::new(ErrorKind::QueueFull, "the owner takes no more calls now");
        return Tried::Answered(Box::new(Err(full)));
    }
    match answer.await {
        Ok(answer) => Tried::Answered(Box::new(answer)),
        Err(_) => Tried::NoAnswer("dropped"),
    }
}
