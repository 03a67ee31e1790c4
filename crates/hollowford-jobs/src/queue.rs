//! Queues: the configuration of the jobs that are submitted under one prefix.

use hollowford_core::Millis;
use std::sync::Arc;

/// Expected duration in milliseconds up to which an advice call is quick.
pub(crate) const MAX_QUICK_CALL_MS: f64 = 30.0;

/// Expected duration of calls for placement advice, and the validity of their tickets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceCost {
    /// Base duration of a call, in milliseconds.
    pub base_ms: f64,
    /// Additional duration for each named worker, in milliseconds.
    pub per_worker_ms: f64,
    /// Time that a ticket is valid after the answer.
    pub ticket_validity: Millis,
}

impl AdviceCost {
    /// Returns how many more workers a call can name without taking longer by more than `percent`
    /// of its base duration.
    pub fn extra_workers(&self, percent: u32) -> usize {
        if self.per_worker_ms <= 0.0 {
            return usize::MAX;
        }
        (self.base_ms * f64::from(percent) / 100.0 / self.per_worker_ms) as usize
    }

    /// Returns true if a call that names one worker is quick.
    pub fn is_quick(&self) -> bool {
        self.call_ms(1) <= MAX_QUICK_CALL_MS
    }

    /// Returns the expected duration in milliseconds of a call that names this many workers.
    pub fn call_ms(&self, workers: usize) -> f64 {
        self.base_ms + self.per_worker_ms * workers as f64
    }
}

/// A queue: the worker pool, priority and objective of its jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Name of the pool of workers that runs its tasks.
    pub pool: Arc<str>,
    /// Priority of the queue's jobs. Only 0, the first priority, goes before the others.
    pub priority: u32,
    /// Number of failures of one task that fails its job.
    pub max_attempts: u32,
    /// Objective for the time from a job's or round's due time to its completion, as a multiple of
    /// the estimated length of the job's critical path.
    pub stretch: f64,
    /// Constant time that is added to the objective.
    pub slack: Millis,
    /// Cost of advice calls, if the queue's workers are chosen by the advice service.
    pub advice: Option<AdviceCost>,
}
