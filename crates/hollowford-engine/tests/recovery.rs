//! Takeovers, claims and the hard case: what a new owner may conclude, and when.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{World, policy, spec};
use hollowford_core::Kind;
use hollowford_core::prelude::*;
use hollowford_engine::{Action, Authority, ClaimReport, ClaimedTask, Engine, Outcome};

fn once(tasks: u32, run_ms: u64) -> Spec {
    let mut s = spec(Kind::Batch, tasks, 1_000, run_ms);
    s.repeatable = false;
    s
}

/// The old owner and worker 0 on one side of a cut; the new owner, the ledger and
/// the other workers on the other side.
fn cut_apart(world: &mut World) -> usize {
    let a = world.worker_id(0);
    let old = world.owners.len() - 1;
    for i in 1..world.workers.len() {
        let id = world.worker_id(i);
        world.cut(old, &id);
    }
    world.workers.get_mut(&a).unwrap().unlisted = false;
    world.takeover();
    old
}

/// Lets time pass in which the new owner can't reach worker 0.
fn pass_apart(world: &mut World, old: usize, ms: u64) {
    let a = world.worker_id(0);
    let new = world.owners.len() - 1;
    let until = world.now + Millis(ms);
    while world.now < until {
        world.now = world.now + Millis(50);
        let ids: Vec<InstanceId> = world.workers.keys().cloned().collect();
        for id in &ids {
            let worker = world.workers.get_mut(id).unwrap();
            worker.pass_time(world.now, &mut world.judge);
        }
        world.decide(old);
        world.deliver(old, &a);
        world.decide(new);
        world.write_ledger(new);
        world.decide(new);
        for id in ids.iter().filter(|id| **id != a) {
            if !world.owners[new].sessions.contains_key(id) {
                world.claim(new, id);
            }
            world.deliver(new, id);
        }
        world.check();
    }
}

#[test]
fn a_task_on_the_far_side_of_a_cut_is_held_and_others_start_at_once() {
    let mut world = World::new(policy(), 2);
    world.submit("far", &spec(Kind::Batch, 8, 1_000, 30_000)).unwrap();
    world.settle();
    let a = world.worker_id(0);
    assert_eq!(world.workers[&a].running.len(), 4);
    let old = cut_apart(&mut world);
    world.submit("new", &spec(Kind::Batch, 1, 500, 100)).unwrap();
    world.submit("urgent", &spec(Kind::Check, 1, 500, 100)).unwrap();
    pass_apart(&mut world, old, 2_000);
    // The old owner keeps what runs alive, so it runs nowhere else.
    assert_eq!(world.workers[&a].running.len(), 4);
    assert_eq!(world.answer("urgent").unwrap().outcome, Outcome::Done);
    // The cut ends: the claim tells that the tasks run.
    world.step();
    assert_eq!(world.running("far"), 8);
}

#[test]
fn a_task_on_the_far_side_starts_elsewhere_once_its_leases_have_surely_ended() {
    let mut world = World::new(policy(), 2);
    world.submit("far", &spec(Kind::Batch, 8, 500, 120_000)).unwrap();
    world.settle();
    let a = world.worker_id(0);
    let on_a = world.workers[&a].running.len();
    assert!(on_a > 0);
    let old = cut_apart(&mut world);
    let bound = policy().renewal_bound;
    pass_apart(&mut world, old, bound.0 / 2);
    assert_eq!(world.workers[&a].running.len(), on_a);
    // The old owner's renewals end with the bound, and then the task leases do.
    pass_apart(&mut world, old, bound.0 + 15_000);
    assert_eq!(world.workers[&a].running.len(), 0);
    assert_eq!(world.running("far"), 8);
}

#[test]
fn what_is_not_repeatable_on_the_far_side_may_have_run() {
    let mut world = World::new(policy(), 2);
    world.submit("far", &once(8, 200_000)).unwrap();
    world.settle();
    let old = cut_apart(&mut world);
    // What runs on the near side ends as well: it may not be started again.
    let b = world.worker_id(1);
    pass_apart(&mut world, old, 40_000);
    assert!(!world.workers[&b].running.is_empty());
    assert_eq!(world.answer("far"), None);
    world.cancel("far");
    pass_apart(&mut world, old, 1_000);
    assert_eq!(world.answer("far").unwrap().outcome, Outcome::MayHaveRun);
}

/// The intents of a request are durable, and the owner is paused before it sends the
/// starts, until another has taken over. Returns the paused one, awake again.
fn pause_before_the_starts(world: &mut World, tasks: u32) -> usize {
    world.submit("late", &once(tasks, 1_000)).unwrap();
    let old = world.owners.len() - 1;
    world.decide(old);
    world.write_ledger(old);
    world.owners[old].paused = true;
    world.takeover();
    world.settle();
    world.owners[old].paused = false;
    old
}

#[test]
fn a_paused_owner_that_wakes_in_mid_decision_starts_nothing_on_claimed_workers() {
    let mut world = World::new(policy(), 2);
    let old = pause_before_the_starts(&mut world, 4);
    world.decide_as(old, Authority::Full);
    for i in 0..2 {
        let id = world.worker_id(i);
        world.deliver(old, &id);
    }
    world.check();
    world.run(5_000);
    assert_eq!(world.answer("late").unwrap().outcome, Outcome::Done);
}

#[test]
fn an_owner_of_an_earlier_epoch_can_not_claim_a_worker_back() {
    let mut world = World::new(policy(), 2);
    let old = pause_before_the_starts(&mut world, 8);
    for i in 0..2 {
        let id = world.worker_id(i);
        world.cut(old, &id);
        world.claim(old, &id);
        assert!(!world.owners[old].sessions.contains_key(&id));
    }
    world.decide_as(old, Authority::Full);
    for i in 0..2 {
        let id = world.worker_id(i);
        world.deliver(old, &id);
    }
    world.check();
    world.run(5_000);
    assert_eq!(world.answer("late").unwrap().outcome, Outcome::Done);
}

#[test]
fn a_worker_that_restarted_can_not_tell_and_the_answer_says_so() {
    let mut world = World::new(policy(), 1);
    world.submit("lost", &once(2, 10_000)).unwrap();
    world.submit("again", &spec(Kind::Batch, 2, 1_000, 1_000)).unwrap();
    world.settle();
    let id = world.worker_id(0);
    let World { workers, judge, .. } = &mut world;
    workers.get_mut(&id).unwrap().restart(judge);
    world.run(5_000);
    assert_eq!(world.answer("lost").unwrap().outcome, Outcome::MayHaveRun);
    assert_eq!(world.answer("again").unwrap().outcome, Outcome::Done);
}

/// Restarts the first worker that runs something.
fn restart_busy(world: &mut World) {
    let World { workers, judge, .. } = world;
    if let Some(w) = workers.values_mut().find(|w| !w.running.is_empty()) {
        w.restart(judge);
    }
}

/// Restarts workers that run something, until the request has its answer. Returns how often.
fn restart_until_answered(world: &mut World, id: &str) -> usize {
    for restarts in 0..20 {
        if world.answer(id).is_some() {
            return restarts;
        }
        world.run(3_000);
        restart_busy(world);
        world.run(3_000);
    }
    panic!("no answer after twenty restarts");
}

// What it runs restarts the worker, and a restarted worker knows of no task: nobody tells that it failed.
#[test]
fn a_repeatable_task_that_restarts_its_workers_is_given_up() {
    for tasks in [1, 2] {
        for kind in [Kind::Batch, Kind::Gang] {
            let mut world = World::new(policy(), 2);
            world.submit("restarts", &spec(kind, tasks, 1_000, 60_000)).unwrap();
            let restarts = restart_until_answered(&mut world, "restarts");
            assert_eq!(world.answer("restarts").unwrap().outcome, Outcome::Failed);
            assert!(restarts <= 5, "{restarts} restarts");
        }
    }
}

// Each restart is followed by a takeover, so that the count has to come from the ledger.
#[test]
fn restarts_under_a_task_count_across_takeovers() {
    for from_snapshot in [false, true] {
        let mut world = World::new(policy(), 2);
        world.submit("restarts", &spec(Kind::Batch, 1, 1_000, 60_000)).unwrap();
        for _ in 0..20 {
            if world.answer("restarts").is_some() {
                break;
            }
            world.run(3_000);
            restart_busy(&mut world);
            world.run(3_000);
            if from_snapshot {
                world.ledger = world.engine().snapshot();
            }
            world.takeover();
        }
        assert_eq!(world.answer("restarts").unwrap().outcome, Outcome::Failed);
    }
}

#[test]
fn restarts_long_after_a_start_are_not_counted() {
    let mut world = World::new(policy(), 2);
    world.submit("long", &spec(Kind::Batch, 1, 1_000, 60_000)).unwrap();
    for _ in 0..6 {
        world.run(25_000);
        restart_busy(&mut world);
    }
    assert!(world.answer("long").is_none());
    world.run(70_000);
    assert_eq!(world.answer("long").unwrap().outcome, Outcome::Done);
}

#[test]
fn tasks_that_the_ledger_does_not_know_are_stopped_and_their_room_is_not_given_away() {
    let mut engine = Engine::new(PartitionId(0), Epoch(3), policy());
    let mut out = Vec::new();
    engine.activate(Millis(1), &mut out);
    let id = InstanceId::from("w");
    let listed = hollowford_engine::WorkerListing {
        id: id.clone(),
        zone: "z".into(),
        rack: "r".into(),
        leaving: false,
    };
    engine.set_worker_list(Millis(1), &[listed], &mut out);
    let unknown = TaskId { request: RequestNo(7), index: 0, attempt: 1 };
    let claim = ClaimReport {
        incarnation: 1,
        clock: 5,
        capacity: Resources::new(4_000, 8_000, 0),
        leaving: false,
        running: vec![ClaimedTask { task: unknown, resources: Resources::new(3_000, 100, 0) }],
        ended: Vec::new(),
    };
    out.clear();
    engine.worker_claimed(Millis(1), &id, &claim, &mut out);
    let stop = Action::Stop { worker: id.clone(), task: unknown, checkpoint: false };
    assert!(out.contains(&stop), "{out:?}");
    let key = RequestKey::new(&AccountId::from("a"), "r");
    engine.submit(Millis(2), &key, &spec(Kind::Batch, 1, 2_000, 100), &mut out).unwrap();
    out.clear();
    engine.decide(Millis(2), Authority::Full, &mut out);
    assert!(!out.iter().any(|a| matches!(a, Action::Append { .. })), "{out:?}");
    let end = hollowford_engine::EndReport {
        task: unknown,
        end: hollowford_engine::TaskEnd::Stopped("".into()),
        ran: Millis(1),
    };
    engine.task_ended(Millis(3), &id, &end, &mut out);
    out.clear();
    engine.decide(Millis(3), Authority::Full, &mut out);
    assert!(out.iter().any(|a| matches!(a, Action::Append { .. })), "{out:?}");
}

#[test]
fn a_snapshot_replayed_is_the_state_that_it_was_taken_of() {
    let mut world = World::new(policy(), 4);
    world.submit("done", &spec(Kind::Batch, 3, 500, 100)).unwrap();
    world.submit("runs", &once(6, 60_000)).unwrap();
    world.submit("gang", &spec(Kind::Gang, 2, 1_000, 60_000)).unwrap();
    world.submit("service", &spec(Kind::Service, 2, 500, 0)).unwrap();
    world.settle();
    world.submit("waits", &spec(Kind::Batch, 40, 4_000, 60_000)).unwrap();
    world.submit("gone", &spec(Kind::Batch, 2, 4_000, 60_000)).unwrap();
    world.cancel("gone");
    world.settle();
    let snapshot = world.engine().snapshot();
    let now = world.now;
    let mut copy = Engine::new(PartitionId(0), Epoch(9), policy());
    for record in snapshot.clone() {
        copy.replay(now, record);
    }
    assert_eq!(copy.snapshot(), snapshot);
    // The work goes on from it.
    world.ledger = snapshot;
    let last = world.owners.len() - 1;
    world.owners[last].deposed = true;
    world.takeover();
    world.settle();
    assert_eq!(world.running("runs"), 6);
    assert_eq!(world.running("gang"), 2);
    assert_eq!(world.running("service"), 2);
    assert_eq!(world.answer("done").unwrap().outcome, Outcome::Done);
    assert_eq!(world.answer("gone").unwrap().outcome, Outcome::Cancelled);
}

#[test]
fn when_the_promises_have_ended_nothing_unledgered_runs() {
    let mut world = World::new(policy(), 1);
    world.stalled = true;
    world.run(100);
    world.promise(4_000);
    let mut check = spec(Kind::Check, 1, 500, 1_000);
    world.submit("check", &check).unwrap();
    world.step();
    world.step();
    let id = world.worker_id(0);
    assert_eq!(world.workers[&id].running.len(), 1);
    // It runs longer than it was declared to, and the owner renews as it does.
    for r in world.workers.get_mut(&id).unwrap().running.values_mut() {
        r.ends_at = u64::MAX;
    }
    world.run(4_000);
    assert_eq!(world.workers[&id].running.len(), 0);
    // The next owner knows nothing of it, and the caller may repeat it.
    world.stalled = false;
    world.owners.last_mut().unwrap().paused = true;
    world.takeover();
    world.settle();
    check.run_time_ms = 1_000;
    world.submit("check", &check).unwrap();
    world.run(2_000);
    assert_eq!(world.answer("check").unwrap().outcome, Outcome::Done);
}

#[test]
fn an_outcome_is_forgotten_by_its_worker_only_once_the_ledger_has_it() {
    let mut world = World::new(policy(), 1);
    world.submit("once", &once(1, 1_000)).unwrap();
    world.settle();
    let id = world.worker_id(0);
    let old = world.owners.len() - 1;
    // It ends and is reported; the ledger has taken an earlier record only when the
    // owner is gone.
    world.submit("other", &spec(Kind::Batch, 1, 500, 100)).unwrap();
    world.now = world.now + Millis(1_000);
    let World { workers, judge, now, .. } = &mut world;
    workers.get_mut(&id).unwrap().pass_time(*now, judge);
    world.deliver(old, &id);
    let (seq, record) = world.owners[old].pending.pop_front().unwrap();
    world.ledger.push(record);
    let mut out = Vec::new();
    world.owners[old].engine.set_durable(seq, &mut out);
    world.carry_out(old, out);
    world.deliver(old, &id);
    world.owners[old].paused = true;
    world.takeover();
    world.settle();
    world.run(2_000);
    assert_eq!(world.answer("once").unwrap().outcome, Outcome::Done);
}
