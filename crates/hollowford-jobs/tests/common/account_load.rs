//! A cell that 20 client accounts share, two of which send 6 times their usual load for a while.
//!
//! The load is that of a deployment with 81% of its processors in use: gangs of about 20 tasks on 9
//! of 32 cores that run for 6 s, surveys of about 25 tasks on 3.5 cores for 3.4 s, and checks of
//! about 3 tasks on 5 cores for 1 s, 3 of 10 of which are gangs. Workers and rates are scaled
//! down. Four accounts are large and send more than half of the jobs; weights are by size.

use super::*;
use fastrand::Rng;

pub const PLANS: &str = "plans";
pub const SURVEYS: &str = "surveys";
pub const CHECKS: &str = "checks";

const WORKERS: usize = 48;
const CORES_PER_WORKER: u32 = 32;
/// Part of the cell's processors that the usual load takes.
const USUAL_LOAD: f64 = 0.81;
/// Core seconds of the mean gang, survey and check.
const MEAN_WORK: [f64; 3] = [20.0 * 9.0 * 6.0, 25.0 * 3.5 * 3.4, 3.0 * 5.0];
/// Part of the processors in use that gangs, surveys and checks take.
const WORK_PARTS: [f64; 3] = [0.41, 0.485, 0.105];
/// Accounts, and the part of the jobs that each of the large ones sends.
const ACCOUNTS: usize = 20;
const LARGE_ACCOUNTS: [f64; 4] = [0.2, 0.15, 0.1, 0.08];
/// Accounts that send more than usual, and how much more.
pub const BURSTING: [usize; 2] = [0, 1];
const BURST_FACTOR: f64 = 6.0;
/// When the burst begins, in milliseconds.
const BURST_START_MS: u64 = 6_000;
/// Time from the beginning of the burst to the failure, in milliseconds.
const FAILURE_AFTER_MS: u64 = 3_000;
/// How long jobs arrive at the usual rate after the burst, in milliseconds.
const AFTER_BURST_MS: u64 = 8_000;
/// Maximum time from the last arrival to the end of the last job, in milliseconds.
const SETTLE_MS: u64 = 90_000;
/// One worker in so many is lost.
const LOST_WORKERS: usize = 4;

/// What is varied in the load.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    pub seed: u64,
    pub account_shares: bool,
    pub failure: Failure,
    /// Length of the burst, in milliseconds.
    pub burst_ms: u64,
    /// Guaranteed rate of an account as a multiple of its usual one, before rounding.
    pub guarantee: f64,
}

impl LoadPlan {
    /// The usual plan: a burst of 6 s, most of which exceeds the guaranteed rates.
    pub fn usual(seed: u64, account_shares: bool) -> LoadPlan {
        let failure = Failure::None;
        LoadPlan { seed, account_shares, failure, burst_ms: 6_000, guarantee: 1.4 }
    }
}

/// A failure in the middle of the burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    None,
    /// Another owner takes over.
    Takeover,
    /// One worker in [`LOST_WORKERS`] crashes and stays away.
    WorkersLost,
}

/// A job and what became of it.
#[derive(Clone, Copy, Debug)]
pub struct LoadJob {
    pub account: usize,
    /// 0 for a gang, 1 for a survey, 2 for a check.
    pub kind: usize,
    pub guaranteed: bool,
    pub submitted: Millis,
    pub objective: Millis,
    pub done: Option<Millis>,
}

impl LoadJob {
    pub fn in_time(&self) -> bool {
        self.done.is_some_and(|at| at <= self.submitted + self.objective)
    }
}

/// The load after it has ended.
pub struct AccountLoad {
    plan: LoadPlan,
    pub cell: TestCell,
    pub jobs: Vec<LoadJob>,
    /// Number of `accounts.full` events that ordering by share began.
    pub began: usize,
    /// Number of those that it ended.
    pub ended: usize,
}

pub fn account_name(account: usize) -> String {
    format!("a{account}")
}

/// Returns the part of all jobs that an account sends.
fn account_part(account: usize) -> f64 {
    let rest = 1.0 - LARGE_ACCOUNTS.iter().sum::<f64>();
    let small = (ACCOUNTS - LARGE_ACCOUNTS.len()) as f64;
    LARGE_ACCOUNTS.get(account).copied().unwrap_or(rest / small)
}

/// Returns the jobs per second of a kind in the usual load.
fn rate(kind: usize) -> f64 {
    let cores = WORKERS as f64 * f64::from(CORES_PER_WORKER) * USUAL_LOAD;
    cores * WORK_PARTS[kind] / MEAN_WORK[kind]
}

/// Returns the accounts, each with a guaranteed rate of `guarantee` times its usual one.
pub fn accounts(guarantee: f64) -> Vec<Account> {
    let total: f64 = (0..3).map(rate).sum();
    let weight = |i| (total * account_part(i) * guarantee).round().max(1.0) as u32;
    let account = |i| Account {
        name: account_name(i).as_str().into(),
        policy: Default::default(),
        guaranteed_jobs_per_s: weight(i),
    };
    (0..ACCOUNTS).map(account).collect()
}

pub fn queues() -> Vec<Queue> {
    vec![
        Queue { stretch: 1.5, slack: Millis(250), ..queue(CHECKS, 0, None) },
        Queue { stretch: 2.2, slack: Millis(1_000), ..queue(PLANS, 1, None) },
        Queue { stretch: 4.0, slack: Millis(3_000), ..queue(SURVEYS, 2, None) },
    ]
}

fn draw_job(kind: usize, rng: &mut Rng) -> RawStep {
    let mut around = |n: u64| rng.u64(n * 7 / 10..=n * 13 / 10);
    match kind {
        0 => {
            let (count, ms) = (around(20) as u32, around(6_000));
            RawStep { gang: true, ..step(count, 9_000, ms) }
        }
        1 => {
            let (count, ms) = (around(25) as u32, around(3_400));
            step(count, 3_500, ms)
        }
        _ => {
            let ms = around(1_000);
            let count = rng.u32(2..=4);
            RawStep { gang: rng.u32(0..10) < 3, ..step(count, 5_000, ms) }
        }
    }
}

/// Runs the load until all jobs have ended.
pub fn run_account_load(plan: LoadPlan) -> AccountLoad {
    let mut rng = Rng::with_seed(plan.seed);
    let mut cell = TestCell::new(WORKERS);
    for w in &mut cell.workers {
        w.capacity = Resources::new(CORES_PER_WORKER * 1_000, 128_000, 0);
    }
    cell.update_worker_list();
    cell.set_queues(queues());
    cell.run(200);
    let mut load = AccountLoad { plan, cell, jobs: Vec::new(), began: 0, ended: 0 };
    load.configure();
    let mut open: Vec<usize> = Vec::new();
    let last_arrival = BURST_START_MS + plan.burst_ms + AFTER_BURST_MS;
    for ms in (0..last_arrival + SETTLE_MS).step_by(5) {
        if ms < last_arrival {
            load.submit_arrivals(ms, &mut rng, &mut open);
        }
        if ms == BURST_START_MS + FAILURE_AFTER_MS {
            load.fail();
        }
        load.cell.run(5);
        load.record_ends(&mut open);
        if ms >= last_arrival && open.is_empty() {
            break;
        }
    }
    assert_eq!(open.len(), 0, "{plan:?}: some jobs have not ended");
    load.cell.run(3_000);
    load.record_ends(&mut open);
    load
}

impl AccountLoad {
    fn configure(&mut self) {
        let LoadPlan { account_shares, guarantee, .. } = self.plan;
        self.cell.engine.set_features(Features { account_shares, ..Features::default() });
        self.cell.engine.set_accounts(&accounts(guarantee));
    }

    fn submit_arrivals(&mut self, ms: u64, rng: &mut Rng, open: &mut Vec<usize>) {
        let is_burst = (BURST_START_MS..BURST_START_MS + self.plan.burst_ms).contains(&ms);
        for account in 0..ACCOUNTS {
            let bursts = is_burst && BURSTING.contains(&account);
            let factor = if bursts { BURST_FACTOR } else { 1.0 };
            for kind in 0..3 {
                if rng.f64() < rate(kind) * account_part(account) * factor * 0.005 {
                    open.push(self.jobs.len());
                    let raw = draw_job(kind, rng);
                    self.submit(account, kind, raw);
                }
            }
        }
    }

    fn submit(&mut self, account: usize, kind: usize, raw: RawStep) {
        let name = [PLANS, SURVEYS, CHECKS][kind];
        let queue = self.cell.queues.iter().find(|q| &*q.name == name).expect("queue");
        let objective = Millis((raw.estimate_ms as f64 * queue.stretch) as u64) + queue.slack;
        let beyond = self.cell.engine.stats().unowed;
        let id = self.jobs.len() as u64 + 1;
        self.cell.submit_for(&account_name(account), id, name, job(vec![raw]));
        let guaranteed = self.cell.engine.stats().unowed == beyond;
        let submitted = self.cell.now;
        self.jobs.push(LoadJob { account, kind, guaranteed, submitted, objective, done: None });
    }

    fn fail(&mut self) {
        match self.plan.failure {
            Failure::None => {}
            Failure::Takeover => {
                self.cell.take_over();
                self.configure();
            }
            Failure::WorkersLost => {
                self.cell.crashes.downtime = Millis(600_000);
                self.cell.workers.iter_mut().step_by(LOST_WORKERS).for_each(SimWorker::crash);
            }
        }
    }

    fn record_ends(&mut self, open: &mut Vec<usize>) {
        for event in self.cell.engine.take_events() {
            if let Event::AccountsFull { begins, .. } = event {
                self.began += usize::from(begins);
                self.ended += usize::from(!begins);
            }
        }
        let (cell, jobs) = (&self.cell, &mut self.jobs);
        open.retain(|&at| {
            let state = cell.state(at as u64 + 1);
            if state == Some(JobState::Completed) {
                jobs[at].done = Some(cell.now);
            }
            !state.is_some_and(JobState::is_final)
        });
    }

    /// Returns the part of the jobs for which `counts` holds that were in time.
    pub fn in_time(&self, counts: impl Fn(&LoadJob) -> bool) -> f64 {
        let counted: Vec<_> = self.jobs.iter().filter(|j| counts(j)).collect();
        let in_time = counted.iter().filter(|j| j.in_time()).count();
        in_time as f64 / counted.len().max(1) as f64
    }

    /// Returns the mean, over the worst tenth of the accounts, of the part of their guaranteed jobs
    /// that were in time.
    pub fn worst_accounts(&self) -> f64 {
        self.worst_of((0..ACCOUNTS).collect())
    }

    /// Returns the same for the accounts that never send more than usual.
    pub fn worst_steady_accounts(&self) -> f64 {
        self.worst_of((0..ACCOUNTS).filter(|a| !BURSTING.contains(a)).collect())
    }

    fn worst_of(&self, accounts: Vec<usize>) -> f64 {
        let in_time = |a| self.in_time(|j| j.account == a && j.guaranteed);
        let mut parts: Vec<f64> = accounts.into_iter().map(in_time).collect();
        parts.sort_by(f64::total_cmp);
        let worst = &parts[..ACCOUNTS / 10];
        worst.iter().sum::<f64>() / worst.len() as f64
    }

    /// Describes the results, for failed assertions.
    pub fn summary(&self) -> String {
        let by_kind = [0, 1, 2].map(|kind| self.in_time(|j| j.kind == kind));
        format!(
            "{:?}: worst {:.3}, worst steady {:.3}, all {:.3}, guaranteed {:.3}, gangs, surveys, \
             checks {by_kind:.3?}, began {}, ended {}, jobs {}",
            self.plan,
            self.worst_accounts(),
            self.worst_steady_accounts(),
            self.in_time(|_| true),
            self.in_time(|j| j.guaranteed),
            self.began,
            self.ended,
            self.jobs.len()
        )
    }
}
