//! Workers that fail whatever they start are put aside, and tried again.

use crate::spec::JobId;
use hollowford_core::Millis;

/// A worker is put aside after failures of different jobs, with no success between them, that are
/// so unlikely on a sound one.
const MAX_CHANCE_PROBABILITY: f32 = 1e-4;
/// Fewest and most such failures.
const FAILED_JOBS_RANGE: (usize, usize) = (2, 4);
/// Weight of the newest end in the share of failed ends: some hundreds are remembered.
const FAILURE_SHARE_WEIGHT: f32 = 1.0 / 512.0;
/// The share that is assumed at first.
const INITIAL_FAILURE_SHARE: f32 = 0.02;
/// How long a worker is first put aside.
const MIN_QUARANTINE: Millis = Millis(2_000);
/// How long it is put aside at most, after trials that failed too.
const MAX_QUARANTINE: Millis = Millis(8_000);

/// How often tasks fail in the whole partition, by faults of their own and of workers.
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
    /// Takes in that a task has ended well, or failed.
    pub fn record(&mut self, failed: bool) {
        let newest = if failed { 1.0 } else { 0.0 };
        self.share += (newest - self.share) * FAILURE_SHARE_WEIGHT;
    }

    /// Returns how many failures in a row, of different jobs, tell that a worker is not sound.
    pub fn quarantine_threshold(&self) -> usize {
        let in_a_row =
            MAX_CHANCE_PROBABILITY.ln() / self.share.clamp(MAX_CHANCE_PROBABILITY, 0.5).ln();
        (in_a_row.ceil() as usize).clamp(FAILED_JOBS_RANGE.0, FAILED_JOBS_RANGE.1)
    }
}

/// The record of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed here since the last success, each once.
    failed_jobs: Vec<JobId>,
    /// Put aside until then; after that it is on trial until a task ends well.
    quarantined_until: Option<Millis>,
    last_quarantine: Millis,
}

impl Health {
    /// Tells whether the worker may get work.
    pub fn is_available(&self, now: Millis) -> bool {
        self.quarantined_until.is_none_or(|until| until <= now)
    }

    /// Tells whether it gets one task only.
    pub fn on_trial(&self, now: Millis) -> bool {
        self.quarantined_until.is_some_and(|until| until <= now)
    }

    /// Tells whether the worker is paused or put aside at `now`.
    pub fn is_quarantined(&self, now: Millis) -> bool {
        !self.is_available(now)
    }

    /// Gives the worker nothing before `until`.
    pub fn pause(&mut self, until: Millis) {
        self.quarantined_until = Some(self.quarantined_until.map_or(until, |a| a.max(until)));
    }

    /// A task has ended well here.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.quarantined_until = None;
        self.last_quarantine = Millis(0);
    }

    /// Tells whether tasks have failed here and none has ended well since.
    pub fn is_suspect(&self) -> bool {
        !self.failed_jobs.is_empty()
    }

    /// A task of the job has failed here. Tells whether the worker is put aside by it, where
    /// `quarantine_threshold` failures in a row tell that it is not sound.
    pub fn record_failure(&mut self, job: JobId, quarantine_threshold: usize, now: Millis) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let again = self.on_trial(now);
        if !self.is_available(now) || (!again && self.failed_jobs.len() < quarantine_threshold) {
            return false;
        }
        let doubled =
            Millis((self.last_quarantine.0 * 2).clamp(MIN_QUARANTINE.0, MAX_QUARANTINE.0));
        self.last_quarantine = doubled;
        self.quarantined_until = Some(now + doubled);
        true
    }
}
