//! Many processes learn the number of partitions as a cell first starts; one of them counts the
//! workers.
#![allow(clippy::expect_used)]

use crate::owner_row::SYSTEM_TABLE;
use crate::plan::{CountingRole, DEFAULT_WORKERS_PER_PARTITION, PLAN_PART, PlanLearner, learn};
use crate::shared_tests::shared_with;
use futures::FutureExt;
use futures::future::join_all;
use hollowford_adapter::{Row, Transaction};
use hollowford_adapter_standin::formats::worker_row;
use hollowford_adapter_standin::{Platform, odd_rows};
use hollowford_core::Millis;
use std::num::NonZeroUsize;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Far above what a call takes, since the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);
/// One process reads the list every 0.4 s for at most 6 s.
const MAX_READS_OF_COUNTER: u64 = 16;
/// Reads of an unchanged list after which the number of workers counts as stable.
const READS_UNTIL_STABLE: u64 = 4;

async fn learn_in_processes(platform: &Platform, processes: usize) -> Vec<u32> {
    let learners = (0..processes).map(|_| async {
        let shared = shared_with(Some(platform.addr()));
        learn(&shared, DEFAULT_WORKERS_PER_PARTITION).await
    });
    join_all(learners).await
}

/// 147 processes start at once in a cell of 1,100 workers. When each of them counted the workers,
/// it read the whole list about nine times (3.7 MB) over links of 10 to 20 Mbit/s, 457 MB in all.
#[tokio::test]
async fn one_process_counts_the_workers_and_the_others_wait_for_its_plan() {
    let platform = Platform::start(30).await.expect("the platform");
    assert_eq!(learn_in_processes(&platform, 12).await, [1; 12]);
    let read = platform.store_stats().list_reads;
    assert!(read <= MAX_READS_OF_COUNTER, "the list was read {read} times");
}

/// The process that claimed the count is killed. The others must not wait for it forever.
#[tokio::test]
async fn a_failed_counter_is_not_waited_for_forever() {
    let platform = Platform::start(3).await.expect("the platform");
    let failed = shared_with(Some(platform.addr()));
    let tx = Transaction {
        expect: Vec::new(),
        put: vec![("counting".to_owned(), failed.boot.to_be_bytes().to_vec())],
        remove: Vec::new(),
    };
    failed.store.transact(SYSTEM_TABLE, PLAN_PART, &tx, TIMEOUT).await.expect("an answer");
    assert_eq!(learn_in_processes(&platform, 2).await, [1; 2]);
}

/// 588 processes look for a claim at the same time and find none. When all of them claimed the
/// count, the store refused two out of three claims, since it executes 200 writes a second.
#[test]
fn processes_that_start_together_do_not_all_claim_the_count() {
    let counter_row = |by: u64| Row {
        key: "counting".to_owned(),
        value: by.to_be_bytes().to_vec(),
        version: 3,
        removed: false,
    };
    let started_at = Millis(100);
    // The store answers within about 20 ms; later processes see the first claim.
    let claims = (0..588_u64)
        .filter(|&i| {
            let learner = PlanLearner::new(started_at, i as f64 / 588.0);
            let own = i.to_be_bytes();
            assert_eq!(
                learner.counting_role(&[counter_row(i)], &own, started_at),
                CountingRole::Counter
            );
            let early =
                learner.counting_role(&[], &own, started_at + Millis(20)) == CountingRole::Claimant;
            let late = learner.counting_role(&[counter_row(0)], &own, started_at + Millis(700));
            assert!(i == 0 || late == CountingRole::Waiter);
            early
        })
        .count();
    assert!(claims <= 30, "{claims} claims before the first one is visible");
    let learner = PlanLearner::new(started_at, 1.0);
    let role = learner.counting_role(&[counter_row(0)], &[9], started_at + Millis(8_000));
    assert_eq!(role, CountingRole::Counter, "a failed counter is not waited for forever");
}

// Another program's entry was there before the workers started. It was counted as a worker whose
// number was stable, and the cell got one partition for good.
#[tokio::test]
async fn entries_of_other_programs_are_not_counted_as_workers() {
    let platform = Platform::start(0).await.expect("the platform");
    let odd_rows = odd_rows::unusable_worker_rows();
    for (i, row) in odd_rows.iter().enumerate() {
        platform.write_raw_worker_row(&format!("odd{i}"), row);
    }
    let shared = shared_with(Some(platform.addr()));
    let two_workers = NonZeroUsize::new(2).expect("a number");
    let workers_start = async {
        while platform.store_stats().list_reads < READS_UNTIL_STABLE {
            sleep(Duration::from_millis(5)).await;
        }
        for i in 0..4 {
            let row = worker_row("127.0.0.1:9", "z", &["a", &format!("r{i}")], false);
            platform.write_raw_worker_row(&format!("w{i}"), row.to_string().as_bytes());
        }
    };
    let learned = timeout(TIMEOUT, learn(&shared, two_workers));
    let ((), learned) = tokio::join!(timeout(TIMEOUT, workers_start).map(|_| ()), learned);
    assert_eq!(learned, Ok(2));
}
