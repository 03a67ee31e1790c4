//! Runs a load on the engine, as a discrete event simulation. Ledger records are durable
//! after a fixed delay.

use super::measure::{Measures, used_resources};
use super::workloads::{Job, Load};
use hollowford_core::Kind;
use hollowford_core::prelude::*;
use hollowford_engine::{
    Action, Authority, ClaimReport, EndReport, Engine, Policy, TaskEnd, TaskResult, WorkerListing,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Time from an append until the record is durable: the interval between writes and one write.
const LEDGER_DELAY_MS: u64 = 7;
const TICK_INTERVAL_MS: u64 = 50;
const SAMPLE_INTERVAL_MS: u64 = 250;
/// Maximum virtual time of a run after the last arrival.
const MAX_TAIL_MS: u64 = 600_000;
const WORKER_CLOCK_START_MS: u64 = 1_000_000;

/// A scheduled event.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Durable(u64),
    Finish { worker: usize, task: TaskId, failed: bool },
    Stopped { worker: usize, task: TaskId },
}

struct Run<'a> {
    load: &'a Load,
    engine: Engine,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    now: u64,
    ids: Vec<InstanceId>,
    /// Actual run time of a task by request number.
    actual_run_ms: HashMap<RequestNo, u64>,
    running: HashMap<TaskId, usize>,
    measures: Measures,
    shares: BTreeMap<&'static str, f64>,
    share_samples: u64,
}

pub fn run(load: &Load, policy: Policy) -> Measures {
    let mut run = Run {
        load,
        engine: Engine::new(PartitionId(0), Epoch(1), policy),
        events: BinaryHeap::new(),
        event_count: 0,
        now: 0,
        ids: (0..load.workers).map(|i| format!("w{i:04}").as_str().into()).collect(),
        actual_run_ms: HashMap::new(),
        running: HashMap::new(),
        measures: Measures::default(),
        shares: BTreeMap::new(),
        share_samples: 0,
    };
    run.claim_all();
    run.run_load();
    run.into_measures()
}

impl Run<'_> {
    fn claim_all(&mut self) {
        let mut out = Vec::new();
        self.engine.activate(Millis(0), &mut out);
        let listed: Vec<WorkerListing> = self
            .ids
            .iter()
            .enumerate()
            .map(|(i, id)| WorkerListing {
                id: id.clone(),
                zone: "zone".into(),
                rack: format!("rack-{}", i / self.load.per_rack).as_str().into(),
                leaving: false,
            })
            .collect();
        self.engine.set_worker_list(Millis(0), &listed, &mut out);
        for id in &self.ids {
            let claim = ClaimReport {
                incarnation: 1,
                clock: WORKER_CLOCK_START_MS,
                capacity: self.load.capacity,
                leaving: false,
                running: Vec::new(),
                ended: Vec::new(),
            };
            self.engine.worker_claimed(Millis(0), id, &claim, &mut out);
        }
        self.execute(out);
    }

    fn run_load(&mut self) {
        let jobs = &self.load.jobs;
        let last = jobs.last().map_or(0, |j| j.at);
        let mut next_job = 0;
        let mut waves = self.load.waves.iter().peekable();
        let (mut next_tick, mut next_sample) = (0, 0);
        loop {
            let next_event = self.events.peek().map_or(u64::MAX, |Reverse((at, _, _))| *at);
            let arrival = jobs.get(next_job).map_or(u64::MAX, |j| j.at);
            let wave = waves.peek().map_or(u64::MAX, |w| w.at);
            self.now = next_event.min(arrival).min(wave).min(next_tick).min(next_sample);
            let idle =
                next_job == jobs.len() && waves.peek().is_none() && self.only_services_left();
            if idle || self.now > last + MAX_TAIL_MS {
                return;
            }
            while jobs.get(next_job).is_some_and(|j| j.at <= self.now) {
                self.submit(&jobs[next_job]);
                next_job += 1;
            }
            while waves.peek().is_some_and(|w| w.at <= self.now) {
                if let Some(w) = waves.next() {
                    let mut out = Vec::new();
                    let account = AccountId::from(w.account);
                    self.engine.cancel_by_label(Millis(self.now), &account, w.label, &mut out);
                    self.execute(out);
                }
            }
            self.process_due_events();
            if self.now >= next_tick {
                next_tick = self.now + TICK_INTERVAL_MS;
                self.report_clocks();
                let mut out = Vec::new();
                self.engine.tick(Millis(self.now), Authority::Full, &mut out);
                self.execute(out);
            }
            self.decide();
            if self.now >= next_sample {
                next_sample = self.now + SAMPLE_INTERVAL_MS;
                self.sample();
            }
        }
    }

    /// Returns true if all requests except services have ended.
    fn only_services_left(&self) -> bool {
        let services = self.load.jobs.iter().filter(|j| j.spec.kind == Kind::Service).count();
        self.engine.requests().1 as usize <= services && self.engine.waiting_tasks() == 0
    }

    fn submit(&mut self, job: &Job) {
        let key = RequestKey::new(&AccountId::from(job.account), &job.id);
        let mut out = Vec::new();
        match self.engine.submit(Millis(self.now), &key, &job.spec, &mut out) {
            Ok(no) => {
                self.actual_run_ms.insert(no, job.actual_ms);
            }
            Err(e) => {
                assert_eq!(e.kind, ErrorKind::Impossible, "{e}");
                self.measures.refused += 1;
            }
        }
        self.execute(out);
    }

    fn report_clocks(&mut self) {
        for id in &self.ids {
            self.engine.record_clock(Millis(self.now), id, WORKER_CLOCK_START_MS + self.now);
        }
    }

    fn decide(&mut self) {
        loop {
            let mut out = Vec::new();
            self.engine.decide(Millis(self.now), Authority::Full, &mut out);
            self.execute(out);
            if !self.engine.needs_decide(Millis(self.now)) {
                return;
            }
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn process_due_events(&mut self) {
        while self.events.peek().is_some_and(|Reverse((at, _, _))| *at <= self.now) {
            let Some(Reverse((_, _, event))) = self.events.pop() else {
                return;
            };
            let mut out = Vec::new();
            match event {
                Event::Durable(seq) => self.engine.set_durable(seq, &mut out),
                Event::Finish { worker, task, failed } => {
                    // The task may have been stopped before.
                    if self.running.remove(&task).is_some() {
                        let end = match failed {
                            true => TaskEnd::Failed("failing worker".into()),
                            false => TaskEnd::Done(TaskResult::default()),
                        };
                        self.ended(worker, task, end, &mut out);
                    }
                }
                Event::Stopped { worker, task } => {
                    self.ended(worker, task, TaskEnd::Stopped("checkpoint".into()), &mut out);
                }
            }
            self.execute(out);
        }
    }

    fn ended(&mut self, worker: usize, task: TaskId, end: TaskEnd, out: &mut Vec<Action>) {
        let report = EndReport { task, end, ran: Millis(0) };
        self.engine.task_ended(Millis(self.now), &self.ids[worker], &report, out);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        let mut durable = None;
        let mut more = Vec::new();
        for action in actions {
            match action {
                Action::Append { seq, .. } => durable = Some(seq),
                Action::Start { worker, task, .. } => self.start(&worker, task, &mut more),
                Action::Stop { worker, task, .. } => self.stop(&worker, task),
                Action::FirstStart { kind, waited, .. } => self.measures.waited(kind, waited.0),
                _ => {}
            }
        }
        if let Some(seq) = durable {
            self.schedule(self.now + LEDGER_DELAY_MS, Event::Durable(seq));
        }
        if !more.is_empty() {
            self.execute(more);
        }
    }

    fn stop(&mut self, worker: &InstanceId, task: TaskId) {
        if self.running.remove(&task).is_some() {
            let worker = index_of(worker);
            self.schedule(self.now + 1, Event::Stopped { worker, task });
        }
    }

    fn start(&mut self, worker: &InstanceId, task: TaskId, out: &mut Vec<Action>) {
        let i = index_of(worker);
        self.running.insert(task, i);
        self.engine.task_started(Millis(self.now), worker, &task, out);
        let failed = i < self.load.failing_workers;
        let actual_ms = self.actual_run_ms[&task.request];
        if failed {
            self.schedule(self.now + 10, Event::Finish { worker: i, task, failed });
        } else if actual_ms > 0 {
            self.schedule(self.now + actual_ms, Event::Finish { worker: i, task, failed });
        }
    }

    fn sample(&mut self) {
        if self.engine.waiting_tasks() == 0 {
            return;
        }
        let (total, free) = self.engine.totals();
        self.measures.sample(&used_resources(&total, &free), &total);
        let compared_accounts: Vec<(&'static str, f64)> = self
            .load
            .compared_accounts
            .iter()
            .filter_map(|name| {
                let found = self.engine.accounts().find(|a| a.id.as_str() == *name)?;
                found.waits.then(|| (*name, found.used.dominant_share(&total)))
            })
            .collect();
        // Shares are compared only while each of these accounts has queued work.
        if compared_accounts.len() == self.load.compared_accounts.len() {
            self.share_samples += 1;
            self.measures.sample_mixed(&used_resources(&total, &free), &total);
            for (name, share) in compared_accounts {
                *self.shares.entry(name).or_insert(0.0) += share;
            }
        }
    }

    fn into_measures(mut self) -> Measures {
        let s = self.engine.stats();
        let n = self.share_samples.max(1) as f64;
        let means: Vec<f64> = self.shares.values().map(|sum| sum / n).collect();
        let high = means.iter().copied().fold(0.0, f64::max);
        let low = means.iter().copied().fold(1.0, f64::min);
        self.measures.share_error = if means.is_empty() { 0.0 } else { high - low };
        let services = self.load.jobs.iter().filter(|j| j.spec.kind == Kind::Service).count();
        self.measures.unanswered = self.engine.requests().1 as usize - services;
        self.measures.placed = s.placed;
        self.measures.preempted = s.preempted;
        self.measures.preempted_ms = s.preempted_ms;
        self.measures.quarantined = s.quarantined;
        self.measures.failed = s.failed;
        self.measures.ended_at = self.now;
        self.measures
    }
}

fn index_of(worker: &InstanceId) -> usize {
    worker.as_str()[1..].parse().unwrap()
}
