//! How fast acceptances get into a store of a given speed, with one lane and more, and how long
//! recovery takes. `cargo bench -p hollowford-jobs --bench ledger`
//!
//! The first two tables are on a virtual clock and exact. The store makes transactions one
//! after the other; half of its answer time is the turn of a transaction, half the way there.

use hollowford_core::{Millis, Resources};
use hollowford_jobs::{
    Batch, Engine, JobId, JobSpec, NO_ACCOUNT, Queue, RawJob, RawStep, TimeLimits,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Times in milliseconds that the store takes to answer one call.
const ANSWERS: [u64; 3] = [5, 50, 500];
const LANES: [usize; 3] = [1, 2, 4];
/// Jobs a second of the steady load: hrn-sched with its burst of checks.
const RATE: u64 = 40;
/// How long the steady load lasts, in milliseconds.
const LASTS: u64 = 20_000;
/// Jobs handed in at once, for the most that the store takes.
const BACKLOG: u64 = 4_000;
/// Shortest time between two batches, as the owner has it, in milliseconds.
const GAP: u64 = 14;
/// Open jobs of the recoveries that are timed.
const OPEN_JOBS: [u64; 3] = [100, 1_000, 10_000];

const BOUNDS: TimeLimits = TimeLimits {
    lease: Millis(3_000),
    previous_lease: Millis(5_100),
    max_lease: Millis(6_000),
    stop_timeout: Millis(400),
    gang_timeout: Millis(3_000),
    ended_job_retention: Millis(150_000),
};

fn main() {
    println!("| answer ms | lanes | kept after, mean ms | p99 ms | jobs/s of a backlog |");
    println!("| --- | --- | --- | --- | --- |");
    for answer in ANSWERS {
        for lanes in LANES {
            let (mean, p99) = steady(answer, lanes);
            println!("| {answer} | {lanes} | {mean} | {p99} | {} |", backlog(answer, lanes));
        }
    }
    println!("\n| open jobs | rows | recovery ms |\n| --- | --- | --- |");
    for jobs in OPEN_JOBS {
        let (rows, ms) = recovery(jobs);
        println!("| {jobs} | {rows} | {ms:.2} |");
    }
}

/// An engine and a store on a virtual clock.
struct Ledger {
    engine: Engine,
    spec: Arc<JobSpec>,
    now: u64,
    lanes: usize,
    turn: u64,
    way: u64,
    /// When the last transaction's turn ends.
    turn_ends: u64,
    cut_at: u64,
    /// Batches under way, by the time of their answers.
    under_way: BTreeMap<(u64, u64), Batch>,
    rows: BTreeMap<String, Vec<u8>>,
}

impl Ledger {
    fn new(answer: u64, lanes: usize) -> Ledger {
        let mut engine = Engine::new(1, BOUNDS, Millis(0));
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
        let turn = answer / 2;
        Ledger {
            engine,
            spec: spec(),
            now: 0,
            lanes,
            turn,
            way: answer - turn,
            turn_ends: 0,
            cut_at: 0,
            under_way: BTreeMap::new(),
            rows: BTreeMap::new(),
        }
    }

    fn submit(&mut self, id: u64) {
        // Ids spread as callers choose them.
        let id = JobId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self.engine.submit(id, NO_ACCOUNT, "q", self.spec.clone(), Millis(self.now));
    }

    /// Takes in the answers that are due, and cuts the next batch. Returns how many rows were
    /// written.
    fn tick(&mut self) -> u64 {
        let mut written = 0;
        while let Some(entry) = self.under_way.first_entry()
            && entry.key().0 <= self.now
        {
            let batch = entry.remove();
            written += batch.rows.len() as u64;
            self.engine.committed(batch.number, Millis(self.now));
            let rows = batch.rows.into_iter().filter_map(|r| Some((r.key, r.value?)));
            self.rows.extend(rows);
        }
        let may_cut = self.under_way.len() < self.lanes && self.now >= self.cut_at + GAP;
        if may_cut && let Some(batch) = self.engine.cut_batch(Millis(self.now)) {
            self.cut_at = self.now;
            let there = self.now + self.way / 2;
            self.turn_ends = self.turn_ends.max(there) + self.turn;
            let answered = self.turn_ends + self.way - self.way / 2;
            self.under_way.insert((answered, batch.number), batch);
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
        Err(e) => panic!("the specification is valid: {e}"),
    }
}

/// Returns the mean and the 99th percentile of the time until a job is kept, under the load.
fn steady(answer: u64, lanes: usize) -> (u64, u64) {
    let mut ledger = Ledger::new(answer, lanes);
    let mut waiting = std::collections::VecDeque::new();
    let mut times = Vec::new();
    while ledger.now < LASTS {
        if ledger.now.is_multiple_of(1_000 / RATE) {
            ledger.submit(ledger.now);
            waiting.push_back(ledger.now);
        }
        // Acceptances are written in the order in which they come.
        for _ in 0..ledger.tick() {
            times.extend(waiting.pop_front().map(|since| ledger.now - since));
        }
    }
    times.sort_unstable();
    let mean = times.iter().sum::<u64>() / (times.len() as u64).max(1);
    (mean, times.get(times.len() * 99 / 100).copied().unwrap_or(0))
}

/// Returns how many jobs a second are kept while more wait.
fn backlog(answer: u64, lanes: usize) -> u64 {
    let mut ledger = Ledger::new(answer, lanes);
    (0..BACKLOG).for_each(|id| ledger.submit(id));
    let mut kept = 0;
    while kept < BACKLOG {
        kept += ledger.tick();
    }
    BACKLOG * 1_000 / ledger.now
}

/// Returns how many rows so many open jobs have, and how long it takes to read them in.
fn recovery(jobs: u64) -> (usize, f64) {
    let mut ledger = Ledger::new(5, 2);
    (0..jobs).for_each(|id| ledger.submit(id));
    let mut kept = 0;
    while kept < jobs {
        kept += ledger.tick();
    }
    let rows: Vec<_> = ledger.rows.into_iter().collect();
    let mut engine = Engine::new(2, BOUNDS, Millis(0));
    let began = Instant::now();
    if let Err(e) = engine.recover(&rows, Millis(0)) {
        panic!("the rows can be read: {e}");
    }
    (rows.len(), began.elapsed().as_secs_f64() * 1_000.0)
}
