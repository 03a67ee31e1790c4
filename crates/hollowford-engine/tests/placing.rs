//! Placement: which task starts on which worker, and when.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Simulation, key, policy, spec};
use hollowford_core::prelude::*;
use hollowford_core::{Kind, Spread};
use hollowford_engine::{Action, Outcome, Policy, TaskUsage};

#[test]
fn requests_of_every_kind_complete() {
    let mut sim = Simulation::new(policy(), 4);
    sim.submit("check", &spec(Kind::Check, 1, 500, 100)).unwrap();
    sim.submit("gang", &spec(Kind::Gang, 4, 2_000, 100)).unwrap();
    sim.submit("batch", &spec(Kind::Batch, 20, 1_000, 100)).unwrap();
    sim.run(3_000);
    for id in ["check", "gang", "batch"] {
        assert_eq!(sim.answer(id).unwrap().outcome, Outcome::Done, "{id}");
    }
}

#[test]
fn a_gang_as_large_as_the_cell_starts_despite_the_headroom() {
    let mut sim = Simulation::new(Policy { headroom: 0.1, ..policy() }, 3);
    sim.submit("gang", &spec(Kind::Gang, 6, 2_000, 100)).unwrap();
    sim.run(2_000);
    assert_eq!(sim.answer("gang").unwrap().outcome, Outcome::Done);
}

#[test]
fn a_gang_starts_while_batch_work_is_queued() {
    let mut sim = Simulation::new(policy(), 4);
    for i in 0..100 {
        sim.submit(&format!("batch-{i}"), &spec(Kind::Batch, 4, 1_000, 500)).unwrap();
    }
    sim.run(500);
    sim.submit_as("other", "gang", &spec(Kind::Gang, 4, 4_000, 200)).unwrap();
    let gang = RequestKey::new(&AccountId::from("other"), "gang");
    let mut seen = Vec::new();
    for _ in 0..200 {
        sim.step();
        let engine = sim.engine();
        let no = engine.find(&gang).unwrap();
        seen.push(engine.view(no).unwrap().running);
    }
    let engine = sim.engine();
    let no = engine.find(&gang).unwrap();
    let view = engine.view(no).unwrap();
    assert_eq!(view.answer.unwrap().outcome, Outcome::Done);
    assert!(view.waited.unwrap() < Millis(5_000), "{:?}", view.waited);
}

#[test]
fn urgent_work_preempts_batch_work_which_resumes_later() {
    let mut sim = Simulation::new(policy(), 2);
    sim.submit("batch", &spec(Kind::Batch, 8, 1_000, 60_000)).unwrap();
    sim.run(500);
    assert_eq!(sim.running("batch"), 8);
    sim.submit("check", &spec(Kind::Check, 1, 1_000, 100)).unwrap();
    sim.run(1_000);
    assert_eq!(sim.answer("check").unwrap().outcome, Outcome::Done);
    assert_eq!(sim.running("batch"), 8);
    assert_eq!(sim.engine().stats().preempted, 1);
}

#[test]
fn non_repeatable_work_is_never_preempted() {
    let mut sim = Simulation::new(policy(), 1);
    let mut batch = spec(Kind::Batch, 4, 1_000, 2_000);
    batch.repeatable = false;
    sim.submit("batch", &batch).unwrap();
    sim.run(500);
    sim.submit("check", &spec(Kind::Check, 1, 1_000, 100)).unwrap();
    sim.run(1_000);
    assert_eq!(sim.running("batch"), 4);
    sim.run(2_000);
    assert_eq!(sim.answer("check").unwrap().outcome, Outcome::Done);
    assert_eq!(sim.answer("batch").unwrap().outcome, Outcome::Done);
}

#[test]
fn impossible_work_is_refused_with_what_would_fit() {
    let mut sim = Simulation::new(policy(), 4);
    let e = sim.submit("large", &spec(Kind::Batch, 1, 5_000, 100)).unwrap_err();
    assert_eq!(e.kind, ErrorKind::Impossible);
    assert!(e.message.contains("4000 mcpu"), "{}", e.message);
    let e = sim.submit("wide", &spec(Kind::Gang, 17, 1_000, 100)).unwrap_err();
    assert_eq!(e.kind, ErrorKind::Impossible);
    let mut racked = spec(Kind::Gang, 3, 4_000, 100);
    racked.placement.same_rack = true;
    assert_eq!(sim.submit("racked", &racked).unwrap_err().kind, ErrorKind::Impossible);
}

#[test]
fn a_request_that_misses_its_start_deadline_is_answered_not_run() {
    let mut sim = Simulation::new(policy(), 1);
    sim.submit("long", &spec(Kind::Batch, 4, 1_000, 30_000)).unwrap();
    sim.run(300);
    let mut short = spec(Kind::Batch, 1, 1_000, 100);
    short.start_within_ms = 1_000;
    sim.submit("short", &short).unwrap();
    sim.run(900);
    assert_eq!(sim.answer("short"), None);
    sim.run(250);
    let answer = sim.answer("short").unwrap();
    assert_eq!((answer.outcome, &*answer.reason), (Outcome::NotRun, "given_up"));
}

#[test]
fn spread_tasks_run_on_different_instances() {
    let mut sim = Simulation::new(policy(), 4);
    let mut service = spec(Kind::Service, 4, 500, 0);
    service.placement.spread = Spread::Instance;
    sim.submit("service", &service).unwrap();
    sim.run_briefly();
    assert_eq!(sim.running("service"), 4);
    assert!(sim.workers.values().all(|w| w.running.len() == 1));
}

#[test]
fn client_accounts_of_equal_weight_get_equal_shares() {
    let mut sim = Simulation::new(policy(), 4);
    for i in 0..40 {
        let work = spec(Kind::Batch, 4, 1_000, 400);
        sim.submit_as("one", &format!("a-{i}"), &work).unwrap();
        sim.submit_as("two", &format!("b-{i}"), &work).unwrap();
    }
    sim.run(2_000);
    let used: Vec<u64> = sim
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
fn a_worker_that_fails_all_tasks_is_quarantined() {
    let mut sim = Simulation::new(policy(), 6);
    let failing = sim.worker_id(0);
    sim.workers.get_mut(&failing).unwrap().fails_all = true;
    for i in 0..30 {
        let account = format!("account-{}", i % 3);
        sim.submit_as(&account, &format!("job-{i}"), &spec(Kind::Batch, 2, 1_000, 300)).unwrap();
    }
    sim.run(20_000);
    assert!(sim.engine().stats().quarantined >= 1);
    let (_, open) = sim.engine().requests();
    assert_eq!(open, 0);
    let failed = sim.engine().stats().failed;
    assert!(failed <= 10, "{failed} attempts failed on one failing worker");
}

#[test]
fn services_move_off_a_leaving_instance() {
    let mut sim = Simulation::new(policy(), 3);
    sim.submit("service", &spec(Kind::Service, 3, 1_000, 0)).unwrap();
    sim.run_briefly();
    let busy: Vec<_> = sim
        .workers
        .iter()
        .filter(|(_, w)| !w.running.is_empty())
        .map(|(id, _)| id.clone())
        .collect();
    sim.workers.get_mut(&busy[0]).unwrap().leaving = true;
    sim.run(1_000);
    assert_eq!(sim.running("service"), 3);
    assert!(sim.workers[&busy[0]].running.is_empty());
}

#[test]
fn cancel_by_label_cancels_all_requests_with_the_label() {
    let mut sim = Simulation::new(policy(), 2);
    let mut labelled = spec(Kind::Batch, 3, 1_000, 10_000);
    labelled.labels = vec!["season".into()];
    for i in 0..50 {
        sim.submit(&format!("plan-{i}"), &labelled).unwrap();
    }
    sim.run_briefly();
    let now = sim.now;
    let mut out = Vec::new();
    let n = sim.engine().cancel_by_label(now, &AccountId::from("account"), "season", &mut out);
    assert_eq!(n, 50);
    let last = sim.owners.len() - 1;
    sim.execute(last, out);
    sim.run_briefly();
    assert_eq!(sim.answer("plan-0").unwrap().outcome, Outcome::Cancelled);
    assert_eq!(sim.answer("plan-49").unwrap().outcome, Outcome::Cancelled);
    assert!(sim.answer("plan-0").unwrap().had_begun);
    assert!(!sim.answer("plan-49").unwrap().had_begun);
    assert!(sim.engine().find(&key("plan-3")).is_some());
}

#[test]
fn cpu_overuse_is_throttled_and_memory_overuse_fails_the_task() {
    let mut sim = Simulation::new(policy(), 1);
    sim.submit("greedy", &spec(Kind::Batch, 2, 1_000, 60_000)).unwrap();
    sim.run_briefly();
    let id = sim.worker_id(0);
    let tasks: Vec<TaskId> = sim.workers[&id].running.keys().copied().collect();
    let now = sim.now;
    let use_of = |task, cpu_milli, memory_mib| TaskUsage { task, cpu_milli, memory_mib };
    let mut out = Vec::new();
    let honest = [use_of(tasks[0], 1_050, 105), use_of(tasks[1], 900, 90)];
    sim.engine().usage_reported(now, &id, false, &honest, &mut out);
    assert!(out.is_empty(), "{out:?}");
    let greedy = [use_of(tasks[0], 2_000, 90), use_of(tasks[1], 1_000, 200)];
    sim.engine().usage_reported(now, &id, false, &greedy, &mut out);
    assert!(matches!(out[0], Action::Throttle { cpu_milli: 1_000, .. }), "{out:?}");
    assert!(matches!(out[1], Action::Stop { .. }), "{out:?}");
    let last = sim.owners.len() - 1;
    sim.execute(last, out);
    sim.run(1_000);
    // The task that used too much memory has failed and is not tried again.
    assert_eq!(sim.running("greedy"), 1);
    sim.run(70_000);
    let answer = sim.answer("greedy").unwrap();
    assert_eq!(answer.outcome, Outcome::Failed);
    assert!(answer.message.contains("200 MiB"), "{}", answer.message);
}

#[test]
fn competing_gangs_never_run_partially() {
    let mut sim = Simulation::new(policy(), 4);
    for i in 0..4 {
        sim.submit_as("one", &format!("a-{i}"), &spec(Kind::Gang, 12, 1_000, 500)).unwrap();
        sim.submit_as("two", &format!("b-{i}"), &spec(Kind::Gang, 12, 1_000, 500)).unwrap();
    }
    for _ in 0..200 {
        sim.step();
        let running: usize = sim.workers.values().map(|w| w.running.len()).sum();
        assert!(running == 0 || running == 12, "{running} tasks run, of gangs with 12 tasks");
    }
    assert_eq!(sim.engine().requests().1, 0);
}

#[test]
fn small_tasks_are_not_starved_by_a_stream_of_gangs() {
    let mut sim = Simulation::new(policy(), 4);
    for i in 0..60 {
        sim.submit_as("gangs", &format!("g-{i}"), &spec(Kind::Gang, 8, 2_000, 400)).unwrap();
    }
    sim.submit_as("small", "s", &spec(Kind::Batch, 4, 1_000, 400)).unwrap();
    sim.run(5_000);
    let key = RequestKey::new(&AccountId::from("small"), "s");
    let engine = sim.engine();
    let no = engine.find(&key).unwrap();
    assert!(engine.view(no).unwrap().answer.is_some());
}

#[test]
fn only_short_repeatable_checks_run_while_the_ledger_is_stalled() {
    let mut sim = Simulation::new(policy(), 2);
    sim.stalled = true;
    sim.run(100);
    sim.promise_no_takeover(4_000);
    assert!(sim.submit("batch", &spec(Kind::Batch, 1, 500, 100)).is_err());
    // Checks that may outlast the promises or are not repeatable are refused.
    assert!(sim.submit("long", &spec(Kind::Check, 1, 500, 3_000)).is_err());
    let mut non_repeatable = spec(Kind::Check, 1, 500, 100);
    non_repeatable.repeatable = false;
    assert!(sim.submit("once", &non_repeatable).is_err());
    sim.submit("check", &spec(Kind::Check, 1, 500, 100)).unwrap();
    sim.run(500);
    let engine = sim.engine();
    let no = engine.find(&key("check")).unwrap();
    let view = engine.view(no).unwrap();
    assert_eq!(view.answer.unwrap().outcome, Outcome::Done);
    assert!(!view.durable);
    // After the promises have expired, nothing can be placed.
    sim.run(5_000);
    let now = sim.now;
    assert!(!sim.engine().needs_decide(now));
    sim.stalled = false;
    sim.run(500);
    let engine = sim.engine();
    assert!(engine.view(no).unwrap().durable);
}

#[test]
fn a_stalled_ledger_refuses_new_work_and_places_nothing() {
    let mut sim = Simulation::new(policy(), 2);
    sim.submit("before", &spec(Kind::Batch, 12, 1_000, 400)).unwrap();
    sim.run_briefly();
    sim.stalled = true;
    sim.run(100);
    let placed = sim.engine().stats().placed;
    let e = sim.submit("during", &spec(Kind::Check, 1, 100, 100)).unwrap_err();
    assert_eq!(e.kind, ErrorKind::Unavailable);
    assert!(e.retry_after_ms.is_some());
    sim.run(2_000);
    assert_eq!(sim.engine().stats().placed, placed);
    sim.stalled = false;
    sim.run(2_000);
    assert_eq!(sim.answer("before").unwrap().outcome, Outcome::Done);
}

#[test]
fn a_check_placed_before_the_stall_starts_once_members_promise() {
    let mut sim = Simulation::new(policy(), 2);
    let owner = sim.owners.len() - 1;
    sim.submit("check", &spec(Kind::Check, 1, 500, 100)).unwrap();
    sim.submit("batch", &spec(Kind::Batch, 1, 500, 100)).unwrap();
    // Both are placed, but the ledger stalls before their intents are durable.
    sim.decide(owner);
    sim.stalled = true;
    sim.run(300);
    assert_eq!(sim.engine().stats().started, 0);
    sim.promise_no_takeover(4_000);
    sim.run(500);
    assert_eq!(sim.answer("check").unwrap().outcome, Outcome::Done);
    assert_eq!(sim.answer("batch"), None);
    sim.stalled = false;
    sim.run(500);
    assert_eq!(sim.answer("batch").unwrap().outcome, Outcome::Done);
}
