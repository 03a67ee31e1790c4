//! Reading of request bodies.

use crate::connection::{Connection, NoRoom, Phase, Reservation};
use bytes::Bytes;
use futures::{Stream, StreamExt};
use std::io;
use std::sync::Arc;

/// Smallest buffer for a body, in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// There is no room for it.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
    /// The connection failed or the body is malformed.
    #[error("{0}")]
    Broken(#[from] io::Error),
}

/// Reads a request's body of at most `max_bytes`. While the process waits for the rest, it may close
/// the connection for others; then the body has no room. Returns the body with the reservation of
/// its bytes.
///
/// # Errors
/// If the body is too large or broken, or there is no room for it.
pub async fn read_body(
    connection: &Arc<Connection>,
    body: poem::Body,
    max_bytes: usize,
) -> Result<(Vec<u8>, Reservation), ReadBodyError> {
    connection.enter(Phase::Body);
    let read = tokio::select! {
        read = collect(connection, body.into_bytes_stream(), max_bytes) => read,
        () = connection.closing() => Err(NoRoom.into()),
    };
    connection.enter(Phase::Busy);
    read
}

/// Collects the parts of a body.
async fn collect(
    connection: &Arc<Connection>,
    parts: impl Stream<Item = io::Result<Bytes>>,
    max_bytes: usize,
) -> Result<(Vec<u8>, Reservation), ReadBodyError> {
    let mut buf = Vec::new();
    let mut reservation = connection.reserve(0)?;
    let mut parts = std::pin::pin!(parts);
    while let Some(part) = parts.next().await {
        let part = part?;
        let len = buf.len() + part.len();
        if len > max_bytes {
            return Err(ReadBodyError::TooLarge);
        }
        if len > buf.capacity() {
            let capacity = grown_capacity(buf.capacity(), len).min(max_bytes);
            reservation.resize_when_possible(capacity).await?;
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&part);
    }
    Ok((buf, reservation))
}

/// Returns the capacity for `len` bytes of a buffer that has `capacity`.
fn grown_capacity(capacity: usize, len: usize) -> usize {
    len.max(2 * capacity).max(MIN_BUFFER_BYTES)
}
