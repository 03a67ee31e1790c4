//! One odd entry in a table that other programs write to as well, read from a real store.
#![allow(clippy::expect_used)]

use crate::owner_row::SYSTEM_TABLE;
use crate::plan;
use crate::registry::Registry;
use crate::shared::Shared;
use crate::shared_tests::shared_with;
use hollowford_adapter::{OPERATOR_TABLE, StoreError};
use hollowford_adapter_standin::Platform;
use hollowford_adapter_standin::odd_rows::{undecodable_values, unusable_worker_rows};
use hollowford_core::Millis;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Much longer than a call takes because the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A store with two workers, and a process that has not read it yet.
struct Store {
    platform: Platform,
    shared: Arc<Shared>,
}

impl Store {
    async fn start() -> Store {
        let platform = Platform::start(2).await.expect("the platform");
        platform.configure(1, &[("/plain/", false)]);
        let shared = Arc::new(shared_with(Some(platform.addr())));
        Store { platform, shared }
    }

    fn ids(&self, list: &Registry) -> Vec<String> {
        list.workers(&self.shared).map(|l| l.life.id().as_str().to_owned()).collect()
    }
}

// One entry that can't be decoded made the answer unusable: the list was never read again.
#[tokio::test]
async fn an_entry_that_is_not_base64_leaves_the_other_workers_on_the_list() {
    for value in undecodable_values() {
        let store = Store::start().await;
        store.platform.write_undecodable_worker_row("odd", value.clone());
        let mut list = Registry::new(Millis(0));
        list.read_store(&store.shared).await.expect("the whole list");
        assert_eq!(store.ids(&list), ["w0", "w1"], "{value}");

        store.platform.write_undecodable_worker_row("w1", value.clone());
        store.platform.add_worker("w2", 2).expect("a worker");
        list.read_store(&store.shared).await.expect("the feed");
        assert_eq!(store.ids(&list), ["w0", "w2"], "{value}");
    }
}

#[tokio::test]
async fn an_entry_that_is_no_workers_names_none_and_leaves_the_other_workers_on_the_list() {
    for row in unusable_worker_rows() {
        let text = String::from_utf8_lossy(&row[..row.len().min(300)]);
        let store = Store::start().await;
        store.platform.write_raw_worker_row("odd", &row);
        let mut list = Registry::new(Millis(0));
        list.read_store(&store.shared).await.expect("the whole list");
        assert_eq!(store.ids(&list), ["w0", "w1"], "{text}");

        store.platform.write_raw_worker_row("w1", &row);
        store.platform.add_worker("w2", 2).expect("a worker");
        list.read_store(&store.shared).await.expect("the feed");
        assert_eq!(store.ids(&list), ["w0", "w2"], "{text}");
    }
}

// The processes of a new cell never learned the number of partitions, and served nothing.
#[tokio::test]
async fn an_entry_that_is_not_base64_does_not_keep_a_cell_from_starting() {
    let store = Store::start().await;
    store.platform.write_undecodable_worker_row("odd", json!("%%%"));
    let learned = plan::learn(&store.shared, plan::DEFAULT_WORKERS_PER_PARTITION);
    assert_eq!(timeout(TIMEOUT, learned).await, Ok(1));
}

// One such row among the operator's made the feed of the configuration fail again and again.
#[tokio::test]
async fn a_row_that_is_not_base64_leaves_the_configuration_in_the_feed() {
    for value in undecodable_values() {
        let store = Store::start().await;
        store.platform.write_undecodable_row(OPERATOR_TABLE, "odd", value.clone());
        let feed = store.shared.store.wait_for_changes(OPERATOR_TABLE, 0, TIMEOUT).await;
        let rows = feed.expect("the feed").rows;
        assert!(rows.iter().any(|r| r.key == "config" && !r.value.is_empty()), "{value}");
    }
}

// Guards the opposite: a row of the system itself that can't be decoded must stay an error. Taken for
// an empty one, a job's progress would be lost and its tasks would run again.
#[tokio::test]
async fn a_row_of_the_system_that_is_not_base64_is_an_error() {
    let store = Store::start().await;
    store.platform.write_undecodable_row(SYSTEM_TABLE, "p/1", json!("%%%"));
    let read = store.shared.store.read_all(SYSTEM_TABLE, "", TIMEOUT).await;
    assert!(matches!(read, Err(StoreError::Malformed(_))), "{read:?}");
}
