//! Writes batches in several lanes to a store that is slow, loses answers and executes calls late.
#![allow(clippy::expect_used)]

use crate::lane::{LANE_COUNT, lane_versions, takeover_rows};
use crate::owner_row::SYSTEM_TABLE;
use crate::shared::Shared;
use crate::shared_tests::shared_with;
use crate::wire::{OwnerInfo, RenewalTerms};
use crate::writer::{BatchOutcome, BatchWrite, transaction, write};
use futures::future::join_all;
use hollowford_adapter::{ExpectedVersion, Transaction, TxOutcome, Version};
use hollowford_adapter_standin::{Faults, Platform};
use hollowford_core::Millis;
use hollowford_jobs::{Batch, RowWrite};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

const PART: &str = "0";
/// Much longer than a call takes because the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);
const ROUNDS: usize = 60;
const SEEDS: u64 = 4;

/// A store and the process that writes to it.
struct Store {
    platform: Platform,
    shared: Arc<Shared>,
}

impl Store {
    async fn start() -> Store {
        let platform = Platform::start(0).await.expect("the platform");
        let shared = Arc::new(shared_with(Some(platform.addr())));
        Store { platform, shared }
    }

    async fn transact(&self, tx: &Transaction) -> TxOutcome {
        let outcome = self.shared.store.transact(SYSTEM_TABLE, PART, tx, TIMEOUT).await;
        outcome.expect("an answer")
    }

    /// Reads all rows and the versions of the lanes' rows.
    async fn read(&self) -> (BTreeMap<String, Vec<u8>>, [Version; LANE_COUNT]) {
        let feed = self.shared.store.read_all(SYSTEM_TABLE, PART, TIMEOUT).await.expect("rows");
        let lanes = lane_versions(&feed.rows);
        (feed.rows.into_iter().map(|r| (r.key, r.value)).collect(), lanes)
    }

    /// Takes over the partition and returns the versions of the lanes' rows.
    async fn take_over(&self, owner: &OwnerInfo) -> [Version; LANE_COUNT] {
        let (_, before) = self.read().await;
        let expect = vec![ExpectedVersion { key: crate::lane::lane_key(0), version: before[0] }];
        let tx = Transaction {
            expect,
            put: takeover_rows(owner, &RenewalTerms::default()),
            remove: Vec::new(),
        };
        assert!(matches!(self.transact(&tx).await, TxOutcome::Committed(_)));
        self.read().await.1
    }

    async fn write(&self, batch_write: BatchWrite) -> BatchOutcome {
        write(self.shared.clone(), batch_write).await
    }
}

fn owner(epoch: u64) -> OwnerInfo {
    OwnerInfo { epoch, address: "127.0.0.1:1".to_owned(), boot: epoch, ..OwnerInfo::default() }
}

/// Returns a batch that writes its number to a row of its lane and to a row of its own.
fn batch_write(owner: &OwnerInfo, lane: usize, rev: Version, number: u64) -> BatchWrite {
    let row = |key: String| RowWrite { key, value: Some(number.to_le_bytes().to_vec()) };
    let rows = vec![row(format!("last/{lane}")), row(format!("batch/{}/{number}", owner.epoch))];
    let batch = Batch { number, rows };
    let read_delay = Millis(150);
    BatchWrite {
        part: PART.to_owned(),
        owner: owner.clone(),
        lane,
        rev,
        terms: None,
        batch,
        read_delay,
    }
}

fn rev_of(outcome: &BatchOutcome) -> Version {
    match outcome {
        BatchOutcome::Made { rev, .. } => *rev,
        other => panic!("not committed: {other:?}"),
    }
}

#[tokio::test]
async fn lanes_do_not_wait_for_each_other() {
    let store = Store::start().await;
    let me = owner(1);
    let revs = store.take_over(&me).await;
    let writes = (0..LANE_COUNT)
        .map(|lane| store.write(batch_write(&me, lane, revs[lane], lane as u64 + 1)));
    let is_committed = |w: &BatchOutcome| matches!(w, BatchOutcome::Made { .. });
    assert!(join_all(writes).await.iter().all(is_committed));
    let (rows, _) = store.read().await;
    assert_eq!(rows.keys().filter(|k| k.starts_with("batch/")).count(), LANE_COUNT);
}

#[tokio::test]
async fn a_batch_of_any_lane_is_refused_after_a_takeover() {
    let store = Store::start().await;
    let (me, next) = (owner(1), owner(2));
    let revs = store.take_over(&me).await;
    store.take_over(&next).await;
    for (lane, rev) in revs.into_iter().enumerate() {
        let outcome = store.write(batch_write(&me, lane, rev, 1)).await;
        assert_eq!(outcome, BatchOutcome::Deposed(next.clone()), "lane {lane}");
    }
    let (rows, _) = store.read().await;
    assert!(!rows.keys().any(|k| k.starts_with("batch/")), "{:?}", rows.keys());
}

#[tokio::test]
async fn a_batch_whose_answer_is_lost_is_found_in_its_lanes_row() {
    let store = Store::start().await;
    let me = owner(1);
    let revs = store.take_over(&me).await;
    let before = store.platform.store_stats().made;
    store.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let lane = LANE_COUNT - 1;
    rev_of(&store.write(batch_write(&me, lane, revs[lane], 1)).await);
    assert_eq!(store.platform.store_stats().made - before, 1, "committed once");
}

#[tokio::test]
async fn a_batch_that_is_never_answered_is_found_in_its_lanes_row() {
    let store = Store::start().await;
    let me = owner(1);
    let revs = store.take_over(&me).await;
    store.platform.set_faults(Faults { mute_writes: true, ..Faults::default() });
    for (lane, rev) in revs.into_iter().enumerate() {
        let outcome = store.write(batch_write(&me, lane, rev, 1));
        rev_of(&timeout(TIMEOUT, outcome).await.expect("an outcome"));
    }
}

#[tokio::test]
async fn a_slow_store_gets_few_repeated_attempts() {
    let store = Store::start().await;
    let me = owner(1);
    let mut revs = store.take_over(&me).await;
    store.platform.set_faults(Faults { slow_ms: 200, turn_ms: 300, ..Faults::default() });
    let before = store.platform.store_stats().writes;
    for number in 1..=4 {
        let writes = (0..LANE_COUNT).map(|l| store.write(batch_write(&me, l, revs[l], number)));
        let outcomes = join_all(writes).await;
        revs = std::array::from_fn(|lane| rev_of(&outcomes[lane]));
    }
    let sent = store.platform.store_stats().writes - before;
    assert!(sent < 2 * 4 * LANE_COUNT as u64, "{sent} transactions for {} batches", 4 * LANE_COUNT);
}

/// Guards against batches that are written twice, out of order or by a deposed owner. In random
/// order, answers are lost, attempts for earlier batches are executed late and the partition is
/// taken over. Each batch reported as committed must be in the store, in the order of its lane.
#[tokio::test]
async fn no_batch_is_committed_twice_or_late_in_any_order() {
    for seed in 1..=SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let store = Store::start().await;
        let mut me = owner(1);
        let mut revs = store.take_over(&me).await;
        let mut number = 0;
        let mut late: Vec<Transaction> = Vec::new();
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for _ in 0..ROUNDS {
            let lose_answers = random.u32(0..3) / 2;
            store.platform.set_faults(Faults { lose_answers, ..Faults::default() });
            match random.u32(0..10) {
                0 => {
                    me = owner(me.epoch + 1);
                    store.platform.set_faults(Faults::default());
                    revs = store.take_over(&me).await;
                }
                1..=3 if !late.is_empty() => {
                    store.platform.set_faults(Faults::default());
                    let tx = late.swap_remove(random.usize(..late.len()));
                    let outcome = store.transact(&tx).await;
                    assert!(
                        matches!(outcome, TxOutcome::Conflict(_)),
                        "seed {seed}: committed late"
                    );
                }
                _ => {
                    let lanes: Vec<_> = (0..LANE_COUNT).filter(|_| random.bool()).collect();
                    let first = number;
                    number += lanes.len() as u64;
                    let numbered = lanes.iter().zip(first + 1..);
                    let batches: Vec<_> =
                        numbered.map(|(&l, n)| batch_write(&me, l, revs[l], n)).collect();
                    late.extend(batches.iter().map(transaction));
                    for b in &batches {
                        last.insert(format!("last/{}", b.lane), b.batch.number);
                    }
                    let outcomes = join_all(batches.into_iter().map(|b| store.write(b))).await;
                    for (&lane, w) in lanes.iter().zip(&outcomes) {
                        revs[lane] = rev_of(w);
                    }
                }
            }
        }
        let (rows, _) = store.read().await;
        let batches = rows.keys().filter(|k| k.starts_with("batch/")).count() as u64;
        assert_eq!(batches, number, "seed {seed}");
        for (key, number) in last {
            assert_eq!(rows[&key], number.to_le_bytes(), "seed {seed}: {key}");
        }
    }
}
