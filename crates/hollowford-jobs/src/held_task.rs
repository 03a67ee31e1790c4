//! A task that takes room on a worker, as the owner knows it.

use crate::accounts::AccountIdx;
use crate::crashes::{CLEARING_RUN_TIME, FRESH_PERIOD};
use crate::spec::TaskKey;
use hollowford_core::{Millis, Resources};

/// Pace of a task that nothing slows down, in percent.
pub(crate) const FULL_PACE: u32 = 100;

/// How far the owner knows a placement to have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Ordered, not answered yet.
    Starting,
    /// The worker has said that it runs.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// A task that takes room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct HeldTask {
    pub task: TaskKey,
    pub run: u32,
    /// The client account that it runs for.
    pub account: AccountIdx,
    pub allocation: Resources,
    /// Workers have crashed under it before.
    pub suspect: bool,
    /// It has worked for a while: a crash now is not one soon after its start.
    pub is_stable: bool,
    /// It has worked for long enough not to be suspect.
    pub cleared: bool,
    pub phase: Phase,
    /// When it was ordered, or found.
    pub since: Millis,
    /// When it is expected to end.
    pub expected_end: Millis,
    /// Percent of its work that is done.
    pub progress: u32,
    /// Share of its full pace that it may work at, in percent, as it was ordered last.
    pub pace: u32,
    /// Share that it should work at.
    pub desired_pace: u32,
    /// When the progress was seen to change last.
    pub progressed_at: Millis,
    /// Progress and time when it was first seen to run.
    pub first_progress: Option<(u32, Millis)>,
    /// Its start is ordered once the store has the row that tells of it.
    pub unsent: bool,
    /// An order for it is under way.
    pub call_in_flight: bool,
    /// A start got no answer: that copy may be carried out later.
    pub start_unanswered: bool,
    /// A stop was answered: it ends, or will never start.
    pub stop_answered: bool,
}

impl HeldTask {
    /// Makes what takes `room` for an account in `phase` from `now` on. Its end is expected at
    /// once; callers that know better say so.
    pub fn new(
        (task, run): (TaskKey, u32),
        account: AccountIdx,
        room: Resources,
        phase: Phase,
        now: Millis,
    ) -> HeldTask {
        HeldTask {
            task,
            run,
            account,
            allocation: room,
            suspect: false,
            is_stable: false,
            cleared: false,
            phase,
            since: now,
            expected_end: now,
            progress: 0,
            pace: FULL_PACE,
            desired_pace: FULL_PACE,
            progressed_at: now,
            first_progress: None,
            unsent: false,
            call_in_flight: false,
            start_unanswered: false,
            stop_answered: false,
        }
    }

    /// Takes in that a start that was ordered has come about.
    pub fn mark_begun(&mut self, now: Millis) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Running;
            self.since = now;
        }
    }

    /// Tells once that it has worked for a while.
    pub fn becomes_stable(&mut self, now: Millis) -> bool {
        let newly = !self.is_stable && now.since(self.since) >= FRESH_PERIOD;
        self.is_stable |= newly;
        newly
    }

    /// Tells once that it has worked for so long that its start has crashed nothing.
    pub fn becomes_cleared(&mut self, now: Millis) -> bool {
        let newly = !self.cleared && now.since(self.since) >= CLEARING_RUN_TIME;
        self.cleared |= newly;
        newly
    }
}
