//! The four simulated loads: cells, requests and cancellations.

use hollowford_core::{Kind, Placement, Resources, Spec};
use std::sync::Arc;

/// Jobs in [`wrong_declarations`] that fit on no worker.
pub const IMPOSSIBLE_JOBS: usize = 20;

/// A request that a client account submits.
#[derive(Clone, Debug)]
pub struct Job {
    /// Submission time in milliseconds.
    pub at: u64,
    pub account: &'static str,
    pub id: String,
    pub spec: Spec,
    /// Actual run time of a task in milliseconds; 0 if it does not end.
    pub actual_ms: u64,
}

/// Cancellation of all requests of an account with a label.
#[derive(Clone, Debug)]
pub struct CancelWave {
    /// Time in milliseconds.
    pub at: u64,
    pub account: &'static str,
    pub label: &'static str,
}

/// A cell and the requests that are submitted to it.
#[derive(Clone, Debug)]
pub struct Load {
    pub name: &'static str,
    pub seed: u64,
    pub workers: usize,
    pub per_rack: usize,
    pub capacity: Resources,
    /// Number of workers on which every task fails.
    pub failing_workers: usize,
    pub jobs: Vec<Job>,
    pub waves: Vec<CancelWave>,
    /// Accounts whose shares are compared while all of them have queued work.
    pub compared_accounts: Vec<&'static str>,
}

impl Load {
    fn new(name: &'static str, seed: u64, workers: usize, per_rack: usize) -> Load {
        Load {
            name,
            seed,
            workers,
            per_rack,
            capacity: Resources::new(16_000, 65_536, 0),
            failing_workers: 0,
            jobs: Vec::new(),
            waves: Vec::new(),
            compared_accounts: Vec::new(),
        }
    }

    fn add(&mut self, at: u64, account: &'static str, spec: Spec) -> &mut Job {
        let actual_ms = spec.run_time_ms;
        let id = format!("{}-{}", spec.kind.name(), self.jobs.len());
        self.jobs.push(Job { at, account, id, spec, actual_ms });
        self.jobs.last_mut().unwrap()
    }

    fn sorted(mut self) -> Load {
        self.jobs.sort_by_key(|j| j.at);
        self
    }
}

fn spec(kind: Kind, tasks: u32, cpu: u32, memory: u32, run_ms: u64) -> Spec {
    Spec {
        kind,
        tasks,
        per_task: Resources::new(cpu, memory, 0),
        run_time_ms: run_ms,
        repeatable: true,
        urgent: kind == Kind::Check,
        labels: Vec::new(),
        placement: Placement::default(),
        payload: Vec::new(),
        start_within_ms: 0,
    }
}

/// A batch survey fills the cell, gangs arrive from 60 s on, and short checks arrive all the
/// time.
pub fn kivu() -> Load {
    let mut load = Load::new("Kivu: event burst over a nightly survey", 11, 50, 6);
    let mut rng = fastrand::Rng::with_seed(load.seed);
    for i in 0..120 {
        let account = ["university-a", "university-b", "university-c"][i % 3];
        let cpu = [500, 1_000, 1_000, 2_000][rng.usize(0..4)];
        let memory = cpu * rng.u32(2..6);
        let run = rng.u64(4_000..20_000);
        load.add(rng.u64(0..10_000), account, spec(Kind::Batch, 150, cpu, memory, run));
    }
    for i in 0..10 {
        let account = if i % 2 == 0 { "geology-office" } else { "mining-client" };
        let run = rng.u64(5_000..15_000);
        let job = spec(Kind::Gang, rng.u32(8..32), 4_000, 14_000, run);
        load.add(60_000 + i * 400, account, job);
    }
    for i in 0..6_000 {
        let run = rng.u64(40..200);
        load.add(1_000 + i * 20, "district-desk", spec(Kind::Check, 1, 500, 512, run));
    }
    load.sorted()
}

/// Batch work of three accounts is queued, labelled requests are cancelled at 40 s, a wave of
/// rebuilds follows, and short checks that are not repeatable arrive all the time.
pub fn ortak_sahne() -> Load {
    let mut load = Load::new("Ortak Sahne: rebuild wave, cancellations, confirmations", 12, 50, 8);
    let mut rng = fastrand::Rng::with_seed(load.seed);
    load.compared_accounts = vec!["choirs", "bands", "soloists"];
    for i in 0..150 {
        let account = load.compared_accounts[i % 3];
        // The tasks of each account have a different size.
        let (cpu, memory) = [(1_500, 2_000), (2_500, 15_000), (5_000, 9_000)][i % 3];
        let mut job = spec(Kind::Batch, 120, cpu, memory, rng.u64(3_000..12_000));
        if i % 10 == 0 {
            job.labels = vec![Arc::from("withdrawn")];
        }
        load.add(rng.u64(0..5_000), account, job);
    }
    for label_account in ["choirs", "bands", "soloists"] {
        load.waves.push(CancelWave { at: 40_000, account: label_account, label: "withdrawn" });
    }
    for i in 0..40 {
        let account = load.compared_accounts[i % 3];
        let job = spec(Kind::Batch, 100, 1_000, 4_000, rng.u64(1_000..4_000));
        load.add(41_000 + rng.u64(0..1_000), account, job);
    }
    for i in 0..3_000 {
        let account = load.compared_accounts[rng.usize(0..3)];
        let mut job = spec(Kind::Check, 1, 500, 256, rng.u64(20..100));
        job.repeatable = false;
        load.add(2_000 + i * 30, account, job);
    }
    load.sorted()
}

/// Actual run times are 0.2 to 5 times the declared ones, every task fails on one worker in
/// twenty, and some jobs fit on no worker.
pub fn wrong_declarations() -> Load {
    let mut load = Load::new("wrong declarations, bad workers, impossible jobs", 13, 60, 6);
    let mut rng = fastrand::Rng::with_seed(load.seed);
    load.failing_workers = 3;
    for i in 0..150 {
        let account = ["one", "two", "three", "four"][i % 4];
        let cpu = [1_000, 2_000, 4_000][rng.usize(0..3)];
        let declared = rng.u64(2_000..10_000);
        let job = spec(Kind::Batch, 60, cpu, cpu * 3, declared);
        let factor = 0.2 * 25_f64.powf(rng.f64());
        load.add(rng.u64(0..20_000), account, job).actual_ms = (declared as f64 * factor) as u64;
    }
    for i in 0..IMPOSSIBLE_JOBS {
        let job = spec(Kind::Batch, 5, 20_000 + i as u32, 1_000, 1_000);
        load.add(rng.u64(0..40_000), "four", job);
    }
    for i in 0..8 {
        let job = spec(Kind::Gang, 16, 4_000, 12_000, 4_000);
        load.add(10_000 + i * 2_000, "two", job).actual_ms = 8_000;
    }
    for i in 0..2_000 {
        load.add(1_000 + i * 25, "one", spec(Kind::Check, 1, 500, 256, 80));
    }
    load.sorted()
}

/// 700 workers with about 20,000 running tasks and 500 starts a second; ten times as many for
/// two seconds.
pub fn large_zone() -> Load {
    let mut load = Load::new("one zone: 700 workers, 500 starts/s, ten-times burst", 14, 700, 20);
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let accounts = ["one", "two", "three", "four", "five", "six", "seven", "eight"];
    for i in 0..400 {
        let account = accounts[i % 8];
        load.add(0, account, spec(Kind::Service, 10, 250, 1_000, 0));
    }
    for i in 0..640 {
        let account = accounts[i % 8];
        let run = rng.u64(30_000..60_000);
        load.add(rng.u64(0..1_000), account, spec(Kind::Batch, 25, 500, 1_800, run));
    }
    for second in 2..20_u64 {
        let starts = if (8..10).contains(&second) { 5_000 } else { 500 };
        for i in 0..starts / 10 {
            let account = accounts[rng.usize(0..8)];
            let at = second * 1_000 + i * 10_000 / starts;
            load.add(at, account, spec(Kind::Batch, 9, 500, 1_500, rng.u64(500..2_000)));
            load.add(at, account, spec(Kind::Check, 1, 250, 256, rng.u64(50..150)));
        }
    }
    load.sorted()
}
