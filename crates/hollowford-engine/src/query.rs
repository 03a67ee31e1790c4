//! What can be asked of the engine. Nothing here changes it.

use crate::engine::Engine;
use crate::event::{FinalAnswer, TaskResult};
use crate::request::{Request, WaitCause};
use hollowford_core::{
    AccountId, Epoch, Millis, PartitionId, RequestKey, RequestNo, Resources, Totals,
};

/// Most instances that a view names.
const MAX_VIEW_INSTANCES: usize = 16;

/// A request as its caller may see it.
#[derive(Clone, Debug)]
pub struct RequestView<'a> {
    /// The caller's name for it.
    pub key: &'a RequestKey,
    /// Grows with each change.
    pub version: u64,
    /// Tasks that wait.
    pub queued: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that need nothing more.
    pub ended: u32,
    /// The final answer, once it is durable.
    pub answer: Option<&'a FinalAnswer>,
    /// Whether the ledger holds the answer; it may not for work of an outage.
    pub durable: bool,
    /// Results by task, once the answer is.
    pub results: Vec<(u32, &'a TaskResult)>,
    /// Time from acceptance to the first start.
    pub waited: Option<Millis>,
    /// Instances that hold its tasks, at most 16.
    pub instances: Vec<&'a str>,
    /// Why it waits, or why it was placed where it is.
    pub why: String,
    /// The partition.
    pub partition: PartitionId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Whether it is a service.
    pub is_service: bool,
}

/// A worker as the engine sees it.
#[derive(Clone, Debug)]
pub struct WorkerView<'a> {
    /// The instance.
    pub id: &'a str,
    /// Whether it is claimed.
    pub claimed: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is put aside.
    pub quarantined: bool,
    /// What it has.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// Tasks that it holds.
    pub held: usize,
    /// Tasks on it that the ledger doesn't know.
    pub foreign: usize,
}

/// A client account as the engine sees it.
#[derive(Clone, Copy, Debug)]
pub struct AccountView<'a> {
    /// The account.
    pub id: &'a AccountId,
    /// What its tasks take.
    pub used: Totals,
    /// Requests without a final answer.
    pub open: u32,
    /// Whether any of its work waits for a place.
    pub waits: bool,
}

impl Engine {
    /// Finds a request by its caller's name.
    pub fn find(&self, key: &RequestKey) -> Option<RequestNo> {
        self.keys.get(key).copied()
    }

    /// Returns the caller's name of a request.
    pub fn key_of(&self, no: RequestNo) -> Option<&RequestKey> {
        self.requests.get(&no).map(|r| &r.key)
    }

    /// Tells whether the acceptance is durable, or may be told without that.
    pub fn is_accepted(&self, no: RequestNo) -> bool {
        let may_report = |r: &Request| r.write_behind || r.accepted_seq <= self.durable_seq;
        self.requests.get(&no).is_some_and(may_report)
    }

    /// Tells whether a caller that waits for the end has its answer: the final one
    /// is durable, or all tasks of a service run.
    pub fn is_wait_over(&self, no: RequestNo) -> bool {
        self.requests.get(&no).is_some_and(|r| {
            let serves = r.is_service() && !r.cancelled && r.running as usize == r.tasks.len();
            self.visible_answer(r).is_some() || serves
        })
    }

    fn visible_answer<'a>(&self, r: &'a Request) -> Option<&'a FinalAnswer> {
        r.answer.as_ref().filter(|_| r.write_behind || r.answer_seq <= self.durable_seq)
    }

    /// Returns a request's view.
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

    /// Lists an account's requests after `after`, in the order of their ids.
    pub fn list(&self, account: &AccountId, after: &str, limit: usize) -> Vec<RequestNo> {
        let own = self.keys.iter().filter(|(k, _)| k.account == *account && *k.id > *after);
        let mut found: Vec<(&RequestKey, RequestNo)> = own.map(|(k, no)| (k, *no)).collect();
        found.sort_unstable();
        found.truncate(limit);
        found.into_iter().map(|(_, no)| no).collect()
    }

    /// Returns the workers.
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

    /// Returns the sums of what usable workers have and of what is free on them.
    pub fn totals(&self) -> (Totals, Totals) {
        (self.workers.total_capacity, self.workers.free)
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = AccountView<'_>> {
        self.accounts.iter().map(|a| AccountView {
            id: &a.id,
            used: a.used,
            open: a.open,
            waits: a.queues.iter().any(|q| !q.is_empty()),
        })
    }

    /// Returns how many requests are kept, and how many of them are open.
    pub fn requests(&self) -> (usize, u32) {
        (self.requests.len(), self.open)
    }

    /// Returns how many tasks wait for a place.
    pub fn waiting_tasks(&self) -> usize {
        self.requests.values().map(|r| r.waiting.len()).sum()
    }
}
