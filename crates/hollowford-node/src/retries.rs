//! When the calls for a batch are made again: copies of it, and readings of its lane's row.
//!
//! The store makes the transactions of a part one after the other, so a copy that isn't needed
//! keeps the next batch waiting. So the row is read first, which costs no turn: it shows a batch
//! whose answer was lost, and by its own time how slow the store is.

use hollowford_core::{AnswerTimes, Millis};

/// The lane's row is read at the earliest after this time without an answer, and so long after each
/// reading. The store's usual answer takes some 10 to 25 ms.
const LEAST_READ_AFTER: Millis = Millis(40);
/// It is read after this time at the latest: an answer may be lost, and its channel with it.
const MOST_READ_AFTER: Millis = Millis(150);
/// A batch that a reading doesn't show is sent again once the last copy is older than so many
/// times what the reading took: a transaction takes longer than a reading, and waits its turn.
const COPY_AFTER_READINGS: u64 = 5;
/// A batch is sent again after this time if no reading has come back: one may be lost as well.
const COPY_UNREAD_AFTER: Millis = Millis(1_000);
/// While the store answers nothing at all, copies are sent this often: the first one after its
/// return is to find it, and each costs little.
const COPY_WHILE_AWAY: Millis = Millis(200);
/// A store that has answered nothing for so long is away.
const AWAY: Millis = Millis(1_000);
/// Shortest pause between two calls.
const LEAST_WAIT: Millis = Millis(5);
/// Copies under way at most: a copy every 0.2 s for as long as one may take, and some more.
const MOST_COPIES: usize = 16;
/// A batch that the store refuses so often is given back: it may refuse a few calls when
/// many come at once.
const MOST_REFUSALS: u32 = 3;

/// Returns how long to wait for the answer to a copy before the lane's row is read, by how long
/// answers took lately: callers wait for two batches, and where many answers are lost a fixed time
/// would hold each of them up.
pub fn read_after(answers: &AnswerTimes) -> Millis {
    let expected = answers.expected().unwrap_or(MOST_READ_AFTER);
    expected.clamp(LEAST_READ_AFTER, MOST_READ_AFTER)
}

/// The calls that were made for a batch, and what is known of them.
#[derive(Debug)]
pub struct Retries {
    /// Copies without an answer.
    copies: usize,
    /// When the last copy was sent.
    copied_at: Millis,
    /// See [`read_after`].
    read_after: Millis,
    /// A reading is under way.
    reading: bool,
    /// When the next reading is due.
    read_at: Millis,
    /// How long the last reading took, which did not show the batch.
    read_took: Option<Millis>,
    /// Copies that failed.
    failures: u32,
    /// One of them may have been made.
    unsure: bool,
}

impl Retries {
    /// The first copy was sent.
    pub fn begun(now: Millis, read_after: Millis) -> Retries {
        Retries {
            copies: 1,
            copied_at: now,
            read_after,
            reading: false,
            read_at: now + read_after,
            read_took: None,
            failures: 0,
            unsure: false,
        }
    }

    /// Returns when the next copy is due, if no answer comes before; `store_age` is the time
    /// since the store has answered anything.
    fn copy_at(&self, store_age: Millis) -> Option<Millis> {
        if self.copies >= MOST_COPIES {
            return None;
        }
        if store_age >= AWAY {
            return Some(self.copied_at + COPY_WHILE_AWAY);
        }
        let read = |took: Millis| Millis(took.0 * COPY_AFTER_READINGS).max(self.read_after);
        Some(self.copied_at + self.read_took.map_or(COPY_UNREAD_AFTER, read))
    }

    /// Tells whether the next call is to be a copy.
    pub fn copy_is_due(&self, store_age: Millis, now: Millis) -> bool {
        self.copy_at(store_age).is_some_and(|at| at <= now)
    }

    /// Returns how long to wait for answers before the next call.
    pub fn wait(&self, store_age: Millis, now: Millis) -> Millis {
        let read_at = if self.reading { self.read_at + AWAY } else { self.read_at };
        let at = self.copy_at(store_age).map_or(read_at, |c| c.min(read_at));
        at.since(now).max(LEAST_WAIT)
    }

    /// Another copy was sent.
    pub fn copied(&mut self, now: Millis) {
        self.copies += 1;
        self.copied_at = now;
    }

    /// A copy has failed; `not_made` tells whether it surely was not made.
    pub fn copy_failed(&mut self, not_made: bool) {
        self.copies -= 1;
        self.failures += 1;
        self.unsure |= !not_made;
    }

    /// Tells whether no copy is under way any more.
    pub fn all_failed(&self) -> bool {
        self.copies == 0
    }

    /// A reading was sent.
    pub fn reads(&mut self) {
        self.reading = true;
    }

    /// Tells whether the store has refused all copies, so that none will be made.
    pub fn is_refused(&self) -> bool {
        !self.unsure && self.failures >= MOST_REFUSALS
    }

    /// A reading that took so long has not shown the batch.
    pub fn not_made(&mut self, took: Millis, now: Millis) {
        self.read_took = Some(took.max(LEAST_WAIT));
        self.unread(now);
    }

    /// A reading has failed.
    pub fn unread(&mut self, now: Millis) {
        self.reading = false;
        self.read_at = now + self.read_after;
    }
}
