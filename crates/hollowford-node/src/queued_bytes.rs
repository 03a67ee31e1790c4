//! Bytes of callers' jobs that wait in a queue.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the bytes in a queue against a maximum.
#[derive(Clone, Debug)]
pub struct QueuedBytes {
    bytes: Arc<AtomicUsize>,
    max: usize,
}

impl QueuedBytes {
    /// Creates a count for an empty queue.
    pub fn new(max: usize) -> QueuedBytes {
        QueuedBytes { bytes: Arc::default(), max }
    }

    /// Counts bytes that are queued. Returns false if there would be too many.
    pub fn add(&self, bytes: usize) -> bool {
        let sum = |queued: usize| Some(queued + bytes).filter(|&sum| sum <= self.max);
        self.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, sum).is_ok()
    }

    /// Records that bytes have left the queue.
    pub fn subtract(&self, bytes: usize) {
        let rest = |queued: usize| Some(queued.saturating_sub(bytes));
        // The update always succeeds.
        let _ = self.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, rest);
    }
}
