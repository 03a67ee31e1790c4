//! The owner of the partition: one task that drives the engine and carries out its orders.

mod caller_calls;
#[cfg(test)]
mod joining_tests;
mod view;
mod worker_calls;

use crate::batches::Batches;
use crate::callers::Waiters;
use crate::delegation::{Delegation, Delivered};
use crate::giving_up::GivingUp;
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::LANES;
use crate::logs::DecisionLog;
use crate::members::{LinkId, Members};
use crate::partition::Cx;
use crate::reach::Reach;
use crate::registry;
use crate::shared::Shared;
use crate::wire::{MemberBeat, OwnerInfo, Said};
use crate::writer::Written;
use hollowford_adapter::{Config, NodeSettings, Version, WorkerClient};
use hollowford_core::Millis;
use hollowford_jobs::{Engine, Order, Stats};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Messages taken before the engine is polled.
const DRAIN: usize = 256;
/// Longest time between two polls of the engine.
const TICK: Duration = Duration::from_millis(10);
/// Members that come or go within this time are taken in together: what uses them is told the
/// whole list each time.
const MEMBERS_GATHER: Millis = Millis(20);
/// Members are asked whether the store answers them once a batch hangs for so long.
const PROBE_AFTER: Millis = Millis(300);

/// Why an owner ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerEnd {
    /// Another process owns the partition.
    Deposed,
    /// It was handed over.
    HandedOver,
    /// It gave up: what the store holds can't be read, or nobody was within reach.
    GaveUp,
}

/// What the owner starts from.
pub struct Start {
    /// Who it is.
    pub info: OwnerInfo,
    /// Version of each lane's row.
    pub lanes: [Version; LANES],
    /// The engine, with what the store held.
    pub engine: Engine,
    /// The engine's time less the process's.
    pub offset: i64,
}

/// The owner.
pub struct Owner {
    cx: Cx,
    info: OwnerInfo,
    engine: Engine,
    /// The engine's time less the process's.
    offset: i64,
    workers: WorkerClient,
    delegation: Delegation,
    handle: OwnerHandle,
    members: Members,
    /// Members have come or gone since those who use them were told last.
    members_changed: bool,
    /// When they were told last.
    members_told: Millis,
    waiters: Waiters,
    /// Empty between two polls; kept for its room.
    orders: Vec<Order>,
    decisions: DecisionLog,
    batches: Batches,
    reach: Reach,
    /// Version of the configuration that the engine has.
    config: u64,
    settings: watch::Receiver<NodeSettings>,
    /// When the gauges were renewed last.
    viewed: Millis,
    /// The engine's counters as they were then.
    shown: Stats,
    giving_up: GivingUp,
    end: Option<OwnerEnd>,
}

impl Owner {
    /// Makes an owner.
    pub fn new(cx: Cx, start: Start, handle: OwnerHandle) -> Owner {
        let Start { info, lanes, engine, offset } = start;
        let (shared, part) = (&cx.shared, cx.partition.part.clone());
        let giving_up = GivingUp::new(shared.clone(), info.epoch);
        let workers = shared.workers.with_fence(info.epoch);
        let delegation = Delegation::new(info.epoch, engine_time(shared, offset));
        let batches = Batches::new(shared.clone(), info.clone(), part, lanes, handle.clone());
        Owner {
            members: Members::new(info.clone(), shared.partition_count()),
            reach: Reach::new(shared.clone(), info.epoch),
            settings: shared.settings_changed.subscribe(),
            cx,
            info,
            engine,
            offset,
            workers,
            delegation,
            handle,
            members_changed: false,
            members_told: Millis(0),
            waiters: Waiters::default(),
            orders: Vec::new(),
            decisions: DecisionLog::default(),
            batches,
            config: 0,
            viewed: Millis(0),
            shown: Stats::default(),
            giving_up,
            end: None,
        }
    }

    /// Returns the engine's time.
    fn now(&self) -> Millis {
        engine_time(&self.cx.shared, self.offset)
    }

    /// Owns the partition until it is lost or given up.
    pub async fn run(mut self, mut rx: mpsc::Receiver<OwnerMsg>) -> OwnerEnd {
        tokio::spawn(registry::follow(self.cx.clone(), self.handle.clone()));
        self.engine.set_advice_channels(&self.members.seats());
        while self.end.is_none() {
            if let Ok(Some(msg)) = timeout(TICK, rx.recv()).await {
                self.take(msg);
                for _ in 0..DRAIN {
                    let Ok(msg) = rx.try_recv() else { break };
                    self.take(msg);
                }
            }
            self.act(rx.is_empty());
        }
        self.finish(rx)
    }

    /// Sends all that wait to the next owner, and tells why this one ended.
    fn finish(mut self, mut rx: mpsc::Receiver<OwnerMsg>) -> OwnerEnd {
        rx.close();
        while let Ok(msg) = rx.try_recv() {
            if let OwnerMsg::Call(call, reply) = msg {
                reply.send(call.id, Said::NotOwner, 0);
            }
        }
        self.waiters.fail_all();
        self.giving_up.tell_ended();
        self.end.unwrap_or(OwnerEnd::GaveUp)
    }

    fn take(&mut self, msg: OwnerMsg) {
        let now = self.now();
        match msg {
            OwnerMsg::Call(call, reply) => self.take_call(call, reply, now),
            OwnerMsg::Worker { call, called, sent, at } => {
                self.take_worker(Delivered { call, called, sent, at }, now);
            }
            OwnerMsg::Outcomes(link, outcomes) => {
                for delivered in self.delegation.take(link, outcomes, now) {
                    self.take_worker(delivered, now);
                }
            }
            OwnerMsg::Advised { seat, step, answer } => {
                self.engine.advice_answered(&seat, step, answer, now);
            }
            OwnerMsg::Written { batch, written } => self.take_written(batch, written, now),
            OwnerMsg::Listings(list) => {
                self.delegation.set_workers(&list);
                self.engine.list_workers(&list, now);
            }
            OwnerMsg::WorkerChanges(changes) => self.members.send_workers(&changes),
            OwnerMsg::Joined(link, hello, outbox) => {
                let (address, age) = (&hello.address, hello.age_ms);
                log::info!("member.joined link={link} address={address} age_ms={age}");
                self.members.join(link, hello, outbox, self.cx.shared.clock.now());
                self.members.greet(link, self.cx.shared.config_known());
                self.members_changed = true;
            }
            OwnerMsg::Left(link) => {
                log::info!("member.left link={link}");
                self.members.leave(link);
                self.delegation.left(link, now);
                self.members_changed = true;
            }
            OwnerMsg::Beat(link, beat) => self.take_beat(link, &beat),
            OwnerMsg::Stop(done) => self.giving_up.stop(done),
        }
    }

    /// Sends the heartbeats that are due, and tells those who use the members which of them can be
    /// used, if that may have changed.
    fn tend_members(&mut self, now: Millis) {
        let lost = self.batches.is_unmade_for(PROBE_AFTER, now);
        let shared = &self.cx.shared;
        let all_told = self.members.tick(shared.clock.now(), shared.config_known(), lost);
        let gathered = now.since(self.members_told) >= MEMBERS_GATHER;
        if all_told || (self.members_changed && gathered) {
            self.members_changed = false;
            self.members_told = now;
            self.engine.set_advice_channels(&self.members.seats());
            self.delegation.set_members(self.members.delegates(), now);
        }
    }

    fn take_beat(&mut self, link: LinkId, beat: &MemberBeat) {
        let heard = self.cx.shared.clock.now();
        self.reach.member_heard(heard);
        self.members.beat(link, beat, heard);
        let version = self.cx.shared.config_version();
        if beat.config > version {
            self.cx.shared.config_wanted.notify_one();
        } else if beat.config < version {
            self.send_config();
        }
        if beat.epoch > self.info.epoch {
            log::warn!("owner.deposed epoch={} newer={}", self.info.epoch, beat.epoch);
            self.end = Some(OwnerEnd::Deposed);
        }
    }

    fn take_written(&mut self, batch: u64, written: Written, now: Millis) {
        self.batches.note(batch, &written, now);
        match written {
            Written::Made { .. } => {
                self.engine.committed(batch, now);
                self.waiters.committed(&self.engine);
            }
            Written::Deposed(by) => {
                log::warn!(
                    "owner.deposed epoch={} by={} at={}",
                    self.info.epoch,
                    by.epoch,
                    by.address
                );
                self.cx.partition.note_owner_info(&by);
                self.end = Some(OwnerEnd::Deposed);
            }
            Written::Refused => self.engine.batch_refused(batch),
            Written::Inconsistent => self.end = Some(OwnerEnd::GaveUp),
        }
    }

    /// Lets the engine decide, carries out its orders and writes the next batch. `heard_all` tells
    /// that no message waits.
    fn act(&mut self, heard_all: bool) {
        let now = self.now();
        self.take_config(now);
        self.cx.note_owner();
        self.tend_members(now);
        for delivered in self.delegation.overdue(heard_all, now) {
            self.take_worker(delivered, now);
        }
        let mut orders = std::mem::take(&mut self.orders);
        if self.end.is_none() && !self.delegation.awaits_members(now) {
            self.engine.poll(now, &mut orders);
        }
        for order in orders.drain(..) {
            self.carry_out(order, now);
        }
        self.orders = orders;
        self.delegation.send(now);
        self.decisions.write(&self.engine.take_events(), now);
        self.refuse_unsent(now);
        let last_sent = self.giving_up.since().is_some() && self.waiters.is_empty();
        if !last_sent {
            self.batches.write_next(&mut self.engine, now);
        }
        self.waiters.give_up(&mut self.engine, now);
        if let Some(end) = self.reach.check(&self.batches, &self.members, now) {
            self.end = Some(end);
        }
        self.giving_up.check_size(&self.members);
        let end = self.giving_up.hand_over_if_due(&self.batches, &self.waiters, &self.members);
        if let Some(end) = end {
            self.end = Some(end);
        }
        self.renew_view(now);
    }

    fn take_config(&mut self, now: Millis) {
        if self.settings.has_changed().unwrap_or(false) {
            let bounds = self.settings.borrow_and_update().bounds;
            self.engine.set_time_limits(bounds);
        }
        let version = self.cx.shared.config_version();
        if version != self.config
            && let Some(config) = self.cx.shared.config.load_full()
        {
            self.config = version;
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

/// Returns the engine's time, which is ahead of the process's by `offset`.
fn engine_time(shared: &Shared, offset: i64) -> Millis {
    Millis((shared.clock.now().0 as i64 + offset).max(0) as u64)
}
