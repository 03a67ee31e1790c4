//! Gauges and log lines about the owner's state.

use super::Owner;
use hollowford_core::Millis;
use hollowford_jobs::{Stats, WaitCause};

/// Interval between two updates of the gauges and the log line.
const VIEW_INTERVAL: Millis = Millis(2_000);
/// Accounts that use at least this share of their quota are logged.
const NEAR_QUOTA_PERCENT: u64 = 95;
/// Minimum age of a job whose waiting steps are logged.
const MIN_LOGGED_WAIT: Millis = Millis(3_000);
/// Maximum number of waiting steps logged per update.
const MAX_WAIT_LINES: usize = 8;
/// Labels of the quantiles of the workers' slowness.
const SLOWNESS_QUANTILES: [&str; 5] = ["0", "0.25", "0.5", "0.75", "1"];
/// Maximum number of accounts logged per update.
const MAX_QUOTA_LINES: usize = 8;

impl Owner {
    /// Updates the gauges and writes the log lines once per [`VIEW_INTERVAL`].
    pub(super) fn update_view(&mut self, now: Millis) {
        if now.since(self.view_updated_at) < VIEW_INTERVAL {
            return;
        }
        self.view_updated_at = now;
        let view = self.engine.view(now);
        let (metrics, part) = (&self.cx.shared.metrics, [self.cx.partition.part.as_str()]);
        metrics.open_jobs.with_label_values(&part).set(view.open_jobs as i64);
        metrics.lost_permille.with_label_values(&part).set(i64::from(view.lost_permille));
        metrics.usable_workers.with_label_values(&part).set(view.usable_workers as i64);
        let crashes = view.stats.crashes - self.reported_stats.crashes;
        metrics.worker_crashes.with_label_values(&part).inc_by(crashes);
        let crashing_jobs = view.stats.crashing_jobs - self.reported_stats.crashing_jobs;
        metrics.crashing_jobs.with_label_values(&part).inc_by(crashing_jobs);
        let used_answers = view.stats.used_answers - self.reported_stats.used_answers;
        metrics.advice_answers.with_label_values(&[part[0], "yes"]).inc_by(used_answers);
        let unused_answers = view.stats.unused_answers - self.reported_stats.unused_answers;
        metrics.advice_answers.with_label_values(&[part[0], "no"]).inc_by(unused_answers);
        self.update_copies(&view.stats);
        self.reported_stats = view.stats;
        self.update_account_usage();
        self.update_run_times();
        self.update_account_shares();
        self.update_step_waits(now);
        log::info!("owner.view partition={} {view}", self.info.partition);
    }

    /// Adds the copies that have ended since the last update to their counters.
    fn update_copies(&self, stats: &Stats) {
        let part = self.cx.partition.part.as_str();
        let counter = &self.cx.shared.metrics.copies;
        let reported = self.reported_stats.copy_outcomes();
        for ((outcome, count), (_, before)) in stats.copy_outcomes().into_iter().zip(reported) {
            counter.with_label_values(&[part, outcome]).inc_by(count - before);
        }
    }

    /// Updates the gauges of waiting steps by cause and logs those that have waited long.
    fn update_step_waits(&mut self, now: Millis) {
        let part = self.cx.partition.part.clone();
        let gauge = &self.cx.shared.metrics.waiting_steps;
        let waits = self.engine.step_waits(now);
        for cause in WaitCause::ALL {
            let count = waits.iter().filter(|w| w.cause == cause).count();
            gauge.with_label_values(&[part.as_str(), cause.name()]).set(count as i64);
        }
        for w in waits.iter().filter(|w| w.age >= MIN_LOGGED_WAIT).take(MAX_WAIT_LINES) {
            log::info!("step.waits partition={part} {w}");
        }
    }

    /// Updates the gauges of learned run times.
    fn update_run_times(&self) {
        let part = self.cx.partition.part.as_str();
        let metrics = &self.cx.shared.metrics;
        let learned = self.engine.learned_run_times();
        for q in learned.queues {
            metrics.run_time_factor.with_label_values(&[part, &q.queue]).set(q.factor);
        }
        let values = learned.slowness.into_iter().flatten();
        for (quantile, value) in SLOWNESS_QUANTILES.into_iter().zip(values) {
            metrics.worker_slowness.with_label_values(&[part, quantile]).set(value.into());
        }
    }

    /// Updates the gauges of the client accounts' shares.
    fn update_account_shares(&mut self) {
        let part = self.cx.partition.part.clone();
        let gauge = &self.cx.shared.metrics.account_share_permille;
        for a in self.engine.account_shares() {
            gauge.with_label_values(&[part.as_str(), &a.name]).set(i64::from(a.permille));
        }
    }

    /// Updates the usage gauges of client accounts with a quota and logs accounts near their quota.
    fn update_account_usage(&mut self) {
        let part = self.cx.partition.part.clone();
        let gauge = &self.cx.shared.metrics.account_used_milli;
        let mut lines = 0;
        for a in self.engine.account_usage() {
            gauge.with_label_values(&[part.as_str(), &a.name]).set(a.used.cpu_milli as i64);
            if a.has_reached(NEAR_QUOTA_PERCENT) && lines < MAX_QUOTA_LINES {
                lines += 1;
                log::info!(
                    "account.at_quota partition={part} account={} used={:?} quota={:?}",
                    a.name,
                    a.used,
                    a.quota
                );
            }
        }
    }
}
