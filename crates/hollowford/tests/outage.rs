//! Quick checks while the store is down. They rely on the processes' promises not to take over.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{
    Caller, Cell, Options, error_kind, final_answer, retry_after_ms, spec, submit_with_retries,
    wait_for,
};
use hollowford_protocol::v1::{Kind, Outcome, RequestSpec, RequestView};
use serde_json::json;

fn check(name: &str, run_ms: u64) -> RequestSpec {
    let mut s = spec(Kind::Check, 1, 200, run_ms);
    s.payload = format!("name={name}").into_bytes();
    s
}

/// Submits checks with new ids until one is answered.
async fn answered_check(caller: &Caller, start: &str) -> (String, RequestView) {
    let mut tries = 0;
    wait_for("a check is answered", || {
        tries += 1;
        let id = format!("{start}-{tries}");
        async move {
            let view = caller.submit(&id, &check(&id, 20), true).await.ok()?;
            view.answer.is_some().then_some((id, view))
        }
    })
    .await
}

#[tokio::test]
async fn a_quick_check_is_answered_in_an_outage_and_durable_after_it() {
    let cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let callers = cell.callers("district-desk").await;
    submit_with_retries(&callers, "before", &check("before", 20)).await;
    final_answer(&callers, "before").await;
    cell.set_faults(json!({ "outage": true })).await;
    let mut ids = Vec::new();
    for caller in &callers {
        let (id, view) = answered_check(caller, &format!("outage-{}", ids.len())).await;
        let answer = view.answer.unwrap();
        assert_eq!(answer.outcome(), Outcome::Done);
        assert!(answer.not_durable);
        ids.push(id);
    }
    // Other work is refused and not run.
    let batch = spec(Kind::Batch, 1, 200, 20);
    let status = callers[0].submit("batch", &batch, false).await.unwrap_err();
    assert_eq!(error_kind(&status), "unavailable");
    assert!(retry_after_ms(&status).is_some());
    let mut once = check("once", 20);
    once.repeatable = false;
    let status = callers[0].submit("once", &once, false).await.unwrap_err();
    assert_eq!(error_kind(&status), "unavailable");

    cell.set_faults(json!({})).await;
    for id in &ids {
        wait_for("the answer is durable", || async {
            let view = callers[0].get(id).await.ok()?;
            let answer = view.answer?;
            assert_eq!(answer.outcome(), Outcome::Done);
            (!answer.not_durable).then_some(())
        })
        .await;
    }
    let summary = cell.assert_no_violations();
    assert!(ids.iter().all(|id| summary.starts_by_name[id] == 1));
    assert_eq!(summary.starts_by_name.get("once"), None);
}

#[tokio::test]
async fn a_paused_member_ends_quick_checks_in_an_outage() {
    let cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let owner = cell.owner(0).await;
    let callers = cell.callers("district-desk").await;
    submit_with_retries(&callers, "before", &check("before", 20)).await;
    cell.set_faults(json!({ "outage": true })).await;
    answered_check(&callers[owner], "first").await;
    cell.entries[(owner + 1) % 3].pause();
    let mut tries = 0;
    let status = wait_for("checks are refused", || {
        tries += 1;
        let id = format!("refused-{tries}");
        let caller = callers[owner].clone();
        async move { caller.submit(&id, &check(&id, 20), false).await.err() }
    })
    .await;
    assert_eq!(error_kind(&status), "unavailable", "{status:?}");
    cell.entries[(owner + 1) % 3].resume();
    answered_check(&callers[owner], "again").await;
    cell.assert_no_violations();
}

#[tokio::test]
async fn a_check_of_an_owner_killed_in_an_outage_no_longer_runs_after_a_takeover() {
    let mut cell = Cell::start(Options { partitions: 1, ..Options::default() }).await;
    let owner = cell.owner(0).await;
    let mut callers = cell.callers("district-desk").await;
    submit_with_retries(&callers, "before", &check("before", 20)).await;
    // A process that started recently doesn't take over either; here only the promise must prevent it.
    wait_for("all processes are up for 5 s", || async {
        for i in 0..3 {
            if cell.state(i).await?["up_ms"].as_u64()? < 5_000 {
                return None;
            }
        }
        Some(())
    })
    .await;
    cell.set_faults(json!({ "outage": true })).await;
    answered_check(&callers[owner], "first").await;
    // A check that would run far longer than declared.
    let mut long = check("long", 500);
    long.payload = b"name=long run=60000".to_vec();
    let caller = callers[owner].clone();
    wait_for("it is accepted", || async { caller.submit("long", &long, false).await.ok() }).await;
    wait_for("it runs", || async {
        (cell.record_summary().starts_by_name.get("long") == Some(&1)).then_some(())
    })
    .await;
    // The worker that runs it is disconnected from the next owner.
    let on = cell.record_lines().into_iter().find(|l| l.name == "long").unwrap().worker;
    cell.inject_worker_fault(0, &format!("deaf/{on}/true")).await;
    cell.entries[owner].kill();
    callers.remove(owner);
    cell.set_faults(json!({})).await;
    // Its caller submits it again; by then it must no longer run elsewhere.
    long.payload = b"name=long run=50".to_vec();
    submit_with_retries(&callers, "long", &long).await;
    let view = final_answer(&callers, "long").await;
    assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    let summary = cell.assert_no_violations();
    assert_eq!(summary.starts_by_name["long"], 2);
}
