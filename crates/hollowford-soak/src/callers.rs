//! Callers that submit jobs over persistent connections, poll them, cancel some, and record
//! the answers.

use crate::cell::QUEUE_PREFIXES;
use hollowford_adapter_standin::{Platform, formats};
use reqwest::{Client, Method};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two polls or submit attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time between two jobs of one caller.
const JOB_INTERVAL: Duration = Duration::from_millis(25);
/// Largest number of attempts to submit a job.
const MAX_SUBMIT_ATTEMPTS: u32 = 4;
/// Largest number of polls of a job's state by its caller. The final check polls all open jobs again.
const MAX_STATE_POLLS: u32 = 30;
/// One in this many jobs is cancelled.
const JOBS_PER_CANCELLATION: u32 = 8;
/// One in this many jobs is polled at each process in turn, also at those that were paused when it
/// was accepted.
const JOBS_PER_ROAMING_JOB: u64 = 2;
/// One in this many jobs crashes the workers that start it.
const JOBS_PER_CRASHING_JOB: u32 = 60;

/// Number of tasks of a backlog job, more than the workers have room for.
const BACKLOG_TASKS: u32 = 60;
/// Run time of its tasks, in milliseconds.
const BACKLOG_TASK_MS: u64 = 2_000;
/// CPU of its tasks, in thousandths of a core.
const BACKLOG_TASK_CPU_MILLI: u64 = 4_000;

/// HTTP status for a job that is no longer kept.
pub(crate) const STATUS_GONE: u16 = 410;

/// What a caller knows about one of its jobs.
#[derive(Clone, Debug, Default)]
pub struct JobObservation {
    /// Path prefix of its queue.
    pub queue: &'static str,
    /// Number of its tasks.
    pub tasks: u32,
    /// A submit attempt was answered with success.
    pub accepted: bool,
    /// A submit attempt got no answer, or one that leaves its effect open.
    pub uncertain: bool,
    /// Its cancellation was requested.
    pub cancelling: bool,
    /// When its cancellation was confirmed, in milliseconds of the platform's clock.
    pub cancelled_at: Option<u64>,
    /// It was reported as completed.
    pub completed: bool,
    /// It was reported as failed.
    pub failed: bool,
}

/// What all callers have observed.
#[derive(Debug, Default)]
pub struct Observations {
    /// Observations by job id.
    pub jobs: HashMap<u64, JobObservation>,
    /// Answers that violate a guarantee.
    pub violations: Vec<String>,
}

/// Observations shared by the callers and the checks.
pub type SharedObservations = Arc<Mutex<Observations>>;

/// Locks the observations, also after a panic of another holder.
pub fn lock(observations: &SharedObservations) -> MutexGuard<'_, Observations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A caller that submits jobs one after the other.
#[derive(Debug)]
pub struct Caller {
    /// Its number, which is part of its jobs' ids.
    pub number: u64,
    /// Whether it submits jobs of many tasks, so that there are always some that wait for room.
    pub makes_backlog: bool,
    /// Addresses of the processes' caller proxies.
    pub nodes: Vec<SocketAddr>,
    /// HTTP client that keeps its connections open.
    pub client: Client,
    /// Source of its random choices.
    pub rng: fastrand::Rng,
    /// Observations of all callers.
    pub observations: SharedObservations,
    /// Clock for the times of cancellations.
    pub platform: Platform,
    /// Set when the caller has to stop.
    pub stop: Arc<AtomicBool>,
}

impl Caller {
    /// Submits jobs until `stop` is set.
    pub async fn run(mut self) {
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            // The ids are spread over the whole range and never repeat in a run.
            let id = (self.number << 32 | count).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            self.run_job(id).await;
            sleep(JOB_INTERVAL).await;
        }
    }

    async fn run_job(&mut self, id: u64) {
        let queue = QUEUE_PREFIXES[self.rng.usize(..QUEUE_PREFIXES.len())];
        let (tasks, body) = self.random_job();
        lock(&self.observations)
            .jobs
            .insert(id, JobObservation { queue, tasks, ..JobObservation::default() });
        let mut node = self.rng.usize(..self.nodes.len());
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            match self.call(node, Method::POST, queue, id, &body).await.0 {
                200 => {
                    self.update_job(id, |t| t.accepted = true);
                    return self.poll_job(node, queue, id).await;
                }
                // Refused and not run: the caller may give up.
                429 | 503 if self.rng.bool() => return,
                429 | 503 => {}
                _ => self.update_job(id, |t| t.uncertain = true),
            }
            node = self.rng.usize(..self.nodes.len());
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls an accepted job until it has ended; cancels some jobs first.
    async fn poll_job(&mut self, mut node: usize, queue: &'static str, id: u64) {
        if self.rng.u32(..JOBS_PER_CANCELLATION) == 0 {
            sleep(POLL_INTERVAL * self.rng.u32(..4)).await;
            self.update_job(id, |t| t.cancelling = true);
            // Any process may get it, also one that was paused when the job was accepted.
            let any = id as usize % self.nodes.len();
            let (status, _) = self.call(any, Method::DELETE, queue, id, &Value::Null).await;
            if status == 200 {
                let now = self.platform.now();
                self.update_job(id, |t| t.cancelled_at = Some(now));
            }
            if status == STATUS_GONE {
                let violation = format!("job {id:016x} was accepted, and can't be cancelled");
                lock(&self.observations).violations.push(violation);
            }
        }
        for _ in 0..MAX_STATE_POLLS {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let (status, body) = self.call(node, Method::GET, queue, id, &Value::Null).await;
            let state = body["state"].as_str().unwrap_or("").to_owned();
            if record_answer(&mut lock(&self.observations), id, status, &state) {
                return;
            }
            if status != 200 {
                node = self.rng.usize(..self.nodes.len());
            } else if id.is_multiple_of(JOBS_PER_ROAMING_JOB) {
                node = (node + 1) % self.nodes.len();
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn update_job(&self, id: u64, change: impl FnOnce(&mut JobObservation)) {
        lock(&self.observations).jobs.entry(id).and_modify(change);
    }

    /// Returns the number of tasks and the body of a job with random steps, run time and resources.
    fn random_job(&mut self) -> (u32, Value) {
        if self.makes_backlog {
            let body =
                formats::chain_job(&[BACKLOG_TASKS], BACKLOG_TASK_MS, BACKLOG_TASK_CPU_MILLI);
            return (BACKLOG_TASKS, body);
        }
        let ms = self.rng.u64(10..500);
        let cpu_milli = [500, 1_000, 4_000, 9_000][self.rng.usize(..4)];
        if self.rng.u32(..JOBS_PER_CRASHING_JOB) == 0 {
            return (1, formats::crashing_job(cpu_milli));
        }
        let counts: Vec<u32> = (0..self.rng.usize(1..=3)).map(|_| self.rng.u32(1..5)).collect();
        (counts.iter().sum(), formats::chain_job(&counts, ms, cpu_milli))
    }

    async fn call(
        &self,
        node: usize,
        method: Method,
        queue: &str,
        id: u64,
        body: &Value,
    ) -> (u16, Value) {
        let url = format!("http://{}{queue}{id:016x}", self.nodes[node]);
        call(&self.client, method, &url, body).await
    }
}

/// Makes a request and returns its status and body. The status is 0 if there is no answer.
pub async fn call(client: &Client, method: Method, url: &str, body: &Value) -> (u16, Value) {
    let req = client.request(method, url).header("host", formats::HOST);
    let req = req.timeout(REQUEST_TIMEOUT).body(body.to_string());
    let Ok(answer) = req.send().await else { return (0, Value::Null) };
    let status = answer.status().as_u16();
    let bytes = answer.bytes().await.unwrap_or_default();
    (status, serde_json::from_slice(&bytes).unwrap_or(Value::Null))
}

/// Records an answer about an accepted job and any guarantee that it violates. Returns whether
/// the job has ended.
pub fn record_answer(observations: &mut Observations, id: u64, status: u16, state: &str) -> bool {
    let Some(job) = observations.jobs.get_mut(&id) else { return true };
    let violation = match (status, state) {
        (STATUS_GONE, _) => Some("was accepted and is no longer known"),
        (200, "cancelled") if !job.cancelling => Some("is cancelled without a request"),
        (200, "completed") => None,
        (200, _) if job.completed => Some("changed its state after it was completed"),
        _ => None,
    };
    job.completed |= status == 200 && state == "completed";
    job.failed |= status == 200 && state == "failed";
    if let Some(violation) = violation {
        observations.violations.push(format!("job {id:016x} {violation}"));
    }
    status == 200 && ["completed", "cancelled", "failed"].contains(&state)
}
