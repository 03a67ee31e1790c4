//! Guarantees that hold when processes, workers or the platform fail.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{
    Cell, Options, error_kind, final_answer, retry_after_ms, spec, submit_with_retries, wait_for,
};
use hollowford_protocol::v1::{Kind, Outcome, RequestSpec};
use serde_json::json;
use std::time::{Duration, Instant};

/// Short task leases, so that tests wait less for their end.
fn short_leases() -> serde_json::Value {
    json!({
        "task_lease_ms": 2_000, "renew_every_ms": 500, "renewal_bound_ms": 2_000,
        "drift_margin_ms": 200,
    })
}

fn non_repeatable(name: &str, tasks: u32, run_ms: u64) -> RequestSpec {
    let mut s = spec(Kind::Batch, tasks, 500, run_ms);
    s.repeatable = false;
    s.payload = format!("name={name}").into_bytes();
    s
}

fn all_except(callers: &[common::Caller], excluded: usize) -> Vec<common::Caller> {
    let remaining = callers.iter().enumerate().filter(|(i, _)| *i != excluded);
    remaining.map(|(_, c)| c.clone()).collect()
}

#[tokio::test]
async fn a_killed_owner_loses_and_doubles_no_request() {
    let mut cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let owner = cell.owner(0).await;
    let callers = cell.callers("university").await;
    let rest = all_except(&callers, owner);
    for i in 0..20 {
        let body = non_repeatable(&format!("once-{i}"), 2, 400);
        submit_with_retries(&rest, &format!("once-{i}"), &body).await;
        submit_with_retries(&rest, &format!("batch-{i}"), &spec(Kind::Batch, 4, 500, 300)).await;
    }
    cell.entries[owner].kill();
    let killed = Instant::now();
    let view = submit_with_retries(&rest, "after", &spec(Kind::Check, 1, 100, 10)).await;
    println!("accepted again {:?} after the kill, epoch {}", killed.elapsed(), view.epoch);
    assert!(view.epoch >= 2);
    for i in 0..20 {
        for id in [format!("once-{i}"), format!("batch-{i}")] {
            let answer = final_answer(&rest, &id).await.answer.unwrap();
            assert_eq!(answer.outcome(), Outcome::Done, "{id}: {answer:?}");
        }
    }
    let summary = cell.assert_no_violations();
    for (name, n) in &summary.starts_by_name {
        assert_eq!(*n, 2, "{name}: each of two tasks must start once");
    }
}

#[tokio::test]
async fn a_caller_waiting_at_another_process_gets_its_answer_after_the_owner_is_killed() {
    let mut cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let owner = cell.owner(0).await;
    let callers = cell.callers("university").await;
    let rest = all_except(&callers, owner);
    let body = non_repeatable("waited", 1, 1_500);
    let caller = rest[0].clone();
    let waiting = tokio::spawn(async move { caller.submit("waited", &body, true).await });
    wait_for("the task runs", || async {
        rest[1].get("waited").await.ok().filter(|v| v.running == 1).map(|_| ())
    })
    .await;
    cell.entries[owner].kill();
    let view = waiting.await.unwrap().unwrap();
    assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    assert_eq!(cell.assert_no_violations().starts_by_name["waited"], 1);
}

#[tokio::test]
async fn an_owner_paused_past_its_lease_decides_nothing_when_it_resumes() {
    let cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let owner = cell.owner(0).await;
    let callers = cell.callers("university").await;
    let rest = all_except(&callers, owner);
    for i in 0..10 {
        let body = non_repeatable(&format!("before-{i}"), 4, 300);
        submit_with_retries(&rest, &format!("before-{i}"), &body).await;
    }
    cell.entries[owner].pause();
    for i in 0..10 {
        let body = non_repeatable(&format!("during-{i}"), 4, 300);
        submit_with_retries(&rest, &format!("during-{i}"), &body).await;
    }
    cell.entries[owner].resume();
    // Also through the process that was paused.
    for i in 0..10 {
        for name in ["before", "during"] {
            let view = final_answer(&callers, &format!("{name}-{i}")).await;
            assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
        }
    }
    let summary = cell.assert_no_violations();
    assert!(summary.starts_by_name.values().all(|n| *n == 4), "{:?}", summary.starts_by_name);
    wait_for("the old owner owns no partition", || async {
        let state = cell.state(owner).await?;
        state["partitions"].as_array()?.is_empty().then_some(())
    })
    .await;
}

#[tokio::test]
async fn replacing_every_process_under_load_fails_no_call() {
    let mut cell = Cell::start(Options { workers_per_process: 16, ..Options::default() }).await;
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (tx, balancer) = tokio::sync::watch::channel(addresses(&cell, 0));
    let mut tasks = Vec::new();
    for n in 0..6 {
        tasks.push(tokio::spawn(submit_load(n, balancer.clone(), stop.clone())));
    }
    let watcher = cell.caller(0, "university").await;
    submit_with_retries(std::slice::from_ref(&watcher), "long", &non_repeatable("long", 1, 6_000))
        .await;
    for _ in 0..3 {
        // The balancer first adds the new process, then removes the old one.
        let new = cell.start_entry();
        cell.wait_ready().await;
        wait_for("the new process is ready", || async {
            let reply = common::http::get_text(&cell.entries[new].addr("admin"), "/readyz").await;
            reply.filter(|(status, _)| *status == 200)
        })
        .await;
        tx.send_replace(addresses(&cell, 1));
        cell.entries[0].terminate();
        let mut old = cell.entries.remove(0);
        assert!(old.wait_exit_success().await, "the process didn't exit successfully");
    }
    stop.store(true, std::sync::atomic::Ordering::Release);
    let mut calls = 0;
    for task in tasks {
        calls += task.await.unwrap();
    }
    println!("{calls} calls, none failed");
    // Every partition was handed over; none had to wait for a lease to lapse.
    let mut lapsed = 0;
    for i in 0..cell.entries.len() {
        let addr = cell.entries[i].addr("admin");
        lapsed += common::http::metric(&addr, "hollowford_takeovers_total{how=\"lapsed\"}").await;
    }
    assert_eq!(lapsed, 0, "takeovers by a lapsed lease");
    let callers = cell.callers("university").await;
    let view = final_answer(&callers, "long").await;
    assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    let summary = cell.assert_no_violations();
    assert!(summary.starts_by_name.values().all(|n| *n == 1));
}

fn addresses(cell: &Cell, from: usize) -> Vec<String> {
    cell.entries[from..].iter().map(|e| e.addr("callers")).collect()
}

/// Smallest number of calls of each caller.
const MIN_LOAD_CALLS: usize = 20;

/// Submits requests one after the other through a load balancer and waits for each. Every call
/// must succeed. A process that stops may reply without the final answer, which is then fetched
/// through another process.
async fn submit_load(
    n: usize,
    addresses: tokio::sync::watch::Receiver<Vec<String>>,
    stop: std::sync::Arc<std::sync::atomic::AtomicBool>,
) -> usize {
    let mut calls = 0;
    while calls < MIN_LOAD_CALLS || !stop.load(std::sync::atomic::Ordering::Acquire) {
        let id = format!("load-{n}-{calls}");
        let body = non_repeatable(&id, 1, 20 + 40 * n as u64);
        let mut view = None;
        while view
            .as_ref()
            .is_none_or(|v: &hollowford_protocol::v1::RequestView| v.answer.is_none())
        {
            let now = addresses.borrow().clone();
            let addr = &now[calls % now.len()];
            let caller = common::Caller::connect(addr, &common::cell::token_of("university")).await;
            let reply = match view {
                None => caller.submit(&id, &body, true).await,
                Some(_) => caller.get_final(&id).await,
            };
            view = Some(reply.unwrap_or_else(|e| panic!("{id} through {addr}: {e}")));
        }
        assert_eq!(view.unwrap().answer.unwrap().outcome(), Outcome::Done);
        calls += 1;
    }
    calls
}

#[tokio::test]
async fn a_store_outage_ends_no_running_work_and_refuses_new_work_at_once() {
    let mut policy = short_leases();
    policy["renewal_bound_ms"] = json!(60_000);
    let options = Options { partitions: 1, policy, ..Options::default() };
    let cell = Cell::start(options).await;
    let callers = cell.callers("university").await;
    submit_with_retries(&callers, "running", &non_repeatable("running", 4, 5_000)).await;
    wait_for("it runs", || async {
        callers[0].get("running").await.ok().filter(|v| v.running == 4).map(|_| ())
    })
    .await;
    cell.set_faults(json!({ "outage": true })).await;
    // Calls in flight when the outage begins may fail as "unknown". Once the outage is detected,
    // new work is refused as not run, with a retry delay.
    let mut refused = Vec::new();
    for i in 0..20 {
        let id = format!("new-{i}");
        let started = Instant::now();
        let status =
            callers[i % 3].submit(&id, &non_repeatable(&id, 1, 10), false).await.unwrap_err();
        println!("{id}: {} after {:?}", error_kind(&status), started.elapsed());
        match error_kind(&status) {
            "unavailable" => refused.push(id),
            kind => assert_eq!((kind, refused.len()), ("unknown", 0), "{status:?}"),
        }
        assert!(retry_after_ms(&status).is_some());
    }
    assert!(refused.len() >= 15, "{refused:?}");
    // Running tasks stay alive past the ownership lease and the task lease.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    cell.set_faults(json!({})).await;
    let view = final_answer(&callers, "running").await;
    assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    // Refused requests did not run and may be submitted again.
    let summary = cell.assert_no_violations();
    assert_eq!(summary.starts_by_name["running"], 4);
    for id in &refused {
        assert_eq!(summary.starts_by_name.get(id), None, "{id}");
        submit_with_retries(&callers, id, &non_repeatable(id, 1, 10)).await;
        let view = final_answer(&callers, id).await;
        assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    }
    let summary = cell.assert_no_violations();
    assert!(refused.iter().all(|id| summary.starts_by_name[id] == 1));
}

#[tokio::test]
async fn writes_with_lost_replies_are_applied_once() {
    let cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let callers = cell.callers("university").await;
    for i in 0..15 {
        cell.set_faults(json!({ "lose_replies": 2 })).await;
        let body = non_repeatable(&format!("lost-{i}"), 2, 20);
        submit_with_retries(&callers, &format!("lost-{i}"), &body).await;
    }
    cell.set_faults(json!({})).await;
    for i in 0..15 {
        let view = final_answer(&callers, &format!("lost-{i}")).await;
        assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    }
    let summary = cell.assert_no_violations();
    assert!(summary.starts_by_name.values().all(|n| *n == 2), "{:?}", summary.starts_by_name);
}

#[tokio::test]
async fn an_owner_killed_with_a_lost_ledger_reply_starts_nothing_twice() {
    let mut cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let owner = cell.owner(0).await;
    let callers = cell.callers("university").await;
    let rest = all_except(&callers, owner);
    submit_with_retries(&rest, "warm", &non_repeatable("warm", 1, 10)).await;
    cell.set_faults(json!({ "lose_replies": 50 })).await;
    let body = non_repeatable("doubtful", 3, 200);
    let caller = rest[0].clone();
    let submitted = tokio::spawn(async move { caller.submit("doubtful", &body, false).await });
    tokio::time::sleep(Duration::from_millis(30)).await;
    cell.entries[owner].kill();
    cell.set_faults(json!({})).await;
    // Whatever the result of the first call is, the caller submits again under the same id.
    let _ = submitted.await.unwrap();
    submit_with_retries(&rest, "doubtful", &non_repeatable("doubtful", 3, 200)).await;
    let answer = final_answer(&rest, "doubtful").await.answer.unwrap();
    let summary = cell.assert_no_violations();
    assert_eq!(answer.outcome(), Outcome::Done, "{answer:?}");
    assert_eq!(summary.starts_by_name["doubtful"], 3);
}

#[tokio::test]
async fn a_paused_worker_ends_lapsed_tasks_and_they_run_elsewhere_once_at_a_time() {
    let options = Options {
        partitions: 1,
        worker_processes: 2,
        workers_per_process: 2,
        policy: short_leases(),
        ..Options::default()
    };
    let cell = Cell::start(options).await;
    let callers = cell.callers("university").await;
    // Fills half of the cell, so that the other half has capacity while one is paused.
    submit_with_retries(&callers, "again", &spec(Kind::Batch, 8, 1_000, 4_000)).await;
    wait_for("all tasks run", || async {
        callers[0].get("again").await.ok().filter(|v| v.running == 8).map(|_| ())
    })
    .await;
    let paused = usize::from(cell.record_lines()[0].worker.starts_with("g1"));
    cell.workers[paused].pause();
    wait_for("its tasks run elsewhere", || async {
        (cell.record_summary().starts > 8).then_some(())
    })
    .await;
    // By now the tasks of the paused worker would have completed.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    cell.workers[paused].resume();
    let view = final_answer(&callers, "again").await;
    assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    let summary = cell.assert_no_violations();
    assert!(summary.starts > 8, "no task was started again");
}

#[tokio::test]
async fn non_repeatable_work_on_a_killed_worker_is_reported_as_may_have_run() {
    let options = Options {
        partitions: 1,
        worker_processes: 2,
        workers_per_process: 2,
        policy: short_leases(),
        ..Options::default()
    };
    let mut cell = Cell::start(options).await;
    let callers = cell.callers("university").await;
    for i in 0..8 {
        submit_with_retries(
            &callers,
            &format!("once-{i}"),
            &non_repeatable(&format!("once-{i}"), 1, 3_000),
        )
        .await;
        let body = spec(Kind::Batch, 1, 1_500, 1_500);
        submit_with_retries(&callers, &format!("again-{i}"), &body).await;
    }
    wait_for("the workers run tasks", || async {
        (cell.record_summary().starts >= 8).then_some(())
    })
    .await;
    let on_killed_worker = |line: &&hollowford_standin::record::Line| line.worker.starts_with("g0");
    let starts_before_kill =
        cell.record_lines().iter().filter(on_killed_worker).filter(|l| !l.name.is_empty()).count();
    cell.workers[0].kill();
    let mut uncertain = 0;
    for i in 0..8 {
        let answer = final_answer(&callers, &format!("once-{i}")).await.answer.unwrap();
        match answer.outcome() {
            Outcome::MayHaveRun => uncertain += 1,
            outcome => assert_eq!(outcome, Outcome::Done),
        }
        let answer = final_answer(&callers, &format!("again-{i}")).await.answer.unwrap();
        assert_eq!(answer.outcome(), Outcome::Done);
    }
    assert_eq!(uncertain, starts_before_kill, "tasks on the killed worker");
    let summary = cell.record_summary();
    assert!(summary.starts_by_name.values().all(|n| *n == 1), "{:?}", summary.starts_by_name);
}

#[tokio::test]
async fn a_leaving_instance_gets_no_new_work_even_if_the_worker_list_is_outdated() {
    let options = Options { partitions: 1, workers_per_process: 3, ..Options::default() };
    let cell = Cell::start(options).await;
    let callers = cell.callers("university").await;
    cell.set_faults(json!({ "freeze_list": true })).await;
    cell.inject_worker_fault(0, "leave/g0w000").await;
    wait_for("the owner knows", || async {
        let state = cell.state(cell.owner(0).await).await?;
        let workers = state["partitions"][0]["workers"].as_array()?.clone();
        workers.iter().any(|w| w["id"] == "g0w000" && w["leaving"] == true).then_some(())
    })
    .await;
    let lines_before = cell.record_lines().len();
    submit_with_retries(&callers, "work", &spec(Kind::Batch, 30, 1_000, 50)).await;
    final_answer(&callers, "work").await;
    let lines = cell.record_lines();
    assert!(lines[lines_before..].iter().all(|l| l.worker != "g0w000"));
    assert!(lines.len() > lines_before);
}

#[tokio::test]
async fn reports_lost_with_a_session_are_recovered_by_the_next_claim() {
    let cell =
        Cell::start(Options { partitions: 1, workers_per_process: 2, ..Options::default() }).await;
    let callers = cell.callers("university").await;
    for i in 0..20 {
        let body = non_repeatable(&format!("cut-{i}"), 3, 30);
        submit_with_retries(&callers, &format!("cut-{i}"), &body).await;
        cell.inject_worker_fault(0, &format!("cut/g0w00{}", i % 2)).await;
    }
    for i in 0..20 {
        let answer = final_answer(&callers, &format!("cut-{i}")).await.answer.unwrap();
        assert_eq!(answer.outcome(), Outcome::Done, "{answer:?}");
    }
    let summary = cell.assert_no_violations();
    assert!(summary.starts_by_name.values().all(|n| *n == 3), "{:?}", summary.starts_by_name);
}

#[tokio::test]
async fn a_cancellation_that_races_a_start_reports_whether_it_had_begun() {
    let cell =
        Cell::start(Options { partitions: 1, workers_per_process: 4, ..Options::default() }).await;
    let callers = cell.callers("university").await;
    for i in 0..40 {
        let id = format!("race-{i}");
        let body = non_repeatable(&id, 2, 30);
        let submit = callers[0].submit(&id, &body, false);
        submit.await.unwrap();
        // The request may have ended already.
        let _ = callers[1].cancel(&id).await;
    }
    for i in 0..40 {
        let id = format!("race-{i}");
        let answer = final_answer(&callers, &id).await.answer.unwrap();
        let starts = cell.record_summary().starts_by_name.get(&id).copied().unwrap_or(0);
        match answer.outcome() {
            Outcome::Cancelled => assert_eq!(answer.had_begun, starts > 0, "{id}: {answer:?}"),
            outcome => assert_eq!((outcome, starts), (Outcome::Done, 2), "{id}"),
        }
    }
    cell.assert_no_violations();
}

#[tokio::test]
async fn a_stop_during_an_outage_waits_for_the_store_and_keeps_the_work_alive() {
    let mut policy = short_leases();
    policy["renewal_bound_ms"] = json!(60_000);
    let options = Options { partitions: 1, policy, ..Options::default() };
    let mut cell = Cell::start(options).await;
    let owner = cell.owner(0).await;
    let callers = cell.callers("university").await;
    let rest = all_except(&callers, owner);
    submit_with_retries(&rest, "kept", &non_repeatable("kept", 2, 8_000)).await;
    wait_for("it runs", || async {
        rest[0].get("kept").await.ok().filter(|v| v.running == 2).map(|_| ())
    })
    .await;
    cell.set_faults(json!({ "outage": true })).await;
    cell.entries[owner].terminate();
    // Twice the task lease: without renewals the work would have lapsed.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    cell.set_faults(json!({})).await;
    assert!(cell.entries[owner].wait_exit_success().await);
    let answer = final_answer(&rest, "kept").await.answer.unwrap();
    assert_eq!(answer.outcome(), Outcome::Done);
    assert_eq!(cell.assert_no_violations().starts_by_name["kept"], 2);
}

#[tokio::test]
async fn a_slow_store_slows_but_fails_nothing() {
    let cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let callers = cell.callers("university").await;
    cell.set_faults(json!({ "slow_ms": 200 })).await;
    for i in 0..5 {
        submit_with_retries(
            &callers,
            &format!("slow-{i}"),
            &non_repeatable(&format!("slow-{i}"), 2, 20),
        )
        .await;
    }
    for i in 0..5 {
        let answer = final_answer(&callers, &format!("slow-{i}")).await.answer.unwrap();
        assert_eq!(answer.outcome(), Outcome::Done);
    }
    let summary = cell.assert_no_violations();
    assert!(summary.starts_by_name.values().all(|n| *n == 2));
}

#[tokio::test]
async fn partitions_spread_over_processes_that_join() {
    let options =
        Options { entries: 1, partitions: 6, workers_per_process: 12, ..Options::default() };
    let mut cell = Cell::start(options).await;
    let caller = cell.caller(0, "university").await;
    for i in 0..12 {
        let body = non_repeatable(&format!("spread-{i}"), 1, 3_000);
        submit_with_retries(std::slice::from_ref(&caller), &format!("spread-{i}"), &body).await;
    }
    cell.start_entry();
    cell.start_entry();
    wait_for("each owns two", || async {
        for i in 0..3 {
            if cell.state(i).await?["partitions"].as_array()?.len() != 2 {
                return None;
            }
        }
        Some(())
    })
    .await;
    let callers = cell.callers("university").await;
    for i in 0..12 {
        let answer = final_answer(&callers, &format!("spread-{i}")).await.answer.unwrap();
        assert_eq!(answer.outcome(), Outcome::Done);
    }
    let summary = cell.assert_no_violations();
    assert!(summary.starts_by_name.values().all(|n| *n == 1), "{:?}", summary.starts_by_name);
}

#[tokio::test]
async fn a_process_that_is_stopped_while_it_recovers_ends() {
    let mut cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let owner = cell.owner(0).await;
    let callers = cell.callers("university").await;
    submit_with_retries(&callers, "work", &spec(Kind::Batch, 1, 100, 10)).await;
    // The owner row can be written, but no rows can be read.
    cell.set_faults(json!({ "no_scans": "p/" })).await;
    cell.entries[owner].kill();
    cell.entries.remove(owner);
    let next = wait_for("another takes over", || async {
        for (i, e) in cell.entries.iter().enumerate() {
            let name = "hollowford_takeovers_total{how=\"lapsed\"}";
            if common::http::metric(&e.addr("admin"), name).await > 0 {
                return Some(i);
            }
        }
        None
    })
    .await;
    cell.entries[next].terminate();
    assert!(cell.entries[next].wait_exit_success().await);
}
