//! How the run times of a queue's tasks relate to their callers' estimates.

use hollowford_core::Millis;

/// Number of samples after which the weight of a sample has fallen to about a third. Queues change
/// their programs over hours, and a busy queue ends several tasks a second.
const MEMORY_SAMPLES: f64 = 500.0;
/// Weight, in samples, of the assumption that the estimates are right on average. Tasks of one step
/// share their estimate, so a single step must not decide for its whole queue.
const OFFSET_PRIOR_SAMPLES: f64 = 20.0;
/// Weight of the assumption that run times are proportional to estimates: that of as many samples
/// whose estimates differ by a typical factor of 1.65 (0.5 in logarithms).
const SLOPE_PRIOR: f64 = OFFSET_PRIOR_SAMPLES * 0.25;
/// Minimum number of samples before a prediction differs from the estimate.
const MIN_SAMPLES: u64 = 10;
/// Spread of the residuals, in logarithms, that is assumed before any sample.
const INITIAL_SPREAD: f64 = 0.75;
/// Smallest spread, in logarithms. Reported ends come with a delay of up to some tens of
/// milliseconds, which is a few percent of a short task.
const MIN_SPREAD: f64 = 0.05;
/// Number of samples over which the spread is averaged.
const SPREAD_SAMPLES: f64 = 50.0;
/// Mean absolute deviation of a normal distribution to its standard deviation.
const DEVIATION_TO_SPREAD: f64 = 1.25;
/// Residuals beyond this multiple of the spread are cut off. 3% of the tasks may take 7 times as
/// long, and must not lengthen the predictions of the others.
const CLIP_SPREADS: f64 = 2.0;
/// Lower limit of the cut-off. Otherwise a queue whose run times have been alike would adapt too
/// slowly when they change.
const MIN_CLIP: f64 = 0.2;
/// Smallest difference between prediction and estimate, in logarithms, that counts. Differences of
/// less than 15% change no decision that a caller would notice.
const MIN_OFFSET: f64 = 0.14;

/// Regression of the logarithm of the run time on the logarithm of the estimate. Works on the
/// offset, the logarithm of run time over estimate, which is 0 for estimates that are right.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct EstimateModel {
    /// Number of samples ever recorded.
    pub samples: u64,
    /// Decayed number of samples.
    weight: f64,
    /// Decayed sums of the logarithm of the estimate, of the offset, and of their products.
    sum_x: f64,
    sum_z: f64,
    sum_xx: f64,
    sum_xz: f64,
    /// Typical size of the residuals, in logarithms.
    spread: f64,
    /// Expected offset at an estimate of 1 ms, and its slope over the logarithm of the estimate.
    line: (f64, f64),
    /// Whether some predictions differ from the estimates.
    is_noticeable: bool,
}

impl Default for EstimateModel {
    fn default() -> EstimateModel {
        EstimateModel {
            samples: 0,
            weight: 0.0,
            sum_x: 0.0,
            sum_z: 0.0,
            sum_xx: 0.0,
            sum_xz: 0.0,
            spread: INITIAL_SPREAD,
            line: (0.0, 0.0),
            is_noticeable: false,
        }
    }
}

/// The numbers of a model that are stored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StoredModel {
    pub samples: u64,
    /// Mean logarithm of the estimates.
    pub mean_x: f64,
    /// Mean offset.
    pub mean_z: f64,
    /// Variance of the logarithms of the estimates.
    pub var_x: f64,
    /// Covariance of the logarithm of the estimate and the offset.
    pub cov_xz: f64,
    pub spread: f64,
}

impl EstimateModel {
    /// Records a run time on an ordinary worker. Returns its residual before the update: the
    /// logarithm of the run time relative to the prediction.
    pub fn record(&mut self, estimate: Millis, took_ms: f64) -> f64 {
        let x = log_ms(estimate);
        let predicted = self.raw_offset(x);
        let residual = took_ms.max(1.0).ln() - x - predicted;
        let limit = (CLIP_SPREADS * self.spread).max(MIN_CLIP);
        let clipped = residual.clamp(-limit, limit);
        let z = predicted + clipped;
        let keep = 1.0 - 1.0 / MEMORY_SAMPLES;
        self.weight = self.weight * keep + 1.0;
        self.sum_x = self.sum_x * keep + x;
        self.sum_z = self.sum_z * keep + z;
        self.sum_xx = self.sum_xx * keep + x * x;
        self.sum_xz = self.sum_xz * keep + x * z;
        self.samples += 1;
        let deviation = clipped.abs() * DEVIATION_TO_SPREAD;
        self.spread += (deviation - self.spread) / SPREAD_SAMPLES.min(5.0 + self.samples as f64);
        self.spread = self.spread.max(MIN_SPREAD);
        self.update_line();
        residual
    }

    /// Returns the prediction for an estimate: the estimate itself while nothing noticeable is
    /// known.
    pub fn expected(&self, estimate: Millis) -> Millis {
        if !self.is_noticeable || estimate == Millis(0) {
            return estimate;
        }
        let offset = self.raw_offset(log_ms(estimate));
        if offset.abs() < MIN_OFFSET {
            return estimate;
        }
        Millis(((estimate.0 as f64 * offset.exp()) as u64).max(1))
    }

    /// Returns true if some predictions differ from the estimates.
    pub fn is_noticeable(&self) -> bool {
        self.is_noticeable
    }

    /// Returns the typical factor from estimate to run time.
    pub fn factor(&self) -> f64 {
        if self.weight > 0.0 { self.raw_offset(self.sum_x / self.weight).exp() } else { 1.0 }
    }

    /// Returns the typical size of the residuals, in logarithms.
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// Returns the expected offset at the logarithm of an estimate.
    fn raw_offset(&self, x: f64) -> f64 {
        self.line.0 + self.line.1 * x
    }

    /// Computes the line of the regression.
    fn update_line(&mut self) {
        let mean_x = self.sum_x / self.weight;
        let mean_z = self.sum_z / self.weight;
        let (var, cov) = self.centred_sums();
        // A slope below -1 would predict shorter run times for longer estimates.
        let slope = (cov / (var + SLOPE_PRIOR)).clamp(-1.0, 1.0);
        let shrunk_mean = mean_z * self.weight / (self.weight + OFFSET_PRIOR_SAMPLES);
        self.line = (shrunk_mean - slope * mean_x, slope);
        // Two standard deviations on either side contain nearly all estimates.
        let spread = (var / self.weight).sqrt();
        let differs = |n: f64| self.raw_offset(mean_x + n * spread).abs() >= MIN_OFFSET;
        self.is_noticeable =
            self.samples >= MIN_SAMPLES && [-2.0, 0.0, 2.0].into_iter().any(differs);
    }

    /// Returns the sums of squared deviations of x and of the products of deviations of x and z.
    fn centred_sums(&self) -> (f64, f64) {
        let var = self.sum_xx - self.sum_x * self.sum_x / self.weight;
        let cov = self.sum_xz - self.sum_x * self.sum_z / self.weight;
        (var.max(0.0), cov)
    }

    /// Returns what is stored of the model; `None` without samples.
    pub fn to_stored(&self) -> Option<StoredModel> {
        if self.weight <= 0.0 {
            return None;
        }
        let (var, cov) = self.centred_sums();
        Some(StoredModel {
            samples: self.samples,
            mean_x: self.sum_x / self.weight,
            mean_z: self.sum_z / self.weight,
            var_x: var / self.weight,
            cov_xz: cov / self.weight,
            spread: self.spread,
        })
    }

    /// Restores a stored model; `None` if its numbers can't be those of a model.
    pub fn from_stored(s: &StoredModel) -> Option<EstimateModel> {
        let numbers = [s.mean_x, s.mean_z, s.var_x, s.cov_xz, s.spread];
        // Logarithms of milliseconds and of ratios are far smaller than this.
        let is_plausible = numbers.iter().all(|n| n.is_finite() && n.abs() < 100.0);
        if !is_plausible || s.var_x < 0.0 || s.spread <= 0.0 || s.samples == 0 {
            return None;
        }
        let weight = MEMORY_SAMPLES * (1.0 - (-(s.samples as f64) / MEMORY_SAMPLES).exp());
        let mut model = EstimateModel {
            samples: s.samples,
            weight,
            sum_x: s.mean_x * weight,
            sum_z: s.mean_z * weight,
            sum_xx: (s.var_x + s.mean_x * s.mean_x) * weight,
            sum_xz: (s.cov_xz + s.mean_x * s.mean_z) * weight,
            spread: s.spread.max(MIN_SPREAD),
            ..EstimateModel::default()
        };
        model.update_line();
        Some(model)
    }
}

fn log_ms(time: Millis) -> f64 {
    (time.0.max(1) as f64).ln()
}
