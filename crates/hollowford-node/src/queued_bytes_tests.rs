//! Bounds on the jobs that wait for an owner or for a link to it.
#![allow(clippy::expect_used)]

use crate::inbox::{MAX_QUEUED_JOB_BYTES, OwnerHandle, OwnerMsg};
use crate::link::Outbox;
use crate::wire::{Body, Call, MemberBeat};

const SPEC_BYTES: usize = 60_000;

fn call() -> Call {
    Call { spec: vec![0; SPEC_BYTES], ..Call::default() }
}

// Guards against a link that keeps as many large jobs as frames for an owner that reads nothing.
#[tokio::test]
async fn jobs_for_a_silent_owner_are_bounded_and_heartbeats_still_fit() {
    let (outbox, rx) = Outbox::for_test();
    let sent = (0..1_000).filter(|_| outbox.send(Body::Call(call()))).count();
    assert_eq!(sent, (4 << 20) / SPEC_BYTES);
    assert!(outbox.send(Body::MemberBeat(MemberBeat::default())));
    drop(rx);
}

// Guards against an inbox that keeps as many large jobs as messages while its owner waits.
#[tokio::test]
async fn jobs_in_an_inbox_are_bounded_until_the_owner_takes_them() {
    let (handle, mut rx) = OwnerHandle::new();
    let sent = (0..1_000).filter(|_| handle.call(&call()).is_some()).count();
    assert_eq!(sent, MAX_QUEUED_JOB_BYTES / SPEC_BYTES);
    let Some(OwnerMsg::Call(taken, _)) = rx.recv().await else { panic!("no call") };
    handle.record_taken(&taken);
    assert!(handle.call(&call()).is_some());
}
