//! Links between processes: frames over TCP.

use crate::wire::{Body, Frame};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::Message;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Longest time to open a link within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest frame: a job's specification and some room.
const FRAME_LIMIT: usize = 1 << 20;
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
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    split(stream)
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

/// Writes frames until the link fails or no one sends any more.
async fn write_all(
    mut write: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut rx: mpsc::Receiver<Frame>,
) {
    while let Some(frame) = rx.recv().await {
        let bytes = Bytes::from(frame.encode_to_vec());
        let mut result = write.feed(bytes).await;
        while result.is_ok()
            && let Ok(next) = rx.try_recv()
        {
            result = write.feed(Bytes::from(next.encode_to_vec())).await;
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
        Ok(bytes) => match Frame::decode(bytes) {
            Ok(frame) => frame.body,
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
