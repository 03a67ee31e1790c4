//! Callers' requests: for whom they are made, and whether they are taken now.

use super::Owner;
use crate::access::{self, Access, MAX_CONFIG_AGE};
use crate::callers::call_timeout;
use crate::inbox::Reply;
use crate::wire::{Call, Said, Verb};
use hollowford_core::Millis;
use hollowford_jobs::JobId;

impl Owner {
    /// Takes a request, or answers it at once: when it is made for nobody that is known, when this
    /// owner gives up, or when its acceptance could not be in the store in time.
    pub(super) fn handle_call(&mut self, call: Call, reply: Reply, now: Millis) {
        if call.config > self.cx.shared.config_version() {
            self.cx.shared.config_wanted.notify_one();
        }
        if self.giving_up.since().is_some() {
            reply.send(call.id, Said::NotOwner, 0);
            return;
        }
        let call = match self.authorize(call) {
            Ok(call) => call,
            Err((id, said)) => return reply.send(id, said, 0),
        };
        let limit = call_timeout(&call);
        let admitted = self.batches.admits_job(&self.engine, limit, now);
        self.waiters.handle(&mut self.engine, call, reply, admitted, now);
    }

    /// Checks for whom a call is made, and names that account in it; else tells the answer.
    fn authorize(&self, mut call: Call) -> Result<Call, (u64, Said)> {
        let config = self.cx.shared.config.load();
        let config = config.as_deref();
        let has_accounts = config.is_some_and(|c| c.accounts.is_some());
        if has_accounts && self.cx.shared.config_age() >= MAX_CONFIG_AGE {
            return Err((call.id, Said::NotTaken));
        }
        match access::recheck(config, &call) {
            Access::Granted(account) if account == call.account => Ok(call),
            Access::Granted(account) if self.is_home_partition(account, &call) => {
                call.account = account.to_owned();
                Ok(call)
            }
            // The entry didn't know the account, and so came to another home.
            Access::Granted(_) => Err((call.id, Said::NotTaken)),
            Access::Unknown => Err((call.id, Said::UnknownKey)),
        }
    }

    /// Tells whether jobs of an account belong here; a count is asked of all partitions.
    fn is_home_partition(&self, account: &str, call: &Call) -> bool {
        let home = self.cx.shared.partition_of(account, JobId(call.job));
        call.verb() == Verb::Waiting || home.is_some_and(|p| p.number == self.info.partition)
    }

    /// Refuses the jobs that wait behind a batch that hangs: of them nothing was sent.
    pub(super) fn refuse_unsent(&mut self, now: Millis) {
        if self.batches.is_stalled(now) {
            for job in self.engine.withdraw_unsent() {
                self.waiters.refuse(job);
            }
        }
    }
}
