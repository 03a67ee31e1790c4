//! Prediction of run times from earlier runs.

use crate::engine::Engine;
use crate::spec::StepKey;
use crate::workers::WorkerIdx;
use hollowford_core::Millis;
use std::sync::Arc;

/// A run that has succeeded from start to end.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub(crate) struct RunSample {
    /// Queue of the task's job.
    pub queue: Arc<str>,
    /// The caller's estimate of the run time.
    pub estimate: Millis,
    /// Measured run time.
    pub took: Millis,
    /// Worker on which it ran.
    pub worker: WorkerIdx,
}

/// Run times learned from ended runs.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {}

#[allow(dead_code)]
impl RunTimes {
    /// Records a run that has succeeded.
    pub fn record(&mut self, _sample: &RunSample) {}

    /// Returns the expected run time, on an ordinary worker, of a task with this estimate.
    pub fn expected(&self, _queue: &str, estimate: Millis) -> Millis {
        estimate
    }

    /// Returns the run time, on an ordinary worker, that the share `q` of the tasks with this
    /// estimate don't exceed. `None` if there are too few samples.
    pub fn quantile(&self, _queue: &str, _estimate: Millis, _q: f64) -> Option<Millis> {
        None
    }

    /// Returns a worker's run times relative to those of an ordinary worker. 2.0 is half the speed.
    pub fn slowness(&self, _worker: WorkerIdx) -> f32 {
        1.0
    }
}

#[allow(dead_code)]
impl Engine {
    /// Returns the expected run time of a step's tasks on an ordinary worker; 0 if the step is
    /// unknown.
    pub(crate) fn expected_run_time(&self, key: StepKey) -> Millis {
        let Some(job) = self.jobs.get(key.job) else { return Millis(0) };
        let Some(spec) = job.spec.steps.get(key.step as usize) else { return Millis(0) };
        self.run_times.expected(&job.queue, Millis(spec.estimate_ms))
    }

    /// Returns the expected run time of a step's tasks on a worker; 0 if the step is unknown.
    pub(crate) fn expected_run_time_on(&self, key: StepKey, worker: WorkerIdx) -> Millis {
        let slowness = f64::from(self.run_times.slowness(worker));
        Millis((self.expected_run_time(key).0 as f64 * slowness) as u64)
    }
}
