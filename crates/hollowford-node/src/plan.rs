//! How many partitions the cell has. It is decided once, when the cell first starts, by how
//! many workers there are, and kept in the store.

use crate::homes::count_partitions;
use crate::link;
use crate::owner_row::{CALL_TIMEOUT, RETRY, TABLE};
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

/// Workers that one owner decides for, unless it is set. Half a core carries 1,100 with 1,100
/// starts a second, since members make the calls (docs/CAPACITY.md); and a gang that may run on
/// three workers of ten finds room in a partition of that size which it doesn't find in a third.
pub const WORKERS_EACH: NonZeroUsize = match NonZeroUsize::new(1_200) {
    Some(n) => n,
    None => NonZeroUsize::MIN,
};
/// Part of the table that holds the plan.
pub const PART: &str = "plan";
/// Key of the plan.
const PLAN_KEY: &str = "plan";
/// Key of the row that names the process which counts the workers: hundreds of processes that
/// start at once would each read the whole list several times.
const COUNTING_KEY: &str = "counting";
/// Processes that start together say that they count at times within this one: the first says so
/// before most of the others come to it.
const COUNTING_SPREAD: Millis = Millis(600);
/// A process that has said that it counts is waited for so long: somewhat more than it may take.
const COUNTED_WITHIN: Millis = Millis(8_000);
/// How often the workers are counted when a cell first starts.
const COUNT_EVERY: Duration = Duration::from_millis(400);
/// The others look for the plan after this time,
const LOOK_AFTER: Duration = Duration::from_millis(400);
/// and then at longer and longer intervals up to this one: in a cell of hundreds each look is
/// hundreds of readings.
const LOOK_EVERY: Duration = Duration::from_millis(1_600);
/// The count is taken once it has stood for so long, since workers start over some seconds.
const COUNT_STANDS: Millis = Millis(1_200);
/// It is taken anyway after this time.
const COUNT_WITHIN: Millis = Millis(6_000);

/// Learns how many partitions there are, from the store or another process; decides it if
/// nobody has.
pub async fn learn(shared: &Shared, workers_each: NonZeroUsize) -> u32 {
    let mut learning = Learning::new(shared.clock.now(), fastrand::f64());
    loop {
        match learning.try_learn(shared, workers_each).await {
            Ok(Some(partitions)) => return partitions,
            Ok(None) => learning.pause(shared).await,
            Err(e) => {
                log::debug!("plan.read failed error=\"{e}\"");
                if let Some(partitions) = ask_seeds(shared).await {
                    return partitions;
                }
                sleep(RETRY).await;
            }
        }
    }
}

/// Whether a process counts the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It does.
    Counts,
    /// It is to say that it does, if nobody else has by then.
    SaysSo,
    /// Another one does, or may say so before.
    Waits,
}

/// A process that learns the plan.
#[derive(Debug)]
pub(crate) struct Learning {
    /// When it began.
    began: Millis,
    /// It doesn't count the workers before.
    turn: Millis,
    /// Its next pause.
    pause: Duration,
}

impl Learning {
    /// Starts at `began`; its turn to count comes at `share` (0 to 1) of the time in which all have
    /// theirs.
    pub fn new(began: Millis, share: f64) -> Learning {
        let turn = began + Millis((COUNTING_SPREAD.0 as f64 * share) as u64);
        Learning { began, turn, pause: LOOK_AFTER }
    }

    /// Reads the plan, or makes it if there is none; none while another process is to make it.
    async fn try_learn(
        &self,
        shared: &Shared,
        workers_each: NonZeroUsize,
    ) -> Result<Option<u32>, StoreError> {
        let rows = shared.store.read_all(TABLE, PART, CALL_TIMEOUT).await?.rows;
        shared.record_store_answer();
        if let Some(row) = rows.iter().find(|r| r.key == PLAN_KEY) {
            return Ok(decode(row));
        }
        if !self.counts_here(shared, &rows).await? {
            return Ok(None);
        }
        let listings = read_workers(shared, self.began).await?;
        let (workers, partitions) = (listings.len(), count_partitions(&listings, workers_each));
        let tx = Transaction {
            expect: vec![ExpectedVersion { key: PLAN_KEY.to_owned(), version: 0 }],
            put: vec![(PLAN_KEY.to_owned(), Plan { partitions }.encode_to_vec())],
            remove: Vec::new(),
        };
        match shared.store.transact(TABLE, PART, &tx, CALL_TIMEOUT).await? {
            TxOutcome::Committed(_) => {
                log::info!("plan.made partitions={partitions} workers={workers}");
                Ok(Some(partitions))
            }
            TxOutcome::Conflict(rows) => Ok(rows.iter().find_map(decode)),
        }
    }

    /// Tells whether this process is to count the workers: the first one that says so does, and any
    /// once that one has been waited for too long.
    async fn counts_here(&self, shared: &Shared, rows: &[Row]) -> Result<bool, StoreError> {
        let own = shared.boot.to_be_bytes();
        match self.turn_to_count(rows, &own, shared.clock.now()) {
            Turn::Counts => return Ok(true),
            Turn::Waits => return Ok(false),
            Turn::SaysSo => {}
        }
        let tx = Transaction {
            expect: vec![ExpectedVersion { key: COUNTING_KEY.to_owned(), version: 0 }],
            put: vec![(COUNTING_KEY.to_owned(), own.to_vec())],
            remove: Vec::new(),
        };
        let outcome = shared.store.transact(TABLE, PART, &tx, CALL_TIMEOUT).await?;
        Ok(matches!(outcome, TxOutcome::Committed(_)))
    }

    /// Tells what the plan's rows mean for the process that calls itself `own`.
    pub(crate) fn turn_to_count(&self, rows: &[Row], own: &[u8], now: Millis) -> Turn {
        match rows.iter().find(|r| r.key == COUNTING_KEY) {
            Some(r) if r.value == own || now.since(self.began) >= COUNTED_WITHIN => Turn::Counts,
            None if now >= self.turn => Turn::SaysSo,
            _ => Turn::Waits,
        }
    }

    /// Waits for its turn to count, or for another process's plan.
    async fn pause(&mut self, shared: &Shared) {
        let to_turn = self.turn.since(shared.clock.now());
        if to_turn > Millis(0) {
            return sleep(to_turn.duration()).await;
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LOOK_EVERY);
    }
}

/// Reads the list of workers once their number stands.
async fn read_workers(shared: &Shared, began: Millis) -> Result<Vec<WorkerListing>, StoreError> {
    let (mut count, mut since) = (0, shared.clock.now());
    loop {
        let feed = shared.store.read_all(REGISTRY_TABLE, "", CALL_TIMEOUT).await?;
        let now = shared.clock.now();
        if feed.rows.len() != count {
            (count, since) = (feed.rows.len(), now);
        }
        let stands = count > 0 && now.since(since) >= COUNT_STANDS;
        if stands || now.since(began) >= COUNT_WITHIN {
            let config = shared.config.load_full();
            // A pool of another writer's rows would have to be in each partition.
            let named = |l: &WorkerListing| config.as_ref().is_none_or(|c| c.has_pool(&l.pool));
            return Ok(feed.rows.iter().filter_map(listing).filter(named).collect());
        }
        sleep(COUNT_EVERY).await;
    }
}

fn listing(row: &Row) -> Option<WorkerListing> {
    decode_listing(&row.key, &row.value)
        .inspect_err(|e| log::error!("worker.malformed worker={} error=\"{e}\"", row.key))
        .ok()
}

fn decode(row: &Row) -> Option<u32> {
    Plan::decode(&row.value[..])
        .inspect_err(|e| log::error!("plan.malformed error=\"{e}\""))
        .ok()
        .map(|p| p.partitions.max(1))
}

/// Asks the seeds, for a process that starts while the store is away.
async fn ask_seeds(shared: &Shared) -> Option<u32> {
    for seed in shared.other_seeds() {
        let answer = link::ask(seed, Body::WhatPlan(WhatPlan {}), CALL_TIMEOUT).await;
        if let Some(Body::Plan(plan)) = answer
            && plan.partitions > 0
        {
            log::info!("plan.told partitions={} by={seed}", plan.partitions);
            return Some(plan.partitions);
        }
    }
    None
}
