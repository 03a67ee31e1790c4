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
pub(crate) const ONE_IN: u32 = 4;

/// The jobs, each once.
#[derive(Debug, Default)]
pub(crate) struct Dirty {
    /// Jobs that somebody waits for, the first that came first.
    wanted: VecDeque<JobId>,
    /// The others, and some that have become wanted meanwhile.
    rest: VecDeque<JobId>,
    /// Whether each job is wanted.
    queued: FxHashMap<JobId, bool>,
    wanted_len: usize,
    popped: u32,
}

impl Dirty {
    /// Adds a job that somebody waits for.
    pub fn want(&mut self, id: JobId) {
        if self.queued.insert(id, true) != Some(true) {
            self.wanted.push_back(id);
            self.wanted_len += 1;
        }
    }

    /// Adds a job that nobody waits for, unless it is there.
    pub fn add(&mut self, id: JobId) {
        if let Entry::Vacant(entry) = self.queued.entry(id) {
            entry.insert(false);
            self.rest.push_back(id);
        }
    }

    /// Removes a job.
    pub fn remove(&mut self, id: JobId) {
        if self.queued.remove(&id) == Some(true) {
            self.wanted_len -= 1;
        }
    }

    /// Returns how many jobs somebody waits for.
    pub fn wanted_len(&self) -> usize {
        self.wanted_len
    }

    /// Takes the next job out, and tells whether somebody waits for it.
    pub fn pop(&mut self) -> Option<(JobId, bool)> {
        self.popped = self.popped.wrapping_add(1);
        let rest_first = self.popped.is_multiple_of(ONE_IN);
        let first = self.pop_of(!rest_first).map(|id| (id, !rest_first));
        first.or_else(|| self.pop_of(rest_first).map(|id| (id, rest_first)))
    }

    fn pop_of(&mut self, wanted: bool) -> Option<JobId> {
        let list = if wanted { &mut self.wanted } else { &mut self.rest };
        while let Some(id) = list.pop_front() {
            if self.queued.get(&id) == Some(&wanted) {
                self.queued.remove(&id);
                self.wanted_len -= usize::from(wanted);
                return Some(id);
            }
        }
        None
    }
}
