//! The number of partitions of a cell. It is decided once, from the number of workers when the cell
//! first starts, and stored as the plan.

use crate::assignment::count_partitions;
use crate::link;
use crate::owner_row::{RETRY_PAUSE, STORE_CALL_TIMEOUT, SYSTEM_TABLE};
use crate::shared::Shared;
use crate::wire::{Body, Plan, WhatPlan};
use hollowford_adapter::{
    ExpectedVersion, REGISTRY_TABLE, Row, StoreError, Transaction, TxOutcome, decode_listing,
};
use hollowford_core::Millis;
use hollowford_jobs::WorkerListing;
use prost::Message;
use std::num::NonZeroUsize;
use std::time::Duration;
use tokio::time::sleep;

/// Default number of workers per partition. Half a core is enough for 1,100 workers with 1,100
/// starts a second, since members make the calls (see docs/CAPACITY.md). A gang that may run on
/// three of ten workers fits into a partition of this size where it might not fit into a third of
/// it.
pub const DEFAULT_WORKERS_PER_PARTITION: NonZeroUsize = match NonZeroUsize::new(1_200) {
    Some(n) => n,
    None => NonZeroUsize::MIN,
};
/// Part of the table that holds the plan.
pub const PLAN_PART: &str = "plan";
/// Key of the plan's row.
const PLAN_KEY: &str = "plan";
/// Key of the row that names the process which counts the workers. Without it, hundreds of
/// processes that start at once would each read the whole worker list several times.
const COUNTER_KEY: &str = "counting";
/// Processes that start together claim the count after a random delay up to this limit, so that the
/// first claim is visible before most of the others are made.
const MAX_CLAIM_DELAY: Millis = Millis(600);
/// How long other processes wait for the one that counts: slightly longer than counting may take.
const COUNTER_TIMEOUT: Millis = Millis(8_000);
/// Interval at which the workers are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(400);
/// First interval at which a process that doesn't count polls for the plan.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Limit of the polling interval, which doubles each time: in a large cell hundreds of processes
/// poll.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(1_600);
/// How long the number of workers must be unchanged. Workers start over several seconds.
const STABLE_COUNT_TIME: Millis = Millis(1_200);
/// Time after which the current number of workers is used, even if it still changes.
const MAX_COUNT_TIME: Millis = Millis(6_000);

/// Learns the number of partitions from the store or another process, and decides it if it has not
/// been decided. Retries until it succeeds.
pub async fn learn(shared: &Shared, workers_per_partition: NonZeroUsize) -> u32 {
    let mut learner = PlanLearner::new(shared.clock.now(), fastrand::f64());
    loop {
        match learner.read_or_make_plan(shared, workers_per_partition).await {
            Ok(Some(partitions)) => return partitions,
            Ok(None) => learner.pause(shared).await,
            Err(e) => {
                log::debug!("plan.read failed error=\"{e}\"");
                if let Some(partitions) = ask_seeds(shared).await {
                    return partitions;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// A process's role in counting the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountingRole {
    /// Counts the workers.
    Counter,
    /// Has to claim the count, since no other process has.
    Claimant,
    /// Waits for another process that counts or may claim the count first.
    Waiter,
}

/// Learns the plan for one process.
#[derive(Debug)]
pub(crate) struct PlanLearner {
    /// When the process started to learn the plan.
    started_at: Millis,
    /// When the process may claim the count.
    claim_at: Millis,
    /// Next polling interval.
    poll_interval: Duration,
}

impl PlanLearner {
    /// Creates a learner that starts at `started_at` and may claim the count at `fraction` (0 to 1)
    /// of [`MAX_CLAIM_DELAY`].
    pub fn new(started_at: Millis, fraction: f64) -> PlanLearner {
        let claim_at = started_at + Millis((MAX_CLAIM_DELAY.0 as f64 * fraction) as u64);
        PlanLearner { started_at, claim_at, poll_interval: INITIAL_POLL_INTERVAL }
    }

    /// Reads the plan. If there is none, makes it when this process is the one to count the
    /// workers; returns `None` if it isn't.
    async fn read_or_make_plan(
        &self,
        shared: &Shared,
        workers_per_partition: NonZeroUsize,
    ) -> Result<Option<u32>, StoreError> {
        let rows = shared.store.read_all(SYSTEM_TABLE, PLAN_PART, STORE_CALL_TIMEOUT).await?.rows;
        shared.record_store_answer();
        if let Some(row) = rows.iter().find(|r| r.key == PLAN_KEY) {
            return Ok(decode_plan(row));
        }
        if !self.becomes_counter(shared, &rows).await? {
            return Ok(None);
        }
        let listings = read_workers(shared, self.started_at).await?;
        let (workers, partitions) =
            (listings.len(), count_partitions(&listings, workers_per_partition));
        let tx = Transaction {
            expect: vec![ExpectedVersion { key: PLAN_KEY.to_owned(), version: 0 }],
            put: vec![(PLAN_KEY.to_owned(), Plan { partitions }.encode_to_vec())],
            remove: Vec::new(),
        };
        match shared.store.transact(SYSTEM_TABLE, PLAN_PART, &tx, STORE_CALL_TIMEOUT).await? {
            TxOutcome::Committed(_) => {
                log::info!("plan.made partitions={partitions} workers={workers}");
                Ok(Some(partitions))
            }
            TxOutcome::Conflict(rows) => Ok(rows.iter().find_map(decode_plan)),
        }
    }

    /// Returns true if this process has to count the workers: it made the first claim, or the
    /// process that did has timed out.
    async fn becomes_counter(&self, shared: &Shared, rows: &[Row]) -> Result<bool, StoreError> {
        let own = shared.boot.to_be_bytes();
        match self.counting_role(rows, &own, shared.clock.now()) {
            CountingRole::Counter => return Ok(true),
            CountingRole::Waiter => return Ok(false),
            CountingRole::Claimant => {}
        }
        let tx = Transaction {
            expect: vec![ExpectedVersion { key: COUNTER_KEY.to_owned(), version: 0 }],
            put: vec![(COUNTER_KEY.to_owned(), own.to_vec())],
            remove: Vec::new(),
        };
        let outcome =
            shared.store.transact(SYSTEM_TABLE, PLAN_PART, &tx, STORE_CALL_TIMEOUT).await?;
        Ok(matches!(outcome, TxOutcome::Committed(_)))
    }

    /// Returns the role of the process with the boot id `own`, given the rows of the plan's part.
    pub(crate) fn counting_role(&self, rows: &[Row], own: &[u8], now: Millis) -> CountingRole {
        match rows.iter().find(|r| r.key == COUNTER_KEY) {
            Some(r) if r.value == own || now.since(self.started_at) >= COUNTER_TIMEOUT => {
                CountingRole::Counter
            }
            None if now >= self.claim_at => CountingRole::Claimant,
            _ => CountingRole::Waiter,
        }
    }

    /// Waits until this process may claim the count, or for the next poll.
    async fn pause(&mut self, shared: &Shared) {
        let until_claim = self.claim_at.since(shared.clock.now());
        if until_claim > Millis(0) {
            return sleep(until_claim.duration()).await;
        }
        sleep(self.poll_interval).await;
        self.poll_interval = (self.poll_interval * 2).min(MAX_POLL_INTERVAL);
    }
}

/// Reads the worker list once the number of workers is stable.
async fn read_workers(
    shared: &Shared,
    started_at: Millis,
) -> Result<Vec<WorkerListing>, StoreError> {
    let (mut count, mut since) = (0, shared.clock.now());
    loop {
        let feed = shared.store.read_all(REGISTRY_TABLE, "", STORE_CALL_TIMEOUT).await?;
        let workers = usable_workers(shared, &feed.rows);
        let now = shared.clock.now();
        if workers.len() != count {
            (count, since) = (workers.len(), now);
        }
        let stable = count > 0 && now.since(since) >= STABLE_COUNT_TIME;
        if stable || now.since(started_at) >= MAX_COUNT_TIME {
            return Ok(workers);
        }
        sleep(COUNT_INTERVAL).await;
    }
}

/// Returns the workers among the rows of the list. Other programs write to it, too: a pool known
/// only from their rows would otherwise be required in each partition.
fn usable_workers(shared: &Shared, rows: &[Row]) -> Vec<WorkerListing> {
    let config = shared.config.load_full();
    let in_named_pool = |l: &WorkerListing| config.as_ref().is_none_or(|c| c.has_pool(&l.pool));
    rows.iter().filter_map(decode_worker).filter(in_named_pool).collect()
}

/// Decodes a row. The owner that follows the list logs malformed ones.
fn decode_worker(row: &Row) -> Option<WorkerListing> {
    decode_listing(&row.key, &row.value)
        .inspect_err(|e| log::debug!("worker.malformed worker={:?} error=\"{e}\"", row.key))
        .ok()
}

fn decode_plan(row: &Row) -> Option<u32> {
    Plan::decode(&row.value[..])
        .inspect_err(|e| log::error!("plan.malformed error=\"{e}\""))
        .ok()
        .map(|p| p.partitions.max(1))
}

/// Asks the seeds for the number of partitions, since the store doesn't answer.
async fn ask_seeds(shared: &Shared) -> Option<u32> {
    for seed in shared.other_seeds() {
        let answer = link::request(seed, Body::WhatPlan(WhatPlan {}), STORE_CALL_TIMEOUT).await;
        if let Some(Body::Plan(plan)) = answer
            && plan.partitions > 0
        {
            log::info!("plan.told partitions={} by={seed}", plan.partitions);
            return Some(plan.partitions);
        }
    }
    None
}
