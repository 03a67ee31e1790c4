//! The platform's list of workers.

use crate::engine::Engine;
use crate::life::WorkerLife;
use crate::note::Note;
use crate::order::WorkerListing;
use crate::worker::Worker;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;

impl Engine {
    /// Takes over the platform's list of workers. It ends no life: it may be older than what a worker has
    /// answered, so that only an answer tells.
    pub fn list_workers(&mut self, listings: &[WorkerListing], now: Millis) {
        self.listings.clear();
        for l in listings {
            let pool = self.workers.pool_name(&l.pool);
            let l = WorkerListing { pool, ..l.clone() };
            self.listings.insert(l.life.id().clone(), l);
        }
        for idx in self.workers.indexes() {
            self.take_listing(idx, now);
        }
        for l in listings {
            if !self.is_known(&l.life) && !self.ended_incarnations.contains(&l.life) {
                let idx = self.workers.insert(Worker::new(l.life.clone(), l.address.clone(), now));
                self.take_listing(idx, now);
            }
        }
        self.needs_pass = true;
    }

    /// Tells whether a life on the list is one that is known already.
    fn is_known(&self, life: &WorkerLife) -> bool {
        self.workers.of_id(life.id()).any(|(_, w)| w.life.may_be(life))
    }

    /// Takes over what the list says of a life, if it tells of this one.
    pub(crate) fn take_listing(&mut self, idx: WorkerIdx, now: Millis) {
        let Some(w) = self.workers.get_mut(idx) else { return };
        let listing = self.listings.get(w.life.id()).filter(|l| l.life.may_be(&w.life));
        w.listed = listing.is_some();
        let Some(l) = listing else { return };
        if l.leaving && !w.leaving {
            self.events.push(Note::Leaving { worker: w.life.clone() });
        }
        w.take_listing(l, now);
    }
}
