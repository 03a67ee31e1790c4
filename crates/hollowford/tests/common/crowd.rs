//! Crowds of connections that send what they like and then stay open.
#![allow(clippy::expect_used, dead_code)]

use super::footprint::bytes_on_their_way;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Size of a write when a connection sends all at once.
const WHOLE: usize = usize::MAX;
/// A connection whose write makes no progress for this long has sent what the process takes.
const STALL_TIME: Duration = Duration::from_secs(2);

/// Number of checks without progress after which a process takes no more, within [`STALL_TIME`].
const STALLED_CHECKS: u32 = 10;
/// After so many failed attempts in a row the process takes no more connections.
const MAX_FAILED_CONNECTS: usize = 3;

/// What one connection sends.
#[derive(Clone, Debug)]
pub struct Script {
    bytes: Vec<Vec<u8>>,
    repeated: Vec<u8>,
    times: usize,
    piece: usize,
}

impl Script {
    /// Sends `bytes` and nothing more.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Script {
        Script { bytes: vec![bytes.into()], repeated: Vec::new(), times: 0, piece: WHOLE }
    }

    /// Sends nothing.
    pub fn silent() -> Script {
        Script::new(Vec::new())
    }

    /// Sends `bytes` after the bytes so far.
    pub fn then(mut self, bytes: impl Into<Vec<u8>>) -> Script {
        self.bytes.push(bytes.into());
        self
    }

    /// Sends `bytes` `times` times after everything else.
    pub fn repeat(self, bytes: impl Into<Vec<u8>>, times: usize) -> Script {
        Script { repeated: bytes.into(), times, ..self }
    }

    /// Sends at most `piece` bytes with one write, and lets others send in between.
    pub fn in_pieces_of(self, piece: usize) -> Script {
        Script { piece, ..self }
    }

    /// Sends everything. Stops early if the process closes the connection or takes no more.
    async fn send(&self, stream: &mut TcpStream) {
        let once = self.bytes.iter();
        let all = once.chain(std::iter::repeat_n(&self.repeated, self.times));
        for piece in all.flat_map(|bytes| bytes.chunks(self.piece)) {
            if !write_all(stream, piece).await {
                return;
            }
            if self.piece != WHOLE {
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Writes all bytes. Returns false if the process closes the connection or takes no more.
async fn write_all(stream: &mut TcpStream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match timeout(STALL_TIME, stream.write(bytes)).await {
            Ok(Ok(n)) if n > 0 => bytes = &bytes[n..],
            _ => return false,
        }
    }
    true
}

/// Connections that stay open, unless the process closes them, until the crowd is dropped.
#[derive(Debug)]
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `size` connections to `addr`, or as many as the process takes. Returns when each has
    /// sent its script or as much of it as the process takes.
    pub async fn open(addr: SocketAddr, size: usize, script: impl Fn(usize) -> Script) -> Crowd {
        let mut sending = JoinSet::new();
        for (i, mut stream) in connect_all(addr, size).await.into_iter().enumerate() {
            let script = script(i);
            sending.spawn(async move {
                script.send(&mut stream).await;
                (i, stream)
            });
        }
        let mut sent = sending.join_all().await;
        sent.sort_by_key(|(i, _)| *i);
        let crowd = Crowd { streams: sent.into_iter().map(|(_, stream)| stream).collect() };
        wait_until_taken(addr).await;
        crowd
    }

    /// Returns the status of the first answer on each connection; `None` where none has come.
    pub fn statuses(&self) -> Vec<Option<u16>> {
        let status = |stream: &TcpStream| {
            let mut buf = [0; 64];
            let n = stream.try_read(&mut buf).ok()?;
            let line = std::str::from_utf8(&buf[..n]).ok()?;
            line.split(' ').nth(1)?.parse().ok()
        };
        self.streams.iter().map(status).collect()
    }
}

/// Waits until the process at `addr` has read all that was sent to it, or takes no more. Others may
/// send a little to the same address meanwhile.
pub async fn wait_until_taken(addr: SocketAddr) {
    let (mut least, mut stalled) = (u64::MAX, 0);
    while least > 0 && stalled < STALLED_CHECKS {
        sleep(STALL_TIME / STALLED_CHECKS).await;
        let left = bytes_on_their_way(addr);
        stalled = if left < least { 0 } else { stalled + 1 };
        least = least.min(left);
    }
}

/// Opens connections one after the other, so that none is lost in a full queue of the listener.
async fn connect_all(addr: SocketAddr, size: usize) -> Vec<TcpStream> {
    let mut open = Vec::new();
    let mut failed_in_a_row = 0;
    while open.len() < size && failed_in_a_row < MAX_FAILED_CONNECTS {
        match timeout(STALL_TIME, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                open.push(stream);
                failed_in_a_row = 0;
            }
            _ => failed_in_a_row += 1,
        }
    }
    open
}
