//! A deterministic simulation around engines with virtual time: a ledger, workers with their
//! own clocks, and a checker that observes the workers and verifies invariants.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod invariants;
pub mod worker;

use hollowford_core::prelude::*;
use hollowford_core::{Kind, Placement};
use hollowford_engine::{Action, Authority, Engine, FinalAnswer, Policy, Record, WorkerListing};
use invariants::InvariantChecker;
use std::collections::{BTreeMap, VecDeque};
use worker::{FakeWorker, Order};

const STEP_DURATION: Millis = Millis(50);

/// The owner of the partition, or an earlier one that does not know that it was replaced.
pub struct Owner {
    pub engine: Engine,
    pub epoch: Epoch,
    /// Records that are not durable yet.
    pub pending: VecDeque<(u64, Record)>,
    pub deposed: bool,
    /// Whether the process is paused and does nothing.
    pub paused: bool,
    /// Orders in transit, by worker.
    pub orders: BTreeMap<InstanceId, VecDeque<Order>>,
    /// Open sessions by worker.
    pub sessions: BTreeMap<InstanceId, u64>,
    /// Authority until another owner takes over.
    pub authority: Authority,
    /// When another owner took over. The lease of this one had expired by then.
    pub lease_expired_at: Option<Millis>,
}

/// The simulated cell: owners with their engines, the ledger and the workers.
pub struct Simulation {
    pub now: Millis,
    pub policy: Policy,
    pub owners: Vec<Owner>,
    /// Current epoch of the ledger.
    pub epoch: Epoch,
    /// Durable records.
    pub ledger: Vec<Record>,
    /// Whether the ledger can't be written.
    pub stalled: bool,
    /// Time until which every member has promised not to take over.
    pub no_takeover_until: Millis,
    pub workers: BTreeMap<InstanceId, FakeWorker>,
    pub checker: InvariantChecker,
    next_session: u64,
}

pub fn policy() -> Policy {
    Policy { renewal_bound: Millis(20_000), headroom: 0.0, ..Policy::default() }
}

pub fn key(id: &str) -> RequestKey {
    RequestKey::new(&AccountId::from("account"), id)
}

pub fn spec(kind: Kind, tasks: u32, cpu: u32, run_time_ms: u64) -> Spec {
    Spec {
        kind,
        tasks,
        per_task: Resources::new(cpu, 100, 0),
        run_time_ms,
        repeatable: true,
        urgent: kind == Kind::Check,
        labels: Vec::new(),
        placement: Placement::default(),
        payload: Vec::new(),
        start_within_ms: 0,
    }
}

impl Simulation {
    /// Creates a cell with one owner and `workers` workers of 4 cores, two in each rack.
    pub fn new(policy: Policy, workers: usize) -> Simulation {
        let mut sim = Simulation {
            now: Millis(1_000),
            policy,
            owners: Vec::new(),
            epoch: Epoch(0),
            ledger: Vec::new(),
            stalled: false,
            no_takeover_until: Millis(0),
            workers: BTreeMap::new(),
            checker: InvariantChecker::default(),
            next_session: 1,
        };
        for i in 0..workers {
            sim.add_worker(i, Resources::new(4_000, 16_000, 0));
        }
        sim.takeover();
        sim.run_briefly();
        sim
    }

    pub fn add_worker(&mut self, i: usize, capacity: Resources) {
        let id = InstanceId::from(format!("w{i}").as_str());
        let worker = FakeWorker::new(i as u64, capacity, format!("rack-{}", i / 2));
        self.workers.insert(id, worker);
    }

    pub fn worker_id(&self, i: usize) -> InstanceId {
        let n = i % self.workers.len();
        self.workers.keys().nth(n).cloned().unwrap()
    }

    fn listed(&self) -> Vec<WorkerListing> {
        self.workers
            .iter()
            .filter(|(_, w)| !w.unlisted)
            .map(|(id, w)| WorkerListing {
                id: id.clone(),
                zone: "zone".into(),
                rack: w.rack.as_str().into(),
                leaving: w.leaving,
            })
            .collect()
    }

    /// Lets a new owner take over at the next epoch, with the durable records.
    pub fn takeover(&mut self) {
        self.epoch = Epoch(self.epoch.0 + 1);
        let mut engine = Engine::new(PartitionId(0), self.epoch, self.policy.clone());
        for record in &self.ledger {
            engine.replay(self.now, record.clone());
        }
        let mut out = Vec::new();
        engine.activate(self.now, &mut out);
        engine.set_worker_list(self.now, &self.listed(), &mut out);
        let owner = Owner {
            engine,
            epoch: self.epoch,
            pending: VecDeque::new(),
            deposed: false,
            paused: false,
            orders: BTreeMap::new(),
            sessions: BTreeMap::new(),
            authority: Authority::Full,
            lease_expired_at: None,
        };
        for earlier in &mut self.owners {
            earlier.lease_expired_at.get_or_insert(self.now);
        }
        self.owners.push(owner);
        let last = self.owners.len() - 1;
        self.execute(last, out);
    }

    /// Lets every member promise the newest owner not to take over for `ms` milliseconds.
    pub fn promise_no_takeover(&mut self, ms: u64) {
        self.no_takeover_until = self.no_takeover_until.max(self.now + Millis(ms));
        let until = self.no_takeover_until;
        self.engine().set_no_takeover_until(until);
    }

    /// Returns the engine of the newest owner.
    pub fn engine(&mut self) -> &mut Engine {
        &mut self.owners.last_mut().unwrap().engine
    }

    pub fn submit(&mut self, id: &str, spec: &Spec) -> Result<RequestNo, Error> {
        self.submit_as("account", id, spec)
    }

    pub fn submit_as(&mut self, account: &str, id: &str, spec: &Spec) -> Result<RequestNo, Error> {
        let key = RequestKey::new(&AccountId::from(account), id);
        let last = self.owners.len() - 1;
        let mut out = Vec::new();
        let now = self.now;
        let result = self.owners[last].engine.submit(now, &key, spec, &mut out);
        if let Ok(no) = &result {
            self.checker.record_submitted(&key, spec);
            self.checker.record_number(&key, *no);
        }
        self.execute(last, out);
        result
    }

    pub fn cancel(&mut self, id: &str) {
        let last = self.owners.len() - 1;
        let mut out = Vec::new();
        let now = self.now;
        // The id may be unknown, for example after a takeover without the record.
        let _ = self.owners[last].engine.cancel(now, &key(id), &mut out);
        self.execute(last, out);
    }

    /// Runs the periodic work and the decisions of an owner with its current authority.
    pub fn decide(&mut self, i: usize) {
        let owner = &self.owners[i];
        let authority = match owner.lease_expired_at {
            None => owner.authority,
            Some(at) if self.now < at + self.policy.renewal_bound => Authority::RenewOnly,
            Some(_) => Authority::None,
        };
        self.decide_as(i, authority);
    }

    /// Runs the periodic work and the decisions of an owner with an authority that may be
    /// out of date.
    pub fn decide_as(&mut self, i: usize, authority: Authority) {
        let now = self.now;
        let stalled = self.stalled;
        let owner = &mut self.owners[i];
        if owner.paused || owner.deposed {
            return;
        }
        let mut out = Vec::new();
        owner.engine.set_ledger_stalled(stalled);
        owner.engine.tick(now, authority, &mut out);
        owner.engine.decide(now, authority, &mut out);
        self.execute(i, out);
    }

    /// Makes the appended records of an owner durable, unless its epoch is out of date.
    pub fn write_ledger(&mut self, i: usize) {
        let owner = &mut self.owners[i];
        if self.stalled || owner.paused || owner.pending.is_empty() || owner.deposed {
            return;
        }
        if owner.epoch != self.epoch {
            owner.deposed = true;
            return;
        }
        let mut seq = 0;
        for (s, record) in owner.pending.drain(..) {
            seq = s;
            self.ledger.push(record);
        }
        let mut out = Vec::new();
        owner.engine.set_durable(seq, &mut out);
        self.execute(i, out);
    }

    pub fn execute(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append { seq, record } => self.owners[i].pending.push_back((seq, record)),
                Action::Changed(no) => self.check_answer(i, no),
                Action::FirstStart { .. } => {}
                order => self.send(i, order),
            }
        }
    }

    fn check_answer(&mut self, i: usize, no: RequestNo) {
        let engine = &self.owners[i].engine;
        if let Some(view) = engine.view(no)
            && let Some(answer) = view.answer
        {
            // An answer that is not durable is marked as such and may be lost.
            if view.durable {
                let answer: FinalAnswer = answer.clone();
                let key = view.key.clone();
                self.checker.answered(&key, &answer);
            }
        }
    }

    fn send(&mut self, i: usize, action: Action) {
        let owner = &mut self.owners[i];
        let (worker, order) = Order::from_action(action);
        let started = matches!(order, Order::Start { .. });
        if started {
            self.checker
                .start_sent(self.workers[&worker].epochs_aware_of_leaving.contains(&owner.epoch));
        }
        // Orders without a session are dropped, as in the server.
        if owner.sessions.contains_key(&worker) {
            owner.orders.entry(worker).or_default().push_back(order);
        }
    }

    /// Lets an owner claim a worker if both are able to.
    pub fn claim(&mut self, i: usize, id: &InstanceId) {
        let now = self.now;
        let session = self.next_session;
        let owner = &mut self.owners[i];
        let worker = self.workers.get_mut(id).unwrap();
        if owner.paused || owner.deposed || worker.frozen || worker.unreachable || worker.unlisted {
            return;
        }
        let Some(claim) = worker.claim(now, owner.epoch, session, &mut self.checker) else {
            return;
        };
        self.next_session += 1;
        if claim.leaving {
            worker.epochs_aware_of_leaving.insert(owner.epoch);
        }
        owner.sessions.insert(id.clone(), session);
        owner.orders.insert(id.clone(), VecDeque::new());
        let mut out = Vec::new();
        owner.engine.worker_claimed(now, id, &claim, &mut out);
        self.execute(i, out);
    }

    /// Ends the session of an owner with a worker. Orders in transit are lost.
    pub fn disconnect(&mut self, i: usize, id: &InstanceId) {
        let now = self.now;
        let owner = &mut self.owners[i];
        if owner.sessions.remove(id).is_none() || owner.deposed {
            return;
        }
        owner.orders.remove(id);
        let mut out = Vec::new();
        owner.engine.session_ended(now, id, &mut out);
        self.execute(i, out);
    }

    /// Delivers all orders in transit to a worker, and its reports to the owner.
    pub fn deliver(&mut self, i: usize, id: &InstanceId) {
        let now = self.now;
        let worker = self.workers.get_mut(id).unwrap();
        if worker.frozen || worker.unreachable {
            return;
        }
        worker.end_due_tasks(now, &mut self.checker);
        let owner = &mut self.owners[i];
        let Some(&session) = owner.sessions.get(id) else {
            return;
        };
        if worker.session != session {
            // The worker has a newer session.
            self.disconnect(i, id);
            return;
        }
        for order in std::mem::take(owner.orders.entry(id.clone()).or_default()) {
            worker.execute_order(now, order, &mut self.checker);
        }
        if !owner.paused && !owner.deposed {
            worker.stamp_reports(now);
            let reports = worker.take_reports();
            self.report(i, id, reports);
        }
    }

    fn report(&mut self, i: usize, id: &InstanceId, reports: worker::Reports) {
        let now = self.now;
        let mut out = Vec::new();
        let engine = &mut self.owners[i].engine;
        engine.record_clock(now, id, reports.clock);
        for task in &reports.started {
            engine.task_started(now, id, task, &mut out);
        }
        for end in &reports.ended {
            engine.task_ended(now, id, end, &mut out);
        }
        for task in &reports.refused {
            engine.start_refused(now, id, task, &mut out);
        }
        engine.usage_reported(now, id, reports.leaving, &[], &mut out);
        if reports.leaving {
            let epoch = self.owners[i].epoch;
            self.workers.get_mut(id).unwrap().epochs_aware_of_leaving.insert(epoch);
        }
        self.execute(i, out);
    }

    /// Advances time by one step and processes everything that can happen in it.
    pub fn step(&mut self) {
        self.now = self.now + STEP_DURATION;
        let ids: Vec<InstanceId> = self.workers.keys().cloned().collect();
        for id in &ids {
            let worker = self.workers.get_mut(id).unwrap();
            worker.advance_time(self.now, &mut self.checker);
        }
        for i in 0..self.owners.len() {
            self.decide(i);
            self.write_ledger(i);
            self.decide(i);
            for id in &ids {
                let ended = {
                    let w = &self.workers[id];
                    let session = self.owners[i].sessions.get(id);
                    session.is_some_and(|s| *s != w.session)
                };
                if ended {
                    self.disconnect(i, id);
                }
                self.deliver(i, id);
            }
        }
        let last = self.owners.len() - 1;
        for id in &ids {
            if !self.owners[last].sessions.contains_key(id) {
                self.claim(last, id);
            }
        }
        self.check();
    }

    /// Runs steps for `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + Millis(ms);
        while self.now < until {
            self.step();
        }
    }

    /// Runs enough steps for claims and starts.
    pub fn run_briefly(&mut self) {
        self.run(STEP_DURATION.0 * 6);
    }

    pub fn check(&self) {
        self.checker.check(&self.workers, self.now);
    }

    pub fn answer(&mut self, id: &str) -> Option<FinalAnswer> {
        let engine = self.engine();
        let no = engine.find(&key(id))?;
        engine.view(no)?.answer.cloned()
    }

    pub fn running(&mut self, id: &str) -> u32 {
        let engine = self.engine();
        engine.find(&key(id)).and_then(|no| engine.view(no)).map_or(0, |v| v.running)
    }
}
