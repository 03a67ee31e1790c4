//! A connection of the pool, and the bytes that it has reserved.

use crate::limits::Listener;
use crate::pool::Pool;
use crate::state::Shortage;
use hollowford_core::Millis;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// The pool has no room, and none would come free by closing connections that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for more bytes or requests")]
pub struct NoRoom;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the first byte of a request.
    Idle,
    /// Waits for the rest of a request's head, or of a peer's introduction.
    Head,
    /// Waits for the rest of a request's body.
    Body,
    /// The process works on a complete request, or the other side is a known process.
    Busy,
    /// Waits for the other side to take an answer.
    Answer,
}

impl Phase {
    /// Returns true if the process waits for the other side. Only then may it close the connection.
    pub fn is_waiting(self) -> bool {
        self != Phase::Busy
    }
}

/// How long a connection may wait in each phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitLimits {
    /// For the rest of a head, from its first byte.
    pub head: Millis,
    /// For any byte otherwise.
    pub idle: Millis,
}

impl WaitLimits {
    /// Returns true if a connection that has been in a phase since `since` and last sent or took a
    /// byte at `progressed_at` has waited too long.
    pub fn is_exceeded(
        self,
        phase: Phase,
        since: Millis,
        progressed_at: Millis,
        now: Millis,
    ) -> bool {
        match phase {
            Phase::Busy => false,
            Phase::Head => now.since(since) > self.head,
            Phase::Idle | Phase::Body | Phase::Answer => now.since(progressed_at) > self.idle,
        }
    }
}

/// An open connection. It leaves the pool when it is dropped.
#[derive(Debug)]
pub struct Connection {
    pool: Arc<Pool>,
    id: u64,
    listener: Listener,
    close: CancellationToken,
}

impl Connection {
    pub(crate) fn new(
        pool: Arc<Pool>,
        id: u64,
        listener: Listener,
        close: CancellationToken,
    ) -> Connection {
        Connection { pool, id, listener, close }
    }

    /// Waits until the pool wants the connection to be closed.
    pub async fn closing(&self) {
        self.close.cancelled().await;
    }

    /// Returns true if the pool wants the connection to be closed.
    pub fn is_closing(&self) -> bool {
        self.close.is_cancelled()
    }

    pub(crate) fn close_token(&self) -> &CancellationToken {
        &self.close
    }

    /// Returns true if the pool wants the connection to be closed and it did so while a request's
    /// body was read.
    pub(crate) fn is_closed_in_body(&self) -> bool {
        self.pool.is_closed_in_body(self.id)
    }

    /// Records that the other side has sent bytes.
    pub(crate) fn record_read(&self) {
        self.pool.record_read(self.id);
    }

    /// Records that the other side, or a buffer towards it, has taken bytes.
    pub(crate) fn record_written(&self) {
        self.pool.record_written(self.id);
    }

    /// Reserves bytes for an answer until the other side has taken it.
    ///
    /// # Errors
    /// If there is no room now.
    pub(crate) fn reserve_answer(&self, bytes: usize) -> Result<(), NoRoom> {
        self.pool.reserve_answer(self.id, self.listener, bytes).map_err(|_| NoRoom)
    }

    pub(crate) fn enter(&self, phase: Phase) {
        self.pool.enter(self.id, phase);
    }

    /// Records that the other side has taken the whole answer.
    pub(crate) fn record_answer_taken(&self) {
        self.pool.record_answer_taken(self.id);
    }

    /// Records that the other side is a known process, whose link is not closed for want of room.
    pub fn establish(&self) {
        self.enter(Phase::Busy);
    }

    /// Keeps the connection from being closed for others until the guard is dropped. Several guards
    /// may exist at once.
    pub fn begin_work(self: &Arc<Connection>) -> WorkGuard {
        self.pool.begin_work(self.id);
        WorkGuard(self.clone())
    }

    /// Counts a request as in progress until the guard is dropped.
    ///
    /// # Errors
    /// If too many requests are in progress.
    pub fn begin_request(self: &Arc<Connection>) -> Result<RequestGuard, NoRoom> {
        self.pool.begin_request(self.id, self.listener)?;
        Ok(RequestGuard(self.clone()))
    }

    /// Reserves bytes that the process is about to keep for the connection. Begins to close others
    /// if there is no room.
    ///
    /// # Errors
    /// If there is no room now.
    pub fn reserve(self: &Arc<Connection>, bytes: usize) -> Result<Reservation, NoRoom> {
        let mut reservation = Reservation { connection: self.clone(), bytes: 0 };
        reservation.resize(bytes)?;
        Ok(reservation)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.pool.remove(self.id);
    }
}

/// Work for a connection.
#[derive(Debug)]
pub struct WorkGuard(Arc<Connection>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.pool.end_work(self.0.id);
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct RequestGuard(Arc<Connection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.pool.end_request(self.0.listener);
    }
}

/// Bytes that a process keeps for a connection. They are released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    connection: Arc<Connection>,
    bytes: usize,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes. Begins to close other connections if there is no room.
    ///
    /// # Errors
    /// If there is no room now; the reservation is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        self.try_resize(bytes).map_err(|_| NoRoom)
    }

    /// Changes the number of bytes. Closes connections that have waited longer than this one if
    /// there is no room, and waits until they are closed.
    ///
    /// # Errors
    /// If no such connection is left; the reservation is unchanged.
    pub async fn resize_when_possible(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let pool = self.connection.pool.clone();
        loop {
            let released = pool.released();
            tokio::pin!(released);
            released.as_mut().enable();
            match self.try_resize(bytes) {
                Ok(()) => return Ok(()),
                Err(Shortage::Closing) => released.await,
                Err(Shortage::Full) => return Err(NoRoom),
            }
        }
    }

    fn try_resize(&mut self, bytes: usize) -> Result<(), Shortage> {
        let Connection { pool, id, listener, .. } = &*self.connection;
        if bytes > self.bytes {
            pool.try_reserve(*id, *listener, bytes - self.bytes)?;
        } else {
            pool.release(*id, self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.connection.pool.release(self.connection.id, self.bytes);
    }
}
