//! Links that other processes open to this one.

use crate::calls::decode_advice;
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::link::{self, FrameReader, Outbox};
use crate::members::LinkId;
use crate::partition::{Partition, Route};
use crate::shared::Shared;
use crate::wire::{Advice, Body, Heartbeat, Hello, OwnerInfo, Plan};
use hollowford_connections::{self as connections, Connection, ConnectionStream, Listener};
use hollowford_jobs::{AdviceChannel, TaskKey};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Interval of the checks whether limits on links were met.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A link is closed if its first frame doesn't arrive within this time.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A member is removed if no frame arrives within this time: three heartbeats at the longest
/// interval.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a member waits for a process that is about to become the owner. With a slow store,
/// writing the owner row and loading the partition takes seconds.
const OWNER_START_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Interval of heartbeats to a member that waits for this process to become the owner.
const STARTING_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts links for as long as the process runs.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = connections::accept(&shared.connections, &listener, Listener::Peers).await;
        tokio::spawn(serve(shared.clone(), stream));
    }
}

/// Logs when limits on links were met. Never returns.
pub async fn report_limits(shared: Arc<Shared>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        shared.connections.log_if_limited(Listener::Peers);
    }
}

/// Serves a link until it ends or, before its process has introduced itself, is closed for others.
async fn serve(shared: Arc<Shared>, stream: ConnectionStream) {
    let (stream, connection) = stream.into_parts();
    tokio::select! {
        () = serve_link(&shared, stream, &connection) => {}
        () = connection.closing() => {}
    }
}

async fn serve_link(shared: &Arc<Shared>, stream: TcpStream, connection: &Arc<Connection>) {
    let Ok((mut reader, outbox)) = link::split_incoming(stream, connection) else { return };
    let Ok(Some(first)) = timeout(HANDSHAKE_TIMEOUT, link::recv(&mut reader)).await else { return };
    match first {
        Body::Hello(hello) => {
            connection.establish();
            reader.decoder_mut().allow_large_frames();
            serve_member(shared, hello, reader, outbox).await;
        }
        Body::Owner(info) => {
            let partition = partition_of(shared, &info);
            if partition.is_some_and(|p| p.record_owner(&info)) {
                log::info!(
                    "owner.announced partition={} epoch={} address={}",
                    info.partition,
                    info.epoch,
                    info.address
                );
            }
        }
        Body::WhoOwns(request) => {
            let partition = shared.partitions().get(request.partition as usize);
            outbox.send(Body::Owner(
                partition.map(|p| reported_owner(shared, p)).unwrap_or_default(),
            ));
        }
        Body::WhatPlan(_) => {
            outbox.send(Body::Plan(Plan { partitions: shared.partition_count() }));
        }
        other => log::warn!("link.unexpected frame={other:?}"),
    }
}

/// Returns the owner to report to another process. A process that has released the partition
/// doesn't name itself.
fn reported_owner(shared: &Shared, partition: &Partition) -> OwnerInfo {
    let info = partition.owner.borrow().clone();
    let released = info.boot == shared.boot && partition.has_released(info.epoch);
    if released { OwnerInfo::default() } else { info }
}

/// Serves a member for as long as this process owns the partition.
async fn serve_member(shared: &Arc<Shared>, hello: Hello, mut reader: FrameReader, outbox: Outbox) {
    let expected = hello.owner.clone().unwrap_or_default();
    let Some(partition) = partition_of(shared, &expected) else {
        outbox.send(Body::Owner(OwnerInfo::default()));
        return;
    };
    let Some(owner) = wait_for_local_owner(shared, partition, &expected, &outbox).await else {
        let info: OwnerInfo = partition.owner.borrow().clone();
        outbox.send(Body::Owner(info));
        return;
    };
    let link = fastrand::u64(..);
    let address = hello.address.as_str().into();
    owner.send(OwnerMsg::Joined(link, hello, outbox.clone())).await;
    let member = MemberLink { owner, link, address, outbox };
    while !member.owner.is_closed() {
        let Ok(Some(body)) = timeout(MEMBER_TIMEOUT, link::recv(&mut reader)).await else { break };
        member.handle_frame(body).await;
    }
    // The link closes when its last outbox is dropped; the owner drops its copy on this message.
    member.owner.send(OwnerMsg::Left(link)).await;
}

/// Returns the partition that `info` refers to.
fn partition_of<'a>(shared: &'a Shared, info: &OwnerInfo) -> Option<&'a Arc<Partition>> {
    shared.partitions().get(info.partition as usize)
}

/// The owner's end of a link to a member.
struct MemberLink {
    owner: OwnerHandle,
    link: LinkId,
    /// The member's peer address.
    address: Arc<str>,
    outbox: Outbox,
}

impl MemberLink {
    /// Passes a frame from the member on to the owner.
    async fn handle_frame(&self, body: Body) {
        match body {
            Body::Call(call) => self.owner.call_from_link(call, &self.outbox),
            Body::MemberBeat(heartbeat) => {
                self.owner.send(OwnerMsg::HeartbeatReceived(self.link, heartbeat)).await
            }
            Body::Advice(advice) => self.handle_advice(advice).await,
            Body::Outcomes(o) => self.owner.send(OwnerMsg::Outcomes(self.link, o)).await,
            other => log::warn!("link.unexpected frame={other:?}"),
        }
    }

    async fn handle_advice(&self, advice: Advice) {
        let step = format!("{}.0", advice.step).parse::<TaskKey>().map(|t| t.step);
        let Ok(step) = step else {
            log::warn!("advice.malformed step={}", advice.step);
            return;
        };
        let advice_channel = AdviceChannel { address: self.address.clone() };
        let answer = decode_advice(advice);
        self.owner.send(OwnerMsg::AdviceAnswered { advice_channel, step, answer }).await;
    }
}

/// Returns a handle to the owner if it runs in this process or is about to. A member may read the
/// new owner row from the store before this process has received the answer to its own write.
async fn wait_for_local_owner(
    shared: &Shared,
    partition: &Partition,
    expected: &OwnerInfo,
    outbox: &Outbox,
) -> Option<OwnerHandle> {
    let mut route = partition.route.subscribe();
    let started_at = shared.clock.now();
    loop {
        if let Route::Local(owner) = &*route.borrow_and_update() {
            return Some(owner.clone());
        }
        let known = partition.owner.borrow().clone();
        let superseded = known.boot != shared.boot && known.epoch >= expected.epoch;
        let waited = shared.clock.now().since(started_at).duration();
        let was_owner = partition.has_released(expected.epoch);
        if expected.boot != shared.boot || was_owner || superseded || waited >= OWNER_START_TIMEOUT
        {
            return None;
        }
        if !outbox.send(Body::Heartbeat(Heartbeat::default())) {
            return None;
        }
        // Woken when the owner starts, or to send the next heartbeat.
        let _ = timeout(STARTING_HEARTBEAT_INTERVAL, route.changed()).await;
    }
}
