//! Distribution of a queue's run times relative to the predicted ones.

use hdrhistogram::Histogram;

/// Samples after which a new generation of the histogram begins. The last two generations count, so
/// that a quantile of 99% rests on at least five samples beyond it.
const GENERATION_SAMPLES: u64 = 512;
/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u64 = 20;
/// Ratios are recorded in thousandths.
const RATIO_SCALE: f64 = 1_000.0;
/// Largest recorded ratio, in thousandths.
const MAX_RATIO: u64 = 100_000;
/// Significant decimal digits of recorded ratios.
const RATIO_DIGITS: u8 = 2;

/// Ratios of run times to predictions, older ones forgotten by generations.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    /// Samples of this and of the previous generation.
    merged: Histogram<u32>,
    /// Samples of this generation.
    current: Histogram<u32>,
}

impl Tail {
    /// Creates an empty distribution; `None` if the histogram's bounds are invalid.
    pub fn new() -> Option<Tail> {
        let histogram = Histogram::new_with_bounds(1, MAX_RATIO, RATIO_DIGITS).ok()?;
        Some(Tail { merged: histogram.clone(), current: histogram })
    }

    pub fn record(&mut self, ratio: f64) {
        let value = ((ratio * RATIO_SCALE) as u64).clamp(1, MAX_RATIO);
        self.merged.saturating_record(value);
        self.current.saturating_record(value);
        if self.current.len() >= GENERATION_SAMPLES {
            self.merged.clone_from(&self.current);
            self.current.reset();
        }
    }

    /// Returns the ratio that the share `q` of the samples doesn't exceed. `None` with too few
    /// samples to have one beyond it.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        let n = self.merged.len();
        if n < MIN_SAMPLES || (n as f64) * (1.0 - q) < 1.0 {
            return None;
        }
        Some(self.merged.value_at_quantile(q) as f64 / RATIO_SCALE)
    }
}
