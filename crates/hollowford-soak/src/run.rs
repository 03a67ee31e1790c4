//! One run of the soak test, from its seed to its report.

use crate::SoakError;
use crate::callers::{Caller, SharedObservations, lock};
use crate::cell::{Cell, Size};
use crate::disruption::DisruptionLog;
use crate::invariants::{
    ConfigMonitor, check_starts, check_starts_while_leaving, wait_for_jobs_to_end,
};
use crate::schedule::{Action, ScheduledAction, cut_off_schedule, random_schedule};
use hollowford_adapter_standin::{Faults, formats};
use reqwest::Client;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Longest time for a process to become ready or to exit.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks whether a process is ready or has exited.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// File with the run's actions, beside its logs. Each line has the time, in milliseconds of the
/// platform's clock, and the action.
const ACTION_LOG_FILE: &str = "played.txt";

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// Size of the cell.
    pub size: Size,
    /// Number of concurrent callers.
    pub callers: u64,
    /// How long failures are injected, in milliseconds.
    pub duration_ms: u64,
    /// Whether processes are paused while workers are cut off from newer owners and tasks wait for
    /// room. The other failures of a seed then take a third of the duration.
    pub cut_offs: bool,
    /// Folder for the logs of runs with violations; `None` discards them.
    pub keep_dir: Option<PathBuf>,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of scheduled actions.
    pub actions: usize,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of task starts.
    pub starts: usize,
    /// Violated guarantees, in words.
    pub violations: Vec<String>,
}

/// State of a run in progress.
pub(crate) struct Run {
    pub cell: Cell,
    /// Active faults of the store.
    pub faults: Faults,
    /// Stops and starts of each process, see [`ConfigMonitor::generation`].
    pub process_generations: Vec<Arc<AtomicU64>>,
    /// Newest configuration version written.
    pub newest_config_version: Arc<AtomicU64>,
    /// Whether each process is down, stopped by the run or by itself.
    pub down: Vec<bool>,
    /// Violations other than those in callers' answers.
    pub violations: Vec<String>,
    /// Disruptions so far.
    pub disruptions: DisruptionLog,
    /// Numbers of the workers that were asked to leave, by id.
    pub drained_workers: HashMap<String, usize>,
    pub rng: fastrand::Rng,
    /// Applied actions, one line each.
    action_log: Vec<String>,
}

/// Runs one seed.
///
/// # Errors
/// Returns an error if the cell can't be started or changed. This is no failure of the program under test.
pub async fn run_seed(seed: u64, o: &Options) -> Result<Report, SoakError> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let draw_schedule = if o.cut_offs { cut_off_schedule } else { random_schedule };
    let schedule = draw_schedule(&mut rng, o.size, o.duration_ms);
    let cell = Cell::start(&o.program, o.size, &mut rng).await?;
    let nodes = cell.nodes.len();
    let mut run = Run {
        newest_config_version: Arc::new(AtomicU64::new(cell.config_version)),
        cell,
        faults: Faults::default(),
        process_generations: (0..nodes).map(|_| Arc::default()).collect(),
        down: vec![false; nodes],
        violations: Vec::new(),
        disruptions: DisruptionLog::default(),
        drained_workers: HashMap::new(),
        rng,
        action_log: Vec::new(),
    };
    run.wait_until_ready().await?;
    let observations = SharedObservations::default();
    let stop: Arc<AtomicBool> = Arc::default();
    let mut tasks = run.start_callers(o, &observations, &stop)?;
    run.run_schedule(&schedule).await?;
    run.end_failures().await?;
    stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    run.finish(seed, schedule.len(), &observations, o).await
}

impl Run {
    fn start_callers(
        &mut self,
        o: &Options,
        observations: &SharedObservations,
        stop: &Arc<AtomicBool>,
    ) -> Result<JoinSet<()>, SoakError> {
        let mut tasks = JoinSet::new();
        let nodes: Vec<_> = self.cell.nodes.iter().map(|n| n.caller_proxy.addr).collect();
        for number in 1..=o.callers + u64::from(o.cut_offs) {
            let caller = Caller {
                number,
                makes_backlog: number > o.callers,
                nodes: nodes.clone(),
                client: build_client()?,
                rng: self.rng.fork(),
                observations: observations.clone(),
                platform: self.cell.platform.clone(),
                stop: stop.clone(),
            };
            tasks.spawn(caller.run());
        }
        for (node, process_generation) in nodes.iter().zip(&self.process_generations) {
            let watch = ConfigMonitor {
                node: *node,
                generation: process_generation.clone(),
                newest_version: self.newest_config_version.clone(),
                observations: observations.clone(),
                stop: stop.clone(),
                client: build_client()?,
            };
            tasks.spawn(watch.run());
        }
        Ok(tasks)
    }

    async fn run_schedule(&mut self, schedule: &[ScheduledAction]) -> Result<(), SoakError> {
        let began = Instant::now();
        for entry in schedule {
            let at = Duration::from_millis(entry.at_ms);
            sleep(at.saturating_sub(began.elapsed())).await;
            self.check_processes()?;
            self.log_action(entry.action);
            self.apply(entry.action).await?;
        }
        Ok(())
    }

    fn log_action(&mut self, action: Action) {
        let now = self.cell.platform.now();
        self.disruptions.record(action, now);
        self.action_log.push(format!("{now} {action:?}"));
    }

    /// Records a violation for each process that has exited by itself.
    fn check_processes(&mut self) -> Result<(), SoakError> {
        for (i, node) in self.cell.nodes.iter_mut().enumerate() {
            if !self.down[i] && node.process.exit_success()?.is_some() {
                self.down[i] = true;
                self.violations.push(format!("process n{i} has exited by itself"));
            }
        }
        Ok(())
    }

    /// Waits until all processes are ready. Records a violation for each one that isn't in time.
    pub async fn wait_until_ready(&mut self) -> Result<(), SoakError> {
        let build_client = build_client()?;
        let began = Instant::now();
        for i in 0..self.cell.nodes.len() {
            let url =
                format!("http://{}{}", self.cell.nodes[i].readiness_addr, formats::READY_PATH);
            loop {
                let answer = build_client.get(&url).timeout(READY_TIMEOUT).send().await;
                if answer.is_ok_and(|a| a.status().is_success()) {
                    break;
                }
                if began.elapsed() > READY_TIMEOUT {
                    self.violations.push(format!("process n{i} doesn't become ready"));
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn finish(
        mut self,
        seed: u64,
        actions: usize,
        observations: &SharedObservations,
        o: &Options,
    ) -> Result<Report, SoakError> {
        let nodes: Vec<_> = self.cell.nodes.iter().map(|n| n.caller_proxy.addr).collect();
        let unfinished = wait_for_jobs_to_end(observations, &nodes, &build_client()?).await;
        self.check_processes()?;
        let observations = lock(observations);
        let mut violations = std::mem::take(&mut self.violations);
        violations.extend(unfinished);
        violations.extend(observations.violations.iter().cloned());
        violations.extend(self.cell.platform.violations());
        violations.extend(check_starts(&self.cell, &observations, &self.disruptions));
        let starts = self.cell.platform.starts_while_leaving();
        violations.extend(check_starts_while_leaving(
            &starts,
            &self.drained_workers,
            &self.disruptions,
        ));
        if let (false, Some(keep_dir)) = (violations.is_empty(), &o.keep_dir) {
            let folder = keep_dir.join(format!("seed-{seed}"));
            self.cell.keep_logs(&folder)?;
            std::fs::write(folder.join(ACTION_LOG_FILE), self.action_log.join("\n"))?;
        }
        Ok(Report {
            seed,
            actions,
            jobs: observations.jobs.len(),
            accepted: observations.jobs.values().filter(|t| t.accepted).count(),
            starts: self.cell.platform.starts().len(),
            violations,
        })
    }
}

fn build_client() -> Result<Client, SoakError> {
    Ok(Client::builder().no_proxy().build()?)
}
