//! When the owner sends heartbeats to its members, and their content.

use super::{KnownConfig, LinkId, Member, Members};
use crate::wire::{Body, Heartbeat};
use hollowford_core::Millis;

/// Heartbeat interval in a small cell, and of the members named to take over in any cell.
pub(super) const BASE_HEARTBEAT_INTERVAL: Millis = Millis(100);
/// How often the owner checks which heartbeats are due.
const DUE_CHECK_INTERVAL: Millis = Millis(10);
/// Number of members up to which all get heartbeats at the base interval. Beyond it the interval
/// grows, so that the owner sends and receives about 500 heartbeats a second.
const MAX_MEMBERS_AT_BASE_INTERVAL: usize = 50;
/// Limit of the interval as a multiple of the base interval, so that a failed member is still
/// detected in time.
const MAX_INTERVAL_FACTOR: usize = 5;
/// Number of members that heartbeats name in takeover order. Naming all would take several
/// megabytes a second in a large cell.
pub(super) const MAX_NAMED_MEMBERS: usize = 8;

impl Members {
    /// Sends a member that has just joined its first heartbeat, which confirms the owner.
    pub fn send_first_heartbeat(&mut self, link: LinkId, config: KnownConfig) {
        if let Some(at) = self.list.iter().position(|m| m.link == link) {
            self.send_to(config, vec![at]);
        }
    }

    /// Sends the heartbeats that are due. Returns true if a round ended in which every member got
    /// one. The members that take over first get heartbeats at the base interval, so that they
    /// detect a failed owner quickly in a large cell, too.
    pub fn tick(&mut self, now: Millis, config: KnownConfig, store_lost: bool) -> bool {
        self.now = now;
        self.store_lost = store_lost;
        if now.since(self.due_checked_at) < DUE_CHECK_INTERVAL {
            return false;
        }
        self.due_checked_at = now;
        let due: Vec<usize> = self.due().collect();
        self.send_to(config, due);
        let round_over = now.since(self.round_started_at) >= self.interval();
        if round_over {
            self.round_started_at = now;
        }
        round_over
    }

    /// Returns the positions of the members whose next heartbeat is due by the interval announced
    /// to each. While a cell grows, members that joined early expect the shorter interval of a
    /// smaller cell.
    fn due(&self) -> impl Iterator<Item = usize> {
        let named_end = self.named_end();
        let all = self.list.iter().enumerate();
        let is_due = move |&(at, m): &(usize, &Member)| {
            self.now.since(m.heartbeat_sent_at)
                >= m.announced_interval.min(self.interval_at(at, named_end))
        };
        all.filter(is_due).map(|(at, _)| at)
    }

    /// Returns the end of the range of `list` that holds the members named in heartbeats.
    fn named_end(&self) -> usize {
        let first = self.list.iter().enumerate().filter(|(_, m)| !m.stopping);
        first.take(MAX_NAMED_MEMBERS).last().map_or(0, |(at, _)| at + 1)
    }

    /// Returns the heartbeat interval of the member at a position.
    fn interval_at(&self, at: usize, named_end: usize) -> Millis {
        if at < named_end { BASE_HEARTBEAT_INTERVAL } else { self.interval() }
    }

    /// Returns the heartbeat interval of members that are not named to take over.
    pub(super) fn interval(&self) -> Millis {
        let factor =
            self.list.len().div_ceil(MAX_MEMBERS_AT_BASE_INTERVAL).clamp(1, MAX_INTERVAL_FACTOR);
        Millis(BASE_HEARTBEAT_INTERVAL.0 * factor as u64)
    }

    /// Sends a heartbeat to the members at these positions. The takeover order is included for a
    /// member that has not received its latest version.
    fn send_to(&mut self, config: KnownConfig, positions: Vec<usize>) {
        self.update_order();
        let named_end = self.named_end();
        for at in positions {
            let interval = self.interval_at(at, named_end);
            let Some(m) = self.list.get_mut(at) else { continue };
            let knows_order = m.sent_order_number == self.order_number;
            let heartbeat = Heartbeat {
                epoch: self.owner.epoch,
                members: if knows_order { Vec::new() } else { self.order.clone() },
                config: config.version,
                config_age_ms: config.age.0,
                store_lost: self.store_lost,
                every_ms: interval.0,
                sent_ms: self.now.0,
            };
            m.heartbeat_sent_at = self.now;
            m.announced_interval = interval;
            if m.outbox.send(Body::Heartbeat(heartbeat)) {
                m.sent_order_number = self.order_number;
            }
        }
    }

    /// Updates the takeover order that heartbeats name.
    fn update_order(&mut self) {
        let order = || self.list.iter().filter(|m| !m.stopping).take(MAX_NAMED_MEMBERS);
        if order().map(|m| &*m.address).ne(self.order.iter().map(String::as_str)) {
            self.order = order().map(|m| m.address.to_string()).collect();
            self.order_number += 1;
        }
    }
}
