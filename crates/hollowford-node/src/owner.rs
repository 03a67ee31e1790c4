//! The partition owner: one task that drives the scheduling engine and executes its orders.

mod caller_calls;
#[cfg(test)]
mod joining_tests;
mod lease_renewal;
#[cfg(test)]
mod lease_renewal_tests;
mod membership;
mod ownership_proof;
#[cfg(test)]
mod ownership_proof_tests;
#[cfg(test)]
mod test_owner;
mod view;
mod worker_calls;

use crate::batches::Batches;
use crate::callers::WaitingCalls;
use crate::delegation::{CallOutcome, Delegation};
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::LANE_COUNT;
use crate::logs::DecisionLog;
use crate::members::Members;
use crate::partition::PartitionContext;
use crate::reachability::Reachability;
use crate::registry;
use crate::shared::Shared;
use crate::step_down::StepDown;
use crate::wire::{OwnerInfo, RenewalTerms, Said};
use crate::writer::BatchOutcome;
use hollowford_adapter::{Config, NodeSettings, Version, WorkerClient};
use hollowford_core::Millis;
use hollowford_jobs::{Engine, Order, Stats};
use lease_renewal::LeaseRenewal;
use ownership_proof::{OwnershipProof, ReceivedCall};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Maximum number of messages handled between two polls of the engine.
const MAX_MESSAGES_PER_POLL: usize = 256;
/// Maximum time between two polls of the engine.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The reason an owner ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEnd {
    /// Another process owns the partition.
    Deposed,
    /// The partition was handed over to a member.
    HandedOver,
    /// The owner gave up because the stored data is unreadable or neither the store nor a member
    /// could be reached.
    GaveUp,
}

/// The state from which a new owner starts.
pub struct RecoveredState {
    /// The epoch, partition and process of the owner.
    pub info: OwnerInfo,
    /// Version of each lane's row.
    pub lanes: [Version; LANE_COUNT],
    /// What the owner row says of leases.
    pub terms: RenewalTerms,
    /// The engine, recovered from the stored rows.
    pub engine: Engine,
    /// Engine time minus process time, in milliseconds.
    pub clock_offset: i64,
    /// When the read of the rows was begun, in engine time.
    pub read_at: Millis,
}

/// Owner of one partition. Holds the engine and everything that executes its orders.
pub struct Owner {
    cx: PartitionContext,
    info: OwnerInfo,
    engine: Engine,
    /// Engine time minus process time, in milliseconds.
    clock_offset: i64,
    workers: WorkerClient,
    delegation: Delegation,
    handle: OwnerHandle,
    members: Members,
    /// Whether members have joined or left since the last membership update.
    members_changed: bool,
    members_updated_at: Millis,
    waiting_calls: WaitingCalls,
    ownership_proof: OwnershipProof,
    lease_renewal: LeaseRenewal,
    /// Buffer reused across polls; empty between them.
    orders: Vec<Order>,
    decisions: DecisionLog,
    batches: Batches,
    reachability: Reachability,
    /// Version of the configuration that the engine uses.
    config_version: u64,
    settings: watch::Receiver<NodeSettings>,
    /// Time of the last update of the gauges.
    view_updated_at: Millis,
    /// Engine counters at the last update of the gauges.
    reported_stats: Stats,
    step_down: StepDown,
    end: Option<OwnerEnd>,
}

impl Owner {
    /// Creates the owner from the recovered state.
    pub fn new(cx: PartitionContext, state: RecoveredState, handle: OwnerHandle) -> Owner {
        let RecoveredState { info, lanes, terms, engine, clock_offset, read_at } = state;
        let (shared, part) = (&cx.shared, cx.partition.part.clone());
        let step_down = StepDown::new(shared.clone(), info.epoch);
        let workers = shared.workers.with_fence(info.epoch);
        let delegation = Delegation::new(info.epoch, engine_time(shared, clock_offset));
        let batches =
            Batches::new(shared.clone(), info.clone(), part, lanes, terms, handle.clone());
        let ownership_proof = OwnershipProof::new(engine_time(shared, clock_offset));
        Owner {
            members: Members::new(info.clone(), shared.partition_count()),
            reachability: Reachability::new(shared.clone(), info.epoch),
            settings: shared.settings_changed.subscribe(),
            cx,
            info,
            engine,
            clock_offset,
            workers,
            delegation,
            handle,
            members_changed: false,
            members_updated_at: Millis(0),
            waiting_calls: WaitingCalls::default(),
            ownership_proof,
            lease_renewal: LeaseRenewal::new(read_at),
            orders: Vec::new(),
            decisions: DecisionLog::default(),
            batches,
            config_version: 0,
            view_updated_at: Millis(0),
            reported_stats: Stats::default(),
            step_down,
            end: None,
        }
    }

    /// Returns the current engine time.
    fn now(&self) -> Millis {
        engine_time(&self.cx.shared, self.clock_offset)
    }

    /// Runs the owner until it loses the partition or steps down.
    pub async fn run(mut self, mut rx: mpsc::Receiver<OwnerMsg>) -> OwnerEnd {
        tokio::spawn(registry::follow(self.cx.clone(), self.handle.clone()));
        self.engine.set_advice_channels(&self.members.advice_channels());
        while self.end.is_none() {
            if let Ok(Some(msg)) = timeout(MAX_POLL_INTERVAL, rx.recv()).await {
                self.handle_message(msg);
                for _ in 0..MAX_MESSAGES_PER_POLL {
                    let Ok(msg) = rx.try_recv() else { break };
                    self.handle_message(msg);
                }
            }
            self.poll_engine(rx.is_empty());
        }
        self.shut_down(rx)
    }

    /// Refers the remaining callers to the next owner and returns why this one ended.
    fn shut_down(mut self, mut rx: mpsc::Receiver<OwnerMsg>) -> OwnerEnd {
        rx.close();
        while let Ok(msg) = rx.try_recv() {
            if let OwnerMsg::Call(call, reply) = msg {
                reply.send(call.id, Said::NotOwner, 0);
            }
        }
        self.ownership_proof.answer_not_owner();
        self.waiting_calls.answer_deposed();
        self.step_down.report_ended();
        self.end.unwrap_or(OwnerEnd::GaveUp)
    }

    fn handle_message(&mut self, msg: OwnerMsg) {
        let now = self.now();
        self.record_poll(now);
        match msg {
            OwnerMsg::Call(call, reply) => {
                self.handle.record_taken(&call);
                self.handle_call(ReceivedCall { call, reply, received_at: now }, now);
            }
            OwnerMsg::WorkerAnswer { call, called, sent, timing } => {
                self.handle_worker_answer(CallOutcome { call, called, sent, timing }, now);
            }
            OwnerMsg::Outcomes(link, outcomes) => {
                for outcome in self.delegation.receive_outcomes(link, outcomes, now) {
                    self.handle_worker_answer(outcome, now);
                }
            }
            OwnerMsg::AdviceAnswered { advice_channel, step, answer } => {
                self.engine.advice_answered(&advice_channel, step, answer, now);
            }
            OwnerMsg::BatchFinished { batch, outcome } => {
                self.handle_batch_outcome(batch, outcome, now)
            }
            OwnerMsg::OwnerRowRead { started_at, owner } => {
                self.handle_owner_row(started_at, owner, now);
            }
            OwnerMsg::EarlierOwnerEnded => {
                self.engine.earlier_owner_ended(now);
                self.batches.forget_earlier_leases();
            }
            OwnerMsg::WorkerList(list) => {
                self.delegation.set_workers(&list);
                self.engine.set_worker_list(&list, now);
            }
            OwnerMsg::WorkerChanges(changes) => self.members.send_worker_changes(&changes),
            OwnerMsg::Joined(link, hello, outbox) => {
                let (address, age) = (&hello.address, hello.age_ms);
                log::info!("member.joined link={link} address={address} age_ms={age}");
                self.members.join(link, hello, outbox, self.cx.shared.clock.now());
                self.members.send_first_heartbeat(link, self.cx.shared.known_config());
                self.members_changed = true;
            }
            OwnerMsg::Left(link) => {
                log::info!("member.left link={link}");
                self.members.leave(link);
                self.delegation.member_left(link, now);
                self.members_changed = true;
            }
            OwnerMsg::HeartbeatReceived(link, heartbeat) => self.handle_heartbeat(link, &heartbeat),
            OwnerMsg::Stop(done) => self.step_down.stop(done),
        }
    }

    fn handle_batch_outcome(&mut self, batch: u64, outcome: BatchOutcome, now: Millis) {
        if let Some(started_at) = self.batches.record_outcome(batch, &outcome, now) {
            self.lease_renewal.record_store_confirmation(started_at);
        }
        match outcome {
            BatchOutcome::Made { .. } => {
                self.engine.batch_committed(batch, now);
                self.waiting_calls.answer_committed(&self.engine);
            }
            BatchOutcome::Deposed(by) => self.end_as_deposed(&by),
            BatchOutcome::Refused => self.engine.batch_refused(batch),
            BatchOutcome::Inconsistent => self.end = Some(OwnerEnd::GaveUp),
        }
    }

    /// Ends this owner because the store names another one.
    fn end_as_deposed(&mut self, by: &OwnerInfo) {
        let (epoch, newer, address) = (self.info.epoch, by.epoch, &by.address);
        log::warn!("owner.deposed epoch={epoch} by={newer} at={address}");
        self.cx.partition.record_owner(by);
        self.end = Some(OwnerEnd::Deposed);
    }

    /// Ends this owner if its process has been told of a newer one. The process reports that one to
    /// others, who then rely on this one having ended.
    fn end_if_replaced(&mut self) {
        let newest = self.cx.partition.owner.borrow().clone();
        if self.end.is_none() && newest.epoch > self.info.epoch {
            self.end_as_deposed(&newest);
        }
    }

    /// Polls the engine, executes its orders and writes the next batch. `inbox_is_empty` is true if
    /// no message is waiting to be handled.
    fn poll_engine(&mut self, inbox_is_empty: bool) {
        let now = self.now();
        self.record_poll(now);
        self.apply_config(now);
        self.cx.record_owner_contact();
        self.update_members(now);
        self.end_if_replaced();
        self.check_lease_renewal(now);
        for outcome in self.delegation.take_overdue(inbox_is_empty, now) {
            self.handle_worker_answer(outcome, now);
        }
        let mut orders = std::mem::take(&mut self.orders);
        if self.end.is_none() && !self.delegation.awaits_members(now) {
            self.engine.poll(now, &mut orders);
        }
        for order in orders.drain(..) {
            self.execute_order(order, now);
        }
        self.orders = orders;
        self.delegation.send(now);
        self.decisions.write(&self.engine.take_events(), now);
        self.refuse_unsent_jobs(now);
        let all_answered = self.step_down.since().is_some() && self.waiting_calls.is_empty();
        if !all_answered {
            self.batches.write_next(&mut self.engine, &self.members, now);
        }
        self.waiting_calls.answer_expired(&mut self.engine, now);
        self.prove_ownership(now);
        if let Some(end) = self.reachability.check(&self.batches, &self.members, now) {
            self.end = Some(end);
        }
        self.step_down.check_for_larger_member(&self.members);
        let end =
            self.step_down.hand_over_if_due(&self.batches, &self.waiting_calls, &self.members);
        if let Some(end) = end {
            self.end = Some(end);
        }
        self.update_view(now);
    }

    fn apply_config(&mut self, now: Millis) {
        if self.settings.has_changed().unwrap_or(false) {
            let (time_limits, features) = {
                let settings = self.settings.borrow_and_update();
                (settings.time_limits, settings.features)
            };
            self.engine.set_time_limits(time_limits);
            self.engine.set_features(features);
        }
        let version = self.cx.shared.config_version();
        if version != self.config_version
            && let Some(config) = self.cx.shared.config.load_full()
        {
            self.config_version = version;
            self.engine.set_queues(&config.queues, now);
            self.set_accounts(&config);
            self.send_config();
        }
    }

    fn set_accounts(&mut self, config: &Config) {
        let accounts = config.accounts.as_deref().unwrap_or_default();
        self.engine.set_accounts(accounts);
    }

    fn send_config(&mut self) {
        if let Some(row) = self.cx.shared.config_row() {
            self.members.send_config(self.cx.shared.config_version(), &row);
        }
    }
}

/// Returns the engine time, which is `clock_offset` ahead of the process's clock.
fn engine_time(shared: &Shared, clock_offset: i64) -> Millis {
    to_engine_time(shared.clock.now(), clock_offset)
}

/// Converts a time of the process's clock, of which engine time is `clock_offset` ahead.
fn to_engine_time(at: Millis, clock_offset: i64) -> Millis {
    Millis((at.0 as i64 + clock_offset).max(0) as u64)
}
