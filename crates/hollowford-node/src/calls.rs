//! Calls to workers and to the service for advice, each in a task of its own.

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::shared::Shared;
use crate::wire::Advice;
use hollowford_adapter::{Called, WorkerClient};
use hollowford_core::Millis;
use hollowford_jobs::{AdviceChannel, Advised, LookAnswer, StartAnswer, StepKey, WorkerCall};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for a call for advice. The slowest name a hundred workers.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A call is waited for so much longer than its time limit. It is made again meanwhile, but an
/// answer that comes late still tells what runs and what has ended.
const LATE: Millis = Millis(3_000);

/// When an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerAt {
    /// Within the call's time limit; that there was none by then counts as well.
    InTime,
    /// After it, when it was already told that there was none.
    Late,
}

/// Calls a worker and tells what came of it: once the limit has passed that there was no answer,
/// and the answer, if it still comes.
pub async fn call_worker<F: Future<Output = ()>>(
    shared: &Shared,
    workers: &WorkerClient,
    call: &WorkerCall,
    limit: Millis,
    tell: impl Fn(Called, AnswerAt) -> F,
) {
    let began = shared.clock.now();
    let waits = match call {
        WorkerCall::Look { wait, .. } => *wait,
        _ => Millis(0),
    };
    let mut answer = std::pin::pin!(workers.call(call, limit + LATE));
    let in_time = timeout((waits + limit).duration(), &mut answer).await;
    let (called, error, at) = match in_time {
        Ok((called, error)) => (called, error, AnswerAt::InTime),
        Err(_) => {
            let called = unanswered(call);
            note(shared, &called, limit);
            tell(called, AnswerAt::InTime).await;
            let (called, error) = answer.await;
            (called, error, AnswerAt::Late)
        }
    };
    if let Some(e) = error {
        log::debug!("worker.unanswered call={} error=\"{e}\"", describe(call));
        if at == AnswerAt::Late {
            return;
        }
    }
    note(shared, &called, shared.clock.now().since(began));
    tell(called, at).await;
}

/// Returns what is told of a call without an answer.
pub fn unanswered(call: &WorkerCall) -> Called {
    match call {
        WorkerCall::Start { .. } => Called::Start(StartAnswer::Unanswered),
        WorkerCall::Stop { .. } => Called::Stop(false),
        WorkerCall::Pace { .. } => Called::Pace(false),
        WorkerCall::Look { .. } => Called::Look(LookAnswer::Unanswered),
    }
}

/// Calls a worker from this process and tells its owner what came of it.
pub async fn call_from_here(
    shared: Arc<Shared>,
    workers: WorkerClient,
    call: WorkerCall,
    limit: Millis,
    sent: Millis,
    owner: OwnerHandle,
) {
    let tell = |called, at| {
        let msg = OwnerMsg::Worker { call: call.clone(), called, sent, at };
        owner.send(msg)
    };
    call_worker(&shared, &workers, &call, limit, tell).await;
}

fn note(shared: &Shared, called: &Called, took: Millis) {
    let (name, outcome) = match called {
        Called::Start(StartAnswer::Runs(_)) => {
            shared.metrics.start_seconds.observe(took.duration().as_secs_f64());
            ("start", "runs")
        }
        Called::Start(StartAnswer::Unanswered) => ("start", "unanswered"),
        Called::Start(_) => ("start", "refused"),
        Called::Stop(true) => ("stop", "answered"),
        Called::Stop(false) => ("stop", "unanswered"),
        Called::Pace(true) => ("pace", "answered"),
        Called::Pace(false) => ("pace", "unanswered"),
        Called::Look(LookAnswer::Lists(_)) => ("look", "answered"),
        Called::Look(LookAnswer::Unanswered) => ("look", "unanswered"),
        Called::Look(_) => ("look", "refused"),
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

/// Makes a call for advice from this instance.
pub async fn advise(shared: &Shared, step: &str, workers: &[String]) -> Option<(Advised, Millis)> {
    let client = shared.advice.as_ref()?;
    let answer = client.ask(step, workers, ADVICE_TIMEOUT).await;
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    shared.metrics.advice_calls.with_label_values(&[outcome]).inc();
    answer.inspect_err(|e| log::info!("advice.failed step={step} error=\"{e}\"")).ok()
}

/// Makes a call for advice from this process and tells its owner what came of it.
pub async fn advise_here(
    shared: Arc<Shared>,
    seat: AdviceChannel,
    step: StepKey,
    workers: Vec<String>,
    handle: OwnerHandle,
) {
    let answer = advise(&shared, &step.to_string(), &workers).await;
    handle.send(OwnerMsg::Advised { seat, step, answer }).await;
}

/// Reads a member's answer to a call for advice.
pub fn read_advice(msg: Advice) -> Option<(Advised, Millis)> {
    let rows = msg.workers.iter().zip(&msg.tickets);
    let rows = rows.map(|(id, t)| (id.as_str().into(), t.as_str().into())).collect();
    msg.answered.then_some((rows, Millis(msg.validity_ms)))
}
