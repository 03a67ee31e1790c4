//! Jobs whose tasks crash their workers, in cells of processes.
#![allow(clippy::expect_used)]

#[path = "common/node.rs"]
mod node;

use node::{Cell, eventually};
use std::net::SocketAddr;

const PLAIN: &str = "/plain/";
/// Prefix of the tasks of the job that crashes its workers.
const CRASHING_TASK_PREFIX: &str = "0000000000000001.";
/// Upper limit of the crashes that a test causes. A job fails after fewer.
const MAX_CRASHES: usize = 6;

/// A worker listed on the platform.
struct TestWorker {
    id: String,
    addr: SocketAddr,
    rack: usize,
}

impl TestWorker {
    fn add(cell: &Cell, rack: usize) -> TestWorker {
        let id = format!("c{rack}");
        let addr = cell.platform.add_worker(&id, rack).expect("a port");
        TestWorker { id, addr, rack }
    }

    fn runs_crashing_job(&self, cell: &Cell) -> bool {
        let runs = |w: &mut hollowford_adapter_standin::Worker| {
            w.running().any(|task| task.starts_with(CRASHING_TASK_PREFIX))
        };
        cell.platform.with_worker(&self.id, runs).unwrap_or(false)
    }

    /// Crashes the worker and restarts it at once under another id.
    fn crash(&mut self, cell: &Cell, crash: usize) {
        let next_id = format!("c{}-{crash}", self.rack);
        cell.platform.restart_worker(&self.id, &next_id, self.addr, self.rack);
        self.id = next_id;
    }
}

/// Crashes every worker that runs the job until the job has failed, and returns the number of
/// crashes. Kills the owner right after the crash number `owner_killed_after`.
async fn crash_until_failed(
    cell: &mut Cell,
    workers: &mut [TestWorker],
    owner_killed_after: Option<usize>,
) -> usize {
    let mut crashes = 0;
    let mut polled_node = 0;
    while crashes < MAX_CRASHES {
        let shared = &*cell;
        let found = || async {
            workers.iter().any(|w| w.runs_crashing_job(shared))
                || shared.state(polled_node, PLAIN, 1).await == "failed"
        };
        assert!(eventually(found).await, "{}", cell.logs());
        let Some(w) = workers.iter_mut().find(|w| w.runs_crashing_job(cell)) else { break };
        crashes += 1;
        w.crash(cell, crashes);
        if owner_killed_after == Some(crashes) {
            let owner = cell.owner();
            polled_node = (owner + 1) % 3;
            cell.nodes[owner].kill();
        }
    }
    crashes
}

async fn cell() -> (Cell, Vec<TestWorker>) {
    let cell = Cell::start(3, 1).await;
    let workers = (1..=4).map(|rack| TestWorker::add(&cell, rack)).collect();
    // Fills the first worker, so that the other workers run all later jobs.
    cell.submit_until_accepted(0, PLAIN, 9, 16, 600_000).await;
    let full = || async { cell.platform.with_worker("w0", |w| w.running().count()) == Some(16) };
    assert!(eventually(full).await);
    (cell, workers)
}

#[tokio::test]
async fn a_job_that_crashes_its_workers_fails() {
    let (mut cell, mut workers) = cell().await;
    cell.submit_until_accepted(0, PLAIN, 1, 1, 600_000).await;
    let crashes = crash_until_failed(&mut cell, &mut workers, None).await;
    assert!((2..=5).contains(&crashes), "{crashes} crashes");
    assert_eq!(cell.state(0, PLAIN, 1).await, "failed");
    assert!(cell.logs().contains("task.crashed_under"), "{}", cell.logs());
    // All workers can be used afterwards.
    cell.submit_until_accepted(1, PLAIN, 2, 64, 200).await;
    cell.wait_until_completed(1, PLAIN, 2).await;
    cell.assert_starts(5);
}

#[tokio::test]
async fn the_next_owner_also_counts_earlier_crashes() {
    for owner_killed_after in [1, 2] {
        let (mut cell, mut workers) = cell().await;
        cell.submit_until_accepted(0, PLAIN, 1, 1, 600_000).await;
        let crashes = crash_until_failed(&mut cell, &mut workers, Some(owner_killed_after)).await;
        assert!(
            (2..=5).contains(&crashes),
            "{crashes} crashes, the owner lost after {owner_killed_after}"
        );
        cell.assert_starts(5);
    }
}
