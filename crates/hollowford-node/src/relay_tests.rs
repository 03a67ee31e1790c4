//! What callers are told when no owner takes their calls.
#![allow(clippy::expect_used)]

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::partition::Route;
use crate::relay::{Relayed, relay};
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::wire::{Call, Said};
use hollowford_core::Millis;

/// Calls are tried for so long.
const LIMIT: Millis = Millis(150);

/// Makes a call of an owner that says the same to each try.
async fn told(said: Said) -> Relayed {
    let shared = shared();
    shared.set_partitions(1);
    let (owner, mut rx) = OwnerHandle::new();
    shared.partitions()[0].route.send_replace(Route::Local(owner));
    tokio::spawn(async move {
        while let Some(OwnerMsg::Call(call, reply)) = rx.recv().await {
            reply.send(call.id, said, 0);
        }
    });
    call(&shared).await
}

async fn call(shared: &Shared) -> Relayed {
    let deadline = shared.clock.now() + LIMIT;
    relay(shared, &shared.partitions()[0], Call::default(), deadline).await
}

#[tokio::test]
async fn a_call_that_every_process_refused_as_not_its_own_was_not_done() {
    assert_eq!(told(Said::NotOwner).await, Relayed::NotSent);
}

#[tokio::test]
async fn a_call_that_a_deposed_owner_had_taken_may_have_been_done() {
    assert_eq!(told(Said::Deposed).await, Relayed::Unsure);
}

#[tokio::test]
async fn a_call_without_an_owner_was_not_done() {
    let shared = shared();
    shared.set_partitions(1);
    assert_eq!(call(&shared).await, Relayed::NotSent);
}

#[tokio::test]
async fn an_owner_that_answers_is_believed() {
    assert_eq!(told(Said::Done).await, Relayed::Said(Said::Done, 0));
}
