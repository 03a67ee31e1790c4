//! Cells with several partitions, each of which has its own owner.

#[path = "common/node.rs"]
mod node;

use hollowford_adapter_standin::{Faults, formats};
use node::{Cell, eventually};
use reqwest::Method;
use serde_json::Value;
use std::collections::BTreeSet;

const PLAIN: &str = "/plain/";
const ADVISED: &str = "/advised/";
const PARTITIONS: usize = 3;

/// Starts four processes and six workers, two per partition.
async fn cell() -> Cell {
    Cell::start_partitioned(&[0.25; 4], 6, 2).await
}

/// Returns the owner of each partition according to the logs, or `None` without an owner.
fn owners(cell: &Cell) -> Vec<Option<usize>> {
    let owns = |node: usize, partition: usize| {
        let log = cell.nodes[node].log();
        let last = |event: &str| log.rfind(&format!("{event} partition={partition} "));
        last("owner.serves") > last("owner.ended")
    };
    let owner = |p| (0..cell.nodes.len()).find(|&n| owns(n, p));
    (0..PARTITIONS).map(owner).collect()
}

async fn wait_for_owners(cell: &Cell) -> Vec<usize> {
    let all = || async { owners(cell).iter().all(Option::is_some) };
    assert!(eventually(all).await, "{}", cell.logs());
    owners(cell).into_iter().flatten().collect()
}

/// Returns the number of processes that own partitions.
fn distinct_owner_count(owners: &[Option<usize>]) -> usize {
    owners.iter().flatten().collect::<BTreeSet<_>>().len()
}

#[tokio::test]
async fn every_process_accepts_and_counts_jobs_of_all_partitions() {
    let cell = cell().await;
    for id in 0..24 {
        let queue = if id % 2 == 0 { PLAIN } else { ADVISED };
        cell.submit_until_accepted(id as usize % 4, queue, id, 3, 50).await;
    }
    for id in 0..24 {
        let queue = if id % 2 == 0 { PLAIN } else { ADVISED };
        cell.wait_until_completed((id as usize + 1) % 4, queue, id).await;
    }
    cell.assert_starts(1);
    let started_tasks =
        |i: usize| cell.platform.with_worker(&format!("w{i}"), |w| w.start_counts.len());
    for partition in 0..PARTITIONS {
        // Racks are assigned to partitions in turn, so each partition has two workers.
        let used = started_tasks(partition).unwrap_or(0)
            + started_tasks(partition + PARTITIONS).unwrap_or(0);
        assert!(used > 0, "partition {partition} has run no task");
    }
    // None of these jobs fits: each waits in its own partition, and the queue's count covers all.
    let large = formats::chain_job(&[1], 50, 17_000);
    for id in 100..112 {
        let path = format!("{PLAIN}{id:016x}");
        assert_eq!(cell.call(0, Method::POST, &path, large.clone()).await.0, 200);
    }
    for node in 0..4 {
        let (status, body) = cell.call(node, Method::GET, PLAIN, Value::Null).await;
        let waiting = formats::waiting_count(&body);
        assert_eq!((status, waiting), (200, Some(12)));
    }
}

#[tokio::test]
async fn equal_processes_share_the_partitions() {
    let cell = cell().await;
    let spread = || async { distinct_owner_count(&owners(&cell)) == PARTITIONS };
    assert!(eventually(spread).await, "{:?}\n{}", owners(&cell), cell.logs());
}

#[tokio::test]
async fn each_partition_outlives_its_owner() {
    let mut cell = cell().await;
    let first = wait_for_owners(&cell).await;
    for id in 0..12 {
        cell.submit_until_accepted(0, PLAIN, id, 2, 1_500).await;
    }
    let victim = first[0];
    let alive = (0..4).find(|&n| n != victim).expect("another process");
    cell.nodes[victim].kill();
    for id in 12..24 {
        cell.submit_until_accepted(alive, PLAIN, id, 2, 50).await;
    }
    for id in 0..24 {
        cell.wait_until_completed(alive, PLAIN, id).await;
    }
    cell.assert_starts(1);
}

#[tokio::test]
async fn a_process_that_starts_in_an_outage_learns_all_owners_from_others() {
    let mut cell = cell().await;
    // One process may own all partitions at first and hand some over. If the receiving process
    // were killed during a handover, the partition would have no owner that others could report.
    let spread = || async { distinct_owner_count(&owners(&cell)) == PARTITIONS };
    assert!(eventually(spread).await, "{:?}", owners(&cell));
    let first = owners(&cell);
    let restarted =
        (0..4).find(|&n| !first.contains(&Some(n))).expect("a process without partitions");
    cell.submit_until_accepted(restarted, PLAIN, 1, 1, 20).await;
    cell.nodes[restarted].kill();
    cell.platform.set_faults(Faults { outage: true, ..Faults::default() });
    cell.nodes[restarted].restart();
    let is_served =
        || async { cell.call(restarted, Method::GET, PLAIN, Value::Null).await.0 == 200 };
    assert!(eventually(is_served).await, "{}", cell.nodes[restarted].log());
}

#[tokio::test]
async fn the_number_of_partitions_stays_when_workers_are_added() {
    let mut cell = cell().await;
    for i in 6..20 {
        cell.platform.add_worker(&format!("w{i}"), i).expect("a port");
    }
    for node in 0..4 {
        cell.nodes[node].kill();
        cell.nodes[node].restart();
    }
    for id in 0..12 {
        cell.submit_until_accepted(0, PLAIN, id, 2, 20).await;
        cell.wait_until_completed(1, PLAIN, id).await;
    }
    cell.assert_starts(1);
    assert!(!cell.logs().contains("owner.serves partition=3"));
}
