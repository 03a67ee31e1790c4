//! Drives running processes at given rates with mixed work, and measures them.

mod load;
mod observe;
mod plot;

use crate::StandinError;
use load::LoadResult;
use observe::Snapshot;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

/// What to drive, and how.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the processes' callers' side.
    pub callers: Vec<String>,
    /// Address of the stand-in platform.
    pub platform: String,
    /// Token of the client account that asks.
    pub token: String,
    /// Ids of the system's processes, for their processor time and memory.
    pub pids: Vec<String>,
    /// Starts a second, one step after the other.
    pub rates: Vec<u64>,
    /// Length of a step.
    pub seconds: u64,
}

/// What one step has shown.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Step {
    /// Starts a second that were asked for.
    pub rate: u64,
    /// Starts a second that were made and answered.
    pub achieved: f64,
    /// Calls refused or failed.
    pub failed: u64,
    /// Waiting time of quick checks from acceptance to start, in milliseconds.
    pub check_wait_p50: u64,
    /// The same, at 99 of 100.
    pub check_wait_p99: u64,
    /// From a quick check's call to its answer, less its run time, in milliseconds.
    pub check_call_p99: u64,
    /// Waiting time of batch work.
    pub batch_wait_p99: u64,
    /// Store writes a placement.
    pub writes_per_placement: f64,
    /// Store writes a second.
    pub writes_per_second: f64,
    /// Store reads a second.
    pub reads_per_second: f64,
    /// Bytes over loopback a placement, of all parts and the bench itself.
    pub bytes_per_placement: f64,
    /// The same, a second.
    pub bytes_per_second: f64,
    /// Processor time a placement of all processes of the system, in microseconds.
    pub cpu_us_per_placement: f64,
    /// Part of a core that each process used.
    pub cores: Vec<f64>,
    /// Resident memory of each process, in mebibytes.
    pub memory_mib: Vec<f64>,
}

/// Runs all steps, prints them, and saves JSON and a plot into `out`.
///
/// # Errors
/// When the processes can't be reached or the files can't be written.
pub async fn run(options: &Options, out: Option<&Path>) -> Result<(), StandinError> {
    let callers = load::connect(options).await?;
    println!(
        "  asked/s  made/s failed  check wait p50/p99 ms  call p99 ms  batch p99 ms  \
         writes/s  reads/s  writes/pl  bytes/pl    bytes/s  cpu us/pl  cores  MiB"
    );
    let mut steps = Vec::new();
    for &rate in &options.rates {
        let before = Snapshot::take(options).await?;
        let load = load::run_load(&callers, rate, options.seconds).await;
        let after = Snapshot::take(options).await?;
        let step = Step::new(rate, &load, &before, &after);
        step.print();
        steps.push(step);
        // The queue that a step leaves behind is not the next one's.
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    if let Some(dir) = out {
        std::fs::create_dir_all(dir)?;
        let json = serde_json::to_string_pretty(&steps).map_err(std::io::Error::other)?;
        std::fs::write(dir.join("bench.json"), json)?;
        plot::draw(&steps, &dir.join("bench.svg"))?;
    }
    Ok(())
}

impl Step {
    fn new(rate: u64, load: &LoadResult, before: &Snapshot, after: &Snapshot) -> Step {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let placed = load.started.max(1) as f64;
        let writes = (after.writes - before.writes) as f64;
        let reads = (after.reads - before.reads) as f64;
        let cpu: Vec<f64> =
            after.cpu_seconds.iter().zip(&before.cpu_seconds).map(|(a, b)| a - b).collect();
        Step {
            rate,
            achieved: load.started as f64 / load.elapsed.as_secs_f64(),
            failed: load.failed,
            check_wait_p50: load.check_wait.value_at_quantile(0.5),
            check_wait_p99: load.check_wait.value_at_quantile(0.99),
            check_call_p99: load.check_call.value_at_quantile(0.99),
            batch_wait_p99: load.batch_wait.value_at_quantile(0.99),
            writes_per_placement: writes / placed,
            writes_per_second: writes / seconds,
            reads_per_second: reads / seconds,
            bytes_per_placement: (after.received_bytes - before.received_bytes) as f64 / placed,
            bytes_per_second: (after.received_bytes - before.received_bytes) as f64 / seconds,
            cpu_us_per_placement: cpu.iter().sum::<f64>() * 1e6 / placed,
            cores: cpu.iter().map(|c| c / seconds).collect(),
            memory_mib: after.memory_mib.clone(),
        }
    }

    fn print(&self) {
        let cores: Vec<String> = self.cores.iter().map(|c| format!("{c:.3}")).collect();
        let memory: Vec<String> = self.memory_mib.iter().map(|m| format!("{m:.0}")).collect();
        println!(
            "{:>9} {:>7.0} {:>6} {:>11}/{:<10} {:>11} {:>13} {:>9.0} {:>8.0} {:>10.4} {:>9.0} \
             {:>10.0} {:>10.0}  {}  {}",
            self.rate,
            self.achieved,
            self.failed,
            self.check_wait_p50,
            self.check_wait_p99,
            self.check_call_p99,
            self.batch_wait_p99,
            self.writes_per_second,
            self.reads_per_second,
            self.writes_per_placement,
            self.bytes_per_placement,
            self.bytes_per_second,
            self.cpu_us_per_placement,
            cores.join("/"),
            memory.join("/")
        );
    }
}
