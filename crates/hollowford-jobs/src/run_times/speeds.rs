//! Speeds of workers relative to the other workers of their pool.

use crate::workers::WorkerIdx;
use hollowford_core::InstanceId;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Newest samples of a worker that count. Their median changes once half of them are new.
const SAMPLES_PER_WORKER: usize = 16;
/// Variance of the workers' speeds, in squared logarithms, before anything is known of a worker:
/// the standard deviation is a factor of 1.4, as in deployments where speeds differ by a factor
/// of two.
const SPEED_VARIANCE: f32 = 0.1225;
/// Variance of the median of normally distributed samples, as a multiple of that of their mean.
const MEDIAN_VARIANCE_FACTOR: f32 = 1.57;
/// Smallest difference from an ordinary worker, in logarithms, that counts: 10%.
const MIN_DIFFERENCE: f32 = 0.1;
/// Samples from which a worker counts for the speed of its pool and kind.
const MIN_SAMPLES_FOR_GROUP: usize = 4;
/// Weight, in workers, of the assumption that a kind is as fast as its pool.
const KIND_PRIOR_WORKERS: f32 = 3.0;
/// The pools' and kinds' speeds are computed again after this number of samples, or a sample for
/// every [`WORKERS_PER_SAMPLE`] workers if that is more: the computation visits all workers.
const MIN_SAMPLES_PER_UPDATE: usize = 16;
const WORKERS_PER_SAMPLE: usize = 8;
/// Maximum number of workers that are no longer known, or not yet listed, whose speeds are kept.
const MAX_REMEMBERED: usize = 4_096;
/// Limit of a logarithm read from a row: a factor of 20 in either direction.
const MAX_STORED_LOG: f32 = 3.0;

/// Samples of one worker.
#[derive(Clone, Debug, Default, PartialEq)]
struct Samples {
    /// Logarithms of the newest ratios of run time to prediction.
    ratios: Vec<f32>,
    /// Position of the oldest one, once there are [`SAMPLES_PER_WORKER`].
    next: usize,
    /// Mean variance of the samples.
    variance: f32,
}

impl Samples {
    fn add(&mut self, ratio: f32, variance: f32) {
        if self.ratios.len() < SAMPLES_PER_WORKER {
            self.ratios.push(ratio);
        } else {
            self.ratios[self.next] = ratio;
            self.next = (self.next + 1) % SAMPLES_PER_WORKER;
        }
        self.variance += (variance - self.variance) / self.ratios.len() as f32;
    }

    fn median(&self) -> f32 {
        let mut sorted = self.ratios.clone();
        sorted.sort_unstable_by(f32::total_cmp);
        let at = sorted.len() / 2;
        match sorted.len() {
            0 => 0.0,
            n if n % 2 == 0 => (sorted[at - 1] + sorted[at]) / 2.0,
            _ => sorted[at],
        }
    }

    /// Returns the variance of the median.
    fn median_variance(&self) -> f32 {
        MEDIAN_VARIANCE_FACTOR * self.variance / self.ratios.len().max(1) as f32
    }
}

/// A known worker.
#[derive(Clone, Debug)]
struct WorkerSpeed {
    id: InstanceId,
    pool: Arc<str>,
    kind: Option<Arc<str>>,
    samples: Samples,
    /// Median of the samples.
    median: f32,
    /// Logarithm of the slowness relative to the pool's median.
    log: f32,
    /// Slowness as decisions use it; exactly 1.0 unless the difference is noticeable.
    slowness: f32,
}

/// Speeds of a pool and its kinds.
#[derive(Clone, Debug, Default)]
struct PoolSpeed {
    /// Median logarithm of the pool's workers.
    centre: f32,
    /// Difference of each kind from that.
    kinds: FxHashMap<Option<Arc<str>>, f32>,
}

/// A worker's speed as it is stored.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredSpeed {
    pub id: InstanceId,
    /// Median logarithm of the ratios.
    pub median: f32,
    /// Number of samples.
    pub samples: u32,
    /// Mean variance of the samples.
    pub variance: f32,
}

/// Speeds of all workers.
#[derive(Debug, Default)]
pub(super) struct WorkerSpeeds {
    workers: Vec<Option<WorkerSpeed>>,
    known: usize,
    /// Samples of workers that are not listed now, by id: a worker that restarts keeps its speed.
    remembered: FxHashMap<InstanceId, Samples>,
    pools: FxHashMap<Arc<str>, PoolSpeed>,
    samples_since_update: usize,
    /// Whether the slowness of some worker is not 1.0, at the last update of all.
    differ: bool,
}

impl WorkerSpeeds {
    /// Records that a worker is listed in a pool, with the label of its kind.
    pub fn register(
        &mut self,
        idx: WorkerIdx,
        id: &InstanceId,
        pool: &Arc<str>,
        kind: Option<&Arc<str>>,
    ) {
        let at = idx as usize;
        if self.workers.len() <= at {
            self.workers.resize(at + 1, None);
        }
        if let Some(w) = &mut self.workers[at] {
            if w.pool == *pool && w.kind.as_ref() == kind {
                return;
            }
            w.pool = pool.clone();
            w.kind = kind.cloned();
        } else {
            // An earlier incarnation may still be known.
            let earlier = || self.workers.iter().flatten().find(|w| w.id == *id);
            let samples = self.remembered.get(id).cloned();
            let samples = samples.or_else(|| earlier().map(|w| w.samples.clone()));
            let samples = samples.unwrap_or_default();
            self.remembered.remove(id);
            self.known += 1;
            self.workers[at] = Some(WorkerSpeed {
                id: id.clone(),
                pool: pool.clone(),
                kind: kind.cloned(),
                median: samples.median(),
                samples,
                log: 0.0,
                slowness: 1.0,
            });
        }
        self.update_worker(idx);
    }

    /// Records that a worker is no longer known.
    pub fn forget(&mut self, idx: WorkerIdx) {
        let Some(w) = self.workers.get_mut(idx as usize).and_then(Option::take) else { return };
        self.known -= 1;
        if self.remembered.len() >= MAX_REMEMBERED {
            self.remembered.clear();
        }
        if !w.samples.ratios.is_empty() {
            self.remembered.insert(w.id, w.samples);
        }
    }

    /// Records a logarithm of run time to prediction, with the variance of such samples.
    pub fn record(&mut self, idx: WorkerIdx, ratio: f64, variance: f64) {
        let Some(w) = self.get_mut(idx) else { return };
        w.samples.add(ratio as f32, variance as f32);
        w.median = w.samples.median();
        self.samples_since_update += 1;
        if self.samples_since_update >= MIN_SAMPLES_PER_UPDATE.max(self.known / WORKERS_PER_SAMPLE)
        {
            self.update_all();
        } else {
            self.update_worker(idx);
        }
    }

    /// Returns a worker's slowness as decisions use it.
    pub fn slowness(&self, idx: WorkerIdx) -> f32 {
        self.get(idx).map_or(1.0, |w| w.slowness)
    }

    /// Returns the logarithm of a worker's slowness, also if it is not noticeable.
    pub fn log_slowness(&self, idx: WorkerIdx) -> f64 {
        self.get(idx).map_or(0.0, |w| f64::from(w.log))
    }

    /// Returns the slowness of all known workers.
    pub fn all(&self) -> impl Iterator<Item = f32> {
        self.workers.iter().flatten().map(|w| w.slowness)
    }

    fn get(&self, idx: WorkerIdx) -> Option<&WorkerSpeed> {
        self.workers.get(idx as usize)?.as_ref()
    }

    fn get_mut(&mut self, idx: WorkerIdx) -> Option<&mut WorkerSpeed> {
        self.workers.get_mut(idx as usize)?.as_mut()
    }

    /// Computes the speeds of pools and kinds, and of every worker relative to them.
    fn update_all(&mut self) {
        self.samples_since_update = 0;
        self.pools.clear();
        let mut medians: FxHashMap<_, Vec<f32>> = FxHashMap::default();
        let mut by_kind: FxHashMap<_, FxHashMap<_, Vec<f32>>> = FxHashMap::default();
        for w in self.workers.iter().flatten() {
            let is_known = w.samples.ratios.len() >= MIN_SAMPLES_FOR_GROUP;
            // Workers without enough samples count as ordinary. After a takeover only those that
            // differ are known, which are not typical of their pool.
            let typical = medians.entry(w.pool.clone()).or_default();
            typical.push(if is_known { w.median } else { 0.0 });
            let kinds = by_kind.entry(w.pool.clone()).or_default();
            if is_known {
                kinds.entry(w.kind.clone()).or_default().push(w.median);
            }
        }
        for (pool, kinds) in by_kind {
            let centre = median(medians.remove(&pool).unwrap_or_default());
            let kind_speed = |(kind, medians): (Option<Arc<str>>, Vec<f32>)| {
                let n = medians.len() as f32;
                (kind, (median(medians) - centre) * n / (n + KIND_PRIOR_WORKERS))
            };
            let kinds = kinds.into_iter().map(kind_speed).collect();
            self.pools.insert(pool, PoolSpeed { centre, kinds });
        }
        for idx in 0..self.workers.len() {
            self.update_worker(idx as WorkerIdx);
        }
        let differ = self.all().any(|slowness| slowness != 1.0);
        self.differ = differ;
    }

    /// Returns true if the workers differ noticeably.
    pub fn differ(&self) -> bool {
        self.differ
    }

    /// Computes a worker's speed relative to its pool, shrunk towards that of its kind.
    fn update_worker(&mut self, idx: WorkerIdx) {
        let Some(w) = self.workers.get_mut(idx as usize).and_then(Option::as_mut) else { return };
        let pool = self.pools.get(&w.pool);
        let centre = pool.map_or(0.0, |p| p.centre);
        let kind = pool.and_then(|p| p.kinds.get(&w.kind)).copied().unwrap_or(0.0);
        let uncertainty = w.samples.median_variance();
        let trust = match w.samples.ratios.len() {
            0 => 0.0,
            _ => SPEED_VARIANCE / (SPEED_VARIANCE + uncertainty),
        };
        w.log = kind + trust * (w.median - centre - kind);
        // The standard deviation of the estimate: a difference within it may be chance.
        let error = (trust * uncertainty).sqrt();
        let is_noticeable = w.log.abs() > MIN_DIFFERENCE.max(error);
        w.slowness = if is_noticeable { w.log.exp() } else { 1.0 };
    }

    /// Returns the workers to store: those that differ noticeably.
    pub fn to_stored(&self) -> Vec<StoredSpeed> {
        let differs = |w: &&WorkerSpeed| w.slowness != 1.0 && !w.samples.ratios.is_empty();
        let stored = |w: &WorkerSpeed| StoredSpeed {
            id: w.id.clone(),
            median: w.median - self.pools.get(&w.pool).map_or(0.0, |p| p.centre),
            samples: w.samples.ratios.len() as u32,
            variance: w.samples.variance,
        };
        self.workers.iter().flatten().filter(differs).map(stored).collect()
    }

    /// Restores stored speeds of workers that are listed later. Implausible ones are ignored.
    pub fn restore(&mut self, stored: Vec<StoredSpeed>) {
        for s in stored.into_iter().take(MAX_REMEMBERED) {
            let is_plausible = s.median.is_finite()
                && s.median.abs() <= MAX_STORED_LOG
                && s.variance.is_finite()
                && s.variance >= 0.0;
            if is_plausible {
                let n = (s.samples as usize).min(SAMPLES_PER_WORKER);
                let ratios = vec![s.median; n];
                let samples = Samples { ratios, next: 0, variance: s.variance };
                self.remembered.insert(s.id, samples);
            }
        }
    }
}

fn median(mut list: Vec<f32>) -> f32 {
    list.sort_unstable_by(f32::total_cmp);
    list.get(list.len() / 2).copied().unwrap_or(0.0)
}
