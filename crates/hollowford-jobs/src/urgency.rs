//! The order in which steps are served.

use crate::engine::Engine;
use crate::job::Job;
use crate::queue::Queue;
use crate::spec::StepKey;
use hollowford_core::Millis;

/// An answer later than this multiple of the objective is worth nothing (RULES).
const WORTHLESS_AFTER: u64 = 3;

/// How urgent a step is. Smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    rank: Rank,
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
    /// Returns the steps with tasks that wait, the most urgent first.
    pub(crate) fn waiting_steps(&self, now: Millis) -> Vec<Waiting> {
        let mut out = Vec::new();
        for job in self.jobs.open().filter(|j| j.end.is_none()) {
            self.waiting_of(job, now, &mut out);
        }
        out.sort_unstable_by_key(|w| (w.urgency, w.key));
        out
    }

    fn waiting_of(&self, job: &Job, now: Millis, out: &mut Vec<Waiting>) {
        let Some(queue) = self.queues.get(&job.queue) else { return };
        for round in &job.rounds {
            for (i, step) in round.steps.iter().enumerate() {
                if step.done() || !round.ready(&job.spec, i) {
                    continue;
                }
                let tasks = step.waiting(now);
                let gang = job.spec.steps[i].gang;
                if tasks == 0 || (gang && tasks < step.tasks.len()) {
                    continue;
                }
                let key = StepKey { job: job.id, round: round.number, step: i as u32 };
                let urgency = urgency(job, round.due, i, queue, now);
                out.push(Waiting { urgency, key, kept: job.kept });
            }
        }
    }
}

fn urgency(job: &Job, due: Millis, step: usize, queue: &Queue, now: Millis) -> Urgency {
    let objective = Millis((job.spec.chain() as f64 * queue.stretch) as u64) + queue.slack;
    let work = Millis(job.spec.chain_from(step));
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
    Urgency { rank, latest_start }
}
