//! A member that loses its link to the owner.
#![allow(clippy::expect_used)]

use crate::link::{self, FrameReader, Outbox};
use crate::member::follow;
use crate::partition::PartitionContext;
use crate::peers;
use crate::shared_tests::shared;
use crate::takeover::LeaveReason;
use crate::wire::{Body, HandOver, Heartbeat, Hello, OwnerInfo};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;

const EPOCH: u64 = 3;
/// Time limit of each wait, far above what it takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn cx() -> PartitionContext {
    let shared = Arc::new(shared());
    shared.set_partitions(1);
    let partition = shared.partitions()[0].clone();
    PartitionContext { shared, partition }
}

/// Accepts a link as the owner and reads the member's hello.
async fn accept(listener: &TcpListener) -> (FrameReader, Outbox) {
    let accepted = timeout(WAIT_TIMEOUT, listener.accept()).await;
    let (stream, _) = accepted.expect("the member opens a link").expect("a link");
    let (mut reader, outbox) = link::split(stream).expect("socket options");
    let hello = link::recv(&mut reader).await;
    assert!(matches!(hello, Some(Body::Hello(_))), "{hello:?}");
    (reader, outbox)
}

fn heartbeat(members: &[&str]) -> Body {
    let members = members.iter().map(|&m| m.to_owned()).collect();
    Body::Heartbeat(Heartbeat { epoch: EPOCH, members, ..Heartbeat::default() })
}

#[tokio::test]
async fn a_member_whose_link_is_cut_reconnects_before_it_leaves_the_owner() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a local address").to_string();
    let cx = cx();
    let info = OwnerInfo { epoch: EPOCH, address, boot: 9, ..OwnerInfo::default() };
    let member = tokio::spawn(async move {
        let mut members = Vec::new();
        (follow(&cx, &info, &mut members).await, members)
    });
    for _ in 0..3 {
        let (mut reader, outbox) = accept(&listener).await;
        outbox.send(heartbeat(&["a", "b"]));
        // The member sends heartbeats once it has joined.
        let heartbeat = link::recv(&mut reader).await;
        assert!(matches!(heartbeat, Some(Body::MemberBeat(_))), "{heartbeat:?}");
    }
    // The owner closes the last link without sending a heartbeat.
    drop(accept(&listener).await);
    let (reason, members) = member.await.expect("the member task");
    assert_eq!(reason, LeaveReason::Gone);
    assert_eq!(members, ["a", "b"], "the takeover order is kept");
}

/// A stopping process keeps answering for a while after it has released the partition. A member
/// that then connects must not wait for it to become the owner.
#[tokio::test]
async fn a_process_that_has_released_the_partition_does_not_claim_to_become_its_owner() {
    let cx = cx();
    let info = cx.owner_info(EPOCH);
    cx.partition.record_owner(&info);
    cx.partition.release(EPOCH);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a local address");
    tokio::spawn(peers::accept(cx.shared.clone(), listener));
    let (mut reader, outbox) = link::connect(address).await.expect("a link");
    outbox.send(Body::Hello(Hello { owner: Some(info.clone()), ..Hello::default() }));
    let reply = timeout(WAIT_TIMEOUT, link::recv(&mut reader)).await.expect("an answer");
    assert_eq!(reply, Some(Body::Owner(info)));
}

/// A link may go silent without a reset while new links work. The owner is alive then and must not
/// be replaced.
#[tokio::test]
async fn an_owner_that_answers_a_probe_over_a_new_link_is_not_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a local address").to_string();
    let cx = cx();
    let info = OwnerInfo { epoch: EPOCH, address, boot: 9, ..OwnerInfo::default() };
    let followed = info.clone();
    let member = tokio::spawn(async move { follow(&cx, &followed, &mut Vec::new()).await });
    let (_silent, outbox) = accept(&listener).await;
    outbox.send(heartbeat(&["a"]));
    let (stream, _) =
        timeout(WAIT_TIMEOUT, listener.accept()).await.expect("the member probes").expect("a link");
    let (mut reader, probe_outbox) = link::split(stream).expect("socket options");
    assert!(matches!(link::recv(&mut reader).await, Some(Body::WhoOwns(_))));
    probe_outbox.send(Body::Owner(info));
    // The member opens another link to the same owner.
    let (_reader, outbox) = accept(&listener).await;
    outbox.send(Body::HandOver(HandOver { rev: 7 }));
    assert_eq!(member.await.expect("the member task"), LeaveReason::HandedOver { rev: 7 });
}

/// The owner is frozen or has lost power: its address accepts links and sends nothing.
#[tokio::test]
async fn an_owner_that_does_not_answer_the_probe_is_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a local address").to_string();
    let cx = cx();
    let info = OwnerInfo { epoch: EPOCH, address, boot: 9, ..OwnerInfo::default() };
    let member = tokio::spawn(async move { follow(&cx, &info, &mut Vec::new()).await });
    let (_silent, outbox) = accept(&listener).await;
    outbox.send(heartbeat(&["a"]));
    let reason = timeout(WAIT_TIMEOUT, member)
        .await
        .expect("the owner is declared failed")
        .expect("the member task");
    assert_eq!(reason, LeaveReason::Silent);
}
