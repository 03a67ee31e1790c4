//! An owned partition: its engine, its waiting calls and the actions to send.

use super::TakenPartition;
use super::waiting_calls::{DurableReply, WaitCondition, WaitingCall, WaitingCalls};
use crate::codec;
use crate::ledger::{LedgerHandle, LedgerItem};
use crate::ownership::OwnerLease;
use crate::shared::Shared;
use crate::views::view_to_wire;
use crate::workers::{AddressedOrder, WorkerMsg};
use hollowford_config::PartitionBy;
use hollowford_core::{Error, ErrorKind, InstanceId, Millis, PartitionId, RequestNo, hash64};
use hollowford_engine::{Action, Authority, Engine, Record, Stats, WorkerListing};
use hollowford_platform::rows::Instance;
use hollowford_protocol::peer::{Said, ViewReply};
use hollowford_protocol::v1;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

pub(super) struct OwnedPartition {
    pub shared: Arc<Shared>,
    pub engine: Engine,
    pub lease: Arc<OwnerLease>,
    pub ledger: LedgerHandle,
    pub waiting_calls: WaitingCalls,
    /// Open session of each claimed worker. Each order names its session, so that it can't
    /// reach the worker in a later one.
    pub sessions: HashMap<InstanceId, u64>,
    /// Actions of the engine that are not sent yet.
    pub actions: Vec<Action>,
    /// Position up to which the engine knows the ledger to be durable.
    durable_seq: u64,
    /// The engine's counters when the metrics were last updated.
    counted_stats: Stats,
    records_since_snapshot: u64,
}

impl OwnedPartition {
    /// Replays the recovered records and activates the engine.
    pub fn new(shared: &Arc<Shared>, taken: TakenPartition, now: Millis) -> OwnedPartition {
        let policy = shared.settings.policy.clone();
        let mut engine = Engine::new(taken.partition, taken.lease.epoch, policy);
        let records_since_snapshot = taken.records.len() as u64;
        for record in taken.records {
            engine.replay(now, record);
        }
        let mut actions = Vec::new();
        engine.activate(now, &mut actions);
        let mut owned = OwnedPartition {
            shared: shared.clone(),
            engine,
            lease: taken.lease,
            ledger: taken.ledger,
            waiting_calls: WaitingCalls::default(),
            sessions: HashMap::new(),
            actions,
            durable_seq: 0,
            counted_stats: Stats::default(),
            records_since_snapshot,
        };
        owned.apply_accounts();
        owned
    }

    /// Passes the active configuration of all client accounts to the engine.
    pub fn apply_accounts(&mut self) {
        let accounts = self.shared.accounts.load();
        for entry in accounts.accounts.values() {
            self.engine.set_account(&entry.id, entry.policy());
        }
    }

    pub fn apply_instance_list(&mut self, now: Millis, list: &[Instance]) {
        let s = &self.shared.settings;
        let partition = self.engine.partition();
        let ours =
            |i: &&Instance| partition_of_worker(i, s.partition_by, s.partitions) == partition;
        let listed: Vec<WorkerListing> = list
            .iter()
            .filter(ours)
            .map(|i| WorkerListing {
                id: i.id.as_str().into(),
                zone: i.zone.as_str().into(),
                rack: i.rack.as_str().into(),
                leaving: i.leaving,
            })
            .collect();
        self.engine.set_worker_list(now, &listed, &mut self.actions);
        self.end_unlisted_sessions(now, &listed);
    }

    /// Ends the sessions of workers that are no longer listed. Their tasks count as lost once
    /// their leases have expired.
    fn end_unlisted_sessions(&mut self, now: Millis, listed: &[WorkerListing]) {
        let ids: HashSet<&InstanceId> = listed.iter().map(|l| &l.id).collect();
        let unlisted: Vec<InstanceId> =
            self.sessions.keys().filter(|id| !ids.contains(id)).cloned().collect();
        for worker in unlisted {
            self.sessions.remove(&worker);
            self.engine.session_ended(now, &worker, &mut self.actions);
        }
    }

    /// Processes a worker's reply to a claim.
    pub fn worker_claimed(
        &mut self,
        now: Millis,
        worker: InstanceId,
        session: u64,
        report: &v1::Report,
    ) {
        if let Some(v1::report::Report::Claimed(reply)) = &report.report {
            let claim = codec::claim_from_wire(reply, report.clock_ms);
            self.sessions.insert(worker.clone(), session);
            self.engine.worker_claimed(now, &worker, &claim, &mut self.actions);
        }
    }

    /// Processes a worker's report. Reports of earlier sessions are ignored.
    pub fn worker_reported(
        &mut self,
        now: Millis,
        worker: &InstanceId,
        session: u64,
        r: &v1::Report,
    ) {
        use v1::report::Report;
        if self.sessions.get(worker) != Some(&session) {
            return;
        }
        self.engine.record_clock(now, worker, r.clock_ms);
        let actions = &mut self.actions;
        match &r.report {
            Some(Report::Started(v1::Started { task: Some(task) })) => {
                self.engine.task_started(now, worker, &codec::task_from_wire(task), actions);
            }
            Some(Report::Ended(ended)) => {
                if let Some(report) = codec::ended_from_wire(ended) {
                    self.engine.task_ended(now, worker, &report, actions);
                }
            }
            Some(Report::Refused(v1::Refused { task: Some(task), .. })) => {
                self.engine.start_refused(now, worker, &codec::task_from_wire(task), actions);
            }
            Some(Report::Usage(u)) => {
                let tasks = codec::usage_from_wire(&u.tasks);
                self.engine.usage_reported(now, worker, u.leaving, &tasks, actions);
            }
            _ => {}
        }
    }

    /// Records the end of a session. Ignored if the worker has another session by now.
    pub fn session_ended(&mut self, now: Millis, worker: &InstanceId, session: u64) {
        if self.sessions.get(worker) == Some(&session) {
            self.sessions.remove(worker);
            self.engine.session_ended(now, worker, &mut self.actions);
        }
    }

    /// Reads the progress of the ledger, and answers the calls that waited for it.
    pub fn read_ledger_progress(&mut self) {
        // Without the ownership lease the ledger can't be written either.
        let lease_expired = self.authority(self.shared.clock.now()) != Authority::Full;
        let stalled = self.ledger.is_stalled() || lease_expired;
        self.engine.set_ledger_stalled(stalled);
        let no_takeover_until = if stalled { self.shared.no_takeover_until() } else { Millis(0) };
        self.engine.set_no_takeover_until(no_takeover_until);
        let durable_seq = self.ledger.durable_seq();
        if durable_seq > self.durable_seq {
            self.durable_seq = durable_seq;
            self.engine.set_durable(durable_seq, &mut self.actions);
            for (content, reply) in self.waiting_calls.take_durable(durable_seq) {
                let said = match content {
                    DurableReply::View(number) => self.view(number).map(Said::View),
                    DurableReply::Cancelled(cancelled) => {
                        Ok(Said::Cancelled(v1::CancelByLabelReply { cancelled }))
                    }
                };
                // The caller may have disconnected.
                let _ = reply.send(said);
            }
        }
    }

    /// Returns a request's view in the form that other processes receive it.
    ///
    /// # Errors
    /// `NotFound`.
    pub fn view(&self, number: RequestNo) -> Result<ViewReply, Error> {
        let view = self.engine.view(number);
        let view = view.ok_or_else(|| Error::new(ErrorKind::NotFound, "no such request"))?;
        Ok(view_to_wire(&view))
    }

    /// Lets the engine place waiting tasks.
    pub fn decide(&mut self, now: Millis) {
        let authority = self.authority(now);
        self.engine.decide(now, authority, &mut self.actions);
    }

    /// Handles what is due at `now`: leases, timeouts and calls that have waited long enough.
    pub fn tick(&mut self, now: Millis) {
        let authority = self.authority(now);
        self.engine.tick(now, authority, &mut self.actions);
        if self.engine.is_ledger_stalled() {
            self.waiting_calls.answer_expired(now);
        }
        for number in self.waiting_calls.requests() {
            self.answer_waiting(number, |w| w.expires_at <= now || w.reply.is_closed());
        }
    }

    /// Returns what the ownership lease allows at `now`.
    pub fn authority(&self, now: Millis) -> Authority {
        self.lease.authority(now, self.engine.policy().renewal_bound)
    }

    /// Answers the waiting calls of a request for which `ready` returns true.
    pub fn answer_waiting(&mut self, number: RequestNo, ready: impl Fn(&WaitingCall) -> bool) {
        for reply in self.waiting_calls.take_ready(number, ready) {
            // The caller may have disconnected.
            let _ = reply.send(self.view(number).map(Said::View));
        }
    }

    /// Answers the calls that waited for a change of this request.
    fn answer_changed_request(&mut self, number: RequestNo) {
        let finished = self.engine.is_wait_over(number);
        let version = self.engine.view(number).map_or(u64::MAX, |v| v.version);
        self.answer_waiting(number, |w| match w.condition {
            WaitCondition::VersionAbove(v) => version > v,
            WaitCondition::Finished => finished,
        });
    }

    /// Sends the engine's actions: records to the ledger, orders to the workers, answers to
    /// callers.
    pub async fn send_actions(&mut self) {
        let mut records = Vec::new();
        let mut seq = 0;
        let mut orders = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Append { seq: s, record } => {
                    seq = s;
                    records.push(record);
                }
                Action::Changed(number) => self.answer_changed_request(number),
                Action::FirstStart { kind, waited, .. } => {
                    self.shared.metrics.observe_first_start(kind, waited);
                }
                order => orders.extend(self.address_order(&order)),
            }
        }
        self.update_metrics();
        self.append_records(seq, records).await;
        if !orders.is_empty() {
            let partition = self.engine.partition();
            self.shared.workers.send(WorkerMsg::SendOrders { partition, orders }).await;
        }
    }

    /// Addresses an order to the open session of its worker. Returns `None` for other actions,
    /// and when no session is open.
    fn address_order(&self, action: &Action) -> Option<AddressedOrder> {
        let worker = match action {
            Action::Start { worker, .. }
            | Action::Renew { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Forget { worker, .. }
            | Action::Throttle { worker, .. } => worker,
            Action::Append { .. } | Action::Changed(_) | Action::FirstStart { .. } => return None,
        };
        let session = *self.sessions.get(worker)?;
        let order = codec::order_to_wire(action)?;
        Some(AddressedOrder { worker: worker.clone(), session, order })
    }

    async fn append_records(&mut self, seq: u64, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        self.records_since_snapshot += records.len() as u64;
        self.ledger.ring.send(LedgerItem::Records { seq, records }).await;
        if self.records_since_snapshot >= self.shared.settings.store.snapshot_records {
            self.records_since_snapshot = 0;
            let snapshot = self.engine.snapshot();
            self.ledger.ring.send(LedgerItem::Snapshot(snapshot)).await;
        }
    }

    /// Adds the change of the engine's counters to the metrics.
    fn update_metrics(&mut self) {
        let now = self.engine.stats();
        let m = &self.shared.metrics;
        m.placed.inc_by(now.placed - self.counted_stats.placed);
        m.started.inc_by(now.started - self.counted_stats.started);
        m.preempted.inc_by(now.preempted - self.counted_stats.preempted);
        self.counted_stats = now;
    }

    /// Describes the partition as JSON, with a limited number of workers.
    pub fn dump(&self) -> serde_json::Value {
        const MAX_WORKERS: usize = 1_000;
        let e = &self.engine;
        let now = self.shared.clock.now();
        let workers: Vec<serde_json::Value> = e
            .workers()
            .take(MAX_WORKERS)
            .map(|w| {
                serde_json::json!({
                    "id": w.id, "claimed": w.claimed, "leaving": w.leaving, "aside": w.quarantined,
                    "capacity_cpu_milli": w.capacity.cpu_milli, "free_cpu_milli": w.free.cpu_milli,
                    "free_memory_mib": w.free.memory_mib, "free_accelerators": w.free.accelerators,
                    "held": w.held, "foreign": w.foreign,
                })
            })
            .collect();
        let accounts: Vec<serde_json::Value> = e
            .accounts()
            .map(|a| {
                serde_json::json!({
                    "id": a.id.as_str(), "used_cpu_milli": a.used.cpu_milli,
                    "used_memory_mib": a.used.memory_mib, "open": a.open, "waits": a.waits,
                })
            })
            .collect();
        let (total, free) = e.totals();
        let (kept, open) = e.requests();
        let s = e.stats();
        serde_json::json!({
            "partition": e.partition().0, "epoch": e.epoch().0,
            "authority": format!("{:?}", self.authority(now)),
            "requests_kept": kept, "requests_open": open, "waiting_tasks": e.waiting_tasks(),
            "unsynced": e.unsynced_records(), "stalled": self.ledger.is_stalled(),
            "waiting_calls": self.waiting_calls.len(),
            "whole_cpu_milli": total.cpu_milli, "free_cpu_milli": free.cpu_milli,
            "placed": s.placed, "started": s.started, "withdrawn": s.withdrawn, "done": s.done,
            "failed": s.failed, "lost": s.lost, "preempted": s.preempted, "refused": s.refused,
            "set_aside": s.quarantined, "stale_reports": s.stale_reports, "foreign": s.foreign,
            "workers": workers, "accounts": accounts,
        })
    }

    /// Returns the workers to hold sessions with, and their addresses.
    pub fn wanted_sessions(&self, list: &[Instance]) -> HashMap<InstanceId, String> {
        let known: HashSet<&str> = self.engine.workers().map(|w| w.id).collect();
        let ours = list.iter().filter(|i| known.contains(i.id.as_str()));
        ours.map(|i| (i.id.as_str().into(), i.addr.clone())).collect()
    }
}

/// Returns the partition that a worker belongs to.
fn partition_of_worker(i: &Instance, by: PartitionBy, count: u32) -> PartitionId {
    let text = match by {
        PartitionBy::Instance => &i.id,
        PartitionBy::Zone => &i.zone,
    };
    PartitionId((hash64(&["worker", text]) % u64::from(count.max(1))) as u32)
}
