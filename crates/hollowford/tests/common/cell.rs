//! A cell of separate processes: the platform's stand-in, stand-in workers, and `hollowford serve`.

use super::{Caller, OPERATOR, TIMEOUT, http, wait_for};
use hollowford_platform::Platform;
use hollowford_protocol::v1;
use hollowford_server::{hash_token, seed_account};
use hollowford_standin::record;
use hollowford_standin::record_check::{RecordSummary, check_record};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tempfile::TempDir;

pub const ACCOUNTS: [&str; 2] = ["district-desk", "university"];

pub fn token_of(account: &str) -> String {
    format!("{account}-token")
}

pub fn account_config(token: &str, weight: u32) -> v1::AccountConfig {
    v1::AccountConfig { token_sha256: hash_token(token), weight, ..Default::default() }
}

/// A process started by the test.
pub struct TestProcess {
    child: Child,
    pub addresses: Value,
}

impl TestProcess {
    fn start(program: &Path, args: &[&str]) -> TestProcess {
        TestProcess::spawn(program, Command::new(program).args(args))
    }

    /// Starts a process with a limit on its descriptors.
    fn start_with_max_open_files(program: &Path, args: &[&str], max: u64) -> TestProcess {
        let script = format!("ulimit -n {max} && exec \"$0\" \"$@\"");
        let mut command = Command::new("sh");
        TestProcess::spawn(program, command.args(["-c", &script]).arg(program).args(args))
    }

    /// Runs a command and reads the addresses that its first line shows.
    fn spawn(program: &Path, command: &mut Command) -> TestProcess {
        let mut child = command
            .env("RUST_LOG", std::env::var("TEST_LOG").unwrap_or_else(|_| "warn".into()))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("{}: {e}", program.display()));
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let addresses = serde_json::from_str(&line)
            .unwrap_or_else(|e| panic!("{}: {e}: {line:?}", program.display()));
        TestProcess { child, addresses }
    }

    pub fn addr(&self, name: &str) -> String {
        self.addresses[name].as_str().unwrap().to_owned()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success(), "kill {name} {id}");
    }

    pub fn pause(&self) {
        self.signal("-STOP");
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit and returns whether it exited successfully.
    pub async fn wait_exit_success(&mut self) -> bool {
        let child = &mut self.child;
        let end = async {
            loop {
                if let Some(status) = child.try_wait().unwrap() {
                    return status.success();
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, end).await.expect("the process did not end")
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns true if the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Options of a cell.
#[derive(Clone, Debug)]
pub struct Options {
    pub entries: usize,
    pub partitions: u32,
    /// Number of processes with workers, and of workers in each.
    pub worker_processes: usize,
    pub workers_per_process: usize,
    pub cpu_milli: u32,
    /// Section `policy` of the processes' settings.
    pub policy: Value,
    /// Section `tls` of the processes' settings.
    pub tls: Option<Value>,
    /// Number of descriptors that the operating system allows each process of the system.
    pub max_open_files: Option<u64>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            entries: 3,
            partitions: 2,
            worker_processes: 1,
            workers_per_process: 8,
            cpu_milli: 4_000,
            policy: json!({}),
            tls: None,
            max_open_files: None,
        }
    }
}

/// A cell of separate processes.
pub struct Cell {
    pub platform: TestProcess,
    pub workers: Vec<TestProcess>,
    pub entries: Vec<TestProcess>,
    dir: TempDir,
    options: Options,
    started: usize,
}

impl Cell {
    pub async fn start(options: Options) -> Cell {
        let dir = TempDir::new().unwrap();
        let platform = TestProcess::start(&standin_program(), &["platform"]);
        let platform_addr = platform.addr("platform");
        for account in ACCOUNTS {
            write_account_config(&platform_addr, account).await;
        }
        let mut cell =
            Cell { platform, workers: Vec::new(), entries: Vec::new(), dir, options, started: 0 };
        for i in 0..cell.options.worker_processes {
            cell.start_workers(i, cell.options.workers_per_process);
        }
        for _ in 0..cell.options.entries {
            cell.start_entry();
        }
        cell.wait_ready().await;
        cell
    }

    pub fn platform_addr(&self) -> String {
        self.platform.addr("platform")
    }

    /// Starts another process with workers and returns its index.
    pub fn start_workers(&mut self, group: usize, count: usize) -> usize {
        let record = self.record_path(self.workers.len());
        let prefix = format!("g{group}w");
        let args = [
            "workers",
            "--platform",
            &self.platform_addr(),
            "--prefix",
            &prefix,
            "--count",
            &count.to_string(),
            "--cpu-milli",
            &self.options.cpu_milli.to_string(),
            "--record",
            record.to_str().unwrap(),
        ];
        self.workers.push(TestProcess::start(&standin_program(), &args));
        self.workers.len() - 1
    }

    fn record_path(&self, i: usize) -> PathBuf {
        self.dir.path().join(format!("record-{i}"))
    }

    /// Starts another process of the system and returns its index.
    pub fn start_entry(&mut self) -> usize {
        let n = self.started;
        self.started += 1;
        let mut settings = json!({
            "process": format!("entry-{n}"),
            "zone": "zone-0",
            "listen": {
                "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0",
            },
            "platform": { "address": self.platform_addr(), "timeout_ms": 500 },
            "partitions": self.options.partitions,
            "peer_key": "a-key-for-tests-only",
            "operator_token_sha256": hash_token(OPERATOR),
            "policy": self.options.policy,
        });
        if let Some(tls) = &self.options.tls {
            settings["tls"] = tls.clone();
        }
        let path = self.dir.path().join(format!("entry-{n}.jsonc"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_hollowford"));
        let args = ["serve", "--config", path.to_str().unwrap()];
        self.entries.push(match self.options.max_open_files {
            Some(max) => TestProcess::start_with_max_open_files(program, &args, max),
            None => TestProcess::start(program, &args),
        });
        self.entries.len() - 1
    }

    /// Waits until every process is ready and every worker is claimed. Both are needed: an owner
    /// may have claimed all workers before another process has read the client accounts, and until
    /// then that process refuses callers.
    pub async fn wait_ready(&self) {
        for i in 0..self.entries.len() {
            self.wait_entry_ready(i).await;
        }
        let expected = self.options.worker_processes * self.options.workers_per_process;
        wait_for("every worker claimed", || async {
            let mut claimed = 0;
            for i in 0..self.entries.len() {
                let state = self.state(i).await?;
                let partitions = state["partitions"].as_array()?.clone();
                let workers = partitions.iter().filter_map(|p| p["workers"].as_array()).flatten();
                claimed += workers.filter(|w| w["claimed"] == true).count();
            }
            (claimed >= expected).then_some(())
        })
        .await;
    }

    /// Waits until a process reports that it is ready.
    pub async fn wait_entry_ready(&self, entry: usize) {
        let admin = self.entries[entry].addr("admin");
        wait_for("a process that is ready", || async {
            let (status, _) = http::get_text(&admin, "/readyz").await?;
            (status == 200).then_some(())
        })
        .await;
    }

    pub async fn state(&self, entry: usize) -> Option<Value> {
        http::get_json(&self.entries[entry].addr("admin"), "/state").await
    }

    /// Returns the index of the process that owns a partition.
    pub async fn owner(&self, partition: u32) -> usize {
        wait_for("an owner", || async {
            for i in 0..self.entries.len() {
                let Some(state) = self.state(i).await else {
                    continue;
                };
                let owned = state["partitions"].as_array().cloned().unwrap_or_default();
                if owned.iter().any(|p| p["partition"] == partition) {
                    return Some(i);
                }
            }
            None
        })
        .await
    }

    pub async fn caller(&self, entry: usize, account: &str) -> Caller {
        Caller::connect(&self.entries[entry].addr("callers"), &token_of(account)).await
    }

    pub async fn callers(&self, account: &str) -> Vec<Caller> {
        let mut callers = Vec::new();
        for i in 0..self.entries.len() {
            callers.push(self.caller(i, account).await);
        }
        callers
    }

    pub async fn operator(&self, entry: usize) -> Caller {
        Caller::connect(&self.entries[entry].addr("callers"), OPERATOR).await
    }

    pub async fn set_faults(&self, faults: Value) {
        http::post(&self.platform_addr(), "/faults", &faults).await;
    }

    /// Injects a fault into a worker: `leave/ID`, `cut/ID`, `fail/ID/true` or `deaf/ID/true`.
    pub async fn inject_worker_fault(&self, process: usize, path: &str) {
        http::post(&self.workers[process].addr("control"), &format!("/{path}"), &json!(null)).await;
    }

    /// Checks the records of all workers.
    pub fn record_summary(&self) -> RecordSummary {
        check_record(self.record_lines())
    }

    pub fn record_lines(&self) -> Vec<record::Line> {
        (0..self.workers.len()).flat_map(|i| record::read(&self.record_path(i)).unwrap()).collect()
    }

    /// Fails the test if the workers' records show a violation.
    pub fn assert_no_violations(&self) -> RecordSummary {
        let summary = self.record_summary();
        assert!(summary.violations.is_empty(), "{:#?}", summary.violations);
        summary
    }
}

/// Returns the path of the stand-ins' program, which is beside the program under test.
fn standin_program() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_hollowford")).with_file_name("hollowford-standin")
}

async fn write_account_config(platform: &str, account: &str) {
    let store = Platform::new(platform, Duration::from_secs(5)).unwrap();
    let req = v1::SetConfigRequest {
        account: account.to_owned(),
        config: Some(account_config(&token_of(account), 1)),
        expected_version: 0,
        author: "test".to_owned(),
    };
    seed_account(&store, &req).await.unwrap();
}
