//! Cost of many links that open or close at once.
//!
//! Guards against an owner that sends every member a heartbeat each time another one joins. A
//! partition of a cell with some 600 instances changes hands, and every instance opens a link to
//! the new owner within a few tenths of a second.
#![allow(clippy::expect_used)]

use super::{Owner, RecoveredState};
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::LANE_COUNT;
use crate::link::Outbox;
use crate::partition::PartitionContext;
use crate::shared_tests::shared;
use crate::wire::{Body, Frame, Hello, RenewalTerms};
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
    let engine = Engine::new(EPOCH, cx.shared.settings.time_limits, Millis(0));
    let start = RecoveredState {
        info,
        lanes: [0; LANE_COUNT],
        terms: RenewalTerms::default(),
        engine,
        clock_offset: 0,
        read_at: Millis(0),
    };
    Owner::new(cx, start, OwnerHandle::new().0)
}

/// Lets a member join and returns the frames sent to it.
fn join(owner: &mut Owner, link: u64) -> Receiver<Frame> {
    let (outbox, rx) = Outbox::for_test();
    let address = format!("10.0.{}.{}:7000", link / 250, link % 250);
    let hello = Hello { address, cpu_milli: 120, ..Hello::default() };
    owner.handle_message(OwnerMsg::Joined(link, hello, outbox));
    rx
}

fn heartbeats(rx: &mut Receiver<Frame>) -> usize {
    let frames = std::iter::from_fn(|| rx.try_recv().ok());
    frames.filter(|f| matches!(f.body, Some(Body::Heartbeat(_)))).count()
}

#[tokio::test]
async fn opening_a_link_costs_the_same_with_any_number_of_links() {
    for instances in [147, 588, 1_176] {
        let mut owner = owner();
        let mut links: Vec<_> = (0..instances).map(|link| join(&mut owner, link)).collect();
        let received: Vec<usize> = links.iter_mut().map(heartbeats).collect();
        assert!(received.iter().all(|&n| n >= 1), "each member gets a heartbeat at once");
        let highest = received.iter().max().copied().unwrap_or(0);
        assert!(highest <= 2, "{instances} links: a member got {highest} heartbeats");
    }
}

#[tokio::test]
async fn links_that_close_together_cause_no_extra_heartbeats() {
    let mut owner = owner();
    let mut links: Vec<_> = (0..588).map(|link| join(&mut owner, link)).collect();
    for rx in &mut links {
        heartbeats(rx);
    }
    (0..300).for_each(|link| owner.handle_message(OwnerMsg::Left(link)));
    let received: usize = links[300..].iter_mut().map(heartbeats).sum();
    assert!(received <= 288, "the remaining members got {received} heartbeats");
}
