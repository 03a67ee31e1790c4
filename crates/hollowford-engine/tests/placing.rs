//! What starts where, and when.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{World, key, policy, spec};
use hollowford_core::prelude::*;
use hollowford_core::{Kind, Spread};
use hollowford_engine::{Action, Outcome, Policy, TaskUsage};

#[test]
fn work_of_every_kind_starts_and_ends() {
    let mut world = World::new(policy(), 4);
    world.submit("check", &spec(Kind::Check, 1, 500, 100)).unwrap();
    world.submit("gang", &spec(Kind::Gang, 4, 2_000, 100)).unwrap();
    world.submit("batch", &spec(Kind::Batch, 20, 1_000, 100)).unwrap();
    world.run(3_000);
    for id in ["check", "gang", "batch"] {
        assert_eq!(world.answer(id).unwrap().outcome, Outcome::Done, "{id}");
    }
}

#[test]
fn a_gang_as_large_as_the_cell_starts_in_spite_of_the_headroom() {
    let mut world = World::new(Policy { headroom: 0.1, ..policy() }, 3);
    world.submit("gang", &spec(Kind::Gang, 6, 2_000, 100)).unwrap();
    world.run(2_000);
    assert_eq!(world.answer("gang").unwrap().outcome, Outcome::Done);
}

#[test]
fn a_gang_starts_whole_while_batch_work_keeps_coming() {
    let mut world = World::new(policy(), 4);
    for i in 0..100 {
        world.submit(&format!("batch-{i}"), &spec(Kind::Batch, 4, 1_000, 500)).unwrap();
    }
    world.run(500);
    world.submit_as("other", "gang", &spec(Kind::Gang, 4, 4_000, 200)).unwrap();
    let gang = RequestKey::new(&AccountId::from("other"), "gang");
    let mut seen = Vec::new();
    for _ in 0..200 {
        world.step();
        let engine = world.engine();
        let no = engine.find(&gang).unwrap();
        seen.push(engine.view(no).unwrap().running);
    }
    let engine = world.engine();
    let no = engine.find(&gang).unwrap();
    let view = engine.view(no).unwrap();
    assert_eq!(view.answer.unwrap().outcome, Outcome::Done);
    assert!(view.waited.unwrap() < Millis(5_000), "{:?}", view.waited);
}

#[test]
fn urgent_work_displaces_batch_work_and_that_goes_on_later() {
    let mut world = World::new(policy(), 2);
    world.submit("batch", &spec(Kind::Batch, 8, 1_000, 60_000)).unwrap();
    world.run(500);
    assert_eq!(world.running("batch"), 8);
    world.submit("check", &spec(Kind::Check, 1, 1_000, 100)).unwrap();
    world.run(1_000);
    assert_eq!(world.answer("check").unwrap().outcome, Outcome::Done);
    assert_eq!(world.running("batch"), 8);
    assert_eq!(world.engine().stats().preempted, 1);
}

#[test]
fn work_that_is_not_repeatable_is_never_displaced() {
    let mut world = World::new(policy(), 1);
    let mut batch = spec(Kind::Batch, 4, 1_000, 2_000);
    batch.repeatable = false;
    world.submit("batch", &batch).unwrap();
    world.run(500);
    world.submit("check", &spec(Kind::Check, 1, 1_000, 100)).unwrap();
    world.run(1_000);
    assert_eq!(world.running("batch"), 4);
    world.run(2_000);
    assert_eq!(world.answer("check").unwrap().outcome, Outcome::Done);
    assert_eq!(world.answer("batch").unwrap().outcome, Outcome::Done);
}

#[test]
fn what_no_instance_could_ever_run_is_refused_with_what_would_fit() {
    let mut world = World::new(policy(), 4);
    let e = world.submit("large", &spec(Kind::Batch, 1, 5_000, 100)).unwrap_err();
    assert_eq!(e.kind, ErrorKind::Impossible);
    assert!(e.message.contains("4000 mcpu"), "{}", e.message);
    let e = world.submit("wide", &spec(Kind::Gang, 17, 1_000, 100)).unwrap_err();
    assert_eq!(e.kind, ErrorKind::Impossible);
    let mut racked = spec(Kind::Gang, 3, 4_000, 100);
    racked.placement.same_rack = true;
    assert_eq!(world.submit("racked", &racked).unwrap_err().kind, ErrorKind::Impossible);
}

#[test]
fn a_request_that_waits_longer_than_it_allows_is_told_not_run_at_once() {
    let mut world = World::new(policy(), 1);
    world.submit("long", &spec(Kind::Batch, 4, 1_000, 30_000)).unwrap();
    world.run(300);
    let mut short = spec(Kind::Batch, 1, 1_000, 100);
    short.start_within_ms = 1_000;
    world.submit("short", &short).unwrap();
    world.run(900);
    assert_eq!(world.answer("short"), None);
    world.run(250);
    let answer = world.answer("short").unwrap();
    assert_eq!((answer.outcome, &*answer.reason), (Outcome::NotRun, "given_up"));
}

#[test]
fn spread_tasks_share_no_instance() {
    let mut world = World::new(policy(), 4);
    let mut service = spec(Kind::Service, 4, 500, 0);
    service.placement.spread = Spread::Instance;
    world.submit("service", &service).unwrap();
    world.settle();
    assert_eq!(world.running("service"), 4);
    assert!(world.workers.values().all(|w| w.running.len() == 1));
}

#[test]
fn client_accounts_share_by_weight_while_both_wait() {
    let mut world = World::new(policy(), 4);
    for i in 0..40 {
        let work = spec(Kind::Batch, 4, 1_000, 400);
        world.submit_as("one", &format!("a-{i}"), &work).unwrap();
        world.submit_as("two", &format!("b-{i}"), &work).unwrap();
    }
    world.run(2_000);
    let used: Vec<u64> = world
        .engine()
        .accounts()
        .filter(|a| ["one", "two"].contains(&a.id.as_str()))
        .map(|a| a.used.cpu_milli)
        .collect();
    let low = used.iter().min().unwrap();
    let high = used.iter().max().unwrap();
    assert!(high - low <= 2_000, "{used:?}");
}

#[test]
fn a_worker_that_fails_everything_is_put_aside_and_the_work_ends_elsewhere() {
    let mut world = World::new(policy(), 6);
    let bad = world.worker_id(0);
    world.workers.get_mut(&bad).unwrap().bad = true;
    for i in 0..30 {
        let account = format!("account-{}", i % 3);
        world.submit_as(&account, &format!("job-{i}"), &spec(Kind::Batch, 2, 1_000, 300)).unwrap();
    }
    world.run(20_000);
    assert!(world.engine().stats().quarantined >= 1);
    let (_, open) = world.engine().requests();
    assert_eq!(open, 0);
    let failed = world.engine().stats().failed;
    assert!(failed <= 10, "{failed} attempts failed on one bad worker");
}

#[test]
fn services_leave_a_leaving_instance() {
    let mut world = World::new(policy(), 3);
    world.submit("service", &spec(Kind::Service, 3, 1_000, 0)).unwrap();
    world.settle();
    let on: Vec<_> = world
        .workers
        .iter()
        .filter(|(_, w)| !w.running.is_empty())
        .map(|(id, _)| id.clone())
        .collect();
    world.workers.get_mut(&on[0]).unwrap().leaving = true;
    world.run(1_000);
    assert_eq!(world.running("service"), 3);
    assert!(world.workers[&on[0]].running.is_empty());
}

#[test]
fn a_wave_of_cancellations_by_label_is_one_pass() {
    let mut world = World::new(policy(), 2);
    let mut labelled = spec(Kind::Batch, 3, 1_000, 10_000);
    labelled.labels = vec!["season".into()];
    for i in 0..50 {
        world.submit(&format!("plan-{i}"), &labelled).unwrap();
    }
    world.settle();
    let now = world.now;
    let mut out = Vec::new();
    let n = world.engine().cancel_by_label(now, &AccountId::from("account"), "season", &mut out);
    assert_eq!(n, 50);
    let last = world.owners.len() - 1;
    world.carry_out(last, out);
    world.settle();
    assert_eq!(world.answer("plan-0").unwrap().outcome, Outcome::Cancelled);
    assert_eq!(world.answer("plan-49").unwrap().outcome, Outcome::Cancelled);
    assert!(world.answer("plan-0").unwrap().had_begun);
    assert!(!world.answer("plan-49").unwrap().had_begun);
    assert!(world.engine().find(&key("plan-3")).is_some());
}

#[test]
fn overuse_of_processors_is_throttled_and_of_memory_stopped_and_failed() {
    let mut world = World::new(policy(), 1);
    world.submit("greedy", &spec(Kind::Batch, 2, 1_000, 60_000)).unwrap();
    world.settle();
    let id = world.worker_id(0);
    let tasks: Vec<TaskId> = world.workers[&id].running.keys().copied().collect();
    let now = world.now;
    let use_of = |task, cpu_milli, memory_mib| TaskUsage { task, cpu_milli, memory_mib };
    let mut out = Vec::new();
    let honest = [use_of(tasks[0], 1_050, 105), use_of(tasks[1], 900, 90)];
    world.engine().usage_reported(now, &id, false, &honest, &mut out);
    assert!(out.is_empty(), "{out:?}");
    let greedy = [use_of(tasks[0], 2_000, 90), use_of(tasks[1], 1_000, 200)];
    world.engine().usage_reported(now, &id, false, &greedy, &mut out);
    assert!(matches!(out[0], Action::Throttle { cpu_milli: 1_000, .. }), "{out:?}");
    assert!(matches!(out[1], Action::Stop { .. }), "{out:?}");
    let last = world.owners.len() - 1;
    world.carry_out(last, out);
    world.run(1_000);
    // The one that used too much memory has failed and is not tried again.
    assert_eq!(world.running("greedy"), 1);
    world.run(70_000);
    let answer = world.answer("greedy").unwrap();
    assert_eq!(answer.outcome, Outcome::Failed);
    assert!(answer.message.contains("200 MiB"), "{}", answer.message);
}

#[test]
fn two_gangs_that_each_need_the_cell_never_hold_halves() {
    let mut world = World::new(policy(), 4);
    for i in 0..4 {
        world.submit_as("one", &format!("a-{i}"), &spec(Kind::Gang, 12, 1_000, 500)).unwrap();
        world.submit_as("two", &format!("b-{i}"), &spec(Kind::Gang, 12, 1_000, 500)).unwrap();
    }
    for _ in 0..200 {
        world.step();
        let running: usize = world.workers.values().map(|w| w.running.len()).sum();
        assert!(running == 0 || running == 12, "{running} tasks of gangs of 12 run");
    }
    assert_eq!(world.engine().requests().1, 0);
}

#[test]
fn small_work_is_not_starved_by_gangs_that_keep_coming() {
    let mut world = World::new(policy(), 4);
    for i in 0..60 {
        world.submit_as("gangs", &format!("g-{i}"), &spec(Kind::Gang, 8, 2_000, 400)).unwrap();
    }
    world.submit_as("small", "s", &spec(Kind::Batch, 4, 1_000, 400)).unwrap();
    world.run(5_000);
    let key = RequestKey::new(&AccountId::from("small"), "s");
    let engine = world.engine();
    let no = engine.find(&key).unwrap();
    assert!(engine.view(no).unwrap().answer.is_some());
}

#[test]
fn by_the_members_promises_a_check_runs_in_a_stall_and_batch_work_does_not() {
    let mut world = World::new(policy(), 2);
    world.stalled = true;
    world.run(100);
    world.promise(4_000);
    assert!(world.submit("batch", &spec(Kind::Batch, 1, 500, 100)).is_err());
    // One that may outlive the promises is refused, and so is one that may not repeat.
    assert!(world.submit("long", &spec(Kind::Check, 1, 500, 3_000)).is_err());
    let mut once = spec(Kind::Check, 1, 500, 100);
    once.repeatable = false;
    assert!(world.submit("once", &once).is_err());
    world.submit("check", &spec(Kind::Check, 1, 500, 100)).unwrap();
    world.run(500);
    let engine = world.engine();
    let no = engine.find(&key("check")).unwrap();
    let view = engine.view(no).unwrap();
    assert_eq!(view.answer.unwrap().outcome, Outcome::Done);
    assert!(!view.durable);
    // Once the promises have ended there is nothing to do, however much waits.
    world.run(5_000);
    let now = world.now;
    assert!(!world.engine().needs_decide(now));
    world.stalled = false;
    world.run(500);
    let engine = world.engine();
    assert!(engine.view(no).unwrap().durable);
}

#[test]
fn while_the_ledger_stalls_new_work_is_refused_as_not_run_and_nothing_is_placed() {
    let mut world = World::new(policy(), 2);
    world.submit("before", &spec(Kind::Batch, 12, 1_000, 400)).unwrap();
    world.settle();
    world.stalled = true;
    world.run(100);
    let placed = world.engine().stats().placed;
    let e = world.submit("during", &spec(Kind::Check, 1, 100, 100)).unwrap_err();
    assert_eq!(e.kind, ErrorKind::Unavailable);
    assert!(e.retry_after_ms.is_some());
    world.run(2_000);
    assert_eq!(world.engine().stats().placed, placed);
    world.stalled = false;
    world.run(2_000);
    assert_eq!(world.answer("before").unwrap().outcome, Outcome::Done);
}

#[test]
fn a_check_that_was_placed_when_the_stall_began_starts_by_the_promises() {
    let mut world = World::new(policy(), 2);
    let owner = world.owners.len() - 1;
    world.submit("check", &spec(Kind::Check, 1, 500, 100)).unwrap();
    world.submit("batch", &spec(Kind::Batch, 1, 500, 100)).unwrap();
    // Both are placed, and their intents meet a ledger that can't be written.
    world.decide(owner);
    world.stalled = true;
    world.run(300);
    assert_eq!(world.engine().stats().started, 0);
    world.promise(4_000);
    world.run(500);
    assert_eq!(world.answer("check").unwrap().outcome, Outcome::Done);
    assert_eq!(world.answer("batch"), None);
    world.stalled = false;
    world.run(500);
    assert_eq!(world.answer("batch").unwrap().outcome, Outcome::Done);
}
