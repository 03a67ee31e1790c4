//! Why steps wait, for the log and the metrics.

use crate::advice::AdviceStatus;
use crate::candidate::{CandidateWorker, fit_count};
use crate::engine::Engine;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::spec::StepKey;
use hollowford_core::Millis;
use std::fmt::{self, Display};

/// Why a waiting step doesn't start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WaitCause {
    /// The acceptance of its job is not in the store yet.
    NotDurable,
    /// The outcome of earlier runs is unknown, or not in the store yet.
    HeldBack,
    /// The quota of its client account is used up.
    Quota,
    /// An advice call is pending.
    AdvicePending,
    /// Enough workers with free capacity may run it, but tickets of some have lapsed.
    TicketsLapsed,
    /// Enough workers have free capacity, but no advice call has named some of them.
    AdviceMissing,
    /// Too few of the workers that may run it have free capacity.
    NoRoom,
    /// Capacity that it may use is reserved for another step, or will be used by the next pass.
    Reserved,
}

impl WaitCause {
    /// All causes.
    pub const ALL: [WaitCause; 8] = [
        WaitCause::NotDurable,
        WaitCause::HeldBack,
        WaitCause::Quota,
        WaitCause::AdvicePending,
        WaitCause::TicketsLapsed,
        WaitCause::AdviceMissing,
        WaitCause::NoRoom,
        WaitCause::Reserved,
    ];

    /// Returns the cause's name in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            WaitCause::NotDurable => "unkept",
            WaitCause::HeldBack => "held_back",
            WaitCause::Quota => "quota",
            WaitCause::AdvicePending => "asked",
            WaitCause::TicketsLapsed => "lapsed",
            WaitCause::AdviceMissing => "unasked",
            WaitCause::NoRoom => "no_room",
            WaitCause::Reserved => "kept",
        }
    }
}

/// A waiting step and the reason why it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepWait {
    /// The waiting step.
    pub step: StepKey,
    /// Why it waits.
    pub cause: WaitCause,
    /// Time since the acceptance of its job.
    pub age: Millis,
}

impl Display for StepWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "step={} cause={} age_ms={}", self.step, self.cause.name(), self.age.0)
    }
}

/// Maximum number of steps that are reported, since each is compared with all workers.
const MAX_REPORTED_STEPS: usize = 200;

impl Engine {
    /// Returns the waiting steps with their causes, the oldest first. If there are very many,
    /// returns only an arbitrary part of them.
    pub fn step_waits(&self, now: Millis) -> Vec<StepWait> {
        let pass = Pass::new(now, true, self.candidates(now));
        let wait = |&key: &StepKey| {
            let job = self.jobs.get(key.job)?;
            let cause = self.wait_cause(&pass, key)?;
            Some(StepWait { step: key, cause, age: now.since(job.accepted_at) })
        };
        let mut out: Vec<_> =
            self.jobs.waiting().filter_map(wait).take(MAX_REPORTED_STEPS).collect();
        out.sort_by_key(|w| (std::cmp::Reverse(w.age), w.step));
        out
    }

    /// Returns why a step waits, or `None` if it has no task that waits to be started.
    fn wait_cause(&self, pass: &Pass, key: StepKey) -> Option<WaitCause> {
        let job = self.jobs.get(key.job).filter(|j| j.end.is_none())?;
        let queue = self.queues.get(&job.queue)?;
        let (spec, step) = (job.spec.steps.get(key.step as usize)?, self.jobs.step(key)?);
        let placement = StepPlacement {
            key,
            account: job.account,
            durable: job.durable,
            spec,
            queue,
            run_time: self.expected_run_time(key),
            headroom: f32::INFINITY,
        };
        if !self.is_waiting(key, pass.now) {
            let held_back = step.tasks.iter().any(|t| t.is_held_back());
            return held_back.then_some(WaitCause::HeldBack);
        }
        let wanted = if spec.gang { spec.count } else { 1 };
        Some(if !job.durable {
            WaitCause::NotDurable
        } else if !self.accounts.allows(job.account, &spec.allocation(), wanted) {
            WaitCause::Quota
        } else {
            self.capacity_cause(pass, placement, wanted)
        })
    }

    /// Returns the cause of a step that lacks only advice or capacity for `wanted` tasks.
    fn capacity_cause(&self, pass: &Pass, step: StepPlacement<'_>, wanted: u32) -> WaitCause {
        let need = step.spec.allocation();
        let free_slots = |statuses: &[AdviceStatus]| -> u32 {
            let is_usable = |c: &&CandidateWorker| {
                statuses.contains(&self.advice_status(step, c.idx, pass.now))
                    && self.is_eligible(c, step)
            };
            pass.candidates
                .iter()
                .filter(is_usable)
                .map(|c| fit_count(&need, &c.free))
                .fold(0, u32::saturating_add)
        };
        let is_call_pending = self.jobs.step(step.key).is_some_and(|s| s.advice.is_call_pending());
        if free_slots(&[AdviceStatus::ValidTicket]) >= wanted {
            WaitCause::Reserved
        } else if is_call_pending {
            WaitCause::AdvicePending
        } else if free_slots(&[AdviceStatus::ValidTicket, AdviceStatus::LapsedTicket]) >= wanted {
            WaitCause::TicketsLapsed
        } else if free_slots(&[
            AdviceStatus::ValidTicket,
            AdviceStatus::LapsedTicket,
            AdviceStatus::Unknown,
        ]) >= wanted
        {
            WaitCause::AdviceMissing
        } else {
            WaitCause::NoRoom
        }
    }
}
