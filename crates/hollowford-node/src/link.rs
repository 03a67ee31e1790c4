//! Links between processes: frames over TCP.

use crate::compression::{compress, decompress};
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
const TRY_AGAIN: Duration = Duration::from_millis(110);
/// Tries are apart by up to so much more, so that those which found no room don't come together
/// again.
const TRY_SPREAD: Duration = Duration::from_millis(60);
/// How often a link is tried within [`CONNECT_TIMEOUT`].
const TRIES: u32 = 4;
/// Largest frame: a job's specification and some room.
const FRAME_LIMIT: usize = 1 << 20;
/// A frame of so many bytes is packed, if that makes it smaller. Templates shrink to some two
/// thirds; below this the packing's own bytes eat up what it saves.
const PACK_FROM: usize = 256;
/// Frames that wait to be written; a link whose peer doesn't read that many is given up.
const OUTBOX: usize = 4_096;

/// Reads frames.
pub type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Sends frames to a peer without waiting.
#[derive(Clone, Debug)]
pub struct Outbox {
    tx: mpsc::Sender<Frame>,
}

impl Outbox {
    /// Makes one whose frames nobody reads.
    #[cfg(test)]
    pub fn to_nowhere() -> Outbox {
        Outbox::to_test().0
    }

    /// Makes one whose frames a test reads.
    #[cfg(test)]
    pub fn to_test() -> (Outbox, mpsc::Receiver<Frame>) {
        let (tx, rx) = mpsc::channel(OUTBOX);
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
pub async fn connect(addr: SocketAddr) -> io::Result<(Reader, Outbox)> {
    split(open(|| TcpStream::connect(addr)).await?)
}

/// Makes tries until the first one ends, well or not: one that is refused tells as much as another.
pub(crate) async fn open<T, F>(try_once: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let wait = |n: u32| TRY_AGAIN * n + TRY_SPREAD.mul_f64(fastrand::f64()) * n.min(1);
    let tries = (0..TRIES).map(|n| {
        let (wait, try_once) = (wait(n), &try_once);
        async move {
            sleep(wait).await;
            try_once().await
        }
    });
    let mut tries: FuturesUnordered<_> = tries.collect();
    match timeout(CONNECT_TIMEOUT, tries.next()).await? {
        Some(ended) => ended,
        None => Err(ErrorKind::TimedOut.into()),
    }
}

/// Asks the process at `addr` a question, on a link of its own; none without an answer within
/// `limit`.
pub async fn ask(addr: SocketAddr, question: Body, limit: Duration) -> Option<Body> {
    let (mut reader, outbox) = connect(addr).await.ok()?;
    outbox.send(question);
    timeout(limit, next(&mut reader)).await.ok().flatten()
}

/// Puts frames on a stream, and starts its writer.
///
/// # Errors
/// When the stream's options can't be set.
pub fn split(stream: TcpStream) -> io::Result<(Reader, Outbox)> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let codec = || LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
    let (tx, rx) = mpsc::channel(OUTBOX);
    tokio::spawn(write_all(FramedWrite::new(write, codec()), rx));
    Ok((FramedRead::new(read, codec()), Outbox { tx }))
}

/// Returns a frame's bytes, packed where that saves some: calls to workers with their templates,
/// which are most of what an owner sends. Packing takes some 0.3 MB while it lasts, so the members,
/// which send little, do without.
pub(crate) fn encode(frame: &Frame) -> Bytes {
    let plain = frame.encode_to_vec();
    let worth_it = plain.len() >= PACK_FROM && matches!(frame.body, Some(Body::Delegated(_)));
    // A buffer in memory takes all that is written to it; if not, the frame goes as it is.
    let packed = worth_it.then(|| compress(&plain)).and_then(Result::ok);
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
            let plain = decompress(&packed, FRAME_LIMIT)?;
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
pub async fn next(reader: &mut Reader) -> Option<Body> {
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
