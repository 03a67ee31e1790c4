//! Links that other processes open to this one.

use crate::calls::read_advice;
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::link::{self, Outbox, Reader};
use crate::members::LinkId;
use crate::partition::{Partition, Route};
use crate::shared::Shared;
use crate::wire::{Advice, Body, Heartbeat, Hello, OwnerInfo, Plan};
use hollowford_jobs::{AdviceChannel, TaskKey};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Pause after a link could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A link whose opener says nothing for so long is closed.
const FIRST_FRAME: Duration = Duration::from_millis(2_000);
/// A member that says nothing for so long is gone: three heartbeats where they are rarest.
const MEMBER_SILENT: Duration = Duration::from_millis(1_500);
/// How long a member waits for a process that is just becoming the owner. With a slow store
/// its writing and its reading of the rows take seconds.
const OWNER_STARTS: Duration = Duration::from_millis(5_000);
/// How often it is told meanwhile that the process is alive.
const STARTING_BEAT: Duration = Duration::from_millis(100);

/// Accepts links for as long as the process runs.
pub async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(shared.clone(), stream));
            }
            Err(e) => {
                log::warn!("link.accept failed error={e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let Ok((mut reader, outbox)) = link::split(stream) else { return };
    let Ok(Some(first)) = timeout(FIRST_FRAME, link::next(&mut reader)).await else { return };
    match first {
        Body::Hello(hello) => serve_member(&shared, hello, reader, outbox).await,
        Body::Owner(info) => {
            let partition = partition_of(&shared, &info);
            if partition.is_some_and(|p| p.note_owner_info(&info)) {
                log::info!(
                    "owner.announced partition={} epoch={} address={}",
                    info.partition,
                    info.epoch,
                    info.address
                );
            }
        }
        Body::WhoOwns(who) => {
            let partition = shared.partitions().get(who.partition as usize);
            outbox.send(Body::Owner(
                partition.map(|p| owner_to_tell(&shared, p)).unwrap_or_default(),
            ));
        }
        Body::WhatPlan(_) => {
            outbox.send(Body::Plan(Plan { partitions: shared.partition_count() }));
        }
        other => log::warn!("link.unexpected frame={other:?}"),
    }
}

/// Returns the owner that a process which asks is told: a process that has given the partition up
/// doesn't name itself.
fn owner_to_tell(shared: &Shared, partition: &Partition) -> OwnerInfo {
    let info = partition.owner.borrow().clone();
    let given_up = info.boot == shared.boot && partition.has_given_up(info.epoch);
    if given_up { OwnerInfo::default() } else { info }
}

/// Serves a member for as long as this process owns the partition.
async fn serve_member(shared: &Arc<Shared>, hello: Hello, mut reader: Reader, outbox: Outbox) {
    let meant = hello.owner.clone().unwrap_or_default();
    let Some(partition) = partition_of(shared, &meant) else {
        outbox.send(Body::Owner(OwnerInfo::default()));
        return;
    };
    let Some(owner) = local_owner(shared, partition, &meant, &outbox).await else {
        let info: OwnerInfo = partition.owner.borrow().clone();
        outbox.send(Body::Owner(info));
        return;
    };
    let link = fastrand::u64(..);
    let address = hello.address.as_str().into();
    owner.send(OwnerMsg::Joined(link, hello, outbox.clone())).await;
    let member = MemberLink { owner, link, address, outbox };
    while !member.owner.is_closed() {
        let Ok(Some(body)) = timeout(MEMBER_SILENT, link::next(&mut reader)).await else { break };
        member.take_frame(body).await;
    }
    // The link ends with its last sender; the owner drops its own on hearing this.
    member.owner.send(OwnerMsg::Left(link)).await;
}

/// Returns the partition that an owner is meant for.
fn partition_of<'a>(shared: &'a Shared, info: &OwnerInfo) -> Option<&'a Arc<Partition>> {
    shared.partitions().get(info.partition as usize)
}

/// The owner's end of a member's link.
struct MemberLink {
    owner: OwnerHandle,
    link: LinkId,
    /// The member's address between processes.
    address: Arc<str>,
    outbox: Outbox,
}

impl MemberLink {
    /// Hands on what the member says.
    async fn take_frame(&self, body: Body) {
        match body {
            Body::Call(call) => self.owner.call_from(call, &self.outbox),
            Body::MemberBeat(beat) => self.owner.send(OwnerMsg::Beat(self.link, beat)).await,
            Body::Advice(advice) => self.take_advice(advice).await,
            Body::Outcomes(o) => self.owner.send(OwnerMsg::Outcomes(self.link, o)).await,
            other => log::warn!("link.unexpected frame={other:?}"),
        }
    }

    async fn take_advice(&self, advice: Advice) {
        let step = format!("{}.0", advice.step).parse::<TaskKey>().map(|t| t.step);
        let Ok(step) = step else {
            log::warn!("advice.malformed step={}", advice.step);
            return;
        };
        let seat = AdviceChannel { address: self.address.clone() };
        let answer = read_advice(advice);
        self.owner.send(OwnerMsg::Advised { seat, step, answer }).await;
    }
}

/// Returns the owner if it is this process, or is just becoming so. The member may know of
/// that earlier, by the owner row, than this process by the answer to its own writing.
async fn local_owner(
    shared: &Shared,
    partition: &Partition,
    meant: &OwnerInfo,
    outbox: &Outbox,
) -> Option<OwnerHandle> {
    let mut route = partition.route.subscribe();
    let began = shared.clock.now();
    loop {
        if let Route::Local(owner) = &*route.borrow_and_update() {
            return Some(owner.clone());
        }
        let known = partition.owner.borrow().clone();
        let superseded = known.boot != shared.boot && known.epoch >= meant.epoch;
        let waited = shared.clock.now().since(began).duration();
        let was_owner = partition.has_given_up(meant.epoch);
        if meant.boot != shared.boot || was_owner || superseded || waited >= OWNER_STARTS {
            return None;
        }
        if !outbox.send(Body::Heartbeat(Heartbeat::default())) {
            return None;
        }
        // Woken when the owner starts, or to tell again that it is about to.
        let _ = timeout(STARTING_BEAT, route.changed()).await;
    }
}
