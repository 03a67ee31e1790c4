//! Processes on the users' platform: jobs from submission to end, takeovers, and store outages.

#[path = "common/node.rs"]
mod node;

use hollowford_adapter_standin::{Faults, formats};
use node::{Cell, eventually};
use reqwest::Method;
use serde_json::Value;

const PLAIN: &str = "/plain/";
const ADVISED: &str = "/advised/";

#[tokio::test]
async fn any_process_accepts_a_job_and_any_other_shows_its_state() {
    let cell = Cell::start(3, 2).await;
    for node in 0..3 {
        let id = node as u64 + 1;
        assert_eq!(cell.submit(node, PLAIN, id, 4, 100).await, 200);
        cell.wait_until_completed((node + 1) % 3, PLAIN, id).await;
    }
    assert_eq!(cell.submit(0, ADVISED, 9, 4, 50).await, 200);
    cell.wait_until_completed(1, ADVISED, 9).await;
    cell.assert_starts(1);
    assert_eq!(cell.platform.start_counts().len(), 16);
}

#[tokio::test]
async fn invalid_requests_are_refused_and_have_no_effect() {
    let cell = Cell::start(1, 1).await;
    let get = |path: &'static str| cell.call(0, Method::GET, path, Value::Null);
    assert_eq!(get("/nowhere/").await.0, 404);
    let (status, body) = get("/plain/").await;
    assert_eq!((status, formats::waiting_count(&body)), (200, Some(0)));
    assert_eq!(get("/plain/0123456789abcdef").await.0, 410);
    assert_eq!(get("/plain/not-an-id").await.0, 400);
    for body in formats::invalid_jobs() {
        let (status, _) = cell.call(0, Method::POST, "/plain/0123456789abcdef", body).await;
        assert_eq!(status, 400);
    }
    assert_eq!(get("/plain/0123456789abcdef").await.0, 410);
}

#[tokio::test]
async fn a_cancelled_job_is_stopped() {
    let cell = Cell::start(2, 1).await;
    assert_eq!(cell.submit(0, PLAIN, 1, 2, 600_000).await, 200);
    let runs = || async { cell.state(1, PLAIN, 1).await == "running" };
    assert!(eventually(runs).await);
    let path = "/plain/0000000000000001";
    assert_eq!(cell.call(1, Method::DELETE, path, Value::Null).await.0, 200);
    assert_eq!(cell.state(0, PLAIN, 1).await, "cancelled");
    let idle = || async { cell.platform.with_worker("w0", |w| w.running().count()) == Some(0) };
    assert!(eventually(idle).await);
}

#[tokio::test]
async fn a_job_submitted_twice_runs_once() {
    let cell = Cell::start(2, 1).await;
    assert_eq!(cell.submit(0, PLAIN, 1, 3, 200).await, 200);
    assert_eq!(cell.submit(1, PLAIN, 1, 3, 200).await, 200);
    cell.wait_until_completed(0, PLAIN, 1).await;
    assert_eq!(cell.submit(1, PLAIN, 1, 3, 200).await, 200);
    assert_eq!(cell.state(0, PLAIN, 1).await, "completed");
    cell.assert_starts(1);
}

#[tokio::test]
async fn work_goes_on_when_the_owner_is_killed() {
    let mut cell = Cell::start(3, 3).await;
    let owner = cell.owner();
    let other = (owner + 1) % 3;
    cell.submit_until_accepted(other, PLAIN, 1, 6, 2_000).await;
    cell.submit_until_accepted(other, PLAIN, 2, 6, 50).await;
    cell.nodes[owner].kill();
    cell.submit_until_accepted(other, PLAIN, 3, 6, 50).await;
    for id in 1..=3 {
        cell.wait_until_completed(other, PLAIN, id).await;
    }
    cell.assert_starts(1);
    assert!(cell.platform.max_fence() >= 2);
}

#[tokio::test]
async fn a_planned_stop_of_the_owner_fails_no_request() {
    let mut cell = Cell::start(3, 2).await;
    let owner = cell.owner();
    cell.nodes[owner].signal("TERM");
    for id in 0..40 {
        let node = if id < 20 { owner } else { (owner + 1) % 3 };
        let status = cell.submit(node, PLAIN, id, 1, 20).await;
        assert_eq!(status, 200, "request {id}");
    }
    assert!(cell.nodes[owner].wait_exit_success(), "the old owner failed");
    for id in 0..40 {
        cell.wait_until_completed((owner + 1) % 3, PLAIN, id).await;
    }
    cell.assert_starts(1);
}

#[tokio::test]
async fn in_an_outage_new_jobs_are_refused_and_accepted_ones_continue() {
    let cell = Cell::start(2, 1).await;
    cell.submit_until_accepted(0, PLAIN, 1, 2, 500).await;
    let runs = || async { cell.platform.start_counts().len() == 2 };
    assert!(eventually(runs).await);
    cell.platform.set_faults(Faults { outage: true, ..Faults::default() });
    let mut refused = Vec::new();
    for id in 100..110 {
        assert_eq!(cell.submit(1, PLAIN, id, 1, 20).await, 503, "{}", cell.logs());
        refused.push(id);
    }
    let ended = || async { cell.platform.with_worker("w0", |w| w.done.len()) == Some(2) };
    assert!(eventually(ended).await, "accepted work stopped");
    cell.platform.set_faults(Faults::default());
    cell.wait_until_completed(0, PLAIN, 1).await;
    cell.submit_until_accepted(1, PLAIN, 2, 1, 20).await;
    cell.wait_until_completed(0, PLAIN, 2).await;
    for id in refused {
        assert_eq!(cell.state(0, PLAIN, id).await, "", "job {id} was refused");
        let task = format!("{id:016x}.0.0.0");
        assert!(!cell.platform.start_counts().contains_key(&task));
    }
    cell.assert_starts(1);
}

#[tokio::test]
async fn a_batch_with_a_lost_answer_is_committed_once() {
    let cell = Cell::start(2, 1).await;
    for id in 1..=5 {
        cell.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        assert_eq!(cell.submit(0, PLAIN, id, 1, 20).await, 200);
        cell.wait_until_completed(1, PLAIN, id).await;
    }
    cell.assert_starts(1);
    assert_eq!(cell.platform.max_fence(), 1, "a process took over");
}

#[tokio::test]
async fn a_state_query_waits_for_an_end_being_written() {
    let cell = Cell::start(2, 1).await;
    cell.submit_until_accepted(0, PLAIN, 1, 1, 300).await;
    // From here on a transaction takes 60 ms, far longer than the query after the task's end.
    cell.platform.set_faults(Faults { slow_ms: 60, ..Faults::default() });
    let ended = || async { cell.logs().contains("job.ends job=0000000000000001") };
    assert!(eventually(ended).await);
    assert_eq!(cell.state(1, PLAIN, 1).await, "completed");
}

#[tokio::test]
async fn an_owner_refused_by_the_store_hands_over_to_another_process() {
    let cell = Cell::start(3, 1).await;
    let owner = cell.owner();
    cell.submit_until_accepted(owner, PLAIN, 1, 2, 1_500).await;
    cell.nodes[owner].store.set_refusing(true);
    // Callers of the process without the store are still served.
    cell.submit_until_accepted(owner, PLAIN, 2, 2, 20).await;
    cell.wait_until_completed(owner, PLAIN, 2).await;
    cell.wait_until_completed(owner, PLAIN, 1).await;
    assert_ne!(cell.owner(), owner);
    cell.assert_starts(1);
}

#[tokio::test]
async fn the_partition_goes_to_a_much_larger_instance_and_stays_there() {
    let mut cell = Cell::start_with_cpu_shares(&[0.12, 0.25, 0.5], 1).await;
    let largest = 2;
    let owned = || async { cell.nodes[largest].owns() };
    assert!(eventually(owned).await, "{}", cell.logs());
    cell.submit_until_accepted(0, PLAIN, 1, 2, 50).await;
    cell.wait_until_completed(1, PLAIN, 1).await;
    assert_eq!(cell.owner(), largest);
    cell.nodes[largest].kill();
    let next = || async { cell.nodes[1].owns() };
    assert!(eventually(next).await, "{}", cell.logs());
    cell.submit_until_accepted(0, PLAIN, 2, 2, 50).await;
    cell.wait_until_completed(1, PLAIN, 2).await;
    cell.assert_starts(1);
}

#[tokio::test]
async fn a_slow_store_causes_only_one_takeover() {
    let mut cell = Cell::start(5, 1).await;
    let owner = cell.owner();
    cell.platform.set_faults(Faults { slow_ms: 250, ..Faults::default() });
    cell.nodes[owner].kill();
    let other = (owner + 1) % 5;
    cell.submit_until_accepted(other, PLAIN, 1, 1, 20).await;
    cell.wait_until_completed(other, PLAIN, 1).await;
    assert_eq!(cell.platform.max_fence(), 2, "{}", cell.logs());
}

#[tokio::test]
async fn a_process_that_starts_in_an_outage_learns_owner_and_configuration_from_others() {
    let mut cell = Cell::start(3, 1).await;
    let owner = cell.owner();
    let other = (owner + 1) % 3;
    cell.nodes[other].kill();
    cell.platform.set_faults(Faults { outage: true, ..Faults::default() });
    cell.nodes[other].restart();
    let is_served = || async {
        let (status, _) = cell.call(other, Method::GET, PLAIN, Value::Null).await;
        status == 200
    };
    assert!(eventually(is_served).await, "{}", cell.nodes[other].log());
}

#[tokio::test]
async fn a_silent_member_makes_no_calls_for_advice() {
    let mut cell = Cell::start(3, 2).await;
    let owner = cell.owner();
    for node in 0..3 {
        if node != owner {
            cell.nodes[node].signal("STOP");
        }
    }
    for id in 1..=6 {
        cell.submit_until_accepted(owner, ADVISED, id, 2, 20).await;
    }
    for id in 1..=6 {
        cell.wait_until_completed(owner, ADVISED, id).await;
    }
    for node in 0..3 {
        cell.nodes[node].signal("CONT");
        assert!(cell.nodes[node].is_running());
    }
    cell.assert_starts(1);
}

#[tokio::test]
async fn a_hangup_reloads_the_settings_and_stops_nothing() {
    let mut cell = Cell::start(2, 1).await;
    for node in 0..2 {
        cell.nodes[node].signal("HUP");
    }
    let reloaded = || async { cell.nodes.iter().all(|n| n.log().contains("settings.reloaded")) };
    assert!(eventually(reloaded).await);
    assert!(cell.nodes.iter_mut().all(node::Node::is_running));
    let cell = cell;
    assert_eq!(cell.submit(0, PLAIN, 1, 1, 20).await, 200);
}

#[tokio::test]
async fn a_new_configuration_becomes_active_everywhere_without_change_history() {
    let cell = Cell::start(3, 1).await;
    cell.platform.set_faults(Faults { no_history: true, ..Faults::default() });
    cell.platform.configure(2, &[("/plain/", false), ("/later/", false)]);
    for node in 0..3 {
        let is_added =
            || async { cell.call(node, Method::GET, "/later/", Value::Null).await.0 == 200 };
        assert!(eventually(is_added).await);
        let is_removed =
            || async { cell.call(node, Method::GET, "/advised/", Value::Null).await.0 == 404 };
        assert!(eventually(is_removed).await);
    }
}

#[tokio::test]
async fn a_worker_with_a_malformed_row_keeps_its_tasks_and_gets_no_new_ones() {
    let cell = Cell::start(2, 2).await;
    cell.submit_until_accepted(0, PLAIN, 1, 32, 600_000).await;
    let running = |id: &str| cell.platform.with_worker(id, |w| w.running().count());
    let full = || async { running("w0") == Some(16) && running("w1") == Some(16) };
    assert!(eventually(full).await);
    cell.platform.write_raw_worker_row("w0", b"\xff not a row");
    cell.platform.write_raw_worker_row("another", br#"{"backend":"pool","address":"127.0.0.1:1"}"#);
    let seen = || async { cell.logs().contains("worker.malformed worker=w0") };
    assert!(eventually(seen).await);
    // Both workers become idle, and only the other one gets new tasks.
    let cancel = cell.call(0, Method::DELETE, "/plain/0000000000000001", Value::Null).await;
    assert_eq!(cancel.0, 200);
    let idle = || async { running("w0") == Some(0) && running("w1") == Some(0) };
    assert!(eventually(idle).await);
    cell.submit_until_accepted(0, PLAIN, 2, 32, 300).await;
    cell.wait_until_completed(0, PLAIN, 2).await;
    let started_tasks = |id: &str| {
        let of_second = |task: &&String| task.starts_with("0000000000000002");
        cell.platform.with_worker(id, |w| w.start_counts.keys().filter(of_second).count())
    };
    assert_eq!((started_tasks("w0"), started_tasks("w1")), (Some(0), Some(32)));
    cell.assert_starts(1);
}

#[tokio::test]
async fn a_worker_restarted_under_its_id_runs_each_task_once() {
    let cell = Cell::start(2, 1).await;
    assert_eq!(cell.submit(0, PLAIN, 1, 12, 50).await, 200);
    cell.wait_until_completed(1, PLAIN, 1).await;
    cell.platform.restart_under_same_id("w0");
    assert_eq!(cell.submit(0, PLAIN, 2, 6, 50).await, 200);
    cell.wait_until_completed(1, PLAIN, 2).await;
    cell.assert_starts(1);
    let started_tasks = cell.platform.start_counts();
    assert_eq!(started_tasks.len(), 6);
    assert!(started_tasks.values().all(|&n| n == 1), "{started_tasks:?}");
}

// Guards against tasks that are done and start again: while the store is down, a worker lists only
// 500 of the ends that the owner can't acknowledge.
#[tokio::test]
async fn tasks_that_end_in_an_outage_run_once_however_many_they_are() {
    const TASKS: u32 = 700;
    let cell = Cell::start(2, 1).await;
    assert_eq!(cell.submit(0, PLAIN, 1, TASKS, 20).await, 200);
    cell.platform.set_faults(Faults { outage: true, ..Faults::default() });
    let done = || cell.platform.with_worker("w0", |w| w.done.len());
    let all_ended = || async { done() == Some(TASKS as usize) };
    assert!(eventually(all_ended).await, "{:?} of {TASKS} tasks ended", done());
    // Time for tasks whose ends are not listed to be given up.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    cell.platform.set_faults(Faults::default());
    cell.wait_until_completed(1, PLAIN, 1).await;
    cell.assert_starts(1);
    assert_eq!(cell.platform.start_counts().len(), TASKS as usize);
}
