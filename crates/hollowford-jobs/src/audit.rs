//! A look over the whole state for tasks that wait for what can't come.

use crate::engine::Engine;
use crate::job::{Job, Task};
use crate::spec::{StepKey, TaskKey};
use std::fmt::{self, Display};

/// Why a task can never be started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StuckTask {
    /// It is placed on a worker that doesn't hold it, so no end of it will be told.
    NotHeld {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
    },
    /// It waits for a row of its job's progress that nobody will write.
    RowNeverWritten {
        /// The task.
        task: TaskKey,
        /// Number of the row.
        row: u64,
    },
    /// It waits for what became of a run that no worker holds or has lost.
    UntrackedRun {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
    },
}

impl Display for StuckTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StuckTask::NotHeld { task, run } => write!(f, "{task} run {run} is held nowhere"),
            StuckTask::RowNeverWritten { task, row } => {
                write!(f, "{task} waits for row {row}, never written")
            }
            StuckTask::UntrackedRun { task, run } => write!(f, "{task} run {run} is open nowhere"),
        }
    }
}

impl Engine {
    /// Returns the tasks that wait for what can't come; none as long as the engine is right.
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
        if let Some(idx) = t.worker {
            let held = self.workers.get(idx).and_then(|w| w.find(task, t.run));
            if held.is_none() {
                out.push(StuckTask::NotHeld { task, run: t.run });
            }
        }
        for r in t.crash_record.iter().flat_map(|s| &s.open_runs) {
            let idx = self.workers.find(&r.worker);
            let w = idx.and_then(|idx| self.workers.get(idx));
            if !w.is_some_and(|w| w.tracks_run(task, r.run)) {
                out.push(StuckTask::UntrackedRun { task, run: r.run });
            }
        }
    }
}

/// Tells whether a task waits for a row that is not to come: none is under way or to be cut.
fn check_awaited_row(job: &Job, task: TaskKey, t: &Task) -> Option<StuckTask> {
    let row = t.crash_record.as_ref()?.unwritten_row?;
    let is_pending = job.progress_unwritten || row <= job.progress_rows_built;
    (!is_pending).then_some(StuckTask::RowNeverWritten { task, row })
}
