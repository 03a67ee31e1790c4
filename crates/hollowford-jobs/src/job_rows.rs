//! The rows of jobs in a batch.

use crate::batch::{
    BatchContents, MAX_JOB_ROWS_PER_BATCH, MAX_VALUE_BYTES_PER_BATCH, RowWrite, WrittenProgress,
    job_key,
};
use crate::engine::Engine;
use crate::job::Job;
use crate::progress_rows::encode_segment;
use crate::progress_segments::Segment;
use crate::rows::JobRow;
use crate::spec::JobId;
use hollowford_core::Millis;
use prost::Message;

/// Number of rows that most jobs add to a batch at most: the job row and the progress row.
const USUAL_ROWS_PER_JOB: usize = 2;
/// Maximum number of segments of one job in a batch, so that a large job leaves room for others.
const MAX_SEGMENTS_PER_JOB: usize = 16;

impl Engine {
    /// Adds rows of the jobs that are queued for writing, as far as the batch has room.
    pub(crate) fn write_jobs(
        &mut self,
        now: Millis,
        rows: &mut Vec<RowWrite>,
        contents: &mut BatchContents,
    ) {
        let mut postponed = Vec::new();
        while rows.len() + USUAL_ROWS_PER_JOB <= MAX_JOB_ROWS_PER_BATCH && has_room(rows) {
            let Some((id, urgent)) = self.jobs.write_queue.pop() else { break };
            if self.in_flight.jobs.contains(&id) {
                *self.in_flight.deferred.entry(id).or_default() |= urgent;
            } else if self.awaits_removals(id, contents) {
                postponed.push((id, urgent));
            } else if !self.write_job(id, now, rows, contents) {
                postponed.push((id, false));
            }
        }
        for (id, urgent) in postponed {
            if contents.jobs().any(|written| written == id) {
                *self.in_flight.deferred.entry(id).or_default() |= urgent;
            } else if urgent {
                self.jobs.write_queue.add_urgent(id);
            } else {
                self.jobs.write_queue.add_background(id);
            }
        }
    }

    /// Returns true if a job can't be written yet because this batch removes rows of it, or because
    /// rows of an earlier job with its id are still to be removed.
    fn awaits_removals(&self, id: JobId, contents: &BatchContents) -> bool {
        let is_new = self.jobs.get(id).is_some_and(|j| j.acceptance_unwritten);
        contents.removes_rows_of(id) || (is_new && self.row_removals.contains(id))
    }

    /// Adds the rows of a job. Returns false if some of its progress remains to be written.
    fn write_job(
        &mut self,
        id: JobId,
        now: Millis,
        rows: &mut Vec<RowWrite>,
        contents: &mut BatchContents,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return true };
        let account = self.accounts.name(job.account);
        if let Some(state) = job.end {
            let value = JobRow::ended(state, now.0, account).encode_to_vec();
            rows.push(RowWrite::put(job_key(id), value));
            rows.extend(job.stored.only_key(id).map(RowWrite::remove));
            contents.ends.extend(job.ends.drain(..).map(|e| (id, e.end)));
            contents.ended.push((id, state, now));
            return true;
        }
        if std::mem::take(&mut job.acceptance_unwritten) {
            let value = JobRow::open(job, account).encode_to_vec();
            rows.push(RowWrite::put(job_key(id), value));
            contents.accepted.push(id);
        }
        let segments = write_segments(job, self.row_limits.max_row_bytes, rows);
        let up_to = job.unwritten.taken_up_to();
        if !segments.is_empty() {
            contents.progressed.push(WrittenProgress { job: id, up_to, segments });
        }
        let written_ends = job.ends.extract_if(.., |e| e.number <= up_to);
        contents.ends.extend(written_ends.map(|e| (id, e.end)));
        job.unwritten.is_empty()
    }
}

/// Returns true if further rows of jobs may be added to a batch with these rows.
fn has_room(rows: &[RowWrite]) -> bool {
    rows.iter().map(RowWrite::bytes).sum::<usize>() <= MAX_VALUE_BYTES_PER_BATCH
}

/// Adds rows of a job's unwritten segments, as far as the batch has room. Returns the segments, with
/// the numbers of their changes.
fn write_segments(
    job: &mut Job,
    max_row_bytes: usize,
    rows: &mut Vec<RowWrite>,
) -> Vec<(u64, Segment)> {
    let mut written = Vec::new();
    while written.len() < MAX_SEGMENTS_PER_JOB {
        let Some((number, segment)) = job.unwritten.take_next() else { break };
        let values = encode_segment(job, segment, max_row_bytes);
        let row_count = values.len() as u32;
        let obsolete = row_count..job.stored.row_count(segment);
        let fits = rows.len() + values.len() + obsolete.len() <= MAX_JOB_ROWS_PER_BATCH;
        // An empty batch takes any segment, so that each is written some time.
        let may_be_added = rows.is_empty() || (fits && has_room(rows));
        if !may_be_added {
            job.unwritten.restore(number, segment);
            break;
        }
        let put = |(row, value)| RowWrite::put(segment.row_key(job.id, row), value);
        rows.extend((0..).zip(values).map(put));
        rows.extend(obsolete.map(|row| RowWrite::remove(segment.row_key(job.id, row))));
        job.stored.add(segment, row_count);
        written.push((number, segment));
    }
    written
}
