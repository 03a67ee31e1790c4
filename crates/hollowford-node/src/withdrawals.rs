//! Distinguishes workers that have removed their entries from those whose entries have expired.
//!
//! The platform removes an entry once its worker has left, or after three heartbeats of silence. A
//! worker that is silent there may only be cut off from the store, and go on running its tasks. An
//! entry that is removed soon after it was written has not expired.

use hollowford_adapter::Version;
use hollowford_core::Millis;
use hollowford_jobs::WorkerListing;
use rustc_hash::FxHashMap;

/// An entry that is removed within so many heartbeats after it was written has not expired. The
/// platform waits for three.
const MAX_HEARTBEATS: u64 = 2;

/// The last write of an entry.
#[derive(Clone, Copy, Debug)]
struct LastWrite {
    version: Version,
    /// The write came after this time; `None` if that is unknown.
    after: Option<Millis>,
}

/// When entries were written, and the workers that have removed theirs.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    /// Interval at which workers write their entries; `None` if it is unknown.
    heartbeat: Option<Millis>,
    /// When the last complete read was started: every write that it didn't show came later.
    read_started_at: Option<Millis>,
    writes: FxHashMap<String, LastWrite>,
    withdrawn: Vec<WorkerListing>,
}

impl Withdrawals {
    /// Sets the interval at which workers write their entries.
    pub fn set_heartbeat(&mut self, heartbeat: Option<Millis>) {
        self.heartbeat = heartbeat;
    }

    /// Records that a read that was started at `started_at` has been applied.
    pub fn read_completed(&mut self, started_at: Millis) {
        self.read_started_at = Some(started_at);
    }

    /// Records that an entry was read.
    pub fn entry_read(&mut self, key: &str, version: Version) {
        let last = LastWrite { version, after: self.read_started_at };
        match self.writes.get_mut(key) {
            Some(w) if w.version == version => {}
            Some(w) => *w = last,
            None => drop(self.writes.insert(key.to_owned(), last)),
        }
    }

    /// Forgets an entry that no longer names a worker.
    pub fn forget(&mut self, key: &str) {
        self.writes.remove(key);
    }

    /// Records that the entry of a worker was removed by `now`. Returns true if a worker that was
    /// leaving has removed it itself.
    pub fn entry_removed(&mut self, key: &str, listing: WorkerListing, now: Millis) -> bool {
        let written_after = self.writes.remove(key).and_then(|w| w.after);
        let max_age = self.heartbeat.map(|h| Millis(h.0 * MAX_HEARTBEATS));
        let is_recent = written_after.zip(max_age).is_some_and(|(at, max)| now.since(at) < max);
        let is_withdrawn = listing.leaving && is_recent;
        if is_withdrawn {
            self.add(listing);
        }
        is_withdrawn
    }

    /// Adds a worker that has removed its entry.
    pub fn add(&mut self, listing: WorkerListing) {
        self.withdrawn.push(WorkerListing { withdrawn: true, ..listing });
    }

    /// Returns true if the worker of an entry has removed it since the last call of
    /// [`Withdrawals::take_withdrawn`].
    pub fn contains(&self, key: &str) -> bool {
        self.withdrawn.iter().any(|l| l.life.id().as_str() == key)
    }

    /// Returns the workers that have removed their entries since the last call.
    pub fn take_withdrawn(&mut self) -> Vec<WorkerListing> {
        std::mem::take(&mut self.withdrawn)
    }
}
