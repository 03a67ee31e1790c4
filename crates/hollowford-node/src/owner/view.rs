//! What an owner shows of itself: gauges, and lines in the log.

use super::Owner;
use hollowford_core::Millis;
use hollowford_jobs::WaitCause;

/// How often the owner's gauges and its line in the log are renewed.
const VIEW_EVERY: Millis = Millis(2_000);
/// An account that holds so much of its quota is logged.
const AT_QUOTA_PERCENT: u64 = 95;
/// A step of a job that was accepted so long ago is logged while it waits.
const WAITED_LONG: Millis = Millis(3_000);
/// Most steps that are logged so at a time.
const MOST_WAIT_LINES: usize = 8;
/// Most accounts that are logged so at a time.
const MOST_QUOTA_LINES: usize = 8;

impl Owner {
    /// Renews the gauges and the lines in the log, every now and then.
    pub(super) fn renew_view(&mut self, now: Millis) {
        if now.since(self.viewed) < VIEW_EVERY {
            return;
        }
        self.viewed = now;
        let view = self.engine.view(now);
        let (metrics, part) = (&self.cx.shared.metrics, [self.cx.partition.part.as_str()]);
        metrics.open_jobs.with_label_values(&part).set(view.open_jobs as i64);
        metrics.lost_permille.with_label_values(&part).set(i64::from(view.lost_permille));
        metrics.usable_workers.with_label_values(&part).set(view.usable_workers as i64);
        let crashes = view.stats.crashes - self.shown.crashes;
        metrics.worker_crashes.with_label_values(&part).inc_by(crashes);
        let crashing_jobs = view.stats.crashing_jobs - self.shown.crashing_jobs;
        metrics.crashing_jobs.with_label_values(&part).inc_by(crashing_jobs);
        self.shown = view.stats;
        self.renew_account_view();
        self.renew_waits(now);
        log::info!("owner.view partition={} {view}", self.info.partition);
    }

    /// Renews the gauges of what steps wait for, and logs those that have waited long.
    fn renew_waits(&mut self, now: Millis) {
        let part = self.cx.partition.part.clone();
        let gauge = &self.cx.shared.metrics.waiting_steps;
        let waits = self.engine.step_waits(now);
        for cause in WaitCause::ALL {
            let count = waits.iter().filter(|w| w.cause == cause).count();
            gauge.with_label_values(&[part.as_str(), cause.name()]).set(count as i64);
        }
        for w in waits.iter().filter(|w| w.age >= WAITED_LONG).take(MOST_WAIT_LINES) {
            log::info!("step.waits partition={part} {w}");
        }
    }

    /// Renews the gauges of the client accounts with a quota, and logs those that are at theirs.
    fn renew_account_view(&mut self) {
        let part = self.cx.partition.part.clone();
        let gauge = &self.cx.shared.metrics.account_used_milli;
        let mut lines = 0;
        for a in self.engine.account_usage() {
            gauge.with_label_values(&[part.as_str(), &a.name]).set(a.used.cpu_milli as i64);
            if a.has_reached(AT_QUOTA_PERCENT) && lines < MOST_QUOTA_LINES {
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
