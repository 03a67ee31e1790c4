//! Assignment of calls to members, and handling of silent members.
//!
//! Simulates a large deployment: 1,100 workers and 147 instances in six availability zones, of
//! which some are killed, disconnected or frozen while calls are in flight.
#![allow(clippy::expect_used)]

use crate::calls::AnswerTiming;
use crate::delegate_wire::{Outcome, Outcomes};
use crate::delegation::{Delegate, Delegation};
use crate::link::Outbox;
use hollowford_adapter::WorkerAnswer;
use hollowford_core::{Millis, Resources};
use hollowford_jobs::{LookAnswer, StartAnswer, WorkerCall, WorkerListing};
use std::collections::BTreeMap;
use std::sync::Arc;

const NOW: Millis = Millis(50_000);
const LIMIT: Millis = Millis(60);
const ZONES: u64 = 6;

fn members(count: u64) -> Vec<Delegate> {
    let member = |link| Delegate {
        link,
        address: format!("10.0.{}.{link}:7000", link % ZONES).into(),
        zone: format!("z{}", link % ZONES).into(),
        outbox: Outbox::disconnected(),
    };
    (0..count).map(member).collect()
}

fn listing(i: usize) -> WorkerListing {
    WorkerListing {
        life: format!("w{i}").as_str().into(),
        address: address(i),
        zone: format!("z{}", i as u64 % ZONES).into(),
        pool: "p".into(),
        capacity: Resources::new(16_000, 64_000, 0),
        labels: Vec::new(),
        leaving: false,
        remaining: None,
        withdrawn: false,
    }
}

fn address(i: usize) -> Arc<str> {
    format!("10.1.{}.{}:9", i / 250, i % 250).into()
}

fn look(i: usize) -> WorkerCall {
    WorkerCall::Look {
        worker: format!("w{i}").as_str().into(),
        address: address(i),
        lease_until: None,
        acknowledged: 0,
        wait: Millis(0),
    }
}

fn delegation(member_count: u64, workers: usize) -> Delegation {
    let mut d = Delegation::new(3, NOW);
    d.set_workers(&(0..workers).map(listing).collect::<Vec<_>>());
    d.set_members(members(member_count), NOW);
    d
}

/// Delegates one `look` call to each worker and returns the link of each.
fn assign(d: &mut Delegation, workers: usize, now: Millis) -> Vec<u64> {
    let assign_one = |i| {
        assert!(d.delegate(look(i), LIMIT, now).is_none(), "worker {i} was not delegated");
        d.last_link().expect("a call")
    };
    (0..workers).map(assign_one).collect()
}

#[test]
fn the_owner_makes_the_calls_itself_in_a_small_cell_or_without_members() {
    for (members, workers) in [(20, 50), (2, 1_100), (0, 1_100)] {
        let mut d = delegation(members, workers);
        assert!(d.delegate(look(0), LIMIT, NOW).is_some(), "{members} members");
    }
}

#[test]
fn members_get_even_shares_of_their_own_zone() {
    let mut d = delegation(144, 1_100);
    let links = assign(&mut d, 1_100, NOW);
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for (i, link) in links.iter().enumerate() {
        assert_eq!(link % ZONES, i as u64 % ZONES, "worker {i} is called from another zone");
        *counts.entry(*link).or_default() += 1;
    }
    // The average is 7.6.
    let largest = counts.values().max().expect("some");
    assert!(*largest <= 24, "one member has {largest} workers");
    assert!(counts.len() > 120, "only {} members have workers", counts.len());
}

#[test]
fn a_member_that_leaves_changes_its_own_share_only() {
    let mut d = delegation(30, 600);
    let before = assign(&mut d, 600, NOW);
    let remaining: Vec<_> = members(30).into_iter().filter(|m| m.link != 7).collect();
    d.set_members(remaining, NOW);
    let after = assign(&mut d, 600, NOW);
    for (b, a) in before.iter().zip(&after) {
        assert!(a == b || *b == 7, "moved from {b} to {a}");
        assert_ne!(*a, 7);
    }
}

#[test]
fn calls_of_a_member_whose_link_ends_count_as_unanswered_at_once() {
    let mut d = delegation(12, 200);
    let links = assign(&mut d, 200, NOW);
    let lost = links.iter().filter(|&&l| l == 5).count();
    assert!(lost > 0);
    d.member_left(5, NOW);
    let outcomes = d.take_overdue(true, NOW);
    assert_eq!(outcomes.len(), lost);
    assert!(outcomes.iter().all(|t| t.called == WorkerAnswer::Look(LookAnswer::Unanswered)));
    assert!(d.take_overdue(true, NOW).is_empty(), "reported only once");
}

#[test]
fn a_member_that_does_not_report_is_skipped_for_a_while() {
    let mut d = delegation(12, 200);
    let before = assign(&mut d, 200, NOW);
    for (i, link) in before.iter().enumerate().filter(|(_, l)| **l != 5) {
        answer(&mut d, i, *link);
    }
    let late = NOW + Millis(2_000);
    assert!(!d.take_overdue(true, late).is_empty());
    let after = assign(&mut d, 200, late);
    assert!(after.iter().all(|&l| l != 5));
    let after_pause = assign(&mut d, 200, late + Millis(5_000));
    assert_eq!(after_pause, before);
}

/// Lets a member report an answer to the call with the number `call`.
fn answer(d: &mut Delegation, call: usize, link: u64) -> usize {
    let outcome = Outcome::new(call as u64, &WorkerAnswer::Look(LookAnswer::OtherLife));
    d.receive_outcomes(link, Outcomes { list: vec![outcome] }, NOW).len()
}

#[test]
fn a_late_answer_is_delivered_after_the_call_counted_as_unanswered() {
    let mut d = delegation(12, 200);
    let start = WorkerCall::Start {
        worker: "w1".into(),
        address: address(1),
        task: "00000000000000aa.0.0.0".parse().expect("a task"),
        run: 1,
        lease_until: 0,
        template: "t".into(),
        saved: "".into(),
        ticket: "".into(),
    };
    d.delegate(start, LIMIT, NOW);
    let link = d.last_link().expect("a call");
    let late = NOW + Millis(1_000);
    assert_eq!(d.take_overdue(true, late).len(), 1);
    let runs = Outcome::new(0, &WorkerAnswer::Start(StartAnswer::Runs(5)));
    let outcomes = d.receive_outcomes(link, Outcomes { list: vec![runs] }, late);
    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0].timing, AnswerTiming::Late);
    assert_eq!(outcomes[0].sent, NOW);
}

#[test]
fn a_worker_that_its_member_does_not_reach_gets_another_member() {
    let mut d = delegation(60, 200);
    let first = assign(&mut d, 1, NOW)[0];
    for id in 0..2 {
        let none = Outcome::new(id, &WorkerAnswer::Look(LookAnswer::Unanswered));
        let outcomes = d.receive_outcomes(first, Outcomes { list: vec![none] }, NOW);
        assert_eq!(outcomes[0].timing, AnswerTiming::InTime);
        d.delegate(look(0), LIMIT, NOW);
    }
    assert_ne!(d.last_link().expect("a call"), first);
}

#[test]
fn a_new_owner_of_a_large_cell_waits_briefly_for_its_members() {
    let mut d = Delegation::new(3, NOW);
    d.set_workers(&(0..200).map(listing).collect::<Vec<_>>());
    assert!(d.awaits_members(NOW));
    d.set_members(members(2), NOW + Millis(20));
    assert!(d.awaits_members(NOW + Millis(100)), "two are too few");
    d.set_members(members(20), NOW + Millis(120));
    assert!(d.awaits_members(NOW + Millis(150)), "more may be coming");
    assert!(!d.awaits_members(NOW + Millis(190)));
    let mut alone = Delegation::new(3, NOW);
    alone.set_workers(&(0..200).map(listing).collect::<Vec<_>>());
    assert!(!alone.awaits_members(NOW + Millis(400)), "no member joins");
    alone.set_workers(&(0..50).map(listing).collect::<Vec<_>>());
    assert!(!alone.awaits_members(NOW), "a small cell needs no members");
}

#[test]
fn no_call_is_overdue_while_the_owner_has_not_handled_all_reports() {
    let mut d = delegation(12, 200);
    let before = assign(&mut d, 200, NOW);
    let late = NOW + Millis(2_000);
    assert!(d.take_overdue(false, late).is_empty());
    assert_eq!(assign(&mut d, 200, late), before, "no member counts as silent");
}
