//! The owner's batches: when one is made, and how the one under way fares.

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::shared::Shared;
use crate::wire::OwnerInfo;
use crate::writer::{self, Written};
use hollowford_adapter::Version;
use hollowford_core::Millis;
use hollowford_jobs::Engine;
use std::sync::Arc;

/// Shortest time between two batches when somebody waits for one, so that what comes
/// together is written together.
const BATCH_GAP: Millis = Millis(14);
/// Shortest time between two batches when nobody waits.
const IDLE_BATCH_GAP: Millis = Millis(30);
/// A batch under way for so long means that new jobs are refused at once. A slow store takes
/// up to 0.4 s for one.
const BATCH_STALLED: Millis = Millis(600);
/// A new job whose acceptance would be in the store only after this time is refused at once:
/// callers wait for 3 s, and the quickest work is late after 1.2 s.
const ACCEPT_WITHIN: Millis = Millis(1_200);
/// After the store has refused a batch, new jobs are refused for so long; then one is tried.
const REFUSING: Millis = Millis(300);

/// The batches of one owner, of which one at most is under way.
#[derive(Debug)]
pub struct Batches {
    shared: Arc<Shared>,
    info: OwnerInfo,
    part: String,
    /// Version of the owner row.
    rev: Version,
    handle: OwnerHandle,
    /// When the last one was cut.
    cut_at: Millis,
    /// Since when one is under way.
    since: Option<Millis>,
    /// Since when none was made though there was one to make.
    unmade_since: Option<Millis>,
    /// When the store refused one last, with none made since.
    refused_at: Option<Millis>,
    /// How long the last one took.
    took: Millis,
}

impl Batches {
    /// Makes the batches of the owner `info`, on top of version `rev` of the owner row.
    pub fn new(
        shared: Arc<Shared>,
        info: OwnerInfo,
        part: String,
        rev: Version,
        handle: OwnerHandle,
    ) -> Batches {
        Batches {
            shared,
            info,
            part,
            rev,
            handle,
            cut_at: Millis(0),
            since: None,
            unmade_since: None,
            refused_at: None,
            took: Millis(0),
        }
    }

    /// Cuts the next batch if it is due, and starts writing it.
    pub fn write_next(&mut self, engine: &mut Engine, now: Millis) {
        let gap = if engine.batch_is_urgent() { BATCH_GAP } else { IDLE_BATCH_GAP };
        if self.since.is_some() || now.since(self.cut_at) < gap {
            return;
        }
        let Some(batch) = engine.cut_batch(now) else { return };
        self.cut_at = now;
        self.since = Some(now);
        self.unmade_since.get_or_insert(now);
        let writing = writer::write(
            self.shared.clone(),
            self.part.clone(),
            self.info.clone(),
            self.rev,
            batch,
        );
        let handle = self.handle.clone();
        tokio::spawn(async move { handle.send(OwnerMsg::Written(writing.await)).await });
    }

    /// Takes note of what came of the batch under way.
    pub fn note(&mut self, written: &Written, now: Millis) {
        let since = self.since.take().unwrap_or(now);
        self.shared.metrics.batch_seconds.observe(now.since(since).duration().as_secs_f64());
        match written {
            Written::Made(rev) => {
                self.rev = *rev;
                self.took = now.since(since);
                self.unmade_since = None;
                self.refused_at = None;
            }
            Written::Refused => self.refused_at = Some(now),
            Written::Deposed(_) | Written::Inconsistent => {}
        }
    }

    /// Tells whether a new job would wait for too long.
    pub fn is_stalled(&self, now: Millis) -> bool {
        let hangs = self.since.is_some_and(|s| now.since(s) >= BATCH_STALLED);
        hangs || self.refused_at.is_some_and(|at| now.since(at) < REFUSING)
    }

    /// Tells whether so much waits to be written that a new job's acceptance would come too
    /// late.
    pub fn is_behind(&self, engine: &Engine) -> bool {
        self.took.0.max(BATCH_GAP.0) * engine.batches_ahead() > ACCEPT_WITHIN.0
    }

    /// Tells whether for so long none was made though there was one to make.
    pub fn is_unmade_for(&self, limit: Millis, now: Millis) -> bool {
        self.unmade_since.is_some_and(|s| now.since(s) >= limit)
    }

    /// Tells whether none is under way.
    pub fn is_idle(&self) -> bool {
        self.since.is_none()
    }

    /// Returns the version of the owner row, unless a batch under way may change it.
    pub fn settled_rev(&self) -> Option<Version> {
        self.is_idle().then_some(self.rev)
    }
}
