//! Timing of the store calls for a batch: repeated write attempts, and reads of its lane's row.
//!
//! The store executes the transactions of a part one after the other, so an unnecessary attempt
//! delays the next batch. The lane's row is therefore read first, which doesn't queue behind
//! transactions: it shows whether the batch was committed although the answer was lost, and the
//! duration of the read shows how slow the store is.

use hollowford_core::{AnswerTimes, Millis};

/// Minimum time without an answer before the lane's row is read, and between two reads. The store
/// usually answers within 10 to 25 ms.
const MIN_READ_DELAY: Millis = Millis(40);
/// Maximum time without an answer before the lane's row is read. An answer may be lost together
/// with its connection.
const MAX_READ_DELAY: Millis = Millis(150);
/// After a read that doesn't show the batch, it is sent again once the last attempt is older than
/// this many times the duration of the read. A transaction takes longer than a read because it
/// queues behind others.
const RETRY_DELAY_FACTOR: u64 = 5;
/// Time after which the batch is sent again if no read has been answered; a read may be lost, too.
const UNREAD_RETRY_DELAY: Millis = Millis(1_000);
/// Interval of the attempts while the store answers nothing. One of them should reach the store
/// soon after it returns, and each costs little.
const OUTAGE_RETRY_INTERVAL: Millis = Millis(200);
/// A store that has answered nothing for this long is unavailable.
const STORE_OUTAGE_TIMEOUT: Millis = Millis(1_000);
/// Minimum time between two calls.
const MIN_WAIT: Millis = Millis(5);
/// Maximum number of attempts in flight: enough for one every 0.2 s for as long as an attempt may
/// take, with some to spare.
const MAX_ATTEMPTS_IN_FLIGHT: usize = 16;
/// Number of refused attempts after which the batch counts as refused. The store may refuse single
/// calls when many arrive at once.
const MAX_REFUSALS: u32 = 3;

/// Returns how long to wait for the answer to an attempt before reading the lane's row, based on
/// recent response times. Callers wait for two batches, so a fixed delay would slow each of them
/// down while many answers are lost.
pub fn read_delay(answers: &AnswerTimes) -> Millis {
    let expected = answers.expected().unwrap_or(MAX_READ_DELAY);
    expected.clamp(MIN_READ_DELAY, MAX_READ_DELAY)
}

/// The store calls made for one batch.
#[derive(Debug)]
pub struct Retries {
    /// Number of attempts without an answer.
    attempts_in_flight: usize,
    /// When the last attempt was sent.
    last_attempt_at: Millis,
    /// See [`read_delay`].
    read_delay: Millis,
    read_in_flight: bool,
    next_read_at: Millis,
    /// Duration of the last read, if it did not show the batch.
    last_read_duration: Option<Millis>,
    /// Number of failed attempts.
    failures: u32,
    /// Whether one of the failed attempts may have been committed.
    maybe_committed: bool,
}

impl Retries {
    /// Starts the timing with the first attempt, sent at `now`.
    pub fn new(now: Millis, read_delay: Millis) -> Retries {
        Retries {
            attempts_in_flight: 1,
            last_attempt_at: now,
            read_delay,
            read_in_flight: false,
            next_read_at: now + read_delay,
            last_read_duration: None,
            failures: 0,
            maybe_committed: false,
        }
    }

    /// Returns when the next attempt is due if no answer arrives before. `store_age` is the time
    /// since the last answer of the store to any call.
    fn next_attempt_at(&self, store_age: Millis) -> Option<Millis> {
        if self.attempts_in_flight >= MAX_ATTEMPTS_IN_FLIGHT {
            return None;
        }
        if store_age >= STORE_OUTAGE_TIMEOUT {
            return Some(self.last_attempt_at + OUTAGE_RETRY_INTERVAL);
        }
        let read = |took: Millis| Millis(took.0 * RETRY_DELAY_FACTOR).max(self.read_delay);
        Some(self.last_attempt_at + self.last_read_duration.map_or(UNREAD_RETRY_DELAY, read))
    }

    /// Returns true if the next call should be an attempt rather than a read.
    pub fn attempt_is_due(&self, store_age: Millis, now: Millis) -> bool {
        self.next_attempt_at(store_age).is_some_and(|at| at <= now)
    }

    /// Returns how long to wait for answers before the next call.
    pub fn time_to_next_call(&self, store_age: Millis, now: Millis) -> Millis {
        let next_read_at = if self.read_in_flight {
            self.next_read_at + STORE_OUTAGE_TIMEOUT
        } else {
            self.next_read_at
        };
        let at = self.next_attempt_at(store_age).map_or(next_read_at, |c| c.min(next_read_at));
        at.since(now).max(MIN_WAIT)
    }

    /// Records that another attempt was sent.
    pub fn attempt_sent(&mut self, now: Millis) {
        self.attempts_in_flight += 1;
        self.last_attempt_at = now;
    }

    /// Records a failed attempt; `not_committed` is true if it was certainly not committed.
    pub fn attempt_failed(&mut self, not_committed: bool) {
        self.attempts_in_flight -= 1;
        self.failures += 1;
        self.maybe_committed |= !not_committed;
    }

    /// Returns true if no attempt is in flight any more.
    pub fn all_attempts_failed(&self) -> bool {
        self.attempts_in_flight == 0
    }

    pub fn read_sent(&mut self) {
        self.read_in_flight = true;
    }

    /// Returns true if the store has refused all attempts, so that none can still be committed.
    pub fn is_refused(&self) -> bool {
        !self.maybe_committed && self.failures >= MAX_REFUSALS
    }

    /// Records a read that took `took` and did not show the batch.
    pub fn batch_not_found(&mut self, took: Millis, now: Millis) {
        self.last_read_duration = Some(took.max(MIN_WAIT));
        self.read_failed(now);
    }

    pub fn read_failed(&mut self, now: Millis) {
        self.read_in_flight = false;
        self.next_read_at = now + self.read_delay;
    }
}
