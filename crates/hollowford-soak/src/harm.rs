//! What was harmed when: whoever starts a task can't know yet what it was kept from hearing.

use crate::proxy::Mode;
use crate::schedule::Action;
use std::collections::BTreeMap;

/// What may be harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The store refuses.
    Store,
    /// The store is slow.
    SlowStore,
    /// A process's way to the store.
    StorePath(usize),
    /// The way to a worker.
    WorkerPath(usize),
    /// A process is paused.
    Process(usize),
}

/// Harm at one place, by the platform's clock in milliseconds; without an end: still in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Harm {
    place: Place,
    from_ms: u64,
    until_ms: Option<u64>,
}

/// All harm of a run.
#[derive(Clone, Debug, Default)]
pub struct Harms {
    open: BTreeMap<Place, u64>,
    all: Vec<Harm>,
}

impl Harms {
    /// Takes note of an action at `now`.
    pub fn note(&mut self, action: Action, now: u64) {
        match action {
            Action::Outage(on) => self.set(Place::Store, on, now),
            Action::Slow(by_ms) => self.set(Place::SlowStore, by_ms > 0, now),
            Action::StorePath(n, mode) => self.set(Place::StorePath(n), mode != Mode::Pass, now),
            Action::WorkerPath(w, mode) => self.set(Place::WorkerPath(w), mode != Mode::Pass, now),
            Action::Pause(n) => self.set(Place::Process(n), true, now),
            Action::Resume(n) | Action::Kill(n) | Action::Start(n) => {
                self.set(Place::Process(n), false, now);
            }
            _ => {}
        }
    }

    /// Takes note that all harm ends at `now`.
    pub fn end_all(&mut self, now: u64) {
        for place in self.open.keys().copied().collect::<Vec<_>>() {
            self.set(place, false, now);
        }
    }

    fn set(&mut self, place: Place, on: bool, now: u64) {
        if on {
            self.open.entry(place).or_insert(now);
        } else if let Some(from_ms) = self.open.remove(&place) {
            self.all.push(Harm { place, from_ms, until_ms: Some(now) });
        }
    }

    /// Returns since when, up to `at_ms`, nothing has kept an owner from hearing of a change and from
    /// reaching this worker, or any one if none is given; `at_ms` itself while something does.
    pub fn whole_since(&self, worker: Option<usize>, at_ms: u64) -> u64 {
        let open = self.open.iter();
        let open = open.map(|(&place, &from_ms)| Harm { place, from_ms, until_ms: None });
        let matters = |h: &Harm| match h.place {
            Place::WorkerPath(w) => worker.is_none_or(|worker| w == worker),
            _ => true,
        };
        let harms = self.all.iter().copied().chain(open);
        let until = harms
            .filter(|h| matters(h) && h.from_ms <= at_ms)
            .map(|h| h.until_ms.map_or(at_ms, |until| until.min(at_ms)));
        until.max().unwrap_or(0)
    }
}
