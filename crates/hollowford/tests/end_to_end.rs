//! Requests from submission to answer, over real sockets between separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Cell, Options, error_kind, final_answer, spec};
use hollowford_protocol::v1::{Kind, Outcome};

#[tokio::test]
async fn each_kind_submitted_to_one_process_is_answered_by_another() {
    let cell = Cell::start(Options::default()).await;
    let first = cell.caller(0, "university").await;
    let second = cell.caller(1, "university").await;

    let mut check = spec(Kind::Check, 1, 500, 50);
    check.payload = b"name=check result=100".to_vec();
    let gang = spec(Kind::Gang, 6, 2_000, 100);
    let batch = spec(Kind::Batch, 40, 1_000, 30);
    for (id, spec) in [("check", &check), ("gang", &gang), ("batch", &batch)] {
        let view = first.submit(id, spec, false).await.unwrap();
        assert_eq!(view.request_id, id);
        let view = final_answer(std::slice::from_ref(&second), id).await;
        let answer = view.answer.unwrap();
        assert_eq!(answer.outcome(), Outcome::Done, "{id}: {answer:?}");
        assert_eq!(answer.results.len() as u32, spec.tasks);
    }
    let view = second.get("check").await.unwrap();
    assert_eq!(view.answer.unwrap().results[0].result.len(), 100);

    let service = spec(Kind::Service, 3, 500, 0);
    let view = first.submit("service", &service, true).await.unwrap();
    assert_eq!((view.running, view.answer), (3, None));
    second.cancel("service").await.unwrap();
    let view = final_answer(&[first], "service").await;
    let answer = view.answer.unwrap();
    assert_eq!(answer.outcome(), Outcome::Cancelled);
    assert!(answer.had_begun);

    let summary = cell.assert_no_violations();
    assert_eq!(summary.starts, 1 + 6 + 40 + 3);
}

#[tokio::test]
async fn a_client_account_sees_and_touches_only_its_own_requests() {
    let cell = Cell::start(Options::default()).await;
    let own = cell.caller(0, "university").await;
    let other = cell.caller(0, "district-desk").await;
    let one_task = spec(Kind::Batch, 1, 500, 20);
    let two_tasks = spec(Kind::Batch, 2, 500, 20);
    own.submit("same-id", &one_task, false).await.unwrap();

    let status = other.get("same-id").await.unwrap_err();
    assert_eq!(error_kind(&status), "not_found");
    let status = other.cancel("same-id").await.unwrap_err();
    assert_eq!(error_kind(&status), "not_found");
    // The same id in another account is another request.
    other.submit("same-id", &two_tasks, false).await.unwrap();
    let view = final_answer(std::slice::from_ref(&other), "same-id").await;
    assert_eq!(view.answer.unwrap().results.len(), 2);
    let view = final_answer(std::slice::from_ref(&own), "same-id").await;
    assert_eq!(view.answer.unwrap().results.len(), 1);

    let listed = own.list("", 10).await.unwrap().requests;
    assert_eq!(listed.len(), 1);
    let stranger = cell.caller(0, "stranger").await;
    let status = stranger.get("same-id").await.unwrap_err();
    assert_eq!(error_kind(&status), "unauthenticated");
}

#[tokio::test]
async fn the_same_id_is_one_request_and_another_body_a_conflict() {
    let cell = Cell::start(Options::default()).await;
    let callers = cell.callers("university").await;
    let mut body = spec(Kind::Batch, 1, 500, 20);
    body.repeatable = false;
    body.payload = b"name=once".to_vec();
    // The same submission through all processes at once.
    let all = callers.iter().map(|c| c.submit("once", &body, true));
    for view in futures::future::join_all(all).await {
        assert_eq!(view.unwrap().answer.unwrap().outcome(), Outcome::Done);
    }
    let other_body = spec(Kind::Batch, 2, 500, 20);
    let status = callers[1].submit("once", &other_body, false).await.unwrap_err();
    assert_eq!(error_kind(&status), "conflict");
    let summary = cell.assert_no_violations();
    assert_eq!(summary.starts_by_name["once"], 1);
}

#[tokio::test]
async fn large_results_arrive_whole() {
    let cell = Cell::start(Options::default()).await;
    let caller = cell.caller(2, "university").await;
    let mut body = spec(Kind::Batch, 12, 500, 20);
    body.payload = b"result=500000".to_vec();
    caller.submit("large", &body, false).await.unwrap();
    let view = final_answer(std::slice::from_ref(&caller), "large").await;
    let results = view.answer.unwrap().results;
    assert_eq!(results.len(), 12);
    let expected: Vec<u8> = (0..500_000).map(|i| i as u8).collect();
    for r in results {
        // Results that don't fit into the answer are fetched separately.
        let bytes = match r.result.is_empty() {
            true => caller.fetch("large", r.index).await.unwrap(),
            false => r.result,
        };
        assert!(bytes == expected, "result {} is incomplete", r.index);
    }
}

#[tokio::test]
async fn a_watch_shows_a_request_until_its_answer() {
    let cell = Cell::start(Options::default()).await;
    let caller = cell.caller(1, "university").await;
    caller.submit("watched", &spec(Kind::Batch, 3, 500, 100), false).await.unwrap();
    let mut views = caller.watch("watched").await.unwrap();
    let mut last = None;
    while let Some(view) = views.message().await.unwrap() {
        let version = view.version;
        let earlier = last.replace(view).map_or(0, |v| v.version);
        assert!(version > earlier);
    }
    let answer = last.unwrap().answer.unwrap();
    assert_eq!(answer.outcome(), Outcome::Done);
}

#[tokio::test]
async fn cancelling_by_label_reaches_every_partition() {
    let cell = Cell::start(Options::default()).await;
    let caller = cell.caller(0, "university").await;
    let mut body = spec(Kind::Batch, 4, 1_000, 60_000);
    body.labels = vec!["season-2027".into()];
    for i in 0..10 {
        caller.submit(&format!("plan-{i}"), &body, false).await.unwrap();
    }
    caller.submit("other", &spec(Kind::Batch, 1, 100, 10), false).await.unwrap();
    assert_eq!(caller.cancel_by_label("season-2027").await.unwrap(), 10);
    for i in 0..10 {
        let view = final_answer(std::slice::from_ref(&caller), &format!("plan-{i}")).await;
        assert_eq!(view.answer.unwrap().outcome(), Outcome::Cancelled);
    }
    let view = final_answer(&[caller], "other").await;
    assert_eq!(view.answer.unwrap().outcome(), Outcome::Done);
    cell.assert_no_violations();
}
