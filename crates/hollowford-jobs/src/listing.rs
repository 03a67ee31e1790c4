//! The platform's list of workers.

use crate::engine::Engine;
use crate::event::Event;
use crate::order::WorkerListing;
use crate::worker::Worker;
use crate::worker_life::WorkerLife;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

impl Engine {
    /// Applies the platform's list of workers. It never ends an incarnation, because it may be
    /// older than an answer of the worker; only answers do.
    pub fn set_worker_list(&mut self, listings: &[WorkerListing], now: Millis) {
        self.listings.clear();
        self.record_withdrawn(listings);
        for l in listings.iter().filter(|l| !l.withdrawn) {
            let pool = self.workers.pool_name(&l.pool);
            let l = WorkerListing { pool, ..l.clone() };
            self.listings.insert(l.life.id().clone(), l);
        }
        for idx in self.workers.indexes() {
            self.apply_listing(idx, now);
        }
        for l in listings.iter().filter(|l| !l.withdrawn) {
            if !self.is_known(&l.life) && !self.ended_incarnations.contains(&l.life) {
                let idx = self.workers.insert(Worker::new(l.life.clone(), l.address.clone(), now));
                self.apply_listing(idx, now);
            }
        }
        self.needs_pass = true;
    }

    /// Records which workers have removed their entries themselves.
    fn record_withdrawn(&mut self, listings: &[WorkerListing]) {
        for l in listings.iter().filter(|l| l.withdrawn) {
            let known = self.workers.with_id(l.life.id());
            let same = known.filter(|(_, w)| w.life.may_be_same(&l.life)).map(|(idx, _)| idx);
            for idx in same.collect::<Vec<_>>() {
                if let Some(w) = self.workers.get_mut(idx) {
                    w.withdrawn = true;
                }
            }
        }
    }

    /// Returns true if a listed incarnation may be one that is already known.
    fn is_known(&self, life: &WorkerLife) -> bool {
        self.workers.with_id(life.id()).any(|(_, w)| w.life.may_be_same(life))
    }

    /// Applies the listing of a worker's id if it may describe this incarnation.
    pub(crate) fn apply_listing(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        let listing = self.listings.get(w.life.id()).filter(|l| l.life.may_be_same(&w.life));
        w.listed = listing.is_some();
        let Some(l) = listing else { return };
        if l.leaving && !w.leaving {
            self.events.push(Event::WorkerLeaving { worker: w.life.clone() });
        }
        w.apply_listing(l, now);
        self.register_worker_speed(idx);
    }
}
