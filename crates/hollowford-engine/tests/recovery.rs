//! Recovery: takeovers, claims, network partitions, and crashes of workers.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Simulation, policy, spec};
use hollowford_core::Kind;
use hollowford_core::prelude::*;
use hollowford_engine::{Action, Authority, ClaimReport, ClaimedTask, Engine, Outcome};

fn non_repeatable(tasks: u32, run_ms: u64) -> Spec {
    let mut s = spec(Kind::Batch, tasks, 1_000, run_ms);
    s.repeatable = false;
    s
}

/// Splits the network: the old owner and worker 0 on one side; a new owner, the ledger and
/// the other workers on the other side. Returns the index of the old owner.
fn partition_network(sim: &mut Simulation) -> usize {
    let a = sim.worker_id(0);
    let old = sim.owners.len() - 1;
    for i in 1..sim.workers.len() {
        let id = sim.worker_id(i);
        sim.disconnect(old, &id);
    }
    sim.workers.get_mut(&a).unwrap().unlisted = false;
    sim.takeover();
    old
}

/// Advances time while the new owner can't reach worker 0.
fn run_partitioned(sim: &mut Simulation, old: usize, ms: u64) {
    let a = sim.worker_id(0);
    let new = sim.owners.len() - 1;
    let until = sim.now + Millis(ms);
    while sim.now < until {
        sim.now = sim.now + Millis(50);
        let ids: Vec<InstanceId> = sim.workers.keys().cloned().collect();
        for id in &ids {
            let worker = sim.workers.get_mut(id).unwrap();
            worker.advance_time(sim.now, &mut sim.checker);
        }
        sim.decide(old);
        sim.deliver(old, &a);
        sim.decide(new);
        sim.write_ledger(new);
        sim.decide(new);
        for id in ids.iter().filter(|id| **id != a) {
            if !sim.owners[new].sessions.contains_key(id) {
                sim.claim(new, id);
            }
            sim.deliver(new, id);
        }
        sim.check();
    }
}

#[test]
fn a_task_behind_a_network_partition_stays_on_its_worker_while_other_work_starts() {
    let mut sim = Simulation::new(policy(), 2);
    sim.submit("far", &spec(Kind::Batch, 8, 1_000, 30_000)).unwrap();
    sim.run_briefly();
    let a = sim.worker_id(0);
    assert_eq!(sim.workers[&a].running.len(), 4);
    let old = partition_network(&mut sim);
    sim.submit("new", &spec(Kind::Batch, 1, 500, 100)).unwrap();
    sim.submit("urgent", &spec(Kind::Check, 1, 500, 100)).unwrap();
    run_partitioned(&mut sim, old, 2_000);
    // The old owner renews the leases, so the tasks must not run on another worker.
    assert_eq!(sim.workers[&a].running.len(), 4);
    assert_eq!(sim.answer("urgent").unwrap().outcome, Outcome::Done);
    // The network recovers. The claim reports that the tasks are running.
    sim.step();
    assert_eq!(sim.running("far"), 8);
}

#[test]
fn a_task_behind_a_network_partition_starts_elsewhere_after_its_lease() {
    let mut sim = Simulation::new(policy(), 2);
    sim.submit("far", &spec(Kind::Batch, 8, 500, 120_000)).unwrap();
    sim.run_briefly();
    let a = sim.worker_id(0);
    let on_a = sim.workers[&a].running.len();
    assert!(on_a > 0);
    let old = partition_network(&mut sim);
    let bound = policy().renewal_bound;
    run_partitioned(&mut sim, old, bound.0 / 2);
    assert_eq!(sim.workers[&a].running.len(), on_a);
    // The old owner stops renewing after the renewal bound, then the task leases end.
    run_partitioned(&mut sim, old, bound.0 + 15_000);
    assert_eq!(sim.workers[&a].running.len(), 0);
    assert_eq!(sim.running("far"), 8);
}

#[test]
fn a_non_repeatable_task_behind_a_network_partition_may_have_run() {
    let mut sim = Simulation::new(policy(), 2);
    sim.submit("far", &non_repeatable(8, 200_000)).unwrap();
    sim.run_briefly();
    let old = partition_network(&mut sim);
    // Tasks that the new owner can reach keep running. Those on worker 0 may not be started
    // again, since they may have run.
    let b = sim.worker_id(1);
    run_partitioned(&mut sim, old, 40_000);
    assert!(!sim.workers[&b].running.is_empty());
    assert_eq!(sim.answer("far"), None);
    sim.cancel("far");
    run_partitioned(&mut sim, old, 1_000);
    assert_eq!(sim.answer("far").unwrap().outcome, Outcome::MayHaveRun);
}

/// Pauses the owner after the intents of a request are durable and before it sends the
/// starts. Resumes it after another owner has taken over. Returns the index of the old owner.
fn pause_owner_before_starts(sim: &mut Simulation, tasks: u32) -> usize {
    sim.submit("late", &non_repeatable(tasks, 1_000)).unwrap();
    let old = sim.owners.len() - 1;
    sim.decide(old);
    sim.write_ledger(old);
    sim.owners[old].paused = true;
    sim.takeover();
    sim.run_briefly();
    sim.owners[old].paused = false;
    old
}

#[test]
fn an_old_owner_that_resumes_mid_decision_starts_nothing() {
    let mut sim = Simulation::new(policy(), 2);
    let old = pause_owner_before_starts(&mut sim, 4);
    sim.decide_as(old, Authority::Full);
    for i in 0..2 {
        let id = sim.worker_id(i);
        sim.deliver(old, &id);
    }
    sim.check();
    sim.run(5_000);
    assert_eq!(sim.answer("late").unwrap().outcome, Outcome::Done);
}

#[test]
fn an_owner_of_an_earlier_epoch_cannot_claim_a_worker() {
    let mut sim = Simulation::new(policy(), 2);
    let old = pause_owner_before_starts(&mut sim, 8);
    for i in 0..2 {
        let id = sim.worker_id(i);
        sim.disconnect(old, &id);
        sim.claim(old, &id);
        assert!(!sim.owners[old].sessions.contains_key(&id));
    }
    sim.decide_as(old, Authority::Full);
    for i in 0..2 {
        let id = sim.worker_id(i);
        sim.deliver(old, &id);
    }
    sim.check();
    sim.run(5_000);
    assert_eq!(sim.answer("late").unwrap().outcome, Outcome::Done);
}

#[test]
fn a_worker_restart_makes_non_repeatable_work_end_as_may_have_run() {
    let mut sim = Simulation::new(policy(), 1);
    sim.submit("lost", &non_repeatable(2, 10_000)).unwrap();
    sim.submit("again", &spec(Kind::Batch, 2, 1_000, 1_000)).unwrap();
    sim.run_briefly();
    let id = sim.worker_id(0);
    let Simulation { workers, checker, .. } = &mut sim;
    workers.get_mut(&id).unwrap().restart(checker);
    sim.run(5_000);
    assert_eq!(sim.answer("lost").unwrap().outcome, Outcome::MayHaveRun);
    assert_eq!(sim.answer("again").unwrap().outcome, Outcome::Done);
}

/// Restarts the first worker that has a running task.
fn restart_busy_worker(sim: &mut Simulation) {
    let Simulation { workers, checker, .. } = sim;
    if let Some(w) = workers.values_mut().find(|w| !w.running.is_empty()) {
        w.restart(checker);
    }
}

/// Restarts busy workers until the request has its answer. Returns the number of restarts.
fn restart_until_answered(sim: &mut Simulation, id: &str) -> usize {
    for restarts in 0..20 {
        if sim.answer(id).is_some() {
            return restarts;
        }
        sim.run(3_000);
        restart_busy_worker(sim);
        sim.run(3_000);
    }
    panic!("no answer after twenty restarts");
}

/// Guards against endless attempts of a task that crashes its worker: the restarted worker does not
/// know the task, so nothing reports its failure.
#[test]
fn a_repeatable_task_that_crashes_its_workers_fails() {
    for tasks in [1, 2] {
        for kind in [Kind::Batch, Kind::Gang] {
            let mut sim = Simulation::new(policy(), 2);
            sim.submit("restarts", &spec(kind, tasks, 1_000, 60_000)).unwrap();
            let restarts = restart_until_answered(&mut sim, "restarts");
            assert_eq!(sim.answer("restarts").unwrap().outcome, Outcome::Failed);
            assert!(restarts <= 5, "{restarts} restarts");
        }
    }
}

/// Guards against a crash count that is lost in a takeover: each restart is followed by one, so the
/// count must come from the ledger.
#[test]
fn crashes_of_a_task_are_counted_across_takeovers() {
    for from_snapshot in [false, true] {
        let mut sim = Simulation::new(policy(), 2);
        sim.submit("restarts", &spec(Kind::Batch, 1, 1_000, 60_000)).unwrap();
        for _ in 0..20 {
            if sim.answer("restarts").is_some() {
                break;
            }
            sim.run(3_000);
            restart_busy_worker(&mut sim);
            sim.run(3_000);
            if from_snapshot {
                sim.ledger = sim.engine().snapshot();
            }
            sim.takeover();
        }
        assert_eq!(sim.answer("restarts").unwrap().outcome, Outcome::Failed);
    }
}

#[test]
fn restarts_long_after_a_start_are_not_counted() {
    let mut sim = Simulation::new(policy(), 2);
    sim.submit("long", &spec(Kind::Batch, 1, 1_000, 60_000)).unwrap();
    for _ in 0..6 {
        sim.run(25_000);
        restart_busy_worker(&mut sim);
    }
    assert!(sim.answer("long").is_none());
    sim.run(70_000);
    assert_eq!(sim.answer("long").unwrap().outcome, Outcome::Done);
}

#[test]
fn foreign_tasks_are_stopped_and_their_resources_stay_occupied() {
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
fn replaying_a_snapshot_restores_the_state() {
    let mut sim = Simulation::new(policy(), 4);
    sim.submit("done", &spec(Kind::Batch, 3, 500, 100)).unwrap();
    sim.submit("runs", &non_repeatable(6, 60_000)).unwrap();
    sim.submit("gang", &spec(Kind::Gang, 2, 1_000, 60_000)).unwrap();
    sim.submit("service", &spec(Kind::Service, 2, 500, 0)).unwrap();
    sim.run_briefly();
    sim.submit("waits", &spec(Kind::Batch, 40, 4_000, 60_000)).unwrap();
    sim.submit("gone", &spec(Kind::Batch, 2, 4_000, 60_000)).unwrap();
    sim.cancel("gone");
    sim.run_briefly();
    let snapshot = sim.engine().snapshot();
    let now = sim.now;
    let mut copy = Engine::new(PartitionId(0), Epoch(9), policy());
    for record in snapshot.clone() {
        copy.replay(now, record);
    }
    assert_eq!(copy.snapshot(), snapshot);
    // A new owner can continue from the snapshot.
    sim.ledger = snapshot;
    let last = sim.owners.len() - 1;
    sim.owners[last].deposed = true;
    sim.takeover();
    sim.run_briefly();
    assert_eq!(sim.running("runs"), 6);
    assert_eq!(sim.running("gang"), 2);
    assert_eq!(sim.running("service"), 2);
    assert_eq!(sim.answer("done").unwrap().outcome, Outcome::Done);
    assert_eq!(sim.answer("gone").unwrap().outcome, Outcome::Cancelled);
}

#[test]
fn no_write_behind_task_runs_after_the_promises_expire() {
    let mut sim = Simulation::new(policy(), 1);
    sim.stalled = true;
    sim.run(100);
    sim.promise_no_takeover(4_000);
    let mut check = spec(Kind::Check, 1, 500, 1_000);
    sim.submit("check", &check).unwrap();
    sim.step();
    sim.step();
    let id = sim.worker_id(0);
    assert_eq!(sim.workers[&id].running.len(), 1);
    // The task runs longer than declared, and the owner keeps renewing leases.
    for r in sim.workers.get_mut(&id).unwrap().running.values_mut() {
        r.ends_at = u64::MAX;
    }
    sim.run(4_000);
    assert_eq!(sim.workers[&id].running.len(), 0);
    // The next owner does not know the request, and the caller may submit it again.
    sim.stalled = false;
    sim.owners.last_mut().unwrap().paused = true;
    sim.takeover();
    sim.run_briefly();
    check.run_time_ms = 1_000;
    sim.submit("check", &check).unwrap();
    sim.run(2_000);
    assert_eq!(sim.answer("check").unwrap().outcome, Outcome::Done);
}

#[test]
fn a_worker_keeps_an_outcome_until_it_is_durable() {
    let mut sim = Simulation::new(policy(), 1);
    sim.submit("once", &non_repeatable(1, 1_000)).unwrap();
    sim.run_briefly();
    let id = sim.worker_id(0);
    let old = sim.owners.len() - 1;
    // The task ends and reports it, but only an earlier record is durable when the owner
    // is replaced.
    sim.submit("other", &spec(Kind::Batch, 1, 500, 100)).unwrap();
    sim.now = sim.now + Millis(1_000);
    let Simulation { workers, checker, now, .. } = &mut sim;
    workers.get_mut(&id).unwrap().advance_time(*now, checker);
    sim.deliver(old, &id);
    let (seq, record) = sim.owners[old].pending.pop_front().unwrap();
    sim.ledger.push(record);
    let mut out = Vec::new();
    sim.owners[old].engine.set_durable(seq, &mut out);
    sim.execute(old, out);
    sim.deliver(old, &id);
    sim.owners[old].paused = true;
    sim.takeover();
    sim.run_briefly();
    sim.run(2_000);
    assert_eq!(sim.answer("once").unwrap().outcome, Outcome::Done);
}
