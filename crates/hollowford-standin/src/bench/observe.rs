//! Reads counters before and after a step.

use super::Options;
use crate::StandinError;
use crate::platform::StoreStats;
use std::time::Instant;

/// Clock ticks per second in `/proc`; Linux fixes this value for user space.
const TICKS_PER_SECOND: f64 = 100.0;
const KIB_PER_MIB: f64 = 1_024.0;

/// Counters at one point in time.
pub(super) struct Snapshot {
    pub at: Instant,
    pub reads: u64,
    pub writes: u64,
    /// Bytes received over loopback by all processes of the machine.
    pub received_bytes: u64,
    /// CPU time of each process, in seconds.
    pub cpu_seconds: Vec<f64>,
    pub memory_mib: Vec<f64>,
}

impl Snapshot {
    pub async fn take(options: &Options) -> Result<Snapshot, StandinError> {
        let to_error = |e: reqwest::Error| StandinError::Bench(e.without_url().to_string());
        let http = reqwest::Client::builder().no_proxy().build().map_err(to_error)?;
        let url = format!("http://{}/served", options.platform);
        let stats: StoreStats =
            http.get(url).send().await.map_err(to_error)?.json().await.map_err(to_error)?;
        Ok(Snapshot {
            at: Instant::now(),
            reads: stats.reads,
            writes: stats.writes,
            received_bytes: loopback_bytes().unwrap_or(0),
            cpu_seconds: options.pids.iter().map(|p| cpu_seconds(p).unwrap_or(0.0)).collect(),
            memory_mib: options.pids.iter().map(|p| memory_mib(p).unwrap_or(0.0)).collect(),
        })
    }
}

fn loopback_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/net/dev").ok()?;
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn cpu_seconds(pid: &str) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    // User and system time are fields 14 and 15 of the whole line; `fields` starts with field 3.
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn memory_mib(pid: &str) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib / KIB_PER_MIB)
}
