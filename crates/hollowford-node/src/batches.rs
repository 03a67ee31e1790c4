//! Schedules the owner's batches over the lanes and tracks those in flight.

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::LANE_COUNT;
use crate::members::Members;
use crate::retries::read_delay;
use crate::shared::Shared;
use crate::wire::{OwnerInfo, RenewalTerms};
use crate::writer::{self, BatchOutcome, BatchWrite};
use hollowford_adapter::Version;
use hollowford_core::{AnswerTimes, Millis};
use hollowford_jobs::{Batch, Engine};
use std::sync::Arc;

/// Minimum time between two batches when a caller waits for one, so that changes that come together
/// are written together.
const MIN_BATCH_INTERVAL: Millis = Millis(14);
/// Minimum time between two batches when no caller waits for one.
const MIN_IDLE_BATCH_INTERVAL: Millis = Millis(30);
/// Minimum time without a batch before one is written only to name other successors.
const SUCCESSOR_UPDATE_INTERVAL: Millis = Millis(1_000);
/// Another lane is used once a batch has been in flight for this long. A store of normal speed
/// commits a batch sooner and needs only one lane.
const EXTRA_LANE_DELAY: Millis = Millis(40);
/// Another lane is used only if the store has committed a batch within this time. Otherwise the
/// store is unavailable and more batches would only wait.
const MAX_COMMIT_AGE_FOR_EXTRA_LANE: Millis = Millis(1_000);
/// Batches that take at least this long are logged. The store usually answers within about 10 ms.
const SLOW_BATCH_THRESHOLD: Millis = Millis(150);
/// A batch in flight for this long is stalled if the store has answered no other call for as long.
const SILENT_STORE_STALL_TIMEOUT: Millis = Millis(600);
/// A batch in flight for this long is stalled in any case.
const STALL_TIMEOUT: Millis = Millis(2_000);
/// How long new jobs are refused after the store has refused a batch.
const REFUSAL_BACKOFF: Millis = Millis(300);

/// A batch that is being written.
#[derive(Clone, Copy, Debug)]
struct InFlightBatch {
    number: u64,
    /// Number of rows it writes, excluding the lane's row.
    rows: usize,
    started_at: Millis,
}

/// A lane, which writes one batch at a time and counts them in a row of its own.
#[derive(Clone, Copy, Debug)]
struct Lane {
    /// Version of the lane's row after its last batch.
    rev: Version,
    in_flight: Option<InFlightBatch>,
}

/// The batches of one owner, with at most one in flight in each lane.
#[derive(Debug)]
pub struct Batches {
    shared: Arc<Shared>,
    info: OwnerInfo,
    part: String,
    lanes: [Lane; LANE_COUNT],
    /// The terms in the owner row, as last committed.
    terms: RenewalTerms,
    /// The terms in the batch that is in flight in the first lane.
    terms_in_flight: Option<RenewalTerms>,
    handle: OwnerHandle,
    /// When the last batch was started.
    last_started_at: Millis,
    /// When the last batch was committed.
    last_committed_at: Millis,
    /// Since when a batch has been pending without any batch being committed.
    uncommitted_since: Option<Millis>,
    /// When the store last refused a batch, if none has been committed since.
    last_refused_at: Option<Millis>,
    /// How long the last committed batch took.
    last_duration: Millis,
    /// The store's response times to write attempts.
    answer_times: AnswerTimes,
}

impl Batches {
    /// Creates the batches of the owner `info`, starting from the given versions of the lanes'
    /// rows and the terms in the owner row.
    pub fn new(
        shared: Arc<Shared>,
        info: OwnerInfo,
        part: String,
        lanes: [Version; LANE_COUNT],
        terms: RenewalTerms,
        handle: OwnerHandle,
    ) -> Batches {
        Batches {
            shared,
            info,
            part,
            lanes: lanes.map(|rev| Lane { rev, in_flight: None }),
            terms,
            terms_in_flight: None,
            handle,
            last_started_at: Millis(0),
            last_committed_at: Millis(0),
            uncommitted_since: None,
            last_refused_at: None,
            last_duration: Millis(0),
            answer_times: AnswerTimes::default(),
        }
    }

    /// Starts writing the next batch if one is due. A batch of the first lane names the current
    /// successors.
    pub fn write_next(&mut self, engine: &mut Engine, members: &Members, now: Millis) {
        let min_interval =
            if engine.batch_is_urgent() { MIN_BATCH_INTERVAL } else { MIN_IDLE_BATCH_INTERVAL };
        if now.since(self.last_started_at) < min_interval {
            return;
        }
        let Some(lane) = self.free_lane(now) else { return };
        let batch = engine.next_batch(now).or_else(|| {
            self.successors_are_due(lane, members, now).then(|| engine.next_empty_batch())
        });
        let Some(batch) = batch else { return };
        self.last_started_at = now;
        self.uncommitted_since.get_or_insert(now);
        self.lanes[lane].in_flight =
            Some(InFlightBatch { number: batch.number, rows: batch.rows.len(), started_at: now });
        if lane == 0 {
            let successors = members.successors();
            self.terms_in_flight = Some(RenewalTerms { successors, ..self.terms.clone() });
        }
        self.start_writing(lane, batch);
    }

    /// Records that the leases of earlier owners end within the usual time.
    pub fn forget_earlier_leases(&mut self) {
        self.terms.earlier_leases_until_ms = 0;
        if let Some(terms) = &mut self.terms_in_flight {
            terms.earlier_leases_until_ms = 0;
        }
    }

    /// Returns true if the owner row has to name other successors and no batch has been written for a
    /// while.
    fn successors_are_due(&self, lane: usize, members: &Members, now: Millis) -> bool {
        lane == 0
            && now.since(self.last_started_at) >= SUCCESSOR_UPDATE_INTERVAL
            && members.successors() != self.terms.successors
    }

    /// Returns the random ids of the processes that the owner row names as successors, now or once
    /// a batch in flight is committed.
    pub fn named_successors(&self) -> Vec<u64> {
        let terms = std::iter::once(&self.terms).chain(&self.terms_in_flight);
        terms.flat_map(|t| &t.successors).copied().collect()
    }

    /// Returns the lane for the next batch. While a batch is in flight, another lane is used only
    /// if the store is slow.
    fn free_lane(&self, now: Millis) -> Option<usize> {
        let free = self.lanes.iter().position(|l| l.in_flight.is_none())?;
        if self.is_idle() {
            return Some(free);
        }
        let store_answers = now.since(self.last_committed_at) < MAX_COMMIT_AGE_FOR_EXTRA_LANE;
        let slow = now.since(self.last_started_at) >= EXTRA_LANE_DELAY;
        (store_answers && slow).then_some(free)
    }

    fn start_writing(&self, lane: usize, batch: Batch) {
        let number = batch.number;
        let (part, owner, rev) = (self.part.clone(), self.info.clone(), self.lanes[lane].rev);
        let read_delay = read_delay(&self.answer_times);
        let terms = self.terms_in_flight.clone().filter(|_| lane == 0);
        let batch_write = BatchWrite { part, owner, lane, rev, terms, batch, read_delay };
        let outcome = writer::write(self.shared.clone(), batch_write);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let outcome = outcome.await;
            handle.send(OwnerMsg::BatchFinished { batch: number, outcome }).await;
        });
    }

    /// Records the outcome of a batch. If it was committed, returns a time by which this process
    /// owned the partition at the earliest when the commit was made.
    pub fn record_outcome(
        &mut self,
        batch: u64,
        outcome: &BatchOutcome,
        now: Millis,
    ) -> Option<Millis> {
        let writes_batch = |l: &Lane| l.in_flight.is_some_and(|b| b.number == batch);
        let at = self.lanes.iter().position(writes_batch)?;
        let lane = &mut self.lanes[at];
        let InFlightBatch { rows, started_at, .. } = lane.in_flight.take()?;
        let terms = self.terms_in_flight.take_if(|_| at == 0);
        let took = now.since(started_at);
        self.shared.metrics.batch_seconds.observe(took.duration().as_secs_f64());
        if took >= SLOW_BATCH_THRESHOLD {
            log::info!(
                "batch.slow batch={batch} lane={at} rows={rows} took_ms={} outcome={outcome:?}",
                took.0
            );
        }
        match outcome {
            BatchOutcome::Made { rev, answered_in } => {
                lane.rev = *rev;
                if let Some(terms) = terms {
                    self.terms = terms;
                }
                // If a later attempt was committed, its own response time counts.
                self.last_duration = answered_in.unwrap_or(took);
                if let Some(took) = answered_in {
                    self.answer_times.record(*took);
                }
                self.last_committed_at = now;
                self.uncommitted_since = self.oldest_start();
                self.last_refused_at = None;
                return Some(started_at);
            }
            BatchOutcome::Refused => self.last_refused_at = Some(now),
            BatchOutcome::Deposed(_) | BatchOutcome::Inconsistent => {}
        }
        None
    }

    /// Returns when the oldest batch in flight was started.
    fn oldest_start(&self) -> Option<Millis> {
        self.lanes.iter().filter_map(|l| l.in_flight).map(|b| b.started_at).min()
    }

    /// Returns true if the store currently commits no batches.
    pub fn is_stalled(&self, now: Millis) -> bool {
        // A slow store still answers the reads that the writer makes while the batch is in flight.
        let store_answers = self.shared.store_age() < SILENT_STORE_STALL_TIMEOUT;
        let timeout = if store_answers { STALL_TIMEOUT } else { SILENT_STORE_STALL_TIMEOUT };
        let stalled = self.oldest_start().is_some_and(|s| now.since(s) >= timeout);
        stalled
            || (self.is_idle()
                && self.last_refused_at.is_some_and(|at| now.since(at) < REFUSAL_BACKOFF))
    }

    /// Returns true if a new job can be accepted whose caller waits for another `limit`. It is
    /// refused at once if the store is stalled or can't commit the job in that time.
    pub fn admits_job(&self, engine: &Engine, limit: Millis, now: Millis) -> bool {
        !self.is_stalled(now) && self.estimated_commit_time(engine, now) <= limit
    }

    /// Estimates the time until a job that arrives now is committed.
    fn estimated_commit_time(&self, engine: &Engine, now: Millis) -> Millis {
        let free = self.lanes.iter().any(|l| l.in_flight.is_none());
        let busy_since = self.oldest_start().filter(|_| !free);
        let until_free =
            busy_since.map_or(Millis(0), |since| self.last_duration.since(now.since(since)));
        let rounds = engine.batches_ahead().div_ceil(LANE_COUNT as u64);
        until_free + Millis(self.last_duration.max(MIN_BATCH_INTERVAL).0 * rounds)
    }

    /// Returns true if a batch has been pending for `limit` without any batch being committed.
    pub fn is_uncommitted_for(&self, limit: Millis, now: Millis) -> bool {
        self.uncommitted_since.is_some_and(|s| now.since(s) >= limit)
    }

    /// Returns true if no batch is in flight.
    pub fn is_idle(&self) -> bool {
        self.lanes.iter().all(|l| l.in_flight.is_none())
    }

    /// Returns the version of the owner row if the next owner need not read the row. It has to while
    /// a batch in flight may change the row, and if earlier owners' leases may last longer than
    /// usual.
    pub fn stable_owner_rev(&self) -> Option<Version> {
        let usual_leases = self.terms.earlier_leases_until_ms == 0;
        (self.is_idle() && usual_leases).then_some(self.lanes[0].rev)
    }
}
