//! Orders of the engine, and the answers of workers and of the platform.

use crate::spec::{StepKey, TaskKey};
use crate::worker_life::{Incarnation, WorkerLife};
use hollowford_core::{InstanceId, Millis, Resources};
use std::sync::Arc;

/// An action that the owner has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Call a worker.
    Worker {
        /// The call to make.
        call: WorkerCall,
        /// Timeout of the answer, in addition to the time for which the call itself lets the worker
        /// wait.
        limit: Millis,
    },
    /// Ask the advice service which of these workers may run a step.
    Advice {
        /// Index of the advice channel that makes the call, in the list set last by
        /// [`Engine::set_advice_channels`](crate::Engine::set_advice_channels).
        channel: usize,
        /// The step that waits for advice.
        step: StepKey,
        /// Ids of the workers to ask about.
        workers: Vec<InstanceId>,
    },
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Start a task.
    Start {
        /// The worker that is called.
        worker: WorkerLife,
        /// `IP:port` of the worker.
        address: Arc<str>,
        /// The task to start.
        task: TaskKey,
        /// Run number, which increases with each start of the task.
        run: u32,
        /// Clock reading of the worker up to which it may run all its tasks.
        lease_until: u64,
        /// The job's template, passed to the worker unchanged.
        template: Arc<str>,
        /// Checkpoint to resume from; empty to start from the beginning.
        saved: Arc<str>,
        /// Ticket of the advice service for the worker; empty if none is needed.
        ticket: Arc<str>,
    },
    /// Stop a task.
    Stop {
        /// The worker that is called.
        worker: WorkerLife,
        /// `IP:port` of the worker.
        address: Arc<str>,
        /// The task to stop.
        task: TaskKey,
        /// Number of the run to stop.
        run: u32,
    },
    /// Run a task at part of its full pace.
    Pace {
        /// The worker that is called.
        worker: WorkerLife,
        /// `IP:port` of the worker.
        address: Arc<str>,
        /// The task to slow down or speed up.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// New pace, in percent of full pace.
        percent: u32,
    },
    /// Look: renew the lease, acknowledge ends, and list running and ended tasks.
    Look {
        /// The worker that is called.
        worker: WorkerLife,
        /// `IP:port` of the worker.
        address: Arc<str>,
        /// Clock reading of the worker up to which it may run its tasks; `None` before its first
        /// answer.
        lease_until: Option<u64>,
        /// Ends up to this number are acknowledged: the worker may forget them.
        acknowledged: u64,
        /// How long the worker may wait for an end before it answers.
        wait: Millis,
    },
}

impl WorkerCall {
    /// Returns the worker that is called.
    pub fn worker(&self) -> &WorkerLife {
        match self {
            WorkerCall::Start { worker, .. }
            | WorkerCall::Stop { worker, .. }
            | WorkerCall::Pace { worker, .. }
            | WorkerCall::Look { worker, .. } => worker,
        }
    }

    /// Returns the worker's address.
    pub fn address(&self) -> &Arc<str> {
        match self {
            WorkerCall::Start { address, .. }
            | WorkerCall::Stop { address, .. }
            | WorkerCall::Pace { address, .. }
            | WorkerCall::Look { address, .. } => address,
        }
    }
}

/// A worker's answer to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The task runs; with the worker's clock reading.
    Runs(u64),
    /// A newer owner has claimed the worker.
    Fenced,
    /// The run was already stopped or has ended on the worker.
    Old,
    /// The lease in the order had expired.
    Late,
    /// The worker lacks the resources.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The worker is unhealthy and has not started the task.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherLife,
    /// The worker doesn't understand the order.
    Invalid,
    /// There was no answer: the task may run now or be started later.
    Unanswered,
}

/// A worker's answer to a look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Look {
    /// The incarnation that answers; `None` if the worker doesn't report it.
    pub incarnation: Option<Incarnation>,
    /// Reading of the worker's clock, in milliseconds.
    pub clock: u64,
    /// Tasks that run on the worker.
    pub running: Vec<Running>,
    /// Ended tasks whose ends are not acknowledged yet, in ascending order of their numbers.
    pub ended: Vec<End>,
    /// Whether `ended` may lack the last ends, because an answer lists a limited number of them.
    pub ends_cut: bool,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The task that runs.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Its last checkpoint; empty if there is none.
    pub saved: Arc<str>,
    /// Completed share of its work, in percent.
    pub progress: u32,
    /// For a service task, its tail latency in milliseconds; for other tasks, the processors in
    /// use.
    pub load: u32,
}

/// A task that has ended on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Number of the end, counted from 1 by each incarnation of the worker.
    pub number: u64,
    /// The task that has ended.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// Checkpoint to resume from; empty if there is none.
    pub saved: Arc<str>,
}

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It completed its work.
    Done,
    /// It failed through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang was not complete in time.
    Alone,
}

/// Answer of the advice service: the workers that may run a step, each with a ticket.
pub type WorkerTickets = Vec<(InstanceId, Arc<str>)>;

/// A worker in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// The worker incarnation.
    pub life: WorkerLife,
    /// `IP:port` of the worker.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// Its total resources.
    pub capacity: Resources,
    /// Its labels, including the rack.
    pub labels: Vec<Arc<str>>,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
    /// Minimum time until its removal, once it is leaving.
    pub remaining: Option<Millis>,
    /// Whether the worker itself has removed its entry, so that the platform no longer lists it.
    pub withdrawn: bool,
}
