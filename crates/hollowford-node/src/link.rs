//! Links between processes: frames over TCP.

use crate::compression::{compress, decompress};
use crate::frame_decoder::{FrameDecoder, MAX_FRAME_BYTES};
use crate::queued_bytes::QueuedBytes;
use crate::wire::{Body, Frame};
use bytes::{Bytes, BytesMut};
use futures::stream::FuturesUnordered;
use futures::{SinkExt, StreamExt};
use hollowford_connections::Connection;
use prost::Message;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Time limit of opening a link within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which another attempt is started while others are pending. A process to which
/// hundreds of links open at once drops some connection requests, and the operating system
/// retransmits them only after a second.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(110);
/// Upper bound of a random addition to each delay, so that attempts whose requests were dropped
/// don't coincide again.
const MAX_ATTEMPT_JITTER: Duration = Duration::from_millis(60);
/// Number of attempts to open a link within [`CONNECT_TIMEOUT`].
const MAX_ATTEMPTS: u32 = 4;
/// Size from which a frame may be compressed. Templates shrink to about two thirds; below this size
/// the overhead of compression exceeds what it saves.
const MIN_COMPRESSED_BYTES: usize = 256;
/// Number of frames that may wait to be written. If a peer falls further behind, its link is
/// treated as ended.
const OUTBOX_CAPACITY: usize = 4_096;

/// Maximum number of bytes of callers' jobs that may wait to be written; further calls are not sent.
const MAX_QUEUED_JOB_BYTES: usize = 4 << 20;

/// Reads frames.
pub type FrameReader = FramedRead<OwnedReadHalf, FrameDecoder>;

/// Sends frames to a peer without blocking.
#[derive(Clone, Debug)]
pub struct Outbox {
    tx: mpsc::Sender<Frame>,
    job_bytes: QueuedBytes,
}

impl Outbox {
    /// Creates an outbox whose link has ended.
    #[cfg(test)]
    pub fn disconnected() -> Outbox {
        Outbox::for_test().0
    }

    /// Creates an outbox and a receiver of its frames.
    #[cfg(test)]
    pub fn for_test() -> (Outbox, mpsc::Receiver<Frame>) {
        Outbox::new()
    }

    fn new() -> (Outbox, mpsc::Receiver<Frame>) {
        let (tx, rx) = mpsc::channel(OUTBOX_CAPACITY);
        (Outbox { tx, job_bytes: QueuedBytes::new(MAX_QUEUED_JOB_BYTES) }, rx)
    }

    /// Sends a frame. Returns false if the link has ended or its outbox is full.
    pub fn send(&self, body: Body) -> bool {
        let bytes = job_bytes(&body);
        if !self.job_bytes.add(bytes) {
            return false;
        }
        let sent = self.tx.try_send(body.into()).is_ok();
        if !sent {
            self.job_bytes.subtract(bytes);
        }
        sent
    }
}

/// Returns the bytes of a caller's job in a frame.
fn job_bytes(body: &Body) -> usize {
    match body {
        Body::Call(call) => call.spec.len(),
        _ => 0,
    }
}

/// Opens a link.
///
/// # Errors
/// If the address doesn't answer in time or refuses the connection.
pub async fn connect(addr: SocketAddr) -> io::Result<(FrameReader, Outbox)> {
    split(open_with_retries(|| TcpStream::connect(addr)).await?)
}

/// Starts attempts until the first one completes, and returns its result. A refused attempt is not
/// repeated, since the others would be refused as well.
pub(crate) async fn open_with_retries<T, F>(attempt: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let wait =
        |n: u32| ATTEMPT_INTERVAL * n + MAX_ATTEMPT_JITTER.mul_f64(fastrand::f64()) * n.min(1);
    let attempts = (0..MAX_ATTEMPTS).map(|n| {
        let (wait, attempt) = (wait(n), &attempt);
        async move {
            sleep(wait).await;
            attempt().await
        }
    });
    let mut attempts: FuturesUnordered<_> = attempts.collect();
    match timeout(CONNECT_TIMEOUT, attempts.next()).await? {
        Some(ended) => ended,
        None => Err(ErrorKind::TimedOut.into()),
    }
}

/// Sends a request to the process at `addr` on a link of its own. Returns `None` if no answer
/// arrives within `limit`.
pub async fn request(addr: SocketAddr, body: Body, limit: Duration) -> Option<Body> {
    let (mut reader, outbox) = connect(addr).await.ok()?;
    outbox.send(body);
    timeout(limit, recv(&mut reader)).await.ok().flatten()
}

/// Splits a stream into a frame reader and an outbox, and starts writing the outbox's frames.
///
/// # Errors
/// If the stream's options can't be set.
pub fn split(stream: TcpStream) -> io::Result<(FrameReader, Outbox)> {
    split_with(stream, FrameDecoder::new())
}

/// Does the same with a stream that another process has opened.
///
/// # Errors
/// If the stream's options can't be set, or there is no room.
pub fn split_incoming(
    stream: TcpStream,
    connection: &Arc<Connection>,
) -> io::Result<(FrameReader, Outbox)> {
    let decoder = FrameDecoder::for_incoming(connection).map_err(io::Error::other)?;
    split_with(stream, decoder)
}

fn split_with(stream: TcpStream, decoder: FrameDecoder) -> io::Result<(FrameReader, Outbox)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let encoder = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let (outbox, rx) = Outbox::new();
    tokio::spawn(write_all(FramedWrite::new(write, encoder), rx, outbox.job_bytes.clone()));
    Ok((FramedRead::new(read, decoder), outbox))
}

/// Encodes a frame. Frames with calls to workers are compressed if that makes them smaller: with
/// their templates, they are most of what an owner sends. Compression takes about 0.3 MB of memory
/// while it runs, so members, which send little, don't compress.
pub(crate) fn encode(frame: &Frame) -> Bytes {
    let plain = frame.encode_to_vec();
    let may_shrink =
        plain.len() >= MIN_COMPRESSED_BYTES && matches!(frame.body, Some(Body::Delegated(_)));
    // Writing to a buffer in memory doesn't fail; if it did, the frame would be sent uncompressed.
    let compressed = may_shrink.then(|| compress(&plain)).and_then(Result::ok);
    let compressed = compressed.map(|bytes| Frame::from(Body::Packed(bytes)).encode_to_vec());
    match compressed.filter(|p| p.len() < plain.len()) {
        Some(compressed) => compressed.into(),
        None => plain.into(),
    }
}

/// Decodes a frame.
///
/// # Errors
/// If the bytes are not a frame, or a compressed frame doesn't contain a plain one.
pub(crate) fn decode(bytes: BytesMut) -> io::Result<Option<Body>> {
    match Frame::decode(bytes)?.body {
        Some(Body::Packed(compressed)) => {
            let plain = decompress(&compressed, MAX_FRAME_BYTES)?;
            match Frame::decode(&plain[..])?.body {
                Some(Body::Packed(_)) => {
                    Err(io::Error::new(ErrorKind::InvalidData, "frame is compressed twice"))
                }
                body => Ok(body),
            }
        }
        body => Ok(body),
    }
}

/// Writes frames until the link fails or all outboxes are dropped.
async fn write_all(
    mut write: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut rx: mpsc::Receiver<Frame>,
    queued: QueuedBytes,
) {
    let take = |frame: Frame| {
        queued.subtract(frame.body.as_ref().map_or(0, job_bytes));
        encode(&frame)
    };
    while let Some(frame) = rx.recv().await {
        let mut result = write.feed(take(frame)).await;
        while result.is_ok()
            && let Ok(next) = rx.try_recv()
        {
            result = write.feed(take(next)).await;
        }
        if result.is_ok() {
            result = SinkExt::<Bytes>::flush(&mut write).await;
        }
        if let Err(e) = result {
            log::debug!("link.write failed error={e}");
            return;
        }
    }
}

/// Receives the next frame; `None` if the link has ended or the frame is malformed.
pub async fn recv(reader: &mut FrameReader) -> Option<Body> {
    match reader.next().await? {
        Ok(bytes) => match decode(bytes) {
            Ok(body) => body,
            Err(e) => {
                log::warn!("link.read malformed error={e}");
                None
            }
        },
        Err(e) => {
            log::debug!("link.read failed error={e}");
            None
        }
    }
}
