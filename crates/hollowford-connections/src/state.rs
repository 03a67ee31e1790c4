//! The state of the pool: its connections, their order of closing, and the sums of their bytes.

use crate::connection::Phase;
use crate::counts::Counts;
use crate::limits::Listener;
use hollowford_core::Millis;
use std::collections::{BTreeSet, HashMap};
use tokio_util::sync::CancellationToken;

/// Why bytes could not be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shortage {
    /// Connections are being closed; there will be room once they are.
    Closing,
    /// No connection can be closed for it.
    Full,
}

/// Order in which waiting connections are closed: those that have completed no request go before
/// those that have, and among them the one that has waited longest goes first.
pub(crate) type WaitKey = (bool, Millis, u64);

/// A key that comes after all connections.
pub(crate) const LAST_KEY: WaitKey = (true, Millis::MAX, u64::MAX);

/// A connection in the pool.
#[derive(Debug)]
pub(crate) struct Entry {
    pub listener: Listener,
    pub phase: Phase,
    /// When the phase began.
    pub since: Millis,
    /// When the other side last sent or took bytes.
    pub progressed_at: Millis,
    /// Since when the process has waited for the other side to complete a request.
    pub waiting_since: Millis,
    /// Whether a request was completed on the connection.
    pub served: bool,
    /// Number of complete calls on the connection that are being worked on.
    pub work: usize,
    /// Bytes kept for the connection.
    pub bytes: usize,
    /// Bytes of an answer that the other side has not taken; part of `bytes`.
    pub answer_bytes: usize,
    /// The phase in which the pool began to close the connection.
    pub closed_in: Option<Phase>,
    pub close: CancellationToken,
}

impl Entry {
    /// Returns true if the process waits for the other side.
    pub fn is_waiting(&self) -> bool {
        self.phase.is_waiting() && self.work == 0
    }

    pub fn is_closing(&self) -> bool {
        self.closed_in.is_some()
    }

    pub fn key(&self, id: u64) -> WaitKey {
        (self.served, self.waiting_since, id)
    }
}

/// The connections of one listener.
#[derive(Debug, Default)]
pub(crate) struct ListenerState {
    pub counts: Counts,
    /// What was logged last.
    pub logged: Counts,
    /// Connections that are being closed.
    pub closing: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Connections that may be closed for others.
    pub waiting: BTreeSet<WaitKey>,
}

/// All connections, with their sums.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub entries: HashMap<u64, Entry>,
    pub listeners: [ListenerState; Listener::ALL.len()],
    /// The last id that was given to a connection.
    pub last_id: u64,
    pub bytes: usize,
    /// Bytes of connections that are being closed.
    pub closing_bytes: usize,
}

impl State {
    pub fn listener(&mut self, listener: Listener) -> &mut ListenerState {
        &mut self.listeners[listener as usize]
    }

    /// Changes an entry and keeps the set of waiting connections up to date.
    pub fn update(&mut self, id: u64, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let waiting = &mut self.listeners[entry.listener as usize].waiting;
        waiting.remove(&entry.key(id));
        change(entry);
        if entry.is_waiting() && !entry.is_closing() {
            waiting.insert(entry.key(id));
        }
    }

    /// Returns the key of a connection in the order of closing. One that isn't waiting comes last.
    pub fn key_of(&self, id: u64) -> WaitKey {
        match self.entries.get(&id) {
            Some(entry) if entry.is_waiting() => entry.key(id),
            _ => LAST_KEY,
        }
    }

    /// Begins to close a connection.
    pub fn close(&mut self, id: u64) {
        let Some(entry) = self.entries.get(&id).filter(|e| !e.is_closing()) else { return };
        let (listener, bytes) = (entry.listener, entry.bytes);
        self.closing_bytes += bytes;
        self.listener(listener).closing += 1;
        self.update(id, |entry| {
            entry.closed_in = Some(entry.phase);
            entry.close.cancel();
        });
    }

    /// Begins to close a connection because others need its room.
    pub fn close_for_room(&mut self, (_, _, id): WaitKey) {
        let Some(entry) = self.entries.get(&id) else { return };
        let listener = entry.listener;
        self.listener(listener).counts.closed_for_room += 1;
        self.close(id);
    }

    /// Begins to close waiting connections that come before `key`, until `extra` more bytes fit
    /// below `max` once they are closed.
    pub fn make_room(&mut self, extra: usize, max: usize, key: WaitKey) -> Shortage {
        while self.bytes - self.closing_bytes + extra > max {
            let first = self.listeners.iter().filter_map(|l| l.waiting.first()).min().copied();
            match first.filter(|first| *first < key) {
                Some(first) => self.close_for_room(first),
                None => return Shortage::Full,
            }
        }
        Shortage::Closing
    }

    pub fn add_bytes(&mut self, id: u64, bytes: usize) {
        self.bytes += bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes += bytes;
            if entry.is_closing() {
                self.closing_bytes += bytes;
            }
        }
    }

    pub fn subtract_bytes(&mut self, id: u64, bytes: usize) {
        self.bytes -= bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes -= bytes;
            if entry.is_closing() {
                self.closing_bytes -= bytes;
            }
        }
    }
}
