//! A worker as PROTOCOL describes it: fences, leases on its own clock, ends that are listed
//! until they are forgotten.

use hollowford_core::{InstanceId, Millis, Resources};
use hollowford_jobs::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A worker's clock is this far from the cell's, until it starts again.
const CLOCK_AHEAD: u64 = 5_000;
/// A longer lease is cut to this one.
const LONGEST_LEASE: u64 = 6_000;
/// A gang that is not complete for so long ends.
const GANG_TIMEOUT: u64 = 3_000;

#[derive(Clone, Debug)]
pub struct Run {
    pub run: u32,
    pub room: Resources,
    pub until: Millis,
    pub gang: u32,
    pub since: Millis,
}

impl Run {
    fn progress(&self, now: Millis) -> u32 {
        let whole = self.until.since(self.since).0.max(1);
        (now.since(self.since).0.min(whole) * 100 / whole) as u32
    }
}

pub struct SimWorker {
    pub id: InstanceId,
    pub address: Arc<str>,
    pub capacity: Resources,
    pub running: BTreeMap<TaskKey, Run>,
    pub ended: Vec<End>,
    pub numbers: u64,
    pub fence: u64,
    pub lease_until: u64,
    pub over: BTreeMap<TaskKey, u32>,
    pub listed: bool,
    pub leaving: bool,
    /// The least time that it stays, once it leaves.
    pub remaining: Option<Millis>,
    /// Answers arrive; what it runs goes on either way.
    pub reachable: bool,
    /// Orders are carried out but not answered.
    pub mute: bool,
    /// An order that was just being carried out when a new fence came: it begins after the
    /// answer to the look that brought the fence.
    pub in_progress: Option<(TaskKey, Run)>,
    /// Tasks whose guessed time is zero run until they are ended.
    pub lasts: bool,
    /// Shares that tasks were told to work at.
    pub paces: BTreeMap<TaskKey, u32>,
    /// Tail of serving tasks' answer times without any disturbance, in milliseconds.
    pub base_tail: u32,
    /// What it runs stands still; it answers.
    pub hung: bool,
    /// Its tasks take so many times their guess.
    pub slow: u64,
    /// Fails all that it starts.
    pub failing: bool,
    /// What is stopped ends after so many milliseconds, and is listed as running until then.
    pub stop_takes: u64,
    /// When what is being stopped ends.
    pub stopping: BTreeMap<TaskKey, Millis>,
    /// Not crashed.
    pub up: bool,
    /// When it crashed, while it is down.
    pub down_since: Option<Millis>,
    pub now: Millis,
    /// When it last started again under its id; its clock begins anew then.
    pub restarted_at: Option<Millis>,
    /// It says which of its lives it is.
    pub tells_lives: bool,
    /// Tasks that fail wherever they run.
    pub poison: BTreeSet<JobId>,
    pub starts: u64,
}

impl SimWorker {
    pub fn new(i: usize, now: Millis) -> SimWorker {
        SimWorker {
            id: format!("w{i}").as_str().into(),
            address: format!("10.0.0.{i}:1").into(),
            capacity: Resources::new(16_000, 64_000, 0),
            running: BTreeMap::new(),
            ended: Vec::new(),
            numbers: 0,
            fence: 0,
            lease_until: 0,
            over: BTreeMap::new(),
            listed: true,
            leaving: false,
            remaining: None,
            reachable: true,
            mute: false,
            lasts: false,
            paces: BTreeMap::new(),
            base_tail: 50,
            in_progress: None,
            hung: false,
            slow: 1,
            failing: false,
            stop_takes: 0,
            stopping: BTreeMap::new(),
            up: true,
            down_since: None,
            now,
            restarted_at: None,
            tells_lives: true,
            poison: BTreeSet::new(),
            starts: 0,
        }
    }

    pub fn clock(&self) -> u64 {
        self.restarted_at.map_or(self.now.0 + CLOCK_AHEAD, |at| self.now.since(at).0 + 1)
    }

    pub fn incarnation(&self) -> Option<Incarnation> {
        self.tells_lives.then(|| Incarnation(self.restarted_at.unwrap_or_default().0))
    }

    pub fn life(&self) -> WorkerLife {
        WorkerLife::new(self.id.clone(), self.incarnation())
    }

    /// Returns the ticket that this life of it takes.
    pub fn ticket(&self) -> Arc<str> {
        format!("{}-{:?}", self.id, self.restarted_at).into()
    }

    pub fn listing(&self) -> WorkerListing {
        WorkerListing {
            life: self.life(),
            address: self.address.clone(),
            zone: "z".into(),
            pool: "pool".into(),
            capacity: self.capacity,
            labels: vec!["a".into(), "r1".into()],
            leaving: self.leaving,
            remaining: self.remaining,
        }
    }

    pub fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |a, r| a.plus(&r.room))
    }

    pub fn tick(&mut self, now: Millis) {
        self.now = now;
        if !self.up {
            return;
        }
        if self.hung {
            // All times of what runs move on with the clock.
            for r in self.running.values_mut() {
                r.since = r.since + Millis(5);
                r.until = r.until + Millis(5);
            }
        }
        for (task, _) in self.stopping.extract_if(.., |_, at| *at <= now).collect::<Vec<_>>() {
            self.end(task, EndKind::Stopped);
        }
        let lapsed = self.clock() >= self.lease_until;
        let runs: Vec<_> = self.running.iter().map(|(t, r)| (*t, r.clone())).collect();
        for (task, r) in runs {
            let failed = self.failing || self.poison.contains(&task.step.job);
            if lapsed {
                self.end(task, EndKind::Lapsed);
            } else if r.until <= now && !(self.lasts && r.until == r.since) {
                self.end(task, if failed { EndKind::Failed } else { EndKind::Done });
            }
        }
    }

    pub fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(r) = self.running.remove(&task) else { return };
        self.numbers += 1;
        self.over.insert(task, r.run);
        let number = self.numbers;
        self.ended.push(End { number, task, run: r.run, kind, saved: "".into() });
    }

    /// Returns how many tasks have ended well here and are not forgotten.
    pub fn done(&self) -> usize {
        self.ended.iter().filter(|e| e.kind == EndKind::Done).count()
    }

    /// Returns the tail that a task's users see: what fills adds to it at its pace.
    fn tail(&self, task: &TaskKey) -> u32 {
        let fills = self.running.keys().filter(|t| *t != task);
        let paces = fills.map(|t| self.paces.get(t).copied().unwrap_or(100));
        self.base_tail + paces.sum::<u32>()
    }

    /// Lets a task work at a share of its pace.
    pub fn pace(&mut self, task: TaskKey, percent: u32, fence: u64) -> bool {
        if !self.up || !self.reachable || fence < self.fence {
            return false;
        }
        self.paces.insert(task, percent);
        !self.mute
    }

    /// Crashes, and is silent until it is started again.
    pub fn crash(&mut self) {
        self.up = false;
        self.down_since = Some(self.now);
        self.running.clear();
    }

    /// Crashes and comes back under another id.
    pub fn restart(&mut self, id: &str) {
        let (now, address, lasts) = (self.now, self.address.clone(), self.lasts);
        *self = SimWorker::new(0, now);
        self.lasts = lasts;
        self.id = id.into();
        self.address = address;
    }

    /// Crashes and starts again under the id and at the address that it had: it knows nothing of
    /// before, and its counts and its clock begin anew.
    pub fn restart_as_itself(&mut self) {
        let id = self.id.clone();
        self.restart(id.as_str());
        self.restarted_at = Some(self.now);
    }

    fn extend_lease(&mut self, until: u64) {
        self.lease_until = self.lease_until.max(until.min(self.clock() + LONGEST_LEASE));
    }

    pub fn start(
        &mut self,
        task: TaskKey,
        run: u32,
        lease_until: u64,
        fence: u64,
        spec: &StepSpec,
        _saved: Arc<str>,
    ) -> StartAnswer {
        if !self.up || !self.reachable {
            return StartAnswer::Unanswered;
        }
        if fence < self.fence {
            return StartAnswer::Fenced;
        }
        self.fence = fence;
        self.extend_lease(lease_until);
        let here = self.running.get(&task).map(|r| r.run);
        if here != Some(run) {
            if self.over.get(&task).is_some_and(|&o| run <= o) || here.is_some() {
                return StartAnswer::Old;
            }
            self.starts += 1;
            let room = spec.allocation();
            let until = self.now + Millis(spec.estimate_ms * self.slow);
            self.running.insert(task, Run { run, room, until, gang: 0, since: self.now });
        }
        if self.mute { StartAnswer::Unanswered } else { StartAnswer::Runs(self.clock()) }
    }

    pub fn stop(&mut self, task: TaskKey, run: u32, fence: u64) -> bool {
        if !self.up || !self.reachable || fence < self.fence {
            return false;
        }
        self.fence = fence;
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            if self.stop_takes > 0 {
                self.stopping.entry(task).or_insert(self.now + Millis(self.stop_takes));
            } else {
                self.end(task, EndKind::Stopped);
            }
        } else {
            let over = self.over.entry(task).or_insert(run);
            *over = run.max(*over);
        }
        !self.mute
    }

    pub fn look(&mut self, lease_until: Option<u64>, acknowledged: u64, fence: u64) -> LookAnswer {
        if !self.up || !self.reachable {
            return LookAnswer::Unanswered;
        }
        if fence < self.fence {
            return LookAnswer::Fenced;
        }
        self.fence = fence;
        self.extend_lease(lease_until.unwrap_or(0));
        self.ended.retain(|e| e.number > acknowledged);
        if self.mute {
            return LookAnswer::Unanswered;
        }
        let running = |(task, r): (&TaskKey, &Run)| Running {
            task: *task,
            run: r.run,
            saved: "".into(),
            progress: r.progress(self.now),
            load: self.tail(task),
        };
        let look = Look {
            incarnation: self.incarnation(),
            clock: self.clock(),
            running: self.running.iter().map(running).collect(),
            ended: self.ended.clone(),
        };
        if let Some((task, run)) = self.in_progress.take() {
            self.running.insert(task, run);
        }
        LookAnswer::Lists(look)
    }

    /// Time after which a member that waits for its gang would end.
    pub fn gang_timeout() -> Millis {
        Millis(GANG_TIMEOUT)
    }
}
