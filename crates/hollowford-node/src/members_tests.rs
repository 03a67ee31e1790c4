//! How often members hear of their owner, and how often they are sent the configuration.
#![allow(clippy::expect_used)]

use crate::link::Outbox;
use crate::members::{ConfigKnown, Members};
use crate::wire::{Body, ConfigRow, Frame, Hello, MemberBeat, OwnerInfo};
use crate::worker_changes::WorkerChanges;
use hollowford_core::Millis;
use tokio::sync::mpsc::Receiver;

/// When all members join.
const JOINED: Millis = Millis(5_000);

/// How often the owner's turn comes in these tests.
const TICK: Millis = Millis(10);

/// What the owner knows of the configuration.
const KNOWN: ConfigKnown = ConfigKnown { version: 1, age: Millis(0) };

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
        members.tick(JOINED + Millis(ms), KNOWN, false);
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
        members.tick(JOINED + Millis(ms), KNOWN, false);
    }
    for rx in &mut rxs {
        assert_eq!(paces(rx).len(), 10);
    }
}

/// Pattern: hundreds of links open to a new owner over half a second. The first ones are told the
/// pace of a small cell, and take an owner for silent that falls back to the pace of a large one.
#[test]
fn every_heartbeat_comes_as_soon_as_the_one_before_has_told() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rxs = Vec::new();
    // Of each member: when its next heartbeat is due at the latest.
    let mut due: Vec<Millis> = Vec::new();
    for ms in (10..=2_000).step_by(10) {
        let now = JOINED + Millis(ms);
        let joining = if rxs.len() < 588 { 12 } else { 0 };
        for _ in 0..joining {
            let link = rxs.len() as u64;
            rxs.push(join(&mut members, link, now));
            members.greet(link, KNOWN);
            due.push(now);
        }
        members.tick(now, KNOWN, false);
        for (i, rx) in rxs.iter_mut().enumerate() {
            match paces(rx).last() {
                Some(&pace) => due[i] = now + Millis(pace) + TICK,
                None => assert!(now <= due[i], "member {i} expected one at {:?}", due[i]),
            }
        }
    }
    assert_eq!(rxs.len(), 588);
}

/// Reads the orders of members that the heartbeats sent so far have told.
fn orders(rx: &mut Receiver<Frame>) -> Vec<Vec<String>> {
    let mut told = Vec::new();
    while let Ok(frame) = rx.try_recv() {
        if let Some(Body::Heartbeat(beat)) = frame.body
            && !beat.members.is_empty()
        {
            told.push(beat.members);
        }
    }
    told
}

/// Pattern: heartbeats to 22 members ten times a second, each with eight addresses, were a tenth
/// of a link of 2 Mbit/s.
#[test]
fn who_takes_over_first_is_told_once_and_when_it_changes() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rx = join(&mut members, 1, JOINED);
    for ms in (10..=1_000).step_by(10) {
        members.tick(JOINED + Millis(ms), KNOWN, false);
    }
    assert_eq!(orders(&mut rx), [["10.0.0.1:7000"]]);
    // One that has run longer joins: it goes first, and is told all.
    let mut late = join(&mut members, 0, JOINED);
    for ms in (1_010..=2_000).step_by(10) {
        members.tick(JOINED + Millis(ms), KNOWN, false);
    }
    for rx in [&mut rx, &mut late] {
        assert_eq!(orders(rx), [["10.0.0.0:7000", "10.0.0.1:7000"]]);
    }
}

/// Reads the versions of the configuration rows that were sent so far.
fn rows_sent(rx: &mut Receiver<Frame>) -> Vec<u64> {
    let mut sent = Vec::new();
    while let Ok(frame) = rx.try_recv() {
        if let Some(Body::Config(row)) = frame.body {
            sent.push(row.row_version);
        }
    }
    sent
}

/// A row whose version is ten times that of the configuration in it.
fn row_of(version: u64) -> ConfigRow {
    ConfigRow { row_version: version * 10, packed: vec![0; 181_000] }
}

/// A member tells which version it has.
fn tell(members: &mut Members, link: u64, config: u64) {
    members.beat(link, &MemberBeat { config, ..MemberBeat::default() }, JOINED);
}

/// Pattern: a configuration of a thousand routes (181 kB) changes every 0.4 s, and a member's link
/// takes 0.15 s for each (10 Mbit/s). With a copy at each heartbeat of 0.1 s the links of a cell
/// were full for ten seconds, and leases of live workers ran out (ortaksahne-grown trouble-3).
#[test]
fn a_configuration_goes_to_a_member_once_however_long_it_takes_to_arrive() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rx = join(&mut members, 1, JOINED);
    for _ in 0..4 {
        tell(&mut members, 1, 1);
        members.send_config(2, &row_of(2));
    }
    assert_eq!(rows_sent(&mut rx), [20]);
    // Changes that come while it is on its way wait, and only the newest follows.
    for version in [3, 4] {
        members.send_config(version, &row_of(version));
    }
    assert!(rows_sent(&mut rx).is_empty());
    tell(&mut members, 1, 2);
    members.send_config(4, &row_of(4));
    members.send_config(4, &row_of(4));
    assert_eq!(rows_sent(&mut rx), [40]);
    // It has it.
    tell(&mut members, 1, 4);
    members.send_config(4, &row_of(4));
    assert!(rows_sent(&mut rx).is_empty());
}

/// Pattern: all members join a new owner at once. Most have the configuration already.
#[test]
fn a_member_that_has_not_told_what_it_has_is_sent_nothing() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rx = join(&mut members, 1, JOINED);
    members.send_config(2, &row_of(2));
    assert!(rows_sent(&mut rx).is_empty());
}

#[test]
fn a_member_that_comes_again_on_another_link_gets_the_configuration_again() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    for link in [1, 2] {
        let mut rx = join(&mut members, link, JOINED);
        tell(&mut members, link, 0);
        members.send_config(2, &row_of(2));
        assert_eq!(rows_sent(&mut rx), [20]);
        members.leave(link);
    }
}

#[test]
fn changes_of_the_list_of_workers_go_to_those_that_own_partitions() {
    let mut members = Members::new(OwnerInfo::default(), 5);
    let mut rxs: Vec<_> = (0..3).map(|i| join(&mut members, i, JOINED)).collect();
    members.beat(1, &MemberBeat { owned: 1, ..MemberBeat::default() }, JOINED);
    members.send_workers(&WorkerChanges { from: 3, to: 4, rows: Vec::new() });
    let told = |rx: &mut Receiver<Frame>| {
        let frames = std::iter::from_fn(|| rx.try_recv().ok());
        frames.filter(|f| matches!(f.body, Some(Body::Workers(_)))).count()
    };
    assert_eq!(rxs.iter_mut().map(told).collect::<Vec<_>>(), [0, 1, 0]);
}
