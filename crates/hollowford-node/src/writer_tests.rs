//! Batches in several lanes, on a store that loses answers, is slow, and carries out calls late.
#![allow(clippy::expect_used)]

use crate::lane::{LANES, lane_versions, taken_rows};
use crate::owner_row::SYSTEM_TABLE;
use crate::shared::Shared;
use crate::shared_tests::shared_with;
use crate::wire::OwnerInfo;
use crate::writer::{Writing, Written, transaction, write};
use futures::future::join_all;
use hollowford_adapter::{Expect, Transaction, TxOutcome, Version};
use hollowford_adapter_standin::{Faults, Platform};
use hollowford_core::Millis;
use hollowford_jobs::{Batch, RowWrite};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

const PART: &str = "0";
/// Far above what a call takes, since the machine may be busy.
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
        let made = self.shared.store.transact(SYSTEM_TABLE, PART, tx, TIMEOUT).await;
        made.expect("an answer")
    }

    /// Reads all rows, and the version of each lane's row.
    async fn read(&self) -> (BTreeMap<String, Vec<u8>>, [Version; LANES]) {
        let feed = self.shared.store.read_all(SYSTEM_TABLE, PART, TIMEOUT).await.expect("rows");
        let lanes = lane_versions(&feed.rows);
        (feed.rows.into_iter().map(|r| (r.key, r.value)).collect(), lanes)
    }

    /// Takes the partition, and returns the versions of the lanes' rows.
    async fn take(&self, owner: &OwnerInfo) -> [Version; LANES] {
        let (_, before) = self.read().await;
        let expect = vec![Expect { key: crate::lane::lane_key(0), version: before[0] }];
        let tx = Transaction { expect, put: taken_rows(owner), remove: Vec::new() };
        assert!(matches!(self.transact(&tx).await, TxOutcome::Made(_)));
        self.read().await.1
    }

    async fn write(&self, writing: Writing) -> Written {
        write(self.shared.clone(), writing).await
    }
}

fn owner(epoch: u64) -> OwnerInfo {
    OwnerInfo { epoch, address: "127.0.0.1:1".to_owned(), boot: epoch, ..OwnerInfo::default() }
}

/// A batch that writes its number into a row of its lane and into one of its own.
fn writing(owner: &OwnerInfo, lane: usize, rev: Version, number: u64) -> Writing {
    let row = |key: String| RowWrite { key, value: Some(number.to_le_bytes().to_vec()) };
    let rows = vec![row(format!("last/{lane}")), row(format!("batch/{}/{number}", owner.epoch))];
    let batch = Batch { number, rows };
    let read_after = Millis(150);
    Writing { part: PART.to_owned(), owner: owner.clone(), lane, rev, batch, read_after }
}

fn rev_of(written: &Written) -> Version {
    match written {
        Written::Made { rev, .. } => *rev,
        other => panic!("not made: {other:?}"),
    }
}

#[tokio::test]
async fn lanes_do_not_wait_for_each_other() {
    let store = Store::start().await;
    let me = owner(1);
    let revs = store.take(&me).await;
    let both = (0..LANES).map(|lane| store.write(writing(&me, lane, revs[lane], lane as u64 + 1)));
    let made = |w: &Written| matches!(w, Written::Made { .. });
    assert!(join_all(both).await.iter().all(made));
    let (rows, _) = store.read().await;
    assert_eq!(rows.keys().filter(|k| k.starts_with("batch/")).count(), LANES);
}

#[tokio::test]
async fn a_batch_of_any_lane_is_refused_after_a_takeover() {
    let store = Store::start().await;
    let (me, next) = (owner(1), owner(2));
    let revs = store.take(&me).await;
    store.take(&next).await;
    for (lane, rev) in revs.into_iter().enumerate() {
        let written = store.write(writing(&me, lane, rev, 1)).await;
        assert_eq!(written, Written::Deposed(next.clone()), "lane {lane}");
    }
    let (rows, _) = store.read().await;
    assert!(!rows.keys().any(|k| k.starts_with("batch/")), "{:?}", rows.keys());
}

#[tokio::test]
async fn a_batch_whose_answer_is_lost_is_found_in_its_lanes_row() {
    let store = Store::start().await;
    let me = owner(1);
    let revs = store.take(&me).await;
    let before = store.platform.served().made;
    store.platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let lane = LANES - 1;
    rev_of(&store.write(writing(&me, lane, revs[lane], 1)).await);
    assert_eq!(store.platform.served().made - before, 1, "made once");
}

#[tokio::test]
async fn a_batch_that_is_never_answered_is_found_in_its_lanes_row() {
    let store = Store::start().await;
    let me = owner(1);
    let revs = store.take(&me).await;
    store.platform.set_faults(Faults { mute_writes: true, ..Faults::default() });
    for (lane, rev) in revs.into_iter().enumerate() {
        let written = store.write(writing(&me, lane, rev, 1));
        rev_of(&timeout(TIMEOUT, written).await.expect("an outcome"));
    }
}

#[tokio::test]
async fn a_slow_store_is_waited_for_and_gets_few_copies() {
    let store = Store::start().await;
    let me = owner(1);
    let mut revs = store.take(&me).await;
    store.platform.set_faults(Faults { slow_ms: 200, turn_ms: 300, ..Faults::default() });
    let before = store.platform.served().writes;
    for number in 1..=4 {
        let both = (0..LANES).map(|l| store.write(writing(&me, l, revs[l], number)));
        let written = join_all(both).await;
        revs = std::array::from_fn(|lane| rev_of(&written[lane]));
    }
    let sent = store.platform.served().writes - before;
    assert!(sent < 2 * 4 * LANES as u64, "{sent} transactions for {} batches", 4 * LANES);
}

/// Answers are lost, copies of earlier batches are carried out late, and the partition is taken
/// over, in random order: each batch that was told made is there, in the order of its lane, and
/// none of a deposed owner comes after the takeover.
#[tokio::test]
async fn no_batch_is_made_twice_or_late_whatever_the_order() {
    for seed in 1..=SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let store = Store::start().await;
        let mut me = owner(1);
        let mut revs = store.take(&me).await;
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
                    revs = store.take(&me).await;
                }
                1..=3 if !late.is_empty() => {
                    store.platform.set_faults(Faults::default());
                    let tx = late.swap_remove(random.usize(..late.len()));
                    let outcome = store.transact(&tx).await;
                    assert!(matches!(outcome, TxOutcome::Conflict(_)), "seed {seed}: made late");
                }
                _ => {
                    let used: Vec<_> = (0..LANES).filter(|_| random.bool()).collect();
                    let first = number;
                    number += used.len() as u64;
                    let numbered = used.iter().zip(first + 1..);
                    let batches: Vec<_> =
                        numbered.map(|(&l, n)| writing(&me, l, revs[l], n)).collect();
                    late.extend(batches.iter().map(transaction));
                    for b in &batches {
                        last.insert(format!("last/{}", b.lane), b.batch.number);
                    }
                    let written = join_all(batches.into_iter().map(|b| store.write(b))).await;
                    for (&lane, w) in used.iter().zip(&written) {
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
