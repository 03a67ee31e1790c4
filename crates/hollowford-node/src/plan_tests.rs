//! A cell that starts for the first time: many processes, and one has to count the workers.
#![allow(clippy::expect_used)]

use crate::owner_row::TABLE;
use crate::plan::{Learning, PART, Turn, WORKERS_EACH, learn};
use crate::shared_tests::shared_with;
use futures::future::join_all;
use hollowford_adapter::{Row, Transaction};
use hollowford_adapter_standin::Platform;
use hollowford_core::Millis;
use std::time::Duration;

/// Far above what a call takes, since the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);
/// One process reads the list every 0.4 s for 6 s at most.
const READS_OF_ONE: u64 = 16;

async fn learn_as_many(platform: &Platform, processes: usize) -> Vec<u32> {
    let learners = (0..processes).map(|_| async {
        let shared = shared_with(Some(platform.addr()));
        learn(&shared, WORKERS_EACH).await
    });
    join_all(learners).await
}

/// Pattern: 147 processes start at once in a cell of 1,100 workers. Each read the whole list
/// some nine times, 3.7 MB, over links of 10 to 20 Mbit/s: 457 MB in all.
#[tokio::test]
async fn one_process_counts_the_workers_and_the_others_wait_for_its_plan() {
    let platform = Platform::start(30).await.expect("the platform");
    assert_eq!(learn_as_many(&platform, 12).await, [1; 12]);
    let read = platform.store_stats().list_reads;
    assert!(read <= READS_OF_ONE, "the list was read {read} times");
}

/// Pattern: the process that counts is killed. Nobody waits for it for ever.
#[tokio::test]
async fn a_process_that_said_that_it_counts_and_is_gone_is_not_waited_for() {
    let platform = Platform::start(3).await.expect("the platform");
    let gone = shared_with(Some(platform.addr()));
    let tx = Transaction {
        expect: Vec::new(),
        put: vec![("counting".to_owned(), gone.boot.to_be_bytes().to_vec())],
        remove: Vec::new(),
    };
    gone.store.transact(TABLE, PART, &tx, TIMEOUT).await.expect("an answer");
    assert_eq!(learn_as_many(&platform, 2).await, [1; 2]);
}

/// Pattern: 588 processes look at once, and nobody counts yet. Each said that it counts, and the store
/// refused two of three, since it takes 200 such writings a second.
#[test]
fn processes_that_start_together_do_not_all_say_that_they_count() {
    let counting = |by: u64| Row {
        key: "counting".to_owned(),
        value: by.to_be_bytes().to_vec(),
        version: 3,
        removed: false,
    };
    let began = Millis(100);
    // The store's answer takes some 20 ms. By then the row of the first is read.
    let said = (0..588_u64)
        .filter(|&i| {
            let learning = Learning::new(began, i as f64 / 588.0);
            let own = i.to_be_bytes();
            assert_eq!(learning.turn_to_count(&[counting(i)], &own, began), Turn::Counts);
            let early = learning.turn_to_count(&[], &own, began + Millis(20)) == Turn::SaysSo;
            let late = learning.turn_to_count(&[counting(0)], &own, began + Millis(700));
            assert!(i == 0 || late == Turn::Waits);
            early
        })
        .count();
    assert!(said <= 30, "{said} say that they count before the first one is read");
    let learning = Learning::new(began, 1.0);
    let gone = learning.turn_to_count(&[counting(0)], &[9], began + Millis(8_000));
    assert_eq!(gone, Turn::Counts, "one that is gone is not waited for for ever");
}
