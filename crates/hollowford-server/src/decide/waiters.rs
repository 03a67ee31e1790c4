//! Calls that wait for something to become durable or to change.

use super::ReplyTo;
use hollowford_core::{Error, ErrorKind, Millis, RequestNo};
use std::collections::{HashMap, VecDeque};

/// Longest wait of a relayed call. The entry asks again, so that calls whose
/// callers have gone don't pile up here.
pub(crate) const LONGEST_WAIT: Millis = Millis(15_000);
/// Longest wait for a record to become durable while the ledger stalls.
const STALL_WAIT: Millis = Millis(700);
/// Calls that may wait in one partition.
const BOUND: usize = 100_000;

/// What a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Until {
    /// The view's version is above this.
    Above(u64),
    /// The final answer, or a service that runs.
    Settled,
}

/// A call that waits for a request to change.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub until: Until,
    pub expires_at: Millis,
    pub reply: ReplyTo,
}

/// What a call gets once a record is durable.
#[derive(Debug)]
pub(crate) enum Durably {
    /// The request's view.
    View(RequestNo),
    /// How many requests were cancelled.
    Cancelled(u32),
}

/// A call that waits for a record to become durable.
#[derive(Debug)]
struct DurableWaiter {
    seq: u64,
    what: Durably,
    since: Millis,
    reply: ReplyTo,
}

/// All calls that wait in one partition.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    by_request: HashMap<RequestNo, Vec<Waiter>>,
    by_seq: VecDeque<DurableWaiter>,
    count: usize,
}

impl Waiters {
    /// Lets a call wait for a request.
    pub fn add(&mut self, no: RequestNo, waiter: Waiter) {
        if self.count >= BOUND {
            refuse(waiter.reply, ErrorKind::QueueFull, "too many calls wait");
            return;
        }
        self.count += 1;
        self.by_request.entry(no).or_default().push(waiter);
    }

    /// Lets a call wait for the record at `seq`.
    pub fn add_durable(&mut self, since: Millis, seq: u64, what: Durably, reply: ReplyTo) {
        if self.by_seq.len() >= BOUND {
            // The record may become durable still, so this is not "did not run".
            refuse(reply, ErrorKind::Unknown, "too many calls wait");
            return;
        }
        self.by_seq.push_back(DurableWaiter { seq, what, since, reply });
    }

    /// Takes the calls that waited for records up to `seq`.
    pub fn take_durable(&mut self, seq: u64) -> Vec<(Durably, ReplyTo)> {
        let mut due = Vec::new();
        while let Some(w) = self.by_seq.pop_front_if(|w| w.seq <= seq) {
            due.push((w.what, w.reply));
        }
        due
    }

    /// Answers the calls that have waited too long for a ledger that can't be
    /// written: what they asked may or may not become durable.
    pub fn give_up_durable(&mut self, now: Millis) {
        let old = |w: &mut DurableWaiter| now.since(w.since) >= STALL_WAIT;
        while let Some(w) = self.by_seq.pop_front_if(old) {
            let message = "the ledger stalled after the call was taken; ask by the request id";
            refuse(w.reply, ErrorKind::Unknown, message);
        }
    }

    /// Takes the calls for a request that `ready` lets go.
    pub fn take_ready(&mut self, no: RequestNo, ready: impl Fn(&Waiter) -> bool) -> Vec<ReplyTo> {
        let Some(list) = self.by_request.get_mut(&no) else {
            return Vec::new();
        };
        let due: Vec<Waiter> = list.extract_if(.., |w| ready(w)).collect();
        if list.is_empty() {
            self.by_request.remove(&no);
        }
        self.count -= due.len();
        due.into_iter().map(|w| w.reply).collect()
    }

    /// Returns the requests for which calls wait.
    pub fn requests(&self) -> Vec<RequestNo> {
        self.by_request.keys().copied().collect()
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.count + self.by_seq.len()
    }

    /// Sends every call to the next owner.
    pub fn move_all(&mut self) {
        let all = std::mem::take(self);
        for w in all.by_seq {
            refuse(w.reply, ErrorKind::Moved, "the partition has another owner now");
        }
        for waiter in all.by_request.into_values().flatten() {
            refuse(waiter.reply, ErrorKind::Moved, "the partition has another owner now");
        }
    }
}

/// Refuses a call. The caller may have gone; then no one is told.
pub(crate) fn refuse(reply: ReplyTo, kind: ErrorKind, message: &str) {
    let _ = reply.send(Err(Error::new(kind, message)));
}
