//! What it costs an owner that hundreds of links open to it at once.
//!
//! The pattern: a cell of some 600 instances in which a partition changes hands, so that every
//! instance opens a link to the new owner within a few tenths of a second.
#![allow(clippy::expect_used)]

use super::{Owner, Start};
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::LANES;
use crate::link::Outbox;
use crate::partition::PartitionContext;
use crate::shared_tests::shared;
use crate::wire::{Body, Frame, Hello};
use hollowford_core::Millis;
use hollowford_jobs::Engine;
use std::sync::Arc;
use tokio::sync::mpsc::Receiver;

const EPOCH: u64 = 2;

fn owner() -> Owner {
    let shared = Arc::new(shared());
    shared.set_partitions(1);
    let partition = shared.partitions()[0].clone();
    let cx = PartitionContext { shared, partition };
    let info = cx.owner_info(EPOCH);
    let engine = Engine::new(EPOCH, cx.shared.settings.bounds, Millis(0));
    let start = Start { info, lanes: [0; LANES], engine, offset: 0 };
    Owner::new(cx, start, OwnerHandle::new().0)
}

/// Has a member join, and returns what is sent to it.
fn join(owner: &mut Owner, link: u64) -> Receiver<Frame> {
    let (outbox, rx) = Outbox::for_test();
    let address = format!("10.0.{}.{}:7000", link / 250, link % 250);
    let hello = Hello { address, cpu_milli: 120, ..Hello::default() };
    owner.take(OwnerMsg::Joined(link, hello, outbox));
    rx
}

fn heartbeats(rx: &mut Receiver<Frame>) -> usize {
    let frames = std::iter::from_fn(|| rx.try_recv().ok());
    frames.filter(|f| matches!(f.body, Some(Body::Heartbeat(_)))).count()
}

#[tokio::test]
async fn a_link_that_opens_costs_as_much_however_many_there_are() {
    for instances in [147, 588, 1_176] {
        let mut owner = owner();
        let mut links: Vec<_> = (0..instances).map(|link| join(&mut owner, link)).collect();
        let told: Vec<usize> = links.iter_mut().map(heartbeats).collect();
        assert!(told.iter().all(|&n| n >= 1), "each is told at once who its owner is");
        let most = told.iter().max().copied().unwrap_or(0);
        assert!(most <= 2, "{instances} links: a member was told {most} times");
    }
}

#[tokio::test]
async fn links_that_end_together_cost_the_others_nothing() {
    let mut owner = owner();
    let mut links: Vec<_> = (0..588).map(|link| join(&mut owner, link)).collect();
    for rx in &mut links {
        heartbeats(rx);
    }
    (0..300).for_each(|link| owner.take(OwnerMsg::Left(link)));
    let told: usize = links[300..].iter_mut().map(heartbeats).sum();
    assert!(told <= 288, "those that stay were told {told} times");
}
