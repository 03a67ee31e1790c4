//! Placement advice: what is known for each step.

use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use rustc_hash::{FxHashMap, FxHashSet};
use std::sync::Arc;

/// A ticket is not used when less time is left, since the start has to arrive before it ends.
const TICKET_MARGIN: Millis = Millis(60);

/// A ticket for one worker.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    text: Arc<str>,
    until: Millis,
}

impl Ticket {
    /// Tells whether the ticket holds at `now`.
    pub fn standing(&self, now: Millis) -> Standing {
        if self.until > now + TICKET_MARGIN { Standing::Ticketed } else { Standing::Lapsed }
    }
}

/// The share of the workers named in calls for a queue's steps that may run them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GoodShare {
    asked: f32,
    good: f32,
}

/// What is assumed before any answer: half of them, as one call of so many workers would tell.
const ASSUMED: GoodShare = GoodShare { asked: 20.0, good: 10.0 };
/// Beyond so many workers, older answers count less.
const REMEMBERED: f32 = 2_000.0;

impl Default for GoodShare {
    fn default() -> GoodShare {
        ASSUMED
    }
}

impl GoodShare {
    /// Takes in an answer about workers that were not known before.
    pub fn note(&mut self, asked: usize, good: usize) {
        self.asked += asked as f32;
        self.good += good as f32;
        if self.asked > REMEMBERED {
            self.asked /= 2.0;
            self.good /= 2.0;
        }
    }

    /// Returns the share, from 0 to 1.
    pub fn share(self) -> f32 {
        self.good / self.asked
    }

    /// Returns how many workers have to be asked about to find `wanted` that may run a step.
    pub fn needed_for(self, wanted: f32) -> usize {
        (wanted * self.asked / self.good.max(1.0)).ceil() as usize
    }
}

/// What is known of the workers for one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Workers that were named in a call that was answered; with a ticket: it may run there.
    known: FxHashMap<WorkerIdx, Option<Ticket>>,
    /// Workers named in calls that are under way.
    asked: FxHashSet<WorkerIdx>,
}

/// What advice says of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Not asked yet.
    Unknown,
    /// The step may not run there.
    Barred,
    /// It may, and the ticket holds.
    Ticketed,
    /// It may, and the ticket has lapsed.
    Lapsed,
}

impl StepAdvice {
    pub fn standing(&self, w: WorkerIdx, now: Millis) -> Standing {
        match self.known.get(&w) {
            None => Standing::Unknown,
            Some(None) => Standing::Barred,
            Some(Some(t)) => t.standing(now),
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
    pub fn drop_ticket(&mut self, w: WorkerIdx) {
        if let Some(Some(t)) = self.known.get_mut(&w) {
            t.until = Millis(0);
        }
    }

    pub fn nothing_known(&self) -> bool {
        self.known.is_empty()
    }

    /// Tells whether a call is under way.
    pub fn is_asking(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Tells whether a call under way names the worker.
    pub fn is_asked(&self, w: WorkerIdx) -> bool {
        self.asked.contains(&w)
    }

    /// Returns how many workers are named in calls under way that were not known before.
    pub fn asked_unknown(&self) -> usize {
        self.asked.iter().filter(|w| !self.known.contains_key(w)).count()
    }

    /// Tells whether the worker's ticket holds at `at`, with some time to spare.
    pub fn holds_at(&self, w: WorkerIdx, at: Millis) -> bool {
        self.standing(w, at) == Standing::Ticketed
    }

    /// A call that names these workers is under way.
    pub fn asks(&mut self, workers: &[WorkerIdx]) {
        self.asked.extend(workers);
    }

    /// A call that named these workers has failed.
    pub fn unanswered(&mut self, workers: &[WorkerIdx]) {
        for w in workers {
            self.asked.remove(w);
        }
    }

    /// Takes in the answer of a call that named `asked`: which of them may run the step, with
    /// tickets that hold until `until`.
    pub fn answered(
        &mut self,
        asked: &[WorkerIdx],
        good: Vec<(WorkerIdx, Arc<str>)>,
        until: Millis,
    ) {
        self.unanswered(asked);
        for &w in asked {
            self.known.entry(w).or_insert(None);
        }
        for (w, text) in good {
            self.known.insert(w, Some(Ticket { text, until }));
        }
    }
}
