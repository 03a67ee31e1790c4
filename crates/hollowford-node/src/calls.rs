//! Calls to workers and to the service for advice, each in a task of its own.

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::shared::Shared;
use crate::wire::Advice;
use hollowford_adapter::{Called, WorkerClient};
use hollowford_core::Millis;
use hollowford_jobs::{Advised, LookAnswer, Seat, StartAnswer, StepKey, WorkerCall};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for a call for advice. The slowest name a hundred workers.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Calls a worker and tells the owner what came of it.
pub async fn call_worker(
    shared: Arc<Shared>,
    workers: WorkerClient,
    call: WorkerCall,
    limit: Millis,
    sent: Millis,
    owner: OwnerHandle,
) {
    let began = shared.clock.now();
    let (called, error) = workers.call(&call, limit).await;
    let took = shared.clock.now().since(began);
    note(&shared, &called, took);
    if let Some(e) = error {
        log::debug!("worker.unanswered call={} error=\"{e}\"", describe(&call));
    }
    owner.send(OwnerMsg::Worker { call, called, sent }).await;
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
    seat: Seat,
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
