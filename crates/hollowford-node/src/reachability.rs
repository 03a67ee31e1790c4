//! Whether the owner still reaches the store and its members.

use crate::batches::Batches;
use crate::members::Members;
use crate::owner::OwnerEnd;
use crate::shared::Shared;
use hollowford_adapter::ISOLATED_OWNER;
use hollowford_core::Millis;
use std::sync::Arc;

/// An owner whose batch hangs for so long, while the store serves a member, hands over to it.
const STORE_LOST_AFTER: Millis = Millis(600);
/// The store has to serve the member for so long: at the end of an outage it is only the
/// first to notice.
const MIN_SPLIT_DURATION: Millis = Millis(300);

/// What the owner has heard of the store and the members.
#[derive(Debug)]
pub struct Reachability {
    shared: Arc<Shared>,
    epoch: u64,
    /// When a member was heard last, by the process's clock.
    last_member_heard: Millis,
    /// Since when the store serves a member and not this process.
    split_since: Option<Millis>,
}

impl Reachability {
    /// Starts as if a member had been heard just now.
    pub fn new(shared: Arc<Shared>, epoch: u64) -> Reachability {
        let last_member_heard = shared.clock.now();
        Reachability { shared, epoch, last_member_heard, split_since: None }
    }

    /// Takes note that a member was heard at `at`, by the process's clock.
    pub fn record_member_heard(&mut self, at: Millis) {
        self.last_member_heard = at;
    }

    /// Gives the partition up when another process can serve it and this one can't.
    pub fn check(&mut self, batches: &Batches, members: &Members, now: Millis) -> Option<OwnerEnd> {
        let handed_over = self.hand_over_if_split(batches, members, now);
        if self.is_isolated(members) {
            log::warn!("owner.gave_up epoch={} cause=isolated", self.epoch);
            return Some(OwnerEnd::GaveUp);
        }
        handed_over.then_some(OwnerEnd::HandedOver)
    }

    /// Hands over to a member that the store serves while it doesn't serve this process.
    fn hand_over_if_split(&mut self, batches: &Batches, members: &Members, now: Millis) -> bool {
        let hangs = batches.is_unmade_for(STORE_LOST_AFTER, now);
        let lost = hangs && self.shared.store_age() >= STORE_LOST_AFTER;
        if !lost || !members.any_served_by_store() {
            self.split_since = None;
            return false;
        }
        let since = *self.split_since.get_or_insert(now);
        let handed_over =
            now.since(since) >= MIN_SPLIT_DURATION && members.hand_over_to_served_member();
        if handed_over {
            log::warn!("owner.handed_over epoch={} cause=store_lost", self.epoch);
        }
        handed_over
    }

    /// Tells whether neither the store nor any member has been heard for long.
    fn is_isolated(&self, members: &Members) -> bool {
        let silent = self.shared.clock.now().since(self.last_member_heard);
        let alone = members.had_members() && silent >= ISOLATED_OWNER;
        alone && self.shared.store_age() >= ISOLATED_OWNER
    }
}
