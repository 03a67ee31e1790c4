//! State that a partition's owner keeps for one worker.

use crate::answer_timeouts;
use crate::crashes::{FRESH_PERIOD, LostRun};
use crate::health::Health;
use crate::held_task::HeldTask;
use crate::order::WorkerListing;
use crate::spec::TaskKey;
use crate::worker_life::WorkerLife;
use crate::worker_restart::LateStart;
use hollowford_core::{AnswerTimes, Millis, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Slowest rate of a worker's steady clock, in percent of true time, that the protocol allows.
pub const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// Consecutive unanswered calls after which a worker is logged as silent. Single lost answers are
/// common and only counted as a share.
pub(crate) const MIN_SILENT_CALLS: u32 = 2;

/// The last known reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    /// Reading in milliseconds.
    pub reading: u64,
    /// When the answer with this reading arrived.
    pub at: Millis,
}

impl WorkerClock {
    /// Returns the expected reading at `now`, assuming that the clock runs at the true rate.
    pub fn expected_reading(&self, now: Millis) -> u64 {
        self.reading + now.since(self.at).0
    }

    /// Returns the time at which the clock has passed `reading` even at its slowest allowed rate.
    pub fn passed_at(&self, reading: u64) -> Millis {
        let ahead = reading.saturating_sub(self.reading);
        self.at + Millis(ahead * 100 / MIN_CLOCK_RATE_PERCENT + 1)
    }
}

/// A worker and the tasks that the owner knows on it.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub life: WorkerLife,
    /// Whether it was first known without an incarnation, which its first answer then supplied.
    pub lacked_incarnation: bool,
    /// When this owner first learned of it.
    pub known_at: Millis,
    pub address: Arc<str>,
    pub pool: Arc<str>,
    pub labels: Vec<Arc<str>>,
    pub capacity: Resources,
    /// Capacity minus the allocations of the held tasks.
    pub free: Resources,
    pub held: Vec<HeldTask>,
    /// Runs that have ended, as the worker no longer runs them, but whose ends its cut list doesn't
    /// show yet. They occupy nothing, and their tasks wait for the ends.
    pub unlisted_ends: BTreeMap<(TaskKey, u32), HeldTask>,
    /// Whether its last list of ends was cut.
    pub ends_cut: bool,
    /// Number of held tasks under which workers have crashed before.
    pub suspect_count: u32,
    /// Runs given up after the worker's lease expired, kept until it is known whether the worker
    /// crashed.
    pub lost_runs: Vec<LostRun>,
    /// Unanswered starts that the worker may still execute.
    pub late_starts: Vec<LateStart>,
    /// Whether the platform's list of workers contains it.
    pub listed: bool,
    /// Whether the stored row of workers contains it.
    pub recorded: bool,
    pub leaving: bool,
    /// Whether it has removed its entry from the platform's list itself, unlike one whose entry has
    /// expired. A worker that is leaving does so once it has left.
    pub withdrawn: bool,
    /// Earliest time at which the platform may remove it; set once it is leaving.
    pub leaves_at: Option<Millis>,
    /// Whether it has answered a look of this owner and so rejects orders of earlier owners.
    pub fenced: bool,
    /// When it was fenced.
    pub fenced_at: Millis,
    /// Its clock reading in the newest look that was processed.
    pub look_clock: u64,
    /// Whether it may get tasks: it has answered a second look after fencing, which lists
    /// everything that earlier owners' orders started.
    pub claimed: bool,
    pub clock: Option<WorkerClock>,
    /// Latest clock reading up to which an order of this owner allowed it to run tasks.
    pub lease_until: u64,
    /// Clock reading up to which it may run tasks by orders of earlier owners, or of this one to an
    /// earlier incarnation.
    pub earlier_lease_until: u64,
    /// Numbers of processed ends whose effects are not stored yet. They must not be acknowledged
    /// before.
    pub unstored_ends: BTreeSet<u64>,
    /// Highest number of a processed end.
    pub last_processed_end: u64,
    pub look_in_flight: bool,
    /// When the next look is due.
    pub next_look_at: Millis,
    /// Consecutive calls without an answer.
    pub unanswered_calls: u32,
    /// When the last call went unanswered; cleared by the answer to a look sent later. Until then
    /// the worker may have restarted, and answers to other calls don't contain the incarnation.
    pub restart_suspected_since: Option<Millis>,
    pub answer_times: AnswerTimes,
    pub last_answer: Millis,
    pub health: Health,
    /// Smoothed ratio of its tasks' run times, by their progress, to those expected on this worker.
    /// It shows within a few reports that a worker has become slower than its learned speed.
    pub slowness: f32,
    /// When [`Worker::slowness`] was last sampled.
    pub slowness_at: Millis,
    /// When the pace of best-effort tasks on it last changed.
    pub paced_at: Millis,
}

impl Worker {
    /// Creates a worker of which only the incarnation and address are known.
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
            unlisted_ends: BTreeMap::new(),
            ends_cut: false,
            suspect_count: 0,
            lost_runs: Vec::new(),
            late_starts: Vec::new(),
            listed: false,
            recorded: false,
            leaving: false,
            withdrawn: false,
            leaves_at: None,
            fenced: false,
            fenced_at: now,
            look_clock: 0,
            claimed: false,
            clock: None,
            lease_until: 0,
            earlier_lease_until: 0,
            unstored_ends: BTreeSet::new(),
            last_processed_end: 0,
            look_in_flight: false,
            next_look_at: now,
            unanswered_calls: 0,
            restart_suspected_since: None,
            answer_times: AnswerTimes::default(),
            last_answer: now,
            health: Health::default(),
            slowness: 1.0,
            slowness_at: now,
            paced_at: Millis(0),
        }
    }

    /// Applies the worker's entry in the platform's list.
    pub fn apply_listing(&mut self, l: &WorkerListing, now: Millis) {
        self.pool = l.pool.clone();
        self.labels = l.labels.clone();
        self.capacity = l.capacity;
        (self.listed, self.withdrawn) = (true, false);
        // Leaving is final for an incarnation, even if a later list no longer says so.
        self.leaving |= l.leaving;
        if let Some(remaining) = l.remaining {
            let at = now + remaining;
            self.leaves_at = Some(self.leaves_at.map_or(at, |earlier| earlier.min(at)));
        }
        self.update_free();
    }

    /// Returns true if new tasks may be started on the worker.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.listed
            && self.claimed
            && !self.leaving
            && self.unanswered_calls == 0
            && self.health.is_available(now)
    }

    /// Returns true if it has left several calls in a row unanswered.
    pub fn is_silent(&self) -> bool {
        self.unanswered_calls >= MIN_SILENT_CALLS
    }

    /// Returns the resources for new tasks. A worker on trial takes one task only. Nothing is
    /// started beside a recently started suspect task, because a crash would count against the new
    /// task too.
    pub fn available(&self, now: Millis) -> Resources {
        let on_trial = self.health.on_trial(now) && !self.held.is_empty();
        if on_trial || self.has_fresh_suspect(now) {
            return Resources::default();
        }
        self.free
    }

    /// Returns true if a suspect task was started here within [`FRESH_PERIOD`].
    fn has_fresh_suspect(&self, now: Millis) -> bool {
        let fresh = |h: &HeldTask| h.suspect && now < h.since + FRESH_PERIOD;
        self.suspect_count > 0 && self.held.iter().any(fresh)
    }

    /// Recomputes the free resources and the number of suspect tasks.
    pub fn update_free(&mut self) {
        self.suspect_count = self.held.iter().filter(|h| h.suspect).count() as u32;
        self.free = self.capacity.minus(&self.used());
    }

    /// Returns the sum of the held tasks' allocations.
    fn used(&self) -> Resources {
        self.held.iter().fold(Resources::default(), |sum, h| sum.plus(&h.allocation))
    }

    /// Returns true if the held tasks fit the capacity, which may have shrunk since they were
    /// placed.
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

    /// Returns true if the outcome of a run will become known from this worker or its next
    /// incarnation.
    pub fn tracks_run(&self, task: TaskKey, run: u32) -> bool {
        let lost = self.lost_runs.iter().any(|l| l.task == task && l.run == run);
        lost || self.holds_run(task, run)
    }

    /// Returns true if a run is on the worker, or has ended there and its end isn't listed yet.
    pub fn holds_run(&self, task: TaskKey, run: u32) -> bool {
        self.find(task, run).is_some() || self.unlisted_ends.contains_key(&(task, run))
    }

    /// Returns true if no run is on the worker and all ends have been listed.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.unlisted_ends.is_empty()
    }

    /// Returns all runs that are on the worker or whose ends aren't listed yet.
    pub fn runs(&self) -> impl Iterator<Item = (TaskKey, u32)> {
        let held = self.held.iter().map(|h| (h.task, h.run));
        held.chain(self.unlisted_ends.keys().copied())
    }

    /// Marks a held task as no longer suspected of crashing workers.
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

    /// Removes a run that is on the worker or whose end isn't listed yet.
    pub fn release_run(&mut self, task: TaskKey, run: u32) -> Option<HeldTask> {
        match self.find(task, run) {
            Some(at) => Some(self.release(at)),
            None => self.unlisted_ends.remove(&(task, run)),
        }
    }

    /// Records that a held run has ended and that its end isn't listed yet. When it ended is
    /// unknown.
    pub fn await_listed_end(&mut self, task: TaskKey, run: u32) {
        let Some(at) = self.find(task, run) else { return };
        let mut held = self.release(at);
        held.measured_from = None;
        self.unlisted_ends.insert((task, run), held);
    }

    /// Returns the number up to which ends are acknowledged; 0 while the worker may have restarted,
    /// because a new incarnation numbers its ends from 1 and would forget ends that were never
    /// read.
    pub fn acknowledged_ends(&self) -> u64 {
        if self.restart_suspected_since.is_some() {
            return 0;
        }
        self.unstored_ends.first().map_or(self.last_processed_end, |first| first - 1)
    }

    /// Returns the timeout for the answer to a call that is made now.
    pub fn answer_timeout(&self) -> Millis {
        answer_timeouts::answer_timeout(&self.answer_times, self.unanswered_calls)
    }

    /// Records that the answer to a look sent at `sent` has confirmed this incarnation.
    pub fn confirm_alive(&mut self, sent: Millis) {
        self.restart_suspected_since = self.restart_suspected_since.filter(|&at| at > sent);
    }

    /// Records an answer of this incarnation and its clock reading.
    pub fn record_answer(&mut self, reading: u64, now: Millis) {
        self.last_answer = now;
        if self.clock.is_none_or(|c| reading >= c.reading) {
            self.clock = Some(WorkerClock { reading, at: now });
        }
    }

    /// Returns the lease end, as a reading of the worker's clock, for the next order and remembers
    /// it. The lease is extended to `lease` from now, or not at all if that is `None`. It is not
    /// extended while the worker doesn't answer; otherwise its tasks could never be given up.
    ///
    /// Returns `None` while the worker's clock is unknown, and before it has got a lease.
    pub fn extend_lease(&mut self, now: Millis, lease: Option<Millis>) -> Option<u64> {
        let clock = self.clock?;
        if let Some(lease) = lease
            && self.unanswered_calls == 0
        {
            self.lease_until = self.lease_until.max(clock.expected_reading(now) + lease.0);
        }
        Some(self.lease_until).filter(|&until| until > 0)
    }

    /// Returns when every lease has expired, of this owner and of earlier ones; `None` while the
    /// worker's clock is unknown.
    pub fn lease_expiry(&self) -> Option<Millis> {
        self.clock.map(|c| c.passed_at(self.lease_until.max(self.earlier_lease_until)))
    }

    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|l| &**l == label)
    }
}
