//! The owner's calls to workers and for advice, and what comes of them.

use super::{Owner, OwnerEnd};
use crate::calls::{AnswerAt, advise_here, call_from_here};
use crate::delegation::Delivered;
use hollowford_adapter::Called;
use hollowford_core::Millis;
use hollowford_jobs::{Order, WorkerCall};

impl Owner {
    /// Takes in what came of a call to a worker, made here or by a member.
    pub(super) fn take_worker(&mut self, delivered: Delivered, now: Millis) {
        let Delivered { call, called, sent, at } = delivered;
        let late = at == AnswerAt::Late;
        let fenced = match (&call, called) {
            (WorkerCall::Start { worker, task, run, .. }, Called::Start(answer)) => {
                let (engine, started) = (&mut self.engine, (*task, *run));
                if late {
                    engine.start_answered_late(worker, started, &answer, sent, now)
                } else {
                    engine.start_answered(worker, started, answer, sent, now)
                }
            }
            (WorkerCall::Stop { worker, task, run, .. }, Called::Stop(answered)) => {
                self.engine.stop_answered(worker, *task, *run, answered, now);
                false
            }
            (WorkerCall::Pace { worker, task, run, percent, .. }, Called::Pace(answered)) => {
                self.engine.pace_answered(worker, *task, *run, *percent, answered);
                false
            }
            (WorkerCall::Look { worker, .. }, Called::Look(answer)) if late => {
                self.engine.looked_late(worker, answer, sent, now)
            }
            (WorkerCall::Look { worker, .. }, Called::Look(answer)) => {
                self.engine.looked(worker, answer, sent, now)
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

    /// Has a call made: to a worker by a member or from here, for advice by the member whose
    /// seat it is.
    pub(super) fn carry_out(&mut self, order: Order, now: Millis) {
        match order {
            Order::Worker { call, limit } => {
                let Some(call) = self.delegation.delegate(call, limit, now) else { return };
                let (shared, workers) = (self.cx.shared.clone(), self.workers.clone());
                let handle = self.handle.clone();
                tokio::spawn(call_from_here(shared, workers, call, limit, now, handle));
            }
            Order::Advice { seat, step, workers } => {
                let Some(seat) = self.engine.advice_channel(seat).cloned() else { return };
                let ids: Vec<String> = workers.iter().map(|w| w.as_str().to_owned()).collect();
                if seat.address.is_empty() {
                    let (shared, handle) = (self.cx.shared.clone(), self.handle.clone());
                    tokio::spawn(advise_here(shared, seat, step, ids, handle));
                } else if !self.members.ask(&seat.address, step, ids) {
                    log::debug!("advice.not_sent seat={} step={step}", seat.address);
                }
            }
        }
    }
}
