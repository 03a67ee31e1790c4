//! The stand-in's store refuses what the platform's store refuses, so that every test would show a
//! row or a transaction that is too large.
#![allow(clippy::expect_used)]

use hollowford_adapter::{KeyRange, StoreClient, StoreError, Transaction};
use hollowford_adapter_standin::Platform;
use std::time::Duration;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(60);
const TABLE: &str = "table";

fn rows(count: usize, bytes: usize, key_bytes: usize) -> Transaction {
    let row = |n: usize| (format!("{n:0key_bytes$}"), vec![0; bytes]);
    Transaction { put: (0..count).map(row).collect(), ..Transaction::default() }
}

#[parameterized(
    largest_row = { rows(1, 65_536, 1), true },
    row_too_large = { rows(1, 65_537, 1), false },
    most_entries = { rows(100, 1, 3), true },
    too_many_entries = { rows(101, 1, 3), false },
    too_many_bytes = { rows(12, 65_000, 3), false },
    longest_key = { rows(1, 1, 200), true },
    key_too_long = { rows(1, 1, 201), false },
)]
fn a_transaction_beyond_a_limit_is_refused(tx: Transaction, is_taken: bool) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    rt.expect("a runtime").block_on(async {
        let platform = Platform::start(0).await.expect("the platform");
        let store = StoreClient::new(platform.addr()).expect("a client");
        let outcome = store.transact(TABLE, "", &tx, TIMEOUT).await;
        match outcome {
            Ok(_) => assert!(is_taken),
            Err(e) => assert!(!is_taken && matches!(e, StoreError::Refused(400)), "{e}"),
        }
        assert_eq!(platform.violations().is_empty(), is_taken);
    });
}

#[tokio::test]
async fn an_answer_has_at_most_1_mb_and_all_rows_are_read_in_pages() {
    let platform = Platform::start(0).await.expect("the platform");
    let store = StoreClient::new(platform.addr()).expect("a client");
    for first in (0..40).step_by(8) {
        let put = (first..first + 8).map(|n| (format!("{n:03}"), vec![0; 60_000])).collect();
        let tx = Transaction { put, ..Transaction::default() };
        store.transact(TABLE, "", &tx, TIMEOUT).await.expect("an answer");
    }
    let range = KeyRange { from: "", to: "", limit: 500 };
    let page = store.read_range(TABLE, "", &range, TIMEOUT).await.expect("rows");
    assert!((1..40).contains(&page.len()), "{} rows in one answer", page.len());
    assert_eq!(store.read_all(TABLE, "", TIMEOUT).await.expect("rows").rows.len(), 40);
}
