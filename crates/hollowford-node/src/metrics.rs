//! Prometheus metrics of a process.

use hollowford_connections::{Listener, Pool};
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: &[f64] =
    &[0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0];

/// All metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Callers' requests, by verb and status.
    pub calls: IntCounterVec,
    /// Time from a caller's request to its answer.
    pub call_seconds: Histogram,
    /// Calls relayed again to another owner.
    pub relayed_again: IntCounter,
    /// Epoch in which this process owns a partition, or 0 if it doesn't, by partition.
    pub owned_epoch: IntGaugeVec,
    /// Takeovers, by cause.
    pub takeovers: IntCounterVec,
    /// Changes of owner within the last minute when this process last became owner, by partition.
    pub owner_changes: IntGaugeVec,
    /// Time from the write of a takeover to the first scheduling decision.
    pub takeover_seconds: Histogram,
    /// Reads of the owner row for answers that need a proof of ownership, by outcome.
    pub ownership_reads: IntCounterVec,
    /// Time since the store last confirmed the ownership, in milliseconds, by partition, while this
    /// process owns it; 0 if that is recent.
    pub unconfirmed_ms: IntGaugeVec,
    /// Batches, by outcome.
    pub batches: IntCounterVec,
    /// Time to write a batch.
    pub batch_seconds: Histogram,
    /// Calls to workers, by operation and outcome.
    pub worker_calls: IntCounterVec,
    /// Time of a task start that the worker answered.
    pub start_seconds: Histogram,
    /// Calls to the advice service made by this process, by outcome.
    pub advice_calls: IntCounterVec,
    /// Answers of the advice service whose tickets have been used or have lapsed, by partition and
    /// whether a start of the step followed within the validity.
    pub advice_answers: IntCounterVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Jobs that have not ended, by partition, while this process owns it.
    pub open_jobs: IntGaugeVec,
    /// Workers that can be assigned tasks, by partition, while this process owns it.
    pub usable_workers: IntGaugeVec,
    /// Waiting steps, by partition and cause, while this process owns it.
    pub waiting_steps: IntGaugeVec,
    /// CPU in use by client accounts with a quota, in thousandths of a core, by partition and
    /// account, while this process owns it.
    pub account_used_milli: IntGaugeVec,
    /// Share of a pool that client accounts use, in thousandths of the resource of which they use
    /// most, by partition and account, while this process owns it and accounts have weights.
    pub account_share_permille: IntGaugeVec,
    /// Share of workers' answers lost recently, in thousandths, by partition.
    pub lost_permille: IntGaugeVec,
    /// Workers that crashed, by partition.
    pub worker_crashes: IntCounterVec,
    /// Jobs given up because their tasks crash their workers, by partition.
    pub crashing_jobs: IntCounterVec,
    /// Run time as a multiple of a typical estimate, by partition and queue, while this process
    /// owns it.
    pub run_time_factor: GaugeVec,
    /// Run times of workers relative to an ordinary one, by partition and quantile, while this
    /// process owns it.
    pub worker_slowness: GaugeVec,
    /// Ended copies of tasks, by partition and outcome.
    pub copies: IntCounterVec,
    /// Connections that others have opened, by listener.
    connections: IntGaugeVec,
    /// Bytes kept for these connections.
    connection_bytes: IntGauge,
    /// Connections closed and refused by limits, by listener and reason.
    connections_limited: IntCounterVec,
    /// Log lines dropped because the writer thread could not keep up.
    log_dropped: IntCounter,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Returns an error if two metrics have the same name, which is a programming error.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let r = Registry::new_custom(Some("hollowford_node".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let c = IntCounterVec::new(Opts::new(name, help), labels)?;
            r.register(Box::new(c.clone()))?;
            Ok::<_, prometheus::Error>(c)
        };
        let counter = |name: &str, help: &str| {
            let c = IntCounter::new(name, help)?;
            r.register(Box::new(c.clone()))?;
            Ok::<_, prometheus::Error>(c)
        };
        let gauge = |name: &str, help: &str| {
            let g = IntGauge::new(name, help)?;
            r.register(Box::new(g.clone()))?;
            Ok::<_, prometheus::Error>(g)
        };
        let gauges_by = |name: &str, help: &str, labels: &[&str]| {
            let g = IntGaugeVec::new(Opts::new(name, help), labels)?;
            r.register(Box::new(g.clone()))?;
            Ok::<_, prometheus::Error>(g)
        };
        let real_gauges = |name: &str, help: &str, labels: &[&str]| {
            let g = GaugeVec::new(Opts::new(name, help), labels)?;
            r.register(Box::new(g.clone()))?;
            Ok::<_, prometheus::Error>(g)
        };
        let gauges = |name: &str, help: &str| gauges_by(name, help, &["partition"]);
        let seconds = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let h = Histogram::with_opts(opts)?;
            r.register(Box::new(h.clone()))?;
            Ok::<_, prometheus::Error>(h)
        };
        Ok(Metrics {
            calls: counters("calls_total", "Requests of callers", &["verb", "status"])?,
            call_seconds: seconds("call_seconds", "Time of requests of callers")?,
            relayed_again: counter("relayed_again_total", "Calls sent again to another owner")?,
            owned_epoch: gauges("owned_epoch", "Epoch owned in, or 0")?,
            takeovers: counters("takeovers_total", "Takeovers made", &["cause"])?,
            owner_changes: gauges("owner_changes_minute", "Changes of owner within a minute")?,
            takeover_seconds: seconds("takeover_seconds", "From the takeover to decisions")?,
            ownership_reads: counters(
                "ownership_reads_total",
                "Reads of the owner row for answers that need a proof of ownership",
                &["outcome"],
            )?,
            unconfirmed_ms: gauges(
                "ownership_unconfirmed_ms",
                "Since the store confirmed ownership",
            )?,
            batches: counters("batches_total", "Batches to the store", &["outcome"])?,
            batch_seconds: seconds("batch_seconds", "Time of a batch")?,
            worker_calls: counters("worker_calls_total", "Calls to workers", &["call", "outcome"])?,
            start_seconds: seconds("start_seconds", "Time of an answered start")?,
            advice_calls: counters("advice_calls_total", "Calls for advice", &["outcome"])?,
            advice_answers: counters(
                "advice_answers_total",
                "Answers with advice, by whether a start followed while their tickets were valid",
                &["partition", "used"],
            )?,
            config_version: gauge("config_version", "Version of the configuration")?,
            open_jobs: gauges("open_jobs", "Jobs that have not ended")?,
            usable_workers: gauges("usable_workers", "Workers that may get tasks")?,
            waiting_steps: gauges_by(
                "waiting_steps",
                "Steps that wait, by cause",
                &["partition", "cause"],
            )?,
            account_used_milli: gauges_by(
                "account_used_milli",
                "Thousandths of a core that an account holds",
                &["partition", "account"],
            )?,
            account_share_permille: gauges_by(
                "account_share_permille",
                "Thousandths of the pool that an account uses",
                &["partition", "account"],
            )?,
            lost_permille: gauges("lost_answers_permille", "Workers' answers lost lately")?,
            worker_crashes: counters(
                "worker_crashes_total",
                "Workers that came back under another id without having said that they leave",
                &["partition"],
            )?,
            crashing_jobs: counters(
                "crashing_jobs_total",
                "Jobs given up since their tasks crash their workers",
                &["partition"],
            )?,
            run_time_factor: real_gauges(
                "run_time_factor",
                "Learned run time as a multiple of a typical estimate",
                &["partition", "queue"],
            )?,
            worker_slowness: real_gauges(
                "worker_slowness",
                "Learned run times of workers relative to an ordinary one",
                &["partition", "quantile"],
            )?,
            copies: counters(
                "copies_total",
                "Copies of tasks that have ended, by outcome",
                &["partition", "outcome"],
            )?,
            connections: gauges_by("connections", "Connections opened by others", &["listener"])?,
            connection_bytes: gauge("connection_bytes", "Bytes kept for these connections")?,
            connections_limited: counters(
                "connections_limited_total",
                "Connections and requests that limits closed or refused",
                &["listener", "reason"],
            )?,
            log_dropped: counter("log_dropped_total", "Log lines dropped")?,
            registry: r,
        })
    }

    /// Updates the count of dropped log lines.
    pub fn set_log_dropped(&self, dropped: u64) {
        self.log_dropped.inc_by(dropped.saturating_sub(self.log_dropped.get()));
    }

    /// Updates the counts of connections.
    pub fn set_connections(&self, pool: &Pool) {
        self.connection_bytes.set(pool.bytes() as i64);
        for listener in Listener::ALL {
            let counts = pool.counts(listener);
            self.connections.with_label_values(&[listener.name()]).set(counts.open as i64);
            for (reason, count) in counts.by_reason() {
                let counter =
                    self.connections_limited.with_label_values(&[listener.name(), reason]);
                counter.inc_by(count.saturating_sub(counter.get()));
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Returns an error if a metric can't be encoded.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }
}
