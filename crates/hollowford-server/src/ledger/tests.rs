//! Tests of the ledger against the stand-in platform.

use super::keys::{ledger_key, ledger_prefix};
use super::recover::recover;
use super::writer::{LedgerHandle, LedgerItem, Writer};
use super::{epoch_key, run};
use crate::shared::Shared;
use hollowford_config::Settings;
use hollowford_core::prelude::*;
use hollowford_engine::{Change, Record};
use hollowford_platform::{Platform, Txn, TxnResult};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const PARTITION: PartitionId = PartitionId(0);

struct TestLedger {
    shared: Arc<Shared>,
    store: Platform,
    platform: String,
}

async fn start_ledger(snapshot_records: u64) -> TestLedger {
    let platform = hollowford_standin::platform::start("127.0.0.1:0").await.unwrap().to_string();
    let text = serde_json::json!({
        "process": "p", "zone": "z",
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0" },
        "platform": { "address": platform, "timeout_ms": 300 },
        "peer_key": "a-key-for-tests-only",
        "operator_token_sha256": "0".repeat(64),
        "store": { "writes_per_second": 10_000, "snapshot_records": snapshot_records },
    });
    let settings = Settings::try_from(text.to_string().as_str()).unwrap();
    let shared = Shared::new(settings).unwrap();
    tokio::spawn(run(shared.clone()));
    let store = shared.store().unwrap();
    TestLedger { shared, store, platform }
}

impl TestLedger {
    /// Writes the epoch row, as a takeover does, and returns its version.
    async fn raise_epoch(&self) -> u64 {
        match self.store.txn(&Txn::new().put(epoch_key(PARTITION), vec![1])).await.unwrap() {
            TxnResult::Committed(version) => version,
            TxnResult::Conflict(c) => panic!("{c:?}"),
        }
    }

    async fn open(&self, epoch: u64, epoch_version: u64) -> LedgerHandle {
        let recovered = recover(&self.store, PARTITION).await.unwrap();
        let writer = Writer::new(&self.shared, PARTITION, Epoch(epoch), epoch_version, &recovered);
        let handle = writer.handle.clone();
        self.shared.ledger.send(writer).await;
        handle
    }

    async fn faults(&self, faults: serde_json::Value) {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let url = format!("http://{}/faults", self.platform);
        http.post(url).json(&faults).send().await.unwrap().error_for_status().unwrap();
    }

    async fn recovered(&self) -> Vec<Record> {
        recover(&self.store, PARTITION).await.unwrap().records
    }
}

fn record(n: u64) -> Record {
    Record { request: RequestNo(n), change: Change::Cancel }
}

async fn append(handle: &LedgerHandle, n: u64) {
    handle.ring.send(LedgerItem::Records { seq: n, records: vec![record(n)] }).await;
}

async fn flush(handle: &LedgerHandle) {
    let (tx, rx) = oneshot::channel();
    handle.ring.send(LedgerItem::Flush(tx)).await;
    rx.await.unwrap();
}

async fn wait_until(check: impl Fn() -> bool) {
    let wait = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait).await.unwrap();
}

#[tokio::test]
async fn durable_records_are_read_back_in_order() {
    let ledger = start_ledger(1_000).await;
    let version = ledger.raise_epoch().await;
    let handle = ledger.open(1, version).await;
    for n in 1..=50 {
        append(&handle, n).await;
    }
    flush(&handle).await;
    assert_eq!(handle.durable_seq(), 50);
    assert_eq!(ledger.recovered().await, (1..=50).map(record).collect::<Vec<_>>());
}

#[tokio::test]
async fn a_deposed_owner_writes_nothing() {
    let ledger = start_ledger(1_000).await;
    let first = ledger.raise_epoch().await;
    let old = ledger.open(1, first).await;
    append(&old, 1).await;
    flush(&old).await;
    let second = ledger.raise_epoch().await;
    let new = ledger.open(2, second).await;
    append(&old, 2).await;
    wait_until(|| old.is_deposed()).await;
    append(&new, 3).await;
    flush(&new).await;
    assert_eq!(ledger.recovered().await, vec![record(1), record(3)]);
    assert_eq!(old.durable_seq(), 1);
}

#[tokio::test]
async fn a_write_whose_reply_is_lost_is_found_and_not_repeated() {
    let ledger = start_ledger(1_000).await;
    let version = ledger.raise_epoch().await;
    let handle = ledger.open(1, version).await;
    ledger.faults(serde_json::json!({ "lose_replies": 3 })).await;
    for n in 1..=10 {
        append(&handle, n).await;
        wait_until(|| handle.durable_seq() >= n).await;
    }
    assert!(!handle.is_deposed());
    assert_eq!(ledger.recovered().await, (1..=10).map(record).collect::<Vec<_>>());
}

#[tokio::test]
async fn an_outage_stalls_the_ledger_and_loses_nothing() {
    let ledger = start_ledger(1_000).await;
    let version = ledger.raise_epoch().await;
    let handle = ledger.open(1, version).await;
    ledger.faults(serde_json::json!({ "outage": true })).await;
    append(&handle, 1).await;
    wait_until(|| handle.is_stalled()).await;
    append(&handle, 2).await;
    ledger.faults(serde_json::json!({})).await;
    wait_until(|| handle.durable_seq() == 2 && !handle.is_stalled()).await;
    assert_eq!(ledger.recovered().await, vec![record(1), record(2)]);
}

#[tokio::test]
async fn recovery_is_the_snapshot_and_the_rows_after_it() {
    let ledger = start_ledger(1_000).await;
    let version = ledger.raise_epoch().await;
    let handle = ledger.open(1, version).await;
    for n in 1..=5 {
        append(&handle, n).await;
        wait_until(|| handle.durable_seq() >= n).await;
    }
    // Recovery reads the snapshot instead of all rows before it.
    handle.ring.send(LedgerItem::Snapshot(vec![record(100), record(101)])).await;
    append(&handle, 6).await;
    flush(&handle).await;
    assert_eq!(ledger.recovered().await, vec![record(100), record(101), record(6)]);
    let rows = ledger.store.scan(&ledger_prefix(PARTITION), "", 100).await.unwrap();
    assert_eq!(rows.len(), 1, "the rows before the snapshot are deleted");
    assert_eq!(rows[0].key, ledger_key(PARTITION, 5));
}

#[tokio::test]
async fn recovery_fails_when_a_row_is_missing() {
    let ledger = start_ledger(1_000).await;
    let version = ledger.raise_epoch().await;
    let handle = ledger.open(1, version).await;
    for n in 1..=3 {
        append(&handle, n).await;
        wait_until(|| handle.durable_seq() >= n).await;
    }
    ledger.store.txn(&Txn::new().delete(ledger_key(PARTITION, 1))).await.unwrap();
    let e = recover(&ledger.store, PARTITION).await.unwrap_err();
    assert_eq!(e.kind, ErrorKind::Internal);
}
