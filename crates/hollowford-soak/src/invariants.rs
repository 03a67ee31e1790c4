//! Checks the system's guarantees against what callers and workers have observed.

use crate::callers::{Observations, STATUS_GONE, SharedObservations, call, lock, record_answer};
use crate::cell::{Cell, version_prefix};
use crate::disruption::DisruptionLog;
use hollowford_adapter_standin::StartWhileLeaving;
use reqwest::{Client, Method};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest time for all accepted jobs to end after the last failure. Far longer than they need,
/// because the machine may be busy.
const JOBS_END_TIMEOUT: Duration = Duration::from_secs(90);
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time from the confirmed cancellation of a job to the start of one of its tasks: a start
/// order that a disconnect holds back may be carried out some seconds late.
const MAX_START_AFTER_CANCEL_MS: u64 = 9_000;
/// Longest time for an owner to react to a leaving worker or a cancellation. It counts from the event, or
/// from the end of the last disruption that kept it from owners or their orders from workers.
const REACTION_TIMEOUT_MS: u64 = 2_000;
/// A job may fail once this many workers have crashed under one of its tasks.
const MIN_CRASHES_TO_FAIL: u32 = 2;
/// Number of configuration versions to probe, starting with the newest.
const POLLED_VERSIONS: u64 = 3;

/// Polls the active configuration version of one process. The version must never decrease.
#[derive(Debug)]
pub struct ConfigMonitor {
    /// Address of the process's caller proxy.
    pub node: SocketAddr,
    /// Counts stops and starts of the process. After each, an older version may be active.
    pub generation: Arc<AtomicU64>,
    /// Newest version written.
    pub newest_version: Arc<AtomicU64>,
    /// Where violations are recorded.
    pub observations: SharedObservations,
    /// Set when the monitor has to stop.
    pub stop: Arc<AtomicBool>,
    /// HTTP client.
    pub client: Client,
}

impl ConfigMonitor {
    /// Polls until `stop` is set.
    pub async fn run(self) {
        let mut seen = (0, 0);
        while !self.stop.load(Ordering::Relaxed) {
            let generation = self.generation.load(Ordering::Relaxed);
            let version = self.active_version().await;
            if generation == self.generation.load(Ordering::Relaxed)
                && let Some(version) = version
            {
                if seen.0 == generation && version < seen.1 {
                    let text = format!("{} goes back from configuration {}", self.node, seen.1);
                    lock(&self.observations).violations.push(format!("{text} to {version}"));
                }
                seen = (generation, version);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn active_version(&self) -> Option<u64> {
        let newest_version = self.newest_version.load(Ordering::Relaxed);
        for version in
            (newest_version.saturating_sub(POLLED_VERSIONS - 1).max(1)..=newest_version).rev()
        {
            let url = format!("http://{}{}", self.node, version_prefix(version));
            let (status, _) = call(&self.client, Method::GET, &url, &Value::Null).await;
            if status == 200 {
                return Some(version);
            }
        }
        None
    }
}

/// Waits until every accepted job has ended. Returns a violation for each one that doesn't.
pub async fn wait_for_jobs_to_end(
    observations: &SharedObservations,
    nodes: &[SocketAddr],
    client: &Client,
) -> Vec<String> {
    let started = Instant::now();
    let mut open = accepted_jobs(&lock(observations));
    let mut request_count = 0;
    while !open.is_empty() && started.elapsed() < JOBS_END_TIMEOUT {
        let mut still_open = Vec::new();
        for (id, queue) in open {
            request_count += 1;
            let url = format!("http://{}{queue}{id:016x}", nodes[request_count % nodes.len()]);
            if may_still_end(observations, client, &url, id).await {
                still_open.push((id, queue));
            }
        }
        open = still_open;
        sleep(POLL_INTERVAL).await;
    }
    open.iter().map(|(id, _)| format!("job {id:016x} was accepted and doesn't end")).collect()
}

/// Returns the accepted jobs with the path prefixes of their queues.
fn accepted_jobs(observations: &Observations) -> Vec<(u64, &'static str)> {
    let accepted_jobs = observations.jobs.iter().filter(|(_, job)| job.accepted);
    accepted_jobs.map(|(id, job)| (*id, job.queue)).collect()
}

/// Polls a job and records the answer. Returns whether the job may still end.
async fn may_still_end(
    observations: &SharedObservations,
    client: &Client,
    url: &str,
    id: u64,
) -> bool {
    let (status, body) = call(client, Method::GET, url, &Value::Null).await;
    let state = body["state"].as_str().unwrap_or("");
    let ended = record_answer(&mut lock(observations), id, status, state);
    // The end of a job that is no longer kept will never be reported.
    !ended && status != STATUS_GONE
}

/// Returns a violation for each task started on a leaving worker after its owner must have known.
pub fn check_starts_while_leaving(
    starts: &[StartWhileLeaving],
    drained_workers: &HashMap<String, usize>,
    disruptions: &DisruptionLog,
) -> Vec<String> {
    let mut violations = Vec::new();
    for start in starts {
        let Some(&worker) = drained_workers.get(&start.worker) else { continue };
        let known = start
            .leaving_since_ms
            .max(disruptions.undisrupted_since(Some(worker), start.started_ms));
        if start.started_ms > known + REACTION_TIMEOUT_MS {
            let StartWhileLeaving { task, worker, leaving_since_ms, started_ms } = start;
            violations.push(format!(
                "{task} starts at {started_ms} on {worker}, leaving since {leaving_since_ms}"
            ));
        }
    }
    violations
}

/// Checks the started tasks against what callers were told, and returns the violations.
pub fn check_starts(
    cell: &Cell,
    observations: &Observations,
    disruptions: &DisruptionLog,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut refused = HashSet::new();
    let mut started_tasks: HashMap<u64, HashSet<String>> = HashMap::new();
    for (task, at) in cell.platform.starts() {
        let id = task.get(..16).and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some((id, job)) = id.and_then(|id| Some((id, observations.jobs.get(&id)?))) else {
            violations.push(format!("{task} was started without a submitted job"));
            continue;
        };
        if !job.accepted && !job.uncertain && refused.insert(id) {
            violations.push(format!("job {id:016x} runs although it was refused"));
        }
        let is_late = |cancelled: u64| {
            let known = cancelled.max(disruptions.undisrupted_since(None, at));
            at > (known + REACTION_TIMEOUT_MS).min(cancelled + MAX_START_AFTER_CANCEL_MS)
        };
        if job.cancelled_at.is_some_and(is_late) {
            violations.push(format!("{task} starts long after its job was cancelled"));
        }
        started_tasks.entry(id).or_default().insert(task);
    }
    for id in observations.jobs.iter().filter(|(_, t)| t.failed).map(|(id, _)| id) {
        let tasks = started_tasks.get(id).into_iter().flatten();
        let crashes = tasks.map(|t| cell.platform.crash_count(t)).max().unwrap_or(0);
        if crashes < MIN_CRASHES_TO_FAIL {
            violations.push(format!("job {id:016x} is reported as failed after {crashes} crashes"));
        }
    }
    for (id, job) in observations.jobs.iter().filter(|(_, t)| t.completed) {
        let tasks = started_tasks.get(id).map_or(0, HashSet::len);
        if tasks != job.tasks as usize {
            violations
                .push(format!("job {id:016x} is completed with {tasks} of {} tasks", job.tasks));
        }
    }
    violations
}
