//! Outgoing links, one to each other process.

use super::listener::send_all;
use super::{
    HEARTBEAT_INTERVAL, MAX_QUEUED_FRAMES, PeerMsg, SILENCE_TIMEOUT, heartbeat, record_heartbeat,
};
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
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// A message to be sent on a link.
enum Outgoing {
    Call(Box<Call>, oneshot::Sender<Reply>),
    Message(Box<Body>),
}

/// An outgoing link. Its task is aborted when it is dropped.
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

/// All outgoing links, by process.
#[derive(Default)]
pub(super) struct Dialers {
    links: BTreeMap<String, Dialer>,
}

impl Dialers {
    /// Opens links to new members and closes links to removed members.
    pub fn update(&mut self, shared: &Arc<Shared>) {
        let members = shared.members.all();
        self.links
            .retain(|p, dialer| members.get(p).is_some_and(|member| member.addr == dialer.addr));
        for (process, member) in members {
            self.links.entry(process.clone()).or_insert_with(|| {
                let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
                let task =
                    tokio::spawn(keep_open(shared.clone(), process, member.addr.clone(), rx));
                Dialer { addr: member.addr, tx, task }
            });
        }
    }

    /// Sends a message. A call that can't be sent fails at once: its reply channel is dropped.
    pub fn send(&mut self, shared: &Shared, msg: PeerMsg) {
        let count_full = || shared.metrics.ring_full.with_label_values(&["peer_link"]).inc();
        match msg {
            PeerMsg::Call { process, call, reply } => {
                if let Some(dialer) = self.links.get(&process)
                    && dialer.tx.try_send(Outgoing::Call(call, reply)).is_err()
                {
                    count_full();
                }
            }
            PeerMsg::Broadcast(body) => {
                for dialer in self.links.values() {
                    if dialer.tx.try_send(Outgoing::Message(body.clone())).is_err() {
                        count_full();
                    }
                }
            }
        }
    }
}

/// Keeps one link open: reconnects whenever it ends.
async fn keep_open(
    shared: Arc<Shared>,
    process: String,
    addr: String,
    mut rx: mpsc::Receiver<Outgoing>,
) {
    loop {
        if let Ok(Ok(link)) =
            tokio::time::timeout(CONNECT_TIMEOUT, open(&shared, &process, &addr)).await
        {
            // The reason why a link ended doesn't matter: it is opened again.
            let _ = run_link(&shared, &process, link, &mut rx).await;
        }
        // Queued calls fail now, so that the router retries them, maybe with another owner.
        while rx.try_recv().is_ok() {}
        tokio::time::sleep(RECONNECT_DELAY).await;
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

async fn run_link(
    shared: &Shared,
    to: &str,
    mut link: Frames<TcpStream>,
    rx: &mut mpsc::Receiver<Outgoing>,
) -> Result<(), FrameError> {
    let (frames_tx, mut frames_rx) = mpsc::channel::<Frame>(MAX_QUEUED_FRAMES);
    let mut pending: HashMap<u64, oneshot::Sender<Reply>> = HashMap::new();
    let mut next_id = 1;
    let mut heartbeat_ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut last_received_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            frame = recv::<_, Frame>(&mut link) => {
                last_received_at = tokio::time::Instant::now();
                let frame = frame?;
                match frame.body {
                    Some(Body::Reply(reply)) => {
                        if let Some(tx) = pending.remove(&frame.id) {
                            // The caller may have disconnected.
                            let _ = tx.send(reply);
                        }
                    }
                    Some(Body::Heartbeat(received)) => record_heartbeat(shared, &received),
                    _ => {}
                }
            }
            Some(outgoing) = rx.recv() => {
                queue_frame(outgoing, &frames_tx, &mut pending, &mut next_id);
                while let Ok(more) = rx.try_recv() {
                    queue_frame(more, &frames_tx, &mut pending, &mut next_id);
                }
            }
            Some(frame) = frames_rx.recv() => send_all(&mut link, frame, &mut frames_rx).await?,
            _ = heartbeat_ticks.tick() => {
                if last_received_at.elapsed() > SILENCE_TIMEOUT {
                    return Err(FrameError::Closed);
                }
                pending.retain(|_, tx| !tx.is_closed());
                send(&mut link, &heartbeat(shared, to)).await?;
            }
        }
    }
}

/// Queues a message as a frame. If the queue is full, the message is dropped, and a call fails at
/// once.
fn queue_frame(
    outgoing: Outgoing,
    frames: &mpsc::Sender<Frame>,
    pending: &mut HashMap<u64, oneshot::Sender<Reply>>,
    next_id: &mut u64,
) {
    let id = *next_id;
    *next_id += 1;
    let (body, reply) = match outgoing {
        Outgoing::Call(call, reply) => (Body::Call(*call), Some(reply)),
        Outgoing::Message(body) => (*body, None),
    };
    if frames.try_send(Frame { id, body: Some(body) }).is_ok()
        && let Some(reply) = reply
    {
        pending.insert(id, reply);
    }
}
