//! Read-only queries.

use crate::engine::Engine;
use crate::event::{FinalAnswer, TaskResult};
use crate::request::{Request, WaitCause};
use hollowford_core::{
    AccountId, Epoch, Millis, PartitionId, RequestKey, RequestNo, Resources, Totals,
};

/// Maximum number of instances in a view.
const MAX_VIEW_INSTANCES: usize = 16;

/// The state of a request, as shown to its caller.
#[derive(Clone, Debug)]
pub struct RequestView<'a> {
    /// Account and id that identify the request to its caller.
    pub key: &'a RequestKey,
    /// Incremented with each change.
    pub version: u64,
    /// Number of waiting tasks.
    pub queued: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of ended tasks.
    pub ended: u32,
    /// The final answer, once it is durable; for a write-behind request at once.
    pub answer: Option<&'a FinalAnswer>,
    /// Whether the answer is durable. It may not be for a write-behind request.
    pub durable: bool,
    /// Results by task index. Empty as long as there is no answer.
    pub results: Vec<(u32, &'a TaskResult)>,
    /// Time from acceptance to the first start.
    pub waited: Option<Millis>,
    /// Instances that hold its tasks, at most 16; if there are none, the one of the last
    /// placement.
    pub instances: Vec<&'a str>,
    /// Why the request waits, or why it was placed on its workers.
    pub why: String,
    /// Partition that the request belongs to.
    pub partition: PartitionId,
    /// Epoch of the partition's owner.
    pub epoch: Epoch,
    /// Whether the request is a service.
    pub is_service: bool,
}

/// The state of a worker.
#[derive(Clone, Debug)]
pub struct WorkerView<'a> {
    /// Id of the instance.
    pub id: &'a str,
    /// Whether this owner has claimed the worker and the session is open.
    pub claimed: bool,
    /// Whether the instance is about to be removed.
    pub leaving: bool,
    /// Whether the worker is in quarantine.
    pub quarantined: bool,
    /// Total resources.
    pub capacity: Resources,
    /// Free resources.
    pub free: Resources,
    /// Number of tasks that are placed on the worker.
    pub held: usize,
    /// Number of tasks on the worker without an intent in the ledger.
    pub foreign: usize,
}

/// The state of a client account.
#[derive(Clone, Copy, Debug)]
pub struct AccountView<'a> {
    /// Id of the account.
    pub id: &'a AccountId,
    /// Resources that its placed tasks occupy.
    pub used: Totals,
    /// Requests without a final answer.
    pub open: u32,
    /// Whether any of its requests is queued.
    pub waits: bool,
}

impl Engine {
    /// Returns the number of the request with this key.
    pub fn find(&self, key: &RequestKey) -> Option<RequestNo> {
        self.keys.get(key).copied()
    }

    /// Returns the key of a request.
    pub fn key_of(&self, no: RequestNo) -> Option<&RequestKey> {
        self.requests.get(&no).map(|r| &r.key)
    }

    /// Returns true if the caller may be told that the request is accepted: the acceptance
    /// is durable, or the request is write-behind.
    pub fn is_accepted(&self, no: RequestNo) -> bool {
        let may_report = |r: &Request| r.write_behind || r.accepted_seq <= self.durable_seq;
        self.requests.get(&no).is_some_and(may_report)
    }

    /// Returns true if a caller that waits for the end of the request can be answered: the
    /// final answer may be reported, or all tasks of a service are running.
    pub fn is_wait_over(&self, no: RequestNo) -> bool {
        self.requests.get(&no).is_some_and(|r| {
            let serves = r.is_service() && !r.cancelled && r.running as usize == r.tasks.len();
            self.visible_answer(r).is_some() || serves
        })
    }

    fn visible_answer<'a>(&self, r: &'a Request) -> Option<&'a FinalAnswer> {
        r.answer.as_ref().filter(|_| r.write_behind || r.answer_seq <= self.durable_seq)
    }

    /// Returns the state of a request, as shown to its caller.
    pub fn view(&self, no: RequestNo) -> Option<RequestView<'_>> {
        let r = self.requests.get(&no)?;
        let answer = self.visible_answer(r);
        let results = match answer {
            Some(_) => r.results.iter().collect(),
            None => Vec::new(),
        };
        let mut workers: Vec<u32> = r.workers().collect();
        workers.sort_unstable();
        workers.dedup();
        workers.truncate(MAX_VIEW_INSTANCES);
        if workers.is_empty() {
            workers.extend(r.placement_choice.map(|p| p.worker));
        }
        let queued = r.waiting.len() as u32;
        Some(RequestView {
            key: &r.key,
            version: r.version,
            queued,
            running: r.running,
            ended: r.spec.tasks - queued - r.active,
            answer,
            durable: r.answer_seq <= self.durable_seq,
            results,
            waited: r.first_start.map(|t| t.since(r.accepted_at)),
            instances: workers.iter().map(|&w| self.workers.get(w).id.as_str()).collect(),
            why: self.why(r),
            partition: self.partition,
            epoch: self.epoch,
            is_service: r.is_service(),
        })
    }

    fn why(&self, r: &Request) -> String {
        if r.answer.is_some() {
            return String::new();
        }
        if r.restarting {
            return "its tasks are being stopped, to start again together".to_owned();
        }
        if !r.waiting.is_empty() {
            if self.ledger_stalled {
                return "waits: the ledger can't be written now".to_owned();
            }
            return self.why_waits(r);
        }
        let Some(p) = r.placement_choice else {
            return "held by the workers that an earlier owner chose".to_owned();
        };
        let best = self.workers.get(p.worker).id.as_str();
        match p.runner_up {
            Some(w) => format!(
                "placed on {best}, which it fills best of {} with room; next was {}",
                p.compared,
                self.workers.get(w).id
            ),
            None => format!("placed on {best}, first of {} with room", p.compared),
        }
    }

    fn why_waits(&self, r: &Request) -> String {
        let ahead = self.accounts.get(r.account).queues[r.queue_kind as usize]
            .iter()
            .position(|no| *no == r.no)
            .unwrap_or(0);
        if r.wait_cause == WaitCause::AwaitingTurn && ahead > 0 {
            return format!("waits behind {ahead} older requests of the same client account");
        }
        r.wait_cause.text().to_owned()
    }

    /// Returns up to `limit` requests of an account whose ids come after `after`, sorted by id.
    pub fn list(&self, account: &AccountId, after: &str, limit: usize) -> Vec<RequestNo> {
        let own = self.keys.iter().filter(|(k, _)| k.account == *account && *k.id > *after);
        let mut found: Vec<(&RequestKey, RequestNo)> = own.map(|(k, no)| (k, *no)).collect();
        found.sort_unstable();
        found.truncate(limit);
        found.into_iter().map(|(_, no)| no).collect()
    }

    /// Returns the state of every known worker.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView<'_>> {
        self.workers.iter().map(|(_, w)| WorkerView {
            id: w.id.as_str(),
            claimed: w.claimed,
            leaving: w.leaving,
            quarantined: w.quarantined_until.is_some(),
            capacity: w.capacity,
            free: w.free,
            held: w.held.len(),
            foreign: w.foreign.len(),
        })
    }

    /// Returns the total capacity of the workers that are claimed, listed and not leaving,
    /// and the total free resources of the usable ones.
    pub fn totals(&self) -> (Totals, Totals) {
        (self.workers.total_capacity, self.workers.free)
    }

    /// Returns the state of every known client account.
    pub fn accounts(&self) -> impl Iterator<Item = AccountView<'_>> {
        self.accounts.iter().map(|a| AccountView {
            id: &a.id,
            used: a.used,
            open: a.open,
            waits: a.queues.iter().any(|q| !q.is_empty()),
        })
    }

    /// Returns the number of requests in memory, and how many of them are open.
    pub fn requests(&self) -> (usize, u32) {
        (self.requests.len(), self.open)
    }

    /// Returns the number of waiting tasks.
    pub fn waiting_tasks(&self) -> usize {
        self.requests.values().map(|r| r.waiting.len()).sum()
    }
}
