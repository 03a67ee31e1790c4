//! The links that this process opens, one to each other process.

use super::listener::send_all;
use super::{FRAMES_BOUND, HEARTBEAT_EVERY, PeerMsg, SILENCE, heard, heartbeat};
use crate::shared::Shared;
use hollowford_protocol::peer::{Body, Call, Frame, Hello, Reply};
use hollowford_protocol::{FrameError, Frames, framed, mac, recv, send};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY: Duration = Duration::from_millis(100);

/// What a link is to send.
enum Outgoing {
    Call(Box<Call>, oneshot::Sender<Reply>),
    Tell(Box<Body>),
}

/// One link.
struct Dialer {
    addr: String,
    tx: mpsc::Sender<Outgoing>,
    task: JoinHandle<()>,
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// All links that this process opens.
#[derive(Default)]
pub(super) struct Dialers {
    map: BTreeMap<String, Dialer>,
}

impl Dialers {
    /// Opens links to new processes and closes those to forgotten ones.
    pub fn follow(&mut self, shared: &Arc<Shared>) {
        let members = shared.members.all();
        self.map.retain(|p, d| members.get(p).is_some_and(|m| m.addr == d.addr));
        for (process, member) in members {
            self.map.entry(process.clone()).or_insert_with(|| {
                let (tx, rx) = mpsc::channel(FRAMES_BOUND);
                let task = tokio::spawn(hold(shared.clone(), process, member.addr.clone(), rx));
                Dialer { addr: member.addr, tx, task }
            });
        }
    }

    /// Sends what the duty was told to send. A call that can't be sent fails at
    /// once, by dropping its reply channel.
    pub fn handle(&mut self, shared: &Shared, msg: PeerMsg) {
        let full = || shared.metrics.ring_full.with_label_values(&["peer_link"]).inc();
        match msg {
            PeerMsg::Call { process, call, reply } => {
                if let Some(d) = self.map.get(&process)
                    && d.tx.try_send(Outgoing::Call(call, reply)).is_err()
                {
                    full();
                }
            }
            PeerMsg::Tell(body) => {
                for d in self.map.values() {
                    if d.tx.try_send(Outgoing::Tell(body.clone())).is_err() {
                        full();
                    }
                }
            }
        }
    }
}

/// Keeps one link open.
async fn hold(
    shared: Arc<Shared>,
    process: String,
    addr: String,
    mut rx: mpsc::Receiver<Outgoing>,
) {
    loop {
        if let Ok(Ok(link)) =
            tokio::time::timeout(CONNECT_TIMEOUT, open(&shared, &process, &addr)).await
        {
            // The end of a link is no news: it is opened again.
            let _ = talk(&shared, &process, link, &mut rx).await;
        }
        // Calls that waited meanwhile fail now, so that their entry asks elsewhere.
        while rx.try_recv().is_ok() {}
        tokio::time::sleep(RETRY).await;
    }
}

async fn open(shared: &Shared, to: &str, addr: &str) -> Result<Frames<TcpStream>, FrameError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let mut link = framed(stream);
    let challenge: Frame = recv(&mut link).await?;
    let Some(Body::Challenge(challenge)) = challenge.body else {
        return Err(FrameError::Closed);
    };
    let process = shared.settings.process.clone();
    let key = shared.settings.peer_key.expose().as_bytes();
    let mac = mac(key, &challenge.nonce, &process);
    send(&mut link, &Frame { id: 0, body: Some(Body::Hello(Hello { process, mac })) }).await?;
    send(&mut link, &heartbeat(shared, to)).await?;
    Ok(link)
}

async fn talk(
    shared: &Shared,
    to: &str,
    mut link: Frames<TcpStream>,
    rx: &mut mpsc::Receiver<Outgoing>,
) -> Result<(), FrameError> {
    let (frames_tx, mut frames_rx) = mpsc::channel::<Frame>(FRAMES_BOUND);
    let mut pending: HashMap<u64, oneshot::Sender<Reply>> = HashMap::new();
    let mut next_id = 1;
    let mut beats = tokio::time::interval(HEARTBEAT_EVERY);
    let mut heard_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            frame = recv::<_, Frame>(&mut link) => {
                heard_at = tokio::time::Instant::now();
                let frame = frame?;
                match frame.body {
                    Some(Body::Reply(reply)) => {
                        if let Some(tx) = pending.remove(&frame.id) {
                            // The caller may have gone.
                            let _ = tx.send(reply);
                        }
                    }
                    Some(Body::Heartbeat(beat)) => heard(shared, &beat),
                    _ => {}
                }
            }
            Some(out) = rx.recv() => {
                queue(out, &frames_tx, &mut pending, &mut next_id);
                while let Ok(more) = rx.try_recv() {
                    queue(more, &frames_tx, &mut pending, &mut next_id);
                }
            }
            Some(frame) = frames_rx.recv() => send_all(&mut link, frame, &mut frames_rx).await?,
            _ = beats.tick() => {
                if heard_at.elapsed() > SILENCE {
                    return Err(FrameError::Closed);
                }
                pending.retain(|_, tx| !tx.is_closed());
                send(&mut link, &heartbeat(shared, to)).await?;
            }
        }
    }
}

/// Turns what is to be sent into a frame. A call that finds no room fails at once.
fn queue(
    out: Outgoing,
    frames: &mpsc::Sender<Frame>,
    pending: &mut HashMap<u64, oneshot::Sender<Reply>>,
    next_id: &mut u64,
) {
    let id = *next_id;
    *next_id += 1;
    let (body, reply) = match out {
        Outgoing::Call(call, reply) => (Body::Call(*call), Some(reply)),
        Outgoing::Tell(body) => (*body, None),
    };
    if frames.try_send(Frame { id, body: Some(body) }).is_ok()
        && let Some(reply) = reply
    {
        pending.insert(id, reply);
    }
}
