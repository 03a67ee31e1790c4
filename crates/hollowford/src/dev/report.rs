//! The report of a run: waiting times, packing and control cost.

use crate::command::{view_json, view_line};
use hdrhistogram::Histogram;
use hollowford_protocol::v1;
use hollowford_standin::record_check::RecordSummary;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// Threads whose CPU time counts as control cost.
const CONTROL_THREADS: &[&str] =
    &["decide", "ledger", "workers", "peers", "watch", "admin", "entry"];
/// Clock ticks per second in `/proc`; Linux fixes this value for user space.
const TICKS_PER_SECOND: f64 = 100.0;
const MAX_RECORDED_MS: u64 = 3_600_000;

/// The result of a request.
#[derive(Debug)]
pub struct RequestResult {
    pub request_id: String,
    pub kind: v1::Kind,
    pub view: Option<v1::RequestView>,
    /// The last error, if there is no view.
    pub error: String,
}

impl RequestResult {
    /// Returns true if the request was answered.
    pub fn has_answer(&self) -> bool {
        self.view.is_some()
    }
}

/// The state of the cell at one point in time, summed over all partitions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    pub total_cpu_milli: u64,
    pub free_cpu_milli: u64,
    pub waiting_tasks: u64,
    pub placed: u64,
    pub store_reads: u64,
    pub store_writes: u64,
}

/// Results and measurements of a run.
#[derive(Debug, Default)]
pub struct Report {
    pub answers: Vec<RequestResult>,
    pub samples: Vec<Sample>,
    pub elapsed: Duration,
    /// Number of requests without an answer.
    pub missing: usize,
}

fn kind_name(kind: v1::Kind) -> &'static str {
    match kind {
        v1::Kind::Check => "check",
        v1::Kind::Gang => "gang",
        v1::Kind::Batch => "batch",
        v1::Kind::Service => "service",
        v1::Kind::Unspecified => "unknown",
    }
}

impl Report {
    /// Prints one line per request, then the measurements.
    pub fn print(&self) {
        for a in &self.answers {
            match &a.view {
                Some(view) => println!("{:<8} {}", kind_name(a.kind), view_line(view)),
                None => {
                    println!("{:<8} {}: no answer ({})", kind_name(a.kind), a.request_id, a.error)
                }
            }
        }
        self.print_waiting();
        self.print_packing();
        self.print_cost();
    }

    /// Returns the report as JSON.
    pub fn to_json(&self, summary: &RecordSummary) -> Value {
        let answers: Vec<Value> = self
            .answers
            .iter()
            .map(|a| match &a.view {
                Some(view) => view_json(view),
                None => json!({"request_id": a.request_id, "error": a.error}),
            })
            .collect();
        let waiting: BTreeMap<&str, Value> = self
            .waiting_times()
            .into_iter()
            .map(|(kind, h)| {
                let at = |q| h.value_at_quantile(q);
                let v = json!({"requests": h.len(), "p50_ms": at(0.5), "p99_ms": at(0.99),
                    "max_ms": h.max()});
                (kind, v)
            })
            .collect();
        let last = self.samples.last().copied().unwrap_or_default();
        json!({
            "answers": answers, "waiting": waiting, "packing": self.packing(),
            "placed": last.placed, "store_writes": last.store_writes,
            "store_reads": last.store_reads, "seconds": self.elapsed.as_secs_f64(),
            "missing": self.missing, "starts": summary.starts, "faults": summary.violations,
        })
    }

    fn waiting_times(&self) -> BTreeMap<&'static str, Histogram<u64>> {
        let mut by_kind = BTreeMap::new();
        for a in &self.answers {
            let waited = a.view.as_ref().and_then(|v| v.waited_ms);
            let h = by_kind.entry(kind_name(a.kind)).or_insert_with(new_histogram);
            if let Some(ms) = waited {
                h.saturating_record(ms);
            }
        }
        by_kind
    }

    fn print_waiting(&self) {
        println!("\nwaiting time      requests   p50 ms   p99 ms   max ms");
        for (kind, h) in self.waiting_times() {
            println!(
                "  {kind:<14} {:>9} {:>8} {:>8} {:>8}",
                h.len(),
                h.value_at_quantile(0.5),
                h.value_at_quantile(0.99),
                h.max()
            );
        }
    }

    /// Returns the mean share of CPU in use while tasks were waiting, or `None` if none were.
    fn packing(&self) -> Option<f64> {
        let busy: Vec<f64> = self
            .samples
            .iter()
            .filter(|s| s.waiting_tasks > 0 && s.total_cpu_milli > 0)
            .map(|s| 1.0 - s.free_cpu_milli as f64 / s.total_cpu_milli as f64)
            .collect();
        (!busy.is_empty()).then(|| busy.iter().sum::<f64>() / busy.len() as f64)
    }

    fn print_packing(&self) {
        match self.packing() {
            Some(mean) => {
                let percent = mean * 100.0;
                println!("packing           {percent:.1}% of processors in use while work queued");
            }
            None => println!("packing           no work was queued at any sample"),
        }
    }

    fn print_cost(&self) {
        let last = self.samples.last().copied().unwrap_or_default();
        let placed = last.placed.max(1) as f64;
        let seconds = self.elapsed.as_secs_f64();
        println!(
            "control cost      {} tasks placed in {seconds:.1} s, {:.3} store writes and {:.3} \
             reads a placement",
            last.placed,
            last.store_writes as f64 / placed,
            last.store_reads as f64 / placed
        );
        if let Some(cpu) = control_cpu_seconds() {
            println!(
                "                  {:.0} us of processor time a placement, {:.1}% of one core",
                cpu * 1_000_000.0 / placed,
                cpu / seconds * 100.0
            );
        }
        match self.missing {
            0 => println!("answers           all {} requests got theirs", self.answers.len()),
            n => println!("answers           {n} requests got none"),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    // Constant bounds in ascending order are always valid.
    Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).unwrap_or_else(|_| unreachable!())
}

/// Returns the CPU time of this process's control threads, in seconds.
fn control_cpu_seconds() -> Option<f64> {
    let mut ticks = 0.0;
    for entry in std::fs::read_dir("/proc/self/task").ok()? {
        let stat = std::fs::read_to_string(entry.ok()?.path().join("stat")).ok()?;
        let (_, rest) = stat.split_once('(')?;
        let (name, rest) = rest.rsplit_once(')')?;
        if !CONTROL_THREADS.contains(&name) {
            continue;
        }
        let fields: Vec<&str> = rest.split_whitespace().collect();
        // User and system time are fields 14 and 15 of the whole line; `fields` starts with field 3.
        for at in [11, 12] {
            ticks += fields.get(at)?.parse::<f64>().ok()?;
        }
    }
    Some(ticks / TICKS_PER_SECOND)
}
