//! A cell: the stand-in of the platform, its workers, the processes, and proxies between them.

use crate::SoakError;
use crate::net::Net;
use crate::process::Process;
use crate::proxy::Proxy;
use hollowford_adapter_standin::formats;
use hollowford_adapter_standin::{Platform, WorkerClock};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Prefix of the queue whose workers anybody may name, and of one that goes by advice.
pub const QUEUES: [&str; 2] = ["/plain/", "/advised/"];

/// How large a cell is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Processes.
    pub nodes: usize,
    /// Workers.
    pub workers: usize,
    /// Workers of one partition.
    pub workers_each: usize,
}

/// One process, and the proxies before and behind it.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// Where its readiness is asked.
    pub readiness: SocketAddr,
    /// Between callers and it.
    pub callers: Proxy,
    /// Between it and the store.
    pub store: Proxy,
}

/// One worker, and the proxy in front of it.
#[derive(Debug)]
pub struct Worker {
    /// Name of its present life.
    pub id: String,
    /// Its rack.
    pub rack: usize,
    /// Between the processes and it.
    pub proxy: Proxy,
    /// It was taken away.
    pub gone: bool,
}

/// A cell.
#[derive(Debug)]
pub struct Cell {
    /// The platform.
    pub platform: Platform,
    /// The processes.
    pub nodes: Vec<Node>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// Version of the newest configuration.
    pub config: u64,
    lives: usize,
    dir: TempDir,
}

impl Cell {
    /// Starts a cell. Its workers' clocks and its processes' addresses are drawn from `rng`.
    ///
    /// # Errors
    /// When a port, a file or a process can't be had.
    pub async fn start(
        program: &Path,
        size: Size,
        rng: &mut fastrand::Rng,
    ) -> Result<Cell, SoakError> {
        let platform = Platform::start(0).await?;
        let dir = TempDir::new()?;
        let mut cell =
            Cell { platform, nodes: Vec::new(), workers: Vec::new(), config: 0, lives: 0, dir };
        cell.configure();
        for _ in 0..size.workers {
            cell.add_worker(rng).await?;
        }
        let net = Net::draw(rng)?;
        for i in 0..size.nodes {
            let node = cell.start_node(program, size.workers_each, &net, i).await?;
            cell.nodes.push(node);
        }
        Ok(cell)
    }

    async fn start_node(
        &self,
        program: &Path,
        workers_each: usize,
        net: &Net,
        i: usize,
    ) -> Result<Node, SoakError> {
        let store = Proxy::open(self.platform.addr()).await?;
        let settings = net.settings(i);
        let text = formats::settings_file(&settings, self.platform.addr(), store.addr);
        let file = self.dir.path().join(format!("{}.toml", settings.name));
        std::fs::write(&file, text)?;
        let process = Process::start(program, &file, &self.log_path(i), workers_each)?;
        Ok(Node {
            process,
            readiness: SocketAddr::from((settings.ip, settings.readiness)),
            callers: Proxy::open(SocketAddr::from((settings.ip, settings.callers))).await?,
            store,
        })
    }

    fn log_path(&self, node: usize) -> PathBuf {
        self.dir.path().join(format!("n{node}.log"))
    }

    fn next_life(&mut self) -> String {
        self.lives += 1;
        format!("w{}", self.lives)
    }

    /// Adds a worker, whose clock begins anywhere and may run slow.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn add_worker(&mut self, rng: &mut fastrand::Rng) -> Result<(), SoakError> {
        let (id, rack) = (self.next_life(), self.workers.len());
        let addr = self.platform.add_worker(&id, rack)?;
        let clock = WorkerClock {
            start_reading_ms: rng.u64(0..1_000_000),
            rate_permille: rng.u64(980..=1_000),
            ..WorkerClock::default()
        };
        self.platform.with_worker(&id, |w| w.clock = clock);
        let lives = self.platform.with_worker(&id, |w| w.connection_generation.subscribe());
        let proxy = Proxy::open_to_lives(addr, lives).await?;
        self.platform.write_worker_row(&id, proxy.addr, rack, false);
        self.workers.push(Worker { id, rack, proxy, gone: false });
        Ok(())
    }

    /// Returns a worker, whose life may have ended by a task's doing.
    fn worker(&mut self, i: usize) -> &mut Worker {
        let w = &mut self.workers[i];
        w.id = self.platform.current_id(&w.id);
        w
    }

    /// Lets a worker crash and come back as another life, every other time under the id that it had.
    pub fn restart_worker(&mut self, i: usize) {
        let other = self.next_life();
        let is_same = self.lives.is_multiple_of(2);
        let platform = self.platform.clone();
        let w = self.worker(i);
        let next = if is_same { w.id.clone() } else { other };
        platform.restart_worker(&w.id, &next, w.proxy.addr, w.rack);
        w.id = next;
    }

    /// Lets a worker say that it is about to leave. Returns its id.
    pub fn drain_worker(&mut self, i: usize) -> String {
        let platform = self.platform.clone();
        let w = self.worker(i);
        let now = platform.now();
        platform.with_worker(&w.id, |x| x.leaving_since = Some(now));
        platform.write_worker_row(&w.id, w.proxy.addr, w.rack, true);
        w.id.clone()
    }

    /// Takes a worker away.
    pub fn remove_worker(&mut self, i: usize) {
        let platform = self.platform.clone();
        let w = self.worker(i);
        w.gone = true;
        platform.remove_worker(&w.id);
    }

    /// Writes the next configuration: the queues, and one that only this version has.
    pub fn configure(&mut self) {
        self.config += 1;
        let own = version_prefix(self.config);
        let [plain, advised] = QUEUES;
        let queues = [(plain, false), (advised, true), (own.as_str(), false)];
        self.platform.configure(self.config, &queues);
    }

    /// Copies the logs of all processes into a folder.
    ///
    /// # Errors
    /// When a file can't be copied.
    pub fn keep_logs(&self, to: &Path) -> io::Result<()> {
        std::fs::create_dir_all(to)?;
        for i in 0..self.nodes.len() {
            std::fs::copy(self.log_path(i), to.join(format!("n{i}.log")))?;
        }
        Ok(())
    }
}

/// Returns the prefix of the queue that only one version of the configuration has.
pub fn version_prefix(version: u64) -> String {
    format!("/v{version}/")
}
