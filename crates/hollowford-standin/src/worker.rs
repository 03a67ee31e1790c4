//! Workers: leases on their own clock, epochs, sessions and remembered outcomes.

use crate::payload::Behaviour;
use crate::record::{Line, Recorder, What};
use hollowford_core::Clock;
use hollowford_platform::Platform;
use hollowford_platform::wire::Instance;
use hollowford_protocol::v1;
use hollowford_protocol::v1::order::Order;
use hollowford_protocol::v1::report::Report;
use hollowford_protocol::v1::worker_server::{Worker, WorkerServer};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

/// How often a worker looks at its tasks.
const TICK: Duration = Duration::from_millis(5);
/// How often a worker reports use.
const USAGE_EVERY_MS: u64 = 500;
/// Reports that may wait to be sent.
const REPORTS_BOUND: usize = 65_536;
/// Longest result that a report carries itself.
const SHORT_RESULT: usize = 1_024;

/// What a stand-in worker is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance, as it is to be listed; the address is filled in.
    pub instance: Instance,
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
    /// Whether every task fails at once.
    pub fail_all: bool,
}

type TaskKey = (u64, u32, u32);

fn key(task: &v1::TaskRef) -> TaskKey {
    (task.request, task.index, task.attempt)
}

#[derive(Debug)]
struct Running {
    start: v1::Start,
    task: v1::TaskRef,
    behaviour: Behaviour,
    started_at: u64,
    ends_at: u64,
    lease_until: u64,
}

#[derive(Debug)]
struct Inner {
    partition: u32,
    epoch: u64,
    session: u64,
    reports: Option<mpsc::Sender<Result<v1::Report, Status>>>,
    running: BTreeMap<TaskKey, Running>,
    ended: BTreeMap<TaskKey, v1::Ended>,
    leaving: bool,
    fail_all: bool,
    usage_at: u64,
}

/// One stand-in worker.
#[derive(Debug)]
pub struct StandinWorker {
    settings: Settings,
    incarnation: u64,
    clock: Clock,
    clock_offset: u64,
    recorder: Arc<Recorder>,
    objects: Option<Platform>,
    inner: Mutex<Inner>,
}

impl StandinWorker {
    fn new(settings: Settings, recorder: Arc<Recorder>, objects: Option<Platform>) -> Self {
        const OFFSET_RANGE: std::ops::Range<u64> = 1_000_000..2_000_000_000;
        let inner = Inner {
            partition: 0,
            epoch: 0,
            session: 0,
            reports: None,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            leaving: settings.instance.leaving,
            fail_all: settings.fail_all,
            usage_at: 0,
        };
        StandinWorker {
            settings,
            incarnation: fastrand::u64(1..),
            clock: Clock::new(),
            // No two clocks agree, so a mix-up of clocks shows.
            clock_offset: fastrand::u64(OFFSET_RANGE),
            recorder,
            objects,
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        self.clock.now().0 + self.clock_offset
    }

    /// Returns the instance's id.
    pub fn id(&self) -> &str {
        &self.settings.instance.id
    }

    /// Makes the worker say that its instance is leaving.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Makes every task fail at once, or no longer.
    pub fn set_fail_all(&self, fail_all: bool) {
        self.lock().fail_all = fail_all;
    }

    /// Ends the present session, as a cut of the network does.
    pub fn cut(&self) {
        let mut inner = self.lock();
        inner.session += 1;
        inner.reports = None;
    }

    fn say(&self, inner: &Inner, report: Report) {
        if let Some(tx) = &inner.reports {
            let report = v1::Report { clock_ms: self.now(), report: Some(report) };
            // A full or closed session is settled by the next claim.
            let _ = tx.try_send(Ok(report));
        }
    }

    fn record(&self, inner: &Inner, r: &Running, what: What) {
        let at_us = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64);
        // A frozen worker stops a lapsed task late, but it did not run after the lease.
        let late_ms = match what {
            What::Lapsed => self.now().saturating_sub(r.lease_until),
            _ => 0,
        };
        self.recorder.push(Line {
            at_us: at_us - late_ms * 1_000,
            worker: self.settings.instance.id.clone(),
            what,
            partition: inner.partition,
            request: r.task.request,
            index: r.task.index,
            attempt: r.task.attempt,
            name: r.behaviour.name.clone(),
            cpu_held: cpu_held(inner),
            cpu_capacity: u64::from(self.settings.cpu_milli),
        });
    }

    /// Starts a session, ending the one before. Returns its number, or `None` for
    /// an epoch below the one obeyed.
    fn claim(
        &self,
        claim: &v1::Claim,
        tx: mpsc::Sender<Result<v1::Report, Status>>,
    ) -> Option<u64> {
        let mut inner = self.lock();
        let other = inner.epoch > 0 && inner.partition != claim.partition;
        if claim.epoch < inner.epoch || other {
            let refused = v1::ClaimReply::default();
            let report =
                v1::Report { clock_ms: self.now(), report: Some(Report::Claimed(refused)) };
            let _ = tx.try_send(Ok(report));
            return None;
        }
        self.lapse(&mut inner);
        inner.partition = claim.partition;
        inner.epoch = claim.epoch;
        inner.session += 1;
        inner.reports = Some(tx);
        let reply = self.claim_reply(&inner);
        self.say(&inner, Report::Claimed(reply));
        Some(inner.session)
    }

    fn claim_reply(&self, inner: &Inner) -> v1::ClaimReply {
        let running = inner.running.values().map(|r| v1::RunningTask {
            task: Some(r.task),
            cpu_milli: r.start.cpu_milli,
            memory_mib: r.start.memory_mib,
            accelerators: r.start.accelerators,
        });
        v1::ClaimReply {
            incarnation: self.incarnation,
            cpu_milli: self.settings.cpu_milli,
            memory_mib: self.settings.memory_mib,
            accelerators: self.settings.accelerators,
            leaving: inner.leaving,
            running: running.collect(),
            ended: inner.ended.values().cloned().collect(),
            accepted: true,
        }
    }

    fn obey(&self, session: u64, order: Order) -> bool {
        let mut inner = self.lock();
        if inner.session != session {
            return false;
        }
        // A worker that wakes from a freeze stops what has lapsed before all else.
        self.lapse(&mut inner);
        match order {
            Order::Claim(_) => return false,
            Order::Start(start) => self.start(&mut inner, start),
            Order::Renew(renew) => {
                for r in inner.running.values_mut().filter(|r| !r.start.fixed_lease) {
                    r.lease_until = r.lease_until.max(renew.lease_until);
                }
            }
            Order::Stop(stop) => self.stop(&mut inner, &stop),
            Order::Forget(forget) => {
                if let Some(task) = &forget.task {
                    inner.ended.remove(&key(task));
                }
            }
            Order::Throttle(throttle) => {
                if let Some(r) = throttle.task.and_then(|t| inner.running.get_mut(&key(&t))) {
                    r.behaviour.cpu_milli = Some(throttle.cpu_milli);
                }
            }
        }
        true
    }

    fn start(&self, inner: &mut Inner, start: v1::Start) {
        let Some(task) = start.task else {
            return;
        };
        let now = self.now();
        let behaviour = Behaviour::from(&start.payload[..]);
        let run_ms = behaviour.run_ms.unwrap_or(start.run_time_ms);
        let forever = run_ms == 0;
        let ends_at = if forever { u64::MAX } else { now + run_ms };
        let lease_until = start.lease_until;
        let r = Running { start, task, behaviour, started_at: now, ends_at, lease_until };
        let room = u64::from(self.settings.cpu_milli) - cpu_held(inner);
        let memory = u64::from(self.settings.memory_mib) - memory_held(inner);
        if u64::from(r.start.cpu_milli) > room || u64::from(r.start.memory_mib) > memory {
            self.record(inner, &r, What::NoRoom);
            self.refuse(inner, task, "no room");
            return;
        }
        if lease_until <= now {
            self.refuse(inner, task, "the lease has ended");
            return;
        }
        inner.running.insert(key(&task), r);
        if let Some(r) = inner.running.get(&key(&task)) {
            self.record(inner, r, What::Start);
        }
        self.say(inner, Report::Started(v1::Started { task: Some(task) }));
        if inner.fail_all {
            self.end(inner, &key(&task), v1::End::Failed);
        }
    }

    fn refuse(&self, inner: &Inner, task: v1::TaskRef, message: &str) {
        let refused = v1::Refused { task: Some(task), message: message.to_owned() };
        self.say(inner, Report::Refused(refused));
    }

    fn stop(&self, inner: &mut Inner, stop: &v1::Stop) {
        if let Some(task) = &stop.task {
            let end = v1::End::Stopped;
            self.end(inner, &key(task), end);
        }
    }

    /// Ends a running task, remembers its outcome and reports it.
    fn end(&self, inner: &mut Inner, key: &TaskKey, end: v1::End) {
        let Some(r) = inner.running.remove(key) else {
            return;
        };
        let what = match end {
            v1::End::Done => What::Done,
            v1::End::Failed => What::Failed,
            v1::End::Lapsed => What::Lapsed,
            _ => What::Stopped,
        };
        self.record(inner, &r, what);
        let mut ended = v1::Ended { task: Some(r.task), ..Default::default() };
        ended.set_end(end);
        ended.ran_ms = self.now().saturating_sub(r.started_at);
        match end {
            v1::End::Done => self.fill_result(&r, &mut ended),
            v1::End::Failed => ended.message = "the task failed".to_owned(),
            _ => ended.checkpoint = format!("checkpoint/{}/{}", r.task.request, r.task.index),
        }
        inner.ended.insert(*key, ended.clone());
        self.say(inner, Report::Ended(ended));
    }

    fn fill_result(&self, r: &Running, ended: &mut v1::Ended) {
        let bytes: Vec<u8> = (0..r.behaviour.result).map(|i| i as u8).collect();
        ended.result_len = bytes.len() as u64;
        ended.result_xxh3 = xxhash_rust::xxh3::xxh3_64(&bytes);
        match &self.objects {
            Some(objects) if bytes.len() > SHORT_RESULT => {
                let t = r.task;
                let object = format!("result/{}-{}-{}", t.request, t.index, t.attempt);
                ended.result_object.clone_from(&object);
                let objects = objects.clone();
                tokio::spawn(async move { objects.put_object(&object, bytes).await });
            }
            _ => ended.result = bytes,
        }
    }

    fn lapse(&self, inner: &mut Inner) {
        let now = self.now();
        let lapsed: Vec<TaskKey> = inner
            .running
            .iter()
            .filter(|(_, r)| r.lease_until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            self.end(inner, &key, v1::End::Lapsed);
        }
    }

    fn tick(&self) {
        let mut inner = self.lock();
        self.lapse(&mut inner);
        let now = self.now();
        let due: Vec<(TaskKey, bool)> = inner
            .running
            .iter()
            .filter(|(_, r)| r.ends_at <= now)
            .map(|(key, r)| (*key, r.behaviour.fail))
            .collect();
        for (key, fail) in due {
            let end = if fail { v1::End::Failed } else { v1::End::Done };
            self.end(&mut inner, &key, end);
        }
        if now.saturating_sub(inner.usage_at) >= USAGE_EVERY_MS {
            inner.usage_at = now;
            self.report_usage(&inner);
        }
    }

    fn report_usage(&self, inner: &Inner) {
        let tasks = inner.running.values().filter_map(|r| {
            let cpu_milli = r.behaviour.cpu_milli.unwrap_or(r.start.cpu_milli);
            let memory_mib = r.behaviour.memory_mib.unwrap_or(r.start.memory_mib);
            let odd = cpu_milli != r.start.cpu_milli || memory_mib != r.start.memory_mib;
            odd.then_some(v1::TaskUsage { task: Some(r.task), cpu_milli, memory_mib })
        });
        let usage = v1::Usage { leaving: inner.leaving, tasks: tasks.collect() };
        self.say(inner, Report::Usage(usage));
    }
}

fn cpu_held(inner: &Inner) -> u64 {
    inner.running.values().map(|r| u64::from(r.start.cpu_milli)).sum()
}

fn memory_held(inner: &Inner) -> u64 {
    inner.running.values().map(|r| u64::from(r.start.memory_mib)).sum()
}

/// The gRPC service of one worker.
#[derive(Clone, Debug)]
struct Service(Arc<StandinWorker>);

#[tonic::async_trait]
impl Worker for Service {
    type AttachStream = ReceiverStream<Result<v1::Report, Status>>;

    async fn attach(
        &self,
        req: Request<Streaming<v1::Order>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let mut orders = req.into_inner();
        let first = orders.message().await?.and_then(|o| o.order);
        let Some(Order::Claim(claim)) = first else {
            return Err(Status::invalid_argument("the first order must be a claim"));
        };
        let (tx, rx) = mpsc::channel(REPORTS_BOUND);
        if let Some(session) = self.0.claim(&claim, tx) {
            let worker = self.0.clone();
            tokio::spawn(async move {
                while let Ok(Some(order)) = orders.message().await {
                    if order.order.is_some_and(|o| !worker.obey(session, o)) {
                        return;
                    }
                }
            });
        }
        Ok(Response::new(ReceiverStream::new(rx)))
    }
}

/// Starts one worker on `addr`. It serves for as long as the runtime lives.
/// Returns the worker, and the instance with the address that it got.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(
    addr: &str,
    mut settings: Settings,
    recorder: Arc<Recorder>,
    objects: Option<Platform>,
) -> io::Result<(Arc<StandinWorker>, Instance)> {
    let listener = TcpListener::bind(addr).await?;
    let local: SocketAddr = listener.local_addr()?;
    settings.instance.addr = local.to_string();
    let instance = settings.instance.clone();
    let worker = Arc::new(StandinWorker::new(settings, recorder, objects));
    let service = WorkerServer::new(Service(worker.clone()));
    let server = tonic::transport::Server::builder().add_service(service);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    tokio::spawn(server.serve_with_incoming(incoming));
    let ticking = Arc::downgrade(&worker);
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(TICK);
        while let Some(worker) = ticking.upgrade() {
            worker.tick();
            drop(worker);
            ticks.tick().await;
        }
    });
    Ok((worker, instance))
}
