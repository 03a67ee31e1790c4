//! Placement advice: what is known for each step.

use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use rustc_hash::{FxHashMap, FxHashSet};
use std::sync::Arc;

/// A ticket is not used when less time is left, since the start has to arrive before it ends.
const MIN_TICKET_REMAINING: Millis = Millis(60);

/// A ticket for one worker.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    text: Arc<str>,
    valid_until: Millis,
}

impl Ticket {
    /// Tells whether the ticket holds at `now`.
    pub fn advice_status(&self, now: Millis) -> AdviceStatus {
        if self.valid_until > now + MIN_TICKET_REMAINING {
            AdviceStatus::ValidTicket
        } else {
            AdviceStatus::LapsedTicket
        }
    }
}

/// The share of the workers named in calls for a queue's steps that may run them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AllowedShare {
    asked: f32,
    allowed: f32,
}

/// What is assumed before any answer: half of them, as one call of so many workers would tell.
const INITIAL_SHARE: AllowedShare = AllowedShare { asked: 20.0, allowed: 10.0 };
/// Beyond so many workers, older answers count less.
const MAX_REMEMBERED_WORKERS: f32 = 2_000.0;

impl Default for AllowedShare {
    fn default() -> AllowedShare {
        INITIAL_SHARE
    }
}

impl AllowedShare {
    /// Takes in an answer about workers that were not known before.
    pub fn record(&mut self, asked: usize, good: usize) {
        self.asked += asked as f32;
        self.allowed += good as f32;
        if self.asked > MAX_REMEMBERED_WORKERS {
            self.asked /= 2.0;
            self.allowed /= 2.0;
        }
    }

    /// Returns the share, from 0 to 1.
    pub fn share(self) -> f32 {
        self.allowed / self.asked
    }

    /// Returns how many workers have to be asked about to find `wanted` that may run a step.
    pub fn workers_to_ask(self, wanted: f32) -> usize {
        (wanted * self.asked / self.allowed.max(1.0)).ceil() as usize
    }
}

/// What is known of the workers for one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Workers that were named in a call that was answered; with a ticket: it may run there.
    known: FxHashMap<WorkerIdx, Option<Ticket>>,
    /// Workers named in calls that are under way.
    pending: FxHashSet<WorkerIdx>,
}

/// What advice says of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdviceStatus {
    /// Not asked yet.
    Unknown,
    /// The step may not run there.
    Denied,
    /// It may, and the ticket holds.
    ValidTicket,
    /// It may, and the ticket has lapsed.
    LapsedTicket,
}

impl StepAdvice {
    pub fn advice_status(&self, w: WorkerIdx, now: Millis) -> AdviceStatus {
        match self.known.get(&w) {
            None => AdviceStatus::Unknown,
            Some(None) => AdviceStatus::Denied,
            Some(Some(t)) => t.advice_status(now),
        }
    }

    /// Returns the workers on which the step may run, with their tickets.
    pub fn allowed(&self) -> impl Iterator<Item = (WorkerIdx, &Ticket)> {
        self.known.iter().filter_map(|(&w, t)| Some((w, t.as_ref()?)))
    }

    pub fn ticket(&self, w: WorkerIdx) -> Arc<str> {
        let ticket = self.known.get(&w).and_then(|t| t.as_ref());
        ticket.map_or_else(|| "".into(), |t| t.text.clone())
    }

    /// Takes a ticket as lapsed, since the worker refused it.
    pub fn expire_ticket(&mut self, w: WorkerIdx) {
        if let Some(Some(t)) = self.known.get_mut(&w) {
            t.valid_until = Millis(0);
        }
    }

    pub fn has_no_answers(&self) -> bool {
        self.known.is_empty()
    }

    /// Tells whether a call is under way.
    pub fn is_call_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Tells whether a call under way names the worker.
    pub fn is_pending(&self, w: WorkerIdx) -> bool {
        self.pending.contains(&w)
    }

    /// Returns how many workers are named in calls under way that were not known before.
    pub fn pending_unknown_count(&self) -> usize {
        self.pending.iter().filter(|w| !self.known.contains_key(w)).count()
    }

    /// Tells whether the worker's ticket holds at `at`, with some time to spare.
    pub fn has_ticket_at(&self, w: WorkerIdx, at: Millis) -> bool {
        self.advice_status(w, at) == AdviceStatus::ValidTicket
    }

    /// A call that names these workers is under way.
    pub fn call_sent(&mut self, workers: &[WorkerIdx]) {
        self.pending.extend(workers);
    }

    /// A call that named these workers has failed.
    pub fn call_failed(&mut self, workers: &[WorkerIdx]) {
        for w in workers {
            self.pending.remove(w);
        }
    }

    /// Takes in the answer of a call that named `asked`: which of them may run the step, with
    /// tickets that hold until `until`.
    pub fn call_answered(
        &mut self,
        asked: &[WorkerIdx],
        good: Vec<(WorkerIdx, Arc<str>)>,
        valid_until: Millis,
    ) {
        self.call_failed(asked);
        for &w in asked {
            self.known.entry(w).or_insert(None);
        }
        for (w, text) in good {
            self.known.insert(w, Some(Ticket { text, valid_until }));
        }
    }
}
