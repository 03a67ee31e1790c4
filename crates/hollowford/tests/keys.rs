//! Keys of callers, in cells of `hollowford node` processes.

#[path = "common/node.rs"]
mod node;

use hollowford_adapter_standin::{Faults, TestAccount, formats};
use node::{Cell, eventually};
use reqwest::Method;
use serde_json::Value;

const PREFIXES: &[(&str, bool)] = &[("/plain/", false), ("/advised/", true)];
const JOB: &str = "/plain/0000000000000001";

/// Returns an account with these keys and no quota.
fn account_with_keys(name: &str, keys: &[&str]) -> TestAccount {
    let keys = keys.iter().map(|&k| k.to_owned()).collect();
    TestAccount { name: name.into(), keys, quota_cpu_milli: 0 }
}

/// Waits until a process answers a request with this key with `status`.
async fn wait_for_status(cell: &Cell, node: usize, key: &str, status: u16) {
    let has_status =
        || async { cell.call_as(key, node, Method::GET, "/plain/", Value::Null).await.0 == status };
    assert!(eventually(has_status).await, "no {status} for {key}:\n{}", cell.logs());
}

/// Starts processes and waits until all know the keys of the accounts `a` and `b`.
async fn start_with_keys(nodes: usize) -> Cell {
    let cell = Cell::start(nodes, 2).await;
    let accounts = [account_with_keys("a", &["a1", "a2"]), account_with_keys("b", &["b1"])];
    cell.platform.configure_accounts(2, PREFIXES, &accounts);
    for node in 0..nodes {
        wait_for_status(&cell, node, "", 401).await;
        wait_for_status(&cell, node, "b1", 200).await;
    }
    cell
}

#[tokio::test]
async fn every_call_needs_a_key_and_a_job_belongs_to_its_account() {
    let cell = start_with_keys(2).await;
    let call = async |key, method| cell.call_as(key, 1, method, JOB, Value::Null).await.0;
    let submit = async |key, node| {
        cell.call_as(key, node, Method::POST, JOB, formats::job(1, 600_000)).await.0
    };
    for key in ["", "wrong", "A1"] {
        assert_eq!(submit(key, 0).await, 401);
        assert_eq!(call(key, Method::GET).await, 401);
        assert_eq!(call(key, Method::DELETE).await, 401);
        assert_eq!(cell.call_as(key, 0, Method::GET, "/plain/", Value::Null).await.0, 401);
    }
    assert_eq!(call("a1", Method::GET).await, 410, "no refused job exists");
    assert_eq!(submit("a1", 0).await, 200);
    assert_eq!(call("a2", Method::GET).await, 200, "another key of the account");
    assert_eq!(call("b1", Method::GET).await, 410);
    assert_eq!(call("b1", Method::DELETE).await, 410);
    assert_eq!(submit("b1", 1).await, 409);
    assert_eq!(call("a1", Method::DELETE).await, 200);
    assert_eq!(call("b1", Method::GET).await, 410, "other accounts don't see its end either");
}

#[tokio::test]
async fn a_removed_key_is_refused_and_accepted_work_continues() {
    let cell = start_with_keys(3).await;
    let submit = |key| cell.call_as(key, 0, Method::POST, JOB, formats::job(1, 600_000));
    assert_eq!(submit("a1").await.0, 200);
    // `a` loses one key and gets a new one, and `b` loses its last key.
    let accounts = [account_with_keys("a", &["a2", "a3"]), account_with_keys("b", &[])];
    cell.platform.configure_accounts(3, PREFIXES, &accounts);
    for node in 0..3 {
        wait_for_status(&cell, node, "a1", 401).await;
        wait_for_status(&cell, node, "b1", 401).await;
        wait_for_status(&cell, node, "a3", 200).await;
    }
    let (status, body) = cell.call_as("a3", 1, Method::GET, JOB, Value::Null).await;
    assert_eq!(status, 200);
    assert!(["queued", "running"].contains(&&*formats::job_state(&body)));
}

#[tokio::test]
async fn a_process_without_the_store_learns_keys_from_the_owner() {
    let cell = start_with_keys(3).await;
    let disconnected = (cell.owner() + 1) % 3;
    cell.nodes[disconnected].store.set_refusing(true);
    let accounts = [account_with_keys("a", &["a3"]), account_with_keys("b", &["b1"])];
    cell.platform.configure_accounts(3, PREFIXES, &accounts);
    wait_for_status(&cell, disconnected, "a1", 401).await;
    wait_for_status(&cell, disconnected, "a3", 200).await;
}

#[tokio::test]
async fn unknown_keys_are_refused_at_once_without_store_and_owner() {
    let mut cell = start_with_keys(3).await;
    cell.platform.set_faults(Faults { outage: true, ..Faults::default() });
    let owner = cell.owner();
    cell.nodes[owner].kill();
    let other = (owner + 1) % 3;
    assert_eq!(cell.call_as("wrong", other, Method::GET, JOB, Value::Null).await.0, 401);
    let (status, _) = cell.call_as("a1", other, Method::POST, JOB, formats::job(1, 50)).await;
    assert_eq!(status, 503);
}
