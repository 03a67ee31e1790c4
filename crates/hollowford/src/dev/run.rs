//! Submits the work of a work file and collects the answers.

use super::cell::{Cell, OPERATOR_TOKEN};
use super::report::{Report, RequestResult, Sample};
use super::work::{WorkFile, WorkItem};
use crate::client::Target;
use crate::error::CliError;
use hollowford_protocol::v1;
use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Time between two samples of the cell's state.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for the cell to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const RESULT_QUEUE_LEN: usize = 1_024;

/// Connections to every process for each account.
struct Targets {
    by_account: BTreeMap<String, Vec<Target>>,
    next: AtomicUsize,
}

impl Targets {
    async fn connect(file: &WorkFile, cell: &Cell) -> Result<Targets, CliError> {
        let mut by_account = BTreeMap::new();
        for account in &file.accounts {
            let mut targets = Vec::new();
            for addr in cell.callers() {
                targets.push(Target::connect(&addr.to_string(), &account.token, None).await?);
            }
            by_account.insert(account.name.clone(), targets);
        }
        Ok(Targets { by_account, next: AtomicUsize::new(0) })
    }

    /// Returns the account's connection to the next process in turn.
    fn next(&self, account: &str) -> Option<&Target> {
        let targets = self.by_account.get(account)?;
        let i = self.next.fetch_add(1, Ordering::Relaxed);
        targets.get(i % targets.len())
    }
}

/// Submits the work and waits for all answers. Requests without one are counted in the report.
pub async fn run(file: &WorkFile, cell: &Cell) -> Result<Report, CliError> {
    let targets = Arc::new(Targets::connect(file, cell).await?);
    wait_ready(file, cell).await?;
    let done = Arc::new(AtomicBool::new(false));
    let sampler = tokio::spawn(sample_cell(
        cell.callers().iter().map(|a| a.to_string()).collect(),
        done.clone(),
    ));
    let (tx, mut rx) = mpsc::channel(RESULT_QUEUE_LEN);
    let started = Instant::now();
    let mut total = 0;
    for item in &file.work {
        for i in 0..item.requests {
            total += 1;
            tokio::spawn(submit(targets.clone(), item.clone(), i, started, tx.clone()));
        }
    }
    drop(tx);
    let mut report = Report::default();
    while let Some(result) = rx.recv().await {
        report.answers.push(result);
        print_progress(report.answers.len(), total);
    }
    report.elapsed = started.elapsed();
    cancel_services(file, &targets).await;
    done.store(true, Ordering::Release);
    report.samples = sampler.await.unwrap_or_default();
    report.missing = total - report.answers.iter().filter(|a| a.has_answer()).count();
    Ok(report)
}

fn print_progress(have: usize, total: usize) {
    let mut err = std::io::stderr();
    if err.is_terminal() {
        // Failing to print progress must not stop the run.
        let _ = write!(err, "\r{have} of {total} answered");
        let _ = err.flush();
        if have == total {
            let _ = writeln!(err);
        }
    }
}

async fn fetch_state(server: &str) -> Result<serde_json::Value, CliError> {
    let target = Target::connect(server, OPERATOR_TOKEN, None).await?;
    let reply = target.operator().state(target.call(v1::StateRequest {})).await?;
    serde_json::from_str(&reply.into_inner().json).map_err(|e| CliError::Run(e.to_string()))
}

/// Waits until every worker is claimed by an owner.
async fn wait_ready(file: &WorkFile, cell: &Cell) -> Result<(), CliError> {
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        let mut claimed = 0;
        for addr in cell.callers() {
            let state = fetch_state(&addr.to_string()).await?;
            let partitions = state["partitions"].as_array().cloned().unwrap_or_default();
            let workers = partitions.iter().filter_map(|p| p["workers"].as_array()).flatten();
            claimed += workers.filter(|w| w["claimed"] == true).count();
        }
        if claimed as u64 == file.workers.count {
            return Ok(());
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(CliError::Run("the cell did not become ready".to_owned()))
}

/// Samples the state of all partitions until `done` is set.
async fn sample_cell(servers: Vec<String>, done: Arc<AtomicBool>) -> Vec<Sample> {
    let mut samples = Vec::new();
    while !done.load(Ordering::Acquire) {
        let mut s = Sample::default();
        for server in &servers {
            let Ok(state) = fetch_state(server).await else {
                continue;
            };
            for p in state["partitions"].as_array().into_iter().flatten() {
                s.total_cpu_milli += p["whole_cpu_milli"].as_u64().unwrap_or(0);
                s.free_cpu_milli += p["free_cpu_milli"].as_u64().unwrap_or(0);
                s.waiting_tasks += p["waiting_tasks"].as_u64().unwrap_or(0);
                s.placed += p["placed"].as_u64().unwrap_or(0);
            }
            s.store_reads += state["store_reads"].as_u64().unwrap_or(0);
            s.store_writes += state["store_writes"].as_u64().unwrap_or(0);
        }
        samples.push(s);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

async fn submit(
    targets: Arc<Targets>,
    item: WorkItem,
    i: u64,
    started: Instant,
    tx: mpsc::Sender<RequestResult>,
) {
    let due_after = Duration::from_millis(item.after_ms + i * item.every_ms);
    tokio::time::sleep(due_after.saturating_sub(started.elapsed())).await;
    let request_id = format!("{}-{i}", item.name);
    let req = v1::SubmitRequest {
        request_id: request_id.clone(),
        spec: Some(item.spec.clone()),
        wait: true,
    };
    let submitted = Instant::now();
    let mut error = String::new();
    let mut view = None;
    while submitted.elapsed() < ANSWER_TIMEOUT && view.is_none() {
        let Some(target) = targets.next(&item.account) else {
            break;
        };
        // Submitting again under the same id is idempotent.
        match target.scheduler().submit(target.call(req.clone())).await {
            Ok(reply) => view = Some(reply.into_inner()).filter(has_final_state),
            Err(status) => match CliError::from(status) {
                CliError::Refused { kind, message, retry_after_ms: Some(ms) } => {
                    error = format!("{kind}: {message}");
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                }
                CliError::Unreachable(message) => {
                    error = message;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                e => {
                    error = e.to_string();
                    break;
                }
            },
        }
    }
    let kind = item.spec.kind();
    // The receiver exists until all senders are dropped.
    let _ = tx.send(RequestResult { request_id, kind, view, error }).await;
}

fn has_final_state(v: &v1::RequestView) -> bool {
    v.answer.is_some() || (v.is_service && v.running > 0 && v.queued == 0)
}

async fn cancel_services(file: &WorkFile, targets: &Targets) {
    for item in file.work.iter().filter(|w| w.spec.kind() == v1::Kind::Service) {
        for i in 0..item.requests {
            let req = v1::CancelRequest { request_id: format!("{}-{i}", item.name) };
            if let Some(target) = targets.next(&item.account)
                && let Err(e) = target.scheduler().cancel(target.call(req)).await
            {
                log::warn!("{}-{i} not cancelled: {}", item.name, e.message());
            }
        }
    }
}
