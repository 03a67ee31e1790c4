//! Handles callers' requests: authorization and admission.

use super::Owner;
use super::ownership_proof::ReceivedCall;
use crate::access::{self, Access, MAX_CONFIG_AGE};
use crate::callers::call_timeout;
use crate::wire::{Call, Said, Verb};
use hollowford_core::Millis;
use hollowford_jobs::JobId;

impl Owner {
    /// Accepts a request or answers it at once. It is rejected if its key is unknown, if this owner
    /// is stepping down, or if the store cannot commit a new job before the caller's time limit. It
    /// is held while the answer would need a proof that this process still owns the partition.
    pub(super) fn handle_call(&mut self, mut received: ReceivedCall, now: Millis) {
        if received.call.config > self.cx.shared.config_version() {
            self.cx.shared.config_wanted.notify_one();
        }
        if self.step_down.since().is_some() {
            return received.answer(Said::NotOwner);
        }
        if !self.ownership_proof.holds_since_pause() {
            return self.ownership_proof.hold_since_pause(received);
        }
        match self.authorize(&received.call) {
            Ok(account) => received.call.account = account,
            Err(said) => return received.answer(said),
        }
        if self.knows_no_state(&received.call) && !self.ownership_proof.holds_for(&received) {
            return self.ownership_proof.hold_since_arrival(received);
        }
        let ReceivedCall { mut call, reply, received_at } = received;
        // A held call has used up part of its caller's time limit; 0 means that there is none.
        if call.limit_ms > 0 {
            call.limit_ms = Millis(call.limit_ms).since(now.since(received_at)).0.max(1);
        }
        let admitted = self.batches.admits_job(&self.engine, call_timeout(&call), now);
        self.waiting_calls.handle(&mut self.engine, call, reply, admitted, now);
    }

    /// Returns true if the call asks for a job of which this owner has no stored state, so that the
    /// answer may be that the job doesn't exist.
    fn knows_no_state(&self, call: &Call) -> bool {
        let asks_for_job = matches!(call.verb(), Verb::State | Verb::Cancel);
        asks_for_job && self.engine.state(JobId(call.job)).is_none()
    }

    /// Returns the client account on whose behalf a call is made, or the answer if the call is
    /// rejected.
    fn authorize(&self, call: &Call) -> Result<String, Said> {
        let config = self.cx.shared.config.load();
        let config = config.as_deref();
        let has_accounts = config.is_some_and(|c| c.accounts.is_some());
        if has_accounts && self.cx.shared.config_age() >= MAX_CONFIG_AGE {
            return Err(Said::NotTaken);
        }
        match access::recheck(config, call) {
            Access::Granted(account)
                if account == call.account || self.is_assigned_here(account, call) =>
            {
                Ok(account.to_owned())
            }
            // The entry process didn't know the account and routed the call to the wrong partition.
            Access::Granted(_) => Err(Said::NotTaken),
            Access::Unknown => Err(Said::UnknownKey),
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
