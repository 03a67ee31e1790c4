//! Resident memory of one engine by number of running tasks, queued requests, workers and
//! kept answers. Each measurement uses a new engine.
//!
//! `cargo bench -p hollowford-engine --bench memory`

#![allow(clippy::unwrap_used, clippy::expect_used)]

use hollowford_core::prelude::*;
use hollowford_core::{Kind, Placement};
use hollowford_engine::{
    Action, Authority, ClaimReport, EndReport, Engine, Policy, TaskEnd, TaskResult, WorkerListing,
};

const PAGE_BYTES: usize = 4_096;

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * PAGE_BYTES
}

fn spec(tasks: u32, cpu: u32) -> Spec {
    Spec {
        kind: Kind::Batch,
        tasks,
        per_task: Resources::new(cpu, 1, 0),
        run_time_ms: 5_000,
        repeatable: true,
        urgent: false,
        labels: vec!["night".into()],
        placement: Placement::default(),
        payload: vec![7; 64],
        start_within_ms: 0,
    }
}

fn engine(workers: usize, cpu: u32) -> Engine {
    let policy = Policy { headroom: 0.0, queue_bound: 1_000_000, ..Policy::default() };
    let mut e = Engine::new(PartitionId(0), Epoch(1), policy);
    let mut out = Vec::new();
    e.activate(Millis(0), &mut out);
    let ids: Vec<InstanceId> = (0..workers).map(|i| format!("w{i}").as_str().into()).collect();
    let listed = |id: &InstanceId| WorkerListing {
        id: id.clone(),
        zone: "z".into(),
        rack: "r".into(),
        leaving: false,
    };
    e.set_worker_list(Millis(0), &ids.iter().map(listed).collect::<Vec<_>>(), &mut out);
    for id in &ids {
        let claim = ClaimReport {
            incarnation: 1,
            clock: 1,
            capacity: Resources::new(cpu, 1_000_000, 0),
            leaving: false,
            running: Vec::new(),
            ended: Vec::new(),
        };
        e.worker_claimed(Millis(0), id, &claim, &mut out);
    }
    e
}

fn submit(e: &mut Engine, count: usize, tasks: u32, cpu: u32) {
    for i in 0..count {
        let account = AccountId::from(format!("account-{}", i % 80).as_str());
        let key = RequestKey::new(&account, &format!("request-{i}"));
        let mut out = Vec::new();
        e.submit(Millis(1), &key, &spec(tasks, cpu), &mut out).unwrap();
        e.set_durable(e.last_seq(), &mut out);
    }
}

/// Starts all tasks that fit. Returns the running tasks.
fn start_all(e: &mut Engine) -> Vec<(InstanceId, TaskId)> {
    let mut running = Vec::new();
    loop {
        let mut out = Vec::new();
        e.decide(Millis(1), Authority::Full, &mut out);
        e.set_durable(e.last_seq(), &mut out);
        e.decide(Millis(1), Authority::Full, &mut out);
        let before = running.len();
        for action in out {
            if let Action::Start { worker, task, .. } = action {
                e.task_started(Millis(1), &worker, &task, &mut Vec::new());
                running.push((worker, task));
            }
        }
        if running.len() == before && !e.needs_decide(Millis(1)) {
            return running;
        }
    }
}

fn end(e: &mut Engine, running: Vec<(InstanceId, TaskId)>) {
    for (worker, task) in running {
        let report = EndReport { task, end: TaskEnd::Done(TaskResult::default()), ran: Millis(1) };
        let mut out = Vec::new();
        e.task_ended(Millis(1), &worker, &report, &mut out);
        e.set_durable(e.last_seq(), &mut out);
    }
}

fn measure(case: &str, size: usize, make: impl FnOnce() -> Engine) {
    let before = resident_bytes();
    let e = make();
    let bytes = resident_bytes().saturating_sub(before);
    println!("{case:<44} {size:>8} {:>9} {:>8}", bytes / 1_024, bytes / size);
    // Leaked on purpose, so that no measurement reuses the memory of another one.
    std::mem::forget(e);
}

fn main() {
    println!("{:<44} {:>8} {:>9} {:>8}", "what", "size", "KiB", "bytes each");
    for n in [1_000, 10_000, 50_000] {
        measure("workers without tasks", n, || engine(n, 1_000));
    }
    for n in [1_000, 10_000, 100_000] {
        measure("running tasks, ten to a request", n, || {
            let mut e = engine(700, 1_000_000);
            submit(&mut e, n / 10, 10, 1);
            assert_eq!(start_all(&mut e).len(), n);
            e
        });
    }
    for n in [1_000, 10_000, 100_000] {
        measure("queued requests of one task", n, || {
            let mut e = engine(1, 1);
            submit(&mut e, n, 1, 1);
            e
        });
    }
    for n in [1_000, 10_000, 50_000] {
        let mut e = engine(700, 1_000_000);
        submit(&mut e, n, 1, 1);
        let started = std::time::Instant::now();
        let records = e.snapshot().len();
        let took = started.elapsed().as_micros();
        println!("a snapshot of {n} requests: {records} records in {took} us");
    }
    for n in [1_000, 10_000, 50_000] {
        measure("kept answers of one task", n, || {
            let mut e = engine(700, 1_000_000);
            submit(&mut e, n, 1, 1);
            let running = start_all(&mut e);
            end(&mut e, running);
            e
        });
    }
}
