//! A task that occupies resources on a worker.

use crate::accounts::AccountIdx;
use crate::crashes::{CLEARING_RUN_TIME, FRESH_PERIOD};
use crate::spec::TaskKey;
use hollowford_core::{Millis, Resources};

/// Pace of a task that is not slowed down, in percent.
pub(crate) const FULL_PACE: u32 = 100;

/// State of a run as the owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// A start was ordered and not answered.
    Starting,
    /// The worker has confirmed that it runs.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// A run that occupies resources on a worker.
#[derive(Clone, Debug)]
pub(crate) struct HeldTask {
    pub task: TaskKey,
    pub run: u32,
    /// The client account of its job.
    pub account: AccountIdx,
    pub allocation: Resources,
    /// Whether workers have crashed under the task before.
    pub suspect: bool,
    /// Whether its step allows copies.
    pub may_be_copied: bool,
    /// Whether its task had another run when it was started or found.
    pub is_copy: bool,
    /// Whether it has run for [`FRESH_PERIOD`]: a crash after that doesn't count as one shortly
    /// after the start.
    pub is_stable: bool,
    /// Whether it has run for [`CLEARING_RUN_TIME`], which clears its task of suspicion.
    pub cleared: bool,
    pub phase: Phase,
    /// When it was ordered, adopted or confirmed as running, or when its last stop call was made or
    /// answered.
    pub since: Millis,
    pub expected_end: Millis,
    /// Completed share of its work, in percent.
    pub progress: u32,
    /// Pace that was ordered last, in percent of full pace.
    pub pace: u32,
    /// Pace that it should have, in percent of full pace.
    pub desired_pace: u32,
    /// When its progress was last reported.
    pub reported_at: Millis,
    /// When the reported progress last changed.
    pub progressed_at: Millis,
    /// Progress and time of the first report that it runs.
    pub first_progress: Option<(u32, Millis)>,
    /// When its worker confirmed that it has started from the beginning. `None` if that time is
    /// not known exactly, or if it resumed from a checkpoint.
    pub measured_from: Option<Millis>,
    /// Whether it resumes from a checkpoint.
    pub resumed: bool,
    /// Whether its progress has given a sample of its worker's slowness.
    pub has_slowness_sample: bool,
    /// Its start is held back until the row that records it is stored.
    pub unsent: bool,
    /// Whether a call about it is in flight.
    pub call_in_flight: bool,
    /// Whether a start got no answer, so that the worker may still execute it.
    pub start_unanswered: bool,
    /// Whether a stop was answered: the run ends or never starts.
    pub stop_answered: bool,
}

impl HeldTask {
    /// Creates a held run that occupies `allocation` from `now` on. Its end is expected at `now`;
    /// callers set a better estimate.
    pub fn new(
        (task, run): (TaskKey, u32),
        account: AccountIdx,
        allocation: Resources,
        phase: Phase,
        now: Millis,
    ) -> HeldTask {
        HeldTask {
            task,
            run,
            account,
            allocation,
            suspect: false,
            may_be_copied: false,
            is_copy: false,
            is_stable: false,
            cleared: false,
            phase,
            since: now,
            expected_end: now,
            progress: 0,
            pace: FULL_PACE,
            desired_pace: FULL_PACE,
            reported_at: now,
            progressed_at: now,
            first_progress: None,
            measured_from: None,
            resumed: false,
            has_slowness_sample: false,
            unsent: false,
            call_in_flight: false,
            start_unanswered: false,
            stop_answered: false,
        }
    }

    /// Records that the worker has started it.
    pub fn mark_started(&mut self, now: Millis) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Running;
            self.since = now;
            let is_exact = !self.resumed && !self.start_unanswered;
            self.measured_from = is_exact.then_some(now);
        }
    }

    /// Returns when it is expected to end. A task that is overdue is expected to take as long again
    /// as it is overdue, since the run times of tasks have a long tail.
    pub fn remaining_until(&self, now: Millis) -> Millis {
        self.expected_end.max(now + now.since(self.expected_end))
    }

    /// Returns true once, when it has run for [`FRESH_PERIOD`].
    pub fn becomes_stable(&mut self, now: Millis) -> bool {
        let newly = !self.is_stable && now.since(self.since) >= FRESH_PERIOD;
        self.is_stable |= newly;
        newly
    }

    /// Returns true once, when it has run for [`CLEARING_RUN_TIME`].
    pub fn becomes_cleared(&mut self, now: Millis) -> bool {
        let newly = !self.cleared && now.since(self.since) >= CLEARING_RUN_TIME;
        self.cleared |= newly;
        newly
    }
}
