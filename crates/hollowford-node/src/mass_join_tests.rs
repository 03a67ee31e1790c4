//! Simulates a cell whose instances all join a new owner at once.
//!
//! Guards against live owners that depose each other under load. Hundreds of links open while the
//! owner claims its workers. Members that received nothing for half a second took the owner for
//! dead, the next owner started with the same load and was deposed in turn, until the cell happened
//! to be quiet.
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

/// Step of the simulated clock, in milliseconds.
const STEP_MS: u64 = 1;
/// When the owner takes the partition, in milliseconds.
const OWNER_START_MS: u64 = 5_000;
/// CPU time that the owner's loop gets per step, in microseconds. This is half a core; tasks that
/// the owner has started need the other half.
const OWNER_CPU_US_PER_STEP: i64 = 500;
/// CPU time to accept a link, or to answer a probe over a new link.
const LINK_US: i64 = 200;
/// CPU time to send or receive a frame.
const FRAME_US: i64 = 25;
/// Workers of the partition per instance, and the CPU time to claim one.
const WORKERS_PER_INSTANCE: i64 = 2;
const CLAIM_US: i64 = 100;
/// Duration after which all members have joined, in milliseconds.
const SETTLE_MS: u64 = 8_000;
/// Time within which the first candidates detect a silent owner, in milliseconds.
const MAX_DETECTION_MS: u64 = 600;

/// Work queued for the owner. Each variant holds the index of the follower.
enum OwnerWork {
    /// A member opens a link.
    Join(usize),
    /// A member sends a heartbeat.
    Heartbeat(usize),
    /// A member asks whether the owner is alive.
    Probe(usize),
}

/// A process that follows the owner like `member` does.
struct Follower {
    rx: Receiver<Frame>,
    outbox: Option<Outbox>,
    detector: Option<FailureDetector>,
    /// `Some(false)` while a probe is unanswered, `Some(true)` once it is answered.
    probe_answered: Option<bool>,
    heartbeat_sent_at: u64,
    /// When and why the follower left the owner.
    left: Option<(u64, OwnerStatus)>,
}

struct Simulation {
    now: u64,
    members: Members,
    followers: Vec<Follower>,
    work: VecDeque<OwnerWork>,
    /// CPU time that the owner has used ahead of the clock, in microseconds; negative if some is
    /// left.
    cpu_debt_us: i64,
    /// Whether the owner has stopped.
    stopped: bool,
}

const KNOWN: KnownConfig = KnownConfig { version: 1, age: Millis(0) };

impl Simulation {
    fn new(instances: usize) -> Simulation {
        let follower = |_| {
            let (outbox, rx) = Outbox::for_test();
            Follower {
                rx,
                outbox: Some(outbox),
                detector: None,
                probe_answered: None,
                heartbeat_sent_at: 0,
                left: None,
            }
        };
        Simulation {
            now: OWNER_START_MS,
            members: Members::new(OwnerInfo::default(), 1),
            followers: (0..instances).map(follower).collect(),
            work: VecDeque::new(),
            cpu_debt_us: 0,
            stopped: false,
        }
    }

    /// Advances the simulation by `ms` milliseconds.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.open_links();
            if !self.stopped {
                self.work();
            }
            (0..self.followers.len()).for_each(|i| self.follow(i));
        }
    }

    /// Opens the links of the followers that are notified of the owner in this step.
    fn open_links(&mut self) {
        let announce_interval = ANNOUNCE_CHUNK_INTERVAL.as_millis() as u64;
        let since = self.now - OWNER_START_MS - STEP_MS;
        if !since.is_multiple_of(announce_interval) {
            return;
        }
        let first = (since / announce_interval) as usize * ANNOUNCE_CHUNK_SIZE;
        let end = (first + ANNOUNCE_CHUNK_SIZE).min(self.followers.len());
        for i in first..end {
            self.followers[i].detector = Some(FailureDetector::new(Millis(self.now)));
            self.work.push_back(OwnerWork::Join(i));
        }
    }

    /// Executes the owner's queued work, as far as its CPU time allows.
    fn work(&mut self) {
        // The owner claims workers at the same time until all are claimed.
        let claims_us = self.followers.len() as i64 * WORKERS_PER_INSTANCE * CLAIM_US;
        let claiming = ((self.now - OWNER_START_MS) as i64) * OWNER_CPU_US_PER_STEP < claims_us;
        self.cpu_debt_us -=
            if claiming { OWNER_CPU_US_PER_STEP } else { 2 * OWNER_CPU_US_PER_STEP };
        if self.cpu_debt_us < 0 {
            let before = self.frames_in_transit();
            self.members.tick(Millis(self.now), KNOWN, false);
            self.cpu_debt_us += (self.frames_in_transit() - before) as i64 * FRAME_US;
        }
        while self.cpu_debt_us < 0 {
            let Some(work) = self.work.pop_front() else { break };
            self.cpu_debt_us += self.process(work);
        }
        self.cpu_debt_us = self.cpu_debt_us.max(-OWNER_CPU_US_PER_STEP);
    }

    /// Executes one item of work and returns the CPU time it takes, in microseconds.
    fn process(&mut self, work: OwnerWork) -> i64 {
        match work {
            OwnerWork::Join(i) => {
                let Some(outbox) = self.followers[i].outbox.take() else { return LINK_US };
                let address = format!("10.0.{}.{}:7000", i / 250, i % 250);
                let hello = Hello { address, cpu_milli: 1_000, age_ms: 1, ..Hello::default() };
                let before = self.frames_in_transit();
                self.members.join(i as u64, hello, outbox, Millis(self.now));
                self.members.send_first_heartbeat(i as u64, KNOWN);
                LINK_US + (self.frames_in_transit() - before) as i64 * FRAME_US
            }
            OwnerWork::Heartbeat(i) => {
                self.members.record_heartbeat(i as u64, &MemberBeat::default(), Millis(self.now));
                FRAME_US
            }
            OwnerWork::Probe(i) => {
                self.followers[i].probe_answered = self.followers[i].probe_answered.map(|_| true);
                LINK_US
            }
        }
    }

    /// Returns the number of frames on their way to members.
    fn frames_in_transit(&self) -> usize {
        self.followers.iter().map(|f| f.rx.len()).sum()
    }

    fn follow(&mut self, i: usize) {
        let now = Millis(self.now);
        let f = &mut self.followers[i];
        let Some(detector) = f.detector.as_mut().filter(|_| f.left.is_none()) else { return };
        while let Ok(frame) = f.rx.try_recv() {
            detector.record_message(now);
            f.probe_answered = None;
            if let Some(Body::Heartbeat(heartbeat)) = frame.body {
                detector.set_interval(Millis(heartbeat.every_ms));
            }
        }
        // The followers' timers don't fire at the same time.
        if !(self.now + i as u64).is_multiple_of(HEARTBEAT_INTERVAL.0) {
            return;
        }
        match detector.check(now) {
            OwnerStatus::Suspected if f.probe_answered.is_none() => {
                f.probe_answered = Some(false);
                self.work.push_back(OwnerWork::Probe(i));
            }
            OwnerStatus::Failed => f.left = Some((self.now, OwnerStatus::Failed)),
            _ => {}
        }
        if self.now - f.heartbeat_sent_at >= detector.interval().0 {
            f.heartbeat_sent_at = self.now;
            self.work.push_back(OwnerWork::Heartbeat(i));
        }
    }

    /// Returns when members left the owner, in ascending order.
    fn left(&self) -> Vec<u64> {
        let mut at: Vec<_> = self.followers.iter().filter_map(|f| Some(f.left?.0)).collect();
        at.sort_unstable();
        at
    }
}

#[parameterized(
    one_pool = { 147 },
    fleet = { 588 },
    twice_the_fleet = { 1_176 },
)]
fn no_member_leaves_a_live_owner(instances: usize) {
    let mut simulation = Simulation::new(instances);
    simulation.advance(SETTLE_MS);
    assert_eq!(simulation.left(), Vec::<u64>::new());
    assert!(simulation.followers.iter().all(|f| f.outbox.is_none()), "all members have joined");
}

#[parameterized(
    one_pool = { 147 },
    fleet = { 588 },
    twice_the_fleet = { 1_176 },
)]
fn first_candidates_detect_a_silent_owner_in_time(instances: usize) {
    let mut simulation = Simulation::new(instances);
    simulation.advance(SETTLE_MS);
    simulation.stopped = true;
    let stopped = simulation.now;
    simulation.advance(5_000);
    let left = simulation.left();
    assert_eq!(left.len(), instances, "all members detect the silence");
    assert!(left[7] <= stopped + MAX_DETECTION_MS, "{:?} after {stopped}", &left[..8]);
}
