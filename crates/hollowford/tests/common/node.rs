//! A cell of `hollowford node` processes on the loopback interface, with the stand-in of the
//! users' platform.
#![allow(clippy::expect_used, dead_code)]

use hollowford_adapter_standin::formats::{self, ProcessLimits, ProcessSettings as Settings};
use hollowford_adapter_standin::{Platform, StoreEndpoint};
use hollowford_soak::ports::free_ports;
use hollowford_soak::process::{Process, ProcessOptions};
use reqwest::{Client, Method, StatusCode};
use serde_json::Value;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Longest time that a test waits for anything. Far longer than needed, because the machine may
/// be busy.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// A process of the cell.
pub struct Node {
    process: Process,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    /// Its access to the store, which can be cut.
    pub store: StoreEndpoint,
}

/// A platform and its processes.
pub struct Cell {
    pub platform: Platform,
    pub nodes: Vec<Node>,
    pub http: Client,
    _dir: TempDir,
}

/// The ports of a cell's processes. Each process has its own address; all use the same ports.
#[derive(Clone, Copy)]
struct Ports {
    subnet: u8,
    callers: u16,
    readiness: u16,
    peers: u16,
    metrics: u16,
}

/// How the processes of a cell are started.
#[derive(Clone, Debug)]
pub struct CellOptions {
    /// CPU of each process, in cores.
    pub cpu_shares: Vec<f64>,
    pub workers: usize,
    pub workers_per_partition: usize,
    /// Memory and descriptors of each process, according to its settings.
    pub limits: ProcessLimits,
    /// Number of descriptors that the operating system allows each process.
    pub max_open_files: Option<u64>,
}

impl Ports {
    fn new() -> Ports {
        static CELLS: AtomicU8 = AtomicU8::new(1);
        let subnet = CELLS.fetch_add(1, Ordering::Relaxed);
        let [callers, readiness, peers, metrics] = free_ports().expect("free ports");
        Ports { subnet, callers, readiness, peers, metrics }
    }

    /// Returns the loopback address of the process `i`.
    fn ip(self, i: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, (std::process::id() % 250) as u8 + 1, self.subnet, i as u8 + 1)
    }
}

impl Node {
    fn start(
        (i, cpu_share): (usize, f64),
        platform: SocketAddr,
        store_endpoint: StoreEndpoint,
        ports: Ports,
        dir: &Path,
        options: &CellOptions,
    ) -> Node {
        let name = format!("n{i}");
        let path = dir.join(format!("{name}.toml"));
        let process = Settings {
            name: name.clone(),
            ip: ports.ip(i),
            callers: ports.callers,
            readiness: ports.readiness,
            peers: ports.peers,
            cpu_share,
            limits: options.limits,
            seeds: vec![ports.ip(0), ports.ip(1)],
        };
        let text = formats::settings_file(&process, platform, store_endpoint.addr);
        File::create(&path).and_then(|mut f| f.write_all(text.as_bytes())).expect("settings");
        let log = dir.join(format!("{name}.log"));
        let program = Path::new(env!("CARGO_BIN_EXE_hollowford"));
        let process_options = ProcessOptions {
            workers_per_partition: options.workers_per_partition,
            metrics_port: Some(ports.metrics),
            max_open_files: options.max_open_files,
        };
        let process = Process::start(program, &path, &log, process_options).expect("the program");
        let at = |port| SocketAddr::from((ports.ip(i), port));
        Node {
            process,
            callers: at(ports.callers),
            readiness: at(ports.readiness),
            peers: at(ports.peers),
            metrics: at(ports.metrics),
            store: store_endpoint,
        }
    }

    /// Returns the operating system's id of the process.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Sends the process the signal of this name.
    pub fn signal(&self, name: &str) {
        self.process.signal(name).expect("a signal");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process.kill().expect("its end");
    }

    /// Waits for the process to exit and returns whether it exited successfully.
    pub fn wait_exit_success(&mut self) -> bool {
        let began = Instant::now();
        while began.elapsed() < TIMEOUT {
            if let Some(success) = self.process.exit_success().expect("its state") {
                return success;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.process.restart().expect("the program");
    }

    /// Returns true if the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process.exit_success().expect("its state").is_none()
    }

    /// Returns the contents of its log.
    pub fn log(&self) -> String {
        self.process.log_text()
    }

    /// Returns true if it owns a partition, according to its log.
    pub fn owns(&self) -> bool {
        let log = self.log();
        let last = |text: &str| log.rfind(text);
        last("owner.serves") > last("owner.ended")
    }
}

impl Cell {
    /// Starts a cell with a queue `/plain/` and a queue `/advised/` that uses the advice service.
    pub async fn start(nodes: usize, workers: usize) -> Cell {
        Cell::start_with_cpu_shares(&vec![0.25; nodes], workers).await
    }

    /// Starts one process for each CPU share, in cores.
    pub async fn start_with_cpu_shares(shares: &[f64], workers: usize) -> Cell {
        Cell::start_partitioned(shares, workers, workers).await
    }

    /// Starts one process for each CPU share, with one partition for each `workers_per_partition`
    /// workers.
    pub async fn start_partitioned(
        shares: &[f64],
        workers: usize,
        workers_per_partition: usize,
    ) -> Cell {
        Cell::start_with_options(CellOptions {
            cpu_shares: shares.to_vec(),
            workers,
            workers_per_partition,
            limits: ProcessLimits::default(),
            max_open_files: None,
        })
        .await
    }

    /// Starts one process for each CPU share.
    pub async fn start_with_options(options: CellOptions) -> Cell {
        let platform = Platform::start(options.workers).await.expect("the platform");
        platform.configure(1, &[("/plain/", false), ("/advised/", true)]);
        let dir = TempDir::new().expect("a folder");
        let ports = Ports::new();
        let mut nodes = Vec::new();
        for index_and_share in options.cpu_shares.iter().copied().enumerate() {
            let store_endpoint = platform.open_store_endpoint().await.expect("access to the store");
            let node = Node::start(
                index_and_share,
                platform.addr(),
                store_endpoint,
                ports,
                dir.path(),
                &options,
            );
            nodes.push(node);
        }
        let http = Client::builder().no_proxy().build().expect("a client");
        let cell = Cell { platform, nodes, http, _dir: dir };
        for n in &cell.nodes {
            cell.wait_until_ready(n).await;
        }
        // A process may write its log a moment after others know that it is the owner.
        let owned = || async { cell.nodes.iter().any(Node::owns) };
        assert!(eventually(owned).await, "no owner:\n{}", cell.logs());
        cell
    }

    /// Waits until a process reports that it is ready.
    pub async fn wait_until_ready(&self, node: &Node) {
        let url = format!("http://{}{}", node.readiness, formats::READY_PATH);
        let ready = || async {
            let answer = self.http.get(&url).send().await;
            answer.is_ok_and(|a| a.status() == StatusCode::OK)
        };
        assert!(eventually(ready).await, "not ready:\n{}", node.log());
    }

    /// Returns the index of the first process that owns a partition.
    pub fn owner(&self) -> usize {
        self.nodes.iter().position(Node::owns).expect("an owner")
    }

    /// Sends a request to a process and returns status and body. The status is 0 without an answer.
    pub async fn call(&self, node: usize, method: Method, path: &str, body: Value) -> (u16, Value) {
        self.call_as("", node, method, path, body).await
    }

    /// Does the same as [`Cell::call`] with a caller's key. An empty key is not sent.
    pub async fn call_as(
        &self,
        key: &str,
        node: usize,
        method: Method,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        let url = format!("http://{}{path}", self.nodes[node].callers);
        let mut req = self.http.request(method, url).header("host", formats::HOST);
        if !key.is_empty() {
            req = req.bearer_auth(key);
        }
        let req = req.timeout(Duration::from_secs(10)).body(body.to_string());
        match req.send().await {
            Ok(answer) => {
                let status = answer.status().as_u16();
                let body = answer.bytes().await.unwrap_or_default();
                (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Submits a job of one step whose tasks run for `ms` milliseconds, and returns the status.
    pub async fn submit(&self, node: usize, queue: &str, id: u64, count: u32, ms: u64) -> u16 {
        let body = formats::job(count, ms);
        self.call(node, Method::POST, &format!("{queue}{id:016x}"), body).await.0
    }

    /// Submits a job until it is accepted.
    pub async fn submit_until_accepted(
        &self,
        node: usize,
        queue: &str,
        id: u64,
        count: u32,
        ms: u64,
    ) {
        let accepted = || async { self.submit(node, queue, id, count, ms).await == 200 };
        assert!(eventually(accepted).await, "job {id} is not accepted");
    }

    /// Returns the state of a job as one process reports it; empty if it has none.
    pub async fn state(&self, node: usize, queue: &str, id: u64) -> String {
        let path = format!("{queue}{id:016x}");
        let (_, body) = self.call(node, Method::GET, &path, Value::Null).await;
        formats::job_state(&body)
    }

    /// Waits until a job has completed.
    pub async fn wait_until_completed(&self, node: usize, queue: &str, id: u64) {
        let done = || async { self.state(node, queue, id).await == "completed" };
        assert!(eventually(done).await, "job {id}:\n{}", self.logs());
    }

    /// Checks that no guarantee was violated and that no task was started more than `max_starts` times.
    pub fn assert_starts(&self, max_starts: u32) {
        assert_eq!(self.platform.violations(), Vec::<String>::new());
        for (task, n) in self.platform.start_counts() {
            assert!(n <= max_starts, "{task} was started {n} times");
        }
    }

    /// Returns the logs of all processes.
    pub fn logs(&self) -> String {
        self.nodes.iter().map(Node::log).collect::<Vec<_>>().join("\n")
    }
}

/// Waits until a condition holds, and returns whether it did before the timeout.
pub async fn eventually<F, Fut>(mut holds: F) -> bool
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let began = Instant::now();
    while began.elapsed() < TIMEOUT {
        if holds().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}
