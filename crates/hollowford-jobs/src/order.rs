//! What the engine asks for, and what it is told of the outcome.

use crate::spec::{StepKey, TaskKey};
use crate::worker_life::{Incarnation, WorkerLife};
use hollowford_core::{InstanceId, Millis, Resources};
use std::sync::Arc;

/// What the owner is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Call a worker.
    Worker {
        /// The call.
        call: WorkerCall,
        /// How long to wait for the answer, beyond the time that the call itself lets the
        /// worker wait.
        limit: Millis,
    },
    /// Ask which of these workers may run a step.
    Advice {
        /// Position of the instance that makes the call, in the list of seats.
        seat: usize,
        /// The step.
        step: StepKey,
        /// The workers, by their ids.
        workers: Vec<InstanceId>,
    },
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Start a task.
    Start {
        /// The worker.
        worker: WorkerLife,
        /// Its address.
        address: Arc<str>,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// Reading of the worker's clock until which it may run what it runs.
        lease_until: u64,
        /// The job's template.
        template: Arc<str>,
        /// Checkpoint to go on from; empty: from the start.
        saved: Arc<str>,
        /// The ticket for the worker; empty: none is needed.
        ticket: Arc<str>,
    },
    /// Stop a task.
    Stop {
        /// The worker.
        worker: WorkerLife,
        /// Its address.
        address: Arc<str>,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
    },
    /// Let a task work at a share of its full pace.
    Pace {
        /// The worker.
        worker: WorkerLife,
        /// Its address.
        address: Arc<str>,
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// The share, in percent.
        percent: u32,
    },
    /// Renew the lease, acknowledge ends, and list what runs and has ended.
    Look {
        /// The worker.
        worker: WorkerLife,
        /// Its address.
        address: Arc<str>,
        /// Reading of the worker's clock until which it may run; none before its first answer.
        lease_until: Option<u64>,
        /// Ends up to this number are acknowledged: the worker may forget them.
        acknowledged: u64,
        /// How long the answer may wait for an end.
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

    /// Returns its address.
    pub fn address(&self) -> &Arc<str> {
        match self {
            WorkerCall::Start { address, .. }
            | WorkerCall::Stop { address, .. }
            | WorkerCall::Pace { address, .. }
            | WorkerCall::Look { address, .. } => address,
        }
    }
}

/// What a worker said to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// It runs; the worker's clock.
    Runs(u64),
    /// A newer owner has claimed the worker.
    Fenced,
    /// The run has been stopped or has ended there.
    Old,
    /// The lease in the order was over.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The worker is not well; nothing was done.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
    /// The order is not one that the worker understands.
    Invalid,
    /// No answer: it may run now, or later.
    Unanswered,
}

/// A worker's answer to a look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Look {
    /// Tells which life answers, of those under the id that was called; none: the worker doesn't say.
    pub incarnation: Option<Incarnation>,
    /// Reading of its clock.
    pub clock: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and is not forgotten.
    pub ended: Vec<End>,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// Its last checkpoint; empty: none.
    pub saved: Arc<str>,
    /// How much of its work is done, in percent.
    pub progress: u32,
    /// Of a task that serves users: the tail of their answer times in milliseconds. Of any
    /// other: the processors in use.
    pub load: u32,
}

/// A task that has ended on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Counts the ends of this life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the start.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// What it can go on from; empty: nothing.
    pub saved: Arc<str>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Well.
    Done,
    /// By a fault of its own or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease was over.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang was not complete in time.
    Alone,
}

/// An answer of the service for advice: who may run the step, each with a ticket.
pub type WorkerTickets = Vec<(InstanceId, Arc<str>)>;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// This life of the worker.
    pub life: WorkerLife,
    /// `IP:port`.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The pool that it belongs to.
    pub pool: Arc<str>,
    /// What it has.
    pub capacity: Resources,
    /// Its labels, the rack among them.
    pub labels: Vec<Arc<str>>,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// The least time that it stays, once it is leaving.
    pub remaining: Option<Millis>,
}
