//! The owner of the partition: one task that drives the engine and carries out its orders.

use crate::callers::Waiters;
use crate::calls::{advise, call_worker};
use crate::link::Outbox;
use crate::logs::DecisionLog;
use crate::members::{LinkId, Members};
use crate::registry;
use crate::shared::Shared;
use crate::wire::{Advice, Body, Call, CallAnswer, Hello, MemberBeat, OwnerInfo, Said};
use crate::writer::{self, Written};
use hollowford_adapter::{Called, NodeSettings, Version, WorkerClient};
use hollowford_core::Millis;
use hollowford_jobs::{Advised, Engine, Order, Seat, StepKey, WorkerCall, WorkerListing};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Messages that wait for the owner; calls beyond are refused.
const INBOX: usize = 8_192;
/// Messages taken before the engine is polled.
const DRAIN: usize = 256;
/// Longest time between two polls of the engine.
const TICK: Duration = Duration::from_millis(10);
/// Shortest time between two batches when somebody waits for one, so that what comes
/// together is written together.
const BATCH_GAP: Millis = Millis(14);
/// Shortest time between two batches when nobody waits.
const IDLE_BATCH_GAP: Millis = Millis(30);
/// A batch under way for so long means that new jobs are refused at once. A slow store takes
/// up to 0.4 s for one.
const BATCH_STALLED: Millis = Millis(600);
/// After the store has refused a batch, new jobs are refused for so long; then one is tried.
const REFUSING: Millis = Millis(300);
/// A caller whose batch is under way for so long is told that its effect is not known.
const ANSWER_WITHIN: Millis = Millis(1_200);
/// An owner whose batch hangs for so long, while the store serves a member, hands over to it.
const STORE_LOST: Millis = Millis(600);
/// Members are asked whether the store answers them once a batch hangs for so long.
const PROBE_AFTER: Millis = Millis(300);
/// The store has to serve the member for so long: at the end of an outage it is only the
/// first to notice.
const STORE_DIVIDED: Millis = Millis(300);
/// An owner without word from the store and any member for so long gives up.
const ISOLATED: Millis = Millis(2_000);
/// How long a stopping owner waits for its last batch.
const FLUSH: Millis = Millis(400);

/// What the owner is told.
#[derive(Debug)]
pub enum OwnerMsg {
    /// A caller's request.
    Call(Call, Reply),
    /// A worker's answer, or that there is none.
    Worker {
        /// What was asked.
        call: WorkerCall,
        /// What came of it.
        called: Called,
        /// When it was sent.
        sent: Millis,
    },
    /// An answer of the service for advice.
    Advised {
        /// Who asked.
        seat: Seat,
        /// The step.
        step: StepKey,
        /// Who may run it, and how long the tickets hold.
        answer: Option<(Advised, Millis)>,
    },
    /// What came of the batch under way.
    Written(Written),
    /// The platform's list of workers.
    Listings(Vec<WorkerListing>),
    /// A process has opened a link.
    Joined(LinkId, Hello, Outbox),
    /// A link has ended.
    Left(LinkId),
    /// A member's heartbeat.
    Beat(LinkId, MemberBeat),
    /// Hand the partition over; told when that is done.
    Stop(oneshot::Sender<()>),
}

/// Where an answer goes.
#[derive(Debug)]
pub enum Reply {
    /// To a call of this process.
    Local(oneshot::Sender<CallAnswer>),
    /// To a call that came over a link.
    Link(Outbox),
}

impl Reply {
    /// Sends an answer. A caller that is gone needs none.
    pub fn send(self, id: u64, said: Said, value: u64) {
        let answer = CallAnswer { id, said: said as i32, value };
        match self {
            Reply::Local(tx) => drop(tx.send(answer)),
            Reply::Link(outbox) => drop(outbox.send(Body::Answer(answer))),
        }
    }
}

/// Reaches the owner's task.
#[derive(Clone, Debug)]
pub struct OwnerHandle {
    tx: mpsc::Sender<OwnerMsg>,
}

impl OwnerHandle {
    /// Makes a handle and the end that the owner reads.
    pub fn new() -> (OwnerHandle, mpsc::Receiver<OwnerMsg>) {
        let (tx, rx) = mpsc::channel(INBOX);
        (OwnerHandle { tx }, rx)
    }

    /// Sends a call; none when the owner has ended or is too far behind.
    pub fn call(&self, call: &Call) -> Option<oneshot::Receiver<CallAnswer>> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(OwnerMsg::Call(call.clone(), Reply::Local(tx))).ok()?;
        Some(rx)
    }

    /// Sends a call that came over a link, and refuses it when the owner is too far behind.
    pub fn call_from(&self, call: Call, outbox: &Outbox) {
        let id = call.id;
        let msg = OwnerMsg::Call(call, Reply::Link(outbox.clone()));
        match self.tx.try_send(msg) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                Reply::Link(outbox.clone()).send(id, Said::Unavailable, 0);
            }
            Err(mpsc::error::TrySendError::Closed(_)) => {
                Reply::Link(outbox.clone()).send(id, Said::NotOwner, 0);
            }
        }
    }

    /// Sends a message, waiting for room.
    pub async fn send(&self, msg: OwnerMsg) {
        // An owner that has ended needs no messages.
        let _ = self.tx.send(msg).await;
    }

    /// Tells whether the owner has ended.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

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
    /// The partition's part of the table.
    pub part: String,
    /// Version of the owner row.
    pub rev: Version,
    /// The engine, with what the store held.
    pub engine: Engine,
    /// The engine's time less the process's.
    pub offset: i64,
}

/// The owner.
pub struct Owner {
    shared: Arc<Shared>,
    info: OwnerInfo,
    part: String,
    rev: Version,
    engine: Engine,
    offset: i64,
    workers: WorkerClient,
    handle: OwnerHandle,
    members: Members,
    waiters: Waiters,
    orders: Vec<Order>,
    decisions: DecisionLog,
    batch_cut: Millis,
    /// Since when a batch is under way.
    batch_since: Option<Millis>,
    /// Since when no batch was made though there was one to make.
    unmade_since: Option<Millis>,
    /// When the store refused a batch last, with no batch made since.
    refused_at: Option<Millis>,
    /// Since when the store serves a member and not this process.
    divided_since: Option<Millis>,
    config: u64,
    settings: watch::Receiver<NodeSettings>,
    member_heard: Millis,
    viewed: Millis,
    stop: Option<(oneshot::Sender<()>, Millis)>,
    end: Option<OwnerEnd>,
}

/// How often the owner's gauges and its line in the log are renewed.
const VIEW_EVERY: Millis = Millis(2_000);

impl Owner {
    /// Makes an owner.
    pub fn new(
        shared: Arc<Shared>,
        start: Start,
        workers: WorkerClient,
        handle: OwnerHandle,
    ) -> Owner {
        let now = shared.clock.now();
        Owner {
            members: Members::new(start.info.clone()),
            info: start.info,
            part: start.part,
            rev: start.rev,
            engine: start.engine,
            offset: start.offset,
            workers,
            handle,
            waiters: Waiters::default(),
            orders: Vec::new(),
            decisions: DecisionLog::default(),
            batch_cut: Millis(0),
            batch_since: None,
            unmade_since: None,
            refused_at: None,
            divided_since: None,
            config: 0,
            settings: shared.settings_changed.subscribe(),
            member_heard: now,
            viewed: Millis(0),
            stop: None,
            end: None,
            shared,
        }
    }

    /// Returns the engine's time.
    fn now(&self) -> Millis {
        Millis((self.shared.clock.now().0 as i64 + self.offset).max(0) as u64)
    }

    /// Owns the partition until it is lost or given up.
    pub async fn run(mut self, mut rx: mpsc::Receiver<OwnerMsg>) -> OwnerEnd {
        tokio::spawn(registry::follow(self.shared.clone(), self.handle.clone()));
        self.engine.set_seats(&self.members.seats());
        while self.end.is_none() {
            if let Ok(Some(msg)) = timeout(TICK, rx.recv()).await {
                self.take(msg);
                for _ in 0..DRAIN {
                    let Ok(msg) = rx.try_recv() else { break };
                    self.take(msg);
                }
            }
            self.act();
        }
        rx.close();
        while let Ok(msg) = rx.try_recv() {
            if let OwnerMsg::Call(call, reply) = msg {
                reply.send(call.id, Said::NotOwner, 0);
            }
        }
        self.waiters.fail_all();
        if let Some((done, _)) = self.stop.take() {
            // The stopping process may have given up waiting.
            let _ = done.send(());
        }
        self.end.unwrap_or(OwnerEnd::GaveUp)
    }

    fn take(&mut self, msg: OwnerMsg) {
        let now = self.now();
        match msg {
            OwnerMsg::Call(call, reply) => self.take_call(call, reply, now),
            OwnerMsg::Worker { call, called, sent } => self.take_worker(&call, called, sent, now),
            OwnerMsg::Advised { seat, step, answer } => {
                self.engine.advised(&seat, step, answer, now);
            }
            OwnerMsg::Written(written) => self.take_written(written, now),
            OwnerMsg::Listings(list) => self.engine.list_workers(&list, now),
            OwnerMsg::Joined(link, hello, outbox) => {
                log::info!(
                    "member.joined link={link} address={} age_ms={}",
                    hello.address,
                    hello.age_ms
                );
                self.members.join(link, hello, outbox, self.shared.clock.now());
                self.members_changed();
            }
            OwnerMsg::Left(link) => {
                log::info!("member.left link={link}");
                self.members.leave(link);
                self.members_changed();
            }
            OwnerMsg::Beat(link, beat) => self.take_beat(link, &beat),
            OwnerMsg::Stop(done) => {
                log::info!("owner.stopping epoch={}", self.info.epoch);
                self.stop = Some((done, self.shared.clock.now()));
            }
        }
    }

    fn members_changed(&mut self) {
        self.engine.set_seats(&self.members.seats());
        self.members.send_heartbeats(self.shared.config_version());
    }

    fn take_beat(&mut self, link: LinkId, beat: &MemberBeat) {
        self.member_heard = self.shared.clock.now();
        self.members.beat(link, beat, self.member_heard);
        let version = self.shared.config_version();
        if beat.config > version {
            self.shared.config_wanted.notify_one();
        } else if beat.config < version
            && let Some(row) = self.shared.config_row()
        {
            self.members.send_config(link, &row);
        }
        if beat.epoch > self.info.epoch {
            log::warn!("owner.deposed epoch={} newer={}", self.info.epoch, beat.epoch);
            self.end = Some(OwnerEnd::Deposed);
        }
    }

    fn take_call(&mut self, call: Call, reply: Reply, now: Millis) {
        if call.config > self.shared.config_version() {
            self.shared.config_wanted.notify_one();
        }
        if self.stop.is_some() {
            reply.send(call.id, Said::NotOwner, 0);
            return;
        }
        let stalled = self.is_stalled(now);
        self.waiters.take(&mut self.engine, call, reply, stalled, now);
    }

    fn is_stalled(&self, now: Millis) -> bool {
        let hangs = self.batch_since.is_some_and(|s| now.since(s) >= BATCH_STALLED);
        hangs || self.refused_at.is_some_and(|at| now.since(at) < REFUSING)
    }

    /// Refuses the jobs that wait behind a batch that hangs: of them nothing was sent.
    fn refuse_unsent(&mut self, now: Millis) {
        if self.is_stalled(now) {
            for job in self.engine.withdraw_unsent() {
                self.waiters.refuse(job);
            }
        }
    }

    fn take_worker(&mut self, call: &WorkerCall, called: Called, sent: Millis, now: Millis) {
        let fenced = match (call, called) {
            (WorkerCall::Start { worker, task, run, .. }, Called::Start(answer)) => {
                self.engine.start_answered(worker, *task, *run, answer, now)
            }
            (WorkerCall::Stop { worker, task, run, .. }, Called::Stop(answered)) => {
                self.engine.stop_answered(worker, *task, *run, answered, now);
                false
            }
            (WorkerCall::Pace { worker, task, run, percent, .. }, Called::Pace(answered)) => {
                self.engine.pace_answered(worker, *task, *run, *percent, answered);
                false
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

    fn take_written(&mut self, written: Written, now: Millis) {
        let since = self.batch_since.take().unwrap_or(now);
        self.shared.metrics.batch_seconds.observe(now.since(since).duration().as_secs_f64());
        match written {
            Written::Made(rev) => {
                self.rev = rev;
                self.unmade_since = None;
                self.refused_at = None;
                self.engine.committed(now);
                self.waiters.committed(&self.engine);
            }
            Written::Deposed(by) => {
                log::warn!(
                    "owner.deposed epoch={} by={} at={}",
                    self.info.epoch,
                    by.epoch,
                    by.address
                );
                self.shared.note_owner_info(&by);
                self.end = Some(OwnerEnd::Deposed);
            }
            Written::Refused => {
                self.refused_at = Some(now);
                self.engine.batch_refused();
            }
            Written::Inconsistent => self.end = Some(OwnerEnd::GaveUp),
        }
    }

    /// Lets the engine decide, carries out its orders and writes the next batch.
    fn act(&mut self) {
        let now = self.now();
        self.take_config();
        self.shared.note_owner();
        let mut orders = std::mem::take(&mut self.orders);
        if self.end.is_none() {
            self.engine.poll(now, &mut orders);
        }
        for order in orders.drain(..) {
            self.carry_out(order, now);
        }
        self.orders = orders;
        self.log_decisions(now);
        self.refuse_unsent(now);
        self.write_batch(now);
        self.waiters.give_up(&self.engine, now, ANSWER_WITHIN);
        let lost = self.unmade_since.is_some_and(|s| now.since(s) >= PROBE_AFTER);
        if self.members.tick(self.shared.clock.now(), self.shared.config_version(), lost) {
            self.engine.set_seats(&self.members.seats());
        }
        self.check_reach(now);
        self.check_stop();
        self.renew_view(now);
    }

    fn take_config(&mut self) {
        if self.settings.has_changed().unwrap_or(false) {
            let bounds = self.settings.borrow_and_update().bounds;
            self.engine.set_bounds(bounds.into());
        }
        let version = self.shared.config_version();
        if version != self.config
            && let Some(config) = self.shared.config.load_full()
        {
            self.config = version;
            self.engine.set_queues(&config.queues);
        }
    }

    /// Writes what was decided to the log, as far as its limit allows.
    fn log_decisions(&mut self, now: Millis) {
        let left_out = self.decisions.take_left_out(now);
        if left_out > 0 {
            log::warn!("log.left_out lines={left_out}");
        }
        for note in self.engine.take_notes() {
            if self.decisions.admit(now) {
                log::info!("{note}");
            }
        }
    }

    fn carry_out(&self, order: Order, now: Millis) {
        match order {
            Order::Worker(call) => {
                let (shared, workers) = (self.shared.clone(), self.workers.clone());
                tokio::spawn(call_worker(shared, workers, call, now, self.handle.clone()));
            }
            Order::Advice { seat, step, workers } => {
                let Some(seat) = self.engine.seat(seat).cloned() else { return };
                let ids: Vec<String> = workers.iter().map(|w| w.as_str().to_owned()).collect();
                if seat.address.is_empty() {
                    let (shared, handle) = (self.shared.clone(), self.handle.clone());
                    tokio::spawn(advise_here(shared, seat, step, ids, handle));
                } else if !self.members.ask(&seat.address, step, ids) {
                    log::debug!("advice.not_sent seat={} step={step}", seat.address);
                }
            }
        }
    }

    fn write_batch(&mut self, now: Millis) {
        let gap = if self.engine.batch_is_urgent() { BATCH_GAP } else { IDLE_BATCH_GAP };
        if self.batch_since.is_some() || now.since(self.batch_cut) < gap {
            return;
        }
        let Some(batch) = self.engine.cut_batch(now) else { return };
        self.batch_cut = now;
        self.batch_since = Some(now);
        self.unmade_since.get_or_insert(now);
        let writing = writer::write(
            self.shared.clone(),
            self.part.clone(),
            self.info.clone(),
            self.rev,
            batch,
        );
        let handle = self.handle.clone();
        tokio::spawn(async move { handle.send(OwnerMsg::Written(writing.await)).await });
    }

    /// Gives the partition up when another process can serve it and this one can't.
    fn check_reach(&mut self, now: Millis) {
        let hangs = self.unmade_since.is_some_and(|s| now.since(s) >= STORE_LOST);
        let lost = hangs && self.shared.store_age() >= STORE_LOST;
        if !lost || !self.members.any_served() {
            self.divided_since = None;
        } else {
            let since = *self.divided_since.get_or_insert(now);
            if now.since(since) >= STORE_DIVIDED && self.members.hand_over_to_served() {
                log::warn!("owner.handed_over epoch={} cause=store_lost", self.info.epoch);
                self.end = Some(OwnerEnd::HandedOver);
            }
        }
        let clock = self.shared.clock.now();
        let alone = self.members.had_any() && clock.since(self.member_heard) >= ISOLATED;
        if alone && self.shared.store_age() >= ISOLATED {
            log::warn!("owner.gave_up epoch={} cause=isolated", self.info.epoch);
            self.end = Some(OwnerEnd::GaveUp);
        }
    }

    /// Hands over to a member once a stop is wanted and everything is written.
    fn check_stop(&mut self) {
        let Some((_, since)) = &self.stop else { return };
        let waited = self.shared.clock.now().since(*since);
        let flushed = self.batch_since.is_none() && self.waiters.is_empty();
        if flushed || waited >= FLUSH {
            let rev = if self.batch_since.is_none() { self.rev } else { 0 };
            let to = self.members.hand_over(rev);
            log::info!("owner.handed_over epoch={} to={to:?} flushed={flushed}", self.info.epoch);
            self.end = Some(OwnerEnd::HandedOver);
        }
    }

    fn renew_view(&mut self, now: Millis) {
        if now.since(self.viewed) < VIEW_EVERY {
            return;
        }
        self.viewed = now;
        let view = self.engine.view(now);
        self.shared.metrics.open_jobs.set(view.open_jobs as i64);
        self.shared.metrics.usable_workers.set(view.usable_workers as i64);
        log::info!("owner.view {view}");
    }
}

async fn advise_here(
    shared: Arc<Shared>,
    seat: Seat,
    step: StepKey,
    workers: Vec<String>,
    handle: OwnerHandle,
) {
    let answer = advise(&shared, &step.to_string(), &workers).await;
    handle.send(OwnerMsg::Advised { seat, step, answer }).await;
}

/// Reads a member's answer to a call for advice.
pub fn read_advice(msg: Advice) -> Option<(Advised, Millis)> {
    let rows = msg.workers.iter().zip(&msg.tickets);
    let rows = rows.map(|(id, t)| (id.as_str().into(), t.as_str().into())).collect();
    msg.answered.then_some((rows, Millis(msg.validity_ms)))
}
