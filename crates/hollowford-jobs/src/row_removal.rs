//! Removal of rows that are no longer needed.
//!
//! A large job may have more rows than one transaction takes. They are removed after the row that
//! makes them unnecessary has been stored.

use crate::batch::WrittenProgress;
use crate::engine::Engine;
use crate::job::Round;
use crate::progress_segments::Segment;
use crate::spec::JobId;
use crate::stored_progress::StoredProgress;
use std::collections::VecDeque;

/// Maximum number of rows of ended jobs and rounds that one batch removes.
pub(crate) const MAX_REMOVALS_PER_BATCH: usize = 16;

/// A row to remove.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RowRemoval {
    pub job: JobId,
    pub key: String,
}

/// Rows to remove with later batches, in order.
#[derive(Debug, Default)]
pub(crate) struct RowRemovals {
    pending: VecDeque<RowRemoval>,
}

impl RowRemovals {
    fn add(&mut self, job: JobId, keys: Vec<String>) {
        self.pending.extend(keys.into_iter().map(|key| RowRemoval { job, key }));
    }

    /// Takes at most `limit` rows.
    pub fn take(&mut self, limit: usize) -> Vec<RowRemoval> {
        self.pending.drain(..limit.min(self.pending.len())).collect()
    }

    /// Puts back the rows of a refused batch.
    pub fn restore(&mut self, removals: Vec<RowRemoval>) {
        removals.into_iter().rev().for_each(|r| self.pending.push_front(r));
    }

    /// Returns true if rows of a job are pending. A job that is submitted again under the same id
    /// must not be written before they are removed.
    pub fn contains(&self, job: JobId) -> bool {
        self.pending.iter().any(|r| r.job == job)
    }
}

impl Engine {
    /// Removes the rows with the tasks of rounds that are done, once the store lists these rounds
    /// as done.
    pub(crate) fn remove_finished_rounds(&mut self, written: &WrittenProgress) {
        if !written.segments.iter().any(|(_, s)| matches!(s, Segment::Rounds(_))) {
            return;
        }
        let Some(job) = self.jobs.get_mut(written.job) else { return };
        let (rounds, unwritten) = (&job.rounds, &job.unwritten);
        let is_unneeded = |segment| match segment {
            Segment::Tasks { round, .. } => {
                let found = rounds.iter().find(|r| r.number == round);
                found.is_none_or(Round::is_done)
                    && !unwritten.contains(Segment::of_round(round))
                    && !unwritten.contains(segment)
            }
            Segment::Job | Segment::Rounds(_) => false,
        };
        let keys = job.stored.remove(written.job, is_unneeded);
        self.row_removals.add(written.job, keys);
    }

    /// Removes the progress rows of a job whose end is stored. The batch with the end has removed
    /// the row of a job with only one.
    pub(crate) fn remove_rows_of_ended_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.stored.only_key(id).is_none()) else {
            return;
        };
        let keys = job.stored.remove(id, |_| true);
        self.row_removals.add(id, keys);
    }

    /// Removes progress rows that a takeover has found without their job.
    pub(crate) fn remove_progress_rows(&mut self, id: JobId, stored: &StoredProgress) {
        for (&segment, &rows) in &stored.segments {
            let keys = (0..rows).map(|row| segment.row_key(id, row)).collect();
            self.row_removals.add(id, keys);
        }
    }
}
