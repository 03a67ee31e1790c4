//! Whether the owner still reaches the store and its members.

use crate::batches::Batches;
use crate::members::Members;
use crate::owner::OwnerEnd;
use crate::shared::Shared;
use hollowford_adapter::OWNER_ISOLATION_TIMEOUT;
use hollowford_core::Millis;
use std::sync::Arc;

/// An owner whose batch hangs for so long, while the store serves a member, hands over to it.
const STORE_LOST: Millis = Millis(600);
/// The store has to serve the member for so long: at the end of an outage it is only the
/// first to notice.
const STORE_DIVIDED: Millis = Millis(300);

/// What the owner has heard of the store and the members.
#[derive(Debug)]
pub struct Reach {
    shared: Arc<Shared>,
    epoch: u64,
    /// When a member was heard last, by the process's clock.
    member_heard: Millis,
    /// Since when the store serves a member and not this process.
    divided_since: Option<Millis>,
}

impl Reach {
    /// Starts as if a member had been heard just now.
    pub fn new(shared: Arc<Shared>, epoch: u64) -> Reach {
        let member_heard = shared.clock.now();
        Reach { shared, epoch, member_heard, divided_since: None }
    }

    /// Takes note that a member was heard at `at`, by the process's clock.
    pub fn member_heard(&mut self, at: Millis) {
        self.member_heard = at;
    }

    /// Gives the partition up when another process can serve it and this one can't.
    pub fn check(&mut self, batches: &Batches, members: &Members, now: Millis) -> Option<OwnerEnd> {
        let handed_over = self.hand_over_if_divided(batches, members, now);
        if self.is_isolated(members) {
            log::warn!("owner.gave_up epoch={} cause=isolated", self.epoch);
            return Some(OwnerEnd::GaveUp);
        }
        handed_over.then_some(OwnerEnd::HandedOver)
    }

    /// Hands over to a member that the store serves while it doesn't serve this process.
    fn hand_over_if_divided(&mut self, batches: &Batches, members: &Members, now: Millis) -> bool {
        let hangs = batches.is_uncommitted_for(STORE_LOST, now);
        let lost = hangs && self.shared.store_age() >= STORE_LOST;
        if !lost || !members.any_served() {
            self.divided_since = None;
            return false;
        }
        let since = *self.divided_since.get_or_insert(now);
        let handed_over = now.since(since) >= STORE_DIVIDED && members.hand_over_to_served();
        if handed_over {
            log::warn!("owner.handed_over epoch={} cause=store_lost", self.epoch);
        }
        handed_over
    }

    /// Tells whether neither the store nor any member has been heard for long.
    fn is_isolated(&self, members: &Members) -> bool {
        let silent = self.shared.clock.now().since(self.member_heard);
        let alone = members.had_any() && silent >= OWNER_ISOLATION_TIMEOUT;
        alone && self.shared.store_age() >= OWNER_ISOLATION_TIMEOUT
    }
}
