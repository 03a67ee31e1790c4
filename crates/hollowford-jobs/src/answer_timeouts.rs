//! Timeouts of calls to workers, and the share of lost answers.
//!
//! Unanswered calls are retried. The timeout follows each worker's own answer times. The time for
//! which a look may wait for an end follows the recent share of lost answers, because a lost answer
//! delays its ends until the look times out.

use hollowford_core::{AnswerTimes, Millis};

/// Minimum timeout of a call. Workers answer within a few milliseconds; the owner itself may be
/// delayed by some tens of milliseconds.
const MIN_ANSWER_TIMEOUT: Millis = Millis(60);
/// Maximum timeout of a call, also used for a worker that has not answered yet.
const MAX_ANSWER_TIMEOUT: Millis = Millis(400);
/// Maximum number of doublings of the timeout or the pause after unanswered calls.
const MAX_DOUBLINGS: u32 = 3;
/// Pause after the first unanswered look; it doubles with each further one.
const MIN_LOOK_PAUSE: Millis = Millis(40);
/// Maximum pause after an unanswered look.
const MAX_LOOK_PAUSE: Millis = Millis(250);

/// Weight of the newest call in the share of lost answers: it averages over about 250 calls, one
/// second in a cell of 48 workers.
const LOSS_WEIGHT: f32 = 1.0 / 256.0;
/// Largest share of lost answers at which looks wait for [`MAX_LOOK_WAIT`].
const MAX_RARE_LOSS_SHARE: f32 = 0.005;
/// Maximum time that a look waits for an end. Looks renew leases; with this wait, a lease is
/// renewed three times before it expires.
pub(crate) const MAX_LOOK_WAIT: Millis = Millis(1_000);
/// Minimum time that a look waits for an end, however many answers are lost.
const MIN_LOOK_WAIT: Millis = Millis(150);

/// Returns the timeout of the next call to a worker after `unanswered` calls without an answer.
pub(crate) fn answer_timeout(times: &AnswerTimes, unanswered: u32) -> Millis {
    let Some(expected) = times.expected() else { return MAX_ANSWER_TIMEOUT };
    let doubled = expected.max(MIN_ANSWER_TIMEOUT).0 << unanswered.min(MAX_DOUBLINGS);
    Millis(doubled).min(MAX_ANSWER_TIMEOUT)
}

/// Returns the pause before the next look after `unanswered` calls without an answer.
pub(crate) fn look_pause(unanswered: u32) -> Millis {
    let doublings = unanswered.saturating_sub(1).min(MAX_DOUBLINGS);
    Millis(MIN_LOOK_PAUSE.0 << doublings).min(MAX_LOOK_PAUSE)
}

/// The recent share of calls whose answers were lost: the worker didn't answer them but answered a
/// later one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerLoss {
    share: f32,
}

impl AnswerLoss {
    /// Records whether the answer to a call was lost.
    pub fn record(&mut self, lost: bool) {
        let newest = if lost { 1.0 } else { 0.0 };
        self.share += (newest - self.share) * LOSS_WEIGHT;
    }

    /// Returns the share in thousandths.
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
