//! How often members hear of their owner.
#![allow(clippy::expect_used)]

use crate::link::Outbox;
use crate::members::Members;
use crate::wire::{Body, Frame, Hello, OwnerInfo};
use hollowford_core::Millis;
use tokio::sync::mpsc::Receiver;

/// When all members join.
const JOINED: Millis = Millis(5_000);

fn join(members: &mut Members, link: u64, now: Millis) -> Receiver<Frame> {
    let (outbox, rx) = Outbox::to_test();
    let address = format!("10.0.0.{link}:7000");
    let hello = Hello { address, cpu_milli: 250, age_ms: 1_000 - link, ..Hello::default() };
    members.join(link, hello, outbox, now);
    rx
}

/// Reads the paces that the heartbeats sent so far have told.
fn paces(rx: &mut Receiver<Frame>) -> Vec<u64> {
    let mut told = Vec::new();
    while let Ok(frame) = rx.try_recv() {
        if let Some(Body::Heartbeat(beat)) = frame.body {
            told.push(beat.every_ms);
        }
    }
    told
}

#[test]
fn those_that_take_over_first_hear_more_often_in_a_large_cell() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rxs: Vec<_> = (0..147).map(|i| join(&mut members, i, JOINED)).collect();
    for ms in (10..=3_000).step_by(10) {
        members.tick(JOINED + Millis(ms), 1, false);
    }
    // The ones that have run longest take over first.
    for (i, rx) in rxs.iter_mut().enumerate() {
        let told = paces(rx);
        let (pace, least) = if i < 8 { (100, 28) } else { (300, 9) };
        assert!(told.iter().all(|&ms| ms == pace), "member {i} was told {told:?}");
        assert!(told.len() >= least && told.len() <= least + 4, "member {i}: {}", told.len());
    }
}

#[test]
fn all_hear_alike_in_a_small_cell() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rxs: Vec<_> = (0..12).map(|i| join(&mut members, i, JOINED)).collect();
    for ms in (10..=1_000).step_by(10) {
        members.tick(JOINED + Millis(ms), 1, false);
    }
    for rx in &mut rxs {
        assert_eq!(paces(rx).len(), 10);
    }
}
