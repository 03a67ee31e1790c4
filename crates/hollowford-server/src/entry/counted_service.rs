//! Counts the bytes that calls of the gRPC endpoint make a process keep.

use super::connections::CallerConnection;
use super::status::to_status;
use hollowford_connections::{Connection, Reservation, WorkGuard};
use hollowford_core::{Error, ErrorKind};
use std::convert::Infallible;
use std::future::ready;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready as poll_ready};
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::{Body as HttpBody, BoxFuture, Bytes, Service, http};
use tonic::server::NamedService;
use tonic::transport::server::TlsConnectInfo;

/// Maximum size of a call's message, in bytes. The largest valid one has a payload of 4,096 bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Maximum size of a call's metadata, in bytes.
pub(crate) const MAX_METADATA_BYTES: u32 = 16 << 10;
/// Maximum number of bytes that a caller may send before the process has read earlier ones, for a
/// call and for a connection.
pub(crate) const WINDOW_BYTES: u32 = 64 << 10;
/// Maximum number of calls at once on a connection.
pub(crate) const MAX_CALLS_PER_CONNECTION: u32 = 200;
/// Bytes that a call takes besides its message.
const CALL_BYTES: usize = 4 << 10;
/// A gRPC service whose calls reserve the bytes that they make the process keep.
#[derive(Clone, Debug)]
pub(crate) struct CountedService<S>(pub S);

impl<S: NamedService> NamedService for CountedService<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<http::Request<Body>> for CountedService<S>
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>,
    S::Future: Send + 'static,
{
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<http::Response<Body>, Infallible>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        let Some(connection) = connection_of(&req) else { return Box::pin(self.0.call(req)) };
        let Ok(reservation) = connection.reserve(CALL_BYTES) else {
            return Box::pin(ready(Ok(no_room().into_http())));
        };
        let work = Arc::new(Work::new(connection));
        let counted = |body| Body::new(CountedBody { body, reservation, work: work.clone() });
        let answer = self.0.call(req.map(counted));
        Box::pin(async move {
            let answer = answer.await;
            work.end();
            answer
        })
    }
}

/// Returns the connection of a call.
fn connection_of(req: &http::Request<Body>) -> Option<Arc<Connection>> {
    let extensions = req.extensions();
    let plain = extensions.get::<CallerConnection>();
    let encrypted = || extensions.get::<TlsConnectInfo<CallerConnection>>().map(|i| i.get_ref());
    plain.or_else(encrypted).map(|c| c.0.clone())
}

fn no_room() -> Status {
    to_status(&Error::new(ErrorKind::QueueFull, "this process has no room for the call now"))
}

/// The work on one call, from the end of its message until its answer is known. Meanwhile its
/// connection is not closed for others.
#[derive(Debug)]
struct Work {
    connection: Arc<Connection>,
    state: Mutex<WorkState>,
}

#[derive(Debug)]
enum WorkState {
    /// The message has not ended.
    Receiving,
    Working(#[allow(dead_code)] WorkGuard),
    Answered,
}

impl Work {
    fn new(connection: Arc<Connection>) -> Work {
        Work { connection, state: Mutex::new(WorkState::Receiving) }
    }

    fn state(&self) -> MutexGuard<'_, WorkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the message has ended.
    fn begin(&self) {
        let mut state = self.state();
        if matches!(*state, WorkState::Receiving) {
            *state = WorkState::Working(self.connection.begin_work());
        }
    }

    /// Records that the answer is known.
    fn end(&self) {
        *self.state() = WorkState::Answered;
    }
}

/// The body of a call, whose bytes are reserved as they come.
struct CountedBody {
    body: Body,
    reservation: Reservation,
    work: Arc<Work>,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, Status>>> {
        let frame = poll_ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let bytes = self.reservation.bytes() + frame.data_ref().map_or(0, Bytes::len);
            if self.reservation.resize(bytes).is_err() {
                return Poll::Ready(Some(Err(no_room())));
            }
        }
        if frame.is_none() || self.body.is_end_stream() {
            self.work.begin();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
