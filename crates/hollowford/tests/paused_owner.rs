//! An owner is paused, another process takes over and accepts jobs, and the old owner goes on.
//!
//! Guards against an old owner that answers callers from its state before the pause: 410 to the
//! cancellation of an accepted job, which then runs on, or 410 to a question about it.

#[path = "common/node.rs"]
mod node;

use futures::future::join_all;
use hollowford_adapter_standin::formats;
use node::{Cell, eventually};
use reqwest::Method;
use serde_json::Value;
use std::time::Duration;

const PLAIN: &str = "/plain/";
/// Which of the old owner's tasks run first when it goes on is left to chance, so several callers
/// ask it.
const JOBS: std::ops::RangeInclusive<u64> = 1..=12;
/// Run time of the tasks, in milliseconds: they run until the job is cancelled.
const ENDLESS_MS: u64 = 600_000;
/// How long the owner remains paused after the requests were sent.
const REST_OF_PAUSE: Duration = Duration::from_millis(500);

/// Returns a job's path.
fn path(id: u64) -> String {
    format!("{PLAIN}{id:016x}")
}

/// Pauses the owner until another process has taken over and accepted the jobs, sends the old owner
/// a request about each while it is paused, and returns status and body of its answers.
async fn ask_paused_owner(cell: &Cell, method: Method, body: Value) -> Vec<(u16, Value)> {
    let owner = cell.owner();
    cell.nodes[owner].signal("STOP");
    let other = (owner + 1) % cell.nodes.len();
    for id in JOBS {
        cell.submit_until_accepted(other, PLAIN, id, 1, ENDLESS_MS).await;
    }
    let ask = |id| {
        let (method, body) = (method.clone(), body.clone());
        async move { cell.call(owner, method, &path(id), body).await }
    };
    let go_on = async {
        tokio::time::sleep(REST_OF_PAUSE).await;
        cell.nodes[owner].signal("CONT");
    };
    let (answers, ()) = tokio::join!(join_all(JOBS.map(ask)), go_on);
    answers
}

fn assert_all_succeed(cell: &Cell, answers: &[(u16, Value)]) {
    let statuses: Vec<u16> = answers.iter().map(|(status, _)| *status).collect();
    assert!(statuses.iter().all(|&s| s == 200), "{statuses:?}\n{}", cell.logs());
}

async fn assert_cancelled(cell: &Cell, id: u64) {
    for node in 0..cell.nodes.len() {
        let state = cell.state(node, PLAIN, id).await;
        assert_eq!(state, "cancelled", "job {id} by process {node}:\n{}", cell.logs());
    }
}

#[tokio::test]
async fn a_cancellation_sent_to_a_paused_owner_cancels_the_job() {
    let cell = Cell::start(3, 1).await;
    let answers = ask_paused_owner(&cell, Method::DELETE, Value::Null).await;
    assert_all_succeed(&cell, &answers);
    for id in JOBS {
        assert_cancelled(&cell, id).await;
    }
    let idle = || async { cell.platform.with_worker("w0", |w| w.running().count()) == Some(0) };
    assert!(eventually(idle).await, "{}", cell.logs());
    cell.assert_starts(1);
}

#[tokio::test]
async fn a_paused_owner_tells_the_state_of_jobs_that_another_has_accepted() {
    let cell = Cell::start(3, 1).await;
    let answers = ask_paused_owner(&cell, Method::GET, Value::Null).await;
    assert_all_succeed(&cell, &answers);
    for (_, body) in answers {
        let state = formats::job_state(&body);
        assert!(state == "queued" || state == "running", "{state}");
    }
}

#[tokio::test]
async fn jobs_submitted_again_to_a_paused_owner_remain_one_job_each() {
    let cell = Cell::start(3, 1).await;
    let answers = ask_paused_owner(&cell, Method::POST, formats::job(1, ENDLESS_MS)).await;
    assert_all_succeed(&cell, &answers);
    let all_started = || async { cell.platform.start_counts().len() as u64 == *JOBS.end() };
    assert!(eventually(all_started).await, "{}", cell.logs());
    cell.assert_starts(1);
}

// Members route requests to the owner that they know, and those that arrive while it is paused are
// the first that it handles.
#[tokio::test]
async fn a_cancellation_relayed_by_another_process_cancels_the_job() {
    let cell = Cell::start(3, 1).await;
    let owner = cell.owner();
    let member = (owner + 1) % 3;
    cell.submit_until_accepted(member, PLAIN, 1, 1, ENDLESS_MS).await;
    cell.nodes[owner].signal("STOP");
    let path = path(1);
    let cancel = cell.call(member, Method::DELETE, &path, Value::Null);
    let go_on = async {
        let taken_over = || async { cell.nodes.iter().filter(|n| n.owns()).count() == 2 };
        let taken_over = eventually(taken_over).await;
        cell.nodes[owner].signal("CONT");
        taken_over
    };
    let ((status, _), taken_over) = tokio::join!(cancel, go_on);
    assert!(taken_over, "{}", cell.logs());
    assert_eq!(status, 200, "{}", cell.logs());
    assert_cancelled(&cell, 1).await;
}

// A pause after which nobody has taken over must not end the owner.
#[tokio::test]
async fn a_single_process_goes_on_after_a_pause() {
    let cell = Cell::start(1, 1).await;
    cell.submit_until_accepted(0, PLAIN, 1, 1, ENDLESS_MS).await;
    cell.nodes[0].signal("STOP");
    tokio::time::sleep(Duration::from_millis(700)).await;
    cell.nodes[0].signal("CONT");
    assert_ne!(cell.state(0, PLAIN, 1).await, "");
    let (status, _) = cell.call(0, Method::GET, &path(2), Value::Null).await;
    assert_eq!(status, 410, "{}", cell.logs());
    assert!(cell.logs().contains("owner.paused"), "{}", cell.logs());
    assert_eq!(cell.platform.max_fence(), 1, "{}", cell.logs());
}
