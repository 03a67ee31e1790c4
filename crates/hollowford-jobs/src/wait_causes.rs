//! Why steps wait, for the log and the metrics.

use crate::advice::AdviceStatus;
use crate::candidate::{CandidateWorker, fit_count};
use crate::engine::Engine;
use crate::pass::Pass;
use crate::placement::StepPlacement;
use crate::spec::StepKey;
use hollowford_core::Millis;
use std::fmt::{self, Display};

/// Why a step with tasks that wait doesn't start one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WaitCause {
    /// Its job's acceptance is not in the store.
    NotDurable,
    /// What became of earlier runs isn't known, or not in the store.
    HeldBack,
    /// Its client account's quota.
    Quota,
    /// A call for advice is under way.
    AdvicePending,
    /// Workers with room may run it, and their tickets have lapsed.
    TicketsLapsed,
    /// Workers with room have not been asked about.
    AdviceMissing,
    /// No worker that may run it has room, or too few have for a gang.
    NoRoom,
    /// Room that it may use is kept for another step, or comes with the next pass.
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

    /// Returns its name in the log and in metrics.
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

/// A step that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepWait {
    /// The step.
    pub step: StepKey,
    /// Why.
    pub cause: WaitCause,
    /// Time since its job's acceptance.
    pub age: Millis,
}

impl Display for StepWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "step={} cause={} age_ms={}", self.step, self.cause.name(), self.age.0)
    }
}

/// Most steps that are looked at: each is compared with all workers.
const MAX_REPORTED_STEPS: usize = 200;

impl Engine {
    /// Returns the steps that wait, with the reason of each, the oldest first; of very many only some.
    pub fn step_waits(&self, now: Millis) -> Vec<StepWait> {
        let usable = self.workers.iter().filter(|(_, w)| w.usable(now) && w.recorded);
        let rooms = usable.map(|(i, w)| CandidateWorker::from_worker(i, w, now)).collect();
        let pass = Pass::new(now, true, rooms);
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

    fn wait_cause(&self, pass: &Pass, key: StepKey) -> Option<WaitCause> {
        let job = self.jobs.get(key.job).filter(|j| j.end.is_none())?;
        let queue = self.queues.get(&job.queue)?;
        let (spec, step) = (job.spec.steps.get(key.step as usize)?, self.jobs.step(key)?);
        let gang = StepPlacement { key, account: job.account, durable: job.kept, spec, queue };
        if !self.is_waiting(key, pass.now) {
            let held_back = step.tasks.iter().any(|t| t.is_held_back());
            return held_back.then_some(WaitCause::HeldBack);
        }
        let wanted = if spec.gang { spec.count } else { 1 };
        Some(if !job.kept {
            WaitCause::NotDurable
        } else if !self.accounts.allows(job.account, &spec.allocation(), wanted) {
            WaitCause::Quota
        } else {
            self.capacity_cause(pass, gang, wanted)
        })
    }

    /// Returns the cause of a step that lacks only advice or room for `wanted` tasks.
    fn capacity_cause(&self, pass: &Pass, step: StepPlacement<'_>, wanted: u32) -> WaitCause {
        let need = step.spec.allocation();
        let places = |standing: &[AdviceStatus]| -> u32 {
            let has = |r: &&CandidateWorker| {
                standing.contains(&self.advice_status(step, r.idx, pass.now))
                    && self.is_eligible(r, step)
            };
            pass.candidates
                .iter()
                .filter(has)
                .map(|r| fit_count(&need, &r.free))
                .fold(0, u32::saturating_add)
        };
        let is_asking = self.jobs.step(step.key).is_some_and(|s| s.advice.is_call_pending());
        if places(&[AdviceStatus::ValidTicket]) >= wanted {
            WaitCause::Reserved
        } else if is_asking {
            WaitCause::AdvicePending
        } else if places(&[AdviceStatus::ValidTicket, AdviceStatus::LapsedTicket]) >= wanted {
            WaitCause::TicketsLapsed
        } else if places(&[
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
