//! The order in which steps are served.

use crate::engine::Engine;
use crate::job::Job;
use crate::queue::Queue;
use crate::spec::StepKey;
use hollowford_core::Millis;

/// An answer later than this multiple of the objective is worth nothing (RULES).
const WORTHLESS_AFTER: u64 = 3;

/// A step whose latest start in time is so long ago goes before others, one at a time.
const OVERDUE: Millis = Millis(12_000);

/// How urgent a step is. Smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    rank: Rank,
    /// The job is more than its account is owed. Behind what is owed of the same rank the surplus
    /// of a noisy account costs the others less; behind all that is owed, it would wait for work that
    /// has time.
    unowed: bool,
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
pub(crate) struct Waiting {
    pub urgency: Urgency,
    pub key: StepKey,
    /// The job's acceptance is in the store, so that tasks may start.
    pub kept: bool,
}

impl Engine {
    /// Returns the steps with tasks that may start now, the most urgent first.
    pub(crate) fn waiting_steps(&mut self, now: Millis) -> Vec<Waiting> {
        let mut steps = self.jobs.take_waiting();
        let mut out = Vec::with_capacity(steps.len());
        steps.retain(|&key| match self.wait_of(key, now) {
            Wait::None => false,
            Wait::Later => true,
            Wait::Now(waiting) => {
                out.push(waiting);
                true
            }
        });
        self.jobs.keep_waiting(steps);
        out.sort_unstable_by_key(|w| (w.urgency, w.key));
        longest_first(&mut out, now);
        out
    }

    /// Counts the steps with tasks that may start now.
    pub(crate) fn count_waiting(&self, now: Millis) -> usize {
        let starts = |&&key: &&StepKey| self.is_waiting(key, now);
        self.jobs.waiting().filter(starts).count()
    }

    /// Tells whether tasks of a step may start now.
    pub(crate) fn is_waiting(&self, key: StepKey, now: Millis) -> bool {
        matches!(self.wait_of(key, now), Wait::Now(_))
    }

    /// Returns what a step waits for.
    fn wait_of(&self, key: StepKey, now: Millis) -> Wait {
        let Some(job) = self.jobs.get(key.job).filter(|j| j.end.is_none()) else {
            return Wait::None;
        };
        let Some(round) = job.round(key.round) else { return Wait::None };
        let at = key.step as usize;
        let Some(step) = round.steps.get(at) else { return Wait::None };
        // A step that is not ready comes back when the one that it depends on is done.
        if !step.has_unplaced() || !round.ready(&job.spec, at) {
            return Wait::None;
        }
        let Some(queue) = self.queues.get(&job.queue) else { return Wait::Later };
        let tasks = step.waiting(now);
        if tasks == 0 || (job.spec.steps[at].gang && tasks < step.tasks.len()) {
            return Wait::Later;
        }
        let urgency = urgency(job, round.due, at, queue, now);
        Wait::Now(Waiting { urgency, key, kept: job.kept })
    }
}

/// Puts the step that has waited longest before all others, if that is very long: what is worth
/// nothing any more has still been accepted, and would never run while other work keeps coming.
/// It is one step at a time, so that a backlog doesn't make all others late as well.
fn longest_first(steps: &mut [Waiting], now: Millis) {
    let worthless = steps.iter().position(|w| w.urgency.rank == Rank::Worthless);
    let Some(at) = worthless else { return };
    if steps[at].urgency.latest_start + OVERDUE <= now {
        steps[..=at].rotate_right(1);
    }
}

/// Whether tasks of a step are to be started.
enum Wait {
    /// None, until something happens to the step.
    None,
    /// Some, but not now.
    Later,
    /// Some, now.
    Now(Waiting),
}

fn urgency(job: &Job, due: Millis, step: usize, queue: &Queue, now: Millis) -> Urgency {
    let objective =
        Millis((job.spec.critical_path_ms() as f64 * queue.stretch) as u64) + queue.slack;
    let work = Millis(job.spec.critical_path_from_ms(step));
    let latest_start = (due + objective) - work;
    let worthless = due + Millis(objective.0 * WORTHLESS_AFTER);
    let rank = if now + work > worthless {
        Rank::Worthless
    } else if now > latest_start {
        Rank::Late
    } else if queue.priority == 0 {
        Rank::First
    } else {
        Rank::InTime
    };
    Urgency { rank, unowed: !job.owed, latest_start }
}
