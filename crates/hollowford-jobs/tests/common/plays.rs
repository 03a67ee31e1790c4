//! Random plays: jobs, some of which crash the workers that start them, and failures from outside.
//!
//! A play draws all of it from its seed. The cell judges each step (two places, room, starts after
//! crashes); what is left in the end is judged here.

use super::worker::SimWorker;
use super::{Cell, LARGE, QUICK, job, step};
use fastrand::Rng;
use hollowford_core::Millis;
use hollowford_jobs::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One step of a play, in milliseconds.
const TICK: u64 = 5;
/// Jobs come in for so long.
const COMING: u64 = 40_000;
/// Usual time until crashed workers are down for another time than before.
const OTHER_DOWN: u64 = 3_000;
/// Failures come for so long.
const FAILING: u64 = 60_000;
/// After the failures have ended, all that can be done is done within this time.
const ENDS_WITHIN: u64 = 240_000;
/// Starts count once the store has been well for so long.
const IN_TOUCH_AFTER: Millis = Millis(2_000);
/// A new owner reckons with an outage of the store of this length that ended less than this before.
const LEAST_OUTAGE: Millis = Millis(500);
const OUTAGE_COUNTS_FOR: Millis = Millis(2_000);
/// A worker that leaves is gone after this time, and another is at its address.
const LEAVES_WITHIN: u64 = 2_500;
/// A member of a gang that is not complete for so long ends.
const GANG_TIMEOUT: Millis = Millis(3_000);

/// Which failures a play has; each is the usual time between two, in milliseconds, and 0 for none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    pub takeovers: u64,
    pub outages: u64,
    /// Share of the outages, in percent, after which another owner goes on.
    pub owner_lost: u32,
    /// Batches that the store refuses.
    pub refusals: u64,
    /// Workers that don't answer for a while, and go on.
    pub cuts: u64,
    /// Answers that are lost for a while, of orders that are carried out.
    pub lost_answers: u64,
    /// Workers that crash by themselves.
    pub crashes: u64,
    /// Several workers that crash at once.
    pub racks: u64,
    pub leaves: u64,
    /// Crashed workers are back under the ids that they had at times, also at once.
    pub same_ids: bool,
}

/// A play under way.
pub struct Play {
    pub cell: Cell,
    rng: Rng,
    failures: Failures,
    /// Failures come so many times as often.
    pace: u64,
    /// Longest time that the store takes for a batch; 0: each is made at once.
    batch_ms: u64,
    began: Millis,
    /// Jobs that are still to come in, with their times.
    coming: Vec<(Millis, u64, &'static str, Arc<JobSpec>)>,
    /// Jobs of which the cell has said that they are kept.
    kept: BTreeSet<u64>,
    /// How jobs have ended.
    ended: BTreeMap<u64, JobState>,
    /// Jobs that go on until they are cancelled, with their tasks.
    lasting: BTreeMap<u64, usize>,
    store_back: Millis,
    /// When the last outage of the store began, and when it is over.
    outage: (Millis, Millis),
    /// Another owner goes on once the store is back.
    owner_lost: bool,
    /// When the store was away or refused something last.
    unwell_at: Millis,
    /// When the batch under way is made.
    made_at: Option<Millis>,
    /// Workers that answer again at a time, by address.
    silent: BTreeMap<Arc<str>, Millis>,
    leaving: BTreeMap<Arc<str>, Millis>,
    lives: u64,
    /// Print what the engine notes.
    pub traced: bool,
}

impl Play {
    /// Draws a play.
    pub fn new(seed: u64, failures: Failures) -> Play {
        let mut rng = Rng::with_seed(seed);
        let cell = Cell::new(rng.usize(6..=15));
        let (pace, began) = (rng.u64(1..=4), cell.now);
        let mut play = Play {
            cell,
            rng,
            failures,
            pace,
            batch_ms: 0,
            began,
            coming: Vec::new(),
            kept: BTreeSet::new(),
            ended: BTreeMap::new(),
            lasting: BTreeMap::new(),
            store_back: Millis(0),
            outage: (Millis(0), Millis(0)),
            owner_lost: false,
            unwell_at: Millis(0),
            made_at: None,
            silent: BTreeMap::new(),
            leaving: BTreeMap::new(),
            lives: 0,
            traced: false,
        };
        play.draw_jobs();
        play
    }

    fn draw_jobs(&mut self) {
        self.cell.crashes.after = Millis(self.rng.u64(10..=400));
        self.draw_down();
        self.batch_ms = [0, 20, 60][self.rng.usize(0..3)];
        let crashing = [10, 30, 60][self.rng.usize(0..3)];
        for w in &mut self.cell.workers {
            w.lasts = true;
        }
        for id in 1..=self.rng.u64(2..=12) {
            let at = self.began + Millis(self.rng.u64(0..COMING));
            let (queue, spec) = self.draw_job(id, at);
            if id == 1 || self.rng.u32(0..100) < crashing {
                self.cell.crashes.jobs.insert(JobId(id));
            }
            self.coming.push((at, id, queue, spec));
        }
    }

    fn draw_down(&mut self) {
        if !self.failures.same_ids {
            self.cell.crashes.down = Millis(self.rng.u64(800..13_000));
            return;
        }
        let least = [0, 800][self.rng.usize(0..2)];
        self.cell.crashes.down = Millis(self.rng.u64(least..13_000));
        self.cell.crashes.same_id = self.rng.u32(0..4) > 0;
    }

    fn draw_job(&mut self, id: u64, at: Millis) -> (&'static str, Arc<JobSpec>) {
        let rng = &mut self.rng;
        let ms = rng.u64(200..2_500);
        match rng.u32(0..10) {
            0..3 => (QUICK, job(vec![step(rng.u32(1..4), 1_400, ms)])),
            3..5 => (LARGE, job(vec![step(rng.u32(2..20), rng.u32(500..8_000), ms)])),
            5..7 => {
                // They fit beside all tasks that last, in the smallest cell.
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
                self.lasting.insert(id, tasks as usize);
                (LARGE, job(vec![RawStep { service: true, ..step(tasks, 1_000, 0) }]))
            }
            _ => (QUICK, repeated(at, step(1, 1_000, ms))),
        }
    }

    /// Plays it to the end, and returns what is wrong then.
    pub fn run(mut self) -> Vec<String> {
        while self.age() < FAILING {
            self.fail();
            self.tick();
        }
        self.end_failures();
        let until = self.age() + ENDS_WITHIN;
        while self.age() < until && !self.has_ended() {
            self.tick();
        }
        self.judge()
    }

    fn age(&self) -> u64 {
        self.cell.now.since(self.began).0
    }

    fn tick(&mut self) {
        self.submit_due();
        let now = self.cell.now;
        let restarted = self.restart_gone(now);
        self.silent.retain(|_, until| *until > now);
        let silent = &self.silent;
        for w in &mut self.cell.workers {
            w.lasts = true;
            if !silent.contains_key(&w.address) {
                (w.reachable, w.mute) = (true, false);
            }
        }
        if restarted {
            self.cell.list();
        }
        self.write(now);
        let well = now >= self.store_back && now.since(self.unwell_at) >= IN_TOUCH_AFTER;
        self.cell.crashes.in_touch = well;
        // Other batches are written by the play, some time after they were cut.
        self.cell.store_up = self.batch_ms == 0 && now >= self.store_back;
        self.cell.run(TICK);
        self.break_gangs();
        self.note_ends();
        self.judge_stuck();
        let age = self.age();
        for note in self.cell.engine.take_events() {
            if self.traced {
                eprintln!("{age:>6} {note}");
            }
        }
    }

    /// Hands in the jobs that are due, and again those that an earlier owner has not kept.
    fn submit_due(&mut self) {
        let now = self.cell.now;
        for (at, id, queue, spec) in self.coming.clone() {
            if now < at || self.kept.contains(&id) {
                continue;
            }
            match self.cell.engine.is_durable(JobId(id)) {
                Some(true) => drop(self.kept.insert(id)),
                Some(false) => {}
                None => drop(self.cell.submit(id, queue, spec)),
            }
        }
    }

    /// Makes the batch under way once it is due, if the store is there.
    fn write(&mut self, now: Millis) {
        if now < self.store_back {
            (self.unwell_at, self.made_at) = (now, None);
            return;
        }
        if std::mem::take(&mut self.owner_lost) {
            self.take_over();
        }
        if self.cell.pending.is_empty() {
            self.made_at = None;
            return;
        }
        let at = *self.made_at.get_or_insert(now + Millis(self.rng.u64(0..=self.batch_ms)));
        if now >= at {
            self.cell.write_one(0);
            self.made_at = None;
        }
    }

    /// Another owner takes over; what was under way at the store is made or not.
    fn take_over(&mut self) {
        if self.traced {
            eprintln!("{:>6} another owner", self.age());
        }
        while !self.cell.pending.is_empty() && self.rng.bool() {
            self.cell.write_unheard(0);
        }
        self.made_at = None;
        let (from, until) = self.outage;
        let is_recent = self.cell.now.since(until) < OUTAGE_COUNTS_FOR;
        self.cell.outage_before = is_recent && until.since(from) >= LEAST_OUTAGE;
        self.cell.take_over();
    }

    /// Draws whether a failure comes now, when its kind comes once in `every` milliseconds.
    fn comes(&mut self, every: u64) -> bool {
        every > 0 && self.rng.u64(0..every) < TICK * self.pace
    }

    fn fail(&mut self) {
        let f = self.failures;
        let now = self.cell.now;
        let is_away = now < self.store_back;
        if self.comes(f.takeovers) && !is_away {
            self.take_over();
        }
        if self.comes(f.outages) && !is_away {
            self.store_back = now + Millis(self.rng.u64(300..9_000));
            self.outage = (now, self.store_back);
            self.owner_lost = self.rng.u32(0..100) < f.owner_lost;
        }
        if self.comes(f.refusals) && !is_away {
            self.cell.refuse_pending();
            self.unwell_at = now;
        }
        if self.comes(f.cuts) {
            let until = now + Millis(self.rng.u64(100..7_000));
            self.one_worker(|play, at| play.silence(at, until, |w| w.reachable = false));
        }
        if self.comes(f.lost_answers) {
            let until = now + Millis(self.rng.u64(50..1_500));
            self.one_worker(|play, at| play.silence(at, until, |w| w.mute = true));
        }
        self.fail_workers(f);
    }

    fn fail_workers(&mut self, f: Failures) {
        if self.comes(OTHER_DOWN) {
            self.draw_down();
        }
        if self.comes(f.crashes) {
            self.one_worker(Play::crash);
        }
        if self.comes(f.racks) {
            for _ in 0..self.rng.u32(2..5) {
                self.one_worker(Play::crash);
            }
        }
        if self.comes(f.leaves) {
            self.one_worker(Play::leave);
        }
    }

    fn one_worker(&mut self, act: impl FnOnce(&mut Play, usize)) {
        let at = self.rng.usize(0..self.cell.workers.len());
        if self.cell.workers[at].up {
            act(self, at);
        }
    }

    fn silence(&mut self, at: usize, until: Millis, how: impl FnOnce(&mut SimWorker)) {
        let w = &mut self.cell.workers[at];
        how(w);
        self.silent.insert(w.address.clone(), until);
    }

    fn crash(&mut self, at: usize) {
        let cell = &mut self.cell;
        cell.crashes.crash(&mut cell.workers[at]);
    }

    fn leave(&mut self, at: usize) {
        let w = &mut self.cell.workers[at];
        if std::mem::replace(&mut w.leaving, true) {
            return;
        }
        let gone = w.now + Millis(self.rng.u64(500..LEAVES_WITHIN));
        self.leaving.insert(w.address.clone(), gone);
        self.cell.list();
    }

    /// Puts other lives in the place of those that have left. Tells whether there was one.
    fn restart_gone(&mut self, now: Millis) -> bool {
        let gone: Vec<_> = self.leaving.extract_if(.., |_, at| *at <= now).collect();
        for (address, _) in &gone {
            let w = self.cell.workers.iter_mut().find(|w| w.address == *address);
            if let Some(w) = w.filter(|w| w.up && w.leaving) {
                self.lives += 1;
                w.restart(&format!("next-{}", self.lives));
            }
        }
        !gone.is_empty()
    }

    /// Ends the members of gangs that have lost another one, or wait for one in vain.
    fn break_gangs(&mut self) {
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
                if spec.gang && count < spec.count && now.since(r.since) > GANG_TIMEOUT {
                    w.end(task, EndKind::Alone);
                }
            }
        }
    }

    fn note_ends(&mut self) {
        for id in &self.kept {
            if let Some(state) = self.cell.state(*id).filter(|s| s.is_final()) {
                self.ended.insert(*id, state);
            }
        }
    }

    /// Panics when a task waits for something that can't come.
    fn judge_stuck(&self) {
        if let Some(stuck) = self.cell.engine.stuck_tasks().first() {
            panic!("{stuck}");
        }
    }

    fn end_failures(&mut self) {
        self.failures = Failures::default();
        self.store_back = Millis(0);
        self.silent.clear();
    }

    fn has_ended(&self) -> bool {
        self.coming.iter().all(|(_, id, ..)| self.is_right(*id))
    }

    /// Tells whether a job has ended, or does what it should go on doing.
    fn is_right(&self, id: u64) -> bool {
        let tasks = self.cell.workers.iter().flat_map(|w| w.running.keys());
        let running = tasks.filter(|t| t.step.job == JobId(id)).count();
        self.ended.contains_key(&id) || self.lasting.get(&id).is_some_and(|&n| n == running)
    }

    fn judge(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        for (_, id, ..) in &self.coming {
            let state = self.ended.get(id).copied();
            if !self.kept.contains(id) {
                wrong.push(format!("job {id} was never kept"));
            } else if !self.is_right(*id) {
                let running = self.cell.running();
                wrong.push(format!("job {id} waits: {state:?}, {running} tasks run"));
            } else if state == Some(JobState::Failed) && !self.crashed_twice(*id) {
                wrong.push(format!("job {id} has failed without cause"));
            }
        }
        wrong
    }

    /// Tells whether two workers have crashed under some task of a job.
    fn crashed_twice(&self, id: u64) -> bool {
        let under = &self.cell.crashes.under;
        under.iter().any(|(t, &n)| t.step.job == JobId(id) && n >= 2)
    }
}

/// A job that runs its step three times.
fn repeated(at: Millis, step: RawStep) -> Arc<JobSpec> {
    let schedule = Schedule { first_unix_ms: at.0 + 500, interval_ms: 4_000, rounds: 3 };
    let raw = RawJob { template: "t".into(), steps: vec![step], schedule: Some(schedule) };
    Arc::new(JobSpec::try_from(raw).expect("a valid job"))
}
