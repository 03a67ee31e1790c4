//! An owner is paused and another process takes over, which doesn't reach one of the workers. Then
//! the old owner goes on, which still reaches that worker.
//!
//! Guards against an old owner that starts tasks or renews leases on that worker before it learns
//! that it was replaced, although the new owner no longer waits for the worker: a task runs twice at
//! once, or starts again after its end.

#[path = "common/node.rs"]
mod node;

use hollowford_adapter_standin::{Worker, formats};
use node::{Cell, eventually};
use reqwest::Method;
use std::time::Duration;

const PLAIN: &str = "/plain/";
/// Number of processes.
const NODES: usize = 3;
/// Number of workers.
const WORKERS: usize = 3;
/// CPU of a task in thousandths of a core. A worker has room for four.
const TASK_CPU_MILLI: u64 = 4_000;
/// Run time of the tasks that run when the owner is paused, in milliseconds: longer than a lease, so
/// that they lapse on a worker without an owner, and over when the next owner has settled.
const RUNNING_MS: u64 = 4_500;
/// Run time of the tasks that wait when the owner is paused, in milliseconds.
const WAITING_MS: u64 = 2_000;
/// A pause after which leases granted before it have not expired yet. They last 3 s.
const ALMOST_A_LEASE: Duration = Duration::from_millis(2_900);
/// Run time of tasks that still run when the next owner has settled, in milliseconds.
const LONG_MS: u64 = 8_000;
/// Log line of an owner that no longer waits for the worker that it doesn't reach.
const SETTLED: &str = "owner.settled unclaimed=1";

/// Submits a job of one step until it is accepted.
async fn submit(cell: &Cell, id: u64, count: u32, ms: u64) {
    let body = formats::chain_job(&[count], ms, TASK_CPU_MILLI);
    let path = format!("{PLAIN}{id:016x}");
    let accepted =
        || async { cell.call(cell.owner(), Method::POST, &path, body.clone()).await.0 == 200 };
    assert!(eventually(accepted).await, "job {id} is not accepted");
}

/// Waits until `count` tasks have been started.
async fn wait_for_starts(cell: &Cell, count: usize) {
    let started = || async { cell.platform.start_counts().len() >= count };
    assert!(eventually(started).await, "{}", cell.logs());
}

/// Returns true if a process other than `old_owner` has taken over and settled.
fn next_owner_has_settled(cell: &Cell, old_owner: usize) -> bool {
    let mut others = cell.nodes.iter().enumerate().filter(|(i, _)| *i != old_owner);
    others.any(|(_, n)| n.log().contains(SETTLED))
}

/// Pauses the owner for as long as `pause` takes, and lets it go on until it has learned that it
/// was replaced and the next owner has settled. Meanwhile `worker` is cut off from newer owners.
async fn pause_owner(cell: &Cell, worker: &str, pause: impl AsyncFnOnce(usize)) {
    let owner = cell.owner();
    let set_cut_off = |is_cut_off| {
        let cut_off = |w: &mut Worker| w.set_cut_off_from_newer_owners(is_cut_off);
        cell.platform.with_worker(worker, cut_off);
    };
    set_cut_off(true);
    cell.nodes[owner].signal("STOP");
    pause(owner).await;
    cell.nodes[owner].signal("CONT");
    let replaced = || async { !cell.nodes[owner].owns() && next_owner_has_settled(cell, owner) };
    assert!(eventually(replaced).await, "the owner was not replaced:\n{}", cell.logs());
    set_cut_off(false);
}

/// Checks that no guarantee was violated once the jobs have completed, and that a task was started
/// again at most once.
async fn assert_each_ran_once_at_a_time(cell: &Cell, jobs: &[u64]) {
    for &id in jobs {
        cell.wait_until_completed(0, PLAIN, id).await;
    }
    let violations = cell.platform.violations();
    assert!(violations.is_empty(), "{violations:#?}\n{}", cell.logs());
    cell.assert_starts(2);
}

// Guards against starts that an owner orders on waking up: it takes the leases of all workers for
// expired, and starts their tasks and those that wait, while the next owner has started them
// elsewhere.
#[tokio::test]
async fn an_owner_paused_until_the_next_one_has_settled_starts_nothing_a_second_time() {
    let cell = Cell::start(NODES, WORKERS).await;
    submit(&cell, 1, 12, RUNNING_MS).await;
    wait_for_starts(&cell, 12).await;
    submit(&cell, 2, 12, WAITING_MS).await;
    pause_owner(&cell, "w2", async |owner| {
        let settled = || async { next_owner_has_settled(&cell, owner) };
        assert!(eventually(settled).await, "{}", cell.logs());
        wait_for_starts(&cell, 24).await;
    })
    .await;
    assert_each_ran_once_at_a_time(&cell, &[1, 2]).await;
}

// Guards against leases that an owner renews on waking up, to a time when the next owner has
// started the tasks elsewhere. The pause is shorter than a lease, so the tasks still run.
#[tokio::test]
async fn an_owner_paused_for_almost_a_lease_renews_none_for_too_long() {
    let cell = Cell::start(NODES, WORKERS).await;
    submit(&cell, 1, 8, LONG_MS).await;
    wait_for_starts(&cell, 8).await;
    pause_owner(&cell, "w0", async |_| tokio::time::sleep(ALMOST_A_LEASE).await).await;
    assert_each_ran_once_at_a_time(&cell, &[1]).await;
}
