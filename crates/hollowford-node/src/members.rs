//! The owner's members: the processes that have a link to it.

mod heartbeats;
mod successors;

use crate::assignment::{advice_partition, process_order};
use crate::delegation::Delegate;
use crate::link::Outbox;
use crate::wire::{Ask, Body, ConfigRow, HandOver, Hello, MemberBeat, OwnerInfo};
use crate::worker_changes::WorkerChanges;
use heartbeats::BASE_HEARTBEAT_INTERVAL;
use hollowford_core::Millis;
use hollowford_jobs::{AdviceChannel, StepKey};
use std::cmp::Reverse;
use std::sync::Arc;
use successors::DepartedMember;

/// Heartbeats that a member may miss before it gets no more work.
const MAX_MISSED_HEARTBEATS: u64 = 9;
/// Time since a member's last store answer up to which the store counts as serving it, while
/// members probe the store on the owner's request.
const MAX_PROBED_STORE_AGE: Millis = Millis(500);
/// Value of [`MAX_PROBED_STORE_AGE`] while members don't probe on request: they then call the store
/// every 3 s.
const MAX_STORE_AGE: Millis = Millis(3_500);
/// A member is much larger if its CPU share is at least this percentage of the owner's.
const MIN_LARGER_PERCENT: u32 = 150;
/// Time limit of an advice call that a member makes.
const ADVICE_TIMEOUT_MS: u64 = 3_000;

/// Identifies one link to the owner. A member that reconnects gets a new one.
pub type LinkId = u64;

#[derive(Debug)]
struct Member {
    link: LinkId,
    address: Arc<str>,
    /// Random id of the member's process; 0 if not told.
    boot: u64,
    zone: Arc<str>,
    cpu_milli: u32,
    /// When the member's process started, by the owner's clock.
    started_at: Millis,
    outbox: Outbox,
    last_heard: Millis,
    /// When the member is known to have followed this owner. It has answered a heartbeat sent at
    /// that time.
    followed_at: Millis,
    /// Time since the store answered the member, as of its last heartbeat.
    store_age: Millis,
    stopping: bool,
    /// Number of partitions that the member owns.
    owned_partitions: u32,
    /// Version of the member's configuration; `None` until it has reported one.
    config_version: Option<u64>,
    /// Version of the configuration last sent to the member; 0 if none was.
    sent_config_version: u64,
    /// [`Members::order_number`] of the takeover order last sent to the member.
    sent_order_number: u64,
    /// When the last heartbeat was sent to the member.
    heartbeat_sent_at: Millis,
    /// Heartbeat interval announced with that heartbeat.
    announced_interval: Millis,
}

impl Member {
    /// Returns the CPU that one more partition would get on this member, in thousandths of a core.
    fn share(&self) -> u32 {
        self.cpu_milli / (self.owned_partitions + 1)
    }

    /// Returns the sort key of the takeover order: larger members first, then those that have run
    /// longest.
    fn takeover_order(&self) -> (Reverse<u32>, Millis, &str) {
        (Reverse(self.cpu_milli), self.started_at, &self.address)
    }
}

/// The configuration that the owner knows.
#[derive(Clone, Copy, Debug)]
pub struct KnownConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Time since the owner read it from the store.
    pub age: Millis,
}

/// The members of one owner, in takeover order.
#[derive(Debug)]
pub struct Members {
    owner: OwnerInfo,
    /// Number of partitions in the cell.
    partitions: u32,
    list: Vec<Member>,
    /// Members whose links have ended and whose processes may still run.
    departed: Vec<DepartedMember>,
    /// When the members were last checked for due heartbeats.
    due_checked_at: Millis,
    /// When the current round of heartbeats started.
    round_started_at: Millis,
    /// The store doesn't answer the owner, so members are asked to probe it.
    store_lost: bool,
    /// Time of the last event, by the owner's clock.
    now: Millis,
    had_members: bool,
    /// Addresses of the members that take over first, as named in heartbeats.
    order: Vec<String>,
    /// Incremented with each change of `order`, from 1.
    order_number: u64,
}

impl Members {
    /// Creates an empty list.
    pub fn new(owner: OwnerInfo, partitions: u32) -> Members {
        Members {
            owner,
            partitions,
            list: Vec::new(),
            departed: Vec::new(),
            due_checked_at: Millis(0),
            round_started_at: Millis(0),
            store_lost: false,
            now: Millis(0),
            had_members: false,
            order: Vec::new(),
            order_number: 0,
        }
    }

    /// Adds a member, replacing an earlier link from the same address. The other members learn of
    /// it with their next heartbeat, so that the cost of a join doesn't grow with the number of
    /// members: hundreds of links may open at once.
    pub fn join(&mut self, link: LinkId, hello: Hello, outbox: Outbox, now: Millis) {
        self.now = now;
        let followed_at = self.replace_earlier_link(&hello).unwrap_or(now);
        self.had_members = true;
        let member = Member {
            link,
            address: hello.address.into(),
            boot: hello.boot,
            zone: hello.zone.into(),
            cpu_milli: hello.cpu_milli,
            started_at: now - Millis(hello.age_ms),
            outbox,
            last_heard: now,
            followed_at,
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

    /// Removes the member whose link has ended.
    pub fn leave(&mut self, link: LinkId) {
        let ended = self.list.extract_if(.., |m| m.link == link);
        self.departed.extend(ended.map(DepartedMember::from));
    }

    /// Returns true if a member ever joined.
    pub fn had_members(&self) -> bool {
        self.had_members
    }

    pub fn record_heartbeat(&mut self, link: LinkId, heartbeat: &MemberBeat, now: Millis) {
        self.now = now;
        if let Some(m) = self.list.iter_mut().find(|m| m.link == link) {
            m.last_heard = now;
            m.followed_at = m.followed_at.max(Millis(heartbeat.echoed_ms).min(now));
            m.store_age = Millis(heartbeat.store_age_ms);
            m.stopping = heartbeat.stopping;
            m.owned_partitions = heartbeat.owned;
            m.config_version = Some(heartbeat.config);
        }
    }

    /// Returns the channels for advice calls, that of this process first. Each member makes the
    /// calls of one partition only, since the service accepts one call per instance at a time.
    pub fn advice_channels(&self) -> Vec<AdviceChannel> {
        let here = AdviceChannel { address: "".into() };
        let of_this_partition =
            |m: &&Member| advice_partition(&m.address, self.partitions) == self.owner.partition;
        let others = self
            .live()
            .filter(of_this_partition)
            .map(|m| AdviceChannel { address: m.address.clone() });
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

    /// Asks a member to make an advice call. Returns true if the request was sent.
    pub fn request_advice(&self, address: &str, step: StepKey, workers: Vec<String>) -> bool {
        let Some(m) = self.list.iter().find(|m| &*m.address == address) else { return false };
        let ask = Ask { step: step.to_string(), workers, timeout_ms: ADVICE_TIMEOUT_MS };
        m.outbox.send(Body::Ask(ask))
    }

    fn live(&self) -> impl Iterator<Item = &Member> {
        let silent_after = Millis(self.interval().0 * MAX_MISSED_HEARTBEATS);
        self.list.iter().filter(move |m| !m.stopping && self.now.since(m.last_heard) < silent_after)
    }

    /// Hands the partition over to the live member with the most CPU for it, preferring members
    /// that the store serves, and returns its address. Of equal members a stopping owner chooses
    /// the one started last: in a rolling restart it has already been restarted. If `is_moving`,
    /// the choice among equal members depends on the partition, so that owners which move at the
    /// same time choose different members.
    pub fn hand_over(&self, rev: u64, is_moving: bool) -> Option<Arc<str>> {
        let order = |m: &&Member| {
            let by_partition = process_order(&m.address, self.owner.partition);
            let tie_break = if is_moving { by_partition } else { m.started_at.0 };
            (m.store_age < MAX_STORE_AGE, m.share(), tie_break)
        };
        let next = self.live().max_by_key(order)?;
        next.outbox.send(Body::HandOver(HandOver { rev }));
        Some(next.address.clone())
    }

    /// Sends the configuration in `row` to the members that have reported a version older than
    /// `version`, once to each: links are reliable, and a configuration with a thousand routes may
    /// arrive later than the member's next heartbeat. Nothing newer is sent while one is in
    /// transit, since frequent changes would saturate the link.
    pub fn send_config(&mut self, version: u64, row: &ConfigRow) {
        for m in &mut self.list {
            let Some(reported_version) = m.config_version else { continue };
            let in_transit = reported_version < m.sent_config_version;
            if reported_version < version && !in_transit && m.outbox.send(Body::Config(row.clone()))
            {
                m.sent_config_version = version;
            }
        }
    }

    /// Sends worker list changes to the members that own partitions.
    pub fn send_worker_changes(&self, changes: &WorkerChanges) {
        for m in self.list.iter().filter(|m| m.owned_partitions > 0) {
            // If the link has ended, that owner reads the list from the store itself.
            m.outbox.send(Body::Workers(changes.clone()));
        }
    }

    /// Returns true if a live member that the store serves has a much larger CPU share for the
    /// partition than `cpu_milli` thousandths of a core.
    pub fn any_larger_than(&self, cpu_milli: u32) -> bool {
        let larger = |m: &Member| m.share() * 100 >= cpu_milli * MIN_LARGER_PERCENT;
        self.live().any(|m| larger(m) && m.store_age < MAX_STORE_AGE)
    }

    /// Returns true if the store has answered a live member after `since`.
    pub fn any_served_by_store(&self, since: Millis) -> bool {
        self.served_by_store(since).next().is_some()
    }

    /// Hands the partition over to a member that the store has answered after `since`. Returns true
    /// if there was one.
    pub fn hand_over_to_served_member(&self, since: Millis) -> bool {
        let next = self.served_by_store(since).max_by_key(|m| (m.share(), Reverse(m.store_age)));
        next.is_some_and(|m| m.outbox.send(Body::HandOver(HandOver { rev: 0 })))
    }

    /// Returns the live members that the store has answered recently and after `since`.
    fn served_by_store(&self, since: Millis) -> impl Iterator<Item = &Member> {
        let is_served = move |m: &&Member| {
            m.store_age < MAX_PROBED_STORE_AGE && m.last_heard.since(m.store_age) > since
        };
        self.live().filter(is_served)
    }
}
