//! Calls that wait for something to become durable or to change.

use super::ReplyTo;
use hollowford_core::{Error, ErrorKind, Millis, RequestNo};
use std::collections::{HashMap, VecDeque};

/// Longest wait of a relayed call. The entry asks again, so that calls whose
/// callers have gone don't pile up here.
pub(crate) const LONGEST_WAIT: Millis = Millis(15_000);
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

/// All calls that wait in one partition.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    by_request: HashMap<RequestNo, Vec<Waiter>>,
    by_seq: VecDeque<(u64, Durably, ReplyTo)>,
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
    pub fn add_durable(&mut self, seq: u64, what: Durably, reply: ReplyTo) {
        if self.by_seq.len() >= BOUND {
            // The record may become durable still, so this is not "did not run".
            refuse(reply, ErrorKind::Unknown, "too many calls wait");
            return;
        }
        self.by_seq.push_back((seq, what, reply));
    }

    /// Takes the calls that waited for records up to `seq`.
    pub fn take_durable(&mut self, seq: u64) -> Vec<(Durably, ReplyTo)> {
        let mut due = Vec::new();
        while self.by_seq.front().is_some_and(|(s, _, _)| *s <= seq) {
            if let Some((_, what, reply)) = self.by_seq.pop_front() {
                due.push((what, reply));
            }
        }
        due
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
        for (_, _, reply) in all.by_seq {
            refuse(
                reply,
                ErrorKind::Moved,
                "the partition has another owner now",
            );
        }
        for waiter in all.by_request.into_values().flatten() {
            refuse(
                waiter.reply,
                ErrorKind::Moved,
                "the partition has another owner now",
            );
        }
    }
}

/// Refuses a call. The caller may have gone; then no one is told.
pub(crate) fn refuse(reply: ReplyTo, kind: ErrorKind, message: &str) {
    let _ = reply.send(Err(Error::new(kind, message)));
}
