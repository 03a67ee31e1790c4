//! Workers that crash under a task and come back, with whole processes.
#![allow(clippy::expect_used)]

#[path = "common/node.rs"]
mod node;

use node::{Cell, eventually};
use std::net::SocketAddr;

const PLAIN: &str = "/plain/";
/// Tasks of the job that crashes its workers have names that begin so.
const CRASHING: &str = "0000000000000001.";
/// More starts than a job that is given up can have had.
const MOST_STARTS: usize = 6;

/// A worker, as the platform lists it.
struct Listed {
    id: String,
    addr: SocketAddr,
    rack: usize,
}

impl Listed {
    fn add(cell: &Cell, rack: usize) -> Listed {
        let id = format!("c{rack}");
        let addr = cell.platform.add_worker(&id, rack).expect("a port");
        Listed { id, addr, rack }
    }

    fn runs_crashing(&self, cell: &Cell) -> bool {
        let runs = |w: &mut hollowford_adapter_standin::Worker| {
            w.running().any(|task| task.starts_with(CRASHING))
        };
        cell.platform.with_worker(&self.id, runs).unwrap_or(false)
    }

    /// Crashes, and is back at once under another id.
    fn crash(&mut self, cell: &Cell, crash: usize) {
        let next = format!("c{}-{crash}", self.rack);
        cell.platform.restart_worker(&self.id, &next, self.addr, self.rack);
        self.id = next;
    }
}

/// Crashes the worker that runs the job each time there is one. Returns how often, once the job is
/// told as failed; `lost`: the owner is killed right after that crash.
async fn crash_until_failed(cell: &mut Cell, workers: &mut [Listed], lost: Option<usize>) -> usize {
    let mut crashes = 0;
    let mut asked = 0;
    while crashes < MOST_STARTS {
        let shared = &*cell;
        let found = || async {
            workers.iter().any(|w| w.runs_crashing(shared))
                || shared.state(asked, PLAIN, 1).await == "failed"
        };
        assert!(eventually(found).await, "{}", cell.logs());
        let Some(w) = workers.iter_mut().find(|w| w.runs_crashing(cell)) else { break };
        crashes += 1;
        w.crash(cell, crashes);
        if lost == Some(crashes) {
            let owner = cell.owner();
            asked = (owner + 1) % 3;
            cell.nodes[owner].kill();
        }
    }
    crashes
}

async fn cell() -> (Cell, Vec<Listed>) {
    let cell = Cell::start(3, 1).await;
    let workers = (1..=4).map(|rack| Listed::add(&cell, rack)).collect();
    // The first worker is full, so that the others run all that comes.
    cell.submit_surely(0, PLAIN, 9, 16, 600_000).await;
    let full = || async { cell.platform.with_worker("w0", |w| w.running().count()) == Some(16) };
    assert!(eventually(full).await);
    (cell, workers)
}

#[tokio::test]
async fn a_job_that_crashes_its_workers_is_told_as_failed() {
    let (mut cell, mut workers) = cell().await;
    cell.submit_surely(0, PLAIN, 1, 1, 600_000).await;
    let crashes = crash_until_failed(&mut cell, &mut workers, None).await;
    assert!((2..=5).contains(&crashes), "{crashes} crashes");
    assert_eq!(cell.state(0, PLAIN, 1).await, "failed");
    assert!(cell.logs().contains("task.crashed_under"), "{}", cell.logs());
    // All workers are of use afterwards.
    cell.submit_surely(1, PLAIN, 2, 64, 200).await;
    cell.await_completed(1, PLAIN, 2).await;
    cell.judge(5);
}

#[tokio::test]
async fn crashes_are_counted_by_the_next_owner_as_well() {
    for lost in [1, 2] {
        let (mut cell, mut workers) = cell().await;
        cell.submit_surely(0, PLAIN, 1, 1, 600_000).await;
        let crashes = crash_until_failed(&mut cell, &mut workers, Some(lost)).await;
        assert!((2..=5).contains(&crashes), "{crashes} crashes, the owner lost after {lost}");
        cell.judge(5);
    }
}
