//! A cell whose instances all follow a new owner at once: what each hears, on one virtual clock.
//!
//! Pattern: hundreds of links open to an owner while it claims its workers. Members that heard nothing for
//! half a second of that took it for silent, the next owner began with the same work, and owners that lived
//! deposed each other until the cell happened to be quiet.
#![allow(clippy::expect_used)]

use crate::announce::{ANNOUNCE_CHUNK_INTERVAL, ANNOUNCE_CHUNK_SIZE};
use crate::link::Outbox;
use crate::members::{KnownConfig, Members};
use crate::takeover::{FailureDetector, HEARTBEAT_INTERVAL, OwnerStatus};
use crate::wire::{Body, Frame, Hello, MemberBeat, OwnerInfo};
use hollowford_core::Millis;
use std::collections::VecDeque;
use tokio::sync::mpsc::Receiver;
use yare::parameterized;

/// One step of the clock, in milliseconds.
const STEP: u64 = 1;
/// When the partition gets its owner.
const BEGAN: u64 = 5_000;
/// The owner's loop gets so much processor in a step, in microseconds: half of its core, since what it
/// has others do for it wants the other half.
const GETS_US: i64 = 500;
/// What it takes of that to take a link, or to answer a question over a new one.
const LINK_US: i64 = 200;
/// What it takes to send or to take a frame.
const FRAME_US: i64 = 25;
/// Workers of the partition for each instance, and what it takes to claim one.
const WORKERS_EACH: i64 = 2;
const CLAIM_US: i64 = 100;
/// By then all have joined for long, in milliseconds.
const SETTLED: u64 = 8_000;
/// An owner that says nothing is missed within this time by those that take over first.
const MISSED_WITHIN: u64 = 600;

/// What waits for the owner.
enum Work {
    /// A link of a member.
    Join(usize),
    /// A member's heartbeat.
    Beat(usize),
    /// A member's question whether it lives.
    Question(usize),
}

/// A process that follows the owner, as `member` does.
struct Follower {
    rx: Receiver<Frame>,
    outbox: Option<Outbox>,
    hearing: Option<FailureDetector>,
    /// The owner is asked, and has answered once this is true.
    asked: Option<bool>,
    beat_sent: u64,
    /// When it has left the owner, and how.
    parted: Option<(u64, OwnerStatus)>,
}

struct Scene {
    now: u64,
    members: Members,
    followers: Vec<Follower>,
    work: VecDeque<Work>,
    /// Processor that the owner has used ahead, in microseconds.
    owes_us: i64,
    /// The owner does nothing any more.
    stopped: bool,
}

const KNOWN: KnownConfig = KnownConfig { version: 1, age: Millis(0) };

impl Scene {
    fn new(instances: usize) -> Scene {
        let follower = |_| {
            let (outbox, rx) = Outbox::for_test();
            Follower {
                rx,
                outbox: Some(outbox),
                hearing: None,
                asked: None,
                beat_sent: 0,
                parted: None,
            }
        };
        Scene {
            now: BEGAN,
            members: Members::new(OwnerInfo::default(), 1),
            followers: (0..instances).map(follower).collect(),
            work: VecDeque::new(),
            owes_us: 0,
            stopped: false,
        }
    }

    /// Plays so many milliseconds.
    fn play(&mut self, ms: u64) {
        for _ in 0..ms / STEP {
            self.now += STEP;
            self.connect();
            if !self.stopped {
                self.work();
            }
            (0..self.followers.len()).for_each(|i| self.follow(i));
        }
    }

    /// Those that are told now open their links.
    fn connect(&mut self) {
        let told_every = ANNOUNCE_CHUNK_INTERVAL.as_millis() as u64;
        let since = self.now - BEGAN - STEP;
        if !since.is_multiple_of(told_every) {
            return;
        }
        let first = (since / told_every) as usize * ANNOUNCE_CHUNK_SIZE;
        let end = (first + ANNOUNCE_CHUNK_SIZE).min(self.followers.len());
        for i in first..end {
            self.followers[i].hearing = Some(FailureDetector::new(Millis(self.now)));
            self.work.push_back(Work::Join(i));
        }
    }

    /// The owner does what its processor allows.
    fn work(&mut self) {
        // Claims go on beside, for as long as they take.
        let claims_us = self.followers.len() as i64 * WORKERS_EACH * CLAIM_US;
        let claiming = ((self.now - BEGAN) as i64) * GETS_US < claims_us;
        self.owes_us -= if claiming { GETS_US } else { 2 * GETS_US };
        if self.owes_us < 0 {
            let before = self.sent();
            self.members.tick(Millis(self.now), KNOWN, false);
            self.owes_us += (self.sent() - before) as i64 * FRAME_US;
        }
        while self.owes_us < 0 {
            let Some(work) = self.work.pop_front() else { break };
            self.owes_us += self.do_one(work);
        }
        self.owes_us = self.owes_us.max(-GETS_US);
    }

    /// Returns what it takes of the processor.
    fn do_one(&mut self, work: Work) -> i64 {
        match work {
            Work::Join(i) => {
                let Some(outbox) = self.followers[i].outbox.take() else { return LINK_US };
                let address = format!("10.0.{}.{}:7000", i / 250, i % 250);
                let hello = Hello { address, cpu_milli: 1_000, age_ms: 1, ..Hello::default() };
                let before = self.sent();
                self.members.join(i as u64, hello, outbox, Millis(self.now));
                self.members.send_first_heartbeat(i as u64, KNOWN);
                LINK_US + (self.sent() - before) as i64 * FRAME_US
            }
            Work::Beat(i) => {
                self.members.record_heartbeat(i as u64, &MemberBeat::default(), Millis(self.now));
                FRAME_US
            }
            Work::Question(i) => {
                self.followers[i].asked = self.followers[i].asked.map(|_| true);
                LINK_US
            }
        }
    }

    /// Returns how many frames are on their way to members.
    fn sent(&self) -> usize {
        self.followers.iter().map(|f| f.rx.len()).sum()
    }

    fn follow(&mut self, i: usize) {
        let now = Millis(self.now);
        let f = &mut self.followers[i];
        let Some(hearing) = f.hearing.as_mut().filter(|_| f.parted.is_none()) else { return };
        while let Ok(frame) = f.rx.try_recv() {
            hearing.record_message(now);
            f.asked = None;
            if let Some(Body::Heartbeat(beat)) = frame.body {
                hearing.set_interval(Millis(beat.every_ms));
            }
        }
        // Their timers come at times of their own.
        if !(self.now + i as u64).is_multiple_of(HEARTBEAT_INTERVAL.0) {
            return;
        }
        match hearing.check(now) {
            OwnerStatus::Suspected if f.asked.is_none() => {
                f.asked = Some(false);
                self.work.push_back(Work::Question(i));
            }
            OwnerStatus::Failed => f.parted = Some((self.now, OwnerStatus::Failed)),
            _ => {}
        }
        if self.now - f.beat_sent >= hearing.interval().0 {
            f.beat_sent = self.now;
            self.work.push_back(Work::Beat(i));
        }
    }

    /// Returns when members have left the owner, in turn.
    fn parted(&self) -> Vec<u64> {
        let mut at: Vec<_> = self.followers.iter().filter_map(|f| Some(f.parted?.0)).collect();
        at.sort_unstable();
        at
    }
}

#[parameterized(
    one_pool = { 147 },
    fleet = { 588 },
    twice_the_fleet = { 1_176 },
)]
fn no_member_leaves_an_owner_that_lives(instances: usize) {
    let mut scene = Scene::new(instances);
    scene.play(SETTLED);
    assert_eq!(scene.parted(), Vec::<u64>::new());
    assert!(scene.followers.iter().all(|f| f.outbox.is_none()), "all have joined");
}

#[parameterized(
    one_pool = { 147 },
    fleet = { 588 },
    twice_the_fleet = { 1_176 },
)]
fn those_that_take_over_first_miss_an_owner_in_time(instances: usize) {
    let mut scene = Scene::new(instances);
    scene.play(SETTLED);
    scene.stopped = true;
    let stopped = scene.now;
    scene.play(5_000);
    let parted = scene.parted();
    assert_eq!(parted.len(), instances, "all miss it");
    assert!(parted[7] <= stopped + MISSED_WITHIN, "{:?} after {stopped}", &parted[..8]);
}
