//! The order in which jobs' rows are written to the store.
//!
//! A slow store commits only a few batches per second. Callers wait for acceptances and ends of
//! jobs (urgent), but not for progress (background). Background jobs fill the remaining space of a
//! batch and get a fixed share of each, because workers keep their ends until the progress is
//! stored.

use crate::spec::JobId;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry;

/// Every n-th job taken from the queue is a background one while there are both kinds.
pub(crate) const BACKGROUND_POP_INTERVAL: u32 = 4;

/// Jobs with rows to write, each queued once.
#[derive(Debug, Default)]
pub(crate) struct WriteQueue {
    /// Jobs for which a caller waits, oldest first.
    urgent: VecDeque<JobId>,
    /// Background jobs, oldest first; may contain jobs that have become urgent since.
    background: VecDeque<JobId>,
    /// The queued jobs, with true for the urgent ones.
    queued: FxHashMap<JobId, bool>,
    urgent_len: usize,
    pop_count: u32,
}

impl WriteQueue {
    /// Adds a job for which a caller waits, or makes it urgent if it is queued already.
    pub fn add_urgent(&mut self, id: JobId) {
        if self.queued.insert(id, true) != Some(true) {
            self.urgent.push_back(id);
            self.urgent_len += 1;
        }
    }

    /// Adds a background job, unless it is queued already.
    pub fn add_background(&mut self, id: JobId) {
        if let Entry::Vacant(entry) = self.queued.entry(id) {
            entry.insert(false);
            self.background.push_back(id);
        }
    }

    pub fn remove(&mut self, id: JobId) {
        if self.queued.remove(&id) == Some(true) {
            self.urgent_len -= 1;
        }
    }

    pub fn urgent_len(&self) -> usize {
        self.urgent_len
    }

    /// Takes the next job from the queue; the flag is true if it is urgent.
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
