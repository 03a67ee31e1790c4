//! Odd entries of other programs in the list of workers, read by real processes.
#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "common/node.rs"]
mod node;

use hollowford_adapter_standin::odd_rows::{undecodable_values, unusable_worker_rows};
use node::{Cell, eventually};

const PLAIN: &str = "/plain/";
/// Reads of the whole list by one process, each some seconds and polls of the configuration apart.
const SEVERAL_READS: u64 = 3;

// The machines that read the list ended again and again, or stopped following it.
#[tokio::test]
async fn odd_entries_neither_end_a_process_nor_hide_new_workers() {
    let mut cell = Cell::start(3, 1).await;
    for (i, value) in undecodable_values().into_iter().enumerate() {
        cell.platform.write_undecodable_worker_row(&format!("a-odd-{i}"), value);
    }
    for (i, entry) in unusable_worker_rows().iter().enumerate() {
        cell.platform.write_raw_worker_row(&format!("z-odd-{i}"), entry);
    }
    cell.platform.add_worker("w1", 1).unwrap();
    cell.platform.remove_worker("w0");
    cell.submit_until_accepted(0, PLAIN, 1, 4, 100).await;
    cell.wait_until_completed(1, PLAIN, 1).await;
    cell.assert_starts(1);
    let owner = cell.owner();
    cell.nodes[owner].kill();
    let others = [(owner + 1) % 3, (owner + 2) % 3];
    cell.submit_until_accepted(others[0], PLAIN, 2, 4, 100).await;
    cell.wait_until_completed(others[1], PLAIN, 2).await;
    for node in others {
        assert!(cell.nodes[node].is_running(), "{}", cell.logs());
        assert!(!cell.nodes[node].log().contains("panicked"), "{}", cell.logs());
    }
}

// An odd entry was logged with every read, or twice.
#[tokio::test]
async fn odd_entries_are_logged_once() {
    let cell = Cell::start(1, 2).await;
    let odd = undecodable_values().swap_remove(0);
    cell.platform.write_undecodable_worker_row("w1", odd.clone());
    cell.platform.write_undecodable_worker_row("odd\nentry", odd.clone());
    cell.platform.write_undecodable_config(odd);
    let reads = cell.platform.store_stats().list_reads;
    let read_again = || async { cell.platform.store_stats().list_reads >= reads + SEVERAL_READS };
    assert!(eventually(read_again).await, "{}", cell.logs());
    for line in
        ["worker.malformed worker=w1 ", "worker.malformed worker=odd\\nentry ", "config.malformed "]
    {
        let logged = || async { cell.logs().contains(line) };
        assert!(eventually(logged).await, "{line}: {}", cell.logs());
        assert_eq!(cell.logs().matches(line).count(), 1, "{line}: {}", cell.logs());
    }
}
