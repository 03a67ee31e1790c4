//! Queues: what the configuration says of jobs handed in under one prefix.

use hollowford_core::Millis;
use std::sync::Arc;

/// Calls up to this time are quick.
pub(crate) const MAX_QUICK_CALL_MS: f64 = 30.0;

/// What a call for placement advice costs, and how long its tickets hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceCost {
    /// Milliseconds for each call.
    pub base_ms: f64,
    /// Milliseconds for each worker named.
    pub per_worker_ms: f64,
    /// How long a ticket is valid.
    pub ticket_validity: Millis,
}

impl AdviceCost {
    /// Returns how many more workers a call may name if that is to lengthen it by `percent`
    /// hundredths of the time that any call takes.
    pub fn extra_workers(&self, percent: u32) -> usize {
        if self.per_worker_ms <= 0.0 {
            return usize::MAX;
        }
        (self.base_ms * f64::from(percent) / 100.0 / self.per_worker_ms) as usize
    }

    /// Tells whether a call that names few workers is answered quickly.
    pub fn is_quick(&self) -> bool {
        self.call_ms(1) <= MAX_QUICK_CALL_MS
    }

    /// Returns the time of a call that names `workers`.
    pub fn call_ms(&self, workers: usize) -> f64 {
        self.base_ms + self.per_worker_ms * workers as f64
    }
}

/// A queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// Name of the pool of workers that runs its tasks.
    pub pool: Arc<str>,
    /// 0 goes first.
    pub priority: u32,
    /// A task that failed so often fails its job.
    pub max_attempts: u32,
    /// The objective's multiple of the job's work.
    pub stretch: f64,
    /// What the objective adds to that.
    pub slack: Millis,
    /// Its policy names the workers by advice.
    pub advice: Option<AdviceCost>,
}
