//! The owner's batches: when one is made and in which lane, and how those under way fare.

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::LANES;
use crate::retries::read_after;
use crate::shared::Shared;
use crate::wire::OwnerInfo;
use crate::writer::{self, Writing, Written};
use hollowford_adapter::Version;
use hollowford_core::{AnswerTimes, Millis};
use hollowford_jobs::{Batch, Engine};
use std::sync::Arc;

/// Shortest time between two batches when somebody waits for one, so that what comes
/// together is written together.
const BATCH_GAP: Millis = Millis(14);
/// Shortest time between two batches when nobody waits.
const IDLE_BATCH_GAP: Millis = Millis(30);
/// A further lane is used once the batches under way have been so for this long: a store of
/// usual speed has made them by then, and needs one lane only.
const LANE_AFTER: Millis = Millis(40);
/// Further lanes are used only while the store has made a batch within this time. Beyond it is
/// away, and more batches would only wait.
const LANES_WITHIN: Millis = Millis(1_000);
/// A batch that takes so long is logged. The store's usual answer takes some 10 ms.
const BATCH_SLOW: Millis = Millis(150);
/// A batch under way for so long hangs, if the store has answered nothing else for as long.
const LEAST_HANG: Millis = Millis(600);
/// A batch under way for so long hangs in any case.
const MOST_HANG: Millis = Millis(2_000);
/// After the store has refused a batch, new jobs are refused for so long; then one is tried.
const REFUSING: Millis = Millis(300);

/// A batch that is under way.
#[derive(Clone, Copy, Debug)]
struct UnderWay {
    number: u64,
    /// Rows that it writes, but for its lane's.
    rows: usize,
    since: Millis,
}

/// A row in which batches are counted, and the batch that is to change it.
#[derive(Clone, Copy, Debug)]
struct Lane {
    /// Version of its row, as the last batch left it.
    rev: Version,
    under_way: Option<UnderWay>,
}

/// The batches of one owner, of which one at most is under way in each lane.
#[derive(Debug)]
pub struct Batches {
    shared: Arc<Shared>,
    info: OwnerInfo,
    part: String,
    lanes: [Lane; LANES],
    handle: OwnerHandle,
    /// When the last one was cut.
    cut_at: Millis,
    /// When the last one was made.
    made_at: Millis,
    /// Since when none was made though there was one to make.
    unmade_since: Option<Millis>,
    /// When the store refused one last, with none made since.
    refused_at: Option<Millis>,
    /// How long the last one took.
    took: Millis,
    /// How long the store's answers to copies took.
    answers: AnswerTimes,
}

impl Batches {
    /// Makes the batches of the owner `info`, on top of these versions of the lanes' rows.
    pub fn new(
        shared: Arc<Shared>,
        info: OwnerInfo,
        part: String,
        lanes: [Version; LANES],
        handle: OwnerHandle,
    ) -> Batches {
        Batches {
            shared,
            info,
            part,
            lanes: lanes.map(|rev| Lane { rev, under_way: None }),
            handle,
            cut_at: Millis(0),
            made_at: Millis(0),
            unmade_since: None,
            refused_at: None,
            took: Millis(0),
            answers: AnswerTimes::default(),
        }
    }

    /// Cuts the next batch if it is due, and starts writing it.
    pub fn write_next(&mut self, engine: &mut Engine, now: Millis) {
        let gap = if engine.batch_is_urgent() { BATCH_GAP } else { IDLE_BATCH_GAP };
        if now.since(self.cut_at) < gap {
            return;
        }
        let Some(lane) = self.free_lane(now) else { return };
        let Some(batch) = engine.next_batch(now) else { return };
        self.cut_at = now;
        self.unmade_since.get_or_insert(now);
        self.lanes[lane].under_way =
            Some(UnderWay { number: batch.number, rows: batch.rows.len(), since: now });
        self.start_writing(lane, batch);
    }

    /// Returns the lane for the next batch: the first one, and another one only while the
    /// store is slow.
    fn free_lane(&self, now: Millis) -> Option<usize> {
        let free = self.lanes.iter().position(|l| l.under_way.is_none())?;
        if self.is_idle() {
            return Some(free);
        }
        let answers = now.since(self.made_at) < LANES_WITHIN;
        let slow = now.since(self.cut_at) >= LANE_AFTER;
        (answers && slow).then_some(free)
    }

    fn start_writing(&self, lane: usize, batch: Batch) {
        let number = batch.number;
        let (part, owner, rev) = (self.part.clone(), self.info.clone(), self.lanes[lane].rev);
        let read_after = read_after(&self.answers);
        let writing = Writing { part, owner, lane, rev, batch, read_after };
        let written = writer::write(self.shared.clone(), writing);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let written = written.await;
            handle.send(OwnerMsg::Written { batch: number, written }).await;
        });
    }

    /// Takes note of what came of a batch.
    pub fn note(&mut self, batch: u64, written: &Written, now: Millis) {
        let of = |l: &Lane| l.under_way.is_some_and(|u| u.number == batch);
        let Some(at) = self.lanes.iter().position(of) else { return };
        let lane = &mut self.lanes[at];
        let Some(UnderWay { rows, since, .. }) = lane.under_way.take() else { return };
        let took = now.since(since);
        self.shared.metrics.batch_seconds.observe(took.duration().as_secs_f64());
        if took >= BATCH_SLOW {
            log::info!(
                "batch.slow batch={batch} lane={at} rows={rows} took_ms={} outcome={written:?}",
                took.0
            );
        }
        match written {
            Written::Made { rev, answered_in } => {
                lane.rev = *rev;
                // What was made by a later copy says how long that one took.
                self.took = answered_in.unwrap_or(took);
                if let Some(took) = answered_in {
                    self.answers.note(*took);
                }
                self.made_at = now;
                self.unmade_since = self.oldest();
                self.refused_at = None;
            }
            Written::Refused => self.refused_at = Some(now),
            Written::Deposed(_) | Written::Inconsistent => {}
        }
    }

    /// Returns since when the oldest batch is under way.
    fn oldest(&self) -> Option<Millis> {
        self.lanes.iter().filter_map(|l| l.under_way).map(|u| u.since).min()
    }

    /// Tells whether the store takes no batches now, as far as is known.
    pub fn is_stalled(&self, now: Millis) -> bool {
        // A slow store answers something meanwhile: the writer reads, beside the batch.
        let answers = self.shared.store_age() < LEAST_HANG;
        let hang = if answers { MOST_HANG } else { LEAST_HANG };
        let hangs = self.oldest().is_some_and(|s| now.since(s) >= hang);
        hangs || (self.is_idle() && self.refused_at.is_some_and(|at| now.since(at) < REFUSING))
    }

    /// Tells whether a new job is taken whose caller waits for `limit` longer. It is refused at
    /// once when its acceptance can't be in the store by then, or the store takes no batches.
    pub fn admits(&self, engine: &Engine, limit: Millis, now: Millis) -> bool {
        !self.is_stalled(now) && self.kept_in(engine, now) <= limit
    }

    /// Returns how long it takes until a job that comes now is in the store.
    fn kept_in(&self, engine: &Engine, now: Millis) -> Millis {
        let free = self.lanes.iter().any(|l| l.under_way.is_none());
        let began = self.oldest().filter(|_| !free);
        let until_free = began.map_or(Millis(0), |b| self.took.since(now.since(b)));
        let rounds = engine.batches_ahead().div_ceil(LANES as u64);
        until_free + Millis(self.took.max(BATCH_GAP).0 * rounds)
    }

    /// Tells whether for so long none was made though there was one to make.
    pub fn is_unmade_for(&self, limit: Millis, now: Millis) -> bool {
        self.unmade_since.is_some_and(|s| now.since(s) >= limit)
    }

    /// Tells whether none is under way.
    pub fn is_idle(&self) -> bool {
        self.lanes.iter().all(|l| l.under_way.is_none())
    }

    /// Returns the version of the owner row, unless a batch under way may change it.
    pub fn settled_rev(&self) -> Option<Version> {
        self.is_idle().then_some(self.lanes[0].rev)
    }
}
