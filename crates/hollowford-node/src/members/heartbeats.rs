//! The owner's heartbeats to its members: when each is due, and what it says.

use super::{KnownConfig, LinkId, Member, Members};
use crate::wire::{Body, Heartbeat};
use hollowford_core::Millis;

/// How often the owner tells its members that it is alive, while they are few.
pub(super) const BASE_HEARTBEAT_INTERVAL: Millis = Millis(100);
/// How often the owner looks whose heartbeat is due.
const DUE_CHECK_INTERVAL: Millis = Millis(10);
/// With more members than this heartbeats come less often, so that the owner sends and takes
/// some 500 a second.
const MAX_MEMBERS_AT_BASE_INTERVAL: usize = 50;
/// They are at most so many times rarer: a member has to be missed in time.
const MAX_INTERVAL_FACTOR: usize = 5;
/// Heartbeats name so many members, the first ones to take over: all of them would be some
/// megabytes a second in a large cell.
const MAX_NAMED_MEMBERS: usize = 8;

impl Members {
    /// Sends a member that has just joined its first heartbeat, so that it knows its owner.
    pub fn send_first_heartbeat(&mut self, link: LinkId, config: KnownConfig) {
        if let Some(at) = self.list.iter().position(|m| m.link == link) {
            self.send_to(config, vec![at]);
        }
    }

    /// Sends the heartbeats that are due, and tells whether a round is over in which every member
    /// got one. Those that take over first get theirs at full pace, so that they miss an owner soon
    /// in a large cell, too.
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

    /// Returns the positions of the members whose next heartbeat is due, by the pace that each was
    /// told: in a cell that grows, the earlier ones expect it at the pace of a smaller one.
    fn due(&self) -> impl Iterator<Item = usize> {
        let named_end = self.named_end();
        let all = self.list.iter().enumerate();
        let is_due = move |&(at, m): &(usize, &Member)| {
            self.now.since(m.heartbeat_sent_at)
                >= m.announced_interval.min(self.interval_at(at, named_end))
        };
        all.filter(is_due).map(|(at, _)| at)
    }

    /// Returns the end of the part of the list that holds the first ones to take over.
    fn named_end(&self) -> usize {
        let first = self.list.iter().enumerate().filter(|(_, m)| !m.stopping);
        first.take(MAX_NAMED_MEMBERS).last().map_or(0, |(at, _)| at + 1)
    }

    /// Returns the time between two heartbeats to the member at a position.
    fn interval_at(&self, at: usize, named_end: usize) -> Millis {
        if at < named_end { BASE_HEARTBEAT_INTERVAL } else { self.interval() }
    }

    /// Returns the time between two heartbeats to most members.
    pub(super) fn interval(&self) -> Millis {
        let times =
            self.list.len().div_ceil(MAX_MEMBERS_AT_BASE_INTERVAL).clamp(1, MAX_INTERVAL_FACTOR);
        Millis(BASE_HEARTBEAT_INTERVAL.0 * times as u64)
    }

    /// Sends a heartbeat to the members at these positions. Who takes over first is told to each
    /// member once, and again when it changes.
    fn send_to(&mut self, config: KnownConfig, positions: Vec<usize>) {
        self.update_order();
        let named_end = self.named_end();
        for at in positions {
            let interval = self.interval_at(at, named_end);
            let Some(m) = self.list.get_mut(at) else { continue };
            let knows_order = m.sent_order_number == self.order_number;
            let beat = Heartbeat {
                epoch: self.owner.epoch,
                members: if knows_order { Vec::new() } else { self.order.clone() },
                config: config.version,
                config_age_ms: config.age.0,
                store_lost: self.store_lost,
                every_ms: interval.0,
            };
            m.heartbeat_sent_at = self.now;
            m.announced_interval = interval;
            if m.outbox.send(Body::Heartbeat(beat)) {
                m.sent_order_number = self.order_number;
            }
        }
    }

    /// Brings the members that take over first up to date.
    fn update_order(&mut self) {
        let order = || self.list.iter().filter(|m| !m.stopping).take(MAX_NAMED_MEMBERS);
        if order().map(|m| &*m.address).ne(self.order.iter().map(String::as_str)) {
            self.order = order().map(|m| m.address.to_string()).collect();
            self.order_number += 1;
        }
    }
}
