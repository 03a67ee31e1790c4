//! Pairs of concurrent failures under load. No request may be lost, run twice or answered wrongly.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Cell, Options, final_answer, spec, submit_with_retries};
use hollowford_protocol::v1::{Kind, Outcome};
use serde_json::json;
use std::time::Duration;
use yare::parameterized;

/// A failure to inject and, if possible, to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    OwnerKilled,
    OwnerPaused,
    OwnerStopped,
    Outage,
    LostReplies,
    SlowStore,
    SessionsDisconnected,
    WorkersPaused,
    WorkerLeaves,
}

/// How long both failures last.
const FAULT_DURATION: Duration = Duration::from_millis(2_500);
const REQUESTS: usize = 12;

async fn inject(cell: &mut Cell, owner: usize, fault: Fault, store: &mut serde_json::Value) {
    match fault {
        Fault::OwnerKilled => cell.entries[owner].kill(),
        Fault::OwnerPaused => cell.entries[owner].pause(),
        Fault::OwnerStopped => cell.entries[owner].terminate(),
        Fault::Outage => store["outage"] = json!(true),
        Fault::LostReplies => store["lose_replies"] = json!(20),
        Fault::SlowStore => store["slow_ms"] = json!(120),
        Fault::SessionsDisconnected => {
            for i in 0..4 {
                cell.inject_worker_fault(0, &format!("cut/g0w00{i}")).await;
            }
        }
        Fault::WorkersPaused => cell.workers[0].pause(),
        Fault::WorkerLeaves => cell.inject_worker_fault(0, "leave/g0w000").await,
    }
    cell.set_faults(store.clone()).await;
}

async fn end_fault(cell: &mut Cell, owner: usize, fault: Fault) {
    match fault {
        Fault::OwnerPaused => cell.entries[owner].resume(),
        Fault::WorkersPaused => cell.workers[0].resume(),
        _ => {}
    }
    cell.set_faults(json!({})).await;
}

async fn run_with_faults(faults: [Fault; 2]) {
    let policy = json!({
        "task_lease_ms": 3_000, "renew_every_ms": 700, "renewal_bound_ms": 10_000,
        "drift_margin_ms": 200,
    });
    let options = Options {
        partitions: 1,
        worker_processes: 2,
        workers_per_process: 4,
        policy,
        ..Options::default()
    };
    let mut cell = Cell::start(options).await;
    let owner = cell.owner(0).await;
    let mut callers = cell.callers("university").await;
    callers.remove(owner);
    let mut store = json!({});
    let submit = |i: usize, callers: Vec<common::Caller>| async move {
        let mut once = spec(Kind::Batch, 2, 500, 300);
        once.repeatable = false;
        once.payload = format!("name=once-{i}").into_bytes();
        submit_with_retries(&callers, &format!("once-{i}"), &once).await;
        submit_with_retries(&callers, &format!("again-{i}"), &spec(Kind::Batch, 3, 500, 200)).await;
        submit_with_retries(&callers, &format!("check-{i}"), &spec(Kind::Check, 1, 200, 20)).await;
    };
    for i in 0..REQUESTS / 2 {
        submit(i, callers.clone()).await;
    }
    inject(&mut cell, owner, faults[0], &mut store).await;
    inject(&mut cell, owner, faults[1], &mut store).await;
    let rest = (REQUESTS / 2..REQUESTS).map(|i| tokio::spawn(submit(i, callers.clone())));
    let rest: Vec<_> = rest.collect();
    tokio::time::sleep(FAULT_DURATION).await;
    end_fault(&mut cell, owner, faults[0]).await;
    end_fault(&mut cell, owner, faults[1]).await;
    for task in rest {
        task.await.unwrap();
    }
    for i in 0..REQUESTS {
        for kind in ["again", "check"] {
            let answer = final_answer(&callers, &format!("{kind}-{i}")).await.answer.unwrap();
            assert_eq!(answer.outcome(), Outcome::Done, "{kind}-{i}: {answer:?}");
        }
        let answer = final_answer(&callers, &format!("once-{i}")).await.answer.unwrap();
        let starts =
            cell.record_summary().starts_by_name.get(&format!("once-{i}")).copied().unwrap_or(0);
        assert!(starts <= 2, "once-{i} was started {starts} times");
        match answer.outcome() {
            Outcome::Done => assert_eq!(starts, 2),
            // Only tasks on a worker paused past its leases may have an unknown outcome.
            Outcome::MayHaveRun => assert!(faults.contains(&Fault::WorkersPaused), "{answer:?}"),
            other => panic!("once-{i}: {other:?}"),
        }
    }
    cell.assert_no_violations();
}

#[parameterized(
    killed_and_lost_replies = { Fault::OwnerKilled, Fault::LostReplies },
    killed_and_outage = { Fault::Outage, Fault::OwnerKilled },
    killed_and_sessions_disconnected = { Fault::SessionsDisconnected, Fault::OwnerKilled },
    killed_and_workers_paused = { Fault::WorkersPaused, Fault::OwnerKilled },
    paused_and_slow_store = { Fault::OwnerPaused, Fault::SlowStore },
    paused_and_outage = { Fault::OwnerPaused, Fault::Outage },
    paused_owner_and_paused_workers = { Fault::OwnerPaused, Fault::WorkersPaused },
    stopped_and_lost_replies = { Fault::LostReplies, Fault::OwnerStopped },
    stopped_and_worker_leaves = { Fault::WorkerLeaves, Fault::OwnerStopped },
    outage_and_sessions_disconnected = { Fault::Outage, Fault::SessionsDisconnected },
    outage_and_workers_paused = { Fault::Outage, Fault::WorkersPaused },
)]
fn two_failures_at_once(first: Fault, second: Fault) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    rt.block_on(run_with_faults([first, second]));
}
