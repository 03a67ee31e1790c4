//! The owner's heartbeats, and what members report with theirs.

use super::{Owner, OwnerEnd};
use crate::members::LinkId;
use crate::wire::MemberBeat;
use hollowford_core::Millis;

/// Minimum time between two membership updates, so that members that join or leave together cause
/// one update. Each update passes on the whole member list.
const MEMBER_UPDATE_INTERVAL: Millis = Millis(20);
/// Once no batch has been committed for this long, heartbeats ask the members whether the store
/// answers them.
const STORE_LOST_TIMEOUT: Millis = Millis(300);

/// Once the store has rejected the owner's calls for this long, heartbeats ask the members as well.
const STORE_REJECTING_TIMEOUT: Millis = Millis(100);

impl Owner {
    /// Sends the heartbeats that are due. After a full round of heartbeats or a change of
    /// membership, passes the list of usable members to the engine and the delegation.
    pub(super) fn update_members(&mut self, now: Millis) {
        let shared = &self.cx.shared;
        let store_lost = self.batches.is_uncommitted_for(STORE_LOST_TIMEOUT, now)
            || shared.is_store_rejecting(STORE_REJECTING_TIMEOUT);
        let round_complete =
            self.members.tick(shared.clock.now(), shared.known_config(), store_lost);
        let update_due = now.since(self.members_updated_at) >= MEMBER_UPDATE_INTERVAL;
        if round_complete || (self.members_changed && update_due) {
            self.members_changed = false;
            self.members_updated_at = now;
            self.engine.set_advice_channels(&self.members.advice_channels());
            self.delegation.set_members(self.members.delegates(), now);
        }
    }

    pub(super) fn handle_heartbeat(&mut self, link: LinkId, heartbeat: &MemberBeat) {
        let heard = self.cx.shared.clock.now();
        self.reachability.record_member_heard(heard);
        self.members.record_heartbeat(link, heartbeat, heard);
        let version = self.cx.shared.config_version();
        if heartbeat.config > version {
            self.cx.shared.config_wanted.notify_one();
        } else if heartbeat.config < version {
            self.send_config();
        }
        if heartbeat.epoch > self.info.epoch {
            log::warn!("owner.deposed epoch={} newer={}", self.info.epoch, heartbeat.epoch);
            self.end = Some(OwnerEnd::Deposed);
        }
    }
}
