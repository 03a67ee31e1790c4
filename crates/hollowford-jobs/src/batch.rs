//! Batches of rows for the store.
//!
//! One batch is under way at a time. What changes meanwhile goes into the next one.

use crate::engine::Engine;
use crate::job::JobState;
use crate::rows::{JobRow, ProgressRow, WorkerAddress, encode_workers};
use crate::spec::JobId;
use crate::worker::Worker;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use prost::Message;

/// Most rows that one job writes: its own and its progress.
const ROWS_OF_JOB: usize = 2;
/// Rows of jobs in one batch. A transaction takes 100 entries; the others are for the owner, the
/// workers, and jobs that are forgotten.
const MOST_ROWS: usize = 89;
/// Jobs that somebody waits for in one batch, some: an acceptance writes one row, an end mostly
/// two, and one job in four is another one.
pub(crate) const WANTED_IN_BATCH: usize = MOST_ROWS / 2;
/// Most bytes of values in one batch, before their encoding; a transaction takes 1 MB.
const MOST_BYTES: usize = 500_000;
/// Most ended jobs forgotten by one batch.
const MOST_EXPIRED: usize = 8;

/// A row to write or remove.
#[derive(Clone, Debug, PartialEq)]
pub struct RowWrite {
    /// Its key within the partition.
    pub key: String,
    /// Its bytes; none: remove it.
    pub value: Option<Vec<u8>>,
}

impl RowWrite {
    /// Returns the bytes of its value.
    fn bytes(&self) -> usize {
        self.value.as_ref().map_or(0, Vec::len)
    }
}

/// Rows that are written together, or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Counts the owner's batches, from 1.
    pub number: u64,
    /// The rows.
    pub rows: Vec<RowWrite>,
}

/// What the batch under way will have made durable.
#[derive(Debug, Default)]
pub(crate) struct BatchNote {
    accepted: Vec<JobId>,
    progressed: Vec<JobId>,
    ended: Vec<(JobId, JobState, Millis)>,
    /// Ends taken in, by worker.
    taken: Vec<(WorkerIdx, u64)>,
    workers: Option<Vec<WorkerAddress>>,
}

/// Key of the row of workers.
pub(crate) const WORKERS_KEY: &str = "workers";

pub(crate) fn job_key(id: JobId) -> String {
    format!("j/{id}")
}

pub(crate) fn progress_key(id: JobId) -> String {
    format!("p/{id}")
}

impl Engine {
    /// Tells whether somebody waits for the next batch: a caller for an acceptance or the
    /// end of a job.
    pub fn batch_is_urgent(&self) -> bool {
        self.in_flight.is_none() && self.jobs.dirty.wanted_len() > 0
    }

    /// Returns the next batch; none when one is under way or there is nothing to write.
    pub fn cut_batch(&mut self, now: Millis) -> Option<Batch> {
        if self.in_flight.is_some() {
            return None;
        }
        let mut note = BatchNote::default();
        let mut rows = Vec::new();
        self.write_workers(&mut rows, &mut note);
        self.write_jobs(now, &mut rows, &mut note);
        let old = now - self.bounds.keep_ended;
        for id in self.jobs.expire(old, MOST_EXPIRED) {
            rows.push(RowWrite { key: job_key(id), value: None });
        }
        // Else what an end changed may be in the part that is left for the next batch.
        if self.jobs.dirty.is_empty() {
            let taken = self.workers.iter().filter(|(_, w)| w.taken > w.forget);
            note.taken = taken.map(|(idx, w)| (idx, w.taken)).collect();
        }
        if rows.is_empty() && note.taken.is_empty() {
            return None;
        }
        self.batch_no += 1;
        self.in_flight = Some(note);
        Some(Batch { number: self.batch_no, rows })
    }

    /// The batch under way is in the store.
    pub fn committed(&mut self, now: Millis) {
        let Some(note) = self.in_flight.take() else { return };
        for id in note.accepted {
            if let Some(job) = self.jobs.get_mut(id) {
                job.kept = true;
            }
        }
        for (id, state, at) in note.ended {
            self.close_job(id, state, at);
        }
        for (idx, taken) in note.taken {
            if let Some(w) = self.workers.get_mut(idx) {
                w.forget = w.forget.max(taken);
                w.look_at = now;
            }
        }
        if let Some(list) = note.workers {
            self.workers_recorded(list);
        }
        self.dirty = true;
    }

    /// The batch under way was refused and will never be made: its changes are to be written
    /// again.
    pub fn batch_refused(&mut self) {
        let Some(note) = self.in_flight.take() else { return };
        for &id in note.accepted.iter().chain(&note.progressed) {
            let accepted = note.accepted.contains(&id);
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.unwritten |= accepted;
            job.progressed |= !accepted || job.has_progress;
            if accepted {
                self.jobs.dirty.want(id);
            } else {
                self.jobs.dirty.add(id);
            }
        }
        for (id, ..) in note.ended {
            self.jobs.dirty.want(id);
        }
    }

    /// Writes the row of workers when it lacks one that may get work.
    fn write_workers(&mut self, rows: &mut Vec<RowWrite>, note: &mut BatchNote) {
        let lacking = self.workers.iter().any(|(_, w)| !w.recorded && w.listed);
        if !lacking {
            return;
        }
        let address = |w: &Worker| WorkerAddress { id: w.id.clone(), address: w.address.clone() };
        let list: Vec<_> = self.workers.iter().map(|(_, w)| address(w)).collect();
        rows.push(RowWrite { key: WORKERS_KEY.to_owned(), value: Some(encode_workers(&list)) });
        note.workers = Some(list);
    }

    fn workers_recorded(&mut self, list: Vec<WorkerAddress>) {
        for w in &list {
            let Some(idx) = self.workers.find(&w.id) else { continue };
            if let Some(w) = self.workers.get_mut(idx) {
                w.recorded = true;
            }
        }
        self.recorded = list;
    }

    fn write_jobs(&mut self, now: Millis, rows: &mut Vec<RowWrite>, note: &mut BatchNote) {
        let mut bytes = 0;
        while rows.len() + ROWS_OF_JOB <= MOST_ROWS && bytes <= MOST_BYTES {
            let Some(id) = self.jobs.dirty.pop() else { return };
            let start = rows.len();
            self.write_job(id, now, rows, note);
            bytes += rows[start..].iter().map(RowWrite::bytes).sum::<usize>();
        }
    }

    fn write_job(
        &mut self,
        id: JobId,
        now: Millis,
        rows: &mut Vec<RowWrite>,
        note: &mut BatchNote,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if let Some(state) = job.end {
            rows.push(put(job_key(id), JobRow::ended(state, now.0).encode_to_vec()));
            if job.has_progress {
                rows.push(RowWrite { key: progress_key(id), value: None });
            }
            note.ended.push((id, state, now));
            return;
        }
        if std::mem::take(&mut job.unwritten) {
            rows.push(put(job_key(id), JobRow::open(job).encode_to_vec()));
            note.accepted.push(id);
        }
        if std::mem::take(&mut job.progressed) {
            job.has_progress = true;
            rows.push(put(progress_key(id), ProgressRow::of(job).encode_to_vec()));
            note.progressed.push(id);
        }
    }
}

fn put(key: String, value: Vec<u8>) -> RowWrite {
    RowWrite { key, value: Some(value) }
}
