//! A cell that starts for the first time: many processes, and one has to count the workers.
#![allow(clippy::expect_used)]

use crate::owner_row::TABLE;
use crate::plan::{PART, WORKERS_EACH, learn};
use crate::shared_tests::shared_with;
use futures::future::join_all;
use hollowford_adapter::Transaction;
use hollowford_adapter_standin::Platform;
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
    let read = platform.served().list_reads;
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
