//! Calls to workers and to the advice service, each in its own task.

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::shared::Shared;
use crate::wire::Advice;
use hollowford_adapter::{WorkerAnswer, WorkerClient};
use hollowford_core::Millis;
use hollowford_jobs::{AdviceChannel, LookAnswer, StartAnswer, StepKey, WorkerCall, WorkerTickets};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of a call for advice. Calls that name a hundred workers take the longest.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long an answer is awaited after the call's time limit. The call is repeated in the meantime,
/// but a late answer still says which tasks are running and which have ended.
const LATE_ANSWER_TIMEOUT: Millis = Millis(3_000);

/// Whether an answer arrived within the call's time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerTiming {
    /// Within the time limit, or no answer by then.
    InTime,
    /// After the time limit, when the call was already reported as unanswered.
    Late,
}

/// Calls a worker and reports the outcome. If there is no answer within the limit, reports the call
/// as unanswered, and reports the answer as well if it still arrives.
pub async fn call_worker<F: Future<Output = ()>>(
    shared: &Shared,
    workers: &WorkerClient,
    call: &WorkerCall,
    limit: Millis,
    report: impl Fn(WorkerAnswer, AnswerTiming) -> F,
) {
    let started_at = shared.clock.now();
    let worker_wait = match call {
        WorkerCall::Look { wait, .. } => *wait,
        _ => Millis(0),
    };
    let mut answer = std::pin::pin!(workers.call(call, limit + LATE_ANSWER_TIMEOUT));
    let in_time = timeout((worker_wait + limit).duration(), &mut answer).await;
    let (called, error, timing) = match in_time {
        Ok((called, error)) => (called, error, AnswerTiming::InTime),
        Err(_) => {
            let called = unanswered(call);
            record_metrics(shared, &called, limit);
            report(called, AnswerTiming::InTime).await;
            let (called, error) = answer.await;
            (called, error, AnswerTiming::Late)
        }
    };
    if let Some(e) = error {
        log::debug!("worker.unanswered call={} error=\"{e}\"", describe(call));
        if timing == AnswerTiming::Late {
            return;
        }
    }
    record_metrics(shared, &called, shared.clock.now().since(started_at));
    report(called, timing).await;
}

/// Returns the outcome that stands for a missing answer.
pub fn unanswered(call: &WorkerCall) -> WorkerAnswer {
    match call {
        WorkerCall::Start { .. } => WorkerAnswer::Start(StartAnswer::Unanswered),
        WorkerCall::Stop { .. } => WorkerAnswer::Stop(false),
        WorkerCall::Pace { .. } => WorkerAnswer::Pace(false),
        WorkerCall::Look { .. } => WorkerAnswer::Look(LookAnswer::Unanswered),
    }
}

/// Calls a worker from the owner's process and reports the outcome to the owner.
pub async fn call_worker_locally(
    shared: Arc<Shared>,
    workers: WorkerClient,
    call: WorkerCall,
    limit: Millis,
    sent: Millis,
    owner: OwnerHandle,
) {
    let report = |called, timing| {
        let msg = OwnerMsg::WorkerAnswer { call: call.clone(), called, sent, timing };
        owner.send(msg)
    };
    call_worker(&shared, &workers, &call, limit, report).await;
}

fn record_metrics(shared: &Shared, called: &WorkerAnswer, took: Millis) {
    let (name, outcome) = match called {
        WorkerAnswer::Start(StartAnswer::Runs(_)) => {
            shared.metrics.start_seconds.observe(took.duration().as_secs_f64());
            ("start", "runs")
        }
        WorkerAnswer::Start(StartAnswer::Unanswered) => ("start", "unanswered"),
        WorkerAnswer::Start(_) => ("start", "refused"),
        WorkerAnswer::Stop(true) => ("stop", "answered"),
        WorkerAnswer::Stop(false) => ("stop", "unanswered"),
        WorkerAnswer::Pace(true) => ("pace", "answered"),
        WorkerAnswer::Pace(false) => ("pace", "unanswered"),
        WorkerAnswer::Look(LookAnswer::Lists(_)) => ("look", "answered"),
        WorkerAnswer::Look(LookAnswer::Unanswered) => ("look", "unanswered"),
        WorkerAnswer::Look(_) => ("look", "refused"),
    };
    shared.metrics.worker_calls.with_label_values(&[name, outcome]).inc();
}

fn describe(call: &WorkerCall) -> String {
    match call {
        WorkerCall::Start { worker, task, run, .. } => {
            format!("start task={task} run={run} worker={worker}")
        }
        WorkerCall::Stop { worker, task, run, .. } => {
            format!("stop task={task} run={run} worker={worker}")
        }
        WorkerCall::Pace { worker, task, run, percent, .. } => {
            format!("pace task={task} run={run} worker={worker} percent={percent}")
        }
        WorkerCall::Look { worker, .. } => format!("look worker={worker}"),
    }
}

/// Calls the advice service from this process. Returns `None` if the service isn't configured or
/// the call fails.
pub async fn request_advice(
    shared: &Shared,
    step: &str,
    workers: &[String],
) -> Option<(WorkerTickets, Millis)> {
    let client = shared.advice.as_ref()?;
    let answer = client.request_advice(step, workers, ADVICE_TIMEOUT).await;
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    shared.metrics.advice_calls.with_label_values(&[outcome]).inc();
    answer.inspect_err(|e| log::info!("advice.failed step={step} error=\"{e}\"")).ok()
}

/// Calls the advice service from the owner's process and reports the outcome to the owner.
pub async fn request_advice_locally(
    shared: Arc<Shared>,
    advice_channel: AdviceChannel,
    step: StepKey,
    workers: Vec<String>,
    handle: OwnerHandle,
) {
    let answer = request_advice(&shared, &step.to_string(), &workers).await;
    handle.send(OwnerMsg::AdviceAnswered { advice_channel, step, answer }).await;
}

/// Decodes a member's answer to a call for advice. Returns `None` if the service did not answer the
/// member.
pub fn decode_advice(msg: Advice) -> Option<(WorkerTickets, Millis)> {
    let rows = msg.workers.iter().zip(&msg.tickets);
    let rows = rows.map(|(id, t)| (id.as_str().into(), t.as_str().into())).collect();
    msg.answered.then_some((rows, Millis(msg.validity_ms)))
}
