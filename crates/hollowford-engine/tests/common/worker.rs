//! A simulated worker.

use super::invariants::InvariantChecker;
use hollowford_core::prelude::*;
use hollowford_engine::{Action, ClaimReport, ClaimedTask, EndReport, TaskEnd, TaskResult};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// An order in transit to a worker.
#[derive(Clone, Debug)]
pub enum Order {
    Start { task: TaskId, lease_until: u64, fixed_lease: bool, spec: Arc<Spec> },
    Renew { lease_until: u64 },
    Stop { task: TaskId },
    Forget { task: TaskId },
    Throttle,
}

impl Order {
    pub fn from_action(action: Action) -> (InstanceId, Order) {
        match action {
            Action::Start { worker, task, lease_until, fixed_lease, spec, .. } => {
                (worker, Order::Start { task, lease_until, fixed_lease, spec })
            }
            Action::Renew { worker, lease_until } => (worker, Order::Renew { lease_until }),
            Action::Stop { worker, task, .. } => (worker, Order::Stop { task }),
            Action::Forget { worker, task } => (worker, Order::Forget { task }),
            Action::Throttle { worker, .. } => (worker, Order::Throttle),
            other => panic!("{other:?} is not an order"),
        }
    }
}

/// A task that runs on the worker. Times are on its clock.
#[derive(Clone, Debug)]
pub struct Running {
    pub spec: Arc<Spec>,
    pub ends_at: u64,
    pub lease_until: u64,
    pub fixed_lease: bool,
    pub started_at: u64,
}

/// Reports in transit to the owner.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    pub clock: u64,
    pub leaving: bool,
    pub started: Vec<TaskId>,
    pub ended: Vec<EndReport>,
    pub refused: Vec<TaskId>,
}

/// A worker with its own clock. It enforces leases and epochs, has one session, and keeps
/// outcomes until they are acknowledged.
pub struct FakeWorker {
    pub capacity: Resources,
    pub rack: String,
    pub epoch: Epoch,
    pub session: u64,
    pub incarnation: u64,
    pub running: BTreeMap<TaskId, Running>,
    pub ended: BTreeMap<TaskId, EndReport>,
    pub reports: Reports,
    pub leaving: bool,
    pub frozen: bool,
    pub unreachable: bool,
    pub unlisted: bool,
    /// Whether every task fails at once.
    pub fails_all: bool,
    /// Epochs of the owners that know that this worker is leaving.
    pub epochs_aware_of_leaving: BTreeSet<Epoch>,
    offset: u64,
}

impl FakeWorker {
    pub fn new(i: u64, capacity: Resources, rack: String) -> FakeWorker {
        FakeWorker {
            capacity,
            rack,
            epoch: Epoch(0),
            session: 0,
            incarnation: i + 1,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            reports: Reports::default(),
            leaving: false,
            frozen: false,
            unreachable: false,
            unlisted: false,
            fails_all: false,
            epochs_aware_of_leaving: BTreeSet::new(),
            offset: 1_000_000 * (i + 1),
        }
    }

    pub fn clock(&self, now: Millis) -> u64 {
        now.0 + self.offset
    }

    /// Ends tasks whose lease has expired or that are complete.
    pub fn end_due_tasks(&mut self, now: Millis, checker: &mut InvariantChecker) {
        let clock = self.clock(now);
        let due: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, r)| r.lease_until.min(r.ends_at) <= clock)
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let r = &self.running[&task];
            let expired = r.lease_until < r.ends_at;
            let end = if expired { TaskEnd::Lost } else { TaskEnd::Done(TaskResult::default()) };
            self.end(now, &task, end, checker);
        }
    }

    pub fn advance_time(&mut self, now: Millis, checker: &mut InvariantChecker) {
        if !self.frozen {
            self.end_due_tasks(now, checker);
        }
    }

    fn end(&mut self, now: Millis, task: &TaskId, end: TaskEnd, checker: &mut InvariantChecker) {
        if let Some(r) = self.running.remove(task) {
            checker.ended(task, &end);
            let ran = Millis(self.clock(now).saturating_sub(r.started_at));
            let report = EndReport { task: *task, end, ran };
            self.ended.insert(*task, report.clone());
            self.reports.ended.push(report);
        }
    }

    pub fn claim(
        &mut self,
        now: Millis,
        epoch: Epoch,
        session: u64,
        checker: &mut InvariantChecker,
    ) -> Option<ClaimReport> {
        if epoch < self.epoch {
            return None;
        }
        self.end_due_tasks(now, checker);
        self.epoch = epoch;
        self.session = session;
        self.reports = Reports::default();
        let running = self
            .running
            .iter()
            .map(|(task, r)| ClaimedTask { task: *task, resources: r.spec.per_task });
        Some(ClaimReport {
            incarnation: self.incarnation,
            clock: self.clock(now),
            capacity: self.capacity,
            leaving: self.leaving,
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
        })
    }

    pub fn execute_order(&mut self, now: Millis, order: Order, checker: &mut InvariantChecker) {
        match order {
            Order::Start { task, lease_until, fixed_lease, spec } => {
                self.start(now, task, lease_until, spec, checker);
                if let Some(r) = self.running.get_mut(&task) {
                    r.fixed_lease = fixed_lease;
                }
            }
            Order::Renew { lease_until } => {
                for r in self.running.values_mut().filter(|r| !r.fixed_lease) {
                    r.lease_until = r.lease_until.max(lease_until);
                }
            }
            Order::Stop { task } => self.end(now, &task, TaskEnd::Stopped("".into()), checker),
            Order::Forget { task } => {
                self.ended.remove(&task);
            }
            Order::Throttle => {}
        }
    }

    fn start(
        &mut self,
        now: Millis,
        task: TaskId,
        lease_until: u64,
        spec: Arc<Spec>,
        checker: &mut InvariantChecker,
    ) {
        let clock = self.clock(now);
        if lease_until <= clock {
            self.reports.refused.push(task);
            return;
        }
        checker.started(&task, &spec);
        let run = if spec.run_time_ms == 0 { u64::MAX - clock } else { spec.run_time_ms };
        let (ends_at, started_at) = (clock + run, clock);
        let r = Running { spec, ends_at, lease_until, fixed_lease: false, started_at };
        self.running.insert(task, r);
        self.reports.started.push(task);
        if self.fails_all {
            self.end(now, &task, TaskEnd::Failed("failing worker".into()), checker);
        }
    }

    /// Restarts the worker: it loses its tasks, outcomes and session.
    pub fn restart(&mut self, checker: &mut InvariantChecker) {
        for task in self.running.keys() {
            checker.ended(task, &TaskEnd::Lost);
        }
        self.running.clear();
        self.ended.clear();
        self.reports = Reports::default();
        self.incarnation += 1_000;
        self.session = 0;
    }

    pub fn take_reports(&mut self) -> Reports {
        std::mem::take(&mut self.reports)
    }
}

impl FakeWorker {
    /// Sets the clock reading and the leaving flag of the reports that are about to be sent.
    pub fn stamp_reports(&mut self, now: Millis) {
        self.reports.clock = self.clock(now);
        self.reports.leaving = self.leaving;
    }
}
