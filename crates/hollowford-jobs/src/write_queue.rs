//! Jobs with something to write, in the order in which they are written.
//!
//! A slow store takes a few batches a second. Callers wait for acceptances and ends, nobody
//! for the progress of a job: it goes along as far as it fits, and a part of each batch is
//! left to it, since workers keep their ends until it is written.

use crate::spec::JobId;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry;

/// One job in so many is one that nobody waits for, while both kinds are there.
pub(crate) const BACKGROUND_POP_INTERVAL: u32 = 4;

/// The jobs, each once.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    /// Jobs that somebody waits for, the first that came first.
    urgent: VecDeque<JobId>,
    /// The others, and some that have become urgent meanwhile.
    background: VecDeque<JobId>,
    /// Whether each job is urgent.
    queued: FxHashMap<JobId, bool>,
    urgent_len: usize,
    pop_count: u32,
}

impl WriteQueue {
    /// Adds a job that somebody waits for.
    pub fn add_urgent(&mut self, id: JobId) {
        if self.queued.insert(id, true) != Some(true) {
            self.urgent.push_back(id);
            self.urgent_len += 1;
        }
    }

    /// Adds a job that nobody waits for, unless it is there.
    pub fn add_background(&mut self, id: JobId) {
        if let Entry::Vacant(entry) = self.queued.entry(id) {
            entry.insert(false);
            self.background.push_back(id);
        }
    }

    /// Removes a job.
    pub fn remove(&mut self, id: JobId) {
        if self.queued.remove(&id) == Some(true) {
            self.urgent_len -= 1;
        }
    }

    /// Returns how many jobs somebody waits for.
    pub fn urgent_len(&self) -> usize {
        self.urgent_len
    }

    /// Takes the next job out, and tells whether somebody waits for it.
    pub fn pop(&mut self) -> Option<(JobId, bool)> {
        self.pop_count = self.pop_count.wrapping_add(1);
        let background_first = self.pop_count.is_multiple_of(BACKGROUND_POP_INTERVAL);
        let first = self.pop_from(!background_first).map(|id| (id, !background_first));
        first.or_else(|| self.pop_from(background_first).map(|id| (id, background_first)))
    }

    fn pop_from(&mut self, urgent: bool) -> Option<JobId> {
        let list = if urgent { &mut self.urgent } else { &mut self.background };
        while let Some(id) = list.pop_front() {
            if self.queued.get(&id) == Some(&urgent) {
                self.queued.remove(&id);
                self.urgent_len -= usize::from(urgent);
                return Some(id);
            }
        }
        None
    }
}
