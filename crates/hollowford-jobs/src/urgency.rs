//! The order in which a pass tries the waiting steps.

use crate::engine::Engine;
use crate::job::Job;
use crate::queue::Queue;
use crate::shares::Position;
use crate::spec::StepKey;
use hollowford_core::Millis;

/// Multiple of the objective after which the result has no value to users.
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;
/// Time after its latest start at which a worthless step goes before all others, one step at a
/// time.
const STARVATION_TIMEOUT: Millis = Millis(12_000);

/// Urgency of a step. Steps with the smallest value go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    rank: Rank,
    /// The job exceeds the guaranteed rate of its account. Such jobs come after the guaranteed ones
    /// of the same rank, so that an account with too many jobs delays the others less. They don't
    /// come after the guaranteed jobs of all ranks, some of which can still wait.
    not_guaranteed: bool,
    /// Position of the job's account by its share of the pool; 0 unless the pool is full.
    share: Position,
    /// Latest start with which the job still meets its objective.
    latest_start: Millis,
}

impl Urgency {
    /// Returns the latest start with which the job still meets its objective.
    pub fn latest_start(&self) -> Millis {
        self.latest_start
    }

    /// Returns true if the job can still meet its objective.
    pub fn is_in_time(&self) -> bool {
        matches!(self.rank, Rank::First | Rank::InTime)
    }
}

/// Rank by the job's objective: steps in time come before late ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// In time, in a queue of the first priority.
    First,
    /// In time, in any other queue.
    InTime,
    /// Can no longer meet the objective.
    Late,
    /// Can no longer finish while the result has value.
    Worthless,
}

impl Urgency {
    /// Returns true if the step belongs to a guaranteed job and has missed its latest start.
    pub fn is_late_guaranteed(&self) -> bool {
        !self.not_guaranteed && self.rank >= Rank::Late
    }
}

/// A step with tasks that may start now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingStep {
    pub urgency: Urgency,
    pub key: StepKey,
    /// Whether the job's acceptance is in the store; no task starts before.
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
        self.jobs.restore_waiting(steps);
        out.sort_unstable_by_key(|w| (w.urgency, w.key));
        promote_starved_step(&mut out, now);
        out
    }

    /// Returns the number of steps with tasks that may start now.
    pub(crate) fn count_waiting(&self, now: Millis) -> usize {
        let is_waiting = |&&key: &&StepKey| self.is_waiting(key, now);
        self.jobs.waiting().filter(is_waiting).count()
    }

    /// Returns true if tasks of a step may start now.
    pub(crate) fn is_waiting(&self, key: StepKey, now: Millis) -> bool {
        matches!(self.readiness(key, now), Readiness::Now(_))
    }

    /// Returns whether tasks of a step may start now, later or not at all.
    fn readiness(&self, key: StepKey, now: Millis) -> Readiness {
        let Some(job) = self.jobs.get(key.job).filter(|j| j.end.is_none()) else {
            return Readiness::None;
        };
        let Some(round) = job.round(key.round) else { return Readiness::None };
        let at = key.step as usize;
        let Some(step) = round.steps.get(at) else { return Readiness::None };
        // A step that is not ready is added again when the steps that it depends on are done.
        if !step.has_unplaced() || !round.is_ready(&job.spec, at) {
            return Readiness::None;
        }
        let Some(queue) = self.queues.get(&job.queue) else { return Readiness::Later };
        let tasks = step.count_startable(now);
        if tasks == 0 || (job.spec.steps[at].gang && tasks < step.tasks.len()) {
            return Readiness::Later;
        }
        let share = self.share_position(job.account, &queue.pool);
        let paths = self.expected_paths(job, at);
        let urgency = Urgency { share, ..urgency(paths, job, round.due, queue, now) };
        Readiness::Now(WaitingStep { urgency, key, durable: job.durable })
    }
}

/// Moves the first worthless step to the front if it is overdue by [`STARVATION_TIMEOUT`]. A
/// job without value has still been accepted and would never run while other work keeps arriving.
/// Only one step is moved at a time, so that a backlog doesn't make all other steps late as well.
fn promote_starved_step(steps: &mut [WaitingStep], now: Millis) {
    let worthless = steps.iter().position(|w| w.urgency.rank == Rank::Worthless);
    let Some(at) = worthless else { return };
    if steps[at].urgency.latest_start + STARVATION_TIMEOUT <= now {
        steps[..=at].rotate_right(1);
    }
}

/// Whether tasks of a step can start.
enum Readiness {
    /// No task can start until an event adds the step again.
    None,
    /// Some tasks can start later.
    Later,
    /// Some tasks can start now.
    Now(WaitingStep),
}

/// Returns the urgency of a step whose round fell due at `due`, from the expected length of its
/// job's critical path and of the path from its own start.
fn urgency(
    (whole_path, path): (u64, u64),
    job: &Job,
    due: Millis,
    queue: &Queue,
    now: Millis,
) -> Urgency {
    let objective = Millis((whole_path as f64 * queue.stretch) as u64) + queue.slack;
    let work = Millis(path);
    let latest_start = (due + objective) - work;
    let worthless_at = due + Millis(objective.0.saturating_mul(WORTHLESS_AFTER_OBJECTIVES));
    let rank = if now + work > worthless_at {
        Rank::Worthless
    } else if now > latest_start {
        Rank::Late
    } else if queue.priority == 0 {
        Rank::First
    } else {
        Rank::InTime
    };
    Urgency { rank, not_guaranteed: !job.guaranteed, share: 0, latest_start }
}
