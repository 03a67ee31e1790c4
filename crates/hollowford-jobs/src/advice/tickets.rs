//! Placement advice: which workers may run a step, and the tickets for them.

use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use rustc_hash::{FxHashMap, FxHashSet};
use std::sync::Arc;

/// Minimum remaining validity with which a ticket is used, since the start has to arrive at the
/// worker before the ticket lapses.
const MIN_TICKET_REMAINING: Millis = Millis(60);

/// A ticket that lets a step run on one worker for a limited time.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    text: Arc<str>,
    valid_until: Millis,
}

impl Ticket {
    /// Returns whether the ticket is valid or has lapsed at `now`.
    pub fn advice_status(&self, now: Millis) -> AdviceStatus {
        if self.valid_until > now + MIN_TICKET_REMAINING {
            AdviceStatus::ValidTicket
        } else {
            AdviceStatus::LapsedTicket
        }
    }
}

/// Share of the workers named in calls for a queue's steps that may run them. Older answers count
/// less than newer ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllowedShare {
    asked: f32,
    allowed: f32,
}

/// The share before any answer: one half, with the weight of a call that names 20 workers.
const INITIAL_SHARE: AllowedShare = AllowedShare { asked: 20.0, allowed: 10.0 };
/// Number of asked workers beyond which the weight of older answers is halved.
const MAX_REMEMBERED_WORKERS: f32 = 2_000.0;

impl Default for AllowedShare {
    fn default() -> AllowedShare {
        INITIAL_SHARE
    }
}

impl AllowedShare {
    /// Records an answer about `asked` workers that were unknown before, of which `allowed` may run
    /// the step.
    pub fn record(&mut self, asked: usize, allowed: usize) {
        self.asked += asked as f32;
        self.allowed += allowed as f32;
        if self.asked > MAX_REMEMBERED_WORKERS {
            self.asked /= 2.0;
            self.allowed /= 2.0;
        }
    }

    /// Returns the share, from 0 to 1.
    pub fn share(self) -> f32 {
        self.allowed / self.asked
    }

    /// Returns how many workers have to be asked about to find `wanted` allowed ones.
    pub fn workers_to_ask(self, wanted: f32) -> usize {
        (wanted * self.asked / self.allowed.max(1.0)).ceil() as usize
    }
}

/// Advice about the workers for one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Workers named in answered calls. Those with a ticket may run the step.
    known: FxHashMap<WorkerIdx, Option<Ticket>>,
    /// Workers named in pending calls.
    pending: FxHashSet<WorkerIdx>,
    /// When a call was first held back since the last call, because no start was expected while the
    /// tickets would be valid.
    pub held_back_since: Option<Millis>,
    /// Answers since the last start whose tickets have lapsed without a start.
    pub unused_answers: u32,
}

/// What advice says about one worker for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdviceStatus {
    /// No answered call has named the worker.
    Unknown,
    /// The step may not run on the worker.
    Denied,
    /// The step may run on the worker, and its ticket is valid.
    ValidTicket,
    /// The step may run on the worker, but its ticket has lapsed.
    LapsedTicket,
}

impl StepAdvice {
    /// Returns what advice says about a worker at `now`.
    pub fn advice_status(&self, w: WorkerIdx, now: Millis) -> AdviceStatus {
        match self.known.get(&w) {
            None => AdviceStatus::Unknown,
            Some(None) => AdviceStatus::Denied,
            Some(Some(t)) => t.advice_status(now),
        }
    }

    /// Returns the workers that may run the step, with their tickets.
    pub fn allowed(&self) -> impl Iterator<Item = (WorkerIdx, &Ticket)> {
        self.known.iter().filter_map(|(&w, t)| Some((w, t.as_ref()?)))
    }

    /// Returns the workers that may run the step and those that pending calls name, which may be the
    /// same.
    pub fn in_question(&self) -> impl Iterator<Item = WorkerIdx> {
        self.allowed().map(|(w, _)| w).chain(self.pending.iter().copied())
    }

    /// Returns the text of the worker's ticket; empty if there is none.
    pub fn ticket(&self, w: WorkerIdx) -> Arc<str> {
        let ticket = self.known.get(&w).and_then(|t| t.as_ref());
        ticket.map_or_else(|| "".into(), |t| t.text.clone())
    }

    /// Marks a ticket as lapsed after the worker has refused it.
    pub fn expire_ticket(&mut self, w: WorkerIdx) {
        if let Some(Some(t)) = self.known.get_mut(&w) {
            t.valid_until = Millis(0);
        }
    }

    /// Returns true if no call for the step has been answered.
    pub fn has_no_answers(&self) -> bool {
        self.known.is_empty()
    }

    pub fn is_call_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns true if a pending call names the worker.
    pub fn is_pending(&self, w: WorkerIdx) -> bool {
        self.pending.contains(&w)
    }

    /// Returns how many workers in pending calls are named for the first time.
    pub fn pending_unknown_count(&self) -> usize {
        self.pending.iter().filter(|w| !self.known.contains_key(w)).count()
    }

    /// Returns true if the worker's ticket is valid at `at`, with [`MIN_TICKET_REMAINING`] to
    /// spare.
    pub fn has_ticket_at(&self, w: WorkerIdx, at: Millis) -> bool {
        self.advice_status(w, at) == AdviceStatus::ValidTicket
    }

    /// Records a call that names these workers.
    pub fn call_sent(&mut self, workers: &[WorkerIdx]) {
        self.pending.extend(workers);
        self.held_back_since = None;
    }

    /// Records that a call that named these workers has failed.
    pub fn call_failed(&mut self, workers: &[WorkerIdx]) {
        for w in workers {
            self.pending.remove(w);
        }
    }

    /// Records the answer of a call that named `asked`. The workers in `allowed` may run the step,
    /// with tickets that are valid until `valid_until`.
    pub fn call_answered(
        &mut self,
        asked: &[WorkerIdx],
        allowed: Vec<(WorkerIdx, Arc<str>)>,
        valid_until: Millis,
    ) {
        self.call_failed(asked);
        for &w in asked {
            self.known.entry(w).or_insert(None);
        }
        for (w, text) in allowed {
            self.known.insert(w, Some(Ticket { text, valid_until }));
        }
    }
}
