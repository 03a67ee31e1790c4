//! A TCP proxy on the loopback interface that delays, blocks or resets connections.

use crate::SoakError;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// What the proxy does with the data of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards the data.
    #[default]
    Pass,
    /// Forwards the data after this delay, in milliseconds.
    Delay(u64),
    /// Holds back data from the client to the target.
    HoldRequests,
    /// Holds back data from the target to the client.
    HoldAnswers,
    /// Holds back data in both directions; new connections are still accepted.
    Silent,
    /// Resets all connections, including new ones.
    Reset,
}

impl Mode {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Mode::Silent => true,
            Mode::HoldRequests => direction == Direction::ToTarget,
            Mode::HoldAnswers => direction == Direction::FromTarget,
            Mode::Pass | Mode::Delay(_) | Mode::Reset => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// The address that the proxy listens on.
    pub addr: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Opens a proxy in front of `target`.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn open(target: SocketAddr) -> Result<Proxy, SoakError> {
        Proxy::open_with_generations(target, None).await
    }

    /// Opens a proxy in front of `target` that resets its connections whenever `generations`
    /// changes, and drops the data that it holds back. So nothing that was sent to one incarnation
    /// of the target reaches the next one.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn open_with_generations(
        target: SocketAddr,
        generations: Option<watch::Receiver<u64>>,
    ) -> Result<Proxy, SoakError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Pass);
        tokio::spawn(accept(listener, target, mode.clone(), generations));
        Ok(Proxy { addr, mode })
    }

    /// Sets the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: watch::Sender<Mode>,
    generations: Option<watch::Receiver<u64>>,
) {
    while let Ok((from, _)) = listener.accept().await {
        if *mode.borrow() == Mode::Reset {
            reset_on_close(&from);
            continue;
        }
        let generation = generations.clone().map(|mut generations| {
            generations.mark_unchanged();
            generations
        });
        tokio::spawn(forward(from, target, mode.subscribe(), generation));
    }
}

/// Makes closing the connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    // If this fails, the connection closes normally, which is also a failure for its peer.
    let _ = stream.set_zero_linger();
}

/// Returns once the target's generation changes; never if there is none.
async fn generation_changed(generation: Option<watch::Receiver<u64>>) {
    let Some(mut generation) = generation else { return std::future::pending().await };
    // The worker was removed for good, so its connections end without the proxy.
    if generation.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Forwards both directions of a connection until one ends.
async fn forward(
    from: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    generation: Option<watch::Receiver<u64>>,
) {
    let Ok(to) = TcpStream::connect(target).await else {
        reset_on_close(&from);
        return;
    };
    let (mut from_read, mut from_write) = from.into_split();
    let (mut to_read, mut to_write) = to.into_split();
    tokio::select! {
        () = copy_one_way(&mut from_read, &mut to_write, Direction::ToTarget, mode.clone()) => {}
        () = copy_one_way(&mut to_read, &mut from_write, Direction::FromTarget, mode.clone()) => {}
        _ = mode.wait_for(|m| *m == Mode::Reset) => {
            reset_on_close(from_read.as_ref());
            reset_on_close(to_read.as_ref());
        }
        () = generation_changed(generation) => {
            reset_on_close(from_read.as_ref());
            reset_on_close(to_read.as_ref());
        }
    }
}

/// Forwards one direction of a connection until it ends.
async fn copy_one_way(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok(n @ 1..) = from.read(&mut buf).await else { return };
        if mode.wait_for(|m| !m.holds(direction)).await.is_err() {
            return;
        }
        let current = *mode.borrow();
        if let Mode::Delay(ms) = current {
            sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
