//! When the owner sends heartbeats and the configuration to its members.
#![allow(clippy::expect_used)]

use crate::link::Outbox;
use crate::members::{KnownConfig, Members};
use crate::wire::{Body, ConfigRow, Frame, Hello, MemberBeat, OwnerInfo};
use crate::worker_changes::WorkerChanges;
use hollowford_core::Millis;
use tokio::sync::mpsc::Receiver;

/// When members join, by the owner's clock.
const JOINED_AT: Millis = Millis(5_000);

/// Time between two calls of [`Members::tick`].
const TICK_INTERVAL: Millis = Millis(10);

/// The owner's configuration.
const KNOWN_CONFIG: KnownConfig = KnownConfig { version: 1, age: Millis(0) };

fn join(members: &mut Members, link: u64, now: Millis) -> Receiver<Frame> {
    let (outbox, rx) = Outbox::for_test();
    let address = format!("10.0.0.{link}:7000");
    let hello = Hello { address, cpu_milli: 250, age_ms: 1_000 - link, ..Hello::default() };
    members.join(link, hello, outbox, now);
    rx
}

/// Returns the intervals announced in the heartbeats received so far.
fn intervals(rx: &mut Receiver<Frame>) -> Vec<u64> {
    let mut received = Vec::new();
    while let Ok(frame) = rx.try_recv() {
        if let Some(Body::Heartbeat(heartbeat)) = frame.body {
            received.push(heartbeat.every_ms);
        }
    }
    received
}

#[test]
fn members_that_take_over_first_get_more_heartbeats_in_a_large_cell() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rxs: Vec<_> = (0..147).map(|i| join(&mut members, i, JOINED_AT)).collect();
    for ms in (10..=3_000).step_by(10) {
        members.tick(JOINED_AT + Millis(ms), KNOWN_CONFIG, false);
    }
    // Members that have run longest take over first.
    for (i, rx) in rxs.iter_mut().enumerate() {
        let received = intervals(rx);
        let (interval, min_count) = if i < 8 { (100, 28) } else { (300, 9) };
        assert!(received.iter().all(|&ms| ms == interval), "member {i} received {received:?}");
        assert!(
            received.len() >= min_count && received.len() <= min_count + 4,
            "member {i} received {} heartbeats",
            received.len()
        );
    }
}

#[test]
fn all_members_get_equally_many_heartbeats_in_a_small_cell() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rxs: Vec<_> = (0..12).map(|i| join(&mut members, i, JOINED_AT)).collect();
    for ms in (10..=1_000).step_by(10) {
        members.tick(JOINED_AT + Millis(ms), KNOWN_CONFIG, false);
    }
    for rx in &mut rxs {
        assert_eq!(intervals(rx).len(), 10);
    }
}

/// Hundreds of links open to a new owner over half a second. The first members are announced the
/// interval of a small cell; if the owner then switched to the interval of a large one, they would
/// declare it failed.
#[test]
fn every_heartbeat_comes_within_the_interval_that_the_previous_one_announced() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rxs = Vec::new();
    // For each member, when its next heartbeat must arrive at the latest.
    let mut due: Vec<Millis> = Vec::new();
    for ms in (10..=2_000).step_by(10) {
        let now = JOINED_AT + Millis(ms);
        let joining = if rxs.len() < 588 { 12 } else { 0 };
        for _ in 0..joining {
            let link = rxs.len() as u64;
            rxs.push(join(&mut members, link, now));
            members.send_first_heartbeat(link, KNOWN_CONFIG);
            due.push(now);
        }
        members.tick(now, KNOWN_CONFIG, false);
        for (i, rx) in rxs.iter_mut().enumerate() {
            match intervals(rx).last() {
                Some(&interval) => due[i] = now + Millis(interval) + TICK_INTERVAL,
                None => assert!(now <= due[i], "member {i} expected a heartbeat by {:?}", due[i]),
            }
        }
    }
    assert_eq!(rxs.len(), 588);
}

/// Returns the takeover orders named in the heartbeats received so far.
fn orders(rx: &mut Receiver<Frame>) -> Vec<Vec<String>> {
    let mut received = Vec::new();
    while let Ok(frame) = rx.try_recv() {
        if let Some(Body::Heartbeat(heartbeat)) = frame.body
            && !heartbeat.members.is_empty()
        {
            received.push(heartbeat.members);
        }
    }
    received
}

/// Heartbeats to 22 members ten times a second, each with eight addresses, took a tenth of a 2
/// Mbit/s link.
#[test]
fn the_takeover_order_is_sent_once_and_after_each_change() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rx = join(&mut members, 1, JOINED_AT);
    for ms in (10..=1_000).step_by(10) {
        members.tick(JOINED_AT + Millis(ms), KNOWN_CONFIG, false);
    }
    assert_eq!(orders(&mut rx), [["10.0.0.1:7000"]]);
    // A member that has run longer joins and comes first in the takeover order, which is sent to
    // both.
    let mut longer_running = join(&mut members, 0, JOINED_AT);
    for ms in (1_010..=2_000).step_by(10) {
        members.tick(JOINED_AT + Millis(ms), KNOWN_CONFIG, false);
    }
    for rx in [&mut rx, &mut longer_running] {
        assert_eq!(orders(rx), [["10.0.0.0:7000", "10.0.0.1:7000"]]);
    }
}

/// Returns the versions of the configuration rows received so far.
fn rows_sent(rx: &mut Receiver<Frame>) -> Vec<u64> {
    let mut sent = Vec::new();
    while let Ok(frame) = rx.try_recv() {
        if let Some(Body::Config(row)) = frame.body {
            sent.push(row.row_version);
        }
    }
    sent
}

/// A configuration row whose row version is ten times that of its configuration.
fn row_of(version: u64) -> ConfigRow {
    ConfigRow { row_version: version * 10, packed: vec![0; 181_000] }
}

/// Records a heartbeat in which the member reports its configuration version.
fn report_config(members: &mut Members, link: u64, config: u64) {
    members.record_heartbeat(link, &MemberBeat { config, ..MemberBeat::default() }, JOINED_AT);
}

/// A configuration with a thousand routes (181 kB) changes every 0.4 s, and a member's link takes
/// 0.15 s for a copy (10 Mbit/s). With a copy per heartbeat of 0.1 s, the links of a cell were
/// saturated for ten seconds, and leases of live workers expired.
#[test]
fn a_configuration_is_sent_to_a_member_once_however_long_it_takes_to_arrive() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rx = join(&mut members, 1, JOINED_AT);
    for _ in 0..4 {
        report_config(&mut members, 1, 1);
        members.send_config(2, &row_of(2));
    }
    assert_eq!(rows_sent(&mut rx), [20]);
    // Changes made while a copy is in transit are held back; only the newest follows.
    for version in [3, 4] {
        members.send_config(version, &row_of(version));
    }
    assert!(rows_sent(&mut rx).is_empty());
    report_config(&mut members, 1, 2);
    members.send_config(4, &row_of(4));
    members.send_config(4, &row_of(4));
    assert_eq!(rows_sent(&mut rx), [40]);
    // The member now has the newest version.
    report_config(&mut members, 1, 4);
    members.send_config(4, &row_of(4));
    assert!(rows_sent(&mut rx).is_empty());
}

/// All members join a new owner at once. Most already have the configuration.
#[test]
fn a_member_that_has_not_reported_its_version_is_sent_no_configuration() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let mut rx = join(&mut members, 1, JOINED_AT);
    members.send_config(2, &row_of(2));
    assert!(rows_sent(&mut rx).is_empty());
}

#[test]
fn a_member_that_reconnects_is_sent_the_configuration_again() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    for link in [1, 2] {
        let mut rx = join(&mut members, link, JOINED_AT);
        report_config(&mut members, link, 0);
        members.send_config(2, &row_of(2));
        assert_eq!(rows_sent(&mut rx), [20]);
        members.leave(link);
    }
}

#[test]
fn worker_list_changes_are_sent_to_members_that_own_partitions() {
    let mut members = Members::new(OwnerInfo::default(), 5);
    let mut rxs: Vec<_> = (0..3).map(|i| join(&mut members, i, JOINED_AT)).collect();
    members.record_heartbeat(1, &MemberBeat { owned: 1, ..MemberBeat::default() }, JOINED_AT);
    members.send_worker_changes(&WorkerChanges { from: 3, to: 4, rows: Vec::new() });
    let received = |rx: &mut Receiver<Frame>| {
        let frames = std::iter::from_fn(|| rx.try_recv().ok());
        frames.filter(|f| matches!(f.body, Some(Body::Workers(_)))).count()
    };
    assert_eq!(rxs.iter_mut().map(received).collect::<Vec<_>>(), [0, 1, 0]);
}

// In an outage of the whole store every process is rejected. A member whose last answer is older than
// the owner's first rejection must not count as served; the hand-over would only lose time.
#[test]
fn a_member_counts_as_served_only_by_answers_after_the_rejections_began() {
    let mut members = Members::new(OwnerInfo::default(), 1);
    let _rx = join(&mut members, 1, JOINED_AT);
    let rejected_since = JOINED_AT + Millis(1_000);
    let heard_at = JOINED_AT + Millis(1_200);
    let beat = |store_age_ms| MemberBeat { store_age_ms, ..MemberBeat::default() };
    members.record_heartbeat(1, &beat(300), heard_at);
    assert!(members.any_served_by_store(Millis(0)), "answered within the last half second");
    assert!(!members.any_served_by_store(rejected_since), "answered before the rejections began");
    assert!(!members.hand_over_to_served_member(rejected_since));
    members.record_heartbeat(1, &beat(100), heard_at);
    assert!(members.any_served_by_store(rejected_since));
    assert!(members.hand_over_to_served_member(rejected_since));
}
