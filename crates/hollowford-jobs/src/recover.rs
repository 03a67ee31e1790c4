//! Restores a partition's state from the store for a new owner.

use crate::engine::Engine;
use crate::job::JobState;
use crate::job::{Round, Step};
use crate::jobs::EndedJob;
use crate::progress_segments::{Segment, SegmentLayout};
use crate::rows::{JobRow, RowError, WorkerAddress, decode_workers};
use crate::spec::{JobId, JobSpec, StepKey};
use crate::stored_progress::{ProgressKey, StoredProgress, StoredRound};
use crate::submit::new_job;
use crate::worker::Worker;
use crate::worker_rows::is_worker_row;
use hollowford_core::Millis;
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Counts of what a recovery found in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Open jobs.
    pub open: usize,
    /// Ended jobs that are still retained.
    pub ended: usize,
    /// Workers that earlier owners may have used.
    pub workers: usize,
    /// Rows of other kinds.
    pub other: usize,
}

impl Engine {
    /// Restores the state from the partition's rows. Called once, before anything else but setting
    /// the queues.
    ///
    /// # Errors
    /// Returns an error if a row can't be decoded. The partition must not be served without that
    /// row.
    pub fn recover(
        &mut self,
        rows: &[(String, Vec<u8>)],
        now: Millis,
    ) -> Result<Recovered, RowError> {
        let mut found = Recovered::default();
        for (key, value) in rows {
            if let Some(id) = key.strip_prefix("j/") {
                self.recover_job(id, value, &mut found)?;
            } else if is_worker_row(key) {
                let list = decode_workers(value)?;
                found.workers += list.len();
                self.recover_workers(list, now);
            } else if key == crate::run_times::RUN_TIMES_KEY {
                self.recover_run_times(value, now);
            } else if !key.starts_with("p/") {
                found.other += 1;
            }
        }
        for (id, stored) in decode_progress(rows)? {
            self.recover_progress(id, &stored, now);
        }
        self.tasks_unsettled = !self.unsettled_workers.is_empty();
        if !self.tasks_unsettled {
            self.mark_settled();
        }
        Ok(found)
    }

    fn recover_job(
        &mut self,
        id: &str,
        value: &[u8],
        found: &mut Recovered,
    ) -> Result<(), RowError> {
        let id: JobId = id.parse()?;
        let mut row = JobRow::decode(value)?;
        let state = JobState::from_code(row.state)?;
        if state.is_final() {
            found.ended += 1;
            let account = self.accounts.intern(&row.account);
            self.jobs.close(id, EndedJob { state, at: Millis(row.ended_at), account });
            return Ok(());
        }
        found.open += 1;
        let spec = Arc::new(row.spec()?);
        let layout = SegmentLayout::of(&spec, self.row_limits);
        let name: Arc<str> = row.queue.as_str().into();
        let account = self.accounts.intern(&row.account);
        let accepted = (row.epoch, Millis(row.accepted_at));
        let mut job = new_job(id, (account, name), spec, layout, accepted);
        job.durable = true;
        job.acceptance_unwritten = false;
        if job.spec.schedule.is_none() {
            job.add_round(job.accepted_at);
        }
        self.jobs.insert(job);
        self.mark_job_unsettled(id);
        Ok(())
    }

    fn recover_progress(&mut self, id: JobId, stored: &StoredProgress, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else {
            // The last owner ended after the job, and before it had removed these rows.
            return self.remove_progress_rows(id, stored);
        };
        for (&segment, &rows) in &stored.segments {
            job.stored.add(segment, rows);
        }
        job.started = stored.started;
        if job.spec.schedule.is_some() {
            for (&number, r) in &stored.rounds {
                job.due_rounds = number;
                job.add_round(Millis(r.due));
            }
            job.due_rounds = job.due_rounds.max(stored.due_rounds);
        }
        let spec = job.spec.clone();
        let has_earlier_form =
            !job.layout.is_single() && stored.segments.contains_key(&Segment::Job);
        for (&number, r) in &stored.rounds {
            if let Some(round) = self.jobs.get_mut(id).and_then(|j| j.round_mut(number)) {
                recover_round(round, r, &spec);
            }
            self.recover_crash_records(id, number, r, now);
        }
        if has_earlier_form {
            self.jobs.mark_all_unwritten(id);
        }
        self.jobs.mark_all_steps_waiting(id);
        self.mark_job_unsettled(id);
    }

    fn recover_crash_records(&mut self, job: JobId, round: u32, r: &StoredRound, now: Millis) {
        for (&(step, index), t) in &r.tasks {
            let step = StepKey { job, round, step };
            if let Some(crash_record) = &t.crash_record {
                self.recover_crash_record(step.task(index), crash_record.into(), now);
            }
        }
    }

    fn mark_job_unsettled(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            let spec = job.spec.clone();
            job.rounds.iter_mut().for_each(|r| r.mark_unsettled(&spec));
        }
    }

    fn recover_workers(&mut self, list: Vec<WorkerAddress>, now: Millis) {
        for a in &list {
            let mut w = Worker::new(a.life.clone(), a.address.clone(), now);
            w.recorded = true;
            let idx = self.workers.insert(w);
            self.unsettled_workers.insert(idx);
        }
        self.recorded_workers.extend(list);
        self.stored_worker_rows += 1;
    }
}

/// Decodes the rows with the progress of jobs.
fn decode_progress(
    rows: &[(String, Vec<u8>)],
) -> Result<BTreeMap<JobId, StoredProgress>, RowError> {
    let mut values = BTreeMap::new();
    for (key, value) in rows {
        if let Some(key) = ProgressKey::parse(key)? {
            values.insert(key, value);
        }
    }
    let mut jobs: BTreeMap<JobId, StoredProgress> = BTreeMap::new();
    for (key, value) in values {
        jobs.entry(key.job).or_default().add(key, value)?;
    }
    Ok(jobs)
}

fn recover_round(round: &mut Round, stored: &StoredRound, spec: &JobSpec) {
    for (&step, failed_runs) in &stored.failed_gang_runs {
        if let Some(step) = round.steps.get_mut(step as usize) {
            step.failed_gang_runs = failed_runs.clone();
        }
    }
    for (&(step, index), t) in &stored.tasks {
        let Some(step) = round.steps.get_mut(step as usize) else { continue };
        let Some(task) = step.tasks.get_mut(index as usize) else { continue };
        task.record_run_number(t.run);
        task.copied = t.copied;
        task.failed_runs = t.failed_runs.clone();
        task.saved = (!t.saved.is_empty()).then(|| t.saved.as_str().into());
        task.done = t.done;
    }
    for &(step, index) in &stored.done {
        let step = round.steps.get_mut(step as usize);
        if let Some(task) = step.and_then(|s| s.tasks.get_mut(index as usize)) {
            task.done = true;
        }
    }
    for (step, spec) in round.steps.iter_mut().zip(&spec.steps) {
        recover_remaining(step, spec.gang);
    }
}

/// Counts the tasks that are not done. The members of a gang are done together, and it is enough
/// that the segment of one of them was stored.
fn recover_remaining(step: &mut Step, gang: bool) {
    if gang && step.tasks.iter().any(|t| t.done) {
        step.tasks.iter_mut().for_each(|t| t.done = true);
    }
    step.remaining = step.tasks.iter().filter(|t| !t.done).count() as u32;
}
