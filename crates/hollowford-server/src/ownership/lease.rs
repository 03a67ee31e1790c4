//! The lease by which a process owns a partition.

use hollowford_core::{Epoch, Millis};
use hollowford_engine::Authority;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A lease, as the deciding thread reads it before each start.
#[derive(Debug)]
pub(crate) struct OwnerLease {
    pub epoch: Epoch,
    valid_until: AtomicU64,
    ended: AtomicBool,
}

impl OwnerLease {
    /// Makes a lease that holds until a reading of this process's clock.
    pub fn new(epoch: Epoch, valid_until: Millis) -> OwnerLease {
        OwnerLease {
            epoch,
            valid_until: AtomicU64::new(valid_until.0),
            ended: AtomicBool::new(false),
        }
    }

    /// Extends the lease. The time is counted from before the renewal was sent.
    pub fn extend(&self, valid_until: Millis) {
        self.valid_until.fetch_max(valid_until.0, Ordering::AcqRel);
    }

    /// Ends the lease for good.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// Tells whether the lease was ended.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Returns what the owner may do at `now`, when running work is kept alive for
    /// `renewal_bound` after the lease has lapsed.
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
