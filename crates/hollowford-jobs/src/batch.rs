//! Batches of rows for the store.
//!
//! Several may be under way side by side, and may be made in any order. What belongs to one job
//! is in one of them at a time, so that its rows are written in order; what changes of it
//! meanwhile goes into a later one.

use crate::dirty::ONE_IN;
use crate::engine::Engine;
use crate::job::EndAt;
use crate::job::JobState;
use crate::progress_rows::ProgressRow;
use crate::rows::{JobRow, WorkerAddress, encode_workers};
use crate::spec::JobId;
use crate::worker::Worker;
use hollowford_core::Millis;
use prost::Message;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// Most rows that one job writes: its own and its progress.
const ROWS_OF_JOB: usize = 2;
/// Rows of jobs in one batch. A transaction takes 100 entries; the others are for the owner, the
/// workers, and jobs that are forgotten.
const MOST_ROWS: usize = 89;
/// Jobs that somebody waits for in one batch, some: one in [`ONE_IN`] is another one, and as many
/// write one row, for an acceptance, as write two, for an end.
pub(crate) const WANTED_IN_BATCH: usize =
    MOST_ROWS * (ONE_IN as usize - 1) / ONE_IN as usize * 2 / 3;
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

/// What a batch under way will have made durable.
#[derive(Debug, Default)]
pub(crate) struct BatchNote {
    accepted: Vec<JobId>,
    /// Jobs with rows of their progress, and how many were cut of each with this one.
    progressed: Vec<(JobId, u64)>,
    ended: Vec<(JobId, JobState, Millis)>,
    /// Jobs whose rows are removed.
    expired: Vec<JobId>,
    /// Ends at workers that the rows contain, with the job of each.
    ends: Vec<(JobId, EndAt)>,
    workers: Option<Vec<WorkerAddress>>,
}

impl BatchNote {
    /// Returns the jobs that have rows in the batch, some of them twice.
    fn jobs(&self) -> impl Iterator<Item = JobId> {
        let ended = self.ended.iter().map(|&(id, ..)| id);
        let progressed = self.progressed.iter().map(|&(id, _)| id);
        let written = self.accepted.iter().chain(&self.expired);
        written.copied().chain(progressed).chain(ended)
    }
}

/// Batches that are cut and not made yet.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    notes: BTreeMap<u64, BatchNote>,
    /// Jobs with rows in one of them.
    jobs: FxHashSet<JobId>,
    /// Ended jobs whose rows were to be removed by a batch that was refused.
    unremoved: Vec<JobId>,
    /// Jobs that have something to write once that one is made, and whether somebody waits.
    waiting: FxHashMap<JobId, bool>,
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
        self.jobs.dirty.wanted_len() > 0
    }

    /// Returns the next batch; none when there is nothing to write.
    pub fn cut_batch(&mut self, now: Millis) -> Option<Batch> {
        let mut note = BatchNote::default();
        let mut rows = Vec::new();
        self.write_workers(&mut rows, &mut note);
        self.write_jobs(now, &mut rows, &mut note);
        self.remove_expired(now, &mut rows, &mut note);
        if rows.is_empty() {
            return None;
        }
        self.last_batch_number += 1;
        self.in_flight.jobs.extend(note.jobs());
        self.in_flight.notes.insert(self.last_batch_number, note);
        Some(Batch { number: self.last_batch_number, rows })
    }

    /// Removes the rows of jobs that ended long ago.
    fn remove_expired(&mut self, now: Millis, rows: &mut Vec<RowWrite>, note: &mut BatchNote) {
        let old = now - self.time_limits.ended_job_retention;
        let mut expired = std::mem::take(&mut self.in_flight.unremoved);
        // A job that came anew under the same id has a row of its own.
        expired.retain(|&id| self.jobs.get(id).is_none() && self.jobs.ended(id).is_none());
        // What several refused batches were to remove may be more than one takes.
        self.in_flight.unremoved = expired.split_off(expired.len().min(MOST_EXPIRED));
        expired.extend(self.jobs.expire(old, MOST_EXPIRED - expired.len()));
        for id in expired {
            rows.push(RowWrite { key: job_key(id), value: None });
            note.expired.push(id);
        }
    }

    /// A batch is in the store.
    pub fn committed(&mut self, number: u64, now: Millis) {
        let Some(note) = self.take_in_flight(number) else { return };
        for &id in &note.accepted {
            if let Some(job) = self.jobs.get_mut(id) {
                job.kept = true;
            }
        }
        for &(id, row) in &note.progressed {
            if let Some(job) = self.jobs.get_mut(id).filter(|j| j.is_tracked) {
                job.row_made(row);
            }
        }
        for &(_, end) in &note.ends {
            self.end_durable(end, now);
        }
        for &(id, state, at) in &note.ended {
            // What was told of it after its end was decided needs no row.
            let told = self.jobs.get_mut(id).map(|j| std::mem::take(&mut j.ends));
            told.into_iter().flatten().for_each(|end| self.end_durable(end, now));
            self.close_job(id, state, at);
        }
        if let Some(list) = note.workers {
            self.workers_recorded(list);
        }
        self.needs_pass = true;
    }

    /// Takes a batch out of those under way; what waited for it may be written next.
    fn take_in_flight(&mut self, number: u64) -> Option<BatchNote> {
        let note = self.in_flight.notes.remove(&number)?;
        for id in note.jobs() {
            self.in_flight.jobs.remove(&id);
            match self.in_flight.waiting.remove(&id) {
                Some(true) => self.jobs.dirty.want(id),
                Some(false) => self.jobs.dirty.add(id),
                None => {}
            }
        }
        Some(note)
    }

    /// An end at a worker is in the store, or needs not be.
    fn end_durable(&mut self, end: EndAt, now: Millis) {
        let Some(w) = self.workers.get_mut(end.worker) else { return };
        w.unwritten_ends.remove(&end.number);
        if w.unwritten_ends.is_empty() {
            w.look_at = now;
        }
    }

    /// A batch was refused and will never be made: its changes are to be written again.
    pub fn batch_refused(&mut self, number: u64) {
        let Some(note) = self.take_in_flight(number) else { return };
        for &(id, end) in &note.ends {
            if let Some(job) = self.jobs.get_mut(id) {
                job.ends.push(end);
            }
        }
        let progressed = note.progressed.iter().map(|&(id, _)| id);
        for id in note.accepted.iter().copied().chain(progressed) {
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
        self.in_flight.unremoved.extend(note.expired);
        for (id, ..) in note.ended {
            self.jobs.dirty.want(id);
        }
    }

    /// Writes the row of workers when it lacks one that may get work.
    fn write_workers(&mut self, rows: &mut Vec<RowWrite>, note: &mut BatchNote) {
        // Two lists under way could be made in the wrong order.
        let under_way = self.in_flight.notes.values().any(|n| n.workers.is_some());
        let lacking = self.workers.iter().any(|(_, w)| !w.recorded && w.listed);
        if under_way || !lacking {
            return;
        }
        let address =
            |w: &Worker| WorkerAddress { life: w.life.clone(), address: w.address.clone() };
        let lives = self.workers.iter().map(|(_, w)| address(w));
        let crashed = self.crashed_incarnations.iter().map(|l| l.address.clone());
        let list: Vec<_> = lives.chain(crashed).collect();
        rows.push(RowWrite { key: WORKERS_KEY.to_owned(), value: Some(encode_workers(&list)) });
        note.workers = Some(list);
    }

    fn workers_recorded(&mut self, list: Vec<WorkerAddress>) {
        for w in &list {
            let Some(idx) = self.workers.find(&w.life) else { continue };
            if let Some(w) = self.workers.get_mut(idx) {
                w.recorded = true;
            }
        }
        self.recorded_workers = list;
    }

    fn write_jobs(&mut self, now: Millis, rows: &mut Vec<RowWrite>, note: &mut BatchNote) {
        let mut bytes = 0;
        while rows.len() + ROWS_OF_JOB <= MOST_ROWS && bytes <= MOST_BYTES {
            let Some((id, wanted)) = self.jobs.dirty.pop() else { return };
            if self.in_flight.jobs.contains(&id) {
                *self.in_flight.waiting.entry(id).or_default() |= wanted;
                continue;
            }
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
        let account = self.accounts.name(job.account);
        note.ends.extend(job.ends.drain(..).map(|end| (id, end)));
        if let Some(state) = job.end {
            rows.push(put(job_key(id), JobRow::ended(state, now.0, account).encode_to_vec()));
            if job.has_progress {
                rows.push(RowWrite { key: progress_key(id), value: None });
            }
            note.ended.push((id, state, now));
            return;
        }
        if std::mem::take(&mut job.unwritten) {
            rows.push(put(job_key(id), JobRow::open(job, account).encode_to_vec()));
            note.accepted.push(id);
        }
        if std::mem::take(&mut job.progressed) {
            job.has_progress = true;
            job.rows_cut += 1;
            rows.push(put(progress_key(id), ProgressRow::of(job).encode_to_vec()));
            note.progressed.push((id, job.rows_cut));
        }
    }
}

fn put(key: String, value: Vec<u8>) -> RowWrite {
    RowWrite { key, value: Some(value) }
}
