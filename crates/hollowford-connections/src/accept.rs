//! Listening addresses, and the connections that come in.

use crate::limits::Listener;
use crate::pool::Pool;
use crate::stream::ConnectionStream;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a connection could not be accepted.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Binds a listening address whose connections have small buffers.
///
/// # Errors
/// If the address can't be bound.
pub fn bind(kind: Listener, addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(kind.socket_buffer_bytes())?;
    socket.set_send_buffer_size(kind.socket_buffer_bytes())?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection for which the pool has room. Others are closed at once.
pub async fn accept(pool: &Arc<Pool>, listener: &TcpListener, kind: Listener) -> ConnectionStream {
    loop {
        let (stream, _) = accept_with_pauses(pool, kind, || listener.accept()).await;
        if let Some(connection) = pool.admit(kind).await {
            return ConnectionStream::new(stream, Arc::new(connection));
        }
    }
}

/// Calls `next` until it returns a connection. After a failure, which mostly means that no
/// descriptor is free, closes the connection that has waited longest and pauses.
pub(crate) async fn accept_with_pauses<T, F>(pool: &Pool, kind: Listener, next: impl Fn() -> F) -> T
where
    F: Future<Output = io::Result<T>>,
{
    let mut is_reported = false;
    loop {
        match next().await {
            Ok(stream) => return stream,
            Err(e) => {
                if !is_reported {
                    log::warn!("connection.accept failed listener={} error={e}", kind.name());
                    is_reported = true;
                }
                pool.close_one(kind);
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}
