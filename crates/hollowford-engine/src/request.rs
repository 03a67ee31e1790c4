//! Requests and their tasks.

use crate::account::AccountIdx;
use crate::event::{FinalAnswer, TaskResult};
use crate::worker::WorkerIdx;
use hollowford_core::{Kind, Millis, RequestKey, RequestNo, Spec, TaskId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Order of service; lower ones go first.
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

    /// Returns the queues that the class serves, in order. A client account's gangs
    /// go before its batch work, so that they don't wait for all of it.
    pub fn queue_kinds(self) -> &'static [QueueKind] {
        match self {
            PriorityClass::Urgent => &[QueueKind::Urgent],
            PriorityClass::Service => &[QueueKind::Service],
            PriorityClass::Normal => &[QueueKind::Gang, QueueKind::Batch],
        }
    }
}

/// One queue of a client account.
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

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits to be placed.
    Waiting,
    /// Its intent is appended; the start has not been sent.
    Placed(WorkerIdx),
    /// The start was sent, or may have been sent by an earlier owner.
    Starting(WorkerIdx),
    /// The worker has reported that it runs.
    Running(WorkerIdx),
    /// A stop was sent.
    Stopping(WorkerIdx),
    /// It needs nothing more.
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

/// One task of a request.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub state: TaskState,
    /// Number of the last attempt; 0: none yet.
    pub attempt: u32,
    pub failures: u32,
    /// Attempts under which the worker restarted shortly after the start.
    pub crashes: u32,
    /// When the task was placed or started, whichever came last.
    pub since: Millis,
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

/// Why a request waits, for `status --why`.
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

/// Where a request was placed last, and against what.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementChoice {
    pub worker: WorkerIdx,
    pub compared: u32,
    pub runner_up: Option<WorkerIdx>,
}

/// The results of a request's tasks, in the order of their indexes.
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

    /// Forgets a result, and tells whether there was one.
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

/// One request.
#[derive(Debug)]
pub(crate) struct Request {
    pub no: RequestNo,
    pub key: RequestKey,
    pub spec: Arc<Spec>,
    pub account: AccountIdx,
    pub class: PriorityClass,
    pub queue_kind: QueueKind,
    pub accepted_at: Millis,
    /// Position of the acceptance in the ledger; 0: read back from it.
    pub accepted_seq: u64,
    pub tasks: Vec<Task>,
    /// Indexes of waiting tasks, next first.
    pub waiting: VecDeque<u32>,
    /// Tasks that a worker holds.
    pub active: u32,
    pub running: u32,
    pub done: u32,
    pub failed: u32,
    /// Tasks that may have run.
    pub uncertain: u32,
    pub results: Results,
    pub message: Arc<str>,
    /// Accepted while the ledger stalls: it runs by the members' promises, and its
    /// answer is told before it is durable.
    pub write_behind: bool,
    pub cancelled: bool,
    /// A gang whose tasks are all being stopped, to start again or to fail.
    pub restarting: bool,
    pub begun: bool,
    pub first_start: Option<Millis>,
    /// No attempt before this time.
    pub not_before: Millis,
    pub in_queue: bool,
    pub wait_cause: WaitCause,
    pub placement_choice: Option<PlacementChoice>,
    /// Workers on which an attempt failed, each once.
    pub failed_workers: Vec<WorkerIdx>,
    pub answer: Option<FinalAnswer>,
    /// Position of the answer in the ledger; it is told once that is durable.
    pub answer_seq: u64,
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

    /// Returns where a task stands. A request that has ended keeps no tasks.
    pub fn state_of(&self, index: u32) -> TaskState {
        self.tasks.get(index as usize).map_or(TaskState::Ended, |t| t.state)
    }

    /// Returns the id of a task's current attempt.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId { request: self.no, index, attempt: self.tasks[index as usize].attempt }
    }

    /// Tells whether the task may be displaced: batch work that can start again.
    pub fn is_preemptible(&self) -> bool {
        self.class == PriorityClass::Normal && self.spec.repeatable && !self.is_gang()
    }

    /// Gives back the memory that an ended request needs no more.
    pub fn release_memory(&mut self) {
        self.tasks = Vec::new();
        self.waiting = VecDeque::new();
        self.failed_workers = Vec::new();
        self.results.list.shrink_to_fit();
    }

    /// Returns the workers that hold tasks of the request.
    pub fn workers(&self) -> impl Iterator<Item = WorkerIdx> + '_ {
        self.tasks.iter().filter_map(|t| t.state.worker())
    }
}

/// All requests that are open or whose answers are kept.
///
/// They are boxed, so that the spare room of the table is small.
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
