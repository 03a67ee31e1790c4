//! Batches of rows for the store.
//!
//! Several batches may be in flight and may be committed in any order. Rows of one job are in only
//! one of them at a time, so that they are written in order; later changes of the job wait for a
//! later batch.

use crate::engine::Engine;
use crate::job::{EndRef, JobState, UnwrittenEnd};
use crate::progress_segments::Segment;
use crate::row_removal::{MAX_REMOVALS_PER_BATCH, RowRemoval};
use crate::rows::WorkerAddress;
use crate::spec::JobId;
use crate::write_queue::BACKGROUND_POP_INTERVAL;
use hollowford_core::Millis;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// Maximum number of rows of jobs in one batch. A transaction takes 100 entries; the rest is for
/// the owner row, the row of learned run times and removed jobs.
pub(crate) const MAX_JOB_ROWS_PER_BATCH: usize = 89;
/// Estimated number of urgent jobs in one batch: one job in [`BACKGROUND_POP_INTERVAL`] is a
/// background one, and half of the urgent ones write two rows, for an end, instead of one.
pub(crate) const URGENT_JOBS_PER_BATCH: usize = MAX_JOB_ROWS_PER_BATCH
    * (BACKGROUND_POP_INTERVAL as usize - 1)
    / BACKGROUND_POP_INTERVAL as usize
    * 2
    / 3;
/// Bytes of row values, before encoding, above which no further rows of jobs are added to a batch.
/// A transaction takes 1 MB, encoded as base64.
pub(crate) const MAX_VALUE_BYTES_PER_BATCH: usize = 450_000;
/// Maximum number of ended jobs whose rows one batch removes.
const MAX_EXPIRED_JOBS_PER_BATCH: usize = 8;

/// A row to write or remove.
#[derive(Clone, Debug, PartialEq)]
pub struct RowWrite {
    /// Key of the row within the partition.
    pub key: String,
    /// The new value; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

impl RowWrite {
    /// Returns the size of the value in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.value.as_ref().map_or(0, Vec::len)
    }

    pub(crate) fn put(key: String, value: Vec<u8>) -> RowWrite {
        RowWrite { key, value: Some(value) }
    }

    pub(crate) fn remove(key: String) -> RowWrite {
        RowWrite { key, value: None }
    }
}

/// Rows that are written in one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Number of the batch, counted from 1 by each owner.
    pub number: u64,
    /// The rows to write or remove.
    pub rows: Vec<RowWrite>,
}

/// Progress of one job in a batch.
#[derive(Debug)]
pub(crate) struct WrittenProgress {
    pub job: JobId,
    /// Number up to which the changes of the job are in this batch or an earlier one.
    pub up_to: u64,
    /// The segments, with the numbers of their changes.
    pub segments: Vec<(u64, Segment)>,
}

/// What becomes durable when a batch is committed.
#[derive(Debug, Default)]
pub(crate) struct BatchContents {
    pub(crate) accepted: Vec<JobId>,
    pub(crate) progressed: Vec<WrittenProgress>,
    pub(crate) ended: Vec<(JobId, JobState, Millis)>,
    /// Jobs whose rows the batch removes.
    expired: Vec<JobId>,
    /// Further rows that the batch removes.
    removed: Vec<RowRemoval>,
    /// Ends of tasks whose effects the batch stores, with their jobs.
    pub(crate) ends: Vec<(JobId, EndRef)>,
    pub(crate) workers: Option<Vec<WorkerAddress>>,
    /// Whether the batch contains the row of learned run times.
    run_times: bool,
}

impl BatchContents {
    /// Returns the jobs with rows in the batch; some occur twice.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobId> {
        let removed = self.removed.iter().map(|r| r.job);
        self.written_jobs().chain(self.expired.iter().copied()).chain(removed)
    }

    /// Returns the jobs of which the batch writes rows; some occur twice.
    fn written_jobs(&self) -> impl Iterator<Item = JobId> {
        let ended = self.ended.iter().map(|&(id, ..)| id);
        let progressed = self.progressed.iter().map(|p| p.job);
        self.accepted.iter().copied().chain(progressed).chain(ended)
    }

    /// Returns true if the batch removes rows of a job that are no longer needed.
    pub(crate) fn removes_rows_of(&self, job: JobId) -> bool {
        self.removed.iter().any(|r| r.job == job)
    }
}

/// Batches that are neither committed nor refused yet.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    pub(crate) batches: BTreeMap<u64, BatchContents>,
    /// Jobs with rows in one of the batches.
    pub(crate) jobs: FxHashSet<JobId>,
    /// Ended jobs whose removal was in a refused batch.
    pending_removals: Vec<JobId>,
    /// Jobs to queue for writing again once their batch is done; true for urgent ones.
    pub(crate) deferred: FxHashMap<JobId, bool>,
}

impl InFlight {
    /// Adds an end to the batch in flight with rows of its job, so that it is acknowledged once the
    /// batch is committed. Returns false if there is no such batch.
    pub fn add_end(&mut self, job: JobId, end: EndRef) -> bool {
        if !self.jobs.contains(&job) {
            return false;
        }
        let batch = self.batches.values_mut().find(|b| b.written_jobs().any(|id| id == job));
        batch.map(|b| b.ends.push((job, end))).is_some()
    }
}

pub(crate) fn job_key(id: JobId) -> String {
    format!("j/{id}")
}

impl Engine {
    /// Returns true if a caller waits for the next batch, which contains the acceptance or the end
    /// of a job.
    pub fn batch_is_urgent(&self) -> bool {
        self.jobs.write_queue.urgent_len() > 0
    }

    /// Builds a batch without rows, for what its writer adds to it.
    pub fn next_empty_batch(&mut self) -> Batch {
        self.last_batch_number += 1;
        Batch { number: self.last_batch_number, rows: Vec::new() }
    }

    /// Builds the next batch; returns `None` if there is nothing to write.
    pub fn next_batch(&mut self, now: Millis) -> Option<Batch> {
        let mut contents = BatchContents::default();
        let mut rows = Vec::new();
        self.write_workers(&mut rows, &mut contents);
        // Two batches with removals could be committed in the wrong order.
        if self.in_flight.batches.values().all(|b| b.removed.is_empty()) {
            contents.removed = self.row_removals.take(MAX_REMOVALS_PER_BATCH);
            rows.extend(contents.removed.iter().map(|r| RowWrite::remove(r.key.clone())));
        }
        self.write_jobs(now, &mut rows, &mut contents);
        self.remove_expired(now, &mut rows, &mut contents);
        if rows.is_empty() {
            return None;
        }
        // Two versions of the row in flight could be committed in the wrong order.
        if !self.in_flight.batches.values().any(|b| b.run_times) {
            contents.run_times = self.write_run_times(now, &mut rows);
        }
        self.last_batch_number += 1;
        self.in_flight.jobs.extend(contents.jobs());
        self.in_flight.batches.insert(self.last_batch_number, contents);
        Some(Batch { number: self.last_batch_number, rows })
    }

    /// Adds the removal of jobs whose retention has ended.
    fn remove_expired(
        &mut self,
        now: Millis,
        rows: &mut Vec<RowWrite>,
        contents: &mut BatchContents,
    ) {
        let ended_before = now - self.time_limits.ended_job_retention;
        let mut expired = std::mem::take(&mut self.in_flight.pending_removals);
        // A job that was submitted again under the same id has a new row.
        expired.retain(|&id| self.jobs.get(id).is_none() && self.jobs.ended(id).is_none());
        // Several refused batches together may remove more than one batch takes.
        self.in_flight.pending_removals =
            expired.split_off(expired.len().min(MAX_EXPIRED_JOBS_PER_BATCH));
        expired.extend(self.jobs.expire(ended_before, MAX_EXPIRED_JOBS_PER_BATCH - expired.len()));
        for id in expired {
            rows.push(RowWrite { key: job_key(id), value: None });
            contents.expired.push(id);
        }
    }

    /// Records that a batch is in the store.
    pub fn batch_committed(&mut self, number: u64, now: Millis) {
        let Some(contents) = self.take_in_flight(number) else { return };
        for &id in &contents.accepted {
            if let Some(job) = self.jobs.get_mut(id) {
                job.durable = true;
            }
        }
        for p in &contents.progressed {
            if let Some(job) = self.jobs.get_mut(p.job).filter(|j| j.has_crash_record) {
                job.changes_stored(p.up_to);
            }
            self.remove_finished_rounds(p);
        }
        for &(_, end) in &contents.ends {
            self.end_durable(end, now);
        }
        for &(id, state, at) in &contents.ended {
            // Ends reported after the job's end was decided need no row.
            let late_ends = self.jobs.get_mut(id).map(|j| std::mem::take(&mut j.ends));
            late_ends.into_iter().flatten().for_each(|e| self.end_durable(e.end, now));
            self.remove_rows_of_ended_job(id);
            self.close_job(id, state, at);
        }
        if let Some(list) = contents.workers {
            self.workers_recorded(list);
        }
        self.needs_pass = true;
    }

    /// Removes a batch from those in flight, and queues its jobs that have changed since.
    fn take_in_flight(&mut self, number: u64) -> Option<BatchContents> {
        let contents = self.in_flight.batches.remove(&number)?;
        for id in contents.jobs() {
            self.in_flight.jobs.remove(&id);
            match self.in_flight.deferred.remove(&id) {
                Some(true) => self.jobs.write_queue.add_urgent(id),
                Some(false) => self.jobs.write_queue.add_background(id),
                None => {}
            }
        }
        Some(contents)
    }

    /// Records that an end is in the store or needs no row.
    fn end_durable(&mut self, end: EndRef, now: Millis) {
        let Some(w) = self.workers.get_mut(end.worker) else { return };
        w.unstored_ends.remove(&end.number);
        if w.unstored_ends.is_empty() {
            w.next_look_at = now;
        }
    }

    /// Records that a batch was refused and will never be committed. Its changes are written again.
    pub fn batch_refused(&mut self, number: u64) {
        let Some(contents) = self.take_in_flight(number) else { return };
        for &id in &contents.accepted {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.acceptance_unwritten = true;
            self.jobs.write_queue.add_urgent(id);
        }
        for p in &contents.progressed {
            let Some(job) = self.jobs.get_mut(p.job) else { continue };
            for &(number, segment) in &p.segments {
                job.unwritten.restore(number, segment);
            }
            self.jobs.write_queue.add_background(p.job);
        }
        for &(id, end) in &contents.ends {
            if let Some(job) = self.jobs.get_mut(id) {
                job.ends.push(UnwrittenEnd { end, number: job.unwritten.last_number() });
            }
        }
        self.row_removals.restore(contents.removed);
        if contents.run_times {
            self.run_times_refused();
        }
        self.in_flight.pending_removals.extend(contents.expired);
        for (id, ..) in contents.ended {
            self.jobs.write_queue.add_urgent(id);
        }
    }
}
