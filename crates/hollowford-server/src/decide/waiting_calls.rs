//! Calls that wait for something to become durable or to change.

use super::ReplySender;
use hollowford_core::{Error, ErrorKind, Millis, RequestNo};
use std::collections::{HashMap, VecDeque};

/// Longest wait of a relayed call. The entry asks again, so that calls whose
/// callers have gone don't pile up here.
pub(crate) const MAX_CALL_WAIT: Millis = Millis(15_000);
/// Longest wait for a record to become durable while the ledger stalls.
const STALLED_LEDGER_TIMEOUT: Millis = Millis(700);
/// Calls that may wait in one partition.
const MAX_WAITING_CALLS: usize = 100_000;

/// What a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitCondition {
    /// The view's version is above this.
    VersionAbove(u64),
    /// The final answer, or a service that runs.
    Finished,
}

/// A call that waits for a request to change.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub condition: WaitCondition,
    pub expires_at: Millis,
    pub reply: ReplySender,
}

/// What a call gets once a record is durable.
#[derive(Debug)]
pub(crate) enum DurableReply {
    /// The request's view.
    View(RequestNo),
    /// How many requests were cancelled.
    Cancelled(u32),
}

/// A call that waits for a record to become durable.
#[derive(Debug)]
struct CallAwaitingRecord {
    seq: u64,
    content: DurableReply,
    since: Millis,
    reply: ReplySender,
}

/// All calls that wait in one partition.
#[derive(Debug, Default)]
pub(crate) struct WaitingCalls {
    by_request: HashMap<RequestNo, Vec<WaitingCall>>,
    by_seq: VecDeque<CallAwaitingRecord>,
    count: usize,
}

impl WaitingCalls {
    /// Lets a call wait for a request.
    pub fn add(&mut self, number: RequestNo, call: WaitingCall) {
        if self.count >= MAX_WAITING_CALLS {
            refuse(call.reply, ErrorKind::QueueFull, "too many calls wait");
            return;
        }
        self.count += 1;
        self.by_request.entry(number).or_default().push(call);
    }

    /// Lets a call wait for the record at `seq`.
    pub fn add_durable(
        &mut self,
        since: Millis,
        seq: u64,
        content: DurableReply,
        reply: ReplySender,
    ) {
        if self.by_seq.len() >= MAX_WAITING_CALLS {
            // The record may become durable still, so this is not "did not run".
            refuse(reply, ErrorKind::Unknown, "too many calls wait");
            return;
        }
        self.by_seq.push_back(CallAwaitingRecord { seq, content, since, reply });
    }

    /// Takes the calls that waited for records up to `seq`.
    pub fn take_durable(&mut self, seq: u64) -> Vec<(DurableReply, ReplySender)> {
        let mut due = Vec::new();
        while let Some(call) = self.by_seq.pop_front_if(|call| call.seq <= seq) {
            due.push((call.content, call.reply));
        }
        due
    }

    /// Answers the calls that have waited too long for a ledger that can't be
    /// written: what they asked may or may not become durable.
    pub fn answer_expired(&mut self, now: Millis) {
        let is_expired =
            |call: &mut CallAwaitingRecord| now.since(call.since) >= STALLED_LEDGER_TIMEOUT;
        while let Some(call) = self.by_seq.pop_front_if(is_expired) {
            let message = "the ledger stalled after the call was taken; ask by the request id";
            refuse(call.reply, ErrorKind::Unknown, message);
        }
    }

    /// Takes the calls for a request that `ready` lets go.
    pub fn take_ready(
        &mut self,
        number: RequestNo,
        ready: impl Fn(&WaitingCall) -> bool,
    ) -> Vec<ReplySender> {
        let Some(list) = self.by_request.get_mut(&number) else {
            return Vec::new();
        };
        let due: Vec<WaitingCall> = list.extract_if(.., |call| ready(call)).collect();
        if list.is_empty() {
            self.by_request.remove(&number);
        }
        self.count -= due.len();
        due.into_iter().map(|call| call.reply).collect()
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
    pub fn refuse_all_moved(&mut self) {
        let all = std::mem::take(self);
        for call in all.by_seq {
            refuse(call.reply, ErrorKind::Moved, "the partition has another owner now");
        }
        for call in all.by_request.into_values().flatten() {
            refuse(call.reply, ErrorKind::Moved, "the partition has another owner now");
        }
    }
}

/// Refuses a call. The caller may have gone; then no one is told.
pub(crate) fn refuse(reply: ReplySender, kind: ErrorKind, message: &str) {
    let _ = reply.send(Err(Error::new(kind, message)));
}
