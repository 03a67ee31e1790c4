//! Callers' connections to the gRPC endpoint.

use hollowford_connections::{Connection, ConnectionStream, Listener, Pool, accept};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::Connected;

/// Maximum number of connections that wait for the server.
const MAX_QUEUED_CONNECTIONS: usize = 64;

/// A caller's connection, as its calls know it.
#[derive(Clone, Debug)]
pub(crate) struct CallerConnection(pub Arc<Connection>);

/// The stream of a caller's connection.
#[derive(Debug)]
pub(crate) struct CallerStream(ConnectionStream);

/// Accepts callers' connections for as long as the process runs.
pub(crate) fn accept_callers(
    pool: Arc<Pool>,
    listener: TcpListener,
) -> ReceiverStream<io::Result<CallerStream>> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
    tokio::spawn(async move {
        loop {
            let stream = accept(&pool, &listener, Listener::Callers).await;
            // Without it, small replies are delayed until the caller acknowledges earlier ones.
            let _ = stream.set_nodelay();
            let stream = CallerStream(stream.fail_when_closing());
            if tx.send(Ok(stream)).await.is_err() {
                return;
            }
        }
    });
    ReceiverStream::new(rx)
}

impl Connected for CallerStream {
    type ConnectInfo = CallerConnection;

    fn connect_info(&self) -> CallerConnection {
        CallerConnection(self.0.connection().clone())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}
