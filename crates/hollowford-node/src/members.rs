//! The processes that have a link to the owner.

mod heartbeats;

use crate::delegation::Delegate;
use crate::homes::{home_of_seat, preference};
use crate::link::Outbox;
use crate::wire::{Ask, Body, ConfigRow, HandOver, Hello, MemberBeat, OwnerInfo};
use crate::worker_changes::WorkerChanges;
use heartbeats::HEARTBEAT;
use hollowford_core::Millis;
use hollowford_jobs::{AdviceChannel, StepKey};
use std::cmp::Reverse;
use std::sync::Arc;

/// A member that was not heard for so many heartbeats gets no work.
const SILENT_BEATS: u64 = 9;
/// A member that the store has answered within this time is served by it, when members are asked
/// to find out.
const SERVED: Millis = Millis(500);
/// The same for members that are not asked: they read the configuration every 3 s.
const SERVED_LATELY: Millis = Millis(3_500);
/// An instance is much larger than another from this part of its processors on, in percent.
const LARGER_PERCENT: u32 = 150;
/// Longest time for a call for advice that a member makes.
const ASK_TIMEOUT_MS: u64 = 3_000;

/// Tells one link to the owner from another, also of the same member.
pub type LinkId = u64;

#[derive(Debug)]
struct Member {
    link: LinkId,
    address: Arc<str>,
    zone: Arc<str>,
    cpu_milli: u32,
    /// When its process was started, by the owner's clock.
    since: Millis,
    outbox: Outbox,
    heard: Millis,
    store_age: Millis,
    stopping: bool,
    /// How many partitions it owns.
    owned: u32,
    /// Version of the configuration that it has, once it has told.
    config: Option<u64>,
    /// Version of the configuration that was sent to it last; 0: none was.
    config_sent: u64,
    /// Which order of members it was told last.
    order_told: u64,
    /// When it was sent a heartbeat last.
    beat_sent: Millis,
    /// How soon after that one the next was said to come.
    pace_told: Millis,
}

impl Member {
    /// Returns what one more partition would get of its processor, in thousandths of a core.
    fn share(&self) -> u32 {
        self.cpu_milli / (self.owned + 1)
    }

    /// Returns its place among those that take over: the largest first, then the one that has run
    /// longest.
    fn takeover_order(&self) -> (Reverse<u32>, Millis, &str) {
        (Reverse(self.cpu_milli), self.since, &self.address)
    }
}

/// What the owner knows of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigKnown {
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
    looked: Millis,
    /// When the round of heartbeats that is under way began.
    round_began: Millis,
    store_lost: bool,
    now: Millis,
    had_any: bool,
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
            looked: Millis(0),
            round_began: Millis(0),
            store_lost: false,
            now: Millis(0),
            had_any: false,
            order: Vec::new(),
            order_number: 0,
        }
    }

    /// Adds a member, in the place of an earlier link from its address. The others hear of it with
    /// their next heartbeat: where hundreds of links open at once, one more costs what the first did.
    pub fn join(&mut self, link: LinkId, hello: Hello, outbox: Outbox, now: Millis) {
        self.now = now;
        self.list.retain(|m| *m.address != hello.address);
        self.had_any = true;
        let member = Member {
            link,
            address: hello.address.into(),
            zone: hello.zone.into(),
            cpu_milli: hello.cpu_milli,
            since: now - Millis(hello.age_ms),
            outbox,
            heard: now,
            store_age: Millis(0),
            stopping: false,
            owned: 0,
            config: None,
            config_sent: 0,
            order_told: 0,
            beat_sent: now,
            pace_told: HEARTBEAT,
        };
        let at = self.list.partition_point(|m| m.takeover_order() < member.takeover_order());
        self.list.insert(at, member);
    }

    /// Removes the member of a link that has ended.
    pub fn leave(&mut self, link: LinkId) {
        self.list.retain(|m| m.link != link);
    }

    /// Tells whether there ever was a member.
    pub fn had_any(&self) -> bool {
        self.had_any
    }

    /// Takes note of a member's heartbeat.
    pub fn beat(&mut self, link: LinkId, beat: &MemberBeat, now: Millis) {
        self.now = now;
        if let Some(m) = self.list.iter_mut().find(|m| m.link == link) {
            m.heard = now;
            m.store_age = Millis(beat.store_age_ms);
            m.stopping = beat.stopping;
            m.owned = beat.owned;
            m.config = Some(beat.config);
        }
    }

    /// Returns the seats for calls for advice, this process first. Each member makes the calls
    /// of one partition, since the service takes one call of an instance at a time.
    pub fn seats(&self) -> Vec<AdviceChannel> {
        let here = AdviceChannel { address: "".into() };
        let ours = |m: &&Member| home_of_seat(&m.address, self.partitions) == self.owner.partition;
        let others = self.live().filter(ours).map(|m| AdviceChannel { address: m.address.clone() });
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
    pub fn ask(&self, address: &str, step: StepKey, workers: Vec<String>) -> bool {
        let Some(m) = self.list.iter().find(|m| &*m.address == address) else { return false };
        let ask = Ask { step: step.to_string(), workers, timeout_ms: ASK_TIMEOUT_MS };
        m.outbox.send(Body::Ask(ask))
    }

    fn live(&self) -> impl Iterator<Item = &Member> {
        let silent = Millis(self.every().0 * SILENT_BEATS);
        self.list.iter().filter(move |m| !m.stopping && self.now.since(m.heard) < silent)
    }

    /// Names the live member with the most processor for the partition as the next owner.
    /// Of equal ones a stopping owner names the youngest: where processes are restarted in
    /// turn, its turn is over. One that is `moving` names one by the partition, so that owners
    /// that move together don't meet again. Returns its address.
    pub fn hand_over(&self, rev: u64, moving: bool) -> Option<Arc<str>> {
        let order = |m: &&Member| {
            let by_partition = preference(&m.address, self.owner.partition);
            let tie = if moving { by_partition } else { m.since.0 };
            (m.store_age < SERVED_LATELY, m.share(), tie)
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
            let Some(has) = m.config else { continue };
            let on_its_way = has < m.config_sent;
            if has < version && !on_its_way && m.outbox.send(Body::Config(row.clone())) {
                m.config_sent = version;
            }
        }
    }

    /// Sends changes of the list of workers to the members that own partitions.
    pub fn send_workers(&self, changes: &WorkerChanges) {
        for m in self.list.iter().filter(|m| m.owned > 0) {
            // A link that has ended: that owner reads the list itself.
            m.outbox.send(Body::Workers(changes.clone()));
        }
    }

    /// Tells whether a live member has much more of a core for the partition than `cpu_milli`
    /// thousandths, and is served by the store.
    pub fn any_larger_than(&self, cpu_milli: u32) -> bool {
        let larger = |m: &Member| m.share() * 100 >= cpu_milli * LARGER_PERCENT;
        self.live().any(|m| larger(m) && m.store_age < SERVED_LATELY)
    }

    /// Tells whether the store serves a live member.
    pub fn any_served(&self) -> bool {
        self.live().any(|m| m.store_age < SERVED)
    }

    /// Names a member that the store serves as the next owner. Tells whether there is one.
    pub fn hand_over_to_served(&self) -> bool {
        let served = self.live().filter(|m| m.store_age < SERVED);
        let next = served.max_by_key(|m| (m.share(), Reverse(m.store_age)));
        next.is_some_and(|m| m.outbox.send(Body::HandOver(HandOver { rev: 0 })))
    }
}
