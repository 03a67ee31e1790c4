//! Requests, their tasks and results, and their priority classes.

use crate::account::AccountIdx;
use crate::event::{FinalAnswer, TaskResult};
use crate::worker::WorkerIdx;
use hollowford_core::{Kind, Millis, RequestKey, RequestNo, Spec, TaskId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Priority class of a request. Classes are served in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PriorityClass {
    Urgent = 0,
    Service = 1,
    Normal = 2,
}

impl PriorityClass {
    pub const COUNT: usize = 3;
    pub const ALL: [PriorityClass; PriorityClass::COUNT] =
        [PriorityClass::Urgent, PriorityClass::Service, PriorityClass::Normal];

    pub fn of(spec: &Spec) -> PriorityClass {
        if spec.urgent {
            return PriorityClass::Urgent;
        }
        match spec.kind {
            Kind::Check => PriorityClass::Urgent,
            Kind::Service => PriorityClass::Service,
            Kind::Gang | Kind::Batch => PriorityClass::Normal,
        }
    }

    /// Returns the queues of the class, in the order of service. The gangs of a client
    /// account go before its batch work, so that they don't wait for all of it.
    pub fn queue_kinds(self) -> &'static [QueueKind] {
        match self {
            PriorityClass::Urgent => &[QueueKind::Urgent],
            PriorityClass::Service => &[QueueKind::Service],
            PriorityClass::Normal => &[QueueKind::Gang, QueueKind::Batch],
        }
    }
}

/// The kinds of queues of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueKind {
    Urgent = 0,
    Service = 1,
    Gang = 2,
    Batch = 3,
}

impl QueueKind {
    pub const COUNT: usize = 4;

    pub fn of(spec: &Spec) -> QueueKind {
        match PriorityClass::of(spec) {
            PriorityClass::Urgent => QueueKind::Urgent,
            PriorityClass::Service => QueueKind::Service,
            PriorityClass::Normal if spec.kind == Kind::Gang => QueueKind::Gang,
            PriorityClass::Normal => QueueKind::Batch,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waiting to be placed.
    Waiting,
    /// The intent is appended, and the start has not been sent.
    Placed(WorkerIdx),
    /// The start was sent, or may have been sent by an earlier owner.
    Starting(WorkerIdx),
    /// The worker has reported that the task is running.
    Running(WorkerIdx),
    /// The task is being stopped.
    Stopping(WorkerIdx),
    /// Ended; the task does not run again unless it is requeued.
    Ended,
}

impl TaskState {
    /// Returns the worker that holds the task.
    pub fn worker(self) -> Option<WorkerIdx> {
        match self {
            TaskState::Placed(w)
            | TaskState::Starting(w)
            | TaskState::Running(w)
            | TaskState::Stopping(w) => Some(w),
            TaskState::Waiting | TaskState::Ended => None,
        }
    }
}

/// State and attempts of one task of a request.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub state: TaskState,
    /// Number of the last attempt; 0 if there was none.
    pub attempt: u32,
    /// Failed attempts.
    pub failures: u32,
    /// Attempts during which the worker restarted shortly after the start.
    pub crashes: u32,
    /// When the current attempt was placed or, once it runs, started.
    pub since: Millis,
    /// Checkpoint object from which the next attempt resumes.
    pub checkpoint: Option<Arc<str>>,
}

impl Task {
    fn new() -> Task {
        Task {
            state: TaskState::Waiting,
            attempt: 0,
            failures: 0,
            crashes: 0,
            since: Millis(0),
            checkpoint: None,
        }
    }
}

/// Why a request waits; shown by `status --why`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum WaitCause {
    #[default]
    AwaitingTurn,
    NoRoom,
    Quota,
    Headroom,
    Backoff,
    GangReservation,
    LedgerStalled,
}

impl WaitCause {
    pub fn text(self) -> &'static str {
        match self {
            WaitCause::AwaitingTurn => "waits for its turn in the order of client accounts",
            WaitCause::NoRoom => "waits: no usable instance that it may use has room",
            WaitCause::Quota => "waits: the client account's quota is in use",
            WaitCause::Headroom => "waits: the room left is kept for urgent work",
            WaitCause::Backoff => "waits before the next attempt",
            WaitCause::LedgerStalled => "waits: the ledger can't be written now",
            WaitCause::GangReservation => {
                "waits: instances are being drained so that all tasks can start"
            }
        }
    }
}

/// The last placement of a request and its alternatives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementChoice {
    pub worker: WorkerIdx,
    /// Number of workers that were compared.
    pub compared: u32,
    /// The second best worker.
    pub runner_up: Option<WorkerIdx>,
}

/// Results of a request's tasks, sorted by task index.
#[derive(Debug, Default)]
pub(crate) struct Results {
    list: Vec<(u32, TaskResult)>,
}

impl Results {
    fn find(&self, index: u32) -> Result<usize, usize> {
        self.list.binary_search_by_key(&index, |(i, _)| *i)
    }

    pub fn contains(&self, index: u32) -> bool {
        self.find(index).is_ok()
    }

    pub fn insert(&mut self, index: u32, result: TaskResult) {
        match self.find(index) {
            Ok(at) => self.list[at].1 = result,
            Err(at) => self.list.insert(at, (index, result)),
        }
    }

    /// Removes a result. Returns true if there was one.
    pub fn remove(&mut self, index: u32) -> bool {
        self.find(index).map(|at| self.list.remove(at)).is_ok()
    }

    pub fn get(&self, index: u32) -> Option<&TaskResult> {
        self.find(index).ok().map(|at| &self.list[at].1)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &TaskResult)> {
        self.list.iter().map(|(i, result)| (*i, result))
    }
}

/// A request and the state of its tasks.
#[derive(Debug)]
pub(crate) struct Request {
    pub no: RequestNo,
    pub key: RequestKey,
    pub spec: Arc<Spec>,
    pub account: AccountIdx,
    pub class: PriorityClass,
    pub queue_kind: QueueKind,
    pub accepted_at: Millis,
    /// Position of the acceptance in the ledger; 0 if it was recovered from the ledger.
    pub accepted_seq: u64,
    pub tasks: Vec<Task>,
    /// Indexes of waiting tasks in the order of their starts.
    pub waiting: VecDeque<u32>,
    /// Number of tasks that are placed on a worker.
    pub active: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of failed tasks.
    pub failed: u32,
    /// Number of tasks that may have run and are not repeated.
    pub uncertain: u32,
    pub results: Results,
    /// Message of the last failure.
    pub message: Arc<str>,
    /// Whether the request runs before its records are durable, and its answer is reported
    /// before it is durable. See `write_behind.rs`.
    pub write_behind: bool,
    pub cancelled: bool,
    /// Whether all tasks of a gang are being stopped, so that it can start again or fail.
    pub restarting: bool,
    /// Whether any task has started.
    pub begun: bool,
    /// When the first task started.
    pub first_start: Option<Millis>,
    /// Earliest time of the next attempt.
    pub not_before: Millis,
    /// Whether the request is in its account's queue.
    pub in_queue: bool,
    pub wait_cause: WaitCause,
    pub placement_choice: Option<PlacementChoice>,
    /// Distinct workers on which an attempt failed.
    pub failed_workers: Vec<WorkerIdx>,
    pub answer: Option<FinalAnswer>,
    /// Position of the answer in the ledger. It is reported once that is durable.
    pub answer_seq: u64,
    /// Incremented with each change that callers may see.
    pub version: u64,
}

impl Request {
    pub fn new(no: RequestNo, key: RequestKey, spec: Arc<Spec>, account: AccountIdx) -> Request {
        let count = spec.tasks;
        Request {
            no,
            key,
            account,
            class: PriorityClass::of(&spec),
            queue_kind: QueueKind::of(&spec),
            accepted_at: Millis(0),
            accepted_seq: 0,
            tasks: vec![Task::new(); count as usize],
            waiting: (0..count).collect(),
            active: 0,
            running: 0,
            done: 0,
            failed: 0,
            uncertain: 0,
            results: Results::default(),
            message: "".into(),
            write_behind: false,
            cancelled: false,
            restarting: false,
            begun: false,
            first_start: None,
            not_before: Millis(0),
            in_queue: false,
            wait_cause: WaitCause::AwaitingTurn,
            placement_choice: None,
            failed_workers: Vec::new(),
            answer: None,
            answer_seq: 0,
            version: 1,
            spec,
        }
    }

    pub fn is_gang(&self) -> bool {
        self.spec.kind == Kind::Gang
    }

    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// Returns the state of a task. A closed request has no tasks, so they count as ended.
    pub fn state_of(&self, index: u32) -> TaskState {
        self.tasks.get(index as usize).map_or(TaskState::Ended, |t| t.state)
    }

    /// Returns the id of a task's current attempt.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId { request: self.no, index, attempt: self.tasks[index as usize].attempt }
    }

    /// Returns true if tasks of the request may be preempted: repeatable batch work.
    pub fn is_preemptible(&self) -> bool {
        self.class == PriorityClass::Normal && self.spec.repeatable && !self.is_gang()
    }

    /// Drops what only an open request needs. Results are kept.
    pub fn release_memory(&mut self) {
        self.tasks = Vec::new();
        self.waiting = VecDeque::new();
        self.failed_workers = Vec::new();
        self.results.list.shrink_to_fit();
    }

    pub fn workers(&self) -> impl Iterator<Item = WorkerIdx> + '_ {
        self.tasks.iter().filter_map(|t| t.state.worker())
    }
}

/// All open requests, and closed ones whose answers are kept.
///
/// They are boxed, so that unused capacity of the table takes little memory.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    map: FxHashMap<RequestNo, Box<Request>>,
}

impl Requests {
    pub fn get(&self, no: &RequestNo) -> Option<&Request> {
        self.map.get(no).map(|r| &**r)
    }

    pub fn get_mut(&mut self, no: &RequestNo) -> Option<&mut Request> {
        self.map.get_mut(no).map(|r| &mut **r)
    }

    pub fn insert(&mut self, r: Request) {
        self.map.insert(r.no, Box::new(r));
    }

    pub fn remove(&mut self, no: &RequestNo) -> Option<Box<Request>> {
        self.map.remove(no)
    }

    pub fn values(&self) -> impl Iterator<Item = &Request> {
        self.map.values().map(|r| &**r)
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }
}
