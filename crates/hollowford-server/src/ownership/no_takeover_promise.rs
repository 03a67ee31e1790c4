//! The promise not to take over partitions, which lets owners run write-behind requests during an
//! outage of the store.
//!
//! A process makes the promise only while the store does not answer it, and only when no takeover
//! of its own may still take effect. The promise is a lease held in memory between processes:
//! nothing is replicated or elected, and operators need not maintain anything.

use crate::shared::Shared;
use hollowford_core::Millis;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The promise of this process, and its takeovers that may still take effect.
#[derive(Debug, Default)]
pub(crate) struct NoTakeoverPromise {
    /// End of the promise, in milliseconds by this process's clock.
    until: AtomicU64,
    /// Number of takeovers that may still take effect.
    open_takeovers: AtomicUsize,
}

impl NoTakeoverPromise {
    /// Promises not to take over from now on for the returned time. Zero means no promise.
    pub fn promise(&self, shared: &Shared) -> Millis {
        if shared.store_available.load(Ordering::Acquire) {
            return Millis(0);
        }
        let length = shared.settings.lease.promise;
        let until = shared.clock.now() + length;
        // The promise is stored before the takeovers are checked, and a takeover is counted
        // before it checks the promise, so at least one of the two sees the other.
        self.until.fetch_max(until.0, Ordering::SeqCst);
        if self.open_takeovers.load(Ordering::SeqCst) > 0 { Millis(0) } else { length }
    }

    /// Begins a takeover of a row whose lease has expired. Returns false if this process has
    /// promised not to.
    pub fn begin_takeover(&self, now: Millis) -> bool {
        self.open_takeovers.fetch_add(1, Ordering::SeqCst);
        let is_allowed = now.0 >= self.until.load(Ordering::SeqCst);
        if !is_allowed {
            self.end_takeover();
        }
        is_allowed
    }

    /// Begins a takeover of a free row. Promises don't apply to it: the last owner made
    /// everything durable, including write-behind requests, before it released the row.
    pub fn begin_takeover_of_free_row(&self) {
        self.open_takeovers.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends a takeover that has either taken effect or can't do so any more.
    pub fn end_takeover(&self) {
        self.open_takeovers.fetch_sub(1, Ordering::SeqCst);
    }
}
