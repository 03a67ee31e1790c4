//! How fast workers answer, and how often an answer doesn't come.
//!
//! Orders and looks that get no answer are made again. How long to wait for an answer follows
//! each worker's own answer times; how long a look may wait for an end follows how often
//! answers were lost lately, since a lost one tells of no end until its time is up.

use hollowford_core::{AnswerTimes, Millis};

/// Shortest time limit of a call. Workers answer within some milliseconds; the owner itself may
/// be late by some tens.
const MIN_ANSWER_TIMEOUT: Millis = Millis(60);
/// Longest time limit of a call, and the one of a worker that has not answered yet.
const MAX_ANSWER_TIMEOUT: Millis = Millis(400);
/// The limit doubles with each call without an answer, so many times at most.
const MAX_DOUBLINGS: u32 = 3;
/// The pause after the first look without an answer; it doubles with each further one.
const MIN_LOOK_PAUSE: Millis = Millis(40);
/// The longest pause after a look without an answer.
const MAX_LOOK_PAUSE: Millis = Millis(250);

/// Weight of the newest call in the share of lost answers: some 250 calls are remembered, which
/// is about a second of a cell of 48 workers.
const LOSS_WEIGHT: f32 = 1.0 / 256.0;
/// Up to this share of lost answers looks wait for the longest time.
const MAX_RARE_LOSS_SHARE: f32 = 0.005;
/// How long a look may wait for an end. Leases are renewed at this pace, three times in one.
pub(crate) const MAX_LOOK_WAIT: Millis = Millis(1_000);
/// How long a look may wait for an end however many answers are lost.
const MIN_LOOK_WAIT: Millis = Millis(150);

/// Returns how long to wait for the next answer of a worker, after `unanswered` calls without one.
pub(crate) fn answer_timeout(times: &AnswerTimes, unanswered: u32) -> Millis {
    let Some(expected) = times.expected() else { return MAX_ANSWER_TIMEOUT };
    let doubled = expected.max(MIN_ANSWER_TIMEOUT).0 << unanswered.min(MAX_DOUBLINGS);
    Millis(doubled).min(MAX_ANSWER_TIMEOUT)
}

/// Returns the pause until the next look, after `unanswered` calls without an answer.
pub(crate) fn look_pause(unanswered: u32) -> Millis {
    let doublings = unanswered.saturating_sub(1).min(MAX_DOUBLINGS);
    Millis(MIN_LOOK_PAUSE.0 << doublings).min(MAX_LOOK_PAUSE)
}

/// The share of calls whose answers were lost lately: workers that answered the next call had
/// not answered these.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerLoss {
    share: f32,
}

impl AnswerLoss {
    /// Takes in a call that was answered, or not.
    pub fn record(&mut self, lost: bool) {
        let newest = if lost { 1.0 } else { 0.0 };
        self.share += (newest - self.share) * LOSS_WEIGHT;
    }

    /// Returns the share, in thousandths.
    pub fn permille(&self) -> u32 {
        (self.share * 1_000.0) as u32
    }

    /// Returns how long a look may wait for an end.
    pub fn max_look_wait(&self) -> Millis {
        if self.share <= MAX_RARE_LOSS_SHARE {
            return MAX_LOOK_WAIT;
        }
        let wait = MAX_LOOK_WAIT.0 as f32 * MAX_RARE_LOSS_SHARE / self.share;
        Millis(wait as u64).max(MIN_LOOK_WAIT)
    }
}
