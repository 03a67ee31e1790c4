//! Workers that fail whatever they start are put aside, and tried again.

use crate::spec::JobId;
use hollowford_core::Millis;

/// A worker is put aside after failures of different jobs, with no success between them, that are
/// so unlikely on a sound one.
const UNLIKELY: f32 = 1e-4;
/// Fewest and most such failures.
const FAILING_JOBS: (usize, usize) = (2, 4);
/// Weight of the newest end in the share of failed ends: some hundreds are remembered.
const SHARE_WEIGHT: f32 = 1.0 / 512.0;
/// The share that is assumed at first.
const USUAL_SHARE: f32 = 0.02;
/// How long a worker is first put aside.
const FIRST_ASIDE: Millis = Millis(2_000);
/// How long it is put aside at most, after trials that failed too.
const LONGEST_ASIDE: Millis = Millis(8_000);

/// How often tasks fail in the whole partition, by faults of their own and of workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failures {
    share: f32,
}

impl Default for Failures {
    fn default() -> Failures {
        Failures { share: USUAL_SHARE }
    }
}

impl Failures {
    /// Takes in that a task has ended well, or failed.
    pub fn note(&mut self, failed: bool) {
        let newest = if failed { 1.0 } else { 0.0 };
        self.share += (newest - self.share) * SHARE_WEIGHT;
    }

    /// Returns how many failures in a row, of different jobs, tell that a worker is not sound.
    pub fn telling(&self) -> usize {
        let in_a_row = UNLIKELY.ln() / self.share.clamp(UNLIKELY, 0.5).ln();
        (in_a_row.ceil() as usize).clamp(FAILING_JOBS.0, FAILING_JOBS.1)
    }
}

/// The record of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed here since the last success, each once.
    failed: Vec<JobId>,
    /// Put aside until then; after that it is on trial until a task ends well.
    aside_until: Option<Millis>,
    last_aside: Millis,
}

impl Health {
    /// Tells whether the worker may get work.
    pub fn ok(&self, now: Millis) -> bool {
        self.aside_until.is_none_or(|until| until <= now)
    }

    /// Tells whether it gets one task only.
    pub fn on_trial(&self, now: Millis) -> bool {
        self.aside_until.is_some_and(|until| until <= now)
    }

    /// Tells whether the worker is paused or put aside at `now`.
    pub fn is_aside(&self, now: Millis) -> bool {
        !self.ok(now)
    }

    /// Gives the worker nothing before `until`.
    pub fn pause(&mut self, until: Millis) {
        self.aside_until = Some(self.aside_until.map_or(until, |a| a.max(until)));
    }

    /// A task has ended well here.
    pub fn success(&mut self) {
        self.failed.clear();
        self.aside_until = None;
        self.last_aside = Millis(0);
    }

    /// Tells whether tasks have failed here and none has ended well since.
    pub fn is_suspect(&self) -> bool {
        !self.failed.is_empty()
    }

    /// A task of the job has failed here. Tells whether the worker is put aside by it, where
    /// `telling` failures in a row tell that it is not sound.
    pub fn failure(&mut self, job: JobId, telling: usize, now: Millis) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        let again = self.on_trial(now);
        if !self.ok(now) || (!again && self.failed.len() < telling) {
            return false;
        }
        let doubled = Millis((self.last_aside.0 * 2).clamp(FIRST_ASIDE.0, LONGEST_ASIDE.0));
        self.last_aside = doubled;
        self.aside_until = Some(now + doubled);
        true
    }
}
