//! One owned partition: its engine, its waiting calls, and what goes out.

use super::Take;
use super::waiters::{Durably, Until, Waiter, Waiters};
use crate::codec;
use crate::ledger::{LedgerHandle, LedgerItem};
use crate::ownership::OwnerLease;
use crate::shared::Shared;
use crate::views::view_to_wire;
use crate::workers::{Addressed, WorkerMsg};
use hollowford_config::PartitionBy;
use hollowford_core::{Error, ErrorKind, InstanceId, Millis, PartitionId, RequestNo, hash64};
use hollowford_engine::{Action, Authority, Engine, Record, Stats, WorkerListing};
use hollowford_platform::rows::Instance;
use hollowford_protocol::peer::{Said, ViewReply};
use hollowford_protocol::v1;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// One owned partition.
pub(super) struct Owned {
    pub shared: Arc<Shared>,
    pub engine: Engine,
    pub lease: Arc<OwnerLease>,
    pub ledger: LedgerHandle,
    pub waiters: Waiters,
    /// Session that stands with each claimed worker. Orders name it, so that none
    /// reaches a later session than the one it was decided for.
    pub sessions: HashMap<InstanceId, u64>,
    pub out: Vec<Action>,
    durable: u64,
    counted: Stats,
    since_snapshot: u64,
}

impl Owned {
    /// Replays what was recovered and starts to decide.
    pub fn new(shared: &Arc<Shared>, take: Take, now: Millis) -> Owned {
        let policy = shared.settings.policy.clone();
        let mut engine = Engine::new(take.partition, take.lease.epoch, policy);
        let since_snapshot = take.records.len() as u64;
        for record in take.records {
            engine.replay(now, record);
        }
        let mut out = Vec::new();
        engine.activate(now, &mut out);
        let mut owned = Owned {
            shared: shared.clone(),
            engine,
            lease: take.lease,
            ledger: take.ledger,
            waiters: Waiters::default(),
            sessions: HashMap::new(),
            out,
            durable: 0,
            counted: Stats::default(),
            since_snapshot,
        };
        owned.take_accounts();
        owned
    }

    /// Puts the client accounts' configuration in force.
    pub fn take_accounts(&mut self) {
        let accounts = self.shared.accounts.load();
        for entry in accounts.accounts.values() {
            self.engine.set_account(&entry.id, entry.policy());
        }
    }

    /// Takes in the instance list.
    pub fn take_instances(&mut self, now: Millis, list: &[Instance]) {
        let s = &self.shared.settings;
        let partition = self.engine.partition();
        let ours = |i: &&Instance| partition_of(i, s.partition_by, s.partitions) == partition;
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
        self.engine.set_worker_list(now, &listed, &mut self.out);
        self.lose_unlisted(now, &listed);
    }

    /// No session is held with workers that are gone from the list, so their tasks
    /// are settled when their leases have ended.
    fn lose_unlisted(&mut self, now: Millis, listed: &[WorkerListing]) {
        let ids: HashSet<&InstanceId> = listed.iter().map(|l| &l.id).collect();
        let gone: Vec<InstanceId> =
            self.sessions.keys().filter(|id| !ids.contains(id)).cloned().collect();
        for worker in gone {
            self.sessions.remove(&worker);
            self.engine.session_ended(now, &worker, &mut self.out);
        }
    }

    /// Takes in a worker's reply to a claim.
    pub fn claimed(&mut self, now: Millis, worker: InstanceId, session: u64, report: &v1::Report) {
        if let Some(v1::report::Report::Claimed(reply)) = &report.report {
            let claim = codec::claim_from_wire(reply, report.clock_ms);
            self.sessions.insert(worker.clone(), session);
            self.engine.worker_claimed(now, &worker, &claim, &mut self.out);
        }
    }

    /// Takes in a worker's report.
    pub fn report(&mut self, now: Millis, worker: &InstanceId, session: u64, r: &v1::Report) {
        use v1::report::Report;
        if self.sessions.get(worker) != Some(&session) {
            return;
        }
        self.engine.record_clock(now, worker, r.clock_ms);
        let out = &mut self.out;
        match &r.report {
            Some(Report::Started(v1::Started { task: Some(task) })) => {
                self.engine.task_started(now, worker, &codec::task_from_wire(task), out);
            }
            Some(Report::Ended(ended)) => {
                if let Some(report) = codec::ended_from_wire(ended) {
                    self.engine.task_ended(now, worker, &report, out);
                }
            }
            Some(Report::Refused(v1::Refused { task: Some(task), .. })) => {
                self.engine.start_refused(now, worker, &codec::task_from_wire(task), out);
            }
            Some(Report::Usage(u)) => {
                let tasks = codec::usage_from_wire(&u.tasks);
                self.engine.usage_reported(now, worker, u.leaving, &tasks, out);
            }
            _ => {}
        }
    }

    /// Notes that a session ended.
    pub fn lost(&mut self, now: Millis, worker: &InstanceId, session: u64) {
        if self.sessions.get(worker) == Some(&session) {
            self.sessions.remove(worker);
            self.engine.session_ended(now, worker, &mut self.out);
        }
    }

    /// Reads how far the ledger has come.
    pub fn read_ledger(&mut self) {
        // Without the lease nothing can be written either.
        let lapsed = self.authority(self.shared.clock.now()) != Authority::Full;
        let stalled = self.ledger.stalled() || lapsed;
        self.engine.set_ledger_stalled(stalled);
        let promised = if stalled { self.shared.promised_until() } else { Millis(0) };
        self.engine.set_no_takeover_until(promised);
        let durable = self.ledger.durable();
        if durable > self.durable {
            self.durable = durable;
            self.engine.set_durable(durable, &mut self.out);
            for (what, reply) in self.waiters.take_durable(durable) {
                let said = match what {
                    Durably::View(no) => self.view(no).map(Said::View),
                    Durably::Cancelled(cancelled) => {
                        Ok(Said::Cancelled(v1::CancelByLabelReply { cancelled }))
                    }
                };
                // The caller may have gone.
                let _ = reply.send(said);
            }
        }
    }

    /// Returns a request's view, as the entries get it.
    pub fn view(&self, no: RequestNo) -> Result<ViewReply, Error> {
        let view = self.engine.view(no);
        let view = view.ok_or_else(|| Error::new(ErrorKind::NotFound, "no such request"))?;
        Ok(view_to_wire(&view))
    }

    /// Decides what can be decided now.
    pub fn decide(&mut self, now: Millis) {
        let authority = self.authority(now);
        self.engine.decide(now, authority, &mut self.out);
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Millis) {
        let authority = self.authority(now);
        self.engine.tick(now, authority, &mut self.out);
        if self.engine.is_ledger_stalled() {
            self.waiters.give_up_durable(now);
        }
        for no in self.waiters.requests() {
            self.answer(no, |w| w.expires_at <= now || w.reply.is_closed());
        }
    }

    /// Tells what the ownership lease lets this owner do.
    pub fn authority(&self, now: Millis) -> Authority {
        self.lease.authority(now, self.engine.policy().renewal_bound)
    }

    /// Answers the waiting calls of a request that `ready` lets go.
    pub fn answer(&mut self, no: RequestNo, ready: impl Fn(&Waiter) -> bool) {
        for reply in self.waiters.take_ready(no, ready) {
            // The caller may have gone.
            let _ = reply.send(self.view(no).map(Said::View));
        }
    }

    /// Answers the calls that wait for this change.
    fn answer_changed(&mut self, no: RequestNo) {
        let settled = self.engine.is_wait_over(no);
        let version = self.engine.view(no).map_or(u64::MAX, |v| v.version);
        self.answer(no, |w| match w.until {
            Until::Above(v) => version > v,
            Until::Settled => settled,
        });
    }

    /// Sends out what was decided: records to the ledger, orders to the workers,
    /// answers to calls.
    pub async fn flush(&mut self) {
        let mut records = Vec::new();
        let mut seq = 0;
        let mut orders = Vec::new();
        for action in std::mem::take(&mut self.out) {
            match action {
                Action::Append { seq: s, record } => {
                    seq = s;
                    records.push(record);
                }
                Action::Changed(no) => self.answer_changed(no),
                Action::FirstStart { kind, waited, .. } => {
                    self.shared.metrics.waited(kind, waited);
                }
                order => orders.extend(self.address(&order)),
            }
        }
        self.count();
        self.append(seq, records).await;
        if !orders.is_empty() {
            let partition = self.engine.partition();
            self.shared.workers.send(WorkerMsg::Orders { partition, orders }).await;
        }
    }

    /// Gives an order the session that stands with its worker.
    fn address(&self, action: &Action) -> Option<Addressed> {
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
        Some(Addressed { worker: worker.clone(), session, order })
    }

    async fn append(&mut self, seq: u64, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        self.since_snapshot += records.len() as u64;
        self.ledger.ring.send(LedgerItem::Records { seq, records }).await;
        if self.since_snapshot >= self.shared.settings.store.snapshot_records {
            self.since_snapshot = 0;
            let snapshot = self.engine.snapshot();
            self.ledger.ring.send(LedgerItem::Snapshot(snapshot)).await;
        }
    }

    /// Brings the metrics up to the engine's counters.
    fn count(&mut self) {
        let now = self.engine.stats();
        let m = &self.shared.metrics;
        m.placed.inc_by(now.placed - self.counted.placed);
        m.started.inc_by(now.started - self.counted.started);
        m.preempted.inc_by(now.preempted - self.counted.preempted);
        self.counted = now;
    }

    /// Describes the partition, with its sizes bounded.
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
        let (whole, free) = e.totals();
        let (kept, open) = e.requests();
        let s = e.stats();
        serde_json::json!({
            "partition": e.partition().0, "epoch": e.epoch().0,
            "authority": format!("{:?}", self.authority(now)),
            "requests_kept": kept, "requests_open": open, "waiting_tasks": e.waiting_tasks(),
            "unsynced": e.unsynced_records(), "stalled": self.ledger.stalled(),
            "waiting_calls": self.waiters.len(),
            "whole_cpu_milli": whole.cpu_milli, "free_cpu_milli": free.cpu_milli,
            "placed": s.placed, "started": s.started, "withdrawn": s.withdrawn, "done": s.done,
            "failed": s.failed, "lost": s.lost, "preempted": s.preempted, "refused": s.refused,
            "set_aside": s.quarantined, "stale_reports": s.stale_reports, "foreign": s.foreign,
            "workers": workers, "accounts": accounts,
        })
    }

    /// Returns the workers to hold sessions with, by address.
    pub fn sessions_wanted(&self, list: &[Instance]) -> HashMap<InstanceId, String> {
        let known: HashSet<&str> = self.engine.workers().map(|w| w.id).collect();
        let ours = list.iter().filter(|i| known.contains(i.id.as_str()));
        ours.map(|i| (i.id.as_str().into(), i.addr.clone())).collect()
    }
}

/// Returns the partition that a worker belongs to.
fn partition_of(i: &Instance, by: PartitionBy, count: u32) -> PartitionId {
    let text = match by {
        PartitionBy::Instance => &i.id,
        PartitionBy::Zone => &i.zone,
    };
    PartitionId((hash64(&["worker", text]) % u64::from(count.max(1))) as u32)
}
