//! Load benchmark: submits mixed work to running processes at given rates and measures them.

mod load;
mod observe;
mod plot;

use crate::StandinError;
use load::LoadResult;
use observe::Snapshot;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

/// Options of the benchmark.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses at which the processes accept callers.
    pub callers: Vec<String>,
    /// Address of the stand-in platform.
    pub platform: String,
    /// Token of the client account that submits the work.
    pub token: String,
    /// Process ids of the system, to measure CPU time and memory.
    pub pids: Vec<String>,
    /// Rates of the steps, in task starts per second.
    pub rates: Vec<u64>,
    /// Length of a step, in seconds.
    pub seconds: u64,
}

/// Measurements of one step.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Step {
    /// Requested task starts per second.
    pub rate: u64,
    /// Task starts per second whose requests were answered.
    pub achieved: f64,
    /// Number of calls that were refused or failed.
    pub failed: u64,
    /// Median waiting time of quick checks from acceptance to start, in milliseconds.
    pub check_wait_p50: u64,
    /// 99th percentile of the same waiting time, in milliseconds.
    pub check_wait_p99: u64,
    /// 99th percentile of the time from a quick check's call to its answer minus its run time, in milliseconds.
    pub check_call_p99: u64,
    /// 99th percentile of the waiting time of batch work, in milliseconds.
    pub batch_wait_p99: u64,
    /// Store writes per task placed.
    pub writes_per_placement: f64,
    /// Store writes per second.
    pub writes_per_second: f64,
    /// Store reads per second.
    pub reads_per_second: f64,
    /// Bytes over the loopback interface per task placed, including those of the benchmark itself.
    pub bytes_per_placement: f64,
    /// Bytes over the loopback interface per second.
    pub bytes_per_second: f64,
    /// CPU time of all processes of the system per task placed, in microseconds.
    pub cpu_us_per_placement: f64,
    /// CPU use of each process, in cores.
    pub cores: Vec<f64>,
    /// Resident memory of each process, in mebibytes.
    pub memory_mib: Vec<f64>,
}

/// Runs and prints all steps, and writes JSON and a plot into the folder `out`.
///
/// # Errors
/// Returns an error if the processes can't be reached or the files can't be written.
pub async fn run(options: &Options, out: Option<&Path>) -> Result<(), StandinError> {
    let callers = load::connect(options).await?;
    println!(
        "  asked/s  made/s failed  check wait p50/p99 ms  call p99 ms  batch p99 ms  \
         writes/s  reads/s  writes/pl  bytes/pl    bytes/s  cpu us/pl  cores  MiB"
    );
    let mut steps = Vec::new();
    for &rate in &options.rates {
        let before = Snapshot::take(options).await?;
        let result = load::run_load(&callers, rate, options.seconds).await;
        let after = Snapshot::take(options).await?;
        let step = Step::new(rate, &result, &before, &after);
        step.print();
        steps.push(step);
        // Lets the queue of this step drain before the next one.
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
    fn new(rate: u64, result: &LoadResult, before: &Snapshot, after: &Snapshot) -> Step {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let placed = result.started.max(1) as f64;
        let writes = (after.writes - before.writes) as f64;
        let reads = (after.reads - before.reads) as f64;
        let cpu: Vec<f64> =
            after.cpu_seconds.iter().zip(&before.cpu_seconds).map(|(a, b)| a - b).collect();
        Step {
            rate,
            achieved: result.started as f64 / result.elapsed.as_secs_f64(),
            failed: result.failed,
            check_wait_p50: result.check_wait.value_at_quantile(0.5),
            check_wait_p99: result.check_wait.value_at_quantile(0.99),
            check_call_p99: result.check_call.value_at_quantile(0.99),
            batch_wait_p99: result.batch_wait.value_at_quantile(0.99),
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
