//! HTTP/1.1 on connections of the pool.

use crate::accept::accept;
use crate::connection::{Connection, Phase, WaitLimits};
use crate::limits::Listener;
use crate::pool::Pool;
use crate::stream::ConnectionStream;
use bytes::Bytes;
use hollowford_core::Millis;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::endpoint::BoxEndpoint;
use poem::http::uri::Scheme;
use poem::http::{HeaderValue, StatusCode, header};
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, EndpointExt, Request, Response};
use std::convert::Infallible;
use std::future::poll_fn;
use std::hint::black_box;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Interval of the checks for connections that have waited too long.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Smallest buffer that the HTTP library takes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;
/// Bytes of the shortest header line: a name of one character, a colon and the end of the line.
const MIN_HEADER_LINE_BYTES: usize = 4;
/// Heads up to this size fit into the buffers that each connection has.
const BUFFERED_HEAD_BYTES: usize = 16 << 10;
/// Freed memory that the process keeps for the next requests, in bytes. The HTTP library takes and
/// frees a buffer for a head's lines with each.
const KEPT_FREE_BYTES: usize = 1 << 20;
/// Answers up to this size fit into the buffers that each connection has.
const BUFFERED_ANSWER_BYTES: u64 = 8 << 10;
/// Time in which a closed connection's other side may still take its last answer, and how much of
/// what it sends meanwhile is dropped.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// See [`LINGER_TIME`].
const MAX_LINGER_BYTES: usize = 256 << 10;
/// Size of the buffer for bytes that are dropped.
const DROP_BUFFER_BYTES: usize = 4 << 10;
/// Time for the last answer on a connection that is closed for others.
const CLOSE_TIME: Duration = Duration::from_millis(100);
/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Time for a head, from its first byte.
    pub head_timeout: Millis,
    /// Time after which a connection without any progress is closed.
    pub idle_timeout: Millis,
}

impl HttpLimits {
    fn wait_limits(&self) -> WaitLimits {
        WaitLimits { head: self.head_timeout, idle: self.idle_timeout }
    }
}

/// Serves requests until `stopped` is true. Then it closes idle connections, and returns when the
/// requests in progress are answered. `limits` is called for each connection and each check.
pub async fn serve_http<E>(
    listener: TcpListener,
    kind: Listener,
    pool: Arc<Pool>,
    endpoint: E,
    limits: impl Fn() -> HttpLimits,
    mut stopped: watch::Receiver<bool>,
) where
    E: Endpoint<Output = Response> + 'static,
{
    keep_free_memory();
    let until_stopped = stopped.clone();
    let endpoint = Arc::new(endpoint.boxed());
    let mut connections = JoinSet::new();
    let accept_all = async {
        loop {
            let stream = accept(&pool, &listener, kind).await;
            let serving =
                serve_connection(stream, endpoint.clone(), limits(), until_stopped.clone());
            connections.spawn(serving);
            while connections.try_join_next().is_some() {}
        }
    };
    tokio::select! {
        () = accept_all => {}
        () = close_overdue(&pool, kind, &limits) => {}
        // An error means that the process is ending as well.
        _ = stopped.wait_for(|&s| s) => {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Makes the allocator of the C library keep freed memory: after a block of this size was freed, it
/// returns memory to the operating system only when more than twice as much is free.
fn keep_free_memory() {
    drop(black_box(Vec::<u8>::with_capacity(KEPT_FREE_BYTES)));
}

/// Closes connections that have waited too long, and logs when limits were met. Never returns.
async fn close_overdue(pool: &Pool, kind: Listener, limits: &impl Fn() -> HttpLimits) {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        pool.close_overdue(kind, limits().wait_limits());
        pool.log_if_limited(kind);
    }
}

/// Serves the requests of one connection.
async fn serve_connection(
    stream: ConnectionStream,
    endpoint: Arc<BoxEndpoint<'static>>,
    limits: HttpLimits,
    mut stopped: watch::Receiver<bool>,
) {
    let connection = stream.connection().clone();
    let Ok(_large_head) = connection.reserve(unbuffered_head_bytes(limits.max_head_bytes)) else {
        return;
    };
    let owned = connection.clone();
    let service = service_fn(move |req| Box::pin(answer(endpoint.clone(), owned.clone(), req)));
    let mut http = builder(limits).serve_connection(TokioIo::new(stream), service);
    let is_stopped = tokio::select! {
        // The reason why it ended doesn't matter: the other side connects again.
        _ = poll_fn(|cx| http.poll_without_shutdown(cx)) => false,
        () = connection.closing() => false,
        _ = stopped.wait_for(|&s| s) => true,
    };
    if is_stopped {
        Pin::new(&mut http).graceful_shutdown();
        let _ = poll_fn(|cx| http.poll_without_shutdown(cx)).await;
    }
    if connection.is_closed_in_body() {
        // The caller learns that its request was refused.
        Pin::new(&mut http).graceful_shutdown();
        let _ = timeout(CLOSE_TIME, poll_fn(|cx| http.poll_without_shutdown(cx))).await;
    }
    let (stream, _) = http.into_parts().io.into_inner().into_parts();
    linger(stream, &connection).await;
}

/// Returns how much a connection's buffers for heads may exceed what each connection counts with.
pub(crate) fn unbuffered_head_bytes(max_head_bytes: usize) -> usize {
    // A buffer that grows takes up to twice the bytes in it.
    2 * max_head_bytes.saturating_sub(BUFFERED_HEAD_BYTES)
}

fn builder(limits: HttpLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .max_header_size(limits.max_head_bytes)
        .max_headers(limits.max_head_bytes / MIN_HEADER_LINE_BYTES);
    builder
}

/// Answers one request, unless there is no room for it or for its answer.
async fn answer(
    endpoint: Arc<BoxEndpoint<'static>>,
    connection: Arc<Connection>,
    req: hyper::Request<Incoming>,
) -> Result<hyper::Response<impl hyper::body::Body<Data = Bytes, Error = io::Error>>, Infallible> {
    let resp = match connection.begin_request() {
        Ok(_guard) => {
            let (local, remote) = (LocalAddr::default(), RemoteAddr::default());
            let mut req = Request::from((req, local, remote, Scheme::HTTP));
            req.extensions_mut().insert(connection.clone());
            endpoint.get_response(req).await
        }
        Err(_) => unavailable(),
    };
    let resp: hyper::Response<_> = resp.into();
    let bytes = resp.body().size_hint().lower();
    connection.enter(Phase::Answer);
    if bytes > BUFFERED_ANSWER_BYTES && connection.reserve_answer(bytes as usize).is_err() {
        return Ok(unavailable().into());
    }
    Ok(resp)
}

fn unavailable() -> Response {
    let builder = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
    builder.header(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS)).finish()
}

/// Lets the other side take the last answer before the connection closes: closing a connection with
/// unread bytes resets it, and the answer may be lost. Drops what the other side still sends.
async fn linger(mut stream: TcpStream, connection: &Connection) {
    connection.enter(Phase::Answer);
    // The other side may have closed the connection.
    let _ = stream.shutdown().await;
    if connection.is_closing() {
        drop_received(&stream);
        return;
    }
    tokio::select! {
        // Bytes that don't come in time are not dropped.
        _ = timeout(LINGER_TIME, drop_until_end(&mut stream)) => {}
        () = connection.closing() => {}
    }
}

/// Drops what the operating system has received on a connection.
fn drop_received(stream: &TcpStream) {
    let mut buf = [0; DROP_BUFFER_BYTES];
    while stream.try_read(&mut buf).is_ok_and(|n| n > 0) {}
}

/// Drops what the other side sends until it ends the connection, or has sent too much.
async fn drop_until_end(stream: &mut TcpStream) {
    let mut buf = [0; DROP_BUFFER_BYTES];
    let mut dropped = 0;
    while dropped < MAX_LINGER_BYTES {
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => dropped += n,
            _ => return,
        }
    }
}
