//! Submission, cancellation and state of jobs.

use crate::accounts::{AccountIdx, NO_ACCOUNT};
use crate::batch::URGENT_JOBS_PER_BATCH;
use crate::engine::Engine;
use crate::event::Event;
use crate::job::{Job, JobState};
use crate::jobs::EndedJob;
use crate::progress_segments::{SegmentLayout, StoredSegments, UnwrittenSegments};
use crate::spec::{JobId, JobSpec};
use hollowford_core::Millis;
use std::sync::Arc;

/// Outcome of submitting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// The job's acceptance is already in the store.
    Durable,
    /// The job is accepted once its batch is in the store.
    Pending,
    /// The queue doesn't exist.
    UnknownQueue,
    /// The id belongs to a job of another account. The job is rejected.
    OtherAccount,
}

/// Outcome of cancelling a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAnswer {
    /// The job has already ended.
    Ended,
    /// The job is cancelled once its batch is in the store.
    Pending,
    /// The job is unknown.
    UnknownJob,
}

impl Engine {
    /// Accepts a job of a client account. A known job remains unchanged and is visible only to its
    /// own account.
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
            return if job.durable { SubmitAnswer::Durable } else { SubmitAnswer::Pending };
        }
        let Some(queue) = self.queues.get(queue).map(|q| q.name.clone()) else {
            return SubmitAnswer::UnknownQueue;
        };
        let steps = spec.steps.len();
        let account = self.accounts.intern(account);
        let name = self.accounts.name(account).clone();
        let is_guaranteed = self.accounts.record_job(account, now);
        let layout = SegmentLayout::of(&spec, self.row_limits);
        let mut job = new_job(id, (account, queue.clone()), spec, layout, (self.epoch, now));
        job.guaranteed = is_guaranteed;
        if job.spec.schedule.is_none() {
            job.add_round(now);
        }
        self.jobs.insert(job);
        self.jobs.write_queue.add_urgent(id);
        self.stats.accepted += 1;
        self.stats.unowed += u64::from(!is_guaranteed);
        self.events.push(Event::JobAccepted { job: id, account: name, queue, steps });
        self.needs_pass = true;
        SubmitAnswer::Pending
    }

    /// Cancels a job: stops its running tasks and starts no more.
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

    /// Returns true if an account may query or cancel a job: its own jobs, unknown jobs, and jobs
    /// without an account.
    pub fn may_access(&self, id: JobId, account: &str) -> bool {
        self.account_of(id).is_none_or(|owner| owner == account || owner == NO_ACCOUNT)
    }

    /// Returns whether a job's acceptance is in the store, or `None` if the job is unknown.
    pub fn is_durable(&self, id: JobId) -> Option<bool> {
        if self.jobs.ended(id).is_some() {
            return Some(true);
        }
        self.jobs.get(id).map(|j| j.durable)
    }

    /// Returns a job's state without changes that are not in the store yet. `None` if the job is
    /// unknown or its acceptance is not in the store.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(ended) = self.jobs.ended(id) {
            return Some(ended.state);
        }
        let job = self.jobs.get(id).filter(|j| j.durable)?;
        Some(if job.started { JobState::Running } else { JobState::Queued })
    }

    /// Returns true if a job's end is decided but not in the store yet.
    pub fn is_ending(&self, id: JobId) -> bool {
        self.jobs.get(id).is_some_and(|j| j.end.is_some())
    }

    /// Returns the number of the queue's durably accepted jobs of which no task has started.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let is_waiting =
            |j: &&Job| &*j.queue == queue && j.durable && !j.started && j.end.is_none();
        self.jobs.open().filter(is_waiting).count()
    }

    /// Withdraws the jobs whose acceptance was not sent to the store, and returns them. None of
    /// their tasks has run or will run.
    pub fn withdraw_unsent(&mut self) -> Vec<JobId> {
        let unsent: Vec<_> =
            self.jobs.open().filter(|j| j.acceptance_unwritten).map(|j| j.id).collect();
        unsent.iter().for_each(|&id| self.remove_withdrawn(id));
        unsent
    }

    /// Withdraws a job whose acceptance was not sent to the store. Returns true if it was
    /// withdrawn: none of its tasks has run or will run.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let unsent = self.jobs.get(id).is_some_and(|j| j.acceptance_unwritten);
        if unsent {
            self.remove_withdrawn(id);
        }
        unsent
    }

    fn remove_withdrawn(&mut self, id: JobId) {
        self.jobs.remove(id);
        self.events.push(Event::JobWithdrawn { job: id });
    }

    /// Returns how many batches have to be written until a job submitted now is accepted, including
    /// the batch with its acceptance.
    pub fn batches_ahead(&self) -> u64 {
        (self.jobs.write_queue.urgent_len() / URGENT_JOBS_PER_BATCH + 1) as u64
    }

    /// Decides a job's final state, unless it is already decided. Callers see the state once it is
    /// in the store.
    pub(crate) fn end_job(&mut self, id: JobId, state: JobState, now: Millis) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.end.is_none()) else {
            return;
        };
        job.end = Some(state);
        let age = now.since(job.accepted_at);
        self.events.push(Event::JobEnded { job: id, state, age });
        self.jobs.write_queue.add_urgent(id);
        if state != JobState::Completed {
            self.stop_job(id);
        }
        self.needs_pass = true;
    }

    /// Replaces an open job, whose final state is now in the store, by that state.
    pub(crate) fn close_job(&mut self, id: JobId, state: JobState, at: Millis) {
        let Some(account) = self.jobs.get(id).map(|j| j.account) else { return };
        self.jobs.close(id, EndedJob { state, at, account });
    }
}

/// Creates a job without rounds whose acceptance has to be written.
pub(crate) fn new_job(
    id: JobId,
    (account, queue): (AccountIdx, Arc<str>),
    spec: Arc<JobSpec>,
    layout: SegmentLayout,
    (epoch, accepted_at): (u64, Millis),
) -> Job {
    Job {
        id,
        queue,
        account,
        guaranteed: true,
        spec,
        epoch,
        accepted_at,
        durable: false,
        rounds: Vec::new(),
        due_rounds: 0,
        started: false,
        end: None,
        acceptance_unwritten: true,
        layout,
        unwritten: UnwrittenSegments::default(),
        stored: StoredSegments::default(),
        has_crash_record: false,
        ends: Vec::new(),
    }
}
