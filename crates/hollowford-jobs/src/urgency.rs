//! The order in which steps are served.

use crate::engine::Engine;
use crate::job::Job;
use crate::queue::Queue;
use crate::spec::StepKey;
use hollowford_core::Millis;

/// An answer later than this multiple of the objective is worth nothing (RULES).
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

/// A step whose latest start in time is so long ago goes before others, one at a time.
const STARVATION_TIMEOUT: Millis = Millis(12_000);

/// How urgent a step is. Smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    rank: Rank,
    /// The job is more than its account is owed. Behind what is owed of the same rank the surplus
    /// of a noisy account costs the others less; behind all that is owed, it would wait for work that
    /// has time.
    not_guaranteed: bool,
    /// The latest start that is in time.
    latest_start: Millis,
}

/// In time before late, and of those in time the first priority before all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    First,
    InTime,
    Late,
    Worthless,
}

/// A step with tasks that wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingStep {
    pub urgency: Urgency,
    pub key: StepKey,
    /// The job's acceptance is in the store, so that tasks may start.
    pub durable: bool,
}

impl Engine {
    /// Returns the steps with tasks that may start now, the most urgent first.
    pub(crate) fn waiting_steps(&mut self, now: Millis) -> Vec<WaitingStep> {
        let mut steps = self.jobs.take_waiting();
        let mut out = Vec::with_capacity(steps.len());
        steps.retain(|&key| match self.readiness(key, now) {
            Readiness::None => false,
            Readiness::Later => true,
            Readiness::Now(waiting) => {
                out.push(waiting);
                true
            }
        });
        self.jobs.keep_waiting(steps);
        out.sort_unstable_by_key(|w| (w.urgency, w.key));
        promote_starved_step(&mut out, now);
        out
    }

    /// Counts the steps with tasks that may start now.
    pub(crate) fn count_waiting(&self, now: Millis) -> usize {
        let starts = |&&key: &&StepKey| self.is_waiting(key, now);
        self.jobs.waiting().filter(starts).count()
    }

    /// Tells whether tasks of a step may start now.
    pub(crate) fn is_waiting(&self, key: StepKey, now: Millis) -> bool {
        matches!(self.readiness(key, now), Readiness::Now(_))
    }

    /// Returns what a step waits for.
    fn readiness(&self, key: StepKey, now: Millis) -> Readiness {
        let Some(job) = self.jobs.get(key.job).filter(|j| j.end.is_none()) else {
            return Readiness::None;
        };
        let Some(round) = job.round(key.round) else { return Readiness::None };
        let at = key.step as usize;
        let Some(step) = round.steps.get(at) else { return Readiness::None };
        // A step that is not ready comes back when the one that it depends on is done.
        if !step.has_unplaced() || !round.ready(&job.spec, at) {
            return Readiness::None;
        }
        let Some(queue) = self.queues.get(&job.queue) else { return Readiness::Later };
        let tasks = step.waiting(now);
        if tasks == 0 || (job.spec.steps[at].gang && tasks < step.tasks.len()) {
            return Readiness::Later;
        }
        let urgency = urgency(job, round.due, at, queue, now);
        Readiness::Now(WaitingStep { urgency, key, durable: job.kept })
    }
}

/// Puts the step that has waited longest before all others, if that is very long: what is worth
/// nothing any more has still been accepted, and would never run while other work keeps coming.
/// It is one step at a time, so that a backlog doesn't make all others late as well.
fn promote_starved_step(steps: &mut [WaitingStep], now: Millis) {
    let worthless = steps.iter().position(|w| w.urgency.rank == Rank::Worthless);
    let Some(at) = worthless else { return };
    if steps[at].urgency.latest_start + STARVATION_TIMEOUT <= now {
        steps[..=at].rotate_right(1);
    }
}

/// Whether tasks of a step are to be started.
enum Readiness {
    /// None, until something happens to the step.
    None,
    /// Some, but not now.
    Later,
    /// Some, now.
    Now(WaitingStep),
}

fn urgency(job: &Job, due: Millis, step: usize, queue: &Queue, now: Millis) -> Urgency {
    let objective =
        Millis((job.spec.critical_path_ms() as f64 * queue.stretch) as u64) + queue.slack;
    let work = Millis(job.spec.critical_path_from_ms(step));
    let latest_start = (due + objective) - work;
    let worthless = due + Millis(objective.0 * WORTHLESS_AFTER_OBJECTIVES);
    let rank = if now + work > worthless {
        Rank::Worthless
    } else if now > latest_start {
        Rank::Late
    } else if queue.priority == 0 {
        Rank::First
    } else {
        Rank::InTime
    };
    Urgency { rank, not_guaranteed: !job.owed, latest_start }
}
