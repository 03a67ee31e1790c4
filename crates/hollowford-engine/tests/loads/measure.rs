//! Measurements of one run of a load.

use hdrhistogram::Histogram;
use hollowford_core::{Kind, Resources, Totals};
use std::collections::BTreeMap;

const MAX_WAIT_MS: u64 = 3_600_000;

/// Waiting times, packing and counters of one run.
#[derive(Debug, Default)]
pub struct Measures {
    waits: BTreeMap<Kind, Option<Histogram<u64>>>,
    /// Sum over all samples of the used share of the dominant resource. Sampled while work is
    /// queued.
    packing_sum: f64,
    samples: u64,
    /// The same sum, sampled while each of the compared accounts has queued work.
    mixed_packing_sum: f64,
    mixed_samples: u64,
    /// Largest difference between the mean shares of the compared accounts, 0 to 1.
    pub share_error: f64,
    pub unanswered: usize,
    pub refused: usize,
    pub placed: u64,
    pub preempted: u64,
    pub preempted_ms: u64,
    pub quarantined: u64,
    pub failed: u64,
    pub ended_at: u64,
}

impl Measures {
    pub fn waited(&mut self, kind: Kind, ms: u64) {
        let h = self.waits.entry(kind).or_default();
        let h = h.get_or_insert_with(|| Histogram::new_with_bounds(1, MAX_WAIT_MS, 3).unwrap());
        h.record(ms).unwrap();
    }

    pub fn sample(&mut self, used: &Totals, total: &Totals) {
        self.packing_sum += used.dominant_share(total);
        self.samples += 1;
    }

    pub fn sample_mixed(&mut self, used: &Totals, total: &Totals) {
        self.mixed_packing_sum += used.dominant_share(total);
        self.mixed_samples += 1;
    }

    /// Returns the mean packing while each of the compared accounts has queued work.
    pub fn mixed_packing(&self) -> f64 {
        match self.mixed_samples {
            0 => 0.0,
            n => self.mixed_packing_sum / n as f64,
        }
    }

    pub fn packing(&self) -> f64 {
        if self.samples == 0 { 0.0 } else { self.packing_sum / self.samples as f64 }
    }

    fn wait_stat(&self, kind: Kind, f: impl Fn(&Histogram<u64>) -> u64) -> u64 {
        self.waits.get(&kind).and_then(Option::as_ref).map_or(0, f)
    }

    pub fn p99(&self, kind: Kind) -> u64 {
        self.wait_stat(kind, |h| h.value_at_quantile(0.99))
    }

    pub fn max(&self, kind: Kind) -> u64 {
        self.wait_stat(kind, Histogram::max)
    }

    pub fn print(&self, name: &str) {
        println!(
            "  {name}: packing {:.1}% while work was queued, {:.1}% with mixed work",
            self.packing() * 100.0,
            self.mixed_packing() * 100.0
        );
        for (kind, h) in &self.waits {
            let Some(h) = h else {
                continue;
            };
            println!(
                "    {:<8} {:>6} started, waited p50 {} p99 {} max {} ms",
                kind.name(),
                h.len(),
                h.value_at_quantile(0.5),
                h.value_at_quantile(0.99),
                h.max()
            );
        }
        println!(
            "    placed {}, preempted {} (run time lost up to {} ms), quarantined {}, failed {}, \
             refused {}, share error {:.3}, ended at {} ms, unanswered {}",
            self.placed,
            self.preempted,
            self.preempted_ms,
            self.quarantined,
            self.failed,
            self.refused,
            self.share_error,
            self.ended_at,
            self.unanswered
        );
    }
}

pub fn used_resources(total: &Totals, free: &Totals) -> Totals {
    Totals {
        cpu_milli: total.cpu_milli - free.cpu_milli,
        memory_mib: total.memory_mib - free.memory_mib,
        accelerators: total.accelerators - free.accelerators,
    }
}

/// Returns the total capacity of equal workers.
pub fn total_capacity(capacity: &Resources, workers: usize) -> Totals {
    let mut t = Totals::default();
    (0..workers).for_each(|_| t.add(capacity));
    t
}
