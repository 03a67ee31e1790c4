//! Measures how fast accepted jobs become durable, by the answer time of the store and the number
//! of lanes, and how long recovery takes: `cargo bench -p hollowford-jobs --bench ledger`
//!
//! The first table is computed on a virtual clock and is exact. The store executes transactions one
//! after the other; half of its answer time is the transaction, and half is the network.

use hollowford_core::{Millis, Resources};
use hollowford_jobs::{
    Batch, Engine, JobId, JobSpec, NO_ACCOUNT, Queue, RawJob, RawStep, TimeLimits,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Answer times of the store, in milliseconds.
const ANSWER_TIMES_MS: [u64; 3] = [5, 50, 500];
/// Maximum numbers of batches in flight.
const LANE_COUNTS: [usize; 3] = [1, 2, 4];
/// Jobs submitted per second of the steady load, which is that of a deployment with a burst of
/// checks.
const JOBS_PER_S: u64 = 40;
/// Duration of the steady load, in milliseconds.
const LOAD_MS: u64 = 20_000;
/// Jobs submitted at once, to measure the maximum throughput.
const BACKLOG_JOBS: u64 = 4_000;
/// Minimum time between two batches, in milliseconds; the same as that of an owner.
const MIN_BATCH_INTERVAL_MS: u64 = 14;
/// Numbers of open jobs of the measured recoveries.
const OPEN_JOBS: [u64; 3] = [100, 1_000, 10_000];

const TIME_LIMITS: TimeLimits = TimeLimits {
    lease: Millis(3_000),
    previous_lease: Millis(5_100),
    max_lease: Millis(6_000),
    stop_timeout: Millis(400),
    gang_timeout: Millis(3_000),
    ended_job_retention: Millis(150_000),
};

fn main() {
    println!("| answer ms | lanes | durable after, mean ms | p99 ms | jobs/s of a backlog |");
    println!("| --- | --- | --- | --- | --- |");
    for answer_ms in ANSWER_TIMES_MS {
        for lanes in LANE_COUNTS {
            let (mean, p99) = steady_load(answer_ms, lanes);
            println!(
                "| {answer_ms} | {lanes} | {mean} | {p99} | {} |",
                backlog_rate(answer_ms, lanes)
            );
        }
    }
    println!("\n| open jobs | rows | recovery ms |\n| --- | --- | --- |");
    for jobs in OPEN_JOBS {
        let (rows, ms) = recovery(jobs);
        println!("| {jobs} | {rows} | {ms:.2} |");
    }
}

/// An engine and a store on a virtual clock.
struct LedgerSimulation {
    engine: Engine,
    spec: Arc<JobSpec>,
    now: u64,
    lanes: usize,
    transaction_ms: u64,
    network_ms: u64,
    /// When the store has executed the last transaction.
    store_free_at: u64,
    last_batch_at: u64,
    /// Batches in flight, by the times of their answers and their numbers.
    in_flight: BTreeMap<(u64, u64), Batch>,
    rows: BTreeMap<String, Vec<u8>>,
}

impl LedgerSimulation {
    fn new(answer_ms: u64, lanes: usize) -> LedgerSimulation {
        let mut engine = Engine::new(1, TIME_LIMITS, Millis(0));
        let queue = Queue {
            name: "q".into(),
            pool: "pool".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 1.5,
            slack: Millis(250),
            advice: None,
        };
        engine.set_queues(&[queue], Millis(0));
        let transaction_ms = answer_ms / 2;
        LedgerSimulation {
            engine,
            spec: spec(),
            now: 0,
            lanes,
            transaction_ms,
            network_ms: answer_ms - transaction_ms,
            store_free_at: 0,
            last_batch_at: 0,
            in_flight: BTreeMap::new(),
            rows: BTreeMap::new(),
        }
    }

    fn submit(&mut self, id: u64) {
        // Spreads the ids over all values, like those that callers choose.
        let id = JobId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self.engine.submit(id, NO_ACCOUNT, "q", self.spec.clone(), Millis(self.now));
    }

    /// Processes the answers that are due, sends the next batch and advances the clock by 1 ms.
    /// Returns the number of rows written.
    fn tick(&mut self) -> u64 {
        let mut written = 0;
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= self.now
        {
            let batch = entry.remove();
            written += batch.rows.len() as u64;
            self.engine.batch_committed(batch.number, Millis(self.now));
            let rows = batch.rows.into_iter().filter_map(|r| Some((r.key, r.value?)));
            self.rows.extend(rows);
        }
        let may_send = self.in_flight.len() < self.lanes
            && self.now >= self.last_batch_at + MIN_BATCH_INTERVAL_MS;
        if may_send && let Some(batch) = self.engine.next_batch(Millis(self.now)) {
            self.last_batch_at = self.now;
            let arrives_at = self.now + self.network_ms / 2;
            self.store_free_at = self.store_free_at.max(arrives_at) + self.transaction_ms;
            let answered_at = self.store_free_at + self.network_ms - self.network_ms / 2;
            self.in_flight.insert((answered_at, batch.number), batch);
        }
        self.now += 1;
        written
    }
}

fn spec() -> Arc<JobSpec> {
    let step = RawStep {
        count: 6,
        resources: Resources::new(3_000, 8_700, 0),
        estimate_ms: 560,
        ..RawStep::default()
    };
    let raw = RawJob { template: "t".into(), steps: vec![step], schedule: None };
    match JobSpec::try_from(raw) {
        Ok(spec) => Arc::new(spec),
        Err(e) => panic!("job specification should be valid: {e}"),
    }
}

/// Returns the mean and the 99th percentile of the time until a job is durable under the steady
/// load, in milliseconds.
fn steady_load(answer_ms: u64, lanes: usize) -> (u64, u64) {
    let mut simulation = LedgerSimulation::new(answer_ms, lanes);
    let mut waiting = std::collections::VecDeque::new();
    let mut latencies_ms = Vec::new();
    while simulation.now < LOAD_MS {
        if simulation.now.is_multiple_of(1_000 / JOBS_PER_S) {
            simulation.submit(simulation.now);
            waiting.push_back(simulation.now);
        }
        // Jobs are written in the order of submission.
        for _ in 0..simulation.tick() {
            latencies_ms.extend(waiting.pop_front().map(|since| simulation.now - since));
        }
    }
    latencies_ms.sort_unstable();
    let mean = latencies_ms.iter().sum::<u64>() / (latencies_ms.len() as u64).max(1);
    (mean, latencies_ms.get(latencies_ms.len() * 99 / 100).copied().unwrap_or(0))
}

/// Returns how many jobs per second become durable while a backlog waits.
fn backlog_rate(answer_ms: u64, lanes: usize) -> u64 {
    let mut simulation = LedgerSimulation::new(answer_ms, lanes);
    (0..BACKLOG_JOBS).for_each(|id| simulation.submit(id));
    let mut durable = 0;
    while durable < BACKLOG_JOBS {
        durable += simulation.tick();
    }
    BACKLOG_JOBS * 1_000 / simulation.now
}

/// Returns the number of rows of `jobs` open jobs, and the time to recover from them in
/// milliseconds.
fn recovery(jobs: u64) -> (usize, f64) {
    let mut simulation = LedgerSimulation::new(5, 2);
    (0..jobs).for_each(|id| simulation.submit(id));
    let mut durable = 0;
    while durable < jobs {
        durable += simulation.tick();
    }
    let rows: Vec<_> = simulation.rows.into_iter().collect();
    let mut engine = Engine::new(2, TIME_LIMITS, Millis(0));
    let started_at = Instant::now();
    if let Err(e) = engine.recover(&rows, Millis(0)) {
        panic!("rows should be readable: {e}");
    }
    (rows.len(), started_at.elapsed().as_secs_f64() * 1_000.0)
}
