//! How many partitions the cell has. It is decided once, when the cell first starts, by how
//! many workers there are, and kept in the store.

use crate::assignment::count_partitions;
use crate::link;
use crate::owner_row::{RETRY_PAUSE, STORE_CALL_TIMEOUT, SYSTEM_TABLE};
use crate::shared::Shared;
use crate::wire::{Body, Plan, WhatPlan};
use hollowford_adapter::{
    Expect, REGISTRY_TABLE, Row, StoreError, Transaction, TxOutcome, decode_listing,
};
use hollowford_core::Millis;
use hollowford_jobs::WorkerListing;
use prost::Message;
use std::num::NonZeroUsize;
use std::time::Duration;
use tokio::time::sleep;

/// Workers that one owner decides for, unless it is set. Half a core carries 1,100 with 1,100
/// starts a second, since members make the calls (docs/CAPACITY.md); and a gang that may run on
/// three workers of ten finds room in a partition of that size which it doesn't find in a third.
pub const DEFAULT_WORKERS_PER_PARTITION: NonZeroUsize = match NonZeroUsize::new(1_200) {
    Some(n) => n,
    None => NonZeroUsize::MIN,
};
/// Part of the table that holds the plan.
pub const PLAN_PART: &str = "plan";
/// Key of the plan.
const PLAN_KEY: &str = "plan";
/// Key of the row that names the process which counts the workers: hundreds of processes that
/// start at once would each read the whole list several times.
const COUNTER_KEY: &str = "counting";
/// Processes that start together say that they count at times within this one: the first says so
/// before most of the others come to it.
const MAX_CLAIM_DELAY: Millis = Millis(600);
/// A process that has said that it counts is waited for so long: somewhat more than it may take.
const COUNTER_TIMEOUT: Millis = Millis(8_000);
/// How often the workers are counted when a cell first starts.
const COUNT_INTERVAL: Duration = Duration::from_millis(400);
/// The others look for the plan after this time,
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// and then at longer and longer intervals up to this one: in a cell of hundreds each look is
/// hundreds of readings.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(1_600);
/// The count is taken once it has stood for so long, since workers start over some seconds.
const STABLE_COUNT_TIME: Millis = Millis(1_200);
/// It is taken anyway after this time.
const MAX_COUNT_TIME: Millis = Millis(6_000);

/// Learns how many partitions there are, from the store or another process; decides it if
/// nobody has.
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

/// Whether a process counts the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountingRole {
    /// It does.
    Counter,
    /// It is to say that it does, if nobody else has by then.
    Claimant,
    /// Another one does, or may say so before.
    Waiter,
}

/// A process that learns the plan.
#[derive(Debug)]
pub(crate) struct PlanLearner {
    /// When it began.
    started_at: Millis,
    /// It doesn't count the workers before.
    claim_at: Millis,
    /// Its next pause.
    poll_interval: Duration,
}

impl PlanLearner {
    /// Starts at `started_at`; its turn to count comes at `fraction` (0 to 1) of the time in which all have
    /// theirs.
    pub fn new(started_at: Millis, fraction: f64) -> PlanLearner {
        let claim_at = started_at + Millis((MAX_CLAIM_DELAY.0 as f64 * fraction) as u64);
        PlanLearner { started_at, claim_at, poll_interval: INITIAL_POLL_INTERVAL }
    }

    /// Reads the plan, or makes it if there is none; none while another process is to make it.
    async fn read_or_make_plan(
        &self,
        shared: &Shared,
        workers_per_partition: NonZeroUsize,
    ) -> Result<Option<u32>, StoreError> {
        let rows = shared.store.read_all(SYSTEM_TABLE, PLAN_PART, STORE_CALL_TIMEOUT).await?.rows;
        shared.note_store();
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
            expect: vec![Expect { key: PLAN_KEY.to_owned(), version: 0 }],
            put: vec![(PLAN_KEY.to_owned(), Plan { partitions }.encode_to_vec())],
            remove: Vec::new(),
        };
        match shared.store.transact(SYSTEM_TABLE, PLAN_PART, &tx, STORE_CALL_TIMEOUT).await? {
            TxOutcome::Made(_) => {
                log::info!("plan.made partitions={partitions} workers={workers}");
                Ok(Some(partitions))
            }
            TxOutcome::Conflict(rows) => Ok(rows.iter().find_map(decode_plan)),
        }
    }

    /// Tells whether this process is to count the workers: the first one that says so does, and any
    /// once that one has been waited for too long.
    async fn becomes_counter(&self, shared: &Shared, rows: &[Row]) -> Result<bool, StoreError> {
        let own = shared.boot.to_be_bytes();
        match self.counting_role(rows, &own, shared.clock.now()) {
            CountingRole::Counter => return Ok(true),
            CountingRole::Waiter => return Ok(false),
            CountingRole::Claimant => {}
        }
        let tx = Transaction {
            expect: vec![Expect { key: COUNTER_KEY.to_owned(), version: 0 }],
            put: vec![(COUNTER_KEY.to_owned(), own.to_vec())],
            remove: Vec::new(),
        };
        let outcome =
            shared.store.transact(SYSTEM_TABLE, PLAN_PART, &tx, STORE_CALL_TIMEOUT).await?;
        Ok(matches!(outcome, TxOutcome::Made(_)))
    }

    /// Tells what the plan's rows mean for the process that calls itself `own`.
    pub(crate) fn counting_role(&self, rows: &[Row], own: &[u8], now: Millis) -> CountingRole {
        match rows.iter().find(|r| r.key == COUNTER_KEY) {
            Some(r) if r.value == own || now.since(self.started_at) >= COUNTER_TIMEOUT => {
                CountingRole::Counter
            }
            None if now >= self.claim_at => CountingRole::Claimant,
            _ => CountingRole::Waiter,
        }
    }

    /// Waits for its turn to count, or for another process's plan.
    async fn pause(&mut self, shared: &Shared) {
        let until_claim = self.claim_at.since(shared.clock.now());
        if until_claim > Millis(0) {
            return sleep(until_claim.duration()).await;
        }
        sleep(self.poll_interval).await;
        self.poll_interval = (self.poll_interval * 2).min(MAX_POLL_INTERVAL);
    }
}

/// Reads the list of workers once their number stands.
async fn read_workers(
    shared: &Shared,
    started_at: Millis,
) -> Result<Vec<WorkerListing>, StoreError> {
    let (mut count, mut since) = (0, shared.clock.now());
    loop {
        let feed = shared.store.read_all(REGISTRY_TABLE, "", STORE_CALL_TIMEOUT).await?;
        let now = shared.clock.now();
        if feed.rows.len() != count {
            (count, since) = (feed.rows.len(), now);
        }
        let stable = count > 0 && now.since(since) >= STABLE_COUNT_TIME;
        if stable || now.since(started_at) >= MAX_COUNT_TIME {
            let config = shared.config.load_full();
            // A pool of another writer's rows would have to be in each partition.
            let named = |l: &WorkerListing| config.as_ref().is_none_or(|c| c.names_pool(&l.pool));
            return Ok(feed.rows.iter().filter_map(decode_worker).filter(named).collect());
        }
        sleep(COUNT_INTERVAL).await;
    }
}

fn decode_worker(row: &Row) -> Option<WorkerListing> {
    decode_listing(&row.key, &row.value)
        .inspect_err(|e| log::error!("worker.malformed worker={} error=\"{e}\"", row.key))
        .ok()
}

fn decode_plan(row: &Row) -> Option<u32> {
    Plan::decode(&row.value[..])
        .inspect_err(|e| log::error!("plan.malformed error=\"{e}\""))
        .ok()
        .map(|p| p.partitions.max(1))
}

/// Asks the seeds, for a process that starts while the store is away.
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
