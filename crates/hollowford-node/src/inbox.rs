//! Messages to the owner's task, and the handle for sending them.

use crate::calls::AnswerTiming;
use crate::delegate_wire::Outcomes;
use crate::link::Outbox;
use crate::members::LinkId;
use crate::queued_bytes::QueuedBytes;
use crate::wire::{Body, Call, CallAnswer, Hello, MemberBeat, OwnerInfo, Said};
use crate::worker_changes::WorkerChanges;
use crate::writer::BatchOutcome;
use hollowford_adapter::WorkerAnswer;
use hollowford_core::Millis;
use hollowford_jobs::{AdviceChannel, StepKey, WorkerCall, WorkerListing, WorkerTickets};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of messages waiting for the owner; further calls are rejected.
const INBOX_CAPACITY: usize = 8_192;

/// Maximum number of bytes of jobs waiting for the owner; further calls are rejected.
pub const MAX_QUEUED_JOB_BYTES: usize = 8 << 20;

/// A message to the owner.
#[derive(Debug)]
pub enum OwnerMsg {
    /// A caller's request.
    Call(Call, Reply),
    /// The outcome of a call to a worker made by this process.
    WorkerAnswer {
        call: WorkerCall,
        /// The worker's answer, or that there was none.
        called: WorkerAnswer,
        /// When the call was sent, in engine time.
        sent: Millis,
        /// Whether the answer came within the time limit.
        timing: AnswerTiming,
    },
    /// Outcomes of calls to workers made by a member.
    Outcomes(LinkId, Outcomes),
    /// The outcome of a call to the advice service.
    AdviceAnswered {
        /// The advice channel that the call used.
        advice_channel: AdviceChannel,
        /// The step that asked for advice.
        step: StepKey,
        /// The workers that may run the step and how long the tickets are valid, or `None` if the
        /// call failed.
        answer: Option<(WorkerTickets, Millis)>,
    },
    /// The outcome of a batch.
    BatchFinished {
        /// Number of the batch.
        batch: u64,
        outcome: BatchOutcome,
    },
    /// The owner row names this owner or another one, or could not be read.
    OwnerRowRead {
        /// When the read was begun, in engine time.
        started_at: Millis,
        /// The owner that the row names; `None` if the read failed.
        owner: Option<OwnerInfo>,
    },
    /// The last owner, which was silent when this one took over, has ended.
    EarlierOwnerEnded,
    /// The current list of workers.
    WorkerList(Vec<WorkerListing>),
    /// Changes of the list of workers, to be sent on to the owners of other partitions.
    WorkerChanges(WorkerChanges),
    /// A process has opened a link.
    Joined(LinkId, Hello, Outbox),
    /// A link has closed.
    Left(LinkId),
    /// A member's heartbeat.
    HeartbeatReceived(LinkId, MemberBeat),
    /// Hand the partition over and confirm once that is done.
    Stop(oneshot::Sender<()>),
}

/// The destination of an answer.
#[derive(Debug)]
pub enum Reply {
    /// A caller in this process.
    Local(oneshot::Sender<CallAnswer>),
    /// A caller behind a link.
    Link(Outbox),
}

impl Reply {
    /// Sends an answer. Does nothing if the caller has disconnected.
    pub fn send(self, id: u64, said: Said, value: u64) {
        let answer = CallAnswer { id, said: said as i32, value };
        match self {
            Reply::Local(tx) => drop(tx.send(answer)),
            Reply::Link(outbox) => drop(outbox.send(Body::Answer(answer))),
        }
    }
}

/// Why a call was not put into an inbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotQueued {
    Full,
    OwnerEnded,
}

/// Sends messages to the owner's task.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    tx: mpsc::Sender<OwnerMsg>,
    job_bytes: QueuedBytes,
}

impl OwnerHandle {
    /// Creates a handle and the receiver for the owner.
    pub fn new() -> (OwnerHandle, mpsc::Receiver<OwnerMsg>) {
        let (tx, rx) = mpsc::channel(INBOX_CAPACITY);
        (OwnerHandle { tx, job_bytes: QueuedBytes::new(MAX_QUEUED_JOB_BYTES) }, rx)
    }

    /// Sends a call. Returns `None` if the owner has ended or its inbox is full.
    pub fn call(&self, call: &Call) -> Option<oneshot::Receiver<CallAnswer>> {
        let (tx, rx) = oneshot::channel();
        self.try_send_call(call.clone(), Reply::Local(tx)).ok()?;
        Some(rx)
    }

    /// Puts a call into the inbox.
    fn try_send_call(&self, call: Call, reply: Reply) -> Result<(), NotQueued> {
        let bytes = call.spec.len();
        if !self.job_bytes.add(bytes) {
            return Err(NotQueued::Full);
        }
        self.tx.try_send(OwnerMsg::Call(call, reply)).map_err(|e| {
            self.job_bytes.subtract(bytes);
            match e {
                TrySendError::Full(_) => NotQueued::Full,
                TrySendError::Closed(_) => NotQueued::OwnerEnded,
            }
        })
    }

    /// Records that the owner has taken a call out of its inbox.
    pub fn record_taken(&self, call: &Call) {
        self.job_bytes.subtract(call.spec.len());
    }

    /// Sends a call that came over a link. Rejects it if the owner has ended or its inbox is full.
    pub fn call_from_link(&self, call: Call, outbox: &Outbox) {
        let id = call.id;
        match self.try_send_call(call, Reply::Link(outbox.clone())) {
            Ok(()) => {}
            Err(NotQueued::Full) => {
                Reply::Link(outbox.clone()).send(id, Said::NotTaken, 0);
            }
            Err(NotQueued::OwnerEnded) => {
                Reply::Link(outbox.clone()).send(id, Said::NotOwner, 0);
            }
        }
    }

    /// Sends a message, waiting while the inbox is full.
    pub async fn send(&self, msg: OwnerMsg) {
        // An owner that has ended needs no messages.
        let _ = self.tx.send(msg).await;
    }

    /// Returns true if the owner has ended.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}
