//! Workers that fail whatever they start are put aside, and tried again.

use crate::spec::JobId;
use hollowford_core::Millis;

/// Failures of so many different jobs, with no success between them, put a worker aside. With
/// one task in twenty failing by itself, three in a row are rare on a sound worker.
const FAILING_JOBS: usize = 3;
/// How long a worker is first put aside.
const FIRST_ASIDE: Millis = Millis(2_000);
/// How long it is put aside at most, after trials that failed too.
const LONGEST_ASIDE: Millis = Millis(8_000);

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

    /// A task of the job has failed here. Tells whether the worker is put aside by it.
    pub fn failure(&mut self, job: JobId, now: Millis) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        let again = self.on_trial(now);
        if !self.ok(now) || (!again && self.failed.len() < FAILING_JOBS) {
            return false;
        }
        let doubled = Millis((self.last_aside.0 * 2).clamp(FIRST_ASIDE.0, LONGEST_ASIDE.0));
        self.last_aside = doubled;
        self.aside_until = Some(now + doubled);
        true
    }
}
