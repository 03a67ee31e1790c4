//! The ownership lease of a partition.

use hollowford_core::{Epoch, Millis};
use hollowford_engine::Authority;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// An ownership lease, shared with the `decide` thread, which checks it before it starts tasks.
#[derive(Debug)]
pub(crate) struct OwnerLease {
    pub epoch: Epoch,
    valid_until: AtomicU64,
    ended: AtomicBool,
}

impl OwnerLease {
    /// Creates a lease that is valid until `valid_until`, by this process's clock.
    pub fn new(epoch: Epoch, valid_until: Millis) -> OwnerLease {
        OwnerLease {
            epoch,
            valid_until: AtomicU64::new(valid_until.0),
            ended: AtomicBool::new(false),
        }
    }

    /// Extends the lease. `valid_until` must be counted from before the renewal was sent, so
    /// that the lease expires here before another process may take over. An earlier time has
    /// no effect.
    pub fn extend(&self, valid_until: Millis) {
        self.valid_until.fetch_max(valid_until.0, Ordering::AcqRel);
    }

    /// Ends the lease for good, whatever its expiry.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Returns what the owner may do at `now`. After the lease has expired, the owner may
    /// renew the leases of running tasks for another `renewal_bound`.
    pub fn authority(&self, now: Millis, renewal_bound: Millis) -> Authority {
        if self.has_ended() {
            return Authority::None;
        }
        let until = Millis(self.valid_until.load(Ordering::Acquire));
        if now < until {
            Authority::Full
        } else if now < until + renewal_bound {
            Authority::RenewOnly
        } else {
            Authority::None
        }
    }
}
