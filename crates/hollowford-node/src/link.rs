//! Links between processes: frames over TCP.

use crate::packed::{pack, unpack};
use crate::wire::{Body, Frame};
use bytes::{Bytes, BytesMut};
use futures::stream::FuturesUnordered;
use futures::{SinkExt, StreamExt};
use prost::Message;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Longest time to open a link within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A link that hasn't opened after so long is tried once more beside it, and so on: a process to
/// which hundreds open links at once has no room for some of them, and the system itself tries
/// again only after a second.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(110);
/// Tries are apart by up to so much more, so that those which found no room don't come together
/// again.
const MAX_ATTEMPT_JITTER: Duration = Duration::from_millis(60);
/// How often a link is tried within [`CONNECT_TIMEOUT`].
const MAX_ATTEMPTS: u32 = 4;
/// Largest frame: a job's specification and some room.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// A frame of so many bytes is packed, if that makes it smaller. Templates shrink to some two
/// thirds; below this the packing's own bytes eat up what it saves.
const MIN_PACKED_BYTES: usize = 256;
/// Frames that wait to be written; a link whose peer doesn't read that many is given up.
const OUTBOX_CAPACITY: usize = 4_096;

/// Reads frames.
pub type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Sends frames to a peer without waiting.
#[derive(Clone, Debug)]
pub struct Outbox {
    tx: mpsc::Sender<Frame>,
}

impl Outbox {
    /// Makes one whose frames nobody reads.
    #[cfg(test)]
    pub fn disconnected() -> Outbox {
        Outbox::for_test().0
    }

    /// Makes one whose frames a test reads.
    #[cfg(test)]
    pub fn for_test() -> (Outbox, mpsc::Receiver<Frame>) {
        let (tx, rx) = mpsc::channel(OUTBOX_CAPACITY);
        (Outbox { tx }, rx)
    }

    /// Sends a frame. Tells whether the link still takes frames.
    pub fn send(&self, body: Body) -> bool {
        self.tx.try_send(body.into()).is_ok()
    }
}

/// Opens a link.
///
/// # Errors
/// When the address doesn't answer in time, or refuses.
pub async fn connect(addr: SocketAddr) -> io::Result<(FrameReader, Outbox)> {
    split(open_with_retries(|| TcpStream::connect(addr)).await?)
}

/// Makes tries until the first one ends, well or not: one that is refused tells as much as another.
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

/// Asks the process at `addr` a question, on a link of its own; none without an answer within
/// `limit`.
pub async fn request(addr: SocketAddr, body: Body, limit: Duration) -> Option<Body> {
    let (mut reader, outbox) = connect(addr).await.ok()?;
    outbox.send(body);
    timeout(limit, read_frame(&mut reader)).await.ok().flatten()
}

/// Puts frames on a stream, and starts its writer.
///
/// # Errors
/// When the stream's options can't be set.
pub fn split(stream: TcpStream) -> io::Result<(FrameReader, Outbox)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let codec = || LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let (tx, rx) = mpsc::channel(OUTBOX_CAPACITY);
    tokio::spawn(write_all(FramedWrite::new(write, codec()), rx));
    Ok((FramedRead::new(read, codec()), Outbox { tx }))
}

/// Returns a frame's bytes, packed where that saves some: calls to workers with their templates,
/// which are most of what an owner sends. Packing takes some 0.3 MB while it lasts, so the members,
/// which send little, do without.
pub(crate) fn encode(frame: &Frame) -> Bytes {
    let plain = frame.encode_to_vec();
    let may_shrink =
        plain.len() >= MIN_PACKED_BYTES && matches!(frame.body, Some(Body::Delegated(_)));
    // A buffer in memory takes all that is written to it; if not, the frame goes as it is.
    let packed = may_shrink.then(|| pack(&plain)).and_then(Result::ok);
    let packed = packed.map(|bytes| Frame::from(Body::Packed(bytes)).encode_to_vec());
    match packed.filter(|p| p.len() < plain.len()) {
        Some(packed) => packed.into(),
        None => plain.into(),
    }
}

/// Reads a frame's bytes.
///
/// # Errors
/// When they are not a frame, or a packed one holds something else.
pub(crate) fn decode(bytes: BytesMut) -> io::Result<Option<Body>> {
    match Frame::decode(bytes)?.body {
        Some(Body::Packed(packed)) => {
            let plain = unpack(&packed, MAX_FRAME_BYTES)?;
            match Frame::decode(&plain[..])?.body {
                Some(Body::Packed(_)) => {
                    Err(io::Error::new(ErrorKind::InvalidData, "packed twice"))
                }
                body => Ok(body),
            }
        }
        body => Ok(body),
    }
}

/// Writes frames until the link fails or no one sends any more.
async fn write_all(
    mut write: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut rx: mpsc::Receiver<Frame>,
) {
    while let Some(frame) = rx.recv().await {
        let mut result = write.feed(encode(&frame)).await;
        while result.is_ok()
            && let Ok(next) = rx.try_recv()
        {
            result = write.feed(encode(&next)).await;
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

/// Reads the next frame; none when the link has ended or said what can't be read.
pub async fn read_frame(reader: &mut FrameReader) -> Option<Body> {
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
