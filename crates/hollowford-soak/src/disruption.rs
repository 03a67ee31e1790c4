//! Records when failures kept owners from receiving changes or reaching workers. Tasks started
//! meanwhile on outdated information violate no guarantee.

use crate::proxy::Mode;
use crate::schedule::Action;
use std::collections::BTreeMap;

/// Kind of a disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DisruptionKind {
    /// The store refuses all calls.
    StoreOutage,
    /// The store answers with a delay.
    SlowStore,
    /// The connection between a process and the store is disturbed.
    StorePath(usize),
    /// The connection between the processes and a worker is disturbed.
    WorkerPath(usize),
    /// A worker is cut off from newer owners.
    WorkerCutOff(usize),
    /// A process is paused.
    ProcessPaused(usize),
}

/// A disruption, in milliseconds of the platform's clock. Without an end it is still active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Disruption {
    kind: DisruptionKind,
    from_ms: u64,
    until_ms: Option<u64>,
}

/// All disruptions of a run.
#[derive(Clone, Debug, Default)]
pub struct DisruptionLog {
    active: BTreeMap<DisruptionKind, u64>,
    ended: Vec<Disruption>,
}

impl DisruptionLog {
    /// Records the start or end of a disruption by an action at `now`.
    pub fn record(&mut self, action: Action, now: u64) {
        match action {
            Action::Outage(is_active) => {
                self.set_active(DisruptionKind::StoreOutage, is_active, now)
            }
            Action::Slow(by_ms) => self.set_active(DisruptionKind::SlowStore, by_ms > 0, now),
            Action::StorePath(n, mode) => {
                self.set_active(DisruptionKind::StorePath(n), mode != Mode::Pass, now)
            }
            Action::WorkerPath(w, mode) => {
                self.set_active(DisruptionKind::WorkerPath(w), mode != Mode::Pass, now)
            }
            Action::CutOff(w, is_active) => {
                self.set_active(DisruptionKind::WorkerCutOff(w), is_active, now)
            }
            Action::Pause(n) => self.set_active(DisruptionKind::ProcessPaused(n), true, now),
            Action::Resume(n) | Action::Kill(n) | Action::Start(n) => {
                self.set_active(DisruptionKind::ProcessPaused(n), false, now);
            }
            _ => {}
        }
    }

    /// Records that all disruptions end at `now`.
    pub fn end_all(&mut self, now: u64) {
        for kind in self.active.keys().copied().collect::<Vec<_>>() {
            self.set_active(kind, false, now);
        }
    }

    fn set_active(&mut self, kind: DisruptionKind, is_active: bool, now: u64) {
        if is_active {
            self.active.entry(kind).or_insert(now);
        } else if let Some(from_ms) = self.active.remove(&kind) {
            self.ended.push(Disruption { kind, from_ms, until_ms: Some(now) });
        }
    }

    /// Returns the end of the last disruption before `at_ms`, or `at_ms` while one is active. Only
    /// disruptions count that keep owners from receiving changes or from reaching `worker`; with
    /// `None`, those of all workers.
    pub fn undisrupted_since(&self, worker: Option<usize>, at_ms: u64) -> u64 {
        let active = self.active.iter();
        let active = active.map(|(&kind, &from_ms)| Disruption { kind, from_ms, until_ms: None });
        let is_relevant = |disruption: &Disruption| match disruption.kind {
            DisruptionKind::WorkerPath(w) | DisruptionKind::WorkerCutOff(w) => {
                worker.is_none_or(|worker| w == worker)
            }
            _ => true,
        };
        let disruptions = self.ended.iter().copied().chain(active);
        let until = disruptions
            .filter(|disruption| is_relevant(disruption) && disruption.from_ms <= at_ms)
            .map(|disruption| disruption.until_ms.map_or(at_ms, |until| until.min(at_ms)));
        until.max().unwrap_or(0)
    }
}
