//! Restores a partition's state from the store for a new owner.

use crate::engine::Engine;
use crate::job::JobState;
use crate::jobs::EndedJob;
use crate::progress_rows::{ProgressRow, RoundRow};
use crate::rows::{JobRow, RowError, WorkerAddress, decode_workers};
use crate::spec::{JobId, StepKey};
use crate::submit::new_job;
use crate::worker::Worker;
use hollowford_core::Millis;
use prost::Message;
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
            } else if key == crate::batch::WORKERS_KEY {
                let list = decode_workers(value)?;
                found.workers = list.len();
                self.recover_workers(list, now);
            } else if key == crate::run_times::RUN_TIMES_KEY {
                self.recover_run_times(value, now);
            } else if !key.starts_with("p/") {
                found.other += 1;
            }
        }
        for (key, value) in rows {
            if let Some(id) = key.strip_prefix("p/") {
                self.recover_progress(id.parse()?, &ProgressRow::decode(&value[..])?, now);
            }
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
        let name: Arc<str> = row.queue.as_str().into();
        let account = self.accounts.intern(&row.account);
        let mut job = new_job(id, (account, name), spec, row.epoch, Millis(row.accepted_at));
        job.durable = true;
        job.acceptance_unwritten = false;
        if job.spec.schedule.is_none() {
            job.add_round(job.accepted_at);
        }
        self.jobs.insert(job);
        self.mark_job_unsettled(id);
        Ok(())
    }

    fn recover_progress(&mut self, id: JobId, row: &ProgressRow, now: Millis) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.has_progress_row = true;
        job.started = row.started;
        if job.spec.schedule.is_some() {
            for r in &row.rounds {
                job.due_rounds = r.number;
                job.add_round(Millis(r.due));
            }
            job.due_rounds = row.due_rounds;
        }
        for r in &row.rounds {
            self.recover_round(id, r);
            self.recover_crash_records(id, r, now);
        }
        self.jobs.mark_all_steps_waiting(id);
        self.mark_job_unsettled(id);
    }

    fn recover_round(&mut self, id: JobId, row: &RoundRow) {
        let Some(round) = self.jobs.get_mut(id).and_then(|j| j.round_mut(row.number)) else {
            return;
        };
        for g in &row.gangs {
            if let Some(step) = round.steps.get_mut(g.step as usize) {
                step.failed_gang_runs = g.failed_runs.clone();
            }
        }
        for t in &row.tasks {
            let Some(step) = round.steps.get_mut(t.step as usize) else { continue };
            let Some(task) = step.tasks.get_mut(t.index as usize) else { continue };
            task.record_run_number(t.run);
            task.copied = t.copied;
            task.failed_runs = t.failed_runs.clone();
            task.done = t.done;
            task.saved = (!t.saved.is_empty()).then(|| t.saved.as_str().into());
            step.remaining -= u32::from(t.done);
        }
    }

    fn recover_crash_records(&mut self, job: JobId, row: &RoundRow, now: Millis) {
        for t in &row.tasks {
            let step = StepKey { job, round: row.number, step: t.step };
            if let Some(crash_record) = &t.crash_record {
                self.recover_crash_record(step.task(t.index), crash_record.into(), now);
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
        self.recorded_workers = list;
    }
}
