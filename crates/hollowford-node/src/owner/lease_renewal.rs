//! Whether this owner may still renew the leases of tasks at workers.
//!
//! Another process may have taken over without this one knowing. The next owner doesn't reach every
//! worker, so it waits until leases that this owner has granted are over.

use super::Owner;
use hollowford_adapter::OWNER_ISOLATION_TIMEOUT;
use hollowford_core::Millis;

/// What confirms that this process owns the partition. All times are engine time.
#[derive(Debug)]
pub(super) struct LeaseRenewal {
    /// When the newest store call that has confirmed the ownership was begun.
    store_confirmed_at: Millis,
    /// Since when the ownership has been unconfirmed; `None` while it is confirmed.
    unconfirmed_since: Option<Millis>,
}

impl LeaseRenewal {
    /// Creates the state of an owner whose rows were read by a call begun at `read_at`.
    pub fn new(read_at: Millis) -> LeaseRenewal {
        LeaseRenewal { store_confirmed_at: read_at, unconfirmed_since: None }
    }

    /// Records that a store call begun at `started_at` has confirmed the ownership.
    pub fn record_store_confirmation(&mut self, started_at: Millis) {
        self.store_confirmed_at = self.store_confirmed_at.max(started_at);
    }
}

impl Owner {
    /// Logs when the store ceases to confirm the ownership, and when it does so again.
    pub(super) fn check_confirmation(&mut self, now: Millis) {
        let age = now.since(self.lease_renewal.store_confirmed_at);
        let confirmed = age < OWNER_ISOLATION_TIMEOUT;
        self.cx
            .shared
            .metrics
            .unconfirmed_ms
            .with_label_values(&[self.cx.partition.part.as_str()])
            .set(if confirmed { 0 } else { age.0 as i64 });
        let epoch = self.info.epoch;
        match self.lease_renewal.unconfirmed_since {
            None if !confirmed => {
                self.lease_renewal.unconfirmed_since = Some(now);
                let silent = self.members.silent_members().join(",");
                log::warn!("owner.unconfirmed epoch={epoch} age_ms={} silent={silent}", age.0);
            }
            Some(since) if confirmed => {
                self.lease_renewal.unconfirmed_since = None;
                let lasted = now.since(since).0;
                log::info!("owner.confirmed epoch={epoch} after_ms={lasted}");
            }
            _ => {}
        }
    }
}
