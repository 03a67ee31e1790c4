//! The state of one partition, and what the passing of time does to it.

use crate::accounts::Accounts;
use crate::advice::AllowedShare;
use crate::advice_calls::AdviceChannels;
use crate::answers::Losses;
use crate::batch::InFlight;
use crate::crashes::CrashedLife;
use crate::health::Failures;
use crate::job::Round;
use crate::jobs::Jobs;
use crate::life::WorkerLife;
use crate::note::Note;
use crate::order::{Order, WorkerListing};
use crate::queue::Queue;
use crate::rows::WorkerAddress;
use crate::workers::{WorkerIdx, Workers};
use hollowford_core::{InstanceId, Millis};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// Longest time between two passes over the waiting steps, since room is also foreseen.
const FULL_PASS_INTERVAL: Millis = Millis(100);
/// Passes are at least a millisecond apart for each so many workers: each goes over all of them.
const WORKERS_PER_PASS_GAP_MS: usize = 250;
/// Shortest time between two rounds of what is due by time at some worker: each goes over all
/// of them.
const UPKEEP_INTERVAL: Millis = Millis(5);

/// Times that hold for a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// How long each order lets a worker run what it runs.
    pub lease: Millis,
    /// How long an earlier owner may have let a worker run, counted from the takeover.
    pub previous_lease: Millis,
    /// Workers cut a longer lease to this one.
    pub max_lease: Millis,
    /// What a worker stops takes room for so long at most.
    pub stop_timeout: Millis,
    /// A gang that is not complete for so long ends.
    pub gang_timeout: Millis,
    /// How long the state of a job that has ended is kept.
    pub ended_job_retention: Millis,
}

/// Counters since the engine was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs accepted.
    pub accepted: u64,
    /// Of these, jobs beyond what their accounts are owed.
    pub unowed: u64,
    /// Starts ordered, without those that were sent again.
    pub started: u64,
    /// Starts sent again after no answer.
    pub resent: u64,
    /// Starts that a worker refused.
    pub refused: u64,
    /// Tasks that ended well.
    pub done: u64,
    /// Tasks that failed.
    pub failed: u64,
    /// Tasks that ended in another way.
    pub interrupted: u64,
    /// Tasks given up on since their worker's lease was over.
    pub lapsed: u64,
    /// Tasks that a worker no longer listed, neither running nor ended.
    pub vanished: u64,
    /// Tasks found on workers that should not run there.
    pub foreign: u64,
    /// Workers put aside.
    pub put_aside: u64,
    /// Lives of workers that ended without a word.
    pub crashes: u64,
    /// Jobs given up since their tasks crash their workers.
    pub crashing_jobs: u64,
    /// Calls for advice.
    pub asked: u64,
    /// Steps that passes tried to place.
    pub tried: u64,
}

/// The decisions of one partition. See the crate's description.
#[derive(Debug)]
pub struct Engine {
    pub(crate) epoch: u64,
    pub(crate) time_limits: TimeLimits,
    pub(crate) jobs: Jobs,
    pub(crate) workers: Workers,
    /// Lives of workers that are over; the list may go on naming them for a while.
    pub(crate) ended_incarnations: HashSet<WorkerLife>,
    /// The platform's list of workers, by id.
    pub(crate) listings: FxHashMap<InstanceId, WorkerListing>,
    pub(crate) queues: FxHashMap<Arc<str>, Arc<Queue>>,
    pub(crate) accounts: Accounts,
    pub(crate) seats: AdviceChannels,
    /// Which share of the workers may run a step, by queue.
    pub(crate) allowed_shares: FxHashMap<Arc<str>, AllowedShare>,
    /// How often workers' answers are lost.
    pub(crate) answer_losses: Losses,
    /// How often tasks fail.
    pub(crate) task_failures: Failures,
    /// Workers that may still run what an earlier owner ordered.
    pub(crate) unsettled_workers: BTreeSet<WorkerIdx>,
    /// When none of them can any more.
    pub(crate) settled_at: Millis,
    /// Some tasks wait for the workers above.
    pub(crate) tasks_unsettled: bool,
    /// The store was away shortly before the recovery.
    pub(crate) store_outage_before: bool,
    /// Batches that are under way.
    pub(crate) in_flight: InFlight,
    /// Number of the last batch.
    pub(crate) last_batch_number: u64,
    /// The row of workers as it was written last.
    pub(crate) recorded_workers: Vec<WorkerAddress>,
    /// Lives that have crashed lately, which that row goes on naming.
    pub(crate) crashed_incarnations: Vec<CrashedLife>,
    /// Something may be placeable that was not at the last pass.
    pub(crate) needs_pass: bool,
    /// A call for advice that wasn't quick was answered since the last pass.
    pub(crate) slow_call_answered: bool,
    /// When what is due by time at workers was looked after last.
    pub(crate) last_upkeep_at: Millis,
    /// When the last pass was.
    pub(crate) last_pass_at: Millis,
    /// When a pass went over all waiting steps last.
    pub(crate) last_full_pass_at: Millis,
    /// Unix time less the engine's, in milliseconds.
    pub(crate) unix_offset: i64,
    pub(crate) stats: Stats,
    /// What was decided since the notes were taken last.
    pub(crate) notes: Vec<Note>,
}

impl Engine {
    /// Takes note, before the recovery, that the store was away shortly before: what the earlier owner had
    /// learned by then may not be written.
    pub fn set_store_outage_before(&mut self) {
        self.store_outage_before = true;
    }

    /// Makes the engine of an owner that has just taken the partition at `epoch`.
    pub fn new(epoch: u64, time_limits: TimeLimits, now: Millis) -> Engine {
        Engine {
            epoch,
            time_limits: time_limits,
            jobs: Jobs::default(),
            workers: Workers::default(),
            ended_incarnations: HashSet::new(),
            listings: FxHashMap::default(),
            queues: FxHashMap::default(),
            accounts: Accounts::default(),
            seats: AdviceChannels::default(),
            allowed_shares: FxHashMap::default(),
            answer_losses: Losses::default(),
            task_failures: Failures::default(),
            unsettled_workers: BTreeSet::new(),
            settled_at: now + time_limits.previous_lease,
            tasks_unsettled: false,
            store_outage_before: false,
            in_flight: InFlight::default(),
            last_batch_number: 0,
            recorded_workers: Vec::new(),
            crashed_incarnations: Vec::new(),
            needs_pass: true,
            slow_call_answered: false,
            last_upkeep_at: Millis(0),
            last_pass_at: Millis(0),
            last_full_pass_at: Millis(0),
            unix_offset: 0,
            stats: Stats::default(),
            notes: Vec::new(),
        }
    }

    /// Takes what was decided since the last call, for the log.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Returns the owner's epoch, which is also its fence at the workers.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Puts the queues of a configuration in force.
    pub fn set_queues(&mut self, queues: &[Queue], now: Millis) {
        self.queues.clear();
        for q in queues {
            let pool = self.workers.pool_name(&q.pool);
            let queue = Queue { pool, ..q.clone() };
            self.queues.insert(q.name.clone(), Arc::new(queue));
        }
        self.end_exhausted(now);
        self.needs_pass = true;
    }

    /// Puts other times in force, from the next order on.
    pub fn set_time_limits(&mut self, time_limits: TimeLimits) {
        self.time_limits = time_limits;
    }

    /// Sets how far Unix time is ahead of the engine's, for jobs with a schedule.
    pub fn set_unix_offset(&mut self, offset: i64) {
        self.unix_offset = offset;
    }

    /// Does what is due at `now`. Called after every event and some tens of times a second.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Order>) {
        self.settle(now);
        if now.since(self.last_upkeep_at) >= UPKEEP_INTERVAL {
            self.last_upkeep_at = now;
            self.add_due_rounds(now);
            self.lapse(now);
            self.look(now, out);
            self.retry_orders(now, out);
            self.send_paces(out);
        }
        let full = now.since(self.last_full_pass_at) >= FULL_PASS_INTERVAL;
        let gap = Millis((self.workers.len() / WORKERS_PER_PASS_GAP_MS) as u64);
        if full || (self.needs_pass && now.since(self.last_pass_at) >= gap) {
            self.needs_pass = false;
            self.last_pass_at = now;
            if full {
                self.last_full_pass_at = now;
            }
            self.run_pass(now, full, out);
        }
    }

    /// Adds rounds of jobs with a schedule that have fallen due.
    fn add_due_rounds(&mut self, now: Millis) {
        let unix = now.0 as i64 + self.unix_offset;
        for id in self.jobs.scheduled() {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let Some(s) = job.spec.schedule else { continue };
            if job.due_rounds >= s.rounds || job.end.is_some() {
                continue;
            }
            let due = s.first_unix_ms + u64::from(job.due_rounds) * s.interval_ms;
            if due as i64 > unix {
                continue;
            }
            let late = Millis((unix - due as i64) as u64);
            job.add_round(now - late);
            // No row tells whether an earlier owner has begun the round.
            let round = job.rounds.last_mut().filter(|_| self.tasks_unsettled);
            round.into_iter().for_each(Round::mark_unsettled);
            self.jobs.rounds_wait(id);
            self.jobs.progressed(id);
            self.needs_pass = true;
        }
    }

    /// Frees tasks that waited for unclaimed workers, once none of those can run anything.
    fn settle(&mut self, now: Millis) {
        if !self.tasks_unsettled {
            return;
        }
        let unclaimed = self.unsettled_workers.len();
        if now >= self.settled_at && unclaimed > 0 {
            self.watch_unsettled();
            self.unsettled_workers.clear();
        }
        if !self.unsettled_workers.is_empty() {
            return;
        }
        self.mark_settled();
        self.tasks_unsettled = false;
        self.notes.push(Note::Settled { unclaimed });
        self.needs_pass = true;
    }
    /// Takes note that no task can run on a worker that this owner has not claimed.
    pub(crate) fn mark_settled(&mut self) {
        for id in self.jobs.ids() {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            let steps = job.rounds.iter_mut().flat_map(|r| &mut r.steps);
            steps.flat_map(|s| &mut s.tasks).for_each(|t| t.unsettled = false);
        }
    }
}
