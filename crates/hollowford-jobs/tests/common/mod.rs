//! A simulated cell for tests: the engine with workers, a store and an advice service on a virtual
//! clock. It panics when an invariant is broken, for example when a task runs on two workers.
#![allow(dead_code, clippy::expect_used)]

pub mod account_load;
pub mod crash_load;
pub mod crashes;
pub mod lossy;
pub mod scenario;
pub mod store_limits;
pub mod worker;

use crashes::CrashInjector;
use hollowford_core::{InstanceId, Millis, Resources};
use hollowford_jobs::*;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use worker::{RunTimes, SimWorker};

pub const QUICK: &str = "quick";
pub const LARGE: &str = "large";

pub const TIME_LIMITS: TimeLimits = TimeLimits {
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
    Arc::new(JobSpec::try_from(raw).expect("job specification should be valid"))
}

/// An answer of the advice service that has not arrived yet.
pub struct PendingAdvice {
    /// Time of arrival.
    pub at: Millis,
    pub channel: AdviceChannel,
    pub step: StepKey,
    pub rows: WorkerTickets,
}

/// An engine with simulated workers, store and advice service.
pub struct TestCell {
    pub engine: Engine,
    pub now: Millis,
    pub workers: Vec<SimWorker>,
    pub rows: BTreeMap<String, Vec<u8>>,
    pub queues: Vec<Queue>,
    /// Workers that the advice service rejects for every step.
    pub excluded_workers: BTreeSet<InstanceId>,
    /// Percentage of the workers that the advice service accepts for a step, by queue; default 100.
    pub eligible_percent: BTreeMap<Arc<str>, u64>,
    /// Addresses of instances that never answer a request for advice.
    pub unresponsive_instances: BTreeSet<String>,
    /// Whether advice arrives after the duration in the queue's `AdviceCost`, or else at once.
    pub delay_advice: bool,
    /// Answers of the advice service that have not arrived yet.
    pub pending_advice: Vec<PendingAdvice>,
    /// Whether the store commits batches.
    pub store_up: bool,
    /// Batches in flight; `run` keeps at most one.
    pub pending_batches: Vec<Batch>,
    pub specs: BTreeMap<JobId, Arc<JobSpec>>,
    /// The queue of each job.
    pub job_queues: BTreeMap<JobId, Arc<str>>,
    /// The client account of each job.
    pub job_accounts: BTreeMap<JobId, String>,
    /// Listings of earlier incarnations of workers, which the platform's list still contains.
    pub stale_listings: Vec<WorkerListing>,
    /// Whether the list names the earlier incarnations before the current ones.
    pub stale_listings_first: bool,
    /// Every order that was executed, oldest first.
    pub executed_orders: Vec<Order>,
    /// Crashes workers under chosen jobs, and restarts them.
    pub crashes: CrashInjector,
    /// Whether the next takeover follows an outage of the store.
    pub store_outage_before: bool,
    /// Run times of tasks that differ from their estimates, in milliseconds on a worker without
    /// slowdown.
    pub run_times: RunTimes,
    /// Optional decisions of the engine.
    pub features: Features,
    /// Limits of the engine's rows. The store of the test refuses none for being larger.
    pub row_limits: RowLimits,
    /// Tasks of which the engine has been told, or an earlier owner has stored, that they are done.
    pub done_tasks: BTreeSet<TaskKey>,
    /// Those whose end was acknowledged, so that it is stored.
    pub stored_done_tasks: BTreeSet<TaskKey>,
}

impl TestCell {
    pub fn new(workers: usize) -> TestCell {
        let now = Millis(100_000);
        let queues = vec![queue(QUICK, 0, None), queue(LARGE, 1, None)];
        let mut cell = TestCell {
            engine: Engine::new(1, TIME_LIMITS, now),
            now,
            workers: (0..workers).map(|i| SimWorker::new(i, now)).collect(),
            rows: BTreeMap::new(),
            queues,
            excluded_workers: BTreeSet::new(),
            eligible_percent: BTreeMap::new(),
            unresponsive_instances: BTreeSet::new(),
            delay_advice: false,
            pending_advice: Vec::new(),
            store_up: true,
            pending_batches: Vec::new(),
            specs: BTreeMap::new(),
            job_queues: BTreeMap::new(),
            job_accounts: BTreeMap::new(),
            stale_listings: Vec::new(),
            stale_listings_first: false,
            executed_orders: Vec::new(),
            crashes: CrashInjector::default(),
            store_outage_before: false,
            run_times: RunTimes::default(),
            features: Features::default(),
            row_limits: RowLimits::default(),
            done_tasks: BTreeSet::new(),
            stored_done_tasks: BTreeSet::new(),
        };
        cell.workers.iter_mut().for_each(|w| w.run_times = cell.run_times.clone());
        cell.configure_engine();
        cell.run(100);
        cell
    }

    fn configure_engine(&mut self) {
        self.engine.set_features(self.features);
        self.engine.set_queues(&self.queues, self.now);
        self.engine.set_advice_channels(&[AdviceChannel { address: "".into() }]);
        self.update_worker_list();
    }

    /// Passes the current list of workers to the engine.
    pub fn update_worker_list(&mut self) {
        let listed = self.workers.iter().filter(|w| w.listed || w.withdrawn);
        let mut list: Vec<_> = listed.map(SimWorker::listing).collect();
        let at = if self.stale_listings_first { 0 } else { list.len() };
        list.splice(at..at, self.stale_listings.iter().cloned());
        self.engine.set_worker_list(&list, self.now);
    }

    pub fn set_queues(&mut self, queues: Vec<Queue>) {
        self.queues = queues;
        self.engine.set_queues(&self.queues, self.now);
    }

    pub fn submit(&mut self, id: u64, queue: &str, spec: Arc<JobSpec>) -> SubmitAnswer {
        self.submit_for(NO_ACCOUNT, id, queue, spec)
    }

    /// Submits a job for a client account.
    pub fn submit_for(
        &mut self,
        account: &str,
        id: u64,
        queue: &str,
        spec: Arc<JobSpec>,
    ) -> SubmitAnswer {
        self.specs.insert(JobId(id), spec.clone());
        self.job_queues.insert(JobId(id), queue.into());
        self.job_accounts.insert(JobId(id), account.to_owned());
        self.engine.submit(JobId(id), account, queue, spec, self.now)
    }

    pub fn state(&self, id: u64) -> Option<JobState> {
        self.engine.state(JobId(id))
    }

    /// Advances the clock by `ms` in steps of 5 ms, and polls the engine at each step.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + Millis(ms);
        while self.now < until {
            self.now = self.now + Millis(5);
            let now = self.now;
            self.workers.iter_mut().for_each(|w| w.tick(now));
            if self.crashes.tick(&mut self.workers, now) {
                self.update_worker_list();
            }
            self.poll_and_execute();
        }
    }

    /// Delivers due advice, polls the engine once and executes its orders.
    pub fn poll_and_execute(&mut self) {
        self.deliver_due_advice();
        let orders = self.poll();
        self.execute_all(orders);
    }

    /// Polls the engine once and returns its orders without executing them.
    pub fn poll(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        self.engine.poll(self.now, &mut orders);
        orders
    }

    /// Executes orders, writes the next batch and checks the invariants.
    pub fn execute_all(&mut self, orders: Vec<Order>) {
        for order in orders {
            self.executed_orders.push(order.clone());
            self.execute(order);
        }
        self.write_batches();
        self.assert_within_capacity();
        self.assert_no_duplicates();
    }

    /// Builds a batch if none is in flight, and writes all batches if the store is up.
    pub fn write_batches(&mut self) {
        if self.pending_batches.is_empty() {
            self.pending_batches.extend(self.engine.next_batch(self.now));
        }
        if self.store_up {
            self.write_pending();
        }
    }

    /// Adds one more batch to those in flight. Returns false if there was nothing to write.
    pub fn add_pending_batch(&mut self) -> bool {
        let batch = self.engine.next_batch(self.now);
        let added = batch.is_some();
        self.pending_batches.extend(batch);
        added
    }

    /// Writes all batches in flight.
    pub fn write_pending(&mut self) {
        while !self.pending_batches.is_empty() {
            self.write_batch(0);
        }
    }

    /// Writes the batch in flight at this position.
    pub fn write_batch(&mut self, at: usize) {
        let number = self.write_batch_unconfirmed(at);
        self.engine.batch_committed(number, self.now);
    }

    /// Writes the batch in flight at this position, but loses the store's answer. Returns the
    /// batch number.
    pub fn write_batch_unconfirmed(&mut self, at: usize) -> u64 {
        let batch = self.pending_batches.remove(at);
        store_limits::assert_accepted(&batch, self.row_limits.max_row_bytes);
        for row in batch.rows {
            match row.value {
                Some(value) => self.rows.insert(row.key, value),
                None => self.rows.remove(&row.key),
            };
        }
        batch.number
    }

    /// Makes the store refuse all batches in flight.
    pub fn refuse_pending(&mut self) {
        for batch in std::mem::take(&mut self.pending_batches) {
            self.engine.batch_refused(batch.number);
        }
    }

    fn execute(&mut self, order: Order) {
        let fence = self.engine.epoch();
        match order {
            Order::Worker { call, .. } => self.call(call, fence),
            Order::Advice { channel, step, workers } => {
                let channel = self
                    .engine
                    .advice_channel(channel)
                    .expect("the engine should know the channel")
                    .clone();
                if self.unresponsive_instances.contains(&*channel.address) {
                    return;
                }
                let eligible = workers.iter().filter(|w| self.is_eligible(step, w));
                let rows = eligible.map(|w| (w.clone(), self.ticket_of(w))).collect();
                let at = self.now + self.advice_delay(step.job, workers.len());
                self.pending_advice.push(PendingAdvice { at, channel, step, rows });
                self.deliver_due_advice();
            }
        }
    }

    /// Returns true if the advice service accepts the worker for the step.
    pub fn is_eligible(&self, step: StepKey, id: &InstanceId) -> bool {
        let queue = self.job_queues.get(&step.job);
        let percent = queue.and_then(|q| self.eligible_percent.get(q)).copied().unwrap_or(100);
        let mut hasher = DefaultHasher::new();
        (step, id).hash(&mut hasher);
        !self.excluded_workers.contains(id) && hasher.finish() % 100 < percent
    }

    fn ticket_of(&self, id: &InstanceId) -> Arc<str> {
        let w = self.workers.iter().find(|w| w.id == *id);
        w.map_or_else(|| "".into(), SimWorker::ticket)
    }

    /// Returns how long a request for advice about `workers` workers takes.
    fn advice_delay(&self, job: JobId, workers: usize) -> Millis {
        let queue = self.job_queues.get(&job).filter(|_| self.delay_advice);
        let queue = queue.and_then(|name| self.queues.iter().find(|q| q.name == *name));
        queue.and_then(|q| q.advice).map_or(Millis(0), |cost| Millis(cost.call_ms(workers) as u64))
    }

    /// Passes the answers of the advice service that have arrived to the engine.
    fn deliver_due_advice(&mut self) {
        let now = self.now;
        for due in self.pending_advice.extract_if(.., |d| d.at <= now).collect::<Vec<_>>() {
            let answer = Some((due.rows, Millis(2_000)));
            self.engine.advice_answered(&due.channel, due.step, answer, now);
        }
    }

    /// Executes a call at once. If the worker has restarted under the same id, its new incarnation
    /// answers.
    pub fn call(&mut self, call: WorkerCall, fence: u64) {
        let now = self.now;
        match call {
            WorkerCall::Start { worker, task, run, lease_until, saved, ticket, .. } => {
                let spec = self.specs[&task.step.job].clone();
                let need = &spec.steps[task.step.step as usize];
                let starts = self.total_starts();
                let answer = self.worker(worker.id()).map_or(StartAnswer::OtherLife, |w| {
                    if !ticket.is_empty() && ticket != w.ticket() {
                        return StartAnswer::Ticket;
                    }
                    w.start(task, run, lease_until, fence, need, saved)
                });
                if self.total_starts() > starts {
                    self.crashes.assert_start_limit(task);
                    assert!(!self.done_tasks.contains(&task), "{task} was started after its end");
                }
                self.assert_runs_once(task);
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
                let ended: Vec<End> = match self.worker(worker.id()) {
                    Some(w) if w.life() == worker => w.ended.clone(),
                    _ => Vec::new(),
                };
                let answer = self.worker(worker.id()).map_or(LookAnswer::OtherLife, look);
                self.record_done(&ended, &answer, acknowledged);
                self.engine.look_answered(&worker, answer, now, now);
            }
        }
    }

    /// Records the tasks that are done according to the ends that a worker listed before a look, the
    /// look's answer, and the ends that the look acknowledged.
    fn record_done(&mut self, ended: &[End], answer: &LookAnswer, acknowledged: u64) {
        let LookAnswer::Lists(look) = answer else { return };
        let is_final = |e: &&End| {
            let specs = self.specs.get(&e.task.step.job);
            let spec = specs.and_then(|s| s.steps.get(e.task.step.step as usize));
            e.kind == EndKind::Done && spec.is_some_and(|s| !s.service)
        };
        let stored = ended.iter().filter(|e| e.number <= acknowledged).filter(is_final);
        let stored: Vec<_> = stored.map(|e| e.task).collect();
        // A look of another incarnation may be ignored.
        let is_same = look.ended.iter().all(|e| ended.contains(e));
        let told = look.ended.iter().filter(|_| is_same).filter(is_final);
        let told: Vec<_> = told.map(|e| e.task).collect();
        self.done_tasks.extend(stored.iter().chain(&told));
        self.stored_done_tasks.extend(stored);
    }

    pub fn worker(&mut self, id: &InstanceId) -> Option<&mut SimWorker> {
        self.workers.iter_mut().find(|w| w.id == *id)
    }

    /// Replaces the limits of the engine's rows. Called before anything is submitted.
    pub fn set_row_limits(&mut self, limits: RowLimits) {
        self.row_limits = limits;
        self.engine.set_row_limits(limits);
    }

    /// Replaces the engine by that of a new owner, which recovers from the rows in the store.
    pub fn take_over(&mut self) {
        self.take_over_without_worker_list();
        self.configure_engine();
    }

    /// A new owner takes over before it knows the queues.
    pub fn take_over_without_queues(&mut self) {
        let queues = std::mem::take(&mut self.queues);
        self.take_over();
        self.queues = queues;
    }

    /// A new owner takes over before it knows the list of workers.
    pub fn take_over_without_worker_list(&mut self) {
        let epoch = self.engine.epoch() + 1;
        self.pending_batches.clear();
        self.engine = Engine::new(epoch, TIME_LIMITS, self.now);
        self.engine.set_row_limits(self.row_limits);
        self.engine.set_features(self.features);
        self.done_tasks = self.stored_done_tasks.clone();
        self.engine.set_queues(&self.queues, self.now);
        if self.store_outage_before {
            self.engine.set_store_outage_before();
        }
        let rows: Vec<_> = self.rows.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        self.engine.recover(&rows, self.now).expect("rows should be readable");
    }

    /// Panics if the tasks on a worker take more than its capacity.
    pub fn assert_within_capacity(&self) {
        for w in &self.workers {
            assert!(w.used().fits(&w.capacity), "tasks on {} take {:?}", w.id, w.used());
        }
    }

    /// Returns the number of workers on which a task runs.
    pub fn run_count(&self, task: TaskKey) -> usize {
        self.workers.iter().filter(|w| w.up && w.running.contains_key(&task)).count()
    }

    /// Returns the number of workers on which a task may run at the same time: two if its step is
    /// speculative, and one otherwise.
    fn max_runs(&self, task: TaskKey) -> usize {
        let spec = &self.specs[&task.step.job].steps[task.step.step as usize];
        if spec.speculative && !spec.gang && !spec.service { 2 } else { 1 }
    }

    /// Panics if this task runs on more workers than it may.
    pub fn assert_runs_once(&self, task: TaskKey) {
        let (runs, max_runs) = (self.run_count(task), self.max_runs(task));
        assert!(runs <= max_runs, "{task} runs on {runs} workers");
    }

    /// Panics if any task runs on more workers than it may, or twice with the same run number.
    pub fn assert_no_duplicates(&self) {
        let mut seen: BTreeMap<TaskKey, Vec<u32>> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| w.up) {
            for (task, r) in &w.running {
                let runs = seen.entry(*task).or_default();
                assert!(!runs.contains(&r.run), "run {} of {task} is on two workers", r.run);
                runs.push(r.run);
                let count = runs.len();
                assert!(count == 1 || count <= self.max_runs(*task), "{task} runs on two workers");
            }
        }
    }

    /// Returns how many runs the current incarnations of the workers have started.
    pub fn total_starts(&self) -> u64 {
        self.workers.iter().map(|w| w.starts).sum()
    }

    /// Returns how many tasks run on all workers.
    pub fn running_tasks(&self) -> usize {
        self.workers.iter().map(|w| w.running.len()).sum()
    }
}
