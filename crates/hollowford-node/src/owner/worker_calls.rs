//! The owner's calls to workers and to the advice service, and their outcomes.

use super::{Owner, OwnerEnd};
use crate::calls::{AnswerTiming, call_worker_locally, request_advice_locally};
use crate::delegation::CallOutcome;
use hollowford_adapter::WorkerAnswer;
use hollowford_core::Millis;
use hollowford_jobs::{Order, WorkerCall};

impl Owner {
    /// Passes the outcome of a call to a worker, made by this process or by a member, to the
    /// engine.
    pub(super) fn handle_worker_answer(&mut self, outcome: CallOutcome, now: Millis) {
        let CallOutcome { call, called, sent, timing } = outcome;
        let late = timing == AnswerTiming::Late;
        let fenced = match (&call, called) {
            (WorkerCall::Start { worker, task, run, .. }, WorkerAnswer::Start(answer)) => {
                let (engine, started) = (&mut self.engine, (*task, *run));
                if late {
                    engine.start_answered_late(worker, started, &answer, sent, now)
                } else {
                    engine.start_answered(worker, started, answer, sent, now)
                }
            }
            (WorkerCall::Stop { worker, task, run, .. }, WorkerAnswer::Stop(answered)) => {
                self.engine.stop_answered(worker, *task, *run, answered, now);
                false
            }
            (WorkerCall::Pace { worker, task, run, percent, .. }, WorkerAnswer::Pace(answered)) => {
                self.engine.pace_answered(worker, *task, *run, *percent, answered);
                false
            }
            (WorkerCall::Look { worker, .. }, WorkerAnswer::Look(answer)) if late => {
                self.engine.look_answered_late(worker, answer, sent, now)
            }
            (WorkerCall::Look { worker, .. }, WorkerAnswer::Look(answer)) => {
                self.engine.look_answered(worker, answer, sent, now)
            }
            (call, called) => {
                log::error!("worker.answer call={call:?} answer={called:?}");
                false
            }
        };
        if fenced {
            log::warn!("owner.fenced epoch={}", self.info.epoch);
            self.end = Some(OwnerEnd::Deposed);
        }
    }

    /// Executes an order of the engine: starts a call to a worker, made by a member or by this
    /// process, or a call for advice, made by the instance of its advice channel.
    pub(super) fn execute_order(&mut self, order: Order, now: Millis) {
        match order {
            Order::Worker { call, limit } => {
                let Some(call) = self.delegation.delegate(call, limit, now) else { return };
                let (shared, workers) = (self.cx.shared.clone(), self.workers.clone());
                let handle = self.handle.clone();
                tokio::spawn(call_worker_locally(shared, workers, call, limit, now, handle));
            }
            Order::Advice { channel, step, workers } => {
                let Some(channel) = self.engine.advice_channel(channel).cloned() else { return };
                let ids: Vec<String> = workers.iter().map(|w| w.as_str().to_owned()).collect();
                if channel.address.is_empty() {
                    let (shared, handle) = (self.cx.shared.clone(), self.handle.clone());
                    tokio::spawn(request_advice_locally(shared, channel, step, ids, handle));
                } else if !self.members.request_advice(&channel.address, step, ids) {
                    log::debug!("advice.not_sent seat={} step={step}", channel.address);
                }
            }
        }
    }
}
