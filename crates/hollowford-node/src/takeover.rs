//! Rules for detecting that an owner has failed and for choosing its successor. No I/O.
//!
//! An owner whose process has ended is replaced at once. An owner that falls silent is replaced
//! after half a second plus the time for a few store calls. A live owner is not deposed for being
//! busy, and a much smaller instance doesn't own a partition while a larger one is alive.
//!
//! 1. Each member monitors its owner with a [`FailureDetector`] fed by the link to the owner (see
//!    `member`). A suspected owner is probed over a new link before it is declared failed.
//!    [`LeaveReason`] says how the member left it.
//! 2. A member without an owner waits according to its rank as a [`Candidate`] (see `ownership`):
//!    members named by the last owner go first, then larger instances, then those that own fewer
//!    partitions.
//! 3. The process that takes over waits for tasks on workers that it doesn't reach, see
//!    [`earlier_leases_until`].
//! 4. The owner row decides (see `owner_row`): it is written conditionally on the version that was
//!    read, and an owner that still writes it is alive.

use crate::wire::RenewalTerms;
use hollowford_adapter::Version;
use hollowford_core::Millis;
use hollowford_jobs::MIN_CLOCK_RATE_PERCENT;
use std::collections::VecDeque;

/// How often a member sends its heartbeat and checks on its owner, and the interval of the owner's
/// heartbeats that it assumes until the owner announces another one.
pub const HEARTBEAT_INTERVAL: Millis = Millis(100);
/// Heartbeats missed before an owner is suspected and probed.
const SUSPECT_AFTER_MISSED: u64 = 3;
/// Heartbeats missed, without an answer to the probe, before an owner is declared failed.
const FAILED_AFTER_MISSED: u64 = 5;
/// Silence after which members begin to suspect an owner. None takes over from a silent one sooner.
pub const MIN_SUSPECT_TIME: Millis = Millis(HEARTBEAT_INTERVAL.0 * SUSPECT_AFTER_MISSED);
/// A check that runs this late means that this process was itself paused; it then restarts
/// detection.
const MIN_SELF_PAUSE: Millis = Millis(250);

/// Additional delay per rank in the takeover order.
const RANK_DELAY: Millis = Millis(100);
/// Additional delay per partition that the process already owns, so that others go first.
const OWNED_PARTITION_DELAY: Millis = Millis(150);
/// An instance with less than this percentage of the last owner's CPU counts as small.
const MIN_FULL_SIZE_PERCENT: u32 = 70;
/// Additional delay of a small instance that the last owner hasn't named. A larger instance may
/// just be starting, or waiting for the owner's address to answer (0.5 s and two reads of the row).
const SMALL_INSTANCE_DELAY: Millis = Millis(700);
/// Additional delay per slot. Slots make processes try partitions in different orders.
const SLOT_DELAY: Millis = Millis(40);
/// Delay before an instance with almost no CPU takes a partition that has never had an owner;
/// larger instances wait proportionally less. All instances of a new cell start within some tenths
/// of a second.
const MAX_FIRST_OWNER_DELAY: Millis = Millis(600);
/// Additional delay, per partition already owned, before taking one that has never had an owner.
/// The other processes are only just learning that there are partitions.
const FIRST_OWNER_OWNED_PARTITION_DELAY: Millis = Millis(800);
/// CPU, in thousandths of a core, from which an instance takes its first partition without delay.
const WHOLE_CORE_MILLI: u32 = 1_000;
/// Period over which changes of owner are counted.
const OWNER_CHANGES_WINDOW: Millis = Millis(60_000);
/// Changes within [`OWNER_CHANGES_WINDOW`] from which ownership is flapping: each takeover costs
/// work that may cause the next one.
const FLAPPING_MIN_CHANGES: u64 = 4;

/// An owner that the store has not confirmed for this long renews no lease, whoever follows it.
pub const MAX_STORE_CONFIRMATION_AGE: Millis = Millis(30_000);

/// A member's verdict on its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerStatus {
    /// The owner was heard recently.
    Alive,
    /// This process was itself paused for this long, so it can't judge the owner.
    SelfPaused(Millis),
    /// The owner has missed heartbeats and should be probed.
    Suspected,
    /// The owner has been silent for too long.
    Failed,
}

/// Detects a failed owner from the messages on a member's link to it. All times are by the member's
/// clock.
#[derive(Debug)]
pub struct FailureDetector {
    /// When the owner's last message arrived.
    last_message: Millis,
    /// When [`FailureDetector::check`] last ran.
    last_check: Millis,
    /// The owner's heartbeat interval, as last announced.
    interval: Millis,
}

impl FailureDetector {
    /// Creates a detector for a link that was opened at `now`.
    pub fn new(now: Millis) -> FailureDetector {
        FailureDetector { last_message: now, last_check: now, interval: HEARTBEAT_INTERVAL }
    }

    pub fn record_message(&mut self, now: Millis) {
        self.last_message = now;
    }

    /// Sets the heartbeat interval that the owner has announced.
    pub fn set_interval(&mut self, interval: Millis) {
        self.interval = interval.max(HEARTBEAT_INTERVAL);
    }

    /// Returns the owner's heartbeat interval.
    pub fn interval(&self) -> Millis {
        self.interval
    }

    /// Returns how long a suspected owner has to answer a probe.
    pub fn probe_timeout(&self) -> Millis {
        Millis(self.interval.0 * (FAILED_AFTER_MISSED - SUSPECT_AFTER_MISSED))
    }

    /// Checks on the owner. Must be called every [`HEARTBEAT_INTERVAL`].
    pub fn check(&mut self, now: Millis) -> OwnerStatus {
        let since_last_check = now.since(self.last_check);
        self.last_check = now;
        if since_last_check >= HEARTBEAT_INTERVAL + MIN_SELF_PAUSE {
            self.last_message = now;
            return OwnerStatus::SelfPaused(since_last_check);
        }
        let silent_ms = now.since(self.last_message).0;
        if silent_ms >= self.interval.0 * FAILED_AFTER_MISSED {
            OwnerStatus::Failed
        } else if silent_ms >= self.interval.0 * SUSPECT_AFTER_MISSED {
            OwnerStatus::Suspected
        } else {
            OwnerStatus::Alive
        }
    }
}

/// Returns until when leases of earlier owners may last, by the store's clock, if that may be longer
/// than the usual time after a takeover. `terms` are those of the owner row that the process with
/// the random id `boot` found at `now`; `has_ended` tells that the last owner surely has.
///
/// Leases end in the usual time if the last owner has ended, or if it named the process as a
/// successor and so has missed it. Otherwise it may renew them for as long as the members that it
/// reaches follow it.
pub fn earlier_leases_until(
    terms: &RenewalTerms,
    has_ended: bool,
    boot: u64,
    lease: Millis,
    now: Millis,
) -> Millis {
    let earlier = Millis(terms.earlier_leases_until_ms);
    if has_ended || terms.successors.contains(&boot) {
        return earlier;
    }
    let longest_ms = (MAX_STORE_CONFIRMATION_AGE + lease).0 * 100 / MIN_CLOCK_RATE_PERCENT;
    earlier.max(now + Millis(longest_ms))
}

/// Why a member left its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// A newer owner is known.
    Newer,
    /// Nothing answers at the owner's address, or the process there is no longer the owner.
    Gone,
    /// The link ended or is dead, but the owner answered a probe or may still be alive.
    Cut,
    /// The owner is silent and doesn't answer a probe over a new link either.
    Silent,
    /// The owner asked this process to take over.
    HandedOver {
        /// Version of the owner row; 0 if not known.
        rev: Version,
    },
}

impl LeaveReason {
    /// Returns the reason's name for logs and metrics.
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

/// A process as a candidate for owning a partition.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// CPU of the process, in thousandths of a core.
    pub cpu_milli: u32,
    /// Number of partitions that the process already owns.
    pub owned: u32,
    /// Slot of the process for this partition, from 0. See [`SLOT_DELAY`].
    pub slot: u32,
}

impl Candidate {
    /// Returns the delay before this process takes over from a failed owner with `owner_cpu`
    /// thousandths of a core. The owner named `named` members to take over, this process at
    /// position `rank` if at all.
    pub fn takeover_delay(&self, rank: Option<usize>, named: usize, owner_cpu: u32) -> Millis {
        let owned_delay = scaled(OWNED_PARTITION_DELAY, self.owned);
        if let Some(rank) = rank {
            return scaled(RANK_DELAY, rank as u32) + owned_delay;
        }
        // Unnamed members of a large cell must not all try at once, nor before a larger instance
        // that was not named either.
        let small = self.cpu_milli * 100 < owner_cpu * MIN_FULL_SIZE_PERCENT;
        let small_delay = if small { SMALL_INSTANCE_DELAY } else { Millis(0) };
        scaled(RANK_DELAY, named as u32) + scaled(SLOT_DELAY, self.slot) + small_delay + owned_delay
    }

    /// Returns the delay before this process takes a partition that has never had an owner. The
    /// partitions that it already owns are accounted for separately, by
    /// [`Candidate::first_owner_owned_partitions_delay`].
    pub fn first_owner_delay(&self) -> Millis {
        let missing_milli = WHOLE_CORE_MILLI.saturating_sub(self.cpu_milli);
        let cpu_delay = Millis(
            MAX_FIRST_OWNER_DELAY.0 * u64::from(missing_milli) / u64::from(WHOLE_CORE_MILLI),
        );
        cpu_delay + scaled(SLOT_DELAY, self.slot)
    }

    /// Returns the additional delay before taking a partition that has never had an owner, for the
    /// partitions that this process already owns.
    pub fn first_owner_owned_partitions_delay(&self) -> Millis {
        scaled(FIRST_OWNER_OWNED_PARTITION_DELAY, self.owned)
    }
}

/// Recent owners of a partition, as far as this process knows them.
#[derive(Debug, Default)]
pub struct OwnerChanges {
    /// When each owner became known, and its epoch.
    recent: VecDeque<(Millis, u64)>,
}

impl OwnerChanges {
    /// Records the owner at `epoch`; 0 means that no owner is known.
    pub fn record(&mut self, epoch: u64, now: Millis) {
        if epoch == 0 {
            return;
        }
        self.recent.retain(|&(at, _)| now.since(at) < OWNER_CHANGES_WINDOW);
        if self.recent.back().is_none_or(|&(_, last)| last < epoch) {
            self.recent.push_back((now, epoch));
        }
    }

    /// Returns how often the owner changed within [`OWNER_CHANGES_WINDOW`], including changes that
    /// this process missed.
    pub fn count(&self) -> u64 {
        match (self.recent.front(), self.recent.back()) {
            (Some((_, first)), Some((_, last))) => last - first,
            _ => 0,
        }
    }

    /// Returns true if the owner changes too often to be explained by failures of owners alone.
    pub fn is_flapping(&self) -> bool {
        self.count() >= FLAPPING_MIN_CHANGES
    }
}

fn scaled(each: Millis, count: u32) -> Millis {
    Millis(each.0 * u64::from(count))
}
