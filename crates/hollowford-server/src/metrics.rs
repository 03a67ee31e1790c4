//! Prometheus metrics of a process.

use hollowford_connections::{Listener, Pool};
use hollowford_core::{Kind, Millis};
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

/// Bucket limits of the waiting time histogram, in seconds.
const WAIT_BUCKETS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 3.1, 10.0, 60.0, 600.0];
/// Bucket limits of the batch size histogram, in records.
const BATCH_BUCKETS: &[f64] = &[1.0, 3.0, 10.0, 30.0, 100.0, 300.0, 1_000.0, 3_000.0];

/// All metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    /// Registry of the metrics below.
    pub registry: Registry,
    /// Calls of client accounts, by call and error kind (`ok` without an error).
    pub calls: IntCounterVec,
    /// Calls that the router retried, by reason.
    pub retries: IntCounterVec,
    /// Time from acceptance to the first start, by kind of request.
    pub waiting: HistogramVec,
    /// Intents appended to the ledger, one for each placement of a task.
    pub placed: IntCounter,
    /// Start orders sent to workers.
    pub started: IntCounter,
    /// Tasks preempted for urgent work.
    pub preempted: IntCounter,
    /// Ledger rows written.
    pub ledger_writes: IntCounter,
    /// Ledger writes whose reply was lost.
    pub ledger_unanswered: IntCounter,
    /// Records in one ledger row.
    pub ledger_batch: Histogram,
    /// Reads and writes sent to the store, by operation.
    pub store_calls: IntCounterVec,
    /// Partitions that this process owns.
    pub partitions_owned: IntGauge,
    /// Takeovers by this process, by kind: `new` (no owner before), `released` (handed over) or
    /// `lapsed` (the owner's lease has expired).
    pub takeovers: IntCounterVec,
    /// Partitions lost to another process.
    pub deposed: IntCounter,
    /// Number of the newest active configuration change.
    pub config_head: IntGauge,
    /// Open sessions with workers.
    pub sessions: IntGauge,
    /// Items refused because a ring was full, by ring.
    pub ring_full: IntCounterVec,
    /// Connections that others have opened, by listener.
    connections: IntGaugeVec,
    /// Bytes kept for these connections.
    connection_bytes: IntGauge,
    /// Connections and requests that limits closed or refused, by listener and reason.
    connections_limited: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// If two metrics have the same name, which is a bug.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let r = Registry::new();
        Ok(Metrics {
            calls: counter_vec(
                &r,
                "hollowford_calls_total",
                "Calls of callers.",
                &["call", "kind"],
            )?,
            retries: counter_vec(&r, "hollowford_retries_total", "Calls sent again.", &["reason"])?,
            waiting: waiting_histogram(&r)?,
            placed: counter(&r, "hollowford_placed_total", "Intents appended.")?,
            started: counter(&r, "hollowford_started_total", "Starts sent.")?,
            preempted: counter(&r, "hollowford_preempted_total", "Tasks displaced.")?,
            ledger_writes: counter(&r, "hollowford_ledger_writes_total", "Ledger rows written.")?,
            ledger_unanswered: counter(
                &r,
                "hollowford_ledger_unanswered_total",
                "Ledger writes whose reply was lost.",
            )?,
            ledger_batch: batch_histogram(&r)?,
            store_calls: counter_vec(
                &r,
                "hollowford_store_calls_total",
                "Calls of the store.",
                &["op"],
            )?,
            partitions_owned: gauge(&r, "hollowford_partitions_owned", "Partitions owned.")?,
            takeovers: counter_vec(&r, "hollowford_takeovers_total", "Takeovers made.", &["how"])?,
            deposed: counter(&r, "hollowford_deposed_total", "Ownerships lost.")?,
            config_head: gauge(&r, "hollowford_config_head", "Newest change in force.")?,
            sessions: gauge(&r, "hollowford_worker_sessions", "Sessions with workers.")?,
            ring_full: counter_vec(&r, "hollowford_ring_full_total", "Items refused.", &["ring"])?,
            connections: gauge_vec(&r, "hollowford_connections", "Open ones.", &["listener"])?,
            connection_bytes: gauge(&r, "hollowford_connection_bytes", "Bytes kept for them.")?,
            connections_limited: counter_vec(
                &r,
                "hollowford_connections_limited_total",
                "Connections and requests that limits closed or refused.",
                &["listener", "reason"],
            )?,
            registry: r,
        })
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

    /// Records how long a request waited for its first start.
    pub fn observe_first_start(&self, kind: Kind, waited: Millis) {
        const MS_PER_SECOND: f64 = 1_000.0;
        let seconds = waited.0 as f64 / MS_PER_SECOND;
        self.waiting.with_label_values(&[kind.name()]).observe(seconds);
    }
}

fn counter(r: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let c = IntCounter::new(name, help)?;
    r.register(Box::new(c.clone()))?;
    Ok(c)
}

fn gauge(r: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let g = IntGauge::new(name, help)?;
    r.register(Box::new(g.clone()))?;
    Ok(g)
}

fn gauge_vec(
    r: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, prometheus::Error> {
    let family = IntGaugeVec::new(Opts::new(name, help), labels)?;
    r.register(Box::new(family.clone()))?;
    Ok(family)
}

fn counter_vec(
    r: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let family = IntCounterVec::new(Opts::new(name, help), labels)?;
    r.register(Box::new(family.clone()))?;
    Ok(family)
}

fn waiting_histogram(r: &Registry) -> Result<HistogramVec, prometheus::Error> {
    let help = "Time from acceptance to the first start.";
    let opts = HistogramOpts::new("hollowford_waiting_seconds", help);
    let family = HistogramVec::new(opts.buckets(WAIT_BUCKETS.to_vec()), &["kind"])?;
    r.register(Box::new(family.clone()))?;
    Ok(family)
}

fn batch_histogram(r: &Registry) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::new("hollowford_ledger_batch_records", "Records in one row.");
    let h = Histogram::with_opts(opts.buckets(BATCH_BUCKETS.to_vec()))?;
    r.register(Box::new(h.clone()))?;
    Ok(h)
}
