//! The event loop of the `peers` thread, and the links that other processes open.

use super::dialer::Dialers;
use super::{HEARTBEAT_INTERVAL, MAX_QUEUED_FRAMES, SILENCE_TIMEOUT, heartbeat, record_heartbeat};
use crate::decide::DecideMsg;
use crate::owners::Owner;
use crate::shared::Shared;
use futures::SinkExt;
use hollowford_connections::{Connection, ConnectionStream, Listener, accept};
use hollowford_core::{Epoch, Error, ErrorKind, PartitionId};
use hollowford_protocol::peer::{Body, Call, Challenge, Frame, Hello, Refused, Reply, Said};
use hollowford_protocol::{FrameError, Frames, MAX_FRAME_BYTES, framed, mac, recv, send};
use prost::Message;
use prost::bytes::Bytes;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

const NONCE_LEN: usize = 16;
/// Size limit of the frame with which a process authenticates itself.
const MAX_HELLO_BYTES: usize = 4 << 10;
/// Time limit of the authentication of a new link.
const HELLO_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Runs the event loop. Never returns.
pub(crate) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    tokio::spawn(accept_links(shared.clone(), listener));
    let mut dialers = Dialers::default();
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            msg = shared.peers.recv() => dialers.send(&shared, msg),
            _ = ticks.tick() => dialers.update(&shared),
        }
    }
}

/// Accepts links for as long as the process runs.
async fn accept_links(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = accept(&shared.connections, &listener, Listener::Peers).await;
        tokio::spawn(serve(shared.clone(), stream));
    }
}

/// Serves a link until it ends or, before its process has authenticated itself, is closed for others.
async fn serve(shared: Arc<Shared>, stream: ConnectionStream) {
    let (stream, connection) = stream.into_parts();
    tokio::select! {
        () = serve_link(&shared, stream, &connection) => {}
        () = connection.closing() => {}
    }
}

async fn serve_link(shared: &Arc<Shared>, stream: TcpStream, connection: &Connection) {
    // Without it, small frames are delayed. An error is harmless, since the link still works.
    let _ = stream.set_nodelay(true);
    let mut link = framed(stream);
    link.codec_mut().set_max_frame_length(MAX_HELLO_BYTES);
    if let Ok(Some(process)) =
        tokio::time::timeout(HELLO_TIMEOUT, authenticate(shared, &mut link)).await
    {
        connection.establish();
        link.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
        // The reason why a link ended doesn't matter: the other process opens it again.
        let _ = run_link(shared, &process, link).await;
    }
}

/// Authenticates the other process by a challenge that requires the peer key. Returns its name,
/// or `None` if it fails.
async fn authenticate(shared: &Shared, link: &mut Frames<TcpStream>) -> Option<String> {
    let nonce: Vec<u8> = std::iter::repeat_with(|| fastrand::u8(..)).take(NONCE_LEN).collect();
    let challenge = Body::Challenge(Challenge { nonce: nonce.clone() });
    send(link, &Frame { id: 0, body: Some(challenge) }).await.ok()?;
    let hello: Frame = recv(link).await.ok()?;
    let Some(Body::Hello(Hello { process, mac: proof })) = hello.body else {
        return None;
    };
    let expected = mac(shared.settings.peer_key.expose().as_bytes(), &nonce, &process);
    if proof != expected {
        log::warn!("peer={process} refused: it does not have the peer key");
        return None;
    }
    Some(process)
}

async fn run_link(
    shared: &Arc<Shared>,
    process: &str,
    mut link: Frames<TcpStream>,
) -> Result<(), FrameError> {
    let (tx, mut rx) = mpsc::channel::<Frame>(MAX_QUEUED_FRAMES);
    let mut heartbeat_ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut last_received_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            frame = recv(&mut link) => {
                last_received_at = tokio::time::Instant::now();
                handle_frame(shared, frame?, &tx);
            }
            Some(frame) = rx.recv() => send_all(&mut link, frame, &mut rx).await?,
            _ = heartbeat_ticks.tick() => {
                if last_received_at.elapsed() > SILENCE_TIMEOUT {
                    return Err(FrameError::Closed);
                }
                send(&mut link, &heartbeat(shared, process)).await?;
            }
        }
    }
}

/// Sends a frame and all frames queued behind it in one write.
pub(super) async fn send_all(
    link: &mut Frames<TcpStream>,
    first: Frame,
    rx: &mut mpsc::Receiver<Frame>,
) -> Result<(), FrameError> {
    let mut frame = Some(first);
    while let Some(next) = frame {
        let bytes = Bytes::from(next.encode_to_vec());
        SinkExt::<Bytes>::feed(link, bytes).await?;
        frame = rx.try_recv().ok();
    }
    SinkExt::<Bytes>::flush(link).await?;
    Ok(())
}

fn handle_frame(shared: &Arc<Shared>, frame: Frame, tx: &mpsc::Sender<Frame>) {
    match frame.body {
        Some(Body::Heartbeat(received)) => record_heartbeat(shared, &received),
        Some(Body::Released(r)) => shared.record_released(r.partition),
        Some(Body::Took(took)) => {
            let owner = Owner { process: took.process, epoch: Epoch(took.epoch) };
            shared.owners.set(PartitionId(took.partition), Some(owner));
        }
        Some(Body::Call(call)) => handle_call(shared, frame.id, call, tx),
        // The process that opened the link sends no other frames.
        Some(Body::Challenge(_) | Body::Hello(_) | Body::Reply(_)) | None => {}
    }
}

fn handle_call(shared: &Arc<Shared>, id: u64, call: Call, tx: &mpsc::Sender<Frame>) {
    let (reply, answer) = oneshot::channel();
    if let Err(DecideMsg::Call { reply, .. }) =
        shared.decide.push(DecideMsg::Call { call: Box::new(call), reply })
    {
        shared.metrics.ring_full.with_label_values(&["decide"]).inc();
        let error = Error::new(ErrorKind::QueueFull, "the owner accepts no more calls now");
        // The receiver still exists: the task below awaits it.
        let _ = reply.send(Err(error));
    }
    let tx = tx.clone();
    tokio::spawn(async move {
        // The call is dropped without an answer when this process drops the partition.
        let said = answer.await.unwrap_or_else(|_| {
            Err(Error::new(ErrorKind::Moved, "the owner no longer has the partition"))
        });
        let said = said.unwrap_or_else(|e| Said::Refused(Refused::from(&e)));
        let body = Some(Body::Reply(Reply { said: Some(said) }));
        // If the link is closed, the router of the calling process retries the call.
        let _ = tx.send(Frame { id, body }).await;
    });
}
