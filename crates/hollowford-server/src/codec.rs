//! Converts the engine's records, orders and reports to messages, and back.

use hollowford_core::{AccountId, Error, RequestKey, RequestNo, Resources, Spec, TaskId};
use hollowford_engine::{
    Action, Change, ClaimReport, ClaimedTask, EndReport, FinalAnswer, Outcome, Record, TaskEnd,
    TaskResult, TaskUsage,
};
use hollowford_protocol::{ledger, spec_to_wire, v1};
use std::sync::Arc;

const END_DONE: u32 = 1;
const END_FAILED: u32 = 2;
const END_STOPPED: u32 = 3;
const END_LOST: u32 = 4;
const END_CRASHED: u32 = 5;

/// Converts a record to its ledger message.
pub fn record_to_wire(record: &Record) -> ledger::Record {
    let (task, change) = change_to_wire(&record.change);
    ledger::Record {
        request: record.request.0,
        index: task.map_or(0, |t| t.index),
        attempt: task.map_or(0, |t| t.attempt),
        change: Some(change),
    }
}

fn change_to_wire(change: &Change) -> (Option<TaskId>, ledger::Change) {
    match change {
        Change::Accept { key, spec } => (
            None,
            ledger::Change::Accept(ledger::Accept {
                account: key.account.to_string(),
                id: key.id.to_string(),
                spec: Some(spec_to_wire(spec)),
            }),
        ),
        Change::Intent { task, worker, incarnation } => (
            Some(*task),
            ledger::Change::Intent(ledger::Intent {
                worker: worker.to_string(),
                incarnation: *incarnation,
            }),
        ),
        Change::Withdrawn { task } => {
            (Some(*task), ledger::Change::Withdrawn(ledger::Withdrawn {}))
        }
        Change::Ended { task, end } => (Some(*task), ledger::Change::Ended(end_to_wire(end))),
        Change::Cancel => (None, ledger::Change::Cancel(ledger::Cancel {})),
        Change::Close(answer) => (None, ledger::Change::Close(answer_to_ledger(answer))),
        Change::Queued { task, failures, crashes, checkpoint, begun } => (
            Some(*task),
            ledger::Change::Queued(ledger::Queued {
                failures: *failures,
                crashes: *crashes,
                checkpoint: checkpoint.to_string(),
                begun: *begun,
            }),
        ),
    }
}

fn end_to_wire(end: &TaskEnd) -> ledger::Ended {
    match end {
        TaskEnd::Done(r) => ledger::Ended {
            end: END_DONE,
            result: r.bytes.clone(),
            object: r.object.to_string(),
            len: r.len,
            xxh3: r.xxh3,
            ..Default::default()
        },
        TaskEnd::Failed(message) => {
            ledger::Ended { end: END_FAILED, message: message.clone(), ..Default::default() }
        }
        TaskEnd::Stopped(checkpoint) => ledger::Ended {
            end: END_STOPPED,
            checkpoint: checkpoint.to_string(),
            ..Default::default()
        },
        TaskEnd::Lost => ledger::Ended { end: END_LOST, ..Default::default() },
        TaskEnd::Crashed => ledger::Ended { end: END_CRASHED, ..Default::default() },
    }
}

fn answer_to_ledger(answer: &FinalAnswer) -> ledger::Close {
    ledger::Close {
        outcome: outcome_to_wire(answer.outcome).into(),
        reason: answer.reason.to_string(),
        message: answer.message.to_string(),
        had_begun: answer.had_begun,
    }
}

/// Converts an outcome to its message.
pub fn outcome_to_wire(outcome: Outcome) -> v1::Outcome {
    match outcome {
        Outcome::Done => v1::Outcome::Done,
        Outcome::Failed => v1::Outcome::Failed,
        Outcome::NotRun => v1::Outcome::NotRun,
        Outcome::MayHaveRun => v1::Outcome::MayHaveRun,
        Outcome::Cancelled => v1::Outcome::Cancelled,
    }
}

fn outcome_from_wire(outcome: i32) -> Outcome {
    match v1::Outcome::try_from(outcome) {
        Ok(v1::Outcome::Done) => Outcome::Done,
        Ok(v1::Outcome::Failed) => Outcome::Failed,
        Ok(v1::Outcome::NotRun) => Outcome::NotRun,
        Ok(v1::Outcome::Cancelled) => Outcome::Cancelled,
        // Values that a later version may add are read as the most cautious outcome.
        Ok(v1::Outcome::MayHaveRun | v1::Outcome::Unspecified) | Err(_) => Outcome::MayHaveRun,
    }
}

/// Converts a ledger message to a record.
///
/// # Errors
/// `Invalid` if the record has no change or an acceptance has no spec; otherwise the error of an
/// invalid spec.
pub fn record_from_wire(wire: ledger::Record) -> Result<Record, Error> {
    let request = RequestNo(wire.request);
    let task = TaskId { request, index: wire.index, attempt: wire.attempt };
    let invalid = |what: &str| Error::new(hollowford_core::ErrorKind::Invalid, what);
    let change = match wire.change.ok_or_else(|| invalid("the record has no change"))? {
        ledger::Change::Accept(a) => {
            let spec = a.spec.as_ref().ok_or_else(|| invalid("the acceptance has no spec"))?;
            let account = AccountId::from(a.account.as_str());
            let key = RequestKey::new(&account, &a.id);
            Change::Accept { key, spec: Arc::new(Spec::try_from(spec)?) }
        }
        ledger::Change::Intent(i) => {
            Change::Intent { task, worker: i.worker.as_str().into(), incarnation: i.incarnation }
        }
        ledger::Change::Withdrawn(_) => Change::Withdrawn { task },
        ledger::Change::Ended(e) => Change::Ended { task, end: end_from_wire(e) },
        ledger::Change::Cancel(_) => Change::Cancel,
        ledger::Change::Close(c) => Change::Close(FinalAnswer {
            outcome: outcome_from_wire(c.outcome),
            reason: c.reason.as_str().into(),
            message: c.message.as_str().into(),
            had_begun: c.had_begun,
        }),
        ledger::Change::Queued(q) => Change::Queued {
            task,
            failures: q.failures,
            crashes: q.crashes,
            checkpoint: q.checkpoint.as_str().into(),
            begun: q.begun,
        },
    };
    Ok(Record { request, change })
}

fn end_from_wire(e: ledger::Ended) -> TaskEnd {
    match e.end {
        END_DONE => TaskEnd::Done(TaskResult {
            bytes: e.result,
            object: e.object.as_str().into(),
            len: e.len,
            xxh3: e.xxh3,
        }),
        END_FAILED => TaskEnd::Failed(e.message),
        END_STOPPED => TaskEnd::Stopped(e.checkpoint.as_str().into()),
        END_CRASHED => TaskEnd::Crashed,
        _ => TaskEnd::Lost,
    }
}

fn task_to_wire(task: &TaskId) -> v1::TaskRef {
    v1::TaskRef { request: task.request.0, index: task.index, attempt: task.attempt }
}

/// Converts a task reference of a worker to a task id.
pub fn task_from_wire(task: &v1::TaskRef) -> TaskId {
    TaskId { request: RequestNo(task.request), index: task.index, attempt: task.attempt }
}

/// Converts an action for a worker to an order. Returns `None` for other actions.
pub fn order_to_wire(action: &Action) -> Option<v1::Order> {
    use v1::order::Order;
    let order = match action {
        Action::Start { task, lease_until, fixed_lease, spec, checkpoint, .. } => {
            Order::Start(v1::Start {
                fixed_lease: *fixed_lease,
                task: Some(task_to_wire(task)),
                lease_until: *lease_until,
                cpu_milli: spec.per_task.cpu_milli,
                memory_mib: spec.per_task.memory_mib,
                accelerators: spec.per_task.accelerators,
                payload: spec.payload.clone(),
                run_time_ms: spec.run_time_ms,
                checkpoint: checkpoint.to_string(),
            })
        }
        Action::Renew { lease_until, .. } => Order::Renew(v1::Renew { lease_until: *lease_until }),
        Action::Stop { task, checkpoint, .. } => {
            Order::Stop(v1::Stop { task: Some(task_to_wire(task)), checkpoint: *checkpoint })
        }
        Action::Forget { task, .. } => Order::Forget(v1::Forget { task: Some(task_to_wire(task)) }),
        Action::Throttle { task, cpu_milli, .. } => {
            Order::Throttle(v1::Throttle { task: Some(task_to_wire(task)), cpu_milli: *cpu_milli })
        }
        Action::Append { .. } | Action::Changed(_) | Action::FirstStart { .. } => return None,
    };
    Some(v1::Order { order: Some(order) })
}

/// Converts a worker's reply to a claim.
pub fn claim_from_wire(reply: &v1::ClaimReply, clock: u64) -> ClaimReport {
    let running = reply.running.iter().filter_map(|r| {
        let task = task_from_wire(r.task.as_ref()?);
        let resources = Resources::new(r.cpu_milli, r.memory_mib, r.accelerators);
        Some(ClaimedTask { task, resources })
    });
    ClaimReport {
        incarnation: reply.incarnation,
        clock,
        capacity: Resources::new(reply.cpu_milli, reply.memory_mib, reply.accelerators),
        leaving: reply.leaving,
        running: running.collect(),
        ended: reply.ended.iter().filter_map(ended_from_wire).collect(),
    }
}

/// Converts a worker's report of the end of a task. Returns `None` if it names no task.
pub fn ended_from_wire(e: &v1::Ended) -> Option<EndReport> {
    let task = task_from_wire(e.task.as_ref()?);
    let end = match e.end() {
        v1::End::Done => TaskEnd::Done(TaskResult {
            bytes: e.result.clone(),
            object: e.result_object.as_str().into(),
            len: e.result_len,
            xxh3: e.result_xxh3,
        }),
        v1::End::Failed => TaskEnd::Failed(e.message.clone()),
        v1::End::Stopped => TaskEnd::Stopped(e.checkpoint.as_str().into()),
        v1::End::Lapsed | v1::End::Unspecified => TaskEnd::Lost,
    };
    Some(EndReport { task, end, ran: hollowford_core::Millis(e.ran_ms) })
}

/// Converts a worker's report of resource usage. Entries that name no task are skipped.
pub fn usage_from_wire(tasks: &[v1::TaskUsage]) -> Vec<TaskUsage> {
    let one = |t: &v1::TaskUsage| {
        let task = task_from_wire(t.task.as_ref()?);
        Some(TaskUsage { task, cpu_milli: t.cpu_milli, memory_mib: t.memory_mib })
    };
    tasks.iter().filter_map(one).collect()
}
