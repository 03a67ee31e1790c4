//! A simulated worker: it rejects calls of earlier owners by their epochs, keeps leases on its own
//! clock, and lists ended tasks until they are acknowledged.

use hollowford_core::{InstanceId, Millis, Resources};
use hollowford_jobs::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// Difference between a worker's clock and the cell's clock, until the first restart.
const CLOCK_OFFSET_MS: u64 = 5_000;
/// Longer leases are shortened to this duration.
const MAX_LEASE_MS: u64 = 6_000;
/// A look lists at most so many ends.
pub const MAX_ENDS_PER_LOOK: usize = 500;
/// A gang member ends if its gang is incomplete for this long.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// Run times of tasks, shared by the workers of a cell.
pub type RunTimes = Arc<Mutex<BTreeMap<TaskKey, u64>>>;

/// A running task.
#[derive(Clone, Debug)]
pub struct Run {
    pub run: u32,
    pub allocation: Resources,
    pub ends_at: Millis,
    pub gang: u32,
    pub started_at: Millis,
}

impl Run {
    fn progress(&self, now: Millis) -> u32 {
        let duration_ms = self.ends_at.since(self.started_at).0.max(1);
        (now.since(self.started_at).0.min(duration_ms) * 100 / duration_ms) as u32
    }
}

/// A simulated worker with its faults.
pub struct SimWorker {
    pub id: InstanceId,
    pub address: Arc<str>,
    pub capacity: Resources,
    pub running: BTreeMap<TaskKey, Run>,
    pub ended: Vec<End>,
    /// Number of the last end in this incarnation, 0 for none.
    pub last_end_number: u64,
    /// Highest epoch of an owner that has called; calls of earlier owners are rejected.
    pub fence: u64,
    /// Reading of this worker's clock at which the lease ends.
    pub lease_until: u64,
    /// Highest run of each task that has ended or was stopped here.
    pub ended_runs: BTreeMap<TaskKey, u32>,
    /// Whether the platform's list contains the worker.
    pub listed: bool,
    /// Whether it has removed its entry from that list itself.
    pub withdrawn: bool,
    pub leaving: bool,
    /// Minimum time until a leaving worker is removed.
    pub remaining: Option<Millis>,
    /// Whether calls reach the worker. Its tasks continue in any case.
    pub reachable: bool,
    /// Whether calls are executed but their answers are lost.
    pub drops_answers: bool,
    /// A start of the earlier owner that is still being executed when the next owner calls first:
    /// the task starts only after the answer to that call.
    pub delayed_start: Option<(TaskKey, Run)>,
    /// Whether tasks with an estimate of zero run until they are stopped, instead of ending at
    /// once.
    pub runs_until_stopped: bool,
    /// Pace of each task, in percent of its full speed.
    pub paces: BTreeMap<TaskKey, u32>,
    /// Tail latency of service tasks without best-effort tasks on the worker, in milliseconds.
    pub base_latency_ms: u32,
    /// Whether its tasks make no progress although the worker answers calls.
    pub stalled: bool,
    /// Factor by which its tasks exceed their run times.
    pub slowdown: u64,
    /// Run times of tasks that differ from their estimates, in milliseconds.
    pub run_times: RunTimes,
    /// Label of its rack.
    pub rack: Arc<str>,
    /// Whether every task that it starts fails.
    pub fails_all: bool,
    /// Time from a stop to the end of the task, in milliseconds. The task is listed as running
    /// meanwhile.
    pub stop_delay_ms: u64,
    /// When each task that is being stopped ends.
    pub stopping: BTreeMap<TaskKey, Millis>,
    /// False after a crash, until the restart.
    pub up: bool,
    /// Time of the crash, while it is down.
    pub down_since: Option<Millis>,
    pub now: Millis,
    /// Time of the last restart under the same id. The worker's clock starts from there.
    pub restarted_at: Option<Millis>,
    /// Rate of its clock, in percent of true time.
    pub clock_rate_percent: u64,
    /// Whether answers and listings name its incarnation.
    pub reports_incarnation: bool,
    /// Jobs whose tasks fail on this worker.
    pub failing_jobs: BTreeSet<JobId>,
    /// Runs started in this incarnation.
    pub starts: u64,
    /// What it reports as the checkpoint of each running task.
    pub checkpoint_text: Arc<str>,
}

impl SimWorker {
    pub fn new(i: usize, now: Millis) -> SimWorker {
        SimWorker {
            id: format!("w{i}").as_str().into(),
            address: format!("10.0.0.{i}:1").into(),
            capacity: Resources::new(16_000, 64_000, 0),
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            fence: 0,
            lease_until: 0,
            ended_runs: BTreeMap::new(),
            listed: true,
            withdrawn: false,
            leaving: false,
            remaining: None,
            reachable: true,
            drops_answers: false,
            runs_until_stopped: false,
            paces: BTreeMap::new(),
            base_latency_ms: 50,
            delayed_start: None,
            stalled: false,
            slowdown: 1,
            run_times: RunTimes::default(),
            rack: "r1".into(),
            fails_all: false,
            stop_delay_ms: 0,
            stopping: BTreeMap::new(),
            up: true,
            down_since: None,
            now,
            restarted_at: None,
            clock_rate_percent: 100,
            reports_incarnation: true,
            failing_jobs: BTreeSet::new(),
            starts: 0,
            checkpoint_text: "".into(),
        }
    }

    pub fn clock(&self) -> u64 {
        let (since, first) = self.restarted_at.map_or((Millis(0), CLOCK_OFFSET_MS), |at| (at, 1));
        self.now.since(since).0 * self.clock_rate_percent / 100 + first
    }

    pub fn incarnation(&self) -> Option<Incarnation> {
        self.reports_incarnation.then(|| Incarnation(self.restarted_at.unwrap_or_default().0))
    }

    pub fn life(&self) -> WorkerLife {
        WorkerLife::new(self.id.clone(), self.incarnation())
    }

    /// Returns the ticket that this incarnation accepts.
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
            labels: vec!["a".into(), self.rack.clone()],
            leaving: self.leaving,
            remaining: self.remaining,
            withdrawn: self.withdrawn,
        }
    }

    pub fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |a, r| a.plus(&r.allocation))
    }

    pub fn tick(&mut self, now: Millis) {
        self.now = now;
        if !self.up {
            return;
        }
        if self.stalled {
            // Moves the times of all tasks with the clock, so that none makes progress.
            for r in self.running.values_mut() {
                r.started_at = r.started_at + Millis(5);
                r.ends_at = r.ends_at + Millis(5);
            }
        }
        for (task, _) in self.stopping.extract_if(.., |_, at| *at <= now).collect::<Vec<_>>() {
            self.end(task, EndKind::Stopped);
        }
        let lapsed = self.clock() >= self.lease_until;
        let runs: Vec<_> = self.running.iter().map(|(t, r)| (*t, r.clone())).collect();
        for (task, r) in runs {
            let failed = self.fails_all || self.failing_jobs.contains(&task.step.job);
            if lapsed {
                self.end(task, EndKind::Lapsed);
            } else if r.ends_at <= now && !(self.runs_until_stopped && r.ends_at == r.started_at) {
                self.end(task, if failed { EndKind::Failed } else { EndKind::Done });
            }
        }
    }

    pub fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(r) = self.running.remove(&task) else { return };
        self.last_end_number += 1;
        self.ended_runs.insert(task, r.run);
        let number = self.last_end_number;
        self.ended.push(End { number, task, run: r.run, kind, saved: "".into() });
    }

    /// Returns how many tasks have completed here whose ends are not yet acknowledged.
    pub fn done(&self) -> usize {
        self.ended.iter().filter(|e| e.kind == EndKind::Done).count()
    }

    /// Returns the tail latency of a task. Each other task adds 1 ms per percent of its pace.
    fn latency_ms(&self, task: &TaskKey) -> u32 {
        let other_tasks = self.running.keys().filter(|t| *t != task);
        let paces = other_tasks.map(|t| self.paces.get(t).copied().unwrap_or(100));
        self.base_latency_ms + paces.sum::<u32>()
    }

    /// Sets the pace of a task. Returns true if the caller gets the answer.
    pub fn pace(&mut self, task: TaskKey, percent: u32, fence: u64) -> bool {
        if !self.up || !self.reachable || fence < self.fence {
            return false;
        }
        self.paces.insert(task, percent);
        !self.drops_answers
    }

    /// Crashes. The worker answers no calls until it is restarted.
    pub fn crash(&mut self) {
        self.up = false;
        self.down_since = Some(self.now);
        self.running.clear();
    }

    /// Crashes and restarts under another id at the same address.
    pub fn restart(&mut self, id: &str) {
        let (now, address, runs_until_stopped) =
            (self.now, self.address.clone(), self.runs_until_stopped);
        let run_times = self.run_times.clone();
        *self = SimWorker::new(0, now);
        self.run_times = run_times;
        self.runs_until_stopped = runs_until_stopped;
        self.id = id.into();
        self.address = address;
    }

    /// Crashes and restarts under the same id and address. Nothing is kept from the earlier
    /// incarnation; end numbers and the clock start anew.
    pub fn restart_with_same_id(&mut self) {
        let id = self.id.clone();
        self.restart(id.as_str());
        self.restarted_at = Some(self.now);
    }

    fn extend_lease(&mut self, lease_until: u64) {
        self.lease_until = self.lease_until.max(lease_until.min(self.clock() + MAX_LEASE_MS));
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
        let running = self.running.get(&task).map(|r| r.run);
        if running != Some(run) {
            if self.ended_runs.get(&task).is_some_and(|&o| run <= o) || running.is_some() {
                return StartAnswer::Old;
            }
            self.starts += 1;
            let allocation = spec.allocation();
            let run_time =
                self.run_times.lock().expect("no thread should panic").get(&task).copied();
            let run_ms = run_time.unwrap_or(spec.estimate_ms) * self.slowdown;
            let ends_at = self.now + Millis(run_ms);
            self.running
                .insert(task, Run { run, allocation, ends_at, gang: 0, started_at: self.now });
        }
        if self.drops_answers { StartAnswer::Unanswered } else { StartAnswer::Runs(self.clock()) }
    }

    pub fn stop(&mut self, task: TaskKey, run: u32, fence: u64) -> bool {
        if !self.up || !self.reachable || fence < self.fence {
            return false;
        }
        self.fence = fence;
        if self.running.get(&task).is_some_and(|r| r.run == run) {
            if self.stop_delay_ms > 0 {
                self.stopping.entry(task).or_insert(self.now + Millis(self.stop_delay_ms));
            } else {
                self.end(task, EndKind::Stopped);
            }
        } else {
            let ended_runs = self.ended_runs.entry(task).or_insert(run);
            *ended_runs = run.max(*ended_runs);
        }
        !self.drops_answers
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
        if self.drops_answers {
            return LookAnswer::Unanswered;
        }
        let running = |(task, r): (&TaskKey, &Run)| Running {
            task: *task,
            run: r.run,
            saved: self.checkpoint_text.clone(),
            progress: r.progress(self.now),
            load: self.latency_ms(task),
        };
        let look = Look {
            incarnation: self.incarnation(),
            clock: self.clock(),
            running: self.running.iter().map(running).collect(),
            ended: self.ended.iter().take(MAX_ENDS_PER_LOOK).cloned().collect(),
            ends_cut: self.ended.len() >= MAX_ENDS_PER_LOOK,
        };
        if let Some((task, run)) = self.delayed_start.take() {
            self.running.insert(task, run);
        }
        LookAnswer::Lists(look)
    }

    /// Time after which a member of an incomplete gang ends.
    pub fn gang_timeout() -> Millis {
        Millis(GANG_TIMEOUT_MS)
    }
}
