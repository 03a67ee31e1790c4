//! Jobs come in, are cancelled, and are asked for.

use crate::accounts::{AccountIdx, NO_ACCOUNT};
use crate::batch::WANTED_IN_BATCH;
use crate::engine::Engine;
use crate::job::{Job, JobState};
use crate::jobs::Ended;
use crate::note::Note;
use crate::spec::{JobId, JobSpec};
use hollowford_core::Millis;
use std::sync::Arc;

/// What came of handing in a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// It is kept already.
    Durable,
    /// It is kept once the next batch is in the store.
    Pending,
    /// There is no such queue.
    UnknownQueue,
    /// The id is that of another account's job. Nothing was taken.
    OtherAccount,
}

/// What came of cancelling a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// It has ended, by this or before.
    Ended,
    /// It is cancelled once the next batch is in the store.
    Pending,
    /// There is no such job.
    UnknownJob,
}

impl Engine {
    /// Takes a job of a client account. A job that is known already remains as it is, and is told
    /// of to its own account only.
    pub fn submit(
        &mut self,
        id: JobId,
        account: &str,
        queue: &str,
        spec: Arc<JobSpec>,
        now: Millis,
    ) -> SubmitAnswer {
        if !self.may_access(id, account) {
            return SubmitAnswer::OtherAccount;
        }
        if self.jobs.ended(id).is_some() {
            return SubmitAnswer::Durable;
        }
        if let Some(job) = self.jobs.get(id) {
            return if job.kept { SubmitAnswer::Durable } else { SubmitAnswer::Pending };
        }
        let Some(queue) = self.queues.get(queue).map(|q| q.name.clone()) else {
            return SubmitAnswer::UnknownQueue;
        };
        let steps = spec.steps.len();
        let account = self.accounts.intern(account);
        let name = self.accounts.name(account).clone();
        let owed = self.accounts.record_job(account, now);
        let mut job = new_job(id, (account, queue.clone()), spec, self.epoch, now);
        job.owed = owed;
        if job.spec.schedule.is_none() {
            job.add_round(now);
        }
        self.jobs.insert(job);
        self.jobs.dirty.want(id);
        self.stats.accepted += 1;
        self.stats.unowed += u64::from(!owed);
        self.notes.push(Note::Accepted { job: id, account: name, queue, steps });
        self.needs_pass = true;
        SubmitAnswer::Pending
    }

    /// Cancels a job: nothing of it is started any more, and what runs is stopped.
    pub fn cancel(&mut self, id: JobId, now: Millis) -> CancelAnswer {
        if self.jobs.ended(id).is_some() {
            return CancelAnswer::Ended;
        }
        if self.jobs.get(id).is_none() {
            return CancelAnswer::UnknownJob;
        }
        self.end_job(id, JobState::Cancelled, now);
        CancelAnswer::Pending
    }

    /// Tells whether an account may ask for a job or cancel it: its own, one that isn't known, and
    /// one that belongs to none.
    pub fn may_access(&self, id: JobId, account: &str) -> bool {
        self.account_of(id).is_none_or(|owner| owner == account || owner == NO_ACCOUNT)
    }

    /// Tells whether a job's acceptance is in the store; none when it is not known.
    pub fn is_durable(&self, id: JobId) -> Option<bool> {
        if self.jobs.ended(id).is_some() {
            return Some(true);
        }
        self.jobs.get(id).map(|j| j.kept)
    }

    /// Returns a job's state, as far as it is in the store.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(ended) = self.jobs.ended(id) {
            return Some(ended.state);
        }
        let job = self.jobs.get(id).filter(|j| j.kept)?;
        Some(if job.begun { JobState::Running } else { JobState::Queued })
    }

    /// Tells whether a job's end is decided and not in the store yet.
    pub fn is_ending(&self, id: JobId) -> bool {
        self.jobs.get(id).is_some_and(|j| j.end.is_some())
    }

    /// Counts the queue's kept jobs none of whose tasks has begun.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let waits = |j: &&Job| &*j.queue == queue && j.kept && !j.begun && j.end.is_none();
        self.jobs.open().filter(waits).count()
    }

    /// Takes back jobs whose acceptance was not sent to the store, and returns them: nothing
    /// of them has run or will.
    pub fn withdraw_unsent(&mut self) -> Vec<JobId> {
        let unsent: Vec<_> = self.jobs.open().filter(|j| j.unwritten).map(|j| j.id).collect();
        unsent.iter().for_each(|&id| self.remove_withdrawn(id));
        unsent
    }

    /// Takes back one job, if its acceptance was not sent to the store. Tells whether it was:
    /// then nothing of it has run or will.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let unsent = self.jobs.get(id).is_some_and(|j| j.unwritten);
        if unsent {
            self.remove_withdrawn(id);
        }
        unsent
    }

    fn remove_withdrawn(&mut self, id: JobId) {
        self.jobs.remove(id);
        self.notes.push(Note::Withdrawn { job: id });
    }

    /// Returns how many batches are to be written until an acceptance that comes now is, with
    /// its own.
    pub fn batches_ahead(&self) -> u64 {
        (self.jobs.dirty.wanted_len() / WANTED_IN_BATCH + 1) as u64
    }

    /// Decides how a job ends. It is shown once it is in the store.
    pub(crate) fn end_job(&mut self, id: JobId, state: JobState, now: Millis) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.end.is_none()) else {
            return;
        };
        job.end = Some(state);
        let age = now.since(job.accepted_at);
        self.notes.push(Note::JobEnds { job: id, state, age });
        self.jobs.dirty.want(id);
        if state != JobState::Completed {
            self.stop_job(id);
        }
        self.needs_pass = true;
    }

    /// Replaces a job whose end is in the store.
    pub(crate) fn close_job(&mut self, id: JobId, state: JobState, at: Millis) {
        let Some(account) = self.jobs.get(id).map(|j| j.account) else { return };
        self.jobs.close(id, Ended { state, at, account });
    }
}

/// Makes a job without rounds.
pub(crate) fn new_job(
    id: JobId,
    (account, queue): (AccountIdx, Arc<str>),
    spec: Arc<JobSpec>,
    epoch: u64,
    accepted_at: Millis,
) -> Job {
    Job {
        id,
        queue,
        account,
        owed: true,
        spec,
        epoch,
        accepted_at,
        kept: false,
        rounds: Vec::new(),
        due_rounds: 0,
        begun: false,
        end: None,
        unwritten: true,
        progressed: false,
        has_progress: false,
        rows_cut: 0,
        is_tracked: false,
        ends: Vec::new(),
    }
}
