//! A worker's state, its sessions and its claims.

use super::tasks::allocated_cpu_milli;
use crate::payload::Behaviour;
use crate::record::{Line, Recorder, TaskEvent};
use hollowford_core::Clock;
use hollowford_platform::Platform;
use hollowford_platform::rows::Instance;
use hollowford_protocol::v1;
use hollowford_protocol::v1::report::Report;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use tonic::Status;

/// Settings of a stand-in worker.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance as listed on the platform. Its address is filled in at the start.
    pub instance: Instance,
    /// CPU capacity in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether every task fails at once.
    pub fail_all: bool,
}

pub(super) type TaskKey = (u64, u32, u32);

pub(super) fn task_key(task: &v1::TaskRef) -> TaskKey {
    (task.request, task.index, task.attempt)
}

#[derive(Debug)]
pub(super) struct RunningTask {
    pub start: v1::Start,
    pub task: v1::TaskRef,
    pub behaviour: Behaviour,
    pub started_at: u64,
    pub ends_at: u64,
    pub lease_until: u64,
}

#[derive(Debug)]
pub(super) struct WorkerState {
    pub partition: u32,
    pub epoch: u64,
    pub session: u64,
    pub reports: Option<mpsc::Sender<Result<v1::Report, Status>>>,
    pub running: BTreeMap<TaskKey, RunningTask>,
    pub ended: BTreeMap<TaskKey, v1::Ended>,
    pub leaving: bool,
    pub fail_all: bool,
    /// Whether claims are ignored, as if the worker were disconnected from later owners.
    pub rejects_claims: bool,
    pub usage_reported_at: u64,
}

/// One stand-in worker.
#[derive(Debug)]
pub struct StandinWorker {
    pub(super) settings: Settings,
    pub(super) incarnation: u64,
    pub(super) clock: Clock,
    pub(super) clock_offset: u64,
    pub(super) recorder: Arc<Recorder>,
    pub(super) object_store: Option<Platform>,
    pub(super) state: Mutex<WorkerState>,
}

impl StandinWorker {
    pub(super) fn new(
        settings: Settings,
        recorder: Arc<Recorder>,
        object_store: Option<Platform>,
    ) -> Self {
        const OFFSET_RANGE: std::ops::Range<u64> = 1_000_000..2_000_000_000;
        let state = WorkerState {
            partition: 0,
            epoch: 0,
            session: 0,
            reports: None,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            leaving: settings.instance.leaving,
            fail_all: settings.fail_all,
            rejects_claims: false,
            usage_reported_at: 0,
        };
        StandinWorker {
            settings,
            incarnation: fastrand::u64(1..),
            clock: Clock::new(),
            // Every worker's clock differs, so that tests detect a confusion of clocks.
            clock_offset: fastrand::u64(OFFSET_RANGE),
            recorder,
            object_store,
            state: Mutex::new(state),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> u64 {
        self.clock.now().0 + self.clock_offset
    }

    /// Returns the instance's id.
    pub fn id(&self) -> &str {
        &self.settings.instance.id
    }

    /// Makes the worker report that its instance is leaving.
    pub fn announce_leaving(&self) {
        self.lock().leaving = true;
    }

    /// Sets whether every task fails at once.
    pub fn set_fail_all(&self, fail_all: bool) {
        self.lock().fail_all = fail_all;
    }

    /// Sets whether the worker ignores claims.
    pub fn set_rejects_claims(&self, rejects_claims: bool) {
        self.lock().rejects_claims = rejects_claims;
    }

    /// Ends the current session, like a network failure.
    pub fn disconnect(&self) {
        let mut state = self.lock();
        state.session += 1;
        state.reports = None;
    }

    pub(super) fn send_report(&self, state: &WorkerState, report: Report) {
        if let Some(tx) = &state.reports {
            let report = v1::Report { clock_ms: self.now(), report: Some(report) };
            // The reply to the next claim makes up for reports lost in a full or closed session.
            let _ = tx.try_send(Ok(report));
        }
    }

    pub(super) fn record(&self, state: &WorkerState, r: &RunningTask, what: TaskEvent) {
        let at_us = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64);
        // A paused worker ends a lapsed task late, but the task did not run after its lease.
        let late_ms = match what {
            TaskEvent::Lapsed => self.now().saturating_sub(r.lease_until),
            _ => 0,
        };
        self.recorder.push(Line {
            at_us: at_us - late_ms * 1_000,
            worker: self.settings.instance.id.clone(),
            what,
            partition: state.partition,
            request: r.task.request,
            index: r.task.index,
            attempt: r.task.attempt,
            name: r.behaviour.name.clone(),
            cpu_held: allocated_cpu_milli(state),
            cpu_capacity: u64::from(self.settings.cpu_milli),
        });
    }

    /// Starts a session and ends the previous one. Returns its number, or `None` if the epoch is
    /// older than that of the current owner.
    pub(super) fn claim(
        &self,
        claim: &v1::Claim,
        tx: mpsc::Sender<Result<v1::Report, Status>>,
    ) -> Option<u64> {
        let mut state = self.lock();
        if state.rejects_claims {
            return None;
        }
        let other = state.epoch > 0 && state.partition != claim.partition;
        if claim.epoch < state.epoch || other {
            let refused = v1::ClaimReply::default();
            let report =
                v1::Report { clock_ms: self.now(), report: Some(Report::Claimed(refused)) };
            let _ = tx.try_send(Ok(report));
            return None;
        }
        self.end_lapsed_tasks(&mut state);
        state.partition = claim.partition;
        state.epoch = claim.epoch;
        state.session += 1;
        state.reports = Some(tx);
        let reply = self.claim_reply(&state);
        self.send_report(&state, Report::Claimed(reply));
        Some(state.session)
    }

    fn claim_reply(&self, state: &WorkerState) -> v1::ClaimReply {
        let running = state.running.values().map(|r| v1::RunningTask {
            task: Some(r.task),
            cpu_milli: r.start.cpu_milli,
            memory_mib: r.start.memory_mib,
            accelerators: r.start.accelerators,
        });
        v1::ClaimReply {
            incarnation: self.incarnation,
            cpu_milli: self.settings.cpu_milli,
            memory_mib: self.settings.memory_mib,
            accelerators: self.settings.accelerators,
            leaving: state.leaving,
            running: running.collect(),
            ended: state.ended.values().cloned().collect(),
            accepted: true,
        }
    }
}
