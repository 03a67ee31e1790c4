//! What callers are told when no owner takes their calls.
#![allow(clippy::expect_used)]

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::partition::Route;
use crate::relay::{RelayOutcome, relay};
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::wire::{Call, CallAnswer, Said};
use hollowford_core::Millis;

/// Calls are tried for so long.
const CALL_TIMEOUT: Millis = Millis(150);

/// Makes a call of an owner that says the same to each try.
async fn call_with_reply(said: Said) -> RelayOutcome {
    call_with_replies(&[said]).await
}

/// Makes a call of owners that say these things to its tries, the last one to all further ones.
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
async fn a_call_that_every_process_refused_as_not_its_own_was_not_done() {
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
async fn an_owner_that_answers_is_believed() {
    assert_eq!(call_with_reply(Said::Done).await, RelayOutcome::Said(Said::Done, 0));
}

// The pattern: a job is on its way to the store as its owner is cut off and its key is taken away; the
// next owner knows the newer configuration, and the job (own day keys-owner-cut, seed 519922496590).
#[tokio::test]
async fn a_key_that_was_taken_away_meanwhile_says_nothing_of_what_an_earlier_owner_did() {
    assert_eq!(call_with_reply(Said::UnknownKey).await, RelayOutcome::Said(Said::UnknownKey, 0));
    assert_eq!(call_with_replies(&[Said::Deposed, Said::UnknownKey]).await, RelayOutcome::Unsure);
    let not_taken = call_with_replies(&[Said::NotOwner, Said::UnknownKey]).await;
    assert_eq!(not_taken, RelayOutcome::Said(Said::UnknownKey, 0));
}

#[tokio::test]
async fn an_owner_that_takes_no_call_has_done_nothing_and_knows_of_no_earlier_one() {
    assert_eq!(call_with_reply(Said::NotTaken).await, RelayOutcome::NotSent);
    assert_eq!(call_with_replies(&[Said::Deposed, Said::NotTaken]).await, RelayOutcome::Unsure);
}

#[test]
fn what_a_later_version_says_and_this_one_does_not_know_may_have_been_done() {
    let answer = CallAnswer { said: 99, ..CallAnswer::default() };
    assert_eq!(answer.outcome(), Said::Unsure);
}
