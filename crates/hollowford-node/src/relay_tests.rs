//! Outcomes of calls that no owner takes, or whose owner changes.
#![allow(clippy::expect_used)]

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::partition::Route;
use crate::relay::{RelayOutcome, relay};
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::wire::{Call, CallAnswer, Said};
use hollowford_core::Millis;

/// Deadline of the calls.
const CALL_TIMEOUT: Millis = Millis(150);

/// Makes a call to an owner that gives the same answer to each attempt.
async fn call_with_reply(said: Said) -> RelayOutcome {
    call_with_replies(&[said]).await
}

/// Makes a call to owners that give these answers to its attempts; the last answer is repeated.
async fn call_with_replies(said: &[Said]) -> RelayOutcome {
    let said = said.to_vec();
    let shared = shared();
    shared.set_partitions(1);
    let (owner, mut rx) = OwnerHandle::new();
    shared.partitions()[0].route.send_replace(Route::Local(owner));
    tokio::spawn(async move {
        let mut said = said.into_iter();
        let mut now = Said::NotOwner;
        while let Some(OwnerMsg::Call(call, reply)) = rx.recv().await {
            now = said.next().unwrap_or(now);
            reply.send(call.id, now, 0);
        }
    });
    call(&shared).await
}

async fn call(shared: &Shared) -> RelayOutcome {
    let deadline = shared.clock.now() + CALL_TIMEOUT;
    relay(shared, &shared.partitions()[0], Call::default(), deadline).await
}

#[tokio::test]
async fn a_call_that_no_process_took_as_the_owner_was_not_done() {
    assert_eq!(call_with_reply(Said::NotOwner).await, RelayOutcome::NotSent);
}

#[tokio::test]
async fn a_call_that_a_deposed_owner_had_taken_may_have_been_done() {
    assert_eq!(call_with_reply(Said::Deposed).await, RelayOutcome::Unsure);
}

#[tokio::test]
async fn a_call_without_an_owner_was_not_done() {
    let shared = shared();
    shared.set_partitions(1);
    assert_eq!(call(&shared).await, RelayOutcome::NotSent);
}

#[tokio::test]
async fn the_answer_of_an_owner_is_the_outcome() {
    assert_eq!(call_with_reply(Said::Done).await, RelayOutcome::Said(Said::Done, 0));
}

// A job is being written to the store when its owner is cut off and the caller's key is revoked.
// The next owner knows the newer configuration, and the job. It must not be reported as refused.
#[tokio::test]
async fn a_revoked_key_does_not_reveal_what_an_earlier_owner_did() {
    assert_eq!(call_with_reply(Said::UnknownKey).await, RelayOutcome::Said(Said::UnknownKey, 0));
    assert_eq!(call_with_replies(&[Said::Deposed, Said::UnknownKey]).await, RelayOutcome::Unsure);
    let not_taken = call_with_replies(&[Said::NotOwner, Said::UnknownKey]).await;
    assert_eq!(not_taken, RelayOutcome::Said(Said::UnknownKey, 0));
}

#[tokio::test]
async fn an_owner_that_takes_no_call_has_done_nothing_but_does_not_know_what_an_earlier_one_did() {
    assert_eq!(call_with_reply(Said::NotTaken).await, RelayOutcome::NotSent);
    assert_eq!(call_with_replies(&[Said::Deposed, Said::NotTaken]).await, RelayOutcome::Unsure);
}

#[test]
fn an_answer_that_this_version_does_not_know_is_unsure() {
    let answer = CallAnswer { said: 99, ..CallAnswer::default() };
    assert_eq!(answer.outcome(), Said::Unsure);
}
