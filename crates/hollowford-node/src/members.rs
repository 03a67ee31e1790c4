//! The processes that have a link to the owner.

mod heartbeats;

use crate::assignment::{advice_partition, process_order};
use crate::delegation::Delegate;
use crate::link::Outbox;
use crate::wire::{Ask, Body, ConfigRow, HandOver, Hello, MemberBeat, OwnerInfo};
use crate::worker_changes::WorkerChanges;
use heartbeats::BASE_HEARTBEAT_INTERVAL;
use hollowford_core::Millis;
use hollowford_jobs::{Seat, StepKey};
use std::cmp::Reverse;
use std::sync::Arc;

/// A member that was not heard for so many heartbeats gets no work.
const MAX_MISSED_HEARTBEATS: u64 = 9;
/// A member that the store has answered within this time is served by it, when members are asked
/// to find out.
const MAX_PROBED_STORE_AGE: Millis = Millis(500);
/// The same for members that are not asked: they read the configuration every 3 s.
const MAX_STORE_AGE: Millis = Millis(3_500);
/// An instance is much larger than another from this part of its processors on, in percent.
const MIN_LARGER_PERCENT: u32 = 150;
/// Longest time for a call for advice that a member makes.
const ADVICE_TIMEOUT_MS: u64 = 3_000;

/// Tells one link to the owner from another, also of the same member.
pub type LinkId = u64;

#[derive(Debug)]
struct Member {
    link: LinkId,
    address: Arc<str>,
    zone: Arc<str>,
    cpu_milli: u32,
    /// When its process was started, by the owner's clock.
    started_at: Millis,
    outbox: Outbox,
    last_heard: Millis,
    store_age: Millis,
    stopping: bool,
    /// How many partitions it owns.
    owned_partitions: u32,
    /// Version of the configuration that it has, once it has told.
    config_version: Option<u64>,
    /// Version of the configuration that was sent to it last; 0: none was.
    sent_config_version: u64,
    /// Which order of members it was told last.
    sent_order_number: u64,
    /// When it was sent a heartbeat last.
    heartbeat_sent_at: Millis,
    /// How soon after that one the next was said to come.
    announced_interval: Millis,
}

impl Member {
    /// Returns what one more partition would get of its processor, in thousandths of a core.
    fn share(&self) -> u32 {
        self.cpu_milli / (self.owned_partitions + 1)
    }

    /// Returns its place among those that take over: the largest first, then the one that has run
    /// longest.
    fn takeover_order(&self) -> (Reverse<u32>, Millis, &str) {
        (Reverse(self.cpu_milli), self.started_at, &self.address)
    }
}

/// What the owner knows of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct KnownConfig {
    /// Its version.
    pub version: u64,
    /// Time since the owner read it in the store.
    pub age: Millis,
}

/// The members.
#[derive(Debug)]
pub struct Members {
    owner: OwnerInfo,
    /// How many partitions there are.
    partitions: u32,
    list: Vec<Member>,
    /// When it was looked last whose heartbeat is due.
    due_checked_at: Millis,
    /// When the round of heartbeats that is under way began.
    round_started_at: Millis,
    store_lost: bool,
    now: Millis,
    had_members: bool,
    /// The members that take over first, as heartbeats name them.
    order: Vec<String>,
    /// Counts the changes of that, from 1.
    order_number: u64,
}

impl Members {
    /// Makes an empty list.
    pub fn new(owner: OwnerInfo, partitions: u32) -> Members {
        Members {
            owner,
            partitions,
            list: Vec::new(),
            due_checked_at: Millis(0),
            round_started_at: Millis(0),
            store_lost: false,
            now: Millis(0),
            had_members: false,
            order: Vec::new(),
            order_number: 0,
        }
    }

    /// Adds a member, in the place of an earlier link from its address. The others hear of it with
    /// their next heartbeat: where hundreds of links open at once, one more costs what the first did.
    pub fn join(&mut self, link: LinkId, hello: Hello, outbox: Outbox, now: Millis) {
        self.now = now;
        self.list.retain(|m| *m.address != hello.address);
        self.had_members = true;
        let member = Member {
            link,
            address: hello.address.into(),
            zone: hello.zone.into(),
            cpu_milli: hello.cpu_milli,
            started_at: now - Millis(hello.age_ms),
            outbox,
            last_heard: now,
            store_age: Millis(0),
            stopping: false,
            owned_partitions: 0,
            config_version: None,
            sent_config_version: 0,
            sent_order_number: 0,
            heartbeat_sent_at: now,
            announced_interval: BASE_HEARTBEAT_INTERVAL,
        };
        let at = self.list.partition_point(|m| m.takeover_order() < member.takeover_order());
        self.list.insert(at, member);
    }

    /// Removes the member of a link that has ended.
    pub fn leave(&mut self, link: LinkId) {
        self.list.retain(|m| m.link != link);
    }

    /// Tells whether there ever was a member.
    pub fn had_members(&self) -> bool {
        self.had_members
    }

    /// Takes note of a member's heartbeat.
    pub fn record_heartbeat(&mut self, link: LinkId, beat: &MemberBeat, now: Millis) {
        self.now = now;
        if let Some(m) = self.list.iter_mut().find(|m| m.link == link) {
            m.last_heard = now;
            m.store_age = Millis(beat.store_age_ms);
            m.stopping = beat.stopping;
            m.owned_partitions = beat.owned;
            m.config_version = Some(beat.config);
        }
    }

    /// Returns the seats for calls for advice, this process first. Each member makes the calls
    /// of one partition, since the service takes one call of an instance at a time.
    pub fn seats(&self) -> Vec<Seat> {
        let here = Seat { address: "".into() };
        let ours =
            |m: &&Member| advice_partition(&m.address, self.partitions) == self.owner.partition;
        let others = self.live().filter(ours).map(|m| Seat { address: m.address.clone() });
        std::iter::once(here).chain(others).collect()
    }

    /// Returns the members that can make calls to workers.
    pub fn delegates(&self) -> Vec<Delegate> {
        let delegate = |m: &Member| Delegate {
            link: m.link,
            address: m.address.clone(),
            zone: m.zone.clone(),
            outbox: m.outbox.clone(),
        };
        self.live().map(delegate).collect()
    }

    /// Has a member make a call for advice. Tells whether it was sent.
    pub fn request_advice(&self, address: &str, step: StepKey, workers: Vec<String>) -> bool {
        let Some(m) = self.list.iter().find(|m| &*m.address == address) else { return false };
        let ask = Ask { step: step.to_string(), workers, timeout_ms: ADVICE_TIMEOUT_MS };
        m.outbox.send(Body::Ask(ask))
    }

    fn live(&self) -> impl Iterator<Item = &Member> {
        let silent_after = Millis(self.interval().0 * MAX_MISSED_HEARTBEATS);
        self.list.iter().filter(move |m| !m.stopping && self.now.since(m.last_heard) < silent_after)
    }

    /// Names the live member with the most processor for the partition as the next owner.
    /// Of equal ones a stopping owner names the youngest: where processes are restarted in
    /// turn, its turn is over. One that is `is_moving` names one by the partition, so that owners
    /// that move together don't meet again. Returns its address.
    pub fn hand_over(&self, rev: u64, is_moving: bool) -> Option<Arc<str>> {
        let order = |m: &&Member| {
            let by_partition = process_order(&m.address, self.owner.partition);
            let tie = if is_moving { by_partition } else { m.started_at.0 };
            (m.store_age < MAX_STORE_AGE, m.share(), tie)
        };
        let next = self.live().max_by_key(order)?;
        next.outbox.send(Body::HandOver(HandOver { rev }));
        Some(next.address.clone())
    }

    /// Sends the configuration in `row` to the members that have told of an older one than
    /// `version`, to each once: a link loses nothing, and a configuration of a thousand routes may
    /// take longer to arrive than the member's next heartbeat. While one is on its way no other
    /// follows, or quick changes would fill the link.
    pub fn send_config(&mut self, version: u64, row: &ConfigRow) {
        for m in &mut self.list {
            let Some(has) = m.config_version else { continue };
            let on_its_way = has < m.sent_config_version;
            if has < version && !on_its_way && m.outbox.send(Body::Config(row.clone())) {
                m.sent_config_version = version;
            }
        }
    }

    /// Sends changes of the list of workers to the members that own partitions.
    pub fn send_worker_changes(&self, changes: &WorkerChanges) {
        for m in self.list.iter().filter(|m| m.owned_partitions > 0) {
            // A link that has ended: that owner reads the list itself.
            m.outbox.send(Body::Workers(changes.clone()));
        }
    }

    /// Tells whether a live member has much more of a core for the partition than `cpu_milli`
    /// thousandths, and is served by the store.
    pub fn any_larger_than(&self, cpu_milli: u32) -> bool {
        let larger = |m: &Member| m.share() * 100 >= cpu_milli * MIN_LARGER_PERCENT;
        self.live().any(|m| larger(m) && m.store_age < MAX_STORE_AGE)
    }

    /// Tells whether the store serves a live member.
    pub fn any_served_by_store(&self) -> bool {
        self.live().any(|m| m.store_age < MAX_PROBED_STORE_AGE)
    }

    /// Names a member that the store serves as the next owner. Tells whether there is one.
    pub fn hand_over_to_served_member(&self) -> bool {
        let served = self.live().filter(|m| m.store_age < MAX_PROBED_STORE_AGE);
        let next = served.max_by_key(|m| (m.share(), Reverse(m.store_age)));
        next.is_some_and(|m| m.outbox.send(Body::HandOver(HandOver { rev: 0 })))
    }
}
