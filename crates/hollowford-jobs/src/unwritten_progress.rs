//! Which segments of a job's progress a change concerns.

use crate::job::{Job, Round};
use crate::progress_segments::Segment;
use crate::spec::{StepKey, TaskKey};

impl Job {
    /// Marks the progress of a task as changed.
    pub fn mark_task_unwritten(&mut self, task: TaskKey) {
        self.unwritten.mark(self.layout.segment_of(task));
        let round = task.step.round;
        let is_listed = !self.layout.is_single() && self.spec.schedule.is_some();
        if is_listed && self.round(round).is_some_and(Round::is_done) {
            self.unwritten.mark(Segment::of_round(round));
        }
    }

    /// Marks the progress of all tasks of a step as changed.
    fn mark_step_unwritten(&mut self, step: StepKey) {
        let Some(spec) = self.spec.steps.get(step.step as usize) else { return };
        for first in self.layout.first_tasks(spec.count) {
            self.mark_task_unwritten(step.task(first));
        }
    }

    /// Marks the rounds as changed that have become due from number `first` on.
    pub fn mark_rounds_unwritten(&mut self, first: u32) {
        if self.layout.is_single() {
            return self.unwritten.mark(Segment::Job);
        }
        for round in first..self.due_rounds {
            self.unwritten.mark(Segment::of_round(round));
        }
    }

    /// Marks all progress as changed, so that rows which an earlier release wrote are replaced.
    pub fn mark_all_unwritten(&mut self) {
        self.mark_rounds_unwritten(0);
        let job = self.id;
        let steps = self.spec.steps.len() as u32;
        for round in self.rounds.iter().map(|r| r.number).collect::<Vec<_>>() {
            (0..steps).for_each(|step| self.mark_step_unwritten(StepKey { job, round, step }));
        }
        self.unwritten.mark(Segment::Job);
    }
}
