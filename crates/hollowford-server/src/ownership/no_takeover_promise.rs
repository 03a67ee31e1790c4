//! The promise not to take over, which lets quick checks go on in an outage.
//!
//! A process promises only while the store does not answer it, and only when no
//! challenge of its own may still take effect. It is a lease held in memory between
//! processes: nothing is replicated, elected or to be looked after.

use crate::shared::Shared;
use hollowford_core::Millis;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// What this process has promised, and whether a challenge of its own is open.
#[derive(Debug, Default)]
pub(crate) struct NoTakeoverPromise {
    until: AtomicU64,
    /// Challenges that may still take effect.
    open_takeovers: AtomicUsize,
}

impl NoTakeoverPromise {
    /// Promises not to take over for the returned time, from now on; zero: no promise.
    pub fn promise(&self, shared: &Shared) -> Millis {
        if shared.store_available.load(Ordering::Acquire) {
            return Millis(0);
        }
        let length = shared.settings.lease.promise;
        let until = shared.clock.now() + length;
        // The promise stands before the look at the challenge, and a challenge begins
        // before its look at the promise, so one of them sees the other.
        self.until.fetch_max(until.0, Ordering::SeqCst);
        if self.open_takeovers.load(Ordering::SeqCst) > 0 { Millis(0) } else { length }
    }

    /// Begins a challenge of a lapsed row; false when a promise stands in its way.
    pub fn begin_takeover(&self, now: Millis) -> bool {
        self.open_takeovers.fetch_add(1, Ordering::SeqCst);
        let is_allowed = now.0 >= self.until.load(Ordering::SeqCst);
        if !is_allowed {
            self.end_takeover();
        }
        is_allowed
    }

    /// Begins to take a free row. No promise is about it: its last owner has written
    /// everything down, unledgered work too, before it freed the row.
    pub fn begin_takeover_of_free_row(&self) {
        self.open_takeovers.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends a challenge that surely has had its effect, or none.
    pub fn end_takeover(&self) {
        self.open_takeovers.fetch_sub(1, Ordering::SeqCst);
    }
}
