//! Placement advice: what is known for each step.

use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use rustc_hash::FxHashMap;
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

/// What is known of the workers for one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Workers that were named in a call that was answered; with a ticket: it may run there.
    known: FxHashMap<WorkerIdx, Option<Ticket>>,
    /// A call is under way.
    pub asking: bool,
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

    /// Takes in the answer of a call that named `asked`: which of them may run the step, with
    /// tickets that hold until `until`.
    pub fn answered(
        &mut self,
        asked: &[WorkerIdx],
        good: Vec<(WorkerIdx, Arc<str>)>,
        until: Millis,
    ) {
        self.asking = false;
        for &w in asked {
            self.known.entry(w).or_insert(None);
        }
        for (w, text) in good {
            self.known.insert(w, Some(Ticket { text, until }));
        }
    }
}
