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
/// Longest time for anything that the test waits for. Far above what it takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn cx() -> PartitionContext {
    let shared = Arc::new(shared());
    shared.set_partitions(1);
    let partition = shared.partitions()[0].clone();
    PartitionContext { shared, partition }
}

/// Accepts a link as the owner, whose opener says who it is.
async fn accept(listener: &TcpListener) -> (FrameReader, Outbox) {
    let accepted = timeout(WAIT_TIMEOUT, listener.accept()).await;
    let (stream, _) = accepted.expect("the member opens a link").expect("a link");
    let (mut reader, outbox) = link::split(stream).expect("its options");
    let hello = link::read_frame(&mut reader).await;
    assert!(matches!(hello, Some(Body::Hello(_))), "{hello:?}");
    (reader, outbox)
}

fn heartbeat(members: &[&str]) -> Body {
    let members = members.iter().map(|&m| m.to_owned()).collect();
    Body::Heartbeat(Heartbeat { epoch: EPOCH, members, ..Heartbeat::default() })
}

#[tokio::test]
async fn a_member_whose_link_is_cut_opens_another_before_it_takes_the_owner_for_gone() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    let cx = cx();
    let info = OwnerInfo { epoch: EPOCH, address, boot: 9, ..OwnerInfo::default() };
    let member = tokio::spawn(async move {
        let mut members = Vec::new();
        (follow(&cx, &info, &mut members).await, members)
    });
    for _ in 0..3 {
        let (mut reader, outbox) = accept(&listener).await;
        outbox.send(heartbeat(&["a", "b"]));
        // Its own heartbeat shows that it has joined.
        let beat = link::read_frame(&mut reader).await;
        assert!(matches!(beat, Some(Body::MemberBeat(_))), "{beat:?}");
    }
    // This owner has nothing to say any more.
    drop(accept(&listener).await);
    let (reason, members) = member.await.expect("its end");
    assert_eq!(reason, LeaveReason::Gone);
    assert_eq!(members, ["a", "b"], "the order of takeover is still known");
}

/// A process that stops goes on with its last answers for a while after it has given the
/// partition up.
#[tokio::test]
async fn a_process_that_has_given_the_partition_up_does_not_pass_for_one_that_is_about_to_own_it() {
    let cx = cx();
    let info = cx.owner_info(EPOCH);
    cx.partition.record_owner(&info);
    cx.partition.release(EPOCH);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(peers::accept(cx.shared.clone(), listener));
    let (mut reader, outbox) = link::connect(address).await.expect("a link");
    outbox.send(Body::Hello(Hello { owner: Some(info.clone()), ..Hello::default() }));
    let said = timeout(WAIT_TIMEOUT, link::read_frame(&mut reader)).await.expect("an answer");
    assert_eq!(said, Some(Body::Owner(info)));
}

/// A link may go silent without a reset while new ones work: the owner lives all the same.
#[tokio::test]
async fn an_owner_that_answers_over_a_new_link_is_not_taken_for_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    let cx = cx();
    let info = OwnerInfo { epoch: EPOCH, address, boot: 9, ..OwnerInfo::default() };
    let followed = info.clone();
    let member = tokio::spawn(async move { follow(&cx, &followed, &mut Vec::new()).await });
    let (_silent, outbox) = accept(&listener).await;
    outbox.send(heartbeat(&["a"]));
    let (stream, _) =
        timeout(WAIT_TIMEOUT, listener.accept()).await.expect("a link").expect("a link");
    let (mut reader, question) = link::split(stream).expect("its options");
    assert!(matches!(link::read_frame(&mut reader).await, Some(Body::WhoOwns(_))));
    question.send(Body::Owner(info));
    // It opens another link to this owner.
    let (_reader, outbox) = accept(&listener).await;
    outbox.send(Body::HandOver(HandOver { rev: 7 }));
    assert_eq!(member.await.expect("its end"), LeaveReason::HandedOver { rev: 7 });
}

/// The pattern: an owner frozen or without power, whose address takes links and says nothing.
#[tokio::test]
async fn an_owner_that_does_not_answer_either_is_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    let cx = cx();
    let info = OwnerInfo { epoch: EPOCH, address, boot: 9, ..OwnerInfo::default() };
    let member = tokio::spawn(async move { follow(&cx, &info, &mut Vec::new()).await });
    let (_silent, outbox) = accept(&listener).await;
    outbox.send(heartbeat(&["a"]));
    let reason = timeout(WAIT_TIMEOUT, member).await.expect("it is missed").expect("its end");
    assert_eq!(reason, LeaveReason::Silent);
}
