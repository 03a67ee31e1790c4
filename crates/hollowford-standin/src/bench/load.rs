//! Submits mixed work in an open loop: a call does not wait for the previous one.

use super::Options;
use crate::StandinError;
use hdrhistogram::Histogram;
use hollowford_protocol::v1;
use hollowford_protocol::v1::scheduler_client::SchedulerClient;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};

/// Number of quick checks among ten requests; the others are batch work.
const CHECKS_PER_TEN_REQUESTS: u64 = 5;
/// Number of tasks of a batch request.
const BATCH_TASKS: u32 = 9;
const CHECK_RUN_MS: u64 = 20;
const BATCH_RUN_MS: u64 = 100;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_RECORDED_MS: u64 = 120_000;
/// Capacity of the queue of call results.
const RESULT_QUEUE_LEN: usize = 20_000;
/// Number of connections to each process.
const CONNECTIONS: usize = 4;

/// A connection with the account's token.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    client: SchedulerClient<Channel>,
    authorization: MetadataValue<Ascii>,
}

/// Result of one call.
struct CallResult {
    is_check: bool,
    tasks: u32,
    /// Waiting time in milliseconds; `None` without an answer.
    waited: Option<u64>,
    /// Time from call to answer minus the run time, in milliseconds.
    overhead: u64,
}

/// Result of one step.
pub(super) struct LoadResult {
    pub started: u64,
    pub failed: u64,
    pub elapsed: Duration,
    pub check_wait: Histogram<u64>,
    pub check_call: Histogram<u64>,
    pub batch_wait: Histogram<u64>,
}

/// Connects to every process.
pub(super) async fn connect(options: &Options) -> Result<Vec<Caller>, StandinError> {
    let to_error = |e: &dyn std::fmt::Display| StandinError::Bench(e.to_string());
    let mut callers = Vec::new();
    for addr in &options.callers {
        for _ in 0..CONNECTIONS {
            let endpoint =
                Endpoint::from_shared(format!("http://{addr}")).map_err(|e| to_error(&e))?;
            let channel = endpoint.tcp_nodelay(true).connect().await.map_err(|e| to_error(&e))?;
            let authorization =
                format!("Bearer {}", options.token).parse().map_err(|e| to_error(&e))?;
            callers.push(Caller { client: SchedulerClient::new(channel), authorization });
        }
    }
    Ok(callers)
}

fn spec(is_check: bool) -> v1::RequestSpec {
    let (kind, tasks, run) = match is_check {
        true => (v1::Kind::Check, 1, CHECK_RUN_MS),
        false => (v1::Kind::Batch, BATCH_TASKS, BATCH_RUN_MS),
    };
    v1::RequestSpec {
        kind: kind.into(),
        tasks,
        per_task: Some(v1::Resources { cpu_milli: 200, memory_mib: 200, accelerators: 0 }),
        run_time_ms: run,
        repeatable: true,
        ..Default::default()
    }
}

fn histogram() -> Histogram<u64> {
    // Constant bounds in ascending order are always valid.
    Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).unwrap_or_else(|_| unreachable!())
}

/// Submits requests for `rate` task starts per second over `seconds`, and waits for all answers.
pub(super) async fn run_load(callers: &[Caller], rate: u64, seconds: u64) -> LoadResult {
    static STEP: AtomicU64 = AtomicU64::new(0);
    let run = format!("{}-{}", std::process::id(), STEP.fetch_add(1, Ordering::Relaxed));
    let run: Arc<str> = run.into();
    let (tx, mut rx) = mpsc::channel(RESULT_QUEUE_LEN);
    // Ten requests: five checks of one task and five batches of nine tasks make fifty starts.
    let starts_per_ten_requests =
        CHECKS_PER_TEN_REQUESTS + (10 - CHECKS_PER_TEN_REQUESTS) * u64::from(BATCH_TASKS);
    let requests = rate * seconds * 10 / starts_per_ten_requests;
    let spacing = Duration::from_secs_f64(starts_per_ten_requests as f64 / 10.0 / rate as f64);
    let started = Instant::now();
    for i in 0..requests {
        let due = spacing * i as u32;
        // Sleeps are no finer than a millisecond, so several calls may be sent at once.
        if due > started.elapsed() + Duration::from_millis(1) {
            tokio::time::sleep(due - started.elapsed()).await;
        }
        let caller = callers[i as usize % callers.len()].clone();
        let is_check = i % 10 < CHECKS_PER_TEN_REQUESTS;
        tokio::spawn(call(caller, run.clone(), i, is_check, tx.clone()));
    }
    drop(tx);
    let mut load = LoadResult {
        started: 0,
        failed: 0,
        elapsed: Duration::ZERO,
        check_wait: histogram(),
        check_call: histogram(),
        batch_wait: histogram(),
    };
    while let Some(result) = rx.recv().await {
        load.add(&result);
    }
    load.elapsed = started.elapsed();
    load
}

impl LoadResult {
    fn add(&mut self, result: &CallResult) {
        let Some(waited) = result.waited else {
            self.failed += 1;
            return;
        };
        self.started += u64::from(result.tasks);
        if result.is_check {
            self.check_wait.saturating_record(waited);
            self.check_call.saturating_record(result.overhead);
        } else {
            self.batch_wait.saturating_record(waited);
        }
    }
}

async fn call(
    mut caller: Caller,
    run: Arc<str>,
    i: u64,
    is_check: bool,
    tx: mpsc::Sender<CallResult>,
) {
    let body = spec(is_check);
    let (tasks, run_ms) = (body.tasks, body.run_time_ms);
    let req = v1::SubmitRequest { request_id: format!("{run}-{i}"), spec: Some(body), wait: true };
    let mut req = tonic::Request::new(req);
    req.metadata_mut().insert("authorization", caller.authorization.clone());
    req.set_timeout(CALL_TIMEOUT);
    let called = Instant::now();
    let view = caller.client.submit(req).await.ok().map(tonic::Response::into_inner);
    let waited = view.filter(|v| v.answer.is_some()).and_then(|v| v.waited_ms);
    let overhead = (called.elapsed().as_millis() as u64).saturating_sub(run_ms);
    // The receiver exists until all senders are dropped.
    let _ = tx.send(CallResult { is_check, tasks, waited, overhead }).await;
}
