//! A cell whose calls take time: they and their answers may be lost, overtake each other or be
//! executed seconds later, and workers are cut off, leave, crash and return. What each worker has
//! run, by its own clock and leases, is checked against the rule that a task runs once.

use super::worker::SimWorker;
use super::{LARGE, QUICK, TIME_LIMITS, job, queue, step};
use fastrand::Rng;
use hollowford_core::Millis;
use hollowford_jobs::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Duration of one step of the simulation.
const TICK: Millis = Millis(5);
/// How long jobs are submitted and failures occur.
const FAILURES_PERIOD: Millis = Millis(40_000);
/// How long the cell runs on without failures.
const CALM_PERIOD: Millis = Millis(25_000);
/// How long an owner waits for an answer after it has counted the call as unanswered.
const LATE_ANSWER_TIMEOUT: Millis = Millis(3_000);
/// The platform removes the entry of a worker that has not written for this long.
const ENTRY_TIMEOUT: Millis = Millis(4_500);
/// A worker writes its entry again within this time after it has reached the store again.
const ENTRY_RETURN_MS: u64 = 2_000;
/// An entry that its worker removes within this time after it was written is known not to have
/// expired.
const WITHDRAWAL_AGE: Millis = Millis(3_000);
/// Time for which a leaving worker goes on at least.
const DRAIN: Millis = Millis(2_000);
/// Slowest rate of a worker's clock, in percent of true time.
const SLOWEST_CLOCK: u64 = 98;

/// The failures of a play: the mean time between two of a kind in milliseconds, 0 for none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A worker is cut off from the owner; its tasks continue.
    pub cuts: u64,
    /// A worker's answers are lost; it executes the calls.
    pub lost_answers: u64,
    /// A worker is cut off from the store, so that its entry goes.
    pub store_cuts: u64,
    /// A worker announces that it leaves, and leaves after a while.
    pub departures: u64,
    /// A worker leaves without an announcement: its entry goes, and it serves on.
    pub silent_departures: u64,
    /// A worker crashes and returns.
    pub crashes: u64,
    /// Another owner takes over.
    pub takeovers: u64,
    /// The store commits nothing for a while, and entries go meanwhile.
    pub outages: u64,
    /// Calls of a thousand that are executed 2 to 12 s late.
    pub late_permille: u32,
    /// Whether a crashed worker returns under its id.
    pub reuse_ids: bool,
}

/// A call on its way to a worker or back.
struct Transit {
    call: WorkerCall,
    fence: u64,
    sent: Millis,
    /// When the worker executes it.
    executed_at: Millis,
    /// When it counts as unanswered.
    due: Millis,
    reported: bool,
    /// Incarnation that has executed a look and answers it at this time.
    answers: Option<(WorkerLife, Millis)>,
    /// The answer and when it arrives.
    answer: Option<(Answer, Millis)>,
}

#[derive(Clone)]
enum Answer {
    Start(StartAnswer),
    Stop(bool),
    Look(LookAnswer),
    Pace,
}

/// An end as done that its worker still lists, or that was acknowledged.
struct DoneEnd {
    worker: WorkerLife,
    number: u64,
    at: Millis,
    /// Whether the worker's lease has expired since, before the end was acknowledged.
    lapsed: bool,
    acknowledged: bool,
}

/// What the simulation knows of one machine beside its worker.
#[derive(Clone, Debug, Default)]
struct Machine {
    cut_until: Millis,
    mute_until: Millis,
    store_cut_until: Millis,
    /// Last time at which the entry was written.
    entry_at: Millis,
    /// Whether the entry is gone for good.
    unlisted: bool,
    departs_at: Option<Millis>,
    returns_at: Option<Millis>,
}

/// A play: an engine with workers that it reaches over an unreliable network.
pub struct LossyCell {
    engine: Engine,
    now: Millis,
    started_at: Millis,
    rng: Rng,
    faults: Faults,
    workers: Vec<SimWorker>,
    machines: Vec<Machine>,
    transits: Vec<Transit>,
    rows: BTreeMap<String, Vec<u8>>,
    /// Batches in flight and when each is committed.
    batches: Vec<(Batch, Millis)>,
    store_back_at: Millis,
    submissions: Vec<(Millis, u64, &'static str, Arc<JobSpec>)>,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    durable: BTreeSet<u64>,
    done: BTreeMap<TaskKey, Vec<DoneEnd>>,
    starts: BTreeMap<TaskKey, Vec<Millis>>,
    /// Listings of workers that have left and removed their entries, not yet passed to the engine.
    withdrawn: Vec<WorkerListing>,
    names: u64,
    violations: BTreeSet<String>,
    /// Whether to print what happens.
    pub traced: bool,
}

impl LossyCell {
    pub fn new(seed: u64, faults: Faults) -> LossyCell {
        let mut rng = Rng::with_seed(seed);
        let now = Millis(100_000);
        let count = rng.usize(3..=8);
        let mut workers: Vec<_> = (0..count).map(|i| SimWorker::new(i, now)).collect();
        for w in &mut workers {
            w.clock_rate_percent = rng.u64(SLOWEST_CLOCK..=100);
            w.reports_incarnation = faults.reuse_ids;
        }
        let machine = Machine { entry_at: now, ..Machine::default() };
        let mut cell = LossyCell {
            engine: Engine::new(1, TIME_LIMITS, now),
            now,
            started_at: now,
            rng,
            faults,
            machines: vec![machine; count],
            workers,
            transits: Vec::new(),
            rows: BTreeMap::new(),
            batches: Vec::new(),
            store_back_at: now,
            submissions: Vec::new(),
            specs: BTreeMap::new(),
            durable: BTreeSet::new(),
            done: BTreeMap::new(),
            starts: BTreeMap::new(),
            withdrawn: Vec::new(),
            names: 0,
            violations: BTreeSet::new(),
            traced: false,
        };
        cell.draw_jobs();
        cell.configure();
        cell
    }

    fn draw_jobs(&mut self) {
        for id in 1..=self.rng.u64(10..=40) {
            let at = self.now + Millis(self.rng.u64(0..FAILURES_PERIOD.0));
            let rng = &mut self.rng;
            let ms = [rng.u64(20..600), rng.u64(300..3_000), rng.u64(3_000..15_000)];
            let ms = ms[rng.usize(0..3)];
            let first = match rng.u32(0..4) {
                0 => RawStep { gang: true, ..step(rng.u32(2..6), rng.u32(2..12) * 1_000, ms) },
                1 => RawStep { resumable: true, ..step(rng.u32(1..4), 1_000, ms) },
                _ => step(rng.u32(1..6), rng.u32(1..6) * 1_000, ms),
            };
            let last = RawStep { depends_on: vec![0], ..step(rng.u32(1..4), 1_000, ms / 2) };
            let steps = if rng.bool() { vec![first, last] } else { vec![first] };
            let name = [QUICK, LARGE][rng.usize(0..2)];
            let spec = job(steps);
            self.specs.insert(JobId(id), spec.clone());
            self.submissions.push((at, id, name, spec));
        }
    }

    /// Runs the play, and returns the violations found.
    pub fn run(mut self) -> Vec<String> {
        let (failures_end, end) =
            (self.started_at + FAILURES_PERIOD, self.started_at + FAILURES_PERIOD + CALM_PERIOD);
        while self.now < end && self.violations.is_empty() {
            if self.now < failures_end {
                self.inject_faults();
            }
            self.tick();
        }
        self.violations.into_iter().collect()
    }

    fn age(&self) -> u64 {
        self.now.since(self.started_at).0
    }

    fn trace(&self, line: impl FnOnce() -> String) {
        if self.traced {
            eprintln!("{:>6} {}", self.age(), line());
        }
    }

    fn occurs(&mut self, every: u64) -> bool {
        every > 0 && self.rng.u64(0..every) < TICK.0
    }

    fn until(&mut self, ms: std::ops::Range<u64>) -> Millis {
        self.now + Millis(self.rng.u64(ms))
    }

    fn inject_faults(&mut self) {
        let f = self.faults;
        let at = self.rng.usize(0..self.workers.len());
        if self.occurs(f.cuts) {
            self.machines[at].cut_until = self.until(100..7_000);
            self.trace(|| format!("cut of {}", self.workers[at].life()));
        }
        if self.occurs(f.lost_answers) {
            self.machines[at].mute_until = self.until(50..2_000);
            self.trace(|| format!("{} is mute", self.workers[at].life()));
        }
        if self.occurs(f.store_cuts) {
            self.machines[at].store_cut_until = self.until(1_000..9_000);
            self.trace(|| format!("{} is cut off from the store", self.workers[at].life()));
        }
        if self.occurs(f.departures) && self.workers[at].up {
            self.depart(at, true);
        }
        if self.occurs(f.silent_departures) && self.workers[at].up {
            self.depart(at, false);
        }
        if self.occurs(f.crashes) && self.workers[at].up {
            self.trace(|| format!("{} crashes", self.workers[at].life()));
            self.end_worker(at, 0..6_000);
        }
        if self.occurs(f.outages) && self.now >= self.store_back_at {
            self.store_back_at = self.until(300..8_000);
            self.trace(|| "the store is down".to_owned());
        }
        if self.occurs(f.takeovers) && self.now >= self.store_back_at {
            self.take_over();
        }
    }

    fn depart(&mut self, at: usize, announced: bool) {
        if self.machines[at].departs_at.is_some() {
            return;
        }
        let departs_at = self.until(DRAIN.0 + 100..DRAIN.0 + 8_000);
        self.trace(|| format!("{} leaves, announced: {announced}", self.workers[at].life()));
        self.machines[at].departs_at = Some(departs_at);
        if announced {
            (self.workers[at].leaving, self.workers[at].remaining) = (true, Some(DRAIN));
        } else {
            self.machines[at].unlisted = true;
        }
    }

    /// Ends the worker's process; another one comes at its address after a while.
    fn end_worker(&mut self, at: usize, returns_in: std::ops::Range<u64>) {
        self.workers[at].crash();
        let returns_at = self.until(returns_in);
        self.machines[at] = Machine {
            entry_at: self.machines[at].entry_at,
            cut_until: self.machines[at].cut_until,
            mute_until: self.machines[at].mute_until,
            returns_at: Some(returns_at),
            ..Machine::default()
        };
    }

    fn take_over(&mut self) {
        self.trace(|| "takeover".to_owned());
        let epoch = self.engine.epoch() + 1;
        while !self.batches.is_empty() && self.rng.bool() {
            self.write_first_batch();
        }
        self.batches.clear();
        for t in &mut self.transits {
            t.reported = true;
        }
        self.engine = Engine::new(epoch, TIME_LIMITS, self.now);
        self.configure();
        let rows: Vec<_> = self.rows.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        self.engine.recover(&rows, self.now).expect("rows should be readable");
        self.update_list();
    }

    fn configure(&mut self) {
        let queues = [queue(QUICK, 0, None), queue(LARGE, 1, None)];
        self.engine.set_queues(&queues, self.now);
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        self.tick_workers();
        self.update_entries();
        if now.0.is_multiple_of(20) {
            self.update_list();
        }
        self.submit_due();
        self.execute_due();
        self.report_due();
        let mut orders = Vec::new();
        self.engine.poll(now, &mut orders);
        for order in orders {
            if let Order::Worker { call, limit } = order {
                self.send(call, limit);
            }
        }
        self.write_batches();
        for event in self.engine.take_events() {
            self.trace(|| event.to_string());
        }
        self.check_runs();
    }

    fn tick_workers(&mut self) {
        let now = self.now;
        for at in 0..self.workers.len() {
            let w = &mut self.workers[at];
            let known = w.last_end_number;
            w.tick(now);
            let life = w.life();
            let lapsed = w.clock() >= w.lease_until;
            let is_new_done = |e: &&End| e.number > known && e.kind == EndKind::Done;
            for e in w.ended.iter().filter(is_new_done) {
                let (worker, number) = (life.clone(), e.number);
                let end = DoneEnd { worker, number, at: now, lapsed, acknowledged: false };
                self.done.entry(e.task).or_default().push(end);
            }
            if lapsed {
                let listed = self.done.values_mut().flatten();
                let open = listed.filter(|d| d.worker == life && !d.acknowledged);
                open.for_each(|d| d.lapsed = true);
            }
            self.move_machine(at);
        }
    }

    /// Lets a worker leave or return if that is due.
    fn move_machine(&mut self, at: usize) {
        let now = self.now;
        let m = &self.machines[at];
        if self.workers[at].up && m.departs_at.is_some_and(|t| t <= now) {
            self.trace(|| format!("{} has left", self.workers[at].life()));
            if now.since(m.entry_at) < WITHDRAWAL_AGE && now >= self.store_back_at {
                let listing = self.workers[at].listing();
                self.withdrawn.push(WorkerListing { withdrawn: true, ..listing });
            }
            self.end_worker(at, 300..3_000);
            self.machines[at].unlisted = true;
        } else if !self.workers[at].up && m.returns_at.is_some_and(|t| t <= now) {
            let was_departure = m.unlisted;
            self.machines[at] =
                Machine { entry_at: now, cut_until: m.cut_until, ..Machine::default() };
            let w = &mut self.workers[at];
            if self.faults.reuse_ids && !was_departure {
                w.restart_with_same_id();
            } else {
                self.names += 1;
                w.restart(&format!("next-{}", self.names));
                w.restarted_at = Some(now);
            }
            w.clock_rate_percent = self.rng.u64(SLOWEST_CLOCK..=100);
            w.reports_incarnation = self.faults.reuse_ids;
        }
    }

    /// Writes the entries of the workers that reach the store.
    fn update_entries(&mut self) {
        let now = self.now;
        if now < self.store_back_at {
            return;
        }
        for at in 0..self.workers.len() {
            let m = &self.machines[at];
            let reaches = self.workers[at].up && now >= m.store_cut_until && !m.unlisted;
            let lapsed = now.since(m.entry_at) >= ENTRY_TIMEOUT;
            if reaches && (!lapsed || self.rng.u64(0..ENTRY_RETURN_MS) < TICK.0 * 2) {
                self.machines[at].entry_at = now;
            }
        }
    }

    fn update_list(&mut self) {
        let now = self.now;
        let is_listed = |m: &Machine| !m.unlisted && now.since(m.entry_at) < ENTRY_TIMEOUT;
        let listed = self.workers.iter().zip(&self.machines).filter(|(_, m)| is_listed(m));
        let listed = listed.map(|(w, _)| w.listing());
        let list: Vec<_> = listed.chain(self.withdrawn.drain(..)).collect();
        self.engine.set_worker_list(&list, now);
    }

    fn submit_due(&mut self) {
        for (at, id, name, spec) in self.submissions.clone() {
            if self.now < at || self.durable.contains(&id) {
                continue;
            }
            match self.engine.is_durable(JobId(id)) {
                Some(true) => drop(self.durable.insert(id)),
                Some(false) => {}
                None => drop(self.engine.submit(JobId(id), NO_ACCOUNT, name, spec, self.now)),
            }
        }
    }

    fn send(&mut self, call: WorkerCall, limit: Millis) {
        let wait = if let WorkerCall::Look { wait, .. } = &call { *wait } else { Millis(0) };
        let late = self.rng.u32(0..1_000) < self.faults.late_permille;
        let delay = if late { self.rng.u64(2_000..12_000) } else { self.rng.u64(1..6) };
        self.transits.push(Transit {
            fence: self.engine.epoch(),
            sent: self.now,
            executed_at: self.now + Millis(delay),
            due: self.now + wait + limit,
            reported: false,
            answers: None,
            answer: None,
            call,
        });
    }

    /// Lets the workers execute the calls that have arrived.
    fn execute_due(&mut self) {
        let mut transits = std::mem::take(&mut self.transits);
        for t in &mut transits {
            if t.answer.is_some() {
                continue;
            }
            if let Some((life, at)) = t.answers.clone() {
                self.answer_look(t, &life, at);
            } else if t.executed_at <= self.now {
                self.execute(t);
            }
        }
        self.transits = transits;
    }

    fn position(&self, call: &WorkerCall) -> Option<usize> {
        self.workers.iter().position(|w| w.address == *call.address())
    }

    fn execute(&mut self, t: &mut Transit) {
        let now = self.now;
        let Some(at) = self.position(&t.call) else { return };
        if now < self.machines[at].cut_until {
            // The bytes wait for the end of the cut, or are lost with their channel.
            t.executed_at = if self.rng.bool() { self.machines[at].cut_until } else { Millis::MAX };
            return;
        }
        if !self.workers[at].up {
            t.executed_at = Millis::MAX;
            t.answer = self.refusal(&t.call).map(|a| (a, now + TICK));
            return;
        }
        t.executed_at = Millis::MAX;
        let answer = if *t.call.worker().id() == self.workers[at].id {
            self.execute_at(t, at)
        } else {
            Some(other_life(&t.call))
        };
        let is_lost = now < self.machines[at].mute_until;
        t.answer = answer.filter(|_| !is_lost).map(|a| (a, now + Millis(self.rng.u64(1..6))));
    }

    /// Returns the outcome of a call to an address at which no process listens.
    fn refusal(&self, _call: &WorkerCall) -> Option<Answer> {
        None
    }

    fn execute_at(&mut self, t: &mut Transit, at: usize) -> Option<Answer> {
        let (now, fence) = (self.now, t.fence);
        match &t.call {
            WorkerCall::Start { task, run, lease_until, saved, .. } => {
                let w = &mut self.workers[at];
                let is_there = w.running.get(task).is_some_and(|r| r.run == *run);
                if fence >= w.fence && !is_there && *lease_until <= w.clock() {
                    return Some(Answer::Start(StartAnswer::Late));
                }
                let spec = self.specs[&task.step.job].clone();
                let need = &spec.steps[task.step.step as usize];
                let starts = w.starts;
                let answer = w.start(*task, *run, *lease_until, fence, need, saved.clone());
                let has_started = w.starts > starts;
                let life = w.life();
                if has_started {
                    self.trace(|| format!("{life} begins run={run} of {task}"));
                    self.check_start(*task, *run, &life);
                    self.starts.entry(*task).or_default().push(now);
                }
                Some(Answer::Start(answer))
            }
            WorkerCall::Stop { task, run, .. } => {
                Some(Answer::Stop(self.workers[at].stop(*task, *run, fence)))
            }
            WorkerCall::Pace { .. } => Some(Answer::Pace),
            WorkerCall::Look { lease_until, acknowledged, wait, .. } => {
                let (lease_until, acknowledged, wait) = (*lease_until, *acknowledged, *wait);
                self.acknowledge(at, acknowledged, fence);
                let answer = self.workers[at].look(lease_until, acknowledged, fence);
                if answer == LookAnswer::Fenced {
                    return Some(Answer::Look(answer));
                }
                t.answers = Some((self.workers[at].life(), now + wait));
                None
            }
        }
    }

    /// Answers a look at an end, or when it has waited long enough.
    fn answer_look(&mut self, t: &mut Transit, life: &WorkerLife, at: Millis) {
        let Some(i) = self.workers.iter().position(|w| w.up && w.life() == *life) else { return };
        if self.now < at && self.workers[i].ended.is_empty() {
            return;
        }
        let answer = self.workers[i].look(None, 0, t.fence);
        let m = &self.machines[i];
        if self.now < m.mute_until || self.now < m.cut_until {
            (t.answers, t.executed_at) = (None, Millis::MAX);
            return;
        }
        let arrives_at = self.now + Millis(self.rng.u64(1..6));
        t.answer = Some((Answer::Look(answer), arrives_at));
    }

    /// Checks the ends that a look acknowledges.
    fn acknowledge(&mut self, at: usize, number: u64, fence: u64) {
        let w = &self.workers[at];
        if fence < w.fence {
            return;
        }
        let life = w.life();
        for (task, ends) in &mut self.done {
            let is_noted =
                |d: &&mut DoneEnd| d.worker == life && d.number <= number && !d.acknowledged;
            for d in ends.iter_mut().filter(is_noted) {
                d.acknowledged = true;
                let starts = self.starts.get(task).map_or(&[][..], Vec::as_slice);
                if !d.lapsed && starts.iter().any(|&s| s > d.at) {
                    let age = self.now.since(self.started_at).0;
                    self.violations.insert(format!(
                        "{age} ms: {task} was started after it had ended as done on {life}, and \
                         that end is acknowledged"
                    ));
                }
            }
        }
    }

    fn check_start(&mut self, task: TaskKey, run: u32, life: &WorkerLife) {
        let ends = self.done.get(&task).map_or(&[][..], Vec::as_slice);
        if ends.iter().any(|d| d.acknowledged && !d.lapsed) {
            let age = self.age();
            self.violations.insert(format!(
                "{age} ms: run {run} of {task} starts on {life} after an acknowledged end as done"
            ));
        }
    }

    fn check_runs(&mut self) {
        let mut seen: BTreeMap<TaskKey, WorkerLife> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| w.up) {
            for task in w.running.keys() {
                if let Some(other) = seen.insert(*task, w.life()) {
                    let (age, life) = (self.now.since(self.started_at).0, w.life());
                    self.violations
                        .insert(format!("{age} ms: {task} runs on {other} and on {life}"));
                }
            }
        }
    }

    /// Reports answers and missing answers to the engine.
    fn report_due(&mut self) {
        let now = self.now;
        for mut t in std::mem::take(&mut self.transits) {
            let has_answer = t.answer.as_ref().is_some_and(|(_, at)| *at <= now);
            let is_current = t.fence == self.engine.epoch();
            if has_answer {
                let (answer, _) = t.answer.take().expect("there should be an answer");
                if is_current && now <= t.due + LATE_ANSWER_TIMEOUT {
                    self.report(&t, answer);
                }
                continue;
            }
            if now > t.due && !t.reported {
                t.reported = true;
                self.report_unanswered(&t);
            }
            let is_on_its_way = t.executed_at < Millis::MAX || t.answers.is_some();
            if is_on_its_way || t.answer.is_some() || !t.reported {
                self.transits.push(t);
            }
        }
    }

    fn report(&mut self, t: &Transit, answer: Answer) {
        let (now, sent, late) = (self.now, t.sent, t.reported);
        match (&t.call, answer) {
            (WorkerCall::Start { worker, task, run, .. }, Answer::Start(a)) if late => {
                self.engine.start_answered_late(worker, (*task, *run), &a, sent, now);
            }
            (WorkerCall::Start { worker, task, run, .. }, Answer::Start(a)) => {
                self.engine.start_answered(worker, (*task, *run), a, sent, now);
            }
            (WorkerCall::Stop { worker, task, run, .. }, Answer::Stop(a)) if !late => {
                self.engine.stop_answered(worker, *task, *run, a, now);
            }
            (WorkerCall::Pace { worker, task, run, percent, .. }, _) if !late => {
                self.engine.pace_answered(worker, *task, *run, *percent, true);
            }
            (WorkerCall::Look { worker, .. }, Answer::Look(a)) if late => {
                self.engine.look_answered_late(worker, a, sent, now);
            }
            (WorkerCall::Look { worker, .. }, Answer::Look(a)) => {
                self.engine.look_answered(worker, a, sent, now);
            }
            _ => {}
        }
    }

    fn report_unanswered(&mut self, t: &Transit) {
        if t.fence != self.engine.epoch() {
            return;
        }
        let (now, sent) = (self.now, t.sent);
        match &t.call {
            WorkerCall::Start { worker, task, run, .. } => {
                let answer = StartAnswer::Unanswered;
                self.engine.start_answered(worker, (*task, *run), answer, sent, now);
            }
            WorkerCall::Stop { worker, task, run, .. } => {
                self.engine.stop_answered(worker, *task, *run, false, now);
            }
            WorkerCall::Pace { worker, task, run, percent, .. } => {
                self.engine.pace_answered(worker, *task, *run, *percent, false);
            }
            WorkerCall::Look { worker, .. } => {
                self.engine.look_answered(worker, LookAnswer::Unanswered, sent, now);
            }
        }
    }

    fn write_batches(&mut self) {
        let now = self.now;
        if self.batches.len() < 3
            && let Some(batch) = self.engine.next_batch(now)
        {
            let at = now + Millis(self.rng.u64(5..150));
            self.batches.push((batch, at));
        }
        if now < self.store_back_at {
            return;
        }
        while self.batches.first().is_some_and(|(_, at)| *at <= now) {
            let number = self.write_first_batch();
            self.engine.batch_committed(number, now);
        }
    }

    fn write_first_batch(&mut self) -> u64 {
        let (batch, _) = self.batches.remove(0);
        for row in batch.rows {
            match row.value {
                Some(value) => self.rows.insert(row.key, value),
                None => self.rows.remove(&row.key),
            };
        }
        batch.number
    }
}

/// Returns the answer of a worker to a call that is meant for another one.
fn other_life(call: &WorkerCall) -> Answer {
    match call {
        WorkerCall::Start { .. } => Answer::Start(StartAnswer::OtherLife),
        WorkerCall::Stop { .. } => Answer::Stop(false),
        WorkerCall::Pace { .. } => Answer::Pace,
        WorkerCall::Look { .. } => Answer::Look(LookAnswer::OtherLife),
    }
}
