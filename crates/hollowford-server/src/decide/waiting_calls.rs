//! Calls that wait for a record to become durable or for a request to change.

use super::ReplySender;
use hollowford_core::{Error, ErrorKind, Millis, RequestNo};
use std::collections::{HashMap, VecDeque};

/// Maximum time for which a call waits for a change. The process that received the call then
/// repeats it, so that calls of disconnected callers don't accumulate here.
pub(crate) const MAX_CALL_WAIT: Millis = Millis(15_000);
/// Maximum wait for a record to become durable while the ledger is stalled.
const STALLED_LEDGER_TIMEOUT: Millis = Millis(700);
/// Maximum number of calls of each sort, waiting for a change or for a record, in one partition.
const MAX_WAITING_CALLS: usize = 100_000;

/// The state of a request that a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitCondition {
    /// The version of the request's view is greater than this one.
    VersionAbove(u64),
    /// The request has its final answer, or is a service with all tasks running.
    Finished,
}

/// A call that waits for a request to change.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub condition: WaitCondition,
    pub expires_at: Millis,
    pub reply: ReplySender,
}

/// The reply to a call once a record is durable.
#[derive(Debug)]
pub(crate) enum DurableReply {
    /// The request's view.
    View(RequestNo),
    /// The number of cancelled requests.
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

/// All waiting calls of one partition.
#[derive(Debug, Default)]
pub(crate) struct WaitingCalls {
    by_request: HashMap<RequestNo, Vec<WaitingCall>>,
    by_seq: VecDeque<CallAwaitingRecord>,
    count: usize,
}

impl WaitingCalls {
    /// Adds a call that waits for a change of a request. Refuses it with `QueueFull` when too
    /// many calls wait.
    pub fn add(&mut self, number: RequestNo, call: WaitingCall) {
        if self.count >= MAX_WAITING_CALLS {
            refuse(call.reply, ErrorKind::QueueFull, "too many calls wait");
            return;
        }
        self.count += 1;
        self.by_request.entry(number).or_default().push(call);
    }

    /// Adds a call that waits for the record at `seq`. Refuses it with `Unknown` when too many
    /// calls wait.
    pub fn add_durable(
        &mut self,
        since: Millis,
        seq: u64,
        content: DurableReply,
        reply: ReplySender,
    ) {
        if self.by_seq.len() >= MAX_WAITING_CALLS {
            // The record may still become durable, so the caller must not assume that
            // nothing ran.
            refuse(reply, ErrorKind::Unknown, "too many calls wait");
            return;
        }
        self.by_seq.push_back(CallAwaitingRecord { seq, content, since, reply });
    }

    /// Removes and returns the calls that waited for records up to `seq`.
    pub fn take_durable(&mut self, seq: u64) -> Vec<(DurableReply, ReplySender)> {
        let mut due = Vec::new();
        while let Some(call) = self.by_seq.pop_front_if(|call| call.seq <= seq) {
            due.push((call.content, call.reply));
        }
        due
    }

    /// Refuses the calls that have waited longer than [`STALLED_LEDGER_TIMEOUT`] with `Unknown`:
    /// their changes may or may not become durable.
    pub fn answer_expired(&mut self, now: Millis) {
        let is_expired =
            |call: &mut CallAwaitingRecord| now.since(call.since) >= STALLED_LEDGER_TIMEOUT;
        while let Some(call) = self.by_seq.pop_front_if(is_expired) {
            let message =
                "the ledger stalled after the call was accepted; look the request up by its id";
            refuse(call.reply, ErrorKind::Unknown, message);
        }
    }

    /// Removes and returns the calls for a request for which `ready` returns true.
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

    /// Returns the number of calls that wait for a change or a record.
    pub fn len(&self) -> usize {
        self.count + self.by_seq.len()
    }

    /// Refuses every call with `Moved`, so that its entry process sends it to the next owner.
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

/// Refuses a call. Does nothing if the caller has disconnected.
pub(crate) fn refuse(reply: ReplySender, kind: ErrorKind, message: &str) {
    let _ = reply.send(Err(Error::new(kind, message)));
}
