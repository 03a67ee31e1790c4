//! A cell: the platform's stand-in, its workers, the processes, and proxies between them.

use crate::SoakError;
use crate::addresses::CellAddresses;
use crate::process::{Process, ProcessOptions};
use crate::proxy::Proxy;
use hollowford_adapter_standin::formats;
use hollowford_adapter_standin::{Platform, WorkerClock};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Path prefixes of a queue without and one with calls to the advice service.
pub const QUEUE_PREFIXES: [&str; 2] = ["/plain/", "/advised/"];

/// Size of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of processes.
    pub nodes: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of workers in each partition.
    pub workers_per_partition: usize,
}

/// A process with its proxies.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// Address of its readiness endpoint.
    pub readiness_addr: SocketAddr,
    /// Proxy between the callers and the process.
    pub caller_proxy: Proxy,
    /// Proxy between the process and the store.
    pub store_proxy: Proxy,
}

/// A worker with its proxy.
#[derive(Debug)]
pub struct Worker {
    /// Id of its current incarnation.
    pub id: String,
    /// Number of its rack.
    pub rack: usize,
    /// Proxy between the processes and the worker.
    pub proxy: Proxy,
    /// Whether it was removed from the cell.
    pub removed: bool,
}

/// A running cell.
#[derive(Debug)]
pub struct Cell {
    /// The stand-in of the platform.
    pub platform: Platform,
    /// The processes.
    pub nodes: Vec<Node>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// Version of the newest configuration.
    pub config_version: u64,
    worker_count: usize,
    dir: TempDir,
}

impl Cell {
    /// Starts a cell. Its workers' clocks and its processes' addresses are drawn from `rng`.
    ///
    /// # Errors
    /// Returns an error if a port can't be bound, a file written or a process started.
    pub async fn start(
        program: &Path,
        size: Size,
        rng: &mut fastrand::Rng,
    ) -> Result<Cell, SoakError> {
        let platform = Platform::start(0).await?;
        let dir = TempDir::new()?;
        let mut cell = Cell {
            platform,
            nodes: Vec::new(),
            workers: Vec::new(),
            config_version: 0,
            worker_count: 0,
            dir,
        };
        cell.write_next_config();
        for _ in 0..size.workers {
            cell.add_worker(rng).await?;
        }
        let addresses = CellAddresses::random(rng)?;
        for i in 0..size.nodes {
            let node = cell.start_node(program, size.workers_per_partition, &addresses, i).await?;
            cell.nodes.push(node);
        }
        Ok(cell)
    }

    async fn start_node(
        &self,
        program: &Path,
        workers_per_partition: usize,
        addresses: &CellAddresses,
        i: usize,
    ) -> Result<Node, SoakError> {
        let store_proxy = Proxy::open(self.platform.addr()).await?;
        let settings = addresses.settings(i);
        let text = formats::settings_file(&settings, self.platform.addr(), store_proxy.addr);
        let file = self.dir.path().join(format!("{}.toml", settings.name));
        std::fs::write(&file, text)?;
        let options = ProcessOptions { workers_per_partition, ..ProcessOptions::default() };
        let process = Process::start(program, &file, &self.log_path(i), options)?;
        Ok(Node {
            process,
            readiness_addr: SocketAddr::from((settings.ip, settings.readiness)),
            caller_proxy: Proxy::open(SocketAddr::from((settings.ip, settings.callers))).await?,
            store_proxy,
        })
    }

    fn log_path(&self, node: usize) -> PathBuf {
        self.dir.path().join(format!("n{node}.log"))
    }

    fn next_worker_id(&mut self) -> String {
        self.worker_count += 1;
        format!("w{}", self.worker_count)
    }

    /// Adds a worker whose clock starts at a random value and may run up to 2 % slow.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn add_worker(&mut self, rng: &mut fastrand::Rng) -> Result<(), SoakError> {
        let (id, rack) = (self.next_worker_id(), self.workers.len());
        let addr = self.platform.add_worker(&id, rack)?;
        let clock = WorkerClock {
            start_reading_ms: rng.u64(0..1_000_000),
            rate_permille: rng.u64(980..=1_000),
            ..WorkerClock::default()
        };
        self.platform.with_worker(&id, |w| w.clock = clock);
        let generations = self.platform.with_worker(&id, |w| w.connection_generation.subscribe());
        let proxy = Proxy::open_with_generations(addr, generations).await?;
        self.platform.write_worker_row(&id, proxy.addr, rack, false);
        self.workers.push(Worker { id, rack, proxy, removed: false });
        Ok(())
    }

    /// Returns a worker with its current id: a task may have crashed it since.
    fn worker(&mut self, i: usize) -> &mut Worker {
        let w = &mut self.workers[i];
        w.id = self.platform.current_id(&w.id);
        w
    }

    /// Cuts a worker off from owners that are newer than the one it knows, or ends that. Its next
    /// incarnation is not cut off.
    pub fn set_cut_off(&mut self, i: usize, is_cut_off: bool) {
        let platform = self.platform.clone();
        let id = &self.worker(i).id;
        platform.with_worker(id, |w| w.set_cut_off_from_newer_owners(is_cut_off));
    }

    /// Crashes and restarts a worker, every other time under the same id.
    pub fn restart_worker(&mut self, i: usize) {
        let new_id = self.next_worker_id();
        let is_same = self.worker_count.is_multiple_of(2);
        let platform = self.platform.clone();
        let w = self.worker(i);
        let next = if is_same { w.id.clone() } else { new_id };
        platform.restart_worker(&w.id, &next, w.proxy.addr, w.rack);
        w.id = next;
    }

    /// Makes a worker announce that it leaves. Returns its id.
    pub fn drain_worker(&mut self, i: usize) -> String {
        let platform = self.platform.clone();
        let w = self.worker(i);
        let now = platform.now();
        platform.with_worker(&w.id, |x| x.leaving_since = Some(now));
        platform.write_worker_row(&w.id, w.proxy.addr, w.rack, true);
        w.id.clone()
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, i: usize) {
        let platform = self.platform.clone();
        let w = self.worker(i);
        w.removed = true;
        platform.remove_worker(&w.id);
    }

    /// Writes the next configuration, with one more queue that only this version has.
    pub fn write_next_config(&mut self) {
        self.config_version += 1;
        let own = version_prefix(self.config_version);
        let [plain, advised] = QUEUE_PREFIXES;
        let queues = [(plain, false), (advised, true), (own.as_str(), false)];
        self.platform.configure(self.config_version, &queues);
    }

    /// Copies the logs of all processes into a folder.
    ///
    /// # Errors
    /// Returns an error if a file can't be copied.
    pub fn keep_logs(&self, to: &Path) -> io::Result<()> {
        std::fs::create_dir_all(to)?;
        for i in 0..self.nodes.len() {
            std::fs::copy(self.log_path(i), to.join(format!("n{i}.log")))?;
        }
        Ok(())
    }
}

/// Returns the path prefix of the queue that only this version of the configuration has.
pub fn version_prefix(version: u64) -> String {
    format!("/v{version}/")
}
