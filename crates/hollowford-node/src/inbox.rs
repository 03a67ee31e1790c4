//! What the owner is told, and how it is reached.

use crate::calls::AnswerAt;
use crate::delegate_wire::Outcomes;
use crate::link::Outbox;
use crate::members::LinkId;
use crate::wire::{Body, Call, CallAnswer, Hello, MemberBeat, Said};
use crate::worker_changes::WorkerChanges;
use crate::writer::Written;
use hollowford_adapter::Called;
use hollowford_core::Millis;
use hollowford_jobs::{AdviceChannel, Advised, StepKey, WorkerCall, WorkerListing};
use tokio::sync::{mpsc, oneshot};

/// Messages that wait for the owner; calls beyond are refused.
const INBOX: usize = 8_192;

/// What the owner is told.
#[derive(Debug)]
pub enum OwnerMsg {
    /// A caller's request.
    Call(Call, Reply),
    /// A worker's answer, or that there is none.
    Worker {
        /// What was asked.
        call: WorkerCall,
        /// What came of it.
        called: Called,
        /// When it was sent.
        sent: Millis,
        /// Whether it came in time.
        at: AnswerAt,
    },
    /// What came of calls to workers that a member has made.
    Outcomes(LinkId, Outcomes),
    /// An answer of the service for advice.
    Advised {
        /// Who asked.
        seat: AdviceChannel,
        /// The step.
        step: StepKey,
        /// Who may run it, and how long the tickets hold.
        answer: Option<(Advised, Millis)>,
    },
    /// What came of a batch.
    Written {
        /// Its number.
        batch: u64,
        /// What came of it.
        written: Written,
    },
    /// The platform's list of workers.
    Listings(Vec<WorkerListing>),
    /// What a reading of that list has changed, for the owners of other partitions.
    WorkerChanges(WorkerChanges),
    /// A process has opened a link.
    Joined(LinkId, Hello, Outbox),
    /// A link has ended.
    Left(LinkId),
    /// A member's heartbeat.
    Beat(LinkId, MemberBeat),
    /// Hand the partition over; told when that is done.
    Stop(oneshot::Sender<()>),
}

/// Where an answer goes.
#[derive(Debug)]
pub enum Reply {
    /// To a call of this process.
    Local(oneshot::Sender<CallAnswer>),
    /// To a call that came over a link.
    Link(Outbox),
}

impl Reply {
    /// Sends an answer. A caller that is gone needs none.
    pub fn send(self, id: u64, said: Said, value: u64) {
        let answer = CallAnswer { id, said: said as i32, value };
        match self {
            Reply::Local(tx) => drop(tx.send(answer)),
            Reply::Link(outbox) => drop(outbox.send(Body::Answer(answer))),
        }
    }
}

/// Reaches the owner's task.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    tx: mpsc::Sender<OwnerMsg>,
}

impl OwnerHandle {
    /// Makes a handle and the end that the owner reads.
    pub fn new() -> (OwnerHandle, mpsc::Receiver<OwnerMsg>) {
        let (tx, rx) = mpsc::channel(INBOX);
        (OwnerHandle { tx }, rx)
    }

    /// Sends a call; none when the owner has ended or is too far behind.
    pub fn call(&self, call: &Call) -> Option<oneshot::Receiver<CallAnswer>> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(OwnerMsg::Call(call.clone(), Reply::Local(tx))).ok()?;
        Some(rx)
    }

    /// Sends a call that came over a link, and refuses it when the owner is too far behind.
    pub fn call_from(&self, call: Call, outbox: &Outbox) {
        let id = call.id;
        let msg = OwnerMsg::Call(call, Reply::Link(outbox.clone()));
        match self.tx.try_send(msg) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                Reply::Link(outbox.clone()).send(id, Said::NotTaken, 0);
            }
            Err(mpsc::error::TrySendError::Closed(_)) => {
                Reply::Link(outbox.clone()).send(id, Said::NotOwner, 0);
            }
        }
    }

    /// Sends a message, waiting for room.
    pub async fn send(&self, msg: OwnerMsg) {
        // An owner that has ended needs no messages.
        let _ = self.tx.send(msg).await;
    }

    /// Tells whether the owner has ended.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}
