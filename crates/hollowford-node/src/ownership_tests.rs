//! What a process that takes over writes about leases of earlier owners, and what the next one
//! learns of it.
//!
//! Guards against a process that waits too short a time for workers that it doesn't reach: an owner
//! that didn't name it as a successor may still renew leases there.
#![allow(clippy::expect_used)]

use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::lane::takeover_rows;
use crate::link::{self, Outbox};
use crate::load::load;
use crate::member::follow;
use crate::owner_row::{SYSTEM_TABLE, read_owner, take_over};
use crate::ownership::{await_end, retake, run, try_takeover};
use crate::partition::{PartitionContext, Route};
use crate::shared_tests::shared_with;
use crate::takeover::{LeaveReason, MAX_STORE_CONFIRMATION_AGE};
use crate::wire::{Body, Hello, OwnerInfo, RenewalTerms};
use hollowford_adapter::Transaction;
use hollowford_adapter_standin::{Faults, Platform};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use yare::parameterized;

/// Far above what a call takes, because the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Large enough that a percentage of the CPU of a member doesn't overflow.
const MAX_PERCENT: u32 = 1_000;
/// Random id of a process that is not under test.
const OTHER_PROCESS: u64 = 7;

async fn process(platform: &Platform) -> PartitionContext {
    let shared = Arc::new(shared_with(Some(platform.addr())));
    shared.set_partitions(1);
    let partition = shared.partitions()[0].clone();
    PartitionContext { shared, partition }
}

/// Stores an owner row with these terms and returns the owner.
async fn store_owner(cx: &PartitionContext, terms: &RenewalTerms) -> OwnerInfo {
    let info = OwnerInfo { boot: 1, address: "127.0.0.1:1".to_owned(), ..cx.owner_info(1) };
    let put = takeover_rows(&info, terms);
    let tx = Transaction { expect: Vec::new(), put, remove: Vec::new() };
    let stored = cx.shared.store.transact(SYSTEM_TABLE, &cx.partition.part, &tx, TIMEOUT).await;
    stored.expect("an answer");
    info
}

/// Lets a process take over and returns until when leases of earlier owners may last, by the rows
/// that it reads then, in milliseconds; 0 if no longer than usual.
async fn earlier_leases_after_takeover(
    cx: &PartitionContext,
    earlier: &OwnerInfo,
    cause: LeaveReason,
) -> u64 {
    try_takeover(cx, earlier, cause, &[]).await;
    let info = cx.owner_info(earlier.epoch + 1);
    let state = load(cx, &info).await.expect("the partition");
    let until = state.terms.earlier_leases_until_ms;
    assert!(state.engine.settles_at().0 >= until);
    until
}

#[parameterized(
    unnamed_and_silent = { false, LeaveReason::Silent, true },
    named_and_silent = { true, LeaveReason::Silent, false },
    unnamed_and_ended = { false, LeaveReason::Gone, false },
    unnamed_and_handed_over = { false, LeaveReason::HandedOver { rev: 0 }, false },
)]
fn only_a_process_that_a_silent_owner_did_not_name_waits_longer(
    named: bool,
    cause: LeaveReason,
    waits_longer: bool,
) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    rt.expect("a runtime").block_on(async {
        let platform = Platform::start(0).await.expect("the platform");
        let cx = process(&platform).await;
        let boot = if named { cx.shared.boot } else { OTHER_PROCESS };
        let terms =
            RenewalTerms { successors: vec![OTHER_PROCESS + 1, boot], ..Default::default() };
        let earlier = store_owner(&cx, &terms).await;
        let until = earlier_leases_after_takeover(&cx, &earlier, cause).await;
        assert_eq!(until >= MAX_STORE_CONFIRMATION_AGE.0, waits_longer, "{until}");
        assert_eq!(until > 0, waits_longer, "{until}");
    });
}

// The one before the last may still renew leases.
#[tokio::test]
async fn the_wait_for_an_owner_before_the_last_one_is_kept() {
    let platform = Platform::start(0).await.expect("the platform");
    let first = process(&platform).await;
    let silent = store_owner(&first, &RenewalTerms::default()).await;
    let until = earlier_leases_after_takeover(&first, &silent, LeaveReason::Silent).await;
    let second = process(&platform).await;
    let ended = OwnerInfo { address: "127.0.0.1:1".to_owned(), ..first.owner_info(2) };
    assert!(until > 0);
    assert_eq!(earlier_leases_after_takeover(&second, &ended, LeaveReason::Gone).await, until);
}

/// Answers one question for the owner of a partition.
async fn answer_once(listener: &TcpListener, owner: OwnerInfo) {
    let accepted = timeout(TIMEOUT, listener.accept()).await.expect("a question");
    let (mut reader, outbox) = link::split(accepted.expect("a link").0).expect("socket options");
    assert!(matches!(link::recv(&mut reader).await, Some(Body::WhoOwns(_))));
    outbox.send(Body::Owner(owner));
    // The link closes once the other end has read the answer.
    assert_eq!(link::recv(&mut reader).await, None);
}

// All instances have lost power and start again, so nobody was named, and no work must wait for
// longer than after any other takeover.
#[tokio::test]
async fn the_longer_wait_ends_once_another_process_answers_at_the_silent_owners_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let silent = OwnerInfo { epoch: 3, address, boot: 1, ..OwnerInfo::default() };
    let (handle, mut rx) = OwnerHandle::new();
    tokio::spawn(await_end(silent.clone(), handle));
    answer_once(&listener, silent.clone()).await;
    assert!(rx.try_recv().is_err(), "it still owns the partition");
    answer_once(&listener, OwnerInfo { epoch: 4, boot: 2, ..silent }).await;
    let msg = timeout(TIMEOUT, rx.recv()).await.expect("a message");
    assert!(matches!(msg, Some(OwnerMsg::EarlierOwnerEnded)), "{msg:?}");
}

// Links are reset in series. The owner lives on and may renew leases; the process that takes over
// must not take it for one that has ended.
#[tokio::test]
async fn a_process_whose_links_are_reset_twice_waits_for_the_owner_that_lives() {
    let platform = Platform::start(0).await.expect("the platform");
    let cx = process(&platform).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let mut earlier = store_owner(&cx, &RenewalTerms::default()).await;
    earlier.address = address;
    let (member_cx, followed) = (cx.clone(), earlier.clone());
    let member = tokio::spawn(async move { follow(&member_cx, &followed, &mut Vec::new()).await });
    // The link is closed before the owner has sent a heartbeat over it.
    let accepted = timeout(TIMEOUT, listener.accept()).await.expect("a link");
    let (mut reader, outbox) = link::split(accepted.expect("a link").0).expect("socket options");
    assert!(matches!(link::recv(&mut reader).await, Some(Body::Hello(_))));
    drop((reader, outbox));
    let owner = earlier.clone();
    tokio::spawn(async move { answer_once(&listener, owner).await });
    let cause = timeout(TIMEOUT, member).await.expect("a reason").expect("the member task");
    let until = earlier_leases_after_takeover(&cx, &earlier, cause).await;
    assert!(until >= MAX_STORE_CONFIRMATION_AGE.0, "{cause:?}: {until}");
}

/// Waits until this process serves the partition, and returns its handle and the epoch.
async fn serving(cx: &PartitionContext) -> (OwnerHandle, u64) {
    let mut route = cx.partition.route.subscribe();
    let is_local = |r: &Route| matches!(r, Route::Local(_));
    let route = timeout(TIMEOUT, route.wait_for(is_local)).await.expect("an owner in this process");
    let Route::Local(owner) = &*route.expect("the partition") else { unreachable!() };
    (owner.clone(), cx.partition.owner.borrow().epoch)
}

/// How an owner ends without another process taking over.
#[derive(Clone, Copy, Debug)]
enum LastOwnerEnd {
    /// It hears neither from the store nor from a member: the members are gone.
    Isolated,
    /// It can't read the partition's rows after its takeover.
    LoadFailed,
    /// It hands over to a larger member whose process ends before it takes over.
    HandedOver,
}

/// Lets a member join, which never answers.
async fn join_member(owner: &OwnerHandle, cpu_milli: u32) {
    let address = "127.0.0.1:1".to_owned();
    let hello = Hello { address, cpu_milli, boot: OTHER_PROCESS, ..Hello::default() };
    let (outbox, _) = Outbox::for_test();
    owner.send(OwnerMsg::Joined(1, hello, outbox)).await;
}

// review/6: the owner row goes on naming the process, which waited for another one for ever.
#[parameterized(
    isolated = { LastOwnerEnd::Isolated },
    load_failed = { LastOwnerEnd::LoadFailed },
    handed_over = { LastOwnerEnd::HandedOver },
)]
fn the_last_process_of_a_cell_takes_its_partition_over_again(end: LastOwnerEnd) {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    rt.expect("a runtime").block_on(async {
        let platform = Platform::start(0).await.expect("the platform");
        let outage = |outage| platform.set_faults(Faults { outage, ..Faults::default() });
        let cx = process(&platform).await;
        let first = match end {
            LastOwnerEnd::LoadFailed => {
                take_over(&cx, 0, 1, "test", RenewalTerms::default()).await;
                outage(true);
                tokio::spawn(run(cx.clone()));
                cx.partition.owner.borrow().epoch
            }
            LastOwnerEnd::Isolated => {
                tokio::spawn(run(cx.clone()));
                let (owner, epoch) = serving(&cx).await;
                join_member(&owner, 0).await;
                owner.send(OwnerMsg::Left(1)).await;
                outage(true);
                epoch
            }
            LastOwnerEnd::HandedOver => {
                tokio::spawn(run(cx.clone()));
                let (owner, epoch) = serving(&cx).await;
                join_member(&owner, u32::MAX / MAX_PERCENT).await;
                epoch
            }
        };
        let released = async {
            while !cx.partition.has_released(first) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(TIMEOUT, released).await.expect("the end of the first epoch");
        outage(false);
        let (_, epoch) = serving(&cx).await;
        assert_eq!(epoch, first + 1);
    });
}

// Another process has taken over in the meantime: there must not be two owners.
#[tokio::test]
async fn a_process_that_has_released_its_partition_leaves_it_to_a_newer_owner() {
    let platform = Platform::start(0).await.expect("the platform");
    let (cx, other) = (process(&platform).await, process(&platform).await);
    take_over(&cx, 0, 1, "test", RenewalTerms::default()).await;
    let released = cx.owner_info(1);
    cx.partition.release(released.epoch);
    try_takeover(&other, &released, LeaveReason::HandedOver { rev: 0 }, &[]).await;
    retake(&cx, &released).await;
    assert_eq!(read_owner(&cx).await, Some(other.owner_info(2)));
    assert_eq!(*cx.partition.owner.borrow(), other.owner_info(2));
}

// An owner that ends while its process stops must not become the owner again.
#[tokio::test]
async fn a_stopping_process_takes_nothing_over_again() {
    let platform = Platform::start(0).await.expect("the platform");
    let cx = process(&platform).await;
    take_over(&cx, 0, 1, "test", RenewalTerms::default()).await;
    let released = cx.owner_info(1);
    cx.partition.release(released.epoch);
    cx.shared.stopping.store(true, Ordering::Relaxed);
    retake(&cx, &released).await;
    assert_eq!(read_owner(&cx).await, Some(released));
}
