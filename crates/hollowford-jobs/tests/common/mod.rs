//! A cell for tests: the engine, workers that keep its orders, rows and advice, on a virtual
//! clock. The workers judge: they panic when an order breaks what must always hold.
#![allow(dead_code, clippy::expect_used)]

pub mod crashes;
pub mod plays;
pub mod storm;
pub mod worker;

use crashes::Crashes;
use hollowford_core::{InstanceId, Millis, Resources};
use hollowford_jobs::*;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use worker::SimWorker;

pub const QUICK: &str = "quick";
pub const LARGE: &str = "large";

pub const BOUNDS: TimeLimits = TimeLimits {
    lease: Millis(3_000),
    previous_lease: Millis(5_100),
    max_lease: Millis(6_000),
    stop_timeout: Millis(400),
    gang_timeout: Millis(3_000),
    ended_job_retention: Millis(150_000),
};

pub fn queue(name: &str, priority: u32, advice: Option<AdviceCost>) -> Queue {
    Queue {
        name: name.into(),
        pool: "pool".into(),
        priority,
        max_attempts: 3,
        stretch: 2.0,
        slack: Millis(1_000),
        advice,
    }
}

pub fn step(count: u32, cpu_milli: u32, ms: u64) -> RawStep {
    RawStep {
        count,
        resources: Resources::new(cpu_milli, 100, 0),
        estimate_ms: ms,
        ..RawStep::default()
    }
}

pub fn job(steps: Vec<RawStep>) -> Arc<JobSpec> {
    let raw = RawJob { template: "t".into(), steps, schedule: None };
    Arc::new(JobSpec::try_from(raw).expect("a valid job"))
}

/// An answer of the service for advice that is on its way.
pub struct AdviceDue {
    pub at: Millis,
    pub seat: AdviceChannel,
    pub step: StepKey,
    pub rows: Advised,
}

/// An engine with its surroundings.
pub struct Cell {
    pub engine: Engine,
    pub now: Millis,
    pub workers: Vec<SimWorker>,
    pub rows: BTreeMap<String, Vec<u8>>,
    pub queues: Vec<Queue>,
    /// Workers that advice bars from every step.
    pub barred: BTreeSet<InstanceId>,
    /// Percent of the workers that may run a step, by queue; all of them in queues that it lacks.
    pub good_percent: BTreeMap<Arc<str>, u64>,
    /// Instances that make no calls for advice, though asked to.
    pub dead_seats: BTreeSet<String>,
    /// Answers of the service for advice take the time that the queue tells; else none.
    pub advice_takes_time: bool,
    /// Answers of that service that are on their way.
    pub advice_due: Vec<AdviceDue>,
    /// Batches are not made while false.
    pub store_up: bool,
    /// Batches under way; `run` has one at a time.
    pub pending: Vec<Batch>,
    pub specs: BTreeMap<JobId, Arc<JobSpec>>,
    /// The queue of each job.
    pub queue_of: BTreeMap<JobId, Arc<str>>,
    /// The client account of each job.
    pub account_of: BTreeMap<JobId, String>,
    /// Entries of lives that are over, which the list still shows.
    pub stale: Vec<WorkerListing>,
    /// Orders carried out, for tests that look at them.
    pub log: Vec<Order>,
    /// Tasks that crash the workers that start them.
    pub crashes: Crashes,
    /// The next owner comes after an outage of the store.
    pub outage_before: bool,
}

impl Cell {
    pub fn new(workers: usize) -> Cell {
        let now = Millis(100_000);
        let queues = vec![queue(QUICK, 0, None), queue(LARGE, 1, None)];
        let mut cell = Cell {
            engine: Engine::new(1, BOUNDS, now),
            now,
            workers: (0..workers).map(|i| SimWorker::new(i, now)).collect(),
            rows: BTreeMap::new(),
            queues,
            barred: BTreeSet::new(),
            good_percent: BTreeMap::new(),
            dead_seats: BTreeSet::new(),
            advice_takes_time: false,
            advice_due: Vec::new(),
            store_up: true,
            pending: Vec::new(),
            specs: BTreeMap::new(),
            queue_of: BTreeMap::new(),
            account_of: BTreeMap::new(),
            stale: Vec::new(),
            log: Vec::new(),
            crashes: Crashes::default(),
            outage_before: false,
        };
        cell.equip();
        cell.run(100);
        cell
    }

    fn equip(&mut self) {
        self.engine.set_queues(&self.queues, self.now);
        self.engine.set_advice_channels(&[AdviceChannel { address: "".into() }]);
        self.list();
    }

    /// Hands the list of workers to the engine.
    pub fn list(&mut self) {
        let list: Vec<_> =
            self.workers.iter().filter(|w| w.listed).map(SimWorker::listing).collect();
        self.engine.list_workers(&list, self.now);
    }

    pub fn set_queues(&mut self, queues: Vec<Queue>) {
        self.queues = queues;
        self.engine.set_queues(&self.queues, self.now);
    }

    pub fn submit(&mut self, id: u64, queue: &str, spec: Arc<JobSpec>) -> SubmitAnswer {
        self.submit_for(NO_ACCOUNT, id, queue, spec)
    }

    /// Hands in a job of a client account.
    pub fn submit_for(
        &mut self,
        account: &str,
        id: u64,
        queue: &str,
        spec: Arc<JobSpec>,
    ) -> SubmitAnswer {
        self.specs.insert(JobId(id), spec.clone());
        self.queue_of.insert(JobId(id), queue.into());
        self.account_of.insert(JobId(id), account.to_owned());
        self.engine.submit(JobId(id), account, queue, spec, self.now)
    }

    pub fn state(&self, id: u64) -> Option<JobState> {
        self.engine.state(JobId(id))
    }

    /// Lets time pass in steps of 5 ms.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + Millis(ms);
        while self.now < until {
            self.now = self.now + Millis(5);
            let now = self.now;
            self.workers.iter_mut().for_each(|w| w.tick(now));
            if self.crashes.tick(&mut self.workers, now) {
                self.list();
            }
            self.turn();
        }
    }

    /// Polls the engine once and carries out what it wants.
    pub fn turn(&mut self) {
        self.answer_advice();
        let orders = self.poll();
        self.carry_out_all(orders);
    }

    /// Polls the engine once.
    pub fn poll(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        self.engine.poll(self.now, &mut orders);
        orders
    }

    /// Carries out what the engine wants, and writes its batch.
    pub fn carry_out_all(&mut self, orders: Vec<Order>) {
        for order in orders {
            self.log.push(order.clone());
            self.carry_out(order);
        }
        self.write();
        self.judge_room();
        self.judge_twice();
    }

    /// Writes the next batch to the store.
    pub fn write(&mut self) {
        if self.pending.is_empty() {
            self.pending.extend(self.engine.cut_batch(self.now));
        }
        if self.store_up {
            self.write_pending();
        }
    }

    /// Cuts one more batch beside those under way. Tells whether there was one to cut.
    pub fn cut(&mut self) -> bool {
        let batch = self.engine.cut_batch(self.now);
        let cut = batch.is_some();
        self.pending.extend(batch);
        cut
    }

    /// Writes all batches under way.
    pub fn write_pending(&mut self) {
        while !self.pending.is_empty() {
            self.write_one(0);
        }
    }

    /// Writes one of the batches under way.
    pub fn write_one(&mut self, at: usize) {
        let number = self.write_unheard(at);
        self.engine.committed(number, self.now);
    }

    /// Writes one of the batches under way, and its answer is lost. Returns its number.
    pub fn write_unheard(&mut self, at: usize) -> u64 {
        let batch = self.pending.remove(at);
        for row in batch.rows {
            match row.value {
                Some(value) => self.rows.insert(row.key, value),
                None => self.rows.remove(&row.key),
            };
        }
        batch.number
    }

    /// The store refuses all batches under way.
    pub fn refuse_pending(&mut self) {
        for batch in std::mem::take(&mut self.pending) {
            self.engine.batch_refused(batch.number);
        }
    }

    fn carry_out(&mut self, order: Order) {
        let fence = self.engine.epoch();
        match order {
            Order::Worker { call, .. } => self.call(call, fence),
            Order::Advice { seat, step, workers } => {
                let seat = self.engine.advice_channel(seat).expect("a seat").clone();
                if self.dead_seats.contains(&*seat.address) {
                    return;
                }
                let good = workers.iter().filter(|w| self.may_run(step, w));
                let rows = good.map(|w| (w.clone(), self.ticket_of(w))).collect();
                let at = self.now + self.advice_time(step.job, workers.len());
                self.advice_due.push(AdviceDue { at, seat, step, rows });
                self.answer_advice();
            }
        }
    }

    /// Tells whether advice lets a step run on a worker.
    pub fn may_run(&self, step: StepKey, id: &InstanceId) -> bool {
        let queue = self.queue_of.get(&step.job);
        let percent = queue.and_then(|q| self.good_percent.get(q)).copied().unwrap_or(100);
        let mut hasher = DefaultHasher::new();
        (step, id).hash(&mut hasher);
        !self.barred.contains(id) && hasher.finish() % 100 < percent
    }

    fn ticket_of(&self, id: &InstanceId) -> Arc<str> {
        let w = self.workers.iter().find(|w| w.id == *id);
        w.map_or_else(|| "".into(), SimWorker::ticket)
    }

    /// Returns how long a call for advice takes that names so many workers.
    fn advice_time(&self, job: JobId, workers: usize) -> Millis {
        let queue = self.queue_of.get(&job).filter(|_| self.advice_takes_time);
        let queue = queue.and_then(|name| self.queues.iter().find(|q| q.name == *name));
        queue.and_then(|q| q.advice).map_or(Millis(0), |cost| Millis(cost.call_ms(workers) as u64))
    }

    /// Hands over the answers of the service for advice that are there.
    fn answer_advice(&mut self) {
        let now = self.now;
        for due in self.advice_due.extract_if(.., |d| d.at <= now).collect::<Vec<_>>() {
            let answer = Some((due.rows, Millis(2_000)));
            self.engine.advice_answered(&due.seat, due.step, answer, now);
        }
    }

    /// Carries out a call at once. A life that is over is answered for by the next one.
    pub fn call(&mut self, call: WorkerCall, fence: u64) {
        let now = self.now;
        match call {
            WorkerCall::Start { worker, task, run, lease_until, saved, ticket, .. } => {
                let spec = self.specs[&task.step.job].clone();
                let need = &spec.steps[task.step.step as usize];
                let starts = self.starts();
                let answer = self.worker(worker.id()).map_or(StartAnswer::OtherLife, |w| {
                    if !ticket.is_empty() && ticket != w.ticket() {
                        return StartAnswer::Ticket;
                    }
                    w.start(task, run, lease_until, fence, need, saved)
                });
                if self.starts() > starts {
                    self.crashes.judge_start(task);
                }
                self.judge_once(task);
                self.engine.start_answered(&worker, (task, run), answer, now, now);
            }
            WorkerCall::Stop { worker, task, run, .. } => {
                let answered = self.worker(worker.id()).is_some_and(|w| w.stop(task, run, fence));
                self.engine.stop_answered(&worker, task, run, answered, now);
            }
            WorkerCall::Pace { worker, task, run, percent, .. } => {
                let paced = |w: &mut SimWorker| w.pace(task, percent, fence);
                let answered = self.worker(worker.id()).is_some_and(paced);
                self.engine.pace_answered(&worker, task, run, percent, answered);
            }
            WorkerCall::Look { worker, address, lease_until, acknowledged, .. } => {
                let look = |w: &mut SimWorker| match w.address == address {
                    true => w.look(lease_until, acknowledged, fence),
                    false => LookAnswer::Unanswered,
                };
                let answer = self.worker(worker.id()).map_or(LookAnswer::OtherLife, look);
                self.engine.looked(&worker, answer, now, now);
            }
        }
    }

    pub fn worker(&mut self, id: &InstanceId) -> Option<&mut SimWorker> {
        self.workers.iter_mut().find(|w| w.id == *id)
    }

    /// A new owner takes over with what the store holds.
    pub fn take_over(&mut self) {
        self.take_over_unlisted();
        self.equip();
    }

    /// A new owner takes over that doesn't know the queues yet.
    pub fn take_over_without_queues(&mut self) {
        let queues = std::mem::take(&mut self.queues);
        self.take_over();
        self.queues = queues;
    }

    /// A new owner takes over, and is not told the list of workers yet.
    pub fn take_over_unlisted(&mut self) {
        let epoch = self.engine.epoch() + 1;
        self.pending.clear();
        self.engine = Engine::new(epoch, BOUNDS, self.now);
        self.engine.set_queues(&self.queues, self.now);
        if self.outage_before {
            self.engine.set_store_outage_before();
        }
        let rows: Vec<_> = self.rows.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        self.engine.recover(&rows, self.now).expect("rows that can be read");
    }

    /// Panics when a worker holds more than it has.
    pub fn judge_room(&self) {
        for w in &self.workers {
            assert!(w.used().fits(&w.capacity), "{} holds {:?}", w.id, w.used());
        }
    }

    /// Panics when this task runs in two places.
    pub fn judge_once(&self, task: TaskKey) {
        let runs = self.workers.iter().filter(|w| w.up && w.running.contains_key(&task)).count();
        assert!(runs <= 1, "{task} runs {runs} times");
    }

    /// Panics when any task runs in two places.
    pub fn judge_twice(&self) {
        let mut seen = BTreeSet::new();
        for w in self.workers.iter().filter(|w| w.up) {
            for task in w.running.keys() {
                assert!(seen.insert(*task), "{task} runs twice");
            }
        }
    }

    /// Returns how many runs the workers of today have begun.
    pub fn starts(&self) -> u64 {
        self.workers.iter().map(|w| w.starts).sum()
    }

    pub fn running(&self) -> usize {
        self.workers.iter().map(|w| w.running.len()).sum()
    }
}
