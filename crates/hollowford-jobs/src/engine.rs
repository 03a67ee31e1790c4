//! The engine: the state of one partition and its periodic work.

use crate::accounts::Accounts;
use crate::advice::{AdviceChannels, AllowedShare, OpenAnswers};
use crate::answer_timeouts::AnswerLoss;
use crate::batch::InFlight;
use crate::crashes::CrashedIncarnation;
use crate::event::Event;
use crate::features::Features;
use crate::health::FailureRate;
use crate::jobs::Jobs;
use crate::order::{Order, WorkerListing};
use crate::progress_segments::RowLimits;
use crate::queue::Queue;
use crate::row_removal::RowRemovals;
use crate::rows::WorkerAddress;
use crate::run_times::RunTimes;
use crate::shares::Shares;
use crate::spec::JobId;
use crate::worker_life::WorkerLife;
use crate::workers::{WorkerIdx, Workers};
use hollowford_core::{InstanceId, Millis};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// Maximum time between two passes over all waiting steps. Passes also run without an event,
/// because reservations rely on expected end times.
const FULL_PASS_INTERVAL: Millis = Millis(100);
/// Workers per millisecond of the shortest time between two passes. A pass visits every worker, so
/// the gap grows with their number.
const WORKERS_PER_PASS_GAP_MS: usize = 250;
/// Minimum time between two rounds of timed work (leases, looks, retries), each of which visits
/// every worker.
const UPKEEP_INTERVAL: Millis = Millis(5);

/// Leases, timeouts and retention times of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// How long a worker may keep running its tasks after each order.
    pub lease: Millis,
    /// Maximum lease that an earlier owner may have granted, counted from the takeover.
    pub previous_lease: Millis,
    /// Maximum lease that workers accept; they shorten longer ones to this.
    pub max_lease: Millis,
    /// Maximum time that a stopping task occupies its worker.
    pub stop_timeout: Millis,
    /// A gang whose members have not all started within this time ends.
    pub gang_timeout: Millis,
    /// How long the state of an ended job is kept.
    pub ended_job_retention: Millis,
}

/// Counters since the engine was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs accepted.
    pub accepted: u64,
    /// Accepted jobs that exceed the guaranteed rate of their account.
    pub unowed: u64,
    /// Starts ordered, not counting retries.
    pub started: u64,
    /// Starts sent again because there was no answer.
    pub resent: u64,
    /// Starts that a worker refused.
    pub refused: u64,
    /// Tasks that succeeded.
    pub done: u64,
    /// Tasks that failed.
    pub failed: u64,
    /// Tasks that ended in another way, such as stopped ones.
    pub interrupted: u64,
    /// Tasks given up because their worker's lease had expired.
    pub lapsed: u64,
    /// Tasks that a worker stopped listing, as running or as ended.
    pub vanished: u64,
    /// Tasks found running on a worker that should not run them.
    pub foreign: u64,
    /// Workers put in quarantine.
    pub put_aside: u64,
    /// Worker incarnations that ended without notice.
    pub crashes: u64,
    /// Jobs failed because their tasks crash workers.
    pub crashing_jobs: u64,
    /// Advice calls made.
    pub asked: u64,
    /// Answers of advice calls that a start of their step followed while their tickets were valid.
    pub used_answers: u64,
    /// Answers of advice calls that no start of their step followed in that time.
    pub unused_answers: u64,
    /// Steps that passes tried to place, counted once per pass.
    pub tried: u64,
    /// Copies of tasks started; also among the starts.
    pub copies: u64,
    /// Copies that ended as done before the other run.
    pub copies_won: u64,
    /// Copies whose task was done by the other run.
    pub copies_lost: u64,
    /// Copies that failed.
    pub copies_failed: u64,
    /// Copies that were stopped or given up before their task was done.
    pub copies_stopped: u64,
}

impl Stats {
    /// Returns the numbers of ended copies, by the name of their outcome in metrics.
    pub fn copy_outcomes(&self) -> [(&'static str, u64); 4] {
        [
            ("won", self.copies_won),
            ("lost", self.copies_lost),
            ("failed", self.copies_failed),
            ("stopped", self.copies_stopped),
        ]
    }
}

/// The scheduling engine of one partition. See the crate documentation.
#[derive(Debug)]
pub struct Engine {
    pub(crate) epoch: u64,
    pub(crate) time_limits: TimeLimits,
    pub(crate) features: Features,
    pub(crate) jobs: Jobs,
    pub(crate) workers: Workers,
    /// Incarnations of workers that have ended. The platform's list may still name them for a
    /// while.
    pub(crate) ended_incarnations: HashSet<WorkerLife>,
    /// The platform's list of workers, by instance id.
    pub(crate) listings: FxHashMap<InstanceId, WorkerListing>,
    pub(crate) queues: FxHashMap<Arc<str>, Arc<Queue>>,
    pub(crate) accounts: Accounts,
    /// What the accounts use of each pool; empty if no account has a weight.
    pub(crate) shares: Shares,
    pub(crate) advice_channels: AdviceChannels,
    /// Answers of advice calls that no start of their step has followed yet.
    pub(crate) open_answers: OpenAnswers,
    /// Share of the workers that may run a step, by queue.
    pub(crate) allowed_shares: FxHashMap<Arc<str>, AllowedShare>,
    /// Share of the workers' answers that are lost.
    pub(crate) answer_loss: AnswerLoss,
    /// Run times of earlier runs.
    pub(crate) run_times: RunTimes,
    /// Share of the tasks that fail.
    pub(crate) failure_rate: FailureRate,
    /// Workers that this owner has not claimed and that may still run tasks of an earlier owner.
    pub(crate) unsettled_workers: BTreeSet<WorkerIdx>,
    /// Recorded workers that were not claimed in time.
    pub(crate) unclaimed_workers: Vec<WorkerLife>,
    /// Time at which the leases of the unsettled workers have all expired.
    pub(crate) settled_at: Millis,
    /// Whether some tasks may still run on an unsettled worker and are therefore not started.
    pub(crate) tasks_unsettled: bool,
    /// See [`Engine::set_lease_renewal`].
    pub(crate) renews_leases: bool,
    /// Whether the store was unavailable shortly before the takeover.
    pub(crate) store_outage_before: bool,
    /// Limits of the rows of jobs and workers.
    pub(crate) row_limits: RowLimits,
    /// Batches that are built and not committed yet.
    pub(crate) in_flight: InFlight,
    /// Rows that are no longer needed.
    pub(crate) row_removals: RowRemovals,
    /// Number of the last batch, counted from 1.
    pub(crate) last_batch_number: u64,
    /// The workers in the rows that were stored last.
    pub(crate) recorded_workers: Vec<WorkerAddress>,
    /// Number of rows of workers that the store may have.
    pub(crate) stored_worker_rows: usize,
    /// Incarnations that crashed recently, which these rows also name.
    pub(crate) crashed_incarnations: Vec<CrashedIncarnation>,
    /// Whether something has changed since the last pass that may let a step be placed.
    pub(crate) needs_pass: bool,
    /// Whether an advice call that was not quick has been answered since the last pass.
    pub(crate) slow_call_answered: bool,
    /// Time of the last round of timed work at the workers.
    pub(crate) last_upkeep_at: Millis,
    pub(crate) last_pass_at: Millis,
    /// Time of the last pass over all waiting steps.
    pub(crate) last_full_pass_at: Millis,
    /// Unix time minus the engine's time, in milliseconds.
    pub(crate) unix_offset: i64,
    pub(crate) stats: Stats,
    /// Decisions and changes of state since the last call of [`Engine::take_events`].
    pub(crate) events: Vec<Event>,
}

impl Engine {
    /// Records that the store was unavailable shortly before the takeover. What the earlier owner
    /// learned by then may not be stored. Must be called before the recovery.
    pub fn set_store_outage_before(&mut self) {
        self.store_outage_before = true;
    }

    /// Creates the engine of an owner that has just taken over the partition at `epoch`.
    pub fn new(epoch: u64, time_limits: TimeLimits, now: Millis) -> Engine {
        Engine {
            epoch,
            time_limits,
            features: Features::default(),
            jobs: Jobs::default(),
            workers: Workers::default(),
            ended_incarnations: HashSet::new(),
            listings: FxHashMap::default(),
            queues: FxHashMap::default(),
            accounts: Accounts::default(),
            shares: Shares::default(),
            advice_channels: AdviceChannels::default(),
            open_answers: OpenAnswers::default(),
            allowed_shares: FxHashMap::default(),
            answer_loss: AnswerLoss::default(),
            run_times: RunTimes::default(),
            failure_rate: FailureRate::default(),
            unsettled_workers: BTreeSet::new(),
            unclaimed_workers: Vec::new(),
            settled_at: now + time_limits.previous_lease,
            tasks_unsettled: false,
            renews_leases: true,
            store_outage_before: false,
            row_limits: RowLimits::default(),
            in_flight: InFlight::default(),
            row_removals: RowRemovals::default(),
            last_batch_number: 0,
            recorded_workers: Vec::new(),
            stored_worker_rows: 0,
            crashed_incarnations: Vec::new(),
            needs_pass: true,
            slow_call_answered: false,
            last_upkeep_at: Millis(0),
            last_pass_at: Millis(0),
            last_full_pass_at: Millis(0),
            unix_offset: 0,
            stats: Stats::default(),
            events: Vec::new(),
        }
    }

    /// Takes the decisions and changes of state since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the owner's epoch, which is also its fencing token at the workers.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the counters since the engine was created.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Sets until when leases of earlier owners may last, if that may be longer than
    /// [`TimeLimits::previous_lease`] after the takeover.
    pub fn set_earlier_leases_until(&mut self, until: Millis) {
        self.settled_at = self.settled_at.max(until);
    }

    /// Records that the earlier owner that might have gone on renewing leases has ended.
    pub fn earlier_owner_ended(&mut self, now: Millis) {
        self.settled_at = self.settled_at.min(now + self.time_limits.previous_lease);
    }

    /// Returns when this owner stops waiting for workers that it hasn't claimed.
    pub fn settles_at(&self) -> Millis {
        self.settled_at
    }

    /// Sets whether leases at workers are renewed and tasks started. Both stop while it is not
    /// certain that this owner hasn't been replaced.
    pub fn set_lease_renewal(&mut self, allowed: bool) {
        self.needs_pass |= allowed && !self.renews_leases;
        self.renews_leases = allowed;
    }

    /// Applies the queues of a configuration.
    pub fn set_queues(&mut self, queues: &[Queue], now: Millis) {
        self.queues.clear();
        for configured in queues {
            let pool = self.workers.pool_name(&configured.pool);
            let queue = Queue { pool, ..configured.clone() };
            self.queues.insert(configured.name.clone(), Arc::new(queue));
        }
        self.end_exhausted(now);
        self.needs_pass = true;
    }

    /// Replaces the time limits, from the next order on.
    pub fn set_time_limits(&mut self, time_limits: TimeLimits) {
        self.time_limits = time_limits;
    }

    /// Sets which optional decisions the engine makes.
    pub fn set_features(&mut self, features: Features) {
        self.features = features;
        self.run_times.set_enabled(features.learned_run_times);
    }

    /// Sets the limits of the rows of jobs and workers. Called before anything else.
    pub fn set_row_limits(&mut self, limits: RowLimits) {
        self.row_limits = limits;
    }

    /// Sets the offset in milliseconds by which Unix time is ahead of the engine's time. Jobs with
    /// a schedule are due by Unix time.
    pub fn set_unix_offset(&mut self, offset: i64) {
        self.unix_offset = offset;
    }

    /// Does the work that is due at `now` and appends orders to `out`. To be called after every
    /// event and some tens of times a second.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Order>) {
        self.settle(now);
        if now.since(self.last_upkeep_at) >= UPKEEP_INTERVAL {
            self.last_upkeep_at = now;
            self.add_due_rounds(now);
            self.expire_leases(now);
            self.send_looks(now, out);
            self.retry_orders(now, out);
            self.send_paces(out);
            self.report_run_times(now);
        }
        let is_full = now.since(self.last_full_pass_at) >= FULL_PASS_INTERVAL;
        let min_gap = Millis((self.workers.len() / WORKERS_PER_PASS_GAP_MS) as u64);
        if is_full || (self.needs_pass && now.since(self.last_pass_at) >= min_gap) {
            self.needs_pass = false;
            self.last_pass_at = now;
            if is_full {
                self.last_full_pass_at = now;
            }
            self.run_pass(now, is_full, out);
        }
    }

    /// Adds the due rounds of jobs with a schedule. A new owner has to add all of them before the
    /// first answers of workers: an end in a round that it doesn't know is acknowledged without
    /// effect, and the task would run again.
    fn add_due_rounds(&mut self, now: Millis) {
        for id in self.jobs.scheduled() {
            let Some(first) = self.jobs.get(id).map(|j| j.due_rounds) else { continue };
            while self.add_due_round(id, now) {}
            if self.jobs.get(id).is_some_and(|j| j.due_rounds > first) {
                self.jobs.mark_all_steps_waiting(id);
                self.jobs.mark_rounds_unwritten(id, first);
                self.needs_pass = true;
            }
        }
    }

    /// Adds the next round of a job if it is due. Returns true if it was added.
    fn add_due_round(&mut self, id: JobId, now: Millis) -> bool {
        let unix_now = now.0 as i64 + self.unix_offset;
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.end.is_none()) else { return false };
        let Some(schedule) = job.spec.schedule else { return false };
        if job.due_rounds >= schedule.rounds {
            return false;
        }
        let due = schedule.first_unix_ms + u64::from(job.due_rounds) * schedule.interval_ms;
        if due as i64 > unix_now {
            return false;
        }
        let lateness = Millis((unix_now - due as i64) as u64);
        job.add_round(now - lateness);
        // No row records whether an earlier owner has begun the round.
        let round = job.rounds.last_mut().filter(|_| self.tasks_unsettled);
        round.into_iter().for_each(|r| r.mark_unsettled(&job.spec));
        true
    }
}
