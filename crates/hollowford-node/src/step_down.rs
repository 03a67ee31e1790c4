//! Decides when an owner steps down, and hands its partition over.

use crate::batches::Batches;
use crate::callers::WaitingCalls;
use crate::members::Members;
use crate::owner::OwnerEnd;
use crate::shared::Shared;
use hollowford_core::Millis;
use std::sync::Arc;
use tokio::sync::oneshot;

/// How long members have to join a new owner before it looks for a larger one among them.
const MEMBERS_JOIN_TIME: Millis = Millis(400);
/// How long a stopping owner waits for its last batch. Without that batch's outcome the next owner
/// has to read the owner row first, and callers may not learn the outcome of their last requests. A
/// slow store takes 0.9 s.
const FLUSH_TIMEOUT: Millis = Millis(1_200);

/// Whether and why an owner steps down. All times are by the process's clock.
#[derive(Debug)]
pub struct StepDown {
    shared: Arc<Shared>,
    epoch: u64,
    started_at: Millis,
    /// Channel on which the stopping process waits for the hand-over, and when the stop was
    /// requested.
    stop_requested: Option<(oneshot::Sender<()>, Millis)>,
    /// Since when the partition is being moved to a larger instance.
    moving_since: Option<Millis>,
}

impl StepDown {
    /// Creates the state of an owner that starts now and doesn't step down.
    pub fn new(shared: Arc<Shared>, epoch: u64) -> StepDown {
        let started_at = shared.clock.now();
        StepDown { shared, epoch, started_at, stop_requested: None, moving_since: None }
    }

    /// Starts to step down because the process is stopping; `done` is sent to when the owner has
    /// ended.
    pub fn stop(&mut self, done: oneshot::Sender<()>) {
        log::info!("owner.stopping epoch={}", self.epoch);
        self.stop_requested = Some((done, self.shared.clock.now()));
    }

    /// Returns since when the owner has been stepping down; `None` if it isn't.
    pub fn since(&self) -> Option<Millis> {
        self.stop_requested.as_ref().map(|(_, since)| *since).or(self.moving_since)
    }

    /// Starts to step down if a live member is a much larger instance: the first process to take
    /// over may be too small for the partition's load.
    pub fn check_for_larger_member(&mut self, members: &Members) {
        let now = self.shared.clock.now();
        let joined = now.since(self.started_at) >= MEMBERS_JOIN_TIME;
        let own_share = self.shared.cpu_milli() / self.shared.owned_count().max(1);
        if self.since().is_none() && joined && members.any_larger_than(own_share) {
            log::info!("owner.moving epoch={} cause=larger_member share={own_share}", self.epoch);
            self.moving_since = Some(now);
        }
    }

    /// Hands over to a member once the owner is stepping down and all batches are written and all
    /// calls answered, or [`FLUSH_TIMEOUT`] has passed.
    pub fn hand_over_if_due(
        &self,
        batches: &Batches,
        waiting_calls: &WaitingCalls,
        members: &Members,
    ) -> Option<OwnerEnd> {
        let waited = self.shared.clock.now().since(self.since()?);
        let flushed = batches.is_idle() && waiting_calls.is_empty();
        if !flushed && waited < FLUSH_TIMEOUT {
            return None;
        }
        let rev = batches.stable_owner_rev().unwrap_or(0);
        let to = members.hand_over(rev, self.moving_since.is_some());
        log::info!("owner.handed_over epoch={} to={to:?} flushed={flushed}", self.epoch);
        Some(OwnerEnd::HandedOver)
    }

    /// Reports to the stopping process that the owner has ended.
    pub fn report_ended(&mut self) {
        if let Some((done, _)) = self.stop_requested.take() {
            // The stopping process may have given up waiting.
            let _ = done.send(());
        }
    }
}
