//! The byte stream of a connection in the pool.

use crate::connection::Connection;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::WaitForCancellationFutureOwned;

/// A TCP stream that tells the pool of its progress.
#[derive(Debug)]
pub struct ConnectionStream {
    inner: TcpStream,
    connection: Arc<Connection>,
    /// Completes when the pool wants the connection to be closed; then reading fails.
    closing: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
}

impl ConnectionStream {
    pub(crate) fn new(inner: TcpStream, connection: Arc<Connection>) -> ConnectionStream {
        ConnectionStream { inner, connection, closing: None }
    }

    /// Returns the connection.
    pub fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }

    /// Makes reading fail when the pool wants the connection to be closed.
    pub fn fail_when_closing(mut self) -> ConnectionStream {
        let token = self.connection.close_token().clone();
        self.closing = Some(Box::pin(token.cancelled_owned()));
        self
    }

    /// Makes the operating system send small writes at once.
    ///
    /// # Errors
    /// If the option can't be set.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.inner.set_nodelay(true)
    }

    /// Returns the stream and the connection.
    pub fn into_parts(self) -> (TcpStream, Arc<Connection>) {
        (self.inner, self.connection)
    }

    fn poll_closing(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let Some(closing) = &mut self.closing else { return Poll::Pending };
        ready!(closing.as_mut().poll(cx));
        Poll::Ready(io::ErrorKind::ConnectionAborted.into())
    }
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(e) = self.poll_closing(cx) {
            return Poll::Ready(Err(e));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if buf.filled().len() > filled {
            self.connection.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.connection.record_written();
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        self.connection.record_answer_taken();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.connection.record_written();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
