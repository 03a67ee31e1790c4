//! Handles callers' requests: authorization and admission.

use super::Owner;
use crate::access::{self, Access, MAX_CONFIG_AGE};
use crate::callers::call_timeout;
use crate::inbox::Reply;
use crate::wire::{Call, Said, Verb};
use hollowford_core::Millis;
use hollowford_jobs::JobId;

impl Owner {
    /// Accepts a request or answers it at once. It is rejected if its key is unknown, if this owner
    /// is stepping down, or if the store cannot commit a new job before the caller's time limit.
    pub(super) fn handle_call(&mut self, call: Call, reply: Reply, now: Millis) {
        if call.config > self.cx.shared.config_version() {
            self.cx.shared.config_wanted.notify_one();
        }
        if self.step_down.since().is_some() {
            reply.send(call.id, Said::NotOwner, 0);
            return;
        }
        let call = match self.authorize(call) {
            Ok(call) => call,
            Err((id, said)) => return reply.send(id, said, 0),
        };
        let limit = call_timeout(&call);
        let admitted = self.batches.admits_job(&self.engine, limit, now);
        self.waiting_calls.handle(&mut self.engine, call, reply, admitted, now);
    }

    /// Sets the client account on whose behalf the call is made. Returns the call's id and the
    /// answer if the call is rejected.
    fn authorize(&self, mut call: Call) -> Result<Call, (u64, Said)> {
        let config = self.cx.shared.config.load();
        let config = config.as_deref();
        let has_accounts = config.is_some_and(|c| c.accounts.is_some());
        if has_accounts && self.cx.shared.config_age() >= MAX_CONFIG_AGE {
            return Err((call.id, Said::NotTaken));
        }
        match access::recheck(config, &call) {
            Access::Granted(account) if account == call.account => Ok(call),
            Access::Granted(account) if self.is_assigned_here(account, &call) => {
                call.account = account.to_owned();
                Ok(call)
            }
            // The entry process didn't know the account and routed the call to the wrong partition.
            Access::Granted(_) => Err((call.id, Said::NotTaken)),
            Access::Unknown => Err((call.id, Said::UnknownKey)),
        }
    }

    /// Returns true if the account's jobs belong to this partition. Counts are sent to all
    /// partitions.
    fn is_assigned_here(&self, account: &str, call: &Call) -> bool {
        let assigned = self.cx.shared.partition_of(account, JobId(call.job));
        call.verb() == Verb::Waiting || assigned.is_some_and(|p| p.number == self.info.partition)
    }

    /// Refuses new jobs that wait behind a stalled batch and have not been sent to the store.
    pub(super) fn refuse_unsent_jobs(&mut self, now: Millis) {
        if self.batches.is_stalled(now) {
            for job in self.engine.withdraw_unsent() {
                self.waiting_calls.refuse(job);
            }
        }
    }
}
