//! The owner's batches: when one is made and in which lane, and how those under way fare.

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::LANE_COUNT;
use crate::retries::read_delay;
use crate::shared::Shared;
use crate::wire::OwnerInfo;
use crate::writer::{self, BatchOutcome, BatchWrite};
use hollowford_adapter::Version;
use hollowford_core::{AnswerTimes, Millis};
use hollowford_jobs::{Batch, Engine};
use std::sync::Arc;

/// Shortest time between two batches when somebody waits for one, so that what comes
/// together is written together.
const MIN_BATCH_INTERVAL: Millis = Millis(14);
/// Shortest time between two batches when nobody waits.
const MIN_IDLE_BATCH_INTERVAL: Millis = Millis(30);
/// A further lane is used once the batches under way have been so for this long: a store of
/// usual speed has made them by then, and needs one lane only.
const EXTRA_LANE_DELAY: Millis = Millis(40);
/// Further lanes are used only while the store has made a batch within this time. Beyond it is
/// away, and more batches would only wait.
const MAX_COMMIT_AGE_FOR_EXTRA_LANE: Millis = Millis(1_000);
/// A batch that takes so long is logged. The store's usual answer takes some 10 ms.
const SLOW_BATCH_THRESHOLD: Millis = Millis(150);
/// A batch under way for so long hangs, if the store has answered nothing else for as long.
const SILENT_STORE_STALL_TIMEOUT: Millis = Millis(600);
/// A batch under way for so long hangs in any case.
const STALL_TIMEOUT: Millis = Millis(2_000);
/// After the store has refused a batch, new jobs are refused for so long; then one is tried.
const REFUSAL_BACKOFF: Millis = Millis(300);

/// A batch that is under way.
#[derive(Clone, Copy, Debug)]
struct InFlightBatch {
    number: u64,
    /// Rows that it writes, but for its lane's.
    rows: usize,
    started_at: Millis,
}

/// A row in which batches are counted, and the batch that is to change it.
#[derive(Clone, Copy, Debug)]
struct Lane {
    /// Version of its row, as the last batch left it.
    rev: Version,
    in_flight: Option<InFlightBatch>,
}

/// The batches of one owner, of which one at most is under way in each lane.
#[derive(Debug)]
pub struct Batches {
    shared: Arc<Shared>,
    info: OwnerInfo,
    part: String,
    lanes: [Lane; LANE_COUNT],
    handle: OwnerHandle,
    /// When the last one was cut.
    last_cut_at: Millis,
    /// When the last one was made.
    last_committed_at: Millis,
    /// Since when none was made though there was one to make.
    uncommitted_since: Option<Millis>,
    /// When the store refused one last, with none made since.
    last_refused_at: Option<Millis>,
    /// How long the last one took.
    last_duration: Millis,
    /// How long the store's answers to copies took.
    answer_times: AnswerTimes,
}

impl Batches {
    /// Makes the batches of the owner `info`, on top of these versions of the lanes' rows.
    pub fn new(
        shared: Arc<Shared>,
        info: OwnerInfo,
        part: String,
        lanes: [Version; LANE_COUNT],
        handle: OwnerHandle,
    ) -> Batches {
        Batches {
            shared,
            info,
            part,
            lanes: lanes.map(|rev| Lane { rev, in_flight: None }),
            handle,
            last_cut_at: Millis(0),
            last_committed_at: Millis(0),
            uncommitted_since: None,
            last_refused_at: None,
            last_duration: Millis(0),
            answer_times: AnswerTimes::default(),
        }
    }

    /// Cuts the next batch if it is due, and starts writing it.
    pub fn write_next(&mut self, engine: &mut Engine, now: Millis) {
        let min_interval =
            if engine.batch_is_urgent() { MIN_BATCH_INTERVAL } else { MIN_IDLE_BATCH_INTERVAL };
        if now.since(self.last_cut_at) < min_interval {
            return;
        }
        let Some(lane) = self.free_lane(now) else { return };
        let Some(batch) = engine.cut_batch(now) else { return };
        self.last_cut_at = now;
        self.uncommitted_since.get_or_insert(now);
        self.lanes[lane].in_flight =
            Some(InFlightBatch { number: batch.number, rows: batch.rows.len(), started_at: now });
        self.start_writing(lane, batch);
    }

    /// Returns the lane for the next batch: the first one, and another one only while the
    /// store is slow.
    fn free_lane(&self, now: Millis) -> Option<usize> {
        let free = self.lanes.iter().position(|l| l.in_flight.is_none())?;
        if self.is_idle() {
            return Some(free);
        }
        let store_answers = now.since(self.last_committed_at) < MAX_COMMIT_AGE_FOR_EXTRA_LANE;
        let slow = now.since(self.last_cut_at) >= EXTRA_LANE_DELAY;
        (store_answers && slow).then_some(free)
    }

    fn start_writing(&self, lane: usize, batch: Batch) {
        let number = batch.number;
        let (part, owner, rev) = (self.part.clone(), self.info.clone(), self.lanes[lane].rev);
        let read_delay = read_delay(&self.answer_times);
        let batch_write = BatchWrite { part, owner, lane, rev, batch, read_delay };
        let outcome = writer::write(self.shared.clone(), batch_write);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let outcome = outcome.await;
            handle.send(OwnerMsg::BatchFinished { batch: number, outcome }).await;
        });
    }

    /// Takes note of what came of a batch.
    pub fn record_outcome(&mut self, batch: u64, outcome: &BatchOutcome, now: Millis) {
        let of = |l: &Lane| l.in_flight.is_some_and(|u| u.number == batch);
        let Some(at) = self.lanes.iter().position(of) else { return };
        let lane = &mut self.lanes[at];
        let Some(InFlightBatch { rows, started_at, .. }) = lane.in_flight.take() else { return };
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
                // What was made by a later copy says how long that one took.
                self.last_duration = answered_in.unwrap_or(took);
                if let Some(took) = answered_in {
                    self.answer_times.note(*took);
                }
                self.last_committed_at = now;
                self.uncommitted_since = self.oldest_start();
                self.last_refused_at = None;
            }
            BatchOutcome::Refused => self.last_refused_at = Some(now),
            BatchOutcome::Deposed(_) | BatchOutcome::Inconsistent => {}
        }
    }

    /// Returns since when the oldest batch is under way.
    fn oldest_start(&self) -> Option<Millis> {
        self.lanes.iter().filter_map(|l| l.in_flight).map(|u| u.started_at).min()
    }

    /// Tells whether the store takes no batches now, as far as is known.
    pub fn is_stalled(&self, now: Millis) -> bool {
        // A slow store answers something meanwhile: the writer reads, beside the batch.
        let store_answers = self.shared.store_age() < SILENT_STORE_STALL_TIMEOUT;
        let timeout = if store_answers { STALL_TIMEOUT } else { SILENT_STORE_STALL_TIMEOUT };
        let stalled = self.oldest_start().is_some_and(|s| now.since(s) >= timeout);
        stalled
            || (self.is_idle()
                && self.last_refused_at.is_some_and(|at| now.since(at) < REFUSAL_BACKOFF))
    }

    /// Tells whether a new job is taken whose caller waits for `limit` longer. It is refused at
    /// once when its acceptance can't be in the store by then, or the store takes no batches.
    pub fn admits_job(&self, engine: &Engine, limit: Millis, now: Millis) -> bool {
        !self.is_stalled(now) && self.estimated_commit_time(engine, now) <= limit
    }

    /// Returns how long it takes until a job that comes now is in the store.
    fn estimated_commit_time(&self, engine: &Engine, now: Millis) -> Millis {
        let free = self.lanes.iter().any(|l| l.in_flight.is_none());
        let began = self.oldest_start().filter(|_| !free);
        let until_free = began.map_or(Millis(0), |b| self.last_duration.since(now.since(b)));
        let rounds = engine.batches_ahead().div_ceil(LANE_COUNT as u64);
        until_free + Millis(self.last_duration.max(MIN_BATCH_INTERVAL).0 * rounds)
    }

    /// Tells whether for so long none was made though there was one to make.
    pub fn is_uncommitted_for(&self, limit: Millis, now: Millis) -> bool {
        self.uncommitted_since.is_some_and(|s| now.since(s) >= limit)
    }

    /// Tells whether none is under way.
    pub fn is_idle(&self) -> bool {
        self.lanes.iter().all(|l| l.in_flight.is_none())
    }

    /// Returns the version of the owner row, unless a batch under way may change it.
    pub fn stable_owner_rev(&self) -> Option<Version> {
        self.is_idle().then_some(self.lanes[0].rev)
    }
}
