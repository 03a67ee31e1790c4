//! Starts groups of workers and registers them with the platform.

use crate::record::Recorder;
use crate::worker::{self, Settings, StandinWorker};
use hollowford_platform::Platform;
use hollowford_platform::rows::Instance;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// A group of similar workers.
#[derive(Clone, Debug)]
pub struct Group {
    /// Prefix of their ids, followed by a number.
    pub prefix: String,
    /// Number of workers.
    pub count: usize,
    /// Number of availability zones; racks are assigned to them in turn.
    pub zones: usize,
    /// Workers per rack.
    pub per_rack: usize,
    /// CPU capacity of each worker, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory of each worker, in mebibytes.
    pub memory_mib: u32,
    /// Accelerators of each worker.
    pub accelerators: u32,
    /// Number of workers, from the first, that fail every task.
    pub failing_count: usize,
}

impl Group {
    fn settings(&self, i: usize) -> Settings {
        let rack = i / self.per_rack.max(1);
        let zone = rack % self.zones.max(1);
        Settings {
            instance: Instance {
                id: format!("{}{i:03}", self.prefix),
                addr: String::new(),
                zone: format!("zone-{zone}"),
                rack: format!("{}rack-{rack}", self.prefix),
                leaving: false,
            },
            cpu_milli: self.cpu_milli,
            memory_mib: self.memory_mib,
            accelerators: self.accelerators,
            fail_all: i < self.failing_count,
        }
    }
}

/// Starts the group on the loopback interface and registers it with the platform at `platform`.
///
/// # Errors
/// Returns an error if an address can't be bound or the platform doesn't answer.
pub async fn start_group(
    group: &Group,
    platform: &str,
    recorder: &Arc<Recorder>,
) -> io::Result<Vec<Arc<StandinWorker>>> {
    const TIMEOUT: Duration = Duration::from_secs(5);
    let objects = Platform::new(platform, TIMEOUT).map_err(io::Error::other)?;
    let mut workers = Vec::new();
    let mut instances = Vec::new();
    for i in 0..group.count {
        let settings = group.settings(i);
        let started =
            worker::start("127.0.0.1:0", settings, recorder.clone(), Some(objects.clone()));
        let (worker, instance) = started.await?;
        workers.push(worker);
        instances.push(instance);
    }
    let http = reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?;
    let sent = http.post(format!("http://{platform}/instances")).json(&instances).send().await;
    sent.and_then(reqwest::Response::error_for_status).map_err(io::Error::other)?;
    Ok(workers)
}
