//! Whether this owner may still renew the leases of tasks at workers, and start tasks.
//!
//! Another process may have taken over without this one knowing: it was paused, or is cut off from
//! the store and from some members, while it reaches others and workers. The next owner may not
//! reach those workers; it waits until leases that this owner has granted are over and then starts
//! their tasks elsewhere. So leases are renewed only for a limited time after it was certain that
//! nobody had taken over:
//!
//! - the store has confirmed the ownership, by a commit or by a read of the owner row, or
//! - all successors that the owner row names have followed this owner. In an outage of the store
//!   work goes on by that. A process that the row doesn't name waits longer when it takes over, see
//!   [`earlier_leases_until`](crate::takeover::earlier_leases_until).

use super::Owner;
use crate::takeover::MAX_STORE_CONFIRMATION_AGE;
use hollowford_adapter::OWNER_ISOLATION_TIMEOUT;
use hollowford_core::Millis;

/// Leases may be renewed for this long after a confirmation. The next owner's wait includes it.
const MAX_CONFIRMATION_AGE: Millis = Millis(OWNER_ISOLATION_TIMEOUT.0 - CHECK_INTERVAL.0);
/// The owner row is read if neither the store nor the successors have confirmed the ownership for
/// this long.
const READ_AGE: Millis = Millis(700);
/// The owner row is read if the store has not confirmed the ownership for this long, although the
/// successors have.
const IDLE_READ_AGE: Millis = Millis(10_000);
/// Minimum time between two such reads.
const MIN_READ_INTERVAL: Millis = Millis(500);
/// How often it is checked whether leases may be renewed, unless the store has just confirmed the
/// ownership.
const CHECK_INTERVAL: Millis = Millis(20);

/// What confirms that this process owns the partition. All times are engine time.
#[derive(Debug)]
pub(super) struct LeaseRenewal {
    /// When the newest store call that has confirmed the ownership was begun.
    store_confirmed_at: Millis,
    /// When all named successors followed this owner.
    successors_followed_at: Millis,
    next_read_at: Millis,
    next_check_at: Millis,
    /// Since when no leases have been renewed; `None` while they are.
    suspended_since: Option<Millis>,
}

impl LeaseRenewal {
    /// Creates the state of an owner whose rows were read by a call begun at `read_at`.
    pub fn new(read_at: Millis) -> LeaseRenewal {
        LeaseRenewal {
            store_confirmed_at: read_at,
            successors_followed_at: read_at,
            next_read_at: read_at,
            next_check_at: read_at,
            suspended_since: None,
        }
    }

    /// Records that a store call begun at `started_at` has confirmed the ownership.
    pub fn record_store_confirmation(&mut self, started_at: Millis) {
        self.store_confirmed_at = self.store_confirmed_at.max(started_at);
        self.next_check_at = started_at;
    }

    fn is_allowed(&self, now: Millis) -> bool {
        let store_age = now.since(self.store_confirmed_at);
        let successors_age = now.since(self.successors_followed_at);
        store_age < MAX_CONFIRMATION_AGE
            || (successors_age < MAX_CONFIRMATION_AGE && store_age < MAX_STORE_CONFIRMATION_AGE)
    }

    /// Returns true if the owner row has to be read now.
    pub fn begin_read(&mut self, now: Millis) -> bool {
        let confirmed_at = self.store_confirmed_at.max(self.successors_followed_at);
        let wanted = now.since(confirmed_at) >= READ_AGE
            || now.since(self.store_confirmed_at) >= IDLE_READ_AGE;
        let due = wanted && now >= self.next_read_at;
        if due {
            self.next_read_at = now + MIN_READ_INTERVAL;
        }
        due
    }
}

impl Owner {
    /// Decides whether leases are renewed and tasks started until the next check, and logs changes.
    pub(super) fn check_lease_renewal(&mut self, now: Millis) {
        if now < self.lease_renewal.next_check_at {
            return;
        }
        self.lease_renewal.next_check_at = now + CHECK_INTERVAL;
        let named = self.batches.named_successors();
        let followed_at = self.members.successors_followed_at(&named);
        let followed_at = followed_at.min(self.cx.shared.clock.now());
        self.lease_renewal.successors_followed_at =
            super::to_engine_time(followed_at, self.clock_offset);
        let allowed = self.lease_renewal.is_allowed(now);
        self.engine.set_lease_renewal(allowed);
        let store_age = now.since(self.lease_renewal.store_confirmed_at);
        let part = [self.cx.partition.part.as_str()];
        let gauge = self.cx.shared.metrics.unconfirmed_ms.with_label_values(&part);
        gauge.set(if store_age < MAX_CONFIRMATION_AGE { 0 } else { store_age.0 as i64 });
        self.log_lease_renewal(allowed, &named, now);
    }

    fn log_lease_renewal(&mut self, allowed: bool, named: &[u64], now: Millis) {
        let epoch = self.info.epoch;
        match self.lease_renewal.suspended_since {
            None if !allowed => {
                self.lease_renewal.suspended_since = Some(now);
                let age = now.since(self.lease_renewal.store_confirmed_at).0;
                let since = self.cx.shared.clock.now() - MAX_CONFIRMATION_AGE;
                let silent = self.members.silent_successors(named, since).join(",");
                log::warn!("owner.unconfirmed epoch={epoch} age_ms={age} silent={silent}");
            }
            Some(since) if allowed => {
                self.lease_renewal.suspended_since = None;
                log::info!("owner.confirmed epoch={epoch} after_ms={}", now.since(since).0);
            }
            _ => {}
        }
    }
}
