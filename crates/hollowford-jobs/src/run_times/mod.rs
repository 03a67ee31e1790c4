//! Prediction of run times from earlier runs.
//!
//! Three factors are learned separately: how a queue's run times relate to its callers' estimates
//! ([`estimates`]), how much slower a worker is than the others of its pool ([`speeds`]), and how
//! the remaining ratio is distributed ([`tail`]). See `docs/design/learned-run-times.md`.

mod estimates;
mod learning;
mod report;
mod row;
#[cfg(test)]
mod row_tests;
mod speeds;
mod tail;

pub(crate) use report::RUN_TIMES_KEY;
pub use report::{LearnedQueue, LearnedRunTimes};

use crate::engine::Engine;
use crate::job::Job;
use crate::spec::{StepKey, StepSpec, critical_paths_ms};
use crate::workers::WorkerIdx;
use estimates::EstimateModel;
use hollowford_core::{InstanceId, Millis};
use report::Reported;
use row::Stored;
use rustc_hash::FxHashMap;
use speeds::WorkerSpeeds;
use std::sync::Arc;
use tail::Tail;

/// Quantiles by which the variation of a queue's run times is judged.
const VARIED_QUANTILES: [f64; 2] = [0.5, 0.95];
/// Ratio of the two quantiles above which run times vary noticeably. A worker that is slower by
/// less is found by its learned speed.
const VARIED_RATIO: f64 = 1.3;
/// Number of samples of a queue after which its variation is judged again.
const VARIATION_SAMPLES: u64 = 32;

/// A run that has succeeded from start to end.
#[derive(Clone, Debug)]
pub(crate) struct RunSample {
    /// Queue of the task's job.
    pub queue: Arc<str>,
    /// The caller's estimate of the run time.
    pub estimate: Millis,
    /// Measured run time.
    pub took: Millis,
    /// Worker on which it ran; for a gang, its slowest worker.
    pub worker: WorkerIdx,
    /// Whether it is the run of a gang. Which of its workers delayed it is unknown, so it says
    /// nothing about one worker's speed.
    pub gang: bool,
}

/// What is known of a queue's run times.
#[derive(Debug, Default)]
struct QueueRunTimes {
    model: EstimateModel,
    tail: Option<Tail>,
    /// Whether the run times vary noticeably.
    is_varied: bool,
}

impl QueueRunTimes {
    /// Records the ratio of a run time to its prediction.
    fn record_ratio(&mut self, ratio: f64) {
        if self.tail.is_none() {
            self.tail = Tail::new();
        }
        let Some(tail) = &mut self.tail else { return };
        tail.record(ratio);
        if self.model.samples.is_multiple_of(VARIATION_SAMPLES) {
            let quantiles = VARIED_QUANTILES.map(|q| tail.quantile(q));
            self.is_varied =
                matches!(quantiles, [Some(low), Some(high)] if high > low * VARIED_RATIO);
        }
    }
}

/// Run times learned from ended runs.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    queues: FxHashMap<Arc<str>, QueueRunTimes>,
    speeds: WorkerSpeeds,
    /// Whether predictions are off: the callers' estimates are returned, and every worker is
    /// ordinary.
    disabled: bool,
    /// What the row in the store holds, or will when the batch in flight is committed.
    stored: Stored,
    /// Whether that row has to be written again because its batch was refused.
    stored_refused: bool,
    /// When it was last compared with what is known now.
    compared_at: Millis,
    /// What was logged last.
    reported: Reported,
}

impl RunTimes {
    /// Turns predictions on or off. Runs are recorded in any case.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.disabled = !enabled;
    }

    /// Records that a worker is listed in a pool, with the label of its kind.
    pub fn register_worker(
        &mut self,
        idx: WorkerIdx,
        id: &InstanceId,
        pool: &Arc<str>,
        kind: Option<&Arc<str>>,
    ) {
        self.speeds.register(idx, id, pool, kind);
    }

    /// Records that a worker is no longer known.
    pub fn forget_worker(&mut self, idx: WorkerIdx) {
        self.speeds.forget(idx);
    }

    /// Records a run that has succeeded.
    pub fn record(&mut self, sample: &RunSample) {
        if sample.estimate == Millis(0) {
            return;
        }
        let queue = match self.queues.get_mut(&sample.queue) {
            Some(queue) => queue,
            None => self.queues.entry(sample.queue.clone()).or_default(),
        };
        let log_slowness = self.speeds.log_slowness(sample.worker);
        let took_ms = sample.took.0.max(1) as f64 / log_slowness.exp();
        let expected = queue.model.expected(sample.estimate);
        let spread = queue.model.spread();
        let residual = queue.model.record(sample.estimate, took_ms);
        queue.record_ratio(took_ms / expected.0.max(1) as f64);
        if !sample.gang {
            self.speeds.record(sample.worker, residual + log_slowness, spread * spread);
        }
    }

    /// Returns the expected run time, on an ordinary worker, of a task with this estimate.
    pub fn expected(&self, queue: &str, estimate: Millis) -> Millis {
        if self.disabled {
            return estimate;
        }
        self.queues.get(queue).map_or(estimate, |q| q.model.expected(estimate))
    }

    /// Returns the run time, on an ordinary worker, that the share `q` of the tasks with this
    /// estimate don't exceed. `None` if there are too few samples.
    #[allow(dead_code)]
    pub fn quantile(&self, queue: &str, estimate: Millis, q: f64) -> Option<Millis> {
        let known = self.queues.get(queue).filter(|_| !self.disabled)?;
        let ratio = known.tail.as_ref()?.quantile(q)?;
        Some(Millis((known.model.expected(estimate).0 as f64 * ratio) as u64))
    }

    /// Returns true if something noticeable has been learned.
    pub fn has_learned(&self) -> bool {
        let is_noticeable = |q: &QueueRunTimes| q.is_varied || q.model.is_noticeable();
        !self.disabled && (self.speeds.differ() || self.queues.values().any(is_noticeable))
    }

    /// Returns true if predictions for a queue may differ from the estimates.
    fn differ_from_estimates(&self, queue: &str) -> bool {
        !self.disabled && self.queues.get(queue).is_some_and(|q| q.model.is_noticeable())
    }

    /// Returns a worker's run times relative to those of an ordinary worker. 2.0 is half the speed.
    pub fn slowness(&self, worker: WorkerIdx) -> f32 {
        if self.disabled { 1.0 } else { self.speeds.slowness(worker) }
    }

    /// Returns true if the run times of a queue's tasks vary noticeably, so that one long run is no
    /// evidence of a slow worker.
    pub fn is_varied(&self, queue: &str) -> bool {
        !self.disabled && self.queues.get(queue).is_some_and(|q| q.is_varied)
    }

    /// Restores what an earlier owner has stored.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a row of learned run times.
    pub fn restore(&mut self, bytes: &[u8], now: Millis) -> Result<(), prost::DecodeError> {
        let stored = Stored::decode(bytes)?;
        for (name, model) in &stored.queues {
            if let Some(model) = EstimateModel::from_stored(model) {
                let queue = QueueRunTimes { model, ..QueueRunTimes::default() };
                self.queues.insert(name.clone(), queue);
            }
        }
        self.speeds.restore(stored.workers.clone());
        self.stored = stored;
        // Until the list of workers has arrived, fewer of them are known than are stored.
        self.compared_at = now;
        Ok(())
    }
}

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

impl Engine {
    /// Returns the expected length of a job's critical path, and of the path from the start of a
    /// step, in milliseconds on ordinary workers.
    pub(crate) fn expected_paths(&self, job: &Job, step: usize) -> (u64, u64) {
        let spec = &job.spec;
        if !self.run_times.differ_from_estimates(&job.queue) {
            return (spec.critical_path_ms(), spec.critical_path_from_ms(step));
        }
        let run_time = |s: &StepSpec| self.run_times.expected(&job.queue, Millis(s.estimate_ms)).0;
        let paths = critical_paths_ms(&spec.steps, run_time);
        (paths.iter().copied().max().unwrap_or(0), paths.get(step).copied().unwrap_or(0))
    }
}
