//! One worker as the owner knows it.

use crate::answers;
use crate::crashes::{FRESH_FOR, LostRun};
use crate::health::Health;
use crate::held::Held;
use crate::life::WorkerLife;
use crate::lives::LateStart;
use crate::order::WorkerListing;
use crate::spec::TaskKey;
use hollowford_core::{AnswerTimes, Millis, Resources};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The slowest that a worker's steady clock may run, in hundredths of true time (PROTOCOL).
pub const SLOWEST_CLOCK_PERCENT: u64 = 98;

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
    pub fn at(&self, now: Millis) -> u64 {
        self.reading + now.since(self.at).0
    }

    /// Returns the time at which the clock has surely passed `reading`.
    pub fn surely_past(&self, reading: u64) -> Millis {
        let ahead = reading.saturating_sub(self.reading);
        self.at + Millis(ahead * 100 / SLOWEST_CLOCK_PERCENT + 1)
    }
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub life: WorkerLife,
    /// It became known without an incarnation, and was told apart by its first answer.
    pub was_unnamed: bool,
    /// When it became known to this owner.
    pub known_at: Millis,
    pub address: Arc<str>,
    pub pool: Arc<str>,
    pub labels: Vec<Arc<str>>,
    pub capacity: Resources,
    /// Capacity less what is held.
    pub free: Resources,
    pub held: Vec<Held>,
    /// How many of them are suspect.
    pub suspects: u32,
    /// Runs that were given up as it fell silent, until it is known whether it has crashed.
    pub lost: Vec<LostRun>,
    /// Starts that got no answer, which may be carried out later.
    pub late_starts: Vec<LateStart>,
    /// It stands in the platform's list.
    pub listed: bool,
    /// The row of workers that names it is in the store.
    pub recorded: bool,
    pub leaving: bool,
    /// When it may be gone, once it is leaving.
    pub gone_at: Option<Millis>,
    /// It has answered a look of this owner, and so refuses orders of earlier ones.
    pub fenced: bool,
    /// When it first did.
    pub fenced_at: Millis,
    /// Reading of its clock in the newest lists that were taken in.
    pub looked_clock: u64,
    /// It has answered another one since: what was on its way before is listed, too.
    pub claimed: bool,
    pub clock: Option<WorkerClock>,
    /// The latest reading of its clock until which an order let it run.
    pub lease_until: u64,
    /// Ends that are taken in and have to be written down before they may be forgotten.
    pub unwritten_ends: BTreeSet<u64>,
    /// Ends up to this number are taken in.
    pub taken: u64,
    /// A look is under way.
    pub looking: bool,
    /// The next look is due.
    pub look_at: Millis,
    /// Calls without an answer since the last that got one.
    pub unanswered: u32,
    /// When the last call went unanswered, until a list that was asked for later tells that this life goes
    /// on: it may have started again since, and other answers don't say which life they are of.
    pub doubted_since: Option<Millis>,
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
            was_unnamed: false,
            known_at: now,
            address,
            pool: "".into(),
            labels: Vec::new(),
            capacity: Resources::default(),
            free: Resources::default(),
            held: Vec::new(),
            suspects: 0,
            lost: Vec::new(),
            late_starts: Vec::new(),
            listed: false,
            recorded: false,
            leaving: false,
            gone_at: None,
            fenced: false,
            fenced_at: now,
            looked_clock: 0,
            claimed: false,
            clock: None,
            lease_until: 0,
            unwritten_ends: BTreeSet::new(),
            taken: 0,
            looking: false,
            look_at: now,
            unanswered: 0,
            doubted_since: None,
            answer_times: AnswerTimes::default(),
            last_answer: now,
            health: Health::default(),
            slowness: 1.0,
            paced_at: Millis(0),
        }
    }

    /// Takes over what the platform's list says.
    pub fn take_listing(&mut self, l: &WorkerListing, now: Millis) {
        self.pool = l.pool.clone();
        self.labels = l.labels.clone();
        self.capacity = l.capacity;
        self.listed = true;
        // A life that leaves doesn't stay after all.
        self.leaving |= l.leaving;
        if let Some(remaining) = l.remaining {
            let at = now + remaining;
            self.gone_at = Some(self.gone_at.map_or(at, |g| g.min(at)));
        }
        self.recount();
    }

    /// Tells whether new tasks may be started here.
    pub fn usable(&self, now: Millis) -> bool {
        self.listed && self.claimed && !self.leaving && self.unanswered == 0 && self.health.ok(now)
    }

    /// Returns the room for new tasks. A worker that is tried again takes one task only, and nothing is
    /// started beside a task that may be about to crash it, since it would be given up for that.
    pub fn room(&self, now: Millis) -> Resources {
        let on_trial = self.health.on_trial(now) && !self.held.is_empty();
        if on_trial || self.has_fresh_suspect(now) {
            return Resources::default();
        }
        self.free
    }

    /// Tells whether a task was started here just now under which workers have crashed before.
    fn has_fresh_suspect(&self, now: Millis) -> bool {
        let fresh = |h: &Held| h.suspect && now < h.since + FRESH_FOR;
        self.suspects > 0 && self.held.iter().any(fresh)
    }

    /// Counts again what is free, and how many tasks are suspect.
    pub fn recount(&mut self) {
        self.suspects = self.held.iter().filter(|h| h.suspect).count() as u32;
        self.free = self.capacity.minus(&self.used());
    }

    /// Returns what is held.
    fn used(&self) -> Resources {
        self.held.iter().fold(Resources::default(), |sum, h| sum.plus(&h.room))
    }

    /// Tells whether all that is held fits; its capacity may have shrunk since it was placed.
    pub fn holds_no_more_than_it_has(&self) -> bool {
        self.used().fits(&self.capacity)
    }

    pub fn hold(&mut self, held: Held) {
        self.held.push(held);
        self.recount();
    }

    pub fn find(&self, task: TaskKey, run: u32) -> Option<usize> {
        self.held.iter().position(|h| h.task == task && h.run == run)
    }

    pub fn find_mut(&mut self, task: TaskKey, run: u32) -> Option<&mut Held> {
        self.held.iter_mut().find(|h| h.task == task && h.run == run)
    }

    /// Tells whether what becomes of a run is told by this worker, or by its next life.
    pub fn may_tell_of(&self, task: TaskKey, run: u32) -> bool {
        let lost = self.lost.iter().any(|l| l.task == task && l.run == run);
        lost || self.find(task, run).is_some()
    }

    /// Takes note that a task that it holds crashes nothing.
    pub fn clear_suspect(&mut self, task: TaskKey, run: u32) {
        if let Some(h) = self.find_mut(task, run) {
            h.suspect = false;
            self.recount();
        }
    }

    pub fn release(&mut self, at: usize) -> Held {
        let held = self.held.swap_remove(at);
        self.recount();
        held
    }

    /// Returns the number up to which ends are acknowledged. A worker that may have started again
    /// counts its ends anew: it is to forget none of them unread.
    pub fn acknowledged_ends(&self) -> u64 {
        if self.doubted_since.is_some() {
            return 0;
        }
        self.unwritten_ends.first().map_or(self.taken, |first| first - 1)
    }

    /// Returns how long to wait for the answer to a call that is made now.
    pub fn answer_limit(&self) -> Millis {
        answers::limit(&self.answer_times, self.unanswered)
    }

    /// Takes note that a list that was asked for at `sent` has told that this life goes on.
    pub fn lives_on(&mut self, sent: Millis) {
        self.doubted_since = self.doubted_since.filter(|&at| at > sent);
    }

    /// Takes note of an answer of this life, with its clock.
    pub fn answered(&mut self, reading: u64, now: Millis) {
        self.last_answer = now;
        if self.clock.is_none_or(|c| reading >= c.reading) {
            self.clock = Some(WorkerClock { reading, at: now });
        }
    }

    /// Returns the reading to write into the next order, and remembers it. A worker that
    /// doesn't answer gets no longer lease, or what it holds could never be given up.
    pub fn extend_lease(&mut self, now: Millis, lease: Millis) -> Option<u64> {
        let clock = self.clock?;
        if self.unanswered == 0 {
            self.lease_until = self.lease_until.max(clock.at(now) + lease.0);
        }
        Some(self.lease_until)
    }

    /// Returns when nothing that this owner ordered can run here any more without its word.
    pub fn lease_over(&self) -> Option<Millis> {
        self.clock.map(|c| c.surely_past(self.lease_until))
    }

    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|l| &**l == label)
    }
}
