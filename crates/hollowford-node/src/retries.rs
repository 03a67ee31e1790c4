//! When the calls for a batch are made again: copies of it, and readings of its lane's row.
//!
//! The store makes the transactions of a part one after the other, so a copy that isn't needed
//! keeps the next batch waiting. So the row is read first, which costs no turn: it shows a batch
//! whose answer was lost, and by its own time how slow the store is.

use hollowford_core::{AnswerTimes, Millis};

/// The lane's row is read at the earliest after this time without an answer, and so long after each
/// reading. The store's usual answer takes some 10 to 25 ms.
const MIN_READ_DELAY: Millis = Millis(40);
/// It is read after this time at the latest: an answer may be lost, and its channel with it.
const MAX_READ_DELAY: Millis = Millis(150);
/// A batch that a reading doesn't show is sent again once the last copy is older than so many
/// times what the reading took: a transaction takes longer than a reading, and waits its turn.
const RETRY_DELAY_FACTOR: u64 = 5;
/// A batch is sent again after this time if no reading has come back: one may be lost as well.
const UNREAD_RETRY_DELAY: Millis = Millis(1_000);
/// While the store answers nothing at all, copies are sent this often: the first one after its
/// return is to find it, and each costs little.
const OUTAGE_RETRY_INTERVAL: Millis = Millis(200);
/// A store that has answered nothing for so long is away.
const STORE_OUTAGE_TIMEOUT: Millis = Millis(1_000);
/// Shortest pause between two calls.
const MIN_WAIT: Millis = Millis(5);
/// Copies under way at most: a copy every 0.2 s for as long as one may take, and some more.
const MAX_ATTEMPTS_IN_FLIGHT: usize = 16;
/// A batch that the store refuses so often is given back: it may refuse a few calls when
/// many come at once.
const MAX_REFUSALS: u32 = 3;

/// Returns how long to wait for the answer to a copy before the lane's row is read, by how long
/// answers took lately: callers wait for two batches, and where many answers are lost a fixed time
/// would hold each of them up.
pub fn read_delay(answers: &AnswerTimes) -> Millis {
    let expected = answers.expected().unwrap_or(MAX_READ_DELAY);
    expected.clamp(MIN_READ_DELAY, MAX_READ_DELAY)
}

/// The calls that were made for a batch, and what is known of them.
#[derive(Debug)]
pub struct Retries {
    /// Copies without an answer.
    attempts_in_flight: usize,
    /// When the last copy was sent.
    last_attempt_at: Millis,
    /// See [`read_delay`].
    read_delay: Millis,
    /// A reading is under way.
    read_in_flight: bool,
    /// When the next reading is due.
    next_read_at: Millis,
    /// How long the last reading took, which did not show the batch.
    last_read_duration: Option<Millis>,
    /// Copies that failed.
    failures: u32,
    /// One of them may have been made.
    maybe_committed: bool,
}

impl Retries {
    /// The first copy was sent.
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

    /// Returns when the next copy is due, if no answer comes before; `store_age` is the time
    /// since the store has answered anything.
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

    /// Tells whether the next call is to be a copy.
    pub fn attempt_is_due(&self, store_age: Millis, now: Millis) -> bool {
        self.next_attempt_at(store_age).is_some_and(|at| at <= now)
    }

    /// Returns how long to wait for answers before the next call.
    pub fn wait(&self, store_age: Millis, now: Millis) -> Millis {
        let next_read_at = if self.read_in_flight {
            self.next_read_at + STORE_OUTAGE_TIMEOUT
        } else {
            self.next_read_at
        };
        let at = self.next_attempt_at(store_age).map_or(next_read_at, |c| c.min(next_read_at));
        at.since(now).max(MIN_WAIT)
    }

    /// Another copy was sent.
    pub fn attempt_sent(&mut self, now: Millis) {
        self.attempts_in_flight += 1;
        self.last_attempt_at = now;
    }

    /// A copy has failed; `batch_not_found` tells whether it surely was not made.
    pub fn attempt_failed(&mut self, batch_not_found: bool) {
        self.attempts_in_flight -= 1;
        self.failures += 1;
        self.maybe_committed |= !batch_not_found;
    }

    /// Tells whether no copy is under way any more.
    pub fn all_attempts_failed(&self) -> bool {
        self.attempts_in_flight == 0
    }

    /// A reading was sent.
    pub fn read_sent(&mut self) {
        self.read_in_flight = true;
    }

    /// Tells whether the store has refused all copies, so that none will be made.
    pub fn is_refused(&self) -> bool {
        !self.maybe_committed && self.failures >= MAX_REFUSALS
    }

    /// A reading that took so long has not shown the batch.
    pub fn batch_not_found(&mut self, took: Millis, now: Millis) {
        self.last_read_duration = Some(took.max(MIN_WAIT));
        self.read_failed(now);
    }

    /// A reading has failed.
    pub fn read_failed(&mut self, now: Millis) {
        self.read_in_flight = false;
        self.next_read_at = now + self.read_delay;
    }
}
