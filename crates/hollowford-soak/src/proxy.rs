//! A proxy on the loopback interface that delays, resets, cuts or silences channels.

use crate::SoakError;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Bytes read at a time.
const CHUNK: usize = 16 << 10;

/// What the proxy does to what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Lets it pass.
    #[default]
    Pass,
    /// Lets it pass so many milliseconds later.
    Delay(u64),
    /// Holds what comes from the opener.
    HoldRequests,
    /// Holds what goes back to the opener.
    HoldAnswers,
    /// Holds both; new channels open and say nothing.
    Silent,
    /// Ends every channel, and each new one at once.
    Reset,
}

impl Mode {
    fn holds(self, way: Way) -> bool {
        match self {
            Mode::Silent => true,
            Mode::HoldRequests => way == Way::There,
            Mode::HoldAnswers => way == Way::Back,
            Mode::Pass | Mode::Delay(_) | Mode::Reset => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Opens a proxy in front of `target`.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn open(target: SocketAddr) -> Result<Proxy, SoakError> {
        Proxy::open_to_lives(target, None).await
    }

    /// Opens a proxy in front of `target`, whose channels end whenever `lives` changes, with what
    /// the proxy holds: nothing that was sent to one life reaches the next one.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn open_to_lives(
        target: SocketAddr,
        lives: Option<watch::Receiver<u64>>,
    ) -> Result<Proxy, SoakError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Pass);
        tokio::spawn(accept(listener, target, mode.clone(), lives));
        Ok(Proxy { addr, mode })
    }

    /// Sets what is done from now on, also to open channels.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mode: watch::Sender<Mode>,
    lives: Option<watch::Receiver<u64>>,
) {
    while let Ok((from, _)) = listener.accept().await {
        if *mode.borrow() == Mode::Reset {
            reset(&from);
            continue;
        }
        let life = lives.clone().map(|mut lives| {
            lives.mark_unchanged();
            lives
        });
        tokio::spawn(join(from, target, mode.subscribe(), life));
    }
}

/// Makes the end of the channel a reset.
fn reset(stream: &TcpStream) {
    // Without it the channel ends in the ordinary way, which is a failure as well.
    let _ = stream.set_zero_linger();
}

/// Ends with the life at the other end of a channel.
async fn over(life: Option<watch::Receiver<u64>>) {
    let Some(mut life) = life else { return std::future::pending().await };
    // The worker was taken away for good: its channels answer for themselves.
    if life.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Passes on both ways of a channel until one ends.
async fn join(
    from: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    life: Option<watch::Receiver<u64>>,
) {
    let Ok(to) = TcpStream::connect(target).await else {
        reset(&from);
        return;
    };
    let (mut from_read, mut from_write) = from.into_split();
    let (mut to_read, mut to_write) = to.into_split();
    tokio::select! {
        () = pass(&mut from_read, &mut to_write, Way::There, mode.clone()) => {}
        () = pass(&mut to_read, &mut from_write, Way::Back, mode.clone()) => {}
        _ = mode.wait_for(|m| *m == Mode::Reset) => {
            reset(from_read.as_ref());
            reset(to_read.as_ref());
        }
        () = over(life) => {
            reset(from_read.as_ref());
            reset(to_read.as_ref());
        }
    }
}

/// Passes on one way until it ends.
async fn pass(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    way: Way,
    mut mode: watch::Receiver<Mode>,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        let Ok(n @ 1..) = from.read(&mut buf).await else { return };
        if mode.wait_for(|m| !m.holds(way)).await.is_err() {
            return;
        }
        let now = *mode.borrow();
        if let Mode::Delay(ms) = now {
            sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
