//! Random scenarios: jobs, some of which crash the workers that run them, and external failures.
//!
//! A scenario is drawn from its seed. The cell checks the invariants at each step (no task runs
//! twice, no worker is over its capacity, few starts after crashes); the final states are checked
//! here.

use super::worker::SimWorker;
use super::{LARGE, QUICK, TestCell, job, step};
use fastrand::Rng;
use hollowford_core::Millis;
use hollowford_jobs::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Duration of one step, in milliseconds.
const TICK_MS: u64 = 5;
/// How long jobs are submitted, in milliseconds.
const ARRIVALS_MS: u64 = 40_000;
/// Mean time between two changes of the downtime after a crash, in milliseconds.
const DOWNTIME_CHANGE_MS: u64 = 3_000;
/// Number of jobs that are added to a scenario with copies. None of them crashes workers.
const MORE_JOBS: u64 = 20;
/// Mean time between two changes of the pace of a worker, in milliseconds.
const PACE_CHANGE_MS: u64 = 700;
/// How long failures occur, in milliseconds.
const FAILURES_MS: u64 = 60_000;
/// Factor by which late crashes come later after a start than others.
const LATE_CRASH_FACTOR: u64 = 8;
/// Time after the last failure within which all jobs must end, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 240_000;
/// The limit on starts holds once the store has worked for this long.
const STORE_HEALTHY_AFTER: Millis = Millis(2_000);
/// Minimum outage of the store that a new owner takes into account.
const MIN_OUTAGE: Millis = Millis(500);
/// A new owner takes an outage into account if it ended less than this long ago.
const RECENT_OUTAGE: Millis = Millis(2_000);
/// Maximum time until a leaving worker is replaced by another one at its address, in milliseconds.
const MAX_LEAVE_MS: u64 = 2_500;
/// A gang member ends if its gang is incomplete for this long.
const GANG_TIMEOUT: Millis = Millis(3_000);

/// The failures of a scenario: the mean time between two of a kind in milliseconds, 0 for none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    pub takeovers: u64,
    pub outages: u64,
    /// Percentage of the outages that are followed by a takeover.
    pub owner_lost_percent: u32,
    /// The store refuses the batches in flight.
    pub refusals: u64,
    /// A worker is unreachable for a while; its tasks continue.
    pub disconnects: u64,
    /// A worker's answers are lost for a while; it executes the orders.
    pub lost_answers: u64,
    /// A worker crashes for a reason unrelated to its tasks.
    pub crashes: u64,
    /// Several workers crash at once.
    pub rack_crashes: u64,
    /// A worker leaves and is replaced.
    pub departures: u64,
    /// Whether tasks that crash their workers do so long after their start, up to seconds.
    pub late_crashes: bool,
    /// Whether crashed workers may restart under the same id, and also without any downtime.
    pub reuse_ids: bool,
}

/// The state of a scenario.
pub struct Scenario {
    pub cell: TestCell,
    rng: Rng,
    failures: Failures,
    /// Factor by which failures are more frequent than `failures` says.
    failure_factor: u64,
    /// Maximum time that the store takes for a batch, in milliseconds; 0 for none.
    batch_ms: u64,
    started_at: Millis,
    /// All jobs: time of submission, id, queue and specification.
    submissions: Vec<(Millis, u64, &'static str, Arc<JobSpec>)>,
    /// Jobs that the engine has reported as durable.
    durable: BTreeSet<u64>,
    /// Final states of the jobs that have ended.
    ended: BTreeMap<u64, JobState>,
    /// Number of tasks of each service job, which runs until it is cancelled.
    service_jobs: BTreeMap<u64, usize>,
    /// End of the last outage of the store.
    store_back_at: Millis,
    /// Start and end of the last outage of the store.
    last_outage: (Millis, Millis),
    /// Whether a takeover follows at the end of the outage.
    owner_lost: bool,
    /// Last time at which the store was down or refused a batch.
    store_failed_at: Millis,
    /// When the batch in flight will be committed.
    write_due_at: Option<Millis>,
    /// When silent workers answer again, by address.
    silent_until: BTreeMap<Arc<str>, Millis>,
    /// When leaving workers are replaced, by address.
    departs_at: BTreeMap<Arc<str>, Millis>,
    /// Number of workers that have replaced one that left.
    replacements: u64,
    /// Whether to print the engine's events.
    pub traced: bool,
    /// Draws of scenarios with copies, apart from `rng` so that other scenarios stay the same.
    copies_rng: Option<Rng>,
    /// Copies started by all owners.
    copies: u64,
    /// Takeovers while a task had two runs.
    takeovers_of_copies: u64,
}

/// What a scenario has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    pub faults: Vec<String>,
    /// Copies started.
    pub copies: u64,
    /// Copies that have ended, as counted by the last owner.
    pub ended_copies: u64,
    /// Takeovers while a task had two runs.
    pub takeovers_of_copies: u64,
}

impl Scenario {
    /// Draws the jobs and the cell of a scenario.
    pub fn new(seed: u64, failures: Failures) -> Scenario {
        let mut rng = Rng::with_seed(seed);
        let cell = TestCell::new(rng.usize(6..=15));
        let (failure_factor, started_at) = (rng.u64(1..=4), cell.now);
        let mut scenario = Scenario {
            cell,
            rng,
            failures,
            failure_factor,
            batch_ms: 0,
            started_at,
            submissions: Vec::new(),
            durable: BTreeSet::new(),
            ended: BTreeMap::new(),
            service_jobs: BTreeMap::new(),
            store_back_at: Millis(0),
            last_outage: (Millis(0), Millis(0)),
            owner_lost: false,
            store_failed_at: Millis(0),
            write_due_at: None,
            silent_until: BTreeMap::new(),
            departs_at: BTreeMap::new(),
            replacements: 0,
            traced: false,
            copies_rng: None,
            copies: 0,
            takeovers_of_copies: 0,
        };
        scenario.draw_jobs();
        scenario
    }

    /// Draws a scenario with further jobs, in which half of the steps are speculative and workers are slow at times.
    /// None stalls: tasks that crash their workers would be moved before they do, and the check of
    /// their starts counts each start as another crash.
    pub fn with_copies(seed: u64, failures: Failures) -> Scenario {
        let mut scenario = Scenario::new(seed, failures);
        let mut rng = Rng::with_seed(seed);
        for id in 0..MORE_JOBS {
            let at = scenario.started_at + Millis(rng.u64(0..ARRIVALS_MS));
            let batch = step(rng.u32(1..6), rng.u32(500..2_000), rng.u64(500..2_500));
            scenario.submissions.push((at, 1_000 + id, QUICK, job(vec![batch])));
        }
        for (_, _, _, spec) in &mut scenario.submissions {
            let mut changed = JobSpec::clone(spec);
            changed.steps.iter_mut().for_each(|s| s.speculative = rng.bool());
            *spec = Arc::new(changed);
        }
        scenario.copies_rng = Some(rng);
        scenario
    }

    /// Makes a worker slow, or ordinary again.
    fn change_pace(&mut self) {
        let Some(rng) = &mut self.copies_rng else { return };
        if rng.u64(0..PACE_CHANGE_MS) >= TICK_MS {
            return;
        }
        let at = rng.usize(0..self.cell.workers.len());
        let w = &mut self.cell.workers[at];
        w.slowdown = [1, 5, 12][rng.usize(0..3)];
        w.stop_delay_ms = [0, 300][rng.usize(0..2)];
    }

    fn draw_jobs(&mut self) {
        let crash_after_ms = self.rng.u64(10..=400);
        let factor = if self.failures.late_crashes { LATE_CRASH_FACTOR } else { 1 };
        self.cell.crashes.crash_after = Millis(crash_after_ms * factor);
        self.draw_downtime();
        self.batch_ms = [0, 20, 60][self.rng.usize(0..3)];
        let crashing = [10, 30, 60][self.rng.usize(0..3)];
        for w in &mut self.cell.workers {
            w.runs_until_stopped = true;
        }
        for id in 1..=self.rng.u64(2..=12) {
            let at = self.started_at + Millis(self.rng.u64(0..ARRIVALS_MS));
            let (queue, spec) = self.draw_job(id, at);
            if id == 1 || self.rng.u32(0..100) < crashing {
                self.cell.crashes.jobs.insert(JobId(id));
            }
            self.submissions.push((at, id, queue, spec));
        }
    }

    fn draw_downtime(&mut self) {
        if !self.failures.reuse_ids {
            self.cell.crashes.downtime = Millis(self.rng.u64(800..13_000));
            return;
        }
        let min_downtime = [0, 800][self.rng.usize(0..2)];
        self.cell.crashes.downtime = Millis(self.rng.u64(min_downtime..13_000));
        self.cell.crashes.same_id = self.rng.u32(0..4) > 0;
    }

    fn draw_job(&mut self, id: u64, at: Millis) -> (&'static str, Arc<JobSpec>) {
        let rng = &mut self.rng;
        let ms = rng.u64(200..2_500);
        match rng.u32(0..10) {
            0..3 => (QUICK, job(vec![step(rng.u32(1..4), 1_400, ms)])),
            3..5 => (LARGE, job(vec![step(rng.u32(2..20), rng.u32(500..8_000), ms)])),
            5..7 => {
                // Small enough to fit into the smallest cell together with all service tasks.
                let (tasks, cpu) = (rng.u32(2..9), rng.u32(1_000..6_000));
                let gang = RawStep { gang: true, ..step(tasks, cpu, ms + rng.u64(0..4_000)) };
                (LARGE, job(vec![gang]))
            }
            7 => {
                let last = RawStep { depends_on: vec![0], ..step(2, 1_000, ms) };
                (QUICK, job(vec![step(2, 1_000, ms), last]))
            }
            8 => {
                let tasks = rng.u32(1..3);
                self.service_jobs.insert(id, tasks as usize);
                (LARGE, job(vec![RawStep { service: true, ..step(tasks, 1_000, 0) }]))
            }
            _ => (QUICK, scheduled_job(at, step(1, 1_000, ms))),
        }
    }

    /// Runs the scenario to its end, and returns the faults found.
    pub fn run(self) -> Vec<String> {
        self.run_to_outcome().faults
    }

    /// Runs the scenario to its end.
    pub fn run_to_outcome(mut self) -> Outcome {
        while self.age() < FAILURES_MS {
            self.inject_failures();
            self.change_pace();
            self.tick();
        }
        self.stop_failures();
        let until = self.age() + SETTLE_TIMEOUT_MS;
        while self.age() < until && !self.is_settled() {
            self.tick();
        }
        // Before the additional time, in which a service task may crash its worker again.
        let faults = self.find_faults();
        if self.copies_rng.is_some() {
            // The last runs to be stopped end.
            self.cell.run(1_000);
        }
        let stats = self.cell.engine.stats();
        Outcome {
            faults,
            ended_copies: stats.copy_outcomes().into_iter().map(|(_, count)| count).sum(),
            copies: self.copies + stats.copies,
            takeovers_of_copies: self.takeovers_of_copies,
        }
    }

    fn age(&self) -> u64 {
        self.cell.now.since(self.started_at).0
    }

    fn tick(&mut self) {
        self.submit_due();
        let now = self.cell.now;
        let replaced = self.replace_departed(now);
        self.silent_until.retain(|_, until| *until > now);
        let silent_until = &self.silent_until;
        for w in &mut self.cell.workers {
            w.runs_until_stopped = true;
            if !silent_until.contains_key(&w.address) {
                (w.reachable, w.drops_answers) = (true, false);
            }
        }
        if replaced {
            self.cell.update_worker_list();
        }
        self.write_due_batch(now);
        let is_healthy =
            now >= self.store_back_at && now.since(self.store_failed_at) >= STORE_HEALTHY_AFTER;
        self.cell.crashes.store_healthy = is_healthy;
        // With a delay, `write_due_batch` writes the batches instead of the cell.
        self.cell.store_up = self.batch_ms == 0 && now >= self.store_back_at;
        let runs_before = self.traced.then(|| self.current_runs());
        self.cell.run(TICK_MS);
        self.end_broken_gangs();
        if let Some(before) = runs_before {
            self.print_run_changes(&before);
        }
        self.record_ends();
        self.assert_none_stuck();
        let age = self.age();
        for event in self.cell.engine.take_events() {
            if self.traced {
                eprintln!("{age:>6} {event}");
            }
        }
    }

    /// Returns the runs on all workers, each with the worker.
    fn current_runs(&self) -> BTreeSet<(TaskKey, u32, String)> {
        let workers = self.cell.workers.iter().filter(|w| w.up);
        let runs = |w: &SimWorker| {
            let life = w.life().to_string();
            w.running.iter().map(|(t, r)| (*t, r.run, life.clone())).collect::<Vec<_>>()
        };
        workers.flat_map(runs).collect()
    }

    /// Prints the runs that have begun or ended on the workers, whether or not the engine knows.
    fn print_run_changes(&self, before: &BTreeSet<(TaskKey, u32, String)>) {
        let (age, after) = (self.age(), self.current_runs());
        for (task, run, worker) in after.difference(before) {
            eprintln!("{age:>6} worker {worker} begins run={run} of {task}");
        }
        for (task, run, worker) in before.difference(&after) {
            let up = self.cell.workers.iter().any(|w| w.up && w.life().to_string() == *worker);
            let how = if up { "ends" } else { "crashes under" };
            eprintln!("{age:>6} worker {worker} {how} run={run} of {task}");
        }
    }

    /// Submits the jobs that are due, and resubmits those that were lost with an earlier owner.
    fn submit_due(&mut self) {
        let now = self.cell.now;
        for (at, id, queue, spec) in self.submissions.clone() {
            if now < at || self.durable.contains(&id) {
                continue;
            }
            match self.cell.engine.is_durable(JobId(id)) {
                Some(true) => drop(self.durable.insert(id)),
                Some(false) => {}
                None => drop(self.cell.submit(id, queue, spec)),
            }
        }
    }

    /// Writes the batch in flight once it is due, if the store is up.
    fn write_due_batch(&mut self, now: Millis) {
        if now < self.store_back_at {
            (self.store_failed_at, self.write_due_at) = (now, None);
            return;
        }
        if std::mem::take(&mut self.owner_lost) {
            self.take_over();
        }
        if self.cell.pending_batches.is_empty() {
            self.write_due_at = None;
            return;
        }
        let at = *self.write_due_at.get_or_insert(now + Millis(self.rng.u64(0..=self.batch_ms)));
        if now >= at {
            self.cell.write_batch(0);
            self.write_due_at = None;
        }
    }

    /// Another owner takes over. Some of the batches in flight are committed, the others are lost.
    fn take_over(&mut self) {
        if self.traced {
            eprintln!("{:>6} takeover", self.age());
        }
        while !self.cell.pending_batches.is_empty() && self.rng.bool() {
            self.cell.write_batch_unconfirmed(0);
        }
        self.write_due_at = None;
        self.copies += self.cell.engine.stats().copies;
        let running = self.cell.workers.iter().flat_map(|w| w.running.keys());
        let has_copy = running.copied().any(|task| self.cell.run_count(task) > 1);
        self.takeovers_of_copies += u64::from(has_copy);
        let (from, until) = self.last_outage;
        let is_recent = self.cell.now.since(until) < RECENT_OUTAGE;
        self.cell.store_outage_before = is_recent && until.since(from) >= MIN_OUTAGE;
        self.cell.take_over();
    }

    /// Draws whether a failure that occurs every `every` milliseconds on average occurs in this
    /// step.
    fn occurs(&mut self, every: u64) -> bool {
        every > 0 && self.rng.u64(0..every) < TICK_MS * self.failure_factor
    }

    fn inject_failures(&mut self) {
        let f = self.failures;
        let now = self.cell.now;
        let is_store_down = now < self.store_back_at;
        if self.occurs(f.takeovers) && !is_store_down {
            self.take_over();
        }
        if self.occurs(f.outages) && !is_store_down {
            self.store_back_at = now + Millis(self.rng.u64(300..9_000));
            self.last_outage = (now, self.store_back_at);
            self.owner_lost = self.rng.u32(0..100) < f.owner_lost_percent;
        }
        if self.occurs(f.refusals) && !is_store_down {
            self.cell.refuse_pending();
            self.store_failed_at = now;
        }
        if self.occurs(f.disconnects) {
            let until = now + Millis(self.rng.u64(100..7_000));
            self.with_random_worker(|scenario, at| {
                scenario.silence(at, until, |w| w.reachable = false)
            });
        }
        if self.occurs(f.lost_answers) {
            let until = now + Millis(self.rng.u64(50..1_500));
            self.with_random_worker(|scenario, at| {
                scenario.silence(at, until, |w| w.drops_answers = true)
            });
        }
        self.inject_worker_failures(f);
    }

    fn inject_worker_failures(&mut self, f: Failures) {
        if self.occurs(DOWNTIME_CHANGE_MS) {
            self.draw_downtime();
        }
        if self.occurs(f.crashes) {
            self.with_random_worker(Scenario::crash);
        }
        if self.occurs(f.rack_crashes) {
            for _ in 0..self.rng.u32(2..5) {
                self.with_random_worker(Scenario::crash);
            }
        }
        if self.occurs(f.departures) {
            self.with_random_worker(Scenario::start_leaving);
        }
    }

    fn with_random_worker(&mut self, act: impl FnOnce(&mut Scenario, usize)) {
        let at = self.rng.usize(0..self.cell.workers.len());
        if self.cell.workers[at].up {
            act(self, at);
        }
    }

    fn silence(&mut self, at: usize, until: Millis, how: impl FnOnce(&mut SimWorker)) {
        let w = &mut self.cell.workers[at];
        how(w);
        self.silent_until.insert(w.address.clone(), until);
    }

    fn crash(&mut self, at: usize) {
        let cell = &mut self.cell;
        cell.crashes.crash(&mut cell.workers[at]);
    }

    fn start_leaving(&mut self, at: usize) {
        let w = &mut self.cell.workers[at];
        if std::mem::replace(&mut w.leaving, true) {
            return;
        }
        let departs_at = w.now + Millis(self.rng.u64(500..MAX_LEAVE_MS));
        self.departs_at.insert(w.address.clone(), departs_at);
        self.cell.update_worker_list();
    }

    /// Replaces the workers that have left. Returns true if there were any.
    fn replace_departed(&mut self, now: Millis) -> bool {
        let departed: Vec<_> = self.departs_at.extract_if(.., |_, at| *at <= now).collect();
        for (address, _) in &departed {
            let w = self.cell.workers.iter_mut().find(|w| w.address == *address);
            if let Some(w) = w.filter(|w| w.up && w.leaving) {
                self.replacements += 1;
                w.restart(&format!("next-{}", self.replacements));
            }
        }
        !departed.is_empty()
    }

    /// Ends the members of gangs that have been incomplete for too long.
    fn end_broken_gangs(&mut self) {
        let now = self.cell.now;
        let mut members: BTreeMap<(StepKey, u32), u32> = BTreeMap::new();
        for w in &self.cell.workers {
            for (task, r) in &w.running {
                *members.entry((task.step, r.run)).or_default() += 1;
            }
        }
        for w in &mut self.cell.workers {
            for (task, r) in w.running.clone() {
                let spec = &self.cell.specs[&task.step.job].steps[task.step.step as usize];
                let count = members.get(&(task.step, r.run)).copied().unwrap_or(0);
                if spec.gang && count < spec.count && now.since(r.started_at) > GANG_TIMEOUT {
                    w.end(task, EndKind::Alone);
                }
            }
        }
    }

    fn record_ends(&mut self) {
        for id in &self.durable {
            if let Some(state) = self.cell.state(*id).filter(|s| s.is_final()) {
                self.ended.insert(*id, state);
            }
        }
    }

    /// Panics if a task waits for something that can't happen.
    fn assert_none_stuck(&self) {
        if let Some(stuck) = self.cell.engine.stuck_tasks().first() {
            panic!("{stuck}");
        }
    }

    fn stop_failures(&mut self) {
        self.failures = Failures::default();
        self.store_back_at = Millis(0);
        self.silent_until.clear();
        for w in self.cell.workers.iter_mut().filter(|_| self.copies_rng.is_some()) {
            w.slowdown = 1;
        }
    }

    fn is_settled(&self) -> bool {
        self.submissions.iter().all(|(_, id, ..)| self.is_as_expected(*id))
    }

    /// Returns true if a job has ended, or runs all tasks that run until it is cancelled.
    fn is_as_expected(&self, id: u64) -> bool {
        let tasks = self.cell.workers.iter().flat_map(|w| w.running.keys());
        let running = tasks.filter(|t| t.step.job == JobId(id)).count();
        self.ended.contains_key(&id) || self.service_jobs.get(&id).is_some_and(|&n| n == running)
    }

    fn find_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for (_, id, ..) in &self.submissions {
            let state = self.ended.get(id).copied();
            if !self.durable.contains(id) {
                faults.push(format!("job {id} was never durable"));
            } else if !self.is_as_expected(*id) {
                let running = self.cell.running_tasks();
                faults.push(format!(
                    "job {id} has not ended: {state:?}, {running} tasks run in the cell"
                ));
            } else if state == Some(JobState::Failed) && !self.crashed_twice(*id) {
                faults.push(format!("job {id} failed without two crashes under one of its tasks"));
            }
        }
        faults
    }

    /// Returns true if two workers have crashed under the same task of a job.
    fn crashed_twice(&self, id: u64) -> bool {
        let crashes_by_task = &self.cell.crashes.by_task;
        crashes_by_task.iter().any(|(t, &n)| t.step.job == JobId(id) && n >= 2)
    }
}

/// Returns a job that runs its step in three rounds, from half a second after `at`.
fn scheduled_job(at: Millis, step: RawStep) -> Arc<JobSpec> {
    let schedule = Schedule { first_unix_ms: at.0 + 500, interval_ms: 4_000, rounds: 3 };
    let raw = RawJob { template: "t".into(), steps: vec![step], schedule: Some(schedule) };
    Arc::new(JobSpec::try_from(raw).expect("job specification should be valid"))
}
