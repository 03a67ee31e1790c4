//! The state of one partition, and helpers that all events use.

use crate::account::Accounts;
use crate::event::{Action, Change, Record};
use crate::gang::Reservation;
use crate::policy::Policy;
use crate::preemption::PreemptionState;
use crate::request::Requests;
use crate::worker::{WorkerIdx, Workers};
use hollowford_accounts::AccountPolicy;
use hollowford_core::{
    AccountId, Epoch, InstanceId, Millis, PartitionId, RequestKey, RequestNo, TaskId,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What the state of its ownership lease allows the owner to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The lease is valid: no restrictions.
    Full,
    /// The lease has expired: task leases are renewed, but nothing is started.
    RenewOnly,
    /// The lease expired longer ago than [`Policy::renewal_bound`]: nothing is allowed.
    None,
}

/// Counters since the engine was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Tasks placed on a worker: intents appended.
    pub placed: u64,
    /// Starts sent to workers.
    pub started: u64,
    /// Placed tasks that were withdrawn before their start or refused by the worker.
    pub withdrawn: u64,
    /// Attempts that succeeded.
    pub done: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts whose outcome is unknown.
    pub lost: u64,
    /// Tasks preempted for urgent work.
    pub preempted: u64,
    /// Total time in milliseconds that preempted tasks had run.
    pub preempted_ms: u64,
    /// Requests refused at submission.
    pub refused: u64,
    /// Times that a worker was quarantined.
    pub quarantined: u64,
    /// Reports about attempts that are unknown or no longer current.
    pub stale_reports: u64,
    /// Tasks found running on workers without an intent in the ledger.
    pub foreign: u64,
}

/// A start that waits until its intent is durable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingStart {
    /// Position of the intent in the ledger; 0 if the start need not wait for it.
    pub seq: u64,
    pub task: TaskId,
    pub worker: WorkerIdx,
}

/// The scheduler of one partition. See the crate documentation.
#[derive(Debug)]
pub struct Engine {
    pub(crate) partition: PartitionId,
    pub(crate) epoch: Epoch,
    pub(crate) policy: Policy,
    pub(crate) workers: Workers,
    pub(crate) accounts: Accounts,
    pub(crate) requests: Requests,
    /// Request numbers by key.
    pub(crate) keys: HashMap<RequestKey, RequestNo>,
    /// Number of the next request in this epoch.
    pub(crate) next_no: u64,
    /// Position of the next ledger record.
    pub(crate) next_seq: u64,
    /// Position up to which all ledger records are durable.
    pub(crate) durable_seq: u64,
    /// Whether the ledger can't be written.
    pub(crate) ledger_stalled: bool,
    /// While the ledger is stalled: time until which every member has promised not to take the
    /// partition over; zero if any member has not.
    pub(crate) no_takeover_until: Millis,
    pub(crate) pending_starts: VecDeque<PendingStart>,
    /// Acknowledgements of outcomes that wait for the record at a position.
    pub(crate) pending_forgets: VecDeque<(u64, InstanceId, TaskId)>,
    /// Changes of requests that are reported once the record at a position is durable.
    pub(crate) pending_changes: VecDeque<(u64, RequestNo)>,
    /// Requests with a final answer and the time of that answer, oldest first.
    pub(crate) kept_answers: VecDeque<(Millis, RequestNo)>,
    /// Times at which requests are given up unless one of their tasks has started.
    pub(crate) start_deadlines: BTreeSet<(Millis, RequestNo)>,
    /// Times at which another placement pass tries a waiting request again.
    pub(crate) retry_times: BTreeSet<(Millis, RequestNo)>,
    pub(crate) reservations: BTreeMap<RequestNo, Reservation>,
    pub(crate) preemption: PreemptionState,
    /// Whether a task may be placeable that the last pass could not place.
    pub(crate) needs_pass: bool,
    /// Number of the last placement pass.
    pub(crate) pass_no: u64,
    /// Requests without a final answer.
    pub(crate) open: u32,
    pub(crate) feasibility_checked_at: Millis,
    pub(crate) stats: Stats,
}

impl Engine {
    /// Creates the engine of an owner that has just taken over the partition at `epoch`.
    ///
    /// The caller passes every record of the ledger to [`Engine::replay`], then calls
    /// [`Engine::activate`] once.
    pub fn new(partition: PartitionId, epoch: Epoch, policy: Policy) -> Engine {
        Engine {
            partition,
            epoch,
            policy,
            workers: Workers::default(),
            accounts: Accounts::default(),
            requests: Requests::default(),
            keys: HashMap::new(),
            next_no: 1,
            next_seq: 1,
            durable_seq: 0,
            ledger_stalled: false,
            no_takeover_until: Millis(0),
            pending_starts: VecDeque::new(),
            pending_forgets: VecDeque::new(),
            pending_changes: VecDeque::new(),
            kept_answers: VecDeque::new(),
            start_deadlines: BTreeSet::new(),
            retry_times: BTreeSet::new(),
            reservations: BTreeMap::new(),
            preemption: PreemptionState::default(),
            needs_pass: false,
            pass_no: 0,
            open: 0,
            feasibility_checked_at: Millis(0),
            stats: Stats::default(),
        }
    }

    /// Returns the id of the engine's partition.
    pub fn partition(&self) -> PartitionId {
        self.partition
    }

    /// Returns the epoch at which the owner took over the partition.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the scheduling settings in use.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the counters since the engine was created.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Applies the configuration of a client account.
    pub fn set_account(&mut self, id: &AccountId, policy: AccountPolicy) {
        let idx = self.accounts.intern(id);
        self.accounts.get_mut(idx).policy = policy;
        self.needs_pass = true;
    }

    /// Appends a record to the ledger and returns its position.
    pub(crate) fn append(
        &mut self,
        request: RequestNo,
        change: Change,
        out: &mut Vec<Action>,
    ) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        out.push(Action::Append { seq, record: Record { request, change } });
        seq
    }

    /// Increments the version of a request and reports the change at once.
    pub(crate) fn mark_changed(&mut self, no: RequestNo, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.version += 1;
            out.push(Action::Changed(no));
        }
    }

    /// Reports a request as changed once the record at `seq` is durable.
    pub(crate) fn mark_changed_when_durable(&mut self, no: RequestNo, seq: u64) {
        self.pending_changes.push_back((seq, no));
    }

    /// Adds a request with waiting tasks to its account's queue, unless it is queued already.
    pub(crate) fn enqueue(&mut self, no: RequestNo, front: bool) {
        let Some(r) = self.requests.get_mut(&no) else {
            return;
        };
        if r.in_queue || r.waiting.is_empty() || r.answer.is_some() {
            return;
        }
        r.in_queue = true;
        let queue = &mut self.accounts.get_mut(r.account).queues[r.queue_kind as usize];
        if front {
            queue.push_front(no);
        } else {
            queue.push_back(no);
        }
        self.needs_pass = true;
    }
}
