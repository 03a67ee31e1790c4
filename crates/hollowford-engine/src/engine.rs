//! The state of one partition and the parts that every event shares.

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

/// What the owner may do at this moment, by its ownership lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The lease holds: everything.
    Full,
    /// The lease has lapsed: running work is kept alive, nothing is started.
    RenewOnly,
    /// The renewal bound has passed too: nothing.
    None,
}

/// Counters since the engine was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Intents appended.
    pub placed: u64,
    /// Starts sent.
    pub started: u64,
    /// Intents taken back before a start, or refused by the worker.
    pub withdrawn: u64,
    /// Attempts that ended well.
    pub done: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts of which no one can tell the end.
    pub lost: u64,
    /// Tasks displaced for urgent work.
    pub preempted: u64,
    /// Milliseconds of run time that displaced tasks had behind them.
    pub preempted_ms: u64,
    /// Requests refused at submission.
    pub refused: u64,
    /// Workers put aside.
    pub quarantined: u64,
    /// Reports that fit no attempt that the engine knows.
    pub stale_reports: u64,
    /// Tasks found on workers that the ledger doesn't know.
    pub foreign: u64,
}

/// A start that waits for its intent to be durable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingStart {
    /// Position of the intent; 0: it need not be durable.
    pub seq: u64,
    pub task: TaskId,
    pub worker: WorkerIdx,
}

/// The decisions of one partition. See the crate's description.
#[derive(Debug)]
pub struct Engine {
    pub(crate) partition: PartitionId,
    pub(crate) epoch: Epoch,
    pub(crate) policy: Policy,
    pub(crate) workers: Workers,
    pub(crate) accounts: Accounts,
    pub(crate) requests: Requests,
    pub(crate) keys: HashMap<RequestKey, RequestNo>,
    pub(crate) next_no: u64,
    pub(crate) next_seq: u64,
    pub(crate) durable_seq: u64,
    pub(crate) ledger_stalled: bool,
    /// Until when no one takes over, while the ledger stalls; zero: that is not known.
    pub(crate) no_takeover_until: Millis,
    pub(crate) pending_starts: VecDeque<PendingStart>,
    pub(crate) pending_forgets: VecDeque<(u64, InstanceId, TaskId)>,
    pub(crate) pending_changes: VecDeque<(u64, RequestNo)>,
    /// Final answers by the time at which they were given, oldest first.
    pub(crate) kept_answers: VecDeque<(Millis, RequestNo)>,
    /// Requests that are given up at a time unless they have begun.
    pub(crate) start_deadlines: BTreeSet<(Millis, RequestNo)>,
    /// Times at which a waiting request may be tried again.
    pub(crate) retry_times: BTreeSet<(Millis, RequestNo)>,
    pub(crate) reservations: BTreeMap<RequestNo, Reservation>,
    pub(crate) preemption: PreemptionState,
    /// Something may be placeable that was not at the last pass.
    pub(crate) needs_pass: bool,
    pub(crate) pass_no: u64,
    pub(crate) open: u32,
    pub(crate) feasibility_checked_at: Millis,
    pub(crate) stats: Stats,
}

impl Engine {
    /// Makes the engine of an owner that has just taken the partition at `epoch`.
    ///
    /// What the ledger holds is given to [`Engine::replay`], then
    /// [`Engine::activate`] is called once.
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

    /// Returns the partition.
    pub fn partition(&self) -> PartitionId {
        self.partition
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the settings in force.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Puts a client account's configuration in force.
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

    /// Marks a request as changed, now.
    pub(crate) fn mark_changed(&mut self, no: RequestNo, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get_mut(&no) {
            r.version += 1;
            out.push(Action::Changed(no));
        }
    }

    /// Marks a request as changed once the ledger has the record at `seq`.
    pub(crate) fn mark_changed_when_durable(&mut self, no: RequestNo, seq: u64) {
        self.pending_changes.push_back((seq, no));
    }

    /// Puts a request with waiting tasks into its account's queue.
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
