//! Quarantines workers on which tasks keep failing, and tries them again later.

use crate::spec::JobId;
use hollowford_core::Millis;

/// Probability of the same failures in a row on a healthy worker at which a worker is quarantined.
const MAX_CHANCE_PROBABILITY: f32 = 1e-4;
/// Minimum and maximum number of failed jobs in a row that quarantine a worker.
const FAILED_JOBS_RANGE: (usize, usize) = (2, 4);
/// Weight of the newest end in the failure share; it averages over several hundred ends.
const FAILURE_SHARE_WEIGHT: f32 = 1.0 / 512.0;
/// Failure share that is assumed at first.
const INITIAL_FAILURE_SHARE: f32 = 0.02;
/// Duration of a worker's first quarantine.
const MIN_QUARANTINE: Millis = Millis(2_000);
/// Maximum quarantine; the duration doubles with each failed trial.
const MAX_QUARANTINE: Millis = Millis(8_000);

/// Share of tasks that fail in the whole partition, whether through the task or the worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureRate {
    share: f32,
}

impl Default for FailureRate {
    fn default() -> FailureRate {
        FailureRate { share: INITIAL_FAILURE_SHARE }
    }
}

impl FailureRate {
    /// Records whether a task has failed or succeeded.
    pub fn record(&mut self, failed: bool) {
        let newest = if failed { 1.0 } else { 0.0 };
        self.share += (newest - self.share) * FAILURE_SHARE_WEIGHT;
    }

    /// Returns the number of different jobs that have to fail in a row for a worker to be
    /// quarantined.
    pub fn quarantine_threshold(&self) -> usize {
        let in_a_row =
            MAX_CHANCE_PROBABILITY.ln() / self.share.clamp(MAX_CHANCE_PROBABILITY, 0.5).ln();
        (in_a_row.ceil() as usize).clamp(FAILED_JOBS_RANGE.0, FAILED_JOBS_RANGE.1)
    }
}

/// Failure record of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs of which a task failed here since the last success, each once.
    failed_jobs: Vec<JobId>,
    /// End of the quarantine or pause. After that the worker is on trial until a task succeeds.
    quarantined_until: Option<Millis>,
    last_quarantine: Millis,
}

impl Health {
    /// Returns true if the worker may get tasks.
    pub fn is_available(&self, now: Millis) -> bool {
        self.quarantined_until.is_none_or(|until| until <= now)
    }

    /// Returns true if the worker may get only one task at a time.
    pub fn on_trial(&self, now: Millis) -> bool {
        self.quarantined_until.is_some_and(|until| until <= now)
    }

    /// Returns true if the worker is paused or quarantined at `now`.
    pub fn is_quarantined(&self, now: Millis) -> bool {
        !self.is_available(now)
    }

    /// Keeps new tasks off the worker until `until`.
    pub fn pause(&mut self, until: Millis) {
        self.quarantined_until =
            Some(self.quarantined_until.map_or(until, |current| current.max(until)));
    }

    /// Records that a task has succeeded.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.quarantined_until = None;
        self.last_quarantine = Millis(0);
    }

    /// Returns true if tasks have failed here and none has succeeded since.
    pub fn is_suspect(&self) -> bool {
        !self.failed_jobs.is_empty()
    }

    /// Records that a task of `job` has failed. Returns true if this quarantines the worker: it was
    /// on trial, or `quarantine_threshold` jobs have failed in a row.
    pub fn record_failure(&mut self, job: JobId, quarantine_threshold: usize, now: Millis) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let was_on_trial = self.on_trial(now);
        if !self.is_available(now)
            || (!was_on_trial && self.failed_jobs.len() < quarantine_threshold)
        {
            return false;
        }
        let doubled =
            Millis((self.last_quarantine.0 * 2).clamp(MIN_QUARANTINE.0, MAX_QUARANTINE.0));
        self.last_quarantine = doubled;
        self.quarantined_until = Some(now + doubled);
        true
    }
}
