//! Time for each placement by number of workers and queue length, compared with a first-fit
//! FIFO scheduler.
//!
//! Measures everything that one placement costs the engine in a full cell: the end of a task,
//! the pass that fills the freed resources, the durable intent, the start, and the report that the
//! task runs. Run with `cargo bench -p hollowford-engine --bench decisions`.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use hdrhistogram::Histogram;
use hollowford_core::prelude::*;
use hollowford_core::{Kind, Placement};
use hollowford_engine::{
    Action, Authority, ClaimReport, EndReport, Engine, Policy, TaskEnd, TaskResult, WorkerListing,
};
use std::collections::VecDeque;
use std::time::Instant;

const ACCOUNTS: usize = 20;
const MEASURED_PLACEMENTS: usize = 20_000;
const WORKER_CAPACITY: Resources =
    Resources { cpu_milli: 16_000, memory_mib: 65_536, accelerators: 0 };
/// CPU of the tasks in thousandths of a core. About 29 tasks fit on a worker.
const TASK_CPU_MILLI: [u32; 3] = [500, 500, 1_000];
const TASKS_PER_REQUEST: u32 = 10;

fn spec(i: usize) -> Spec {
    let cpu = TASK_CPU_MILLI[i % TASK_CPU_MILLI.len()];
    Spec {
        kind: Kind::Batch,
        tasks: TASKS_PER_REQUEST,
        per_task: Resources::new(cpu, cpu * 3, 0),
        run_time_ms: 5_000,
        repeatable: true,
        urgent: false,
        labels: Vec::new(),
        placement: Placement::default(),
        payload: Vec::new(),
        start_within_ms: 0,
    }
}

struct Bench {
    engine: Engine,
    running: VecDeque<(InstanceId, TaskId)>,
    submitted: usize,
    now: Millis,
}

impl Bench {
    fn new(workers: usize) -> Bench {
        let policy = Policy {
            headroom: 0.0,
            queue_bound: 1_000_000,
            max_kept_answers: 1_000,
            ..Policy::default()
        };
        let mut engine = Engine::new(PartitionId(0), Epoch(1), policy);
        let mut out = Vec::new();
        engine.activate(Millis(0), &mut out);
        let ids: Vec<InstanceId> = (0..workers).map(|i| format!("w{i}").as_str().into()).collect();
        let listed: Vec<WorkerListing> = ids
            .iter()
            .map(|id| WorkerListing {
                id: id.clone(),
                zone: "z".into(),
                rack: "r".into(),
                leaving: false,
            })
            .collect();
        engine.set_worker_list(Millis(0), &listed, &mut out);
        for id in &ids {
            let claim = ClaimReport {
                incarnation: 1,
                clock: 1,
                capacity: WORKER_CAPACITY,
                leaving: false,
                running: Vec::new(),
                ended: Vec::new(),
            };
            engine.worker_claimed(Millis(0), id, &claim, &mut out);
        }
        Bench { engine, running: VecDeque::new(), submitted: 0, now: Millis(1) }
    }

    fn submit(&mut self) {
        let i = self.submitted;
        self.submitted += 1;
        let account = AccountId::from(format!("account-{}", i % ACCOUNTS).as_str());
        let key = RequestKey::new(&account, &format!("r{i}"));
        let mut out = Vec::new();
        self.engine.submit(self.now, &key, &spec(i), &mut out).unwrap();
        self.execute(out);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        let mut durable = 0;
        let mut out = Vec::new();
        for action in actions {
            match action {
                Action::Append { seq, .. } => durable = seq,
                Action::Start { worker, task, .. } => {
                    self.engine.task_started(self.now, &worker, &task, &mut out);
                    self.running.push_back((worker, task));
                }
                _ => {}
            }
        }
        if durable > 0 {
            self.engine.set_durable(durable, &mut out);
        }
        if !out.is_empty() {
            self.execute(out);
        }
    }

    fn decide(&mut self) {
        let mut out = Vec::new();
        self.engine.decide(self.now, Authority::Full, &mut out);
        self.execute(out);
    }

    fn fill(&mut self) {
        loop {
            self.decide();
            self.decide();
            if !self.engine.needs_decide(self.now) {
                return;
            }
        }
    }

    /// Ends one task and fills the free room again.
    fn replace_one_task(&mut self) {
        let (worker, task) = self.running.pop_front().unwrap();
        let report = EndReport { task, end: TaskEnd::Done(TaskResult::default()), ran: Millis(1) };
        let mut out = Vec::new();
        self.engine.task_ended(self.now, &worker, &report, &mut out);
        self.execute(out);
        self.decide();
        self.decide();
    }
}

/// Returns the time in nanoseconds that a first-fit FIFO scheduler takes to replace one task.
fn fifo(workers: usize) -> f64 {
    let mut free = vec![Resources::default(); workers];
    let mut running: VecDeque<(usize, Resources)> = VecDeque::new();
    for (w, left) in free.iter_mut().enumerate() {
        let mut available = WORKER_CAPACITY;
        for i in 0.. {
            let r = spec(i).per_task;
            if !r.fits(&available) {
                break;
            }
            available = available.minus(&r);
            running.push_back((w, r));
        }
        *left = available;
    }
    let started = Instant::now();
    for i in 0..MEASURED_PLACEMENTS {
        let (w, r) = running.pop_front().unwrap();
        free[w] = free[w].plus(&r);
        let need = spec(i).per_task;
        if let Some(w) = free.iter().position(|f| need.fits(f)) {
            free[w] = free[w].minus(&need);
            running.push_back((w, need));
        }
    }
    started.elapsed().as_nanos() as f64 / MEASURED_PLACEMENTS as f64
}

fn run(workers: usize, queued: usize) {
    let mut bench = Bench::new(workers);
    let fill = workers * 32 / TASKS_PER_REQUEST as usize;
    for _ in 0..fill {
        bench.submit();
    }
    bench.fill();
    for _ in 0..queued {
        bench.submit();
    }
    bench.fill();
    let running = bench.running.len();
    let mut h = Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).unwrap();
    let placed = bench.engine.stats().placed;
    let started = Instant::now();
    for i in 0..MEASURED_PLACEMENTS {
        // Keep the length of the queue constant.
        if i % TASKS_PER_REQUEST as usize == 0 {
            bench.submit();
        }
        let t = Instant::now();
        bench.replace_one_task();
        h.record(t.elapsed().as_nanos() as u64).unwrap();
    }
    let took = started.elapsed().as_secs_f64();
    let placed = bench.engine.stats().placed - placed;
    let ns_per_placement = took * 1e9 / placed as f64;
    println!(
        "{workers:>7} {queued:>8} {running:>8} {:>12.0} {:>9.1} {:>9.1} {:>9.1} {:>10.1}",
        placed as f64 / took,
        ns_per_placement / 1_000.0,
        h.value_at_quantile(0.5) as f64 / 1_000.0,
        h.value_at_quantile(0.99) as f64 / 1_000.0,
        ns_per_placement / fifo(workers)
    );
}

fn main() {
    println!("workers   queued  running placements/s   mean us    p50 us    p99 us  x FIFO");
    for workers in [50, 200, 700, 2_000] {
        for queued in [100, 10_000, 100_000] {
            run(workers, queued);
        }
    }
}
