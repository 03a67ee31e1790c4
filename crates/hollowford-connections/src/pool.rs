//! All connections of a process, and the bytes kept for them.

use crate::connection::{Connection, NoRoom, Phase, WaitLimits};
use crate::limits::{Limits, Listener};
use hollowford_core::{Clock, Millis};
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
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
type WaitKey = (bool, Millis, u64);

/// What happened at a listener so far, and what it has now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Open connections.
    pub open: u64,
    /// Connections closed because others needed their room.
    pub closed_for_room: u64,
    /// Connections closed because no request came for too long.
    pub closed_idle: u64,
    /// Connections closed because the rest of a request or the taking of an answer took too long.
    pub closed_overdue: u64,
    /// Connections and requests refused because there was no room.
    pub refused: u64,
}

impl Counts {
    /// Returns how many connections and requests limits have closed or refused, by the reason's label
    /// value.
    pub fn by_reason(&self) -> [(&'static str, u64); 4] {
        [
            ("room", self.closed_for_room),
            ("idle", self.closed_idle),
            ("overdue", self.closed_overdue),
            ("refused", self.refused),
        ]
    }

    /// Returns true if a limit was met since `earlier`.
    fn is_limited_since(&self, earlier: &Counts) -> bool {
        let limited = |c: &Counts| c.closed_for_room + c.closed_overdue + c.refused;
        limited(self) > limited(earlier)
    }
}

#[derive(Debug)]
struct Entry {
    listener: Listener,
    phase: Phase,
    /// When the phase began.
    since: Millis,
    /// When the other side last sent or took bytes.
    progressed_at: Millis,
    /// Since when the process has waited for the other side to complete a request.
    waiting_since: Millis,
    /// Whether a request was completed on the connection.
    served: bool,
    /// Number of complete calls on the connection that are being worked on.
    work: usize,
    /// Bytes kept for the connection.
    bytes: usize,
    /// Bytes of an answer that the other side has not taken; part of `bytes`.
    answer_bytes: usize,
    /// The phase in which the pool began to close the connection.
    closed_in: Option<Phase>,
    close: CancellationToken,
}

impl Entry {
    /// Returns true if the process waits for the other side.
    fn is_waiting(&self) -> bool {
        self.phase.is_waiting() && self.work == 0
    }

    fn is_closing(&self) -> bool {
        self.closed_in.is_some()
    }

    fn key(&self, id: u64) -> WaitKey {
        (self.served, self.waiting_since, id)
    }
}

#[derive(Debug, Default)]
struct ListenerState {
    counts: Counts,
    /// What was logged last.
    logged: Counts,
    /// Connections that are being closed.
    closing: usize,
    requests: usize,
    /// Connections that may be closed for others.
    waiting: BTreeSet<WaitKey>,
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<u64, Entry>,
    listeners: [ListenerState; Listener::ALL.len()],
    last_id: u64,
    bytes: usize,
    /// Bytes of connections that are being closed.
    closing_bytes: usize,
}

impl State {
    fn listener(&mut self, listener: Listener) -> &mut ListenerState {
        &mut self.listeners[listener as usize]
    }

    /// Changes an entry and keeps the set of waiting connections up to date.
    fn update(&mut self, id: u64, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let waiting = &mut self.listeners[entry.listener as usize].waiting;
        waiting.remove(&entry.key(id));
        change(entry);
        if entry.is_waiting() && !entry.is_closing() {
            waiting.insert(entry.key(id));
        }
    }

    /// Returns the key of a connection in the order of closing. One that isn't waiting comes last.
    fn key_of(&self, id: u64) -> WaitKey {
        match self.entries.get(&id) {
            Some(entry) if entry.is_waiting() => entry.key(id),
            _ => (true, Millis::MAX, u64::MAX),
        }
    }

    /// Begins to close a connection.
    fn close(&mut self, id: u64) {
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
    fn close_for_room(&mut self, (_, _, id): WaitKey) {
        let Some(entry) = self.entries.get(&id) else { return };
        let listener = entry.listener;
        self.listener(listener).counts.closed_for_room += 1;
        self.close(id);
    }

    /// Begins to close waiting connections that come before `key`, until `extra` more bytes fit
    /// below `max` once they are closed.
    fn make_room(&mut self, extra: usize, max: usize, key: WaitKey) -> Shortage {
        while self.bytes - self.closing_bytes + extra > max {
            let first = self.listeners.iter().filter_map(|l| l.waiting.first()).min().copied();
            match first.filter(|first| *first < key) {
                Some(first) => self.close_for_room(first),
                None => return Shortage::Full,
            }
        }
        Shortage::Closing
    }

    fn add_bytes(&mut self, id: u64, bytes: usize) {
        self.bytes += bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes += bytes;
            if entry.is_closing() {
                self.closing_bytes += bytes;
            }
        }
    }

    fn subtract_bytes(&mut self, id: u64, bytes: usize) {
        self.bytes -= bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes -= bytes;
            if entry.is_closing() {
                self.closing_bytes -= bytes;
            }
        }
    }
}

/// The connections of a process.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    clock: Clock,
    state: Mutex<State>,
    released: Notify,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(limits: Limits, clock: Clock) -> Arc<Pool> {
        Arc::new(Pool { limits, clock, state: Mutex::default(), released: Notify::new() })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a future that completes when room has come free after it was enabled.
    pub(crate) fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    /// Returns the number of bytes kept for connections.
    pub fn bytes(&self) -> usize {
        self.state().bytes
    }

    /// Returns what happened at a listener.
    pub fn counts(&self, listener: Listener) -> Counts {
        self.state().listener(listener).counts
    }

    /// Adds a connection. If there is no room for it, closes the one that has waited longest and
    /// waits for its end. Returns `None` if none can be closed.
    pub async fn admit(self: &Arc<Pool>, listener: Listener) -> Option<Connection> {
        loop {
            let released = self.released();
            tokio::pin!(released);
            released.as_mut().enable();
            match self.try_admit(listener) {
                Ok(connection) => return Some(connection),
                Err(Shortage::Closing) => released.await,
                Err(Shortage::Full) => {
                    self.state().listener(listener).counts.refused += 1;
                    return None;
                }
            }
        }
    }

    fn try_admit(self: &Arc<Pool>, listener: Listener) -> Result<Connection, Shortage> {
        let mut state = self.state();
        let max_connections = self.limits.max_connections(listener);
        let l = state.listener(listener);
        if l.counts.open as usize >= max_connections {
            let first = l.waiting.first().copied();
            match first {
                _ if l.closing > 0 => {}
                Some(first) => state.close_for_room(first),
                None => return Err(Shortage::Full),
            }
            return Err(Shortage::Closing);
        }
        let bytes = listener.connection_bytes();
        let max = self.limits.max_bytes_for(listener);
        if state.bytes + bytes > max {
            return Err(state.make_room(bytes, max, (true, Millis::MAX, u64::MAX)));
        }
        let close = CancellationToken::new();
        let id = self.insert(&mut state, listener, close.clone());
        state.add_bytes(id, bytes);
        drop(state);
        Ok(Connection::new(self.clone(), id, listener, close))
    }

    fn insert(&self, state: &mut State, listener: Listener, close: CancellationToken) -> u64 {
        state.last_id += 1;
        let id = state.last_id;
        let now = self.clock.now();
        let entry = Entry {
            listener,
            phase: Phase::Idle,
            since: now,
            progressed_at: now,
            waiting_since: now,
            served: false,
            work: 0,
            bytes: 0,
            answer_bytes: 0,
            closed_in: None,
            close,
        };
        let l = state.listener(listener);
        l.counts.open += 1;
        l.waiting.insert(entry.key(id));
        state.entries.insert(id, entry);
        id
    }

    /// Removes a connection. Bytes that are still reserved stay counted until they are released.
    pub(crate) fn remove(&self, id: u64) {
        let mut state = self.state();
        let Some(entry) = state.entries.remove(&id) else { return };
        let l = state.listener(entry.listener);
        l.counts.open -= 1;
        l.waiting.remove(&entry.key(id));
        if entry.is_closing() {
            l.closing -= 1;
            state.closing_bytes -= entry.bytes;
        }
        state.bytes -= entry.listener.connection_bytes() + entry.answer_bytes;
        drop(state);
        self.released.notify_waiters();
    }

    pub(crate) fn is_closed_in_body(&self, id: u64) -> bool {
        let state = self.state();
        state.entries.get(&id).is_some_and(|e| e.closed_in == Some(Phase::Body))
    }

    pub(crate) fn record_read(&self, id: u64) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(entry) = state.entries.get_mut(&id) else { return };
        entry.progressed_at = now;
        if entry.phase == Phase::Idle {
            state.update(id, |entry| {
                entry.phase = Phase::Head;
                entry.since = now;
                if entry.served {
                    entry.waiting_since = now;
                }
            });
        }
    }

    pub(crate) fn record_written(&self, id: u64) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(entry) = state.entries.get_mut(&id) else { return };
        entry.progressed_at = now;
        // A part of the answer was flushed before the rest was written.
        if entry.phase == Phase::Idle {
            state.update(id, |entry| entry.phase = Phase::Answer);
        }
    }

    pub(crate) fn enter(&self, id: u64, phase: Phase) {
        let now = self.clock.now();
        self.state().update(id, |entry| {
            entry.phase = phase;
            entry.since = now;
            entry.progressed_at = now;
        });
    }

    pub(crate) fn record_answer_taken(&self, id: u64) {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(entry) = state.entries.get_mut(&id) else { return };
        if entry.phase != Phase::Answer {
            return;
        }
        let answer_bytes = std::mem::take(&mut entry.answer_bytes);
        state.update(id, |entry| {
            entry.phase = Phase::Idle;
            entry.served = true;
            entry.since = now;
            entry.progressed_at = now;
            entry.waiting_since = now;
        });
        drop(state);
        self.release(id, answer_bytes);
    }

    pub(crate) fn reserve_answer(
        &self,
        id: u64,
        listener: Listener,
        bytes: usize,
    ) -> Result<(), Shortage> {
        self.try_reserve(id, listener, bytes)?;
        if let Some(entry) = self.state().entries.get_mut(&id) {
            entry.answer_bytes += bytes;
        }
        Ok(())
    }

    pub(crate) fn begin_work(&self, id: u64) {
        self.state().update(id, |entry| entry.work += 1);
    }

    pub(crate) fn end_work(&self, id: u64) {
        let now = self.clock.now();
        self.state().update(id, |entry| {
            entry.work -= 1;
            entry.served = true;
            entry.waiting_since = now;
        });
    }

    pub(crate) fn begin_request(&self, id: u64, listener: Listener) -> Result<(), NoRoom> {
        let mut state = self.state();
        let l = state.listener(listener);
        if l.requests >= self.limits.max_requests(listener) {
            l.counts.refused += 1;
            return Err(NoRoom);
        }
        l.requests += 1;
        drop(state);
        self.enter(id, Phase::Busy);
        Ok(())
    }

    pub(crate) fn end_request(&self, listener: Listener) {
        self.state().listener(listener).requests -= 1;
    }

    pub(crate) fn try_reserve(
        &self,
        id: u64,
        listener: Listener,
        extra: usize,
    ) -> Result<(), Shortage> {
        let mut state = self.state();
        let max = self.limits.max_bytes_for(listener);
        if state.bytes + extra <= max {
            state.add_bytes(id, extra);
            return Ok(());
        }
        let key = state.key_of(id);
        let shortage = state.make_room(extra, max, key);
        if shortage == Shortage::Full {
            state.listener(listener).counts.refused += 1;
        }
        Err(shortage)
    }

    pub(crate) fn release(&self, id: u64, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.state().subtract_bytes(id, bytes);
        self.released.notify_waiters();
    }

    /// Closes the connection that has waited longest at a listener, if there is one.
    pub(crate) fn close_one(&self, listener: Listener) {
        let mut state = self.state();
        let first = state.listener(listener).waiting.first().copied();
        if let Some(first) = first {
            state.close_for_room(first);
        }
    }

    /// Logs what happened at a listener if a limit was met since the last call.
    pub fn log_if_limited(&self, listener: Listener) {
        let mut state = self.state();
        let bytes = state.bytes;
        let l = state.listener(listener);
        if l.counts.is_limited_since(&l.logged) {
            l.logged = l.counts;
            let Counts { open, closed_for_room, closed_overdue, refused, .. } = l.counts;
            log::warn!(
                "connections.limited listener={} open={open} bytes={bytes} \
                 closed_for_room={closed_for_room} closed_overdue={closed_overdue} \
                 refused={refused}",
                listener.name()
            );
        }
    }

    /// Begins to close the connections of a listener that have waited too long.
    pub(crate) fn close_overdue(&self, listener: Listener, limits: WaitLimits) {
        let now = self.clock.now();
        let mut state = self.state();
        let waiting = &state.listeners[listener as usize].waiting;
        let overdue = waiting.iter().filter_map(|&(_, _, id)| {
            let e = state.entries.get(&id)?;
            let is_overdue = limits.is_exceeded(e.phase, e.since, e.progressed_at, now);
            is_overdue.then_some((id, e.phase))
        });
        for (id, phase) in overdue.collect::<Vec<_>>() {
            let counts = &mut state.listener(listener).counts;
            if phase == Phase::Idle {
                counts.closed_idle += 1;
            } else {
                counts.closed_overdue += 1;
            }
            state.close(id);
        }
    }
}
