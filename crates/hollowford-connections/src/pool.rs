//! All connections of a process, and the bytes kept for them.

use crate::connection::{Connection, NoRoom, Phase, WaitLimits};
use crate::counts::Counts;
use crate::limits::{Limits, Listener};
use crate::state::{Entry, LAST_KEY, Shortage, State};
use hollowford_core::Clock;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio_util::sync::CancellationToken;

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
            return Err(state.make_room(bytes, max, LAST_KEY));
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
