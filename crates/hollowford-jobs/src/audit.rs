//! Consistency check that finds tasks waiting for something that can't happen.

use crate::engine::Engine;
use crate::job::{Job, Task};
use crate::spec::{StepKey, TaskKey};
use std::fmt::{self, Display};

/// A task that can never be started again, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StuckTask {
    /// The task is placed on a worker that doesn't hold it, so its end will never be reported.
    NotHeld {
        /// The task that waits.
        task: TaskKey,
        /// Number of the run that is not held.
        run: u32,
    },
    /// The task waits for a progress row of its job that will never be written.
    RowNeverWritten {
        /// The task that waits.
        task: TaskKey,
        /// Number of the progress row.
        row: u64,
    },
    /// The task waits for the outcome of a run that no worker holds or has lost.
    UntrackedRun {
        /// The task that waits.
        task: TaskKey,
        /// Number of the open run.
        run: u32,
    },
}

impl Display for StuckTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StuckTask::NotHeld { task, run } => {
                write!(f, "{task} run {run} is not held by its worker")
            }
            StuckTask::RowNeverWritten { task, row } => {
                write!(f, "{task} waits for row {row}, which will never be written")
            }
            StuckTask::UntrackedRun { task, run } => {
                write!(f, "{task} run {run} is open, but no worker tracks it")
            }
        }
    }
}

impl Engine {
    /// Returns the tasks that can never be started again. A task in the list is a bug in the
    /// engine.
    pub fn stuck_tasks(&self) -> Vec<StuckTask> {
        let open = self.jobs.open().filter(|j| j.end.is_none());
        open.flat_map(|job| self.stuck_tasks_of_job(job)).collect()
    }

    fn stuck_tasks_of_job(&self, job: &Job) -> Vec<StuckTask> {
        let mut out = Vec::new();
        for round in &job.rounds {
            for (step, s) in round.steps.iter().enumerate() {
                let key = StepKey { job: job.id, round: round.number, step: step as u32 };
                for (index, t) in s.tasks.iter().enumerate().filter(|(_, t)| !t.done) {
                    let task = key.task(index as u32);
                    self.check_task(task, t, &mut out);
                    out.extend(check_awaited_row(job, task, t));
                }
            }
        }
        out
    }

    fn check_task(&self, task: TaskKey, t: &Task, out: &mut Vec<StuckTask>) {
        for r in t.runs() {
            if !self.workers.get(r.worker).is_some_and(|w| w.holds_run(task, r.run)) {
                out.push(StuckTask::NotHeld { task, run: r.run });
            }
        }
        for r in t.crash_record.iter().flat_map(|c| &c.open_runs) {
            let idx = self.workers.find(&r.worker);
            let w = idx.and_then(|idx| self.workers.get(idx));
            if !w.is_some_and(|w| w.tracks_run(task, r.run)) {
                out.push(StuckTask::UntrackedRun { task, run: r.run });
            }
        }
    }
}

/// Returns a finding if a task waits for a progress row that is neither in flight nor to be
/// written.
fn check_awaited_row(job: &Job, task: TaskKey, t: &Task) -> Option<StuckTask> {
    let row = t.crash_record.as_ref()?.awaited_change?;
    let is_pending = !job.unwritten.is_empty() || row <= job.unwritten.last_number();
    (!is_pending).then_some(StuckTask::RowNeverWritten { task, row })
}
