//! One worker as the owner knows it.

use crate::answer_timeouts;
use crate::crashes::{FRESH_PERIOD, LostRun};
use crate::health::Health;
use crate::held_task::HeldTask;
use crate::order::WorkerListing;
use crate::spec::TaskKey;
use crate::worker_life::WorkerLife;
use crate::worker_restart::LateStart;
use hollowford_core::{AnswerTimes, Millis, Resources};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The slowest that a worker's steady clock may run, in hundredths of true time (PROTOCOL).
pub const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// What the owner knows of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    /// A reading.
    pub reading: u64,
    /// When its answer arrived.
    pub at: Millis,
}

impl WorkerClock {
    /// Returns the reading to expect at `now`, if the clock runs true.
    pub fn expected_reading(&self, now: Millis) -> u64 {
        self.reading + now.since(self.at).0
    }

    /// Returns the time at which the clock has surely passed `reading`.
    pub fn certainly_past(&self, reading: u64) -> Millis {
        let ahead = reading.saturating_sub(self.reading);
        self.at + Millis(ahead * 100 / MIN_CLOCK_RATE_PERCENT + 1)
    }
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub life: WorkerLife,
    /// It became known without an incarnation, and was told apart by its first answer.
    pub lacked_incarnation: bool,
    /// When it became known to this owner.
    pub known_at: Millis,
    pub address: Arc<str>,
    pub pool: Arc<str>,
    pub labels: Vec<Arc<str>>,
    pub capacity: Resources,
    /// Capacity less what is held.
    pub free: Resources,
    pub held: Vec<HeldTask>,
    /// How many of them are suspect.
    pub suspect_count: u32,
    /// Runs that were given up as it fell silent, until it is known whether it has crashed.
    pub lost_runs: Vec<LostRun>,
    /// Starts that got no answer, which may be carried out later.
    pub late_starts: Vec<LateStart>,
    /// It stands in the platform's list.
    pub listed: bool,
    /// The row of workers that names it is in the store.
    pub recorded: bool,
    pub leaving: bool,
    /// When it may be gone, once it is leaving.
    pub leaves_at: Option<Millis>,
    /// It has answered a look of this owner, and so refuses orders of earlier ones.
    pub fenced: bool,
    /// When it first did.
    pub fenced_at: Millis,
    /// Reading of its clock in the newest lists that were taken in.
    pub look_clock: u64,
    /// It has answered another one since: what was on its way before is listed, too.
    pub claimed: bool,
    pub clock: Option<WorkerClock>,
    /// The latest reading of its clock until which an order let it run.
    pub lease_until: u64,
    /// Ends that are taken in and have to be written down before they may be forgotten.
    pub unwritten_ends: BTreeSet<u64>,
    /// Ends up to this number are taken in.
    pub last_processed_end: u64,
    /// A look is under way.
    pub look_in_flight: bool,
    /// The next look is due.
    pub next_look_at: Millis,
    /// Calls without an answer since the last that got one.
    pub unanswered_calls: u32,
    /// When the last call went unanswered, until a list that was asked for later tells that this life goes
    /// on: it may have started again since, and other answers don't say which life they are of.
    pub restart_suspected_since: Option<Millis>,
    pub answer_times: AnswerTimes,
    pub last_answer: Millis,
    pub health: Health,
    /// How long its tasks take as a multiple of what their callers guess, smoothed.
    pub slowness: f32,
    /// When what fills was slowed down or sped up here last.
    pub paced_at: Millis,
}

impl Worker {
    /// Makes a worker that is known by its address only.
    pub fn new(life: WorkerLife, address: Arc<str>, now: Millis) -> Worker {
        Worker {
            life,
            lacked_incarnation: false,
            known_at: now,
            address,
            pool: "".into(),
            labels: Vec::new(),
            capacity: Resources::default(),
            free: Resources::default(),
            held: Vec::new(),
            suspect_count: 0,
            lost_runs: Vec::new(),
            late_starts: Vec::new(),
            listed: false,
            recorded: false,
            leaving: false,
            leaves_at: None,
            fenced: false,
            fenced_at: now,
            look_clock: 0,
            claimed: false,
            clock: None,
            lease_until: 0,
            unwritten_ends: BTreeSet::new(),
            last_processed_end: 0,
            look_in_flight: false,
            next_look_at: now,
            unanswered_calls: 0,
            restart_suspected_since: None,
            answer_times: AnswerTimes::default(),
            last_answer: now,
            health: Health::default(),
            slowness: 1.0,
            paced_at: Millis(0),
        }
    }

    /// Takes over what the platform's list says.
    pub fn apply_listing(&mut self, l: &WorkerListing, now: Millis) {
        self.pool = l.pool.clone();
        self.labels = l.labels.clone();
        self.capacity = l.capacity;
        self.listed = true;
        // A life that leaves doesn't stay after all.
        self.leaving |= l.leaving;
        if let Some(remaining) = l.remaining {
            let at = now + remaining;
            self.leaves_at = Some(self.leaves_at.map_or(at, |g| g.min(at)));
        }
        self.update_free();
    }

    /// Tells whether new tasks may be started here.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.listed
            && self.claimed
            && !self.leaving
            && self.unanswered_calls == 0
            && self.health.is_available(now)
    }

    /// Returns the room for new tasks. A worker that is tried again takes one task only, and nothing is
    /// started beside a task that may be about to crash it, since it would be given up for that.
    pub fn available(&self, now: Millis) -> Resources {
        let on_trial = self.health.on_trial(now) && !self.held.is_empty();
        if on_trial || self.has_fresh_suspect(now) {
            return Resources::default();
        }
        self.free
    }

    /// Tells whether a task was started here just now under which workers have crashed before.
    fn has_fresh_suspect(&self, now: Millis) -> bool {
        let fresh = |h: &HeldTask| h.suspect && now < h.since + FRESH_PERIOD;
        self.suspect_count > 0 && self.held.iter().any(fresh)
    }

    /// Counts again what is free, and how many tasks are suspect.
    pub fn update_free(&mut self) {
        self.suspect_count = self.held.iter().filter(|h| h.suspect).count() as u32;
        self.free = self.capacity.minus(&self.used());
    }

    /// Returns what is held.
    fn used(&self) -> Resources {
        self.held.iter().fold(Resources::default(), |sum, h| sum.plus(&h.allocation))
    }

    /// Tells whether all that is held fits; its capacity may have shrunk since it was placed.
    pub fn fits_capacity(&self) -> bool {
        self.used().fits(&self.capacity)
    }

    pub fn hold(&mut self, held: HeldTask) {
        self.held.push(held);
        self.update_free();
    }

    pub fn find(&self, task: TaskKey, run: u32) -> Option<usize> {
        self.held.iter().position(|h| h.task == task && h.run == run)
    }

    pub fn find_mut(&mut self, task: TaskKey, run: u32) -> Option<&mut HeldTask> {
        self.held.iter_mut().find(|h| h.task == task && h.run == run)
    }

    /// Tells whether what becomes of a run is told by this worker, or by its next life.
    pub fn tracks_run(&self, task: TaskKey, run: u32) -> bool {
        let lost = self.lost_runs.iter().any(|l| l.task == task && l.run == run);
        lost || self.find(task, run).is_some()
    }

    /// Takes note that a task that it holds crashes nothing.
    pub fn clear_suspect(&mut self, task: TaskKey, run: u32) {
        if let Some(h) = self.find_mut(task, run) {
            h.suspect = false;
            self.update_free();
        }
    }

    pub fn release(&mut self, at: usize) -> HeldTask {
        let held = self.held.swap_remove(at);
        self.update_free();
        held
    }

    /// Returns the number up to which ends are acknowledged. A worker that may have started again
    /// counts its ends anew: it is to forget none of them unread.
    pub fn acknowledged_ends(&self) -> u64 {
        if self.restart_suspected_since.is_some() {
            return 0;
        }
        self.unwritten_ends.first().map_or(self.last_processed_end, |first| first - 1)
    }

    /// Returns how long to wait for the answer to a call that is made now.
    pub fn answer_timeout(&self) -> Millis {
        answer_timeouts::answer_timeout(&self.answer_times, self.unanswered_calls)
    }

    /// Takes note that a list that was asked for at `sent` has told that this life goes on.
    pub fn confirm_alive(&mut self, sent: Millis) {
        self.restart_suspected_since = self.restart_suspected_since.filter(|&at| at > sent);
    }

    /// Takes note of an answer of this life, with its clock.
    pub fn record_answer(&mut self, reading: u64, now: Millis) {
        self.last_answer = now;
        if self.clock.is_none_or(|c| reading >= c.reading) {
            self.clock = Some(WorkerClock { reading, at: now });
        }
    }

    /// Returns the reading to write into the next order, and remembers it. A worker that
    /// doesn't answer gets no longer lease, or what it holds could never be given up.
    pub fn extend_lease(&mut self, now: Millis, lease: Millis) -> Option<u64> {
        let clock = self.clock?;
        if self.unanswered_calls == 0 {
            self.lease_until = self.lease_until.max(clock.expected_reading(now) + lease.0);
        }
        Some(self.lease_until)
    }

    /// Returns when nothing that this owner ordered can run here any more without its word.
    pub fn lease_expiry(&self) -> Option<Millis> {
        self.clock.map(|c| c.certainly_past(self.lease_until))
    }

    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|l| &**l == label)
    }
}
