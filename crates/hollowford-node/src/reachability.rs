//! Whether the owner can still reach the store and its members.

use crate::batches::Batches;
use crate::members::Members;
use crate::owner::OwnerEnd;
use crate::shared::Shared;
use hollowford_adapter::OWNER_ISOLATION_TIMEOUT;
use hollowford_core::Millis;
use std::sync::Arc;

/// An owner whose batch is unanswered for this long, while the store serves a member, hands over to
/// that member.
const STORE_LOST_AFTER: Millis = Millis(600);
/// An owner whose store calls have been rejected for this long, while the store serves a member,
/// hands over to that member. A rejection is told apart from a slow store at once, and the callers of
/// short jobs wait meanwhile.
const STORE_REJECTED_AFTER: Millis = Millis(200);
/// How long the store must serve a member but not the owner before the owner hands over. At the end
/// of an outage, a member is often served slightly earlier than the owner.
const MIN_SPLIT_DURATION: Millis = Millis(300);
/// Value of [`MIN_SPLIT_DURATION`] while the store rejects the owner's calls. The owner repeats them
/// within this time.
const MIN_REJECTED_SPLIT_DURATION: Millis = Millis(200);

/// When the owner last heard from the store and its members.
#[derive(Debug)]
pub struct Reachability {
    shared: Arc<Shared>,
    epoch: u64,
    /// When a member was last heard, by the process's clock.
    last_member_heard: Millis,
    /// Since when the store has served a member but not this process.
    split_since: Option<Millis>,
}

impl Reachability {
    /// Creates the state of an owner that starts now, as if a member had just been heard.
    pub fn new(shared: Arc<Shared>, epoch: u64) -> Reachability {
        let last_member_heard = shared.clock.now();
        Reachability { shared, epoch, last_member_heard, split_since: None }
    }

    /// Records that a member was heard at `at`, by the process's clock.
    pub fn record_member_heard(&mut self, at: Millis) {
        self.last_member_heard = at;
    }

    /// Returns how the owner ends if another process can serve the partition and this one can't: it
    /// is handed over, or given up if the owner is isolated.
    pub fn check(&mut self, batches: &Batches, members: &Members, now: Millis) -> Option<OwnerEnd> {
        let handed_over = self.hand_over_if_split(batches, members, now);
        if self.is_isolated(members) {
            log::warn!("owner.gave_up epoch={} cause=isolated", self.epoch);
            return Some(OwnerEnd::GaveUp);
        }
        handed_over.then_some(OwnerEnd::HandedOver)
    }

    /// Hands over to a member that the store serves while it doesn't serve this process. Returns
    /// true if it did.
    fn hand_over_if_split(&mut self, batches: &Batches, members: &Members, now: Millis) -> bool {
        let rejecting = self.shared.store_rejecting_since().filter(|_| {
            self.shared.is_store_rejecting(STORE_REJECTED_AFTER)
                && batches.is_uncommitted_for(STORE_REJECTED_AFTER, now)
        });
        let batch_unanswered = batches.is_uncommitted_for(STORE_LOST_AFTER, now);
        let store_lost = batch_unanswered && self.shared.store_age() >= STORE_LOST_AFTER;
        // A member that the store answered only before the rejections began may be rejected too.
        let served_since = rejecting.unwrap_or_default();
        if !(store_lost || rejecting.is_some()) || !members.any_served_by_store(served_since) {
            self.split_since = None;
            return false;
        }
        let min_split =
            if rejecting.is_some() { MIN_REJECTED_SPLIT_DURATION } else { MIN_SPLIT_DURATION };
        let since = *self.split_since.get_or_insert(now);
        let handed_over =
            now.since(since) >= min_split && members.hand_over_to_served_member(served_since);
        if handed_over {
            log::warn!("owner.handed_over epoch={} cause=store_lost", self.epoch);
        }
        handed_over
    }

    /// Returns true if neither the store nor a member has been heard for [`OWNER_ISOLATION_TIMEOUT`].
    fn is_isolated(&self, members: &Members) -> bool {
        let members_silent_for = self.shared.clock.now().since(self.last_member_heard);
        let members_silent = members.had_members() && members_silent_for >= OWNER_ISOLATION_TIMEOUT;
        members_silent && self.shared.store_age() >= OWNER_ISOLATION_TIMEOUT
    }
}
