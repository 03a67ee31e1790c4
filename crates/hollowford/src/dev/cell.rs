//! Starts a cell of stand-ins and processes on free ports.

use super::work::WorkFile;
use crate::error::CliError;
use hollowford_config::Settings;
use hollowford_platform::Platform;
use hollowford_protocol::v1;
use hollowford_server::{Process, hash_token, seed_account};
use hollowford_standin::record::Recorder;
use hollowford_standin::register::{Group, start_group};
use hollowford_standin::worker::StandinWorker;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Runtime;

/// The operator token of a `dev` cell, which listens on the loopback interface only.
pub const OPERATOR_TOKEN: &str = "dev-operator";
const PEER_KEY: &str = "dev-cell-peer-key";
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running cell.
pub struct Cell {
    /// The processes of the system.
    pub processes: Vec<Process>,
    /// Record of the workers' task events.
    pub recorder: Arc<Recorder>,
    // Dropping these stops the stand-ins.
    _workers: Vec<Arc<StandinWorker>>,
    _runtime: Runtime,
}

impl Cell {
    /// Starts the stand-ins and the processes, and writes the configuration of the client accounts.
    pub fn start(file: &WorkFile) -> Result<Cell, CliError> {
        let rt = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name("standin")
            .enable_all()
            .build()
            .map_err(CliError::io("starting the stand-ins"))?;
        let recorder = Arc::new(Recorder::default());
        let (platform, workers) = rt.block_on(start_standins(file, &recorder))?;
        let processes = (0..file.entries)
            .map(|i| start_process(file, i, platform))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Cell { processes, recorder, _workers: workers, _runtime: rt })
    }

    /// Returns the address for callers of each process.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|p| p.addresses().callers).collect()
    }

    /// Stops the processes one after the other.
    pub fn stop(self) {
        for process in self.processes {
            process.stop();
            process.wait_stopped();
        }
    }
}

async fn start_standins(
    file: &WorkFile,
    recorder: &Arc<Recorder>,
) -> Result<(SocketAddr, Vec<Arc<StandinWorker>>), CliError> {
    let failed = || CliError::io("starting the stand-ins");
    let platform = hollowford_standin::platform::start("127.0.0.1:0").await.map_err(failed())?;
    let w = &file.workers;
    let group = Group {
        prefix: "w".to_owned(),
        count: w.count as usize,
        zones: w.zones as usize,
        per_rack: w.per_rack as usize,
        cpu_milli: w.cpu_milli as u32,
        memory_mib: w.memory_mib as u32,
        accelerators: w.accelerators as u32,
        failing_count: 0,
    };
    let workers = start_group(&group, &platform.to_string(), recorder).await.map_err(failed())?;
    let store = Platform::new(&platform.to_string(), STORE_TIMEOUT)
        .map_err(|e| CliError::Run(e.to_string()))?;
    for account in &file.accounts {
        let config = v1::AccountConfig {
            token_sha256: hash_token(&account.token),
            weight: account.weight as u32,
            quota_cpu_milli: account.quota_cpu_milli,
            ..Default::default()
        };
        let req = v1::SetConfigRequest {
            account: account.name.clone(),
            config: Some(config),
            expected_version: 0,
            author: "dev".to_owned(),
        };
        seed_account(&store, &req).await.map_err(|e| CliError::Run(e.to_string()))?;
    }
    Ok((platform, workers))
}

fn start_process(file: &WorkFile, i: u64, platform: SocketAddr) -> Result<Process, CliError> {
    let text = serde_json::json!({
        "process": format!("entry-{i}"),
        "zone": format!("zone-{}", i % file.workers.zones),
        "listen": {
            "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0",
        },
        "platform": { "address": platform.to_string() },
        "partitions": file.partitions,
        "peer_key": PEER_KEY,
        "operator_token_sha256": hash_token(OPERATOR_TOKEN),
    });
    let text = text.to_string();
    let mut settings = Settings::try_from(text.as_str())
        .map_err(|error| CliError::Settings { file: "dev".to_owned(), error })?;
    settings.policy = file.policy.clone();
    Process::start(settings).map_err(|e| CliError::Run(e.to_string()))
}
