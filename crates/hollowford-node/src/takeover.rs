//! When an owner is gone, and who comes next: the rules, without I/O.
//!
//! Promise: an owner whose process has ended is replaced at once, one that says nothing after half
//! a second and the time for a few calls to the store; one that lives is not deposed for being
//! busy; and where a larger instance lives, a much smaller one doesn't own.
//!
//! 1. Each member judges its owner by what it hears on its own link ([`FailureDetector`], used by
//!    `member`). An owner that is quiet is asked over a new link before it is taken for silent.
//!    How it ends is [`LeaveReason`].
//! 2. A member whose owner is gone waits its turn ([`Candidate`], used by `ownership`): those that
//!    the owner has named go first, then larger ones, then those that own less.
//! 3. The owner row decides (`owner_row`): it is written only as it was read, and an owner that
//!    goes on writing it is alive.

use hollowford_adapter::Version;
use hollowford_core::Millis;
use std::collections::VecDeque;

/// How often a member tells its owner that it is alive and looks at what it has heard, and the
/// pace that it expects of an owner until it is told another.
pub const HEARTBEAT_INTERVAL: Millis = Millis(100);
/// An owner that says nothing for so many heartbeats is asked whether it lives.
const SUSPECT_AFTER_MISSED: u64 = 3;
/// One that has said nothing for so many, nor answered, is taken as gone.
const FAILED_AFTER_MISSED: u64 = 5;
/// When this process's own timer comes so late, it was paused itself, and hears anew.
const MIN_SELF_PAUSE: Millis = Millis(250);

/// How much later each next member takes over.
const RANK_DELAY: Millis = Millis(100);
/// A process that owns other partitions leaves another one to others, so long for each.
const OWNED_PARTITION_DELAY: Millis = Millis(150);
/// An instance of less than this part of the last owner's, in percent, is small.
const MIN_FULL_SIZE_PERCENT: u32 = 70;
/// A small one that the last owner hasn't named waits for a larger one, which may just be
/// starting, or be waiting for an answer of the owner's address (0.5 s and two looks at the row).
const SMALL_INSTANCE_DELAY: Millis = Millis(700);
/// Time between processes that begin with different partitions.
const SLOT_DELAY: Millis = Millis(40);
/// A process with hardly any processor leaves a partition that has never had an owner to larger
/// ones for so long, others for less: they all start within some tenths of a second.
const MAX_FIRST_OWNER_DELAY: Millis = Millis(600);
/// A process that owns other partitions leaves one that has never had an owner to others, so long
/// for each: they learn only now that there are partitions.
const FIRST_OWNER_OWNED_PARTITION_DELAY: Millis = Millis(800);
/// Thousandths of a core of an instance that has nothing to wait for.
const WHOLE_CORE_MILLI: u32 = 1_000;
/// Owners are counted over this time.
const OWNER_CHANGES_WINDOW: Millis = Millis(60_000);
/// A partition that changes its owner so often within that time is unsettled: each takeover costs
/// work that may bring the next one about.
const FLAPPING_MIN_CHANGES: u64 = 4;

/// What a member makes of what it has heard of its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerStatus {
    /// It has heard the owner lately.
    Alive,
    /// This process was itself paused for so long, so it can't tell.
    SelfPaused(Millis),
    /// The owner is to be asked.
    Suspected,
    /// Nothing has come for too long.
    Failed,
}

/// What a member has heard on its link to the owner, and when. All times are by its own clock.
#[derive(Debug)]
pub struct FailureDetector {
    /// When the owner said something last.
    last_message: Millis,
    /// When this process's own timer came last.
    last_check: Millis,
    /// Time between two heartbeats, as the owner told last.
    interval: Millis,
}

impl FailureDetector {
    /// Starts with a link that was opened just now.
    pub fn new(now: Millis) -> FailureDetector {
        FailureDetector { last_message: now, last_check: now, interval: HEARTBEAT_INTERVAL }
    }

    /// Takes note that the owner has said something.
    pub fn record_message(&mut self, now: Millis) {
        self.last_message = now;
    }

    /// Takes note of how often the owner says that it lives.
    pub fn set_interval(&mut self, interval: Millis) {
        self.interval = interval.max(HEARTBEAT_INTERVAL);
    }

    /// Returns the time between two heartbeats.
    pub fn interval(&self) -> Millis {
        self.interval
    }

    /// Returns how long the owner may take to answer whether it lives.
    pub fn probe_timeout(&self) -> Millis {
        Millis(self.interval.0 * (FAILED_AFTER_MISSED - SUSPECT_AFTER_MISSED))
    }

    /// Judges the owner; called every [`HEARTBEAT_INTERVAL`].
    pub fn check(&mut self, now: Millis) -> OwnerStatus {
        let paused = now.since(self.last_check);
        self.last_check = now;
        if paused >= HEARTBEAT_INTERVAL + MIN_SELF_PAUSE {
            self.last_message = now;
            return OwnerStatus::SelfPaused(paused);
        }
        let quiet = now.since(self.last_message).0;
        if quiet >= self.interval.0 * FAILED_AFTER_MISSED {
            OwnerStatus::Failed
        } else if quiet >= self.interval.0 * SUSPECT_AFTER_MISSED {
            OwnerStatus::Suspected
        } else {
            OwnerStatus::Alive
        }
    }
}

/// Why a member has left its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// A newer owner is known.
    Newer,
    /// Nothing answers at its address, or not as the owner any more.
    Gone,
    /// The link has ended or is dead, though the owner has answered: it may still be there.
    Cut,
    /// It says nothing, also when it is asked over a new link.
    Silent,
    /// It wants this process to take over.
    HandedOver {
        /// Version of the owner row; 0: not known.
        rev: Version,
    },
}

impl LeaveReason {
    /// Returns its name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LeaveReason::Newer => "newer",
            LeaveReason::Gone => "gone",
            LeaveReason::Cut => "cut",
            LeaveReason::Silent => "silent",
            LeaveReason::HandedOver { .. } => "handed_over",
        }
    }
}

/// What decides how long a process leaves a partition to others.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Thousandths of a core that it gets.
    pub cpu_milli: u32,
    /// How many partitions it owns.
    pub owned: u32,
    /// Its place among the processes that begin with different partitions, from 0.
    pub slot: u32,
}

impl Candidate {
    /// Returns how long it waits before it takes the partition over from an owner of so many
    /// thousandths of a core that is gone, and has named `named` members to take over, this
    /// process as the one at `rank`.
    pub fn takeover_delay(&self, rank: Option<usize>, named: usize, owner_cpu: u32) -> Millis {
        let busy = times(OWNED_PARTITION_DELAY, self.owned);
        if let Some(rank) = rank {
            return times(RANK_DELAY, rank as u32) + busy;
        }
        // What is left of a large cell doesn't come at once, nor before a larger instance that has
        // not been named either.
        let small = self.cpu_milli * 100 < owner_cpu * MIN_FULL_SIZE_PERCENT;
        let small = if small { SMALL_INSTANCE_DELAY } else { Millis(0) };
        times(RANK_DELAY, named as u32) + times(SLOT_DELAY, self.slot) + small + busy
    }

    /// Returns how long it waits before it takes a partition that has never had an owner, but for
    /// the partitions that it owns.
    pub fn first_owner_delay(&self) -> Millis {
        let lacks = WHOLE_CORE_MILLI.saturating_sub(self.cpu_milli);
        let small =
            Millis(MAX_FIRST_OWNER_DELAY.0 * u64::from(lacks) / u64::from(WHOLE_CORE_MILLI));
        small + times(SLOT_DELAY, self.slot)
    }

    /// Returns how much longer it waits then for the partitions that it owns.
    pub fn first_owner_owned_partitions_delay(&self) -> Millis {
        times(FIRST_OWNER_OWNED_PARTITION_DELAY, self.owned)
    }
}

/// The owners that a partition has had lately, as one process has learned of them.
#[derive(Debug, Default)]
pub struct OwnerChanges {
    /// When each became known, and its epoch.
    recent: VecDeque<(Millis, u64)>,
}

impl OwnerChanges {
    /// Takes note of the owner at `epoch`; 0: none is known.
    pub fn record(&mut self, epoch: u64, now: Millis) {
        if epoch == 0 {
            return;
        }
        self.recent.retain(|&(at, _)| now.since(at) < OWNER_CHANGES_WINDOW);
        if self.recent.back().is_none_or(|&(_, last)| last < epoch) {
            self.recent.push_back((now, epoch));
        }
    }

    /// Returns how often the partition has changed its owner lately, also those times that this
    /// process has not heard of.
    pub fn count(&self) -> u64 {
        match (self.recent.front(), self.recent.back()) {
            (Some((_, first)), Some((_, last))) => last - first,
            _ => 0,
        }
    }

    /// Tells whether that is too often to be by failures of owners alone.
    pub fn is_flapping(&self) -> bool {
        self.count() >= FLAPPING_MIN_CHANGES
    }
}

fn times(each: Millis, count: u32) -> Millis {
    Millis(each.0 * u64::from(count))
}
