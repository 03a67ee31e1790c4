//! Ownership of one partition: following its owner, taking over from it, or being the owner.

use crate::announce::announce;
use crate::inbox::{OwnerHandle, OwnerMsg};
use crate::link;
use crate::load::load;
use crate::member::follow;
use crate::owner::{Owner, OwnerEnd};
use crate::owner_row::{FoundOwnerRow, RETRY_PAUSE, find_owner, row_unless_newer, take_over};
use crate::partition::{PartitionContext, Route};
use crate::takeover::{LeaveReason, OwnerChanges, earlier_leases_until};
use crate::wire::{Body, OwnerInfo, RenewalTerms, WhoOwns};
use hollowford_core::Millis;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between two reads of the row of a silent owner that may still be alive.
const RECHECK_DELAY: Duration = Duration::from_millis(120);
/// How long a process that has released the partition leaves it to others: longer than a member
/// waits for its turn. Nobody else may be left, and the owner row goes on naming this process.
const RETAKE_DELAY: Millis = Millis(2_000);
/// Time limit of a question to the process at a silent owner's address, and the pause after it.
const EARLIER_OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the partition's owner, or makes this process the owner, for as long as the process runs.
pub async fn run(cx: PartitionContext) {
    // Kept across owners: a new owner may fail before it names any members.
    let mut takeover_order = Vec::new();
    let mut changes = OwnerChanges::default();
    // The silent owner that didn't name this process as a successor when it took over.
    let mut silent_owner = None;
    let mut released_at = Millis(0);
    loop {
        let info = cx.partition.owner.borrow().clone();
        changes.record(info.epoch, cx.shared.clock.now());
        if info.epoch == 0 {
            find_owner(&cx, info.epoch).await;
            continue;
        }
        if info.boot == cx.shared.boot && cx.partition.has_released(info.epoch) {
            if cx.shared.clock.now().since(released_at) < RETAKE_DELAY {
                find_owner(&cx, info.epoch).await;
            } else {
                retake(&cx, &info).await;
            }
            continue;
        }
        if info.boot == cx.shared.boot {
            report_owner_changes(&cx, &changes);
            let end = run_owner(&cx, &info, silent_owner.take()).await;
            log::info!("owner.ended partition={} epoch={} end={end:?}", info.partition, info.epoch);
            cx.partition.release(info.epoch);
            released_at = cx.shared.clock.now();
            cx.partition.route.send_replace(Route::None);
            set_owned_epoch(&cx, 0);
            continue;
        }
        let reason = follow(&cx, &info, &mut takeover_order).await;
        if reason != LeaveReason::Newer {
            log::info!("owner.parted epoch={} cause={reason:?}", info.epoch);
            let waits_for_owner = try_takeover(&cx, &info, reason, &takeover_order).await;
            silent_owner = waits_for_owner.then_some(info);
        }
    }
}

/// Takes the partition over, unless another process does so first or the owner turns out to be
/// alive. Returns true if leases may last longer than usual only because of this owner, which is
/// silent.
pub async fn try_takeover(
    cx: &PartitionContext,
    info: &OwnerInfo,
    cause: LeaveReason,
    takeover_order: &[String],
) -> bool {
    if cx.shared.is_stopping() {
        sleep(RETRY_PAUSE).await;
        find_owner(cx, info.epoch).await;
        return false;
    }
    if let LeaveReason::HandedOver { rev } = cause
        && rev > 0
    {
        // An owner with anything to say about leases has the row read.
        take_over(cx, rev, info.epoch + 1, cause.name(), RenewalTerms::default()).await;
        return false;
    }
    let handed_over = matches!(cause, LeaveReason::HandedOver { .. });
    if !handed_over && newer_owner_before_turn(cx, info, takeover_order).await {
        return false;
    }
    let Some(mut row) = row_unless_newer(cx, info).await else { return false };
    if cause == LeaveReason::Silent {
        let Some(rechecked) = row_if_unchanged(cx, info, &row).await else { return false };
        row = rechecked;
    }
    let is_named = row.terms.successors.contains(&cx.shared.boot);
    let has_ended = match cause {
        LeaveReason::HandedOver { .. } => true,
        // A process that is named needn't know, and doesn't lose time.
        LeaveReason::Gone => !is_named && has_ended(info).await,
        _ => false,
    };
    let terms = terms_of_takeover(cx, has_ended, &row);
    let waits_for_owner =
        row.terms.earlier_leases_until_ms == 0 && terms.earlier_leases_until_ms > 0;
    take_over(cx, row.version, info.epoch + 1, cause.name(), terms).await;
    waits_for_owner
}

/// Takes a partition over again that this process has released at the epoch of `info`, unless
/// another process has taken it over or this one is stopping. The owner row decides as in any other
/// takeover.
pub async fn retake(cx: &PartitionContext, info: &OwnerInfo) {
    if cx.shared.is_stopping() {
        return find_owner(cx, info.epoch).await;
    }
    let Some(row) = row_unless_newer(cx, info).await else {
        return sleep(RETRY_PAUSE).await;
    };
    let terms = terms_of_takeover(cx, true, &row);
    take_over(cx, row.version, info.epoch + 1, "retaken", terms).await;
}

/// Returns the terms with which this process takes over. They name no successors until members have
/// joined.
fn terms_of_takeover(cx: &PartitionContext, has_ended: bool, row: &FoundOwnerRow) -> RenewalTerms {
    let lease = cx.shared.settings_changed.borrow().time_limits.lease;
    let until = earlier_leases_until(&row.terms, has_ended, cx.shared.boot, lease, row.store_now);
    if until > Millis(row.terms.earlier_leases_until_ms) {
        let wait = until.since(row.store_now).0;
        log::warn!("owner.unnamed partition={} waits_ms={wait}", cx.partition.number);
    }
    RenewalTerms { successors: Vec::new(), earlier_leases_until_ms: until.0 }
}

/// Waits for this member's turn to take over. Returns true if a newer owner appeared first.
async fn newer_owner_before_turn(
    cx: &PartitionContext,
    info: &OwnerInfo,
    takeover_order: &[String],
) -> bool {
    let own_address = cx.shared.address().to_string();
    let rank = takeover_order.iter().position(|m| *m == own_address);
    let wait = cx.candidate().takeover_delay(rank, takeover_order.len(), info.cpu_milli);
    cx.newer_owner_within(info.epoch, wait).await
}

/// Reads the owner row again after a delay. Returns it if its version is the same, and `None` if the
/// owner has written the row since.
async fn row_if_unchanged(
    cx: &PartitionContext,
    info: &OwnerInfo,
    row: &FoundOwnerRow,
) -> Option<FoundOwnerRow> {
    sleep(RECHECK_DELAY).await;
    let rechecked = row_unless_newer(cx, info).await?;
    if rechecked.version != row.version {
        log::info!("owner.alive epoch={} but silent on its link to this process", info.epoch);
        sleep(RETRY_PAUSE).await;
        return None;
    }
    Some(rechecked)
}

/// Exports the number of recent changes of owner as a metric, and warns if ownership is flapping.
fn report_owner_changes(cx: &PartitionContext, changes: &OwnerChanges) {
    let (part, count) = (&cx.partition.part, changes.count());
    cx.shared.metrics.owner_changes.with_label_values(&[part.as_str()]).set(count as i64);
    if changes.is_flapping() {
        log::warn!("owner.unsettled partition={part} changes_in_a_minute={count}");
    }
}

/// Sets the metric of the epoch at which this process owns the partition; 0 if it doesn't.
fn set_owned_epoch(cx: &PartitionContext, epoch: u64) {
    let gauge = cx.shared.metrics.owned_epoch.with_label_values(&[cx.partition.part.as_str()]);
    gauge.set(epoch as i64);
}

/// Returns true if an owner has surely ended: nothing listens at its address, or the process there
/// reports another owner. A link that closes may have been reset.
async fn has_ended(info: &OwnerInfo) -> bool {
    let Ok(addr) = info.address.parse() else { return false };
    let limit = EARLIER_OWNER_CHECK_INTERVAL;
    match timeout(limit, link::connect(addr)).await {
        Ok(Err(e)) => e.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok((mut reader, outbox))) => {
            outbox.send(Body::WhoOwns(WhoOwns { partition: info.partition }));
            let answer = timeout(limit, link::recv(&mut reader)).await.ok().flatten();
            matches!(answer, Some(Body::Owner(reported)) if reported != *info)
        }
        Err(_) => false,
    }
}

/// Tells the owner once the earlier one, which was silent at the takeover, has ended: the process at
/// its address reports another owner. Processes that lose power together start again, too, and none
/// of them has been named as a successor.
pub async fn await_end(earlier: OwnerInfo, owner: OwnerHandle) {
    let Ok(addr) = earlier.address.parse() else { return };
    while !owner.is_closed() {
        let request = Body::WhoOwns(WhoOwns { partition: earlier.partition });
        let answer = link::request(addr, request, EARLIER_OWNER_CHECK_INTERVAL).await;
        if let Some(Body::Owner(reported)) = answer
            && reported != earlier
        {
            log::info!("owner.earlier_ended epoch={}", earlier.epoch);
            return owner.send(OwnerMsg::EarlierOwnerEnded).await;
        }
        sleep(EARLIER_OWNER_CHECK_INTERVAL).await;
    }
}

/// Runs the owner until it loses the partition or steps down.
async fn run_owner(
    cx: &PartitionContext,
    info: &OwnerInfo,
    silent_owner: Option<OwnerInfo>,
) -> OwnerEnd {
    let started_at = cx.shared.clock.now();
    // Members rely on the configuration that their owner has read, so the owner reads it now.
    cx.shared.config_wanted.notify_one();
    tokio::spawn(announce(cx.shared.clone(), info.clone()));
    let Some(start) = load(cx, info).await else { return OwnerEnd::GaveUp };
    let (handle, rx) = OwnerHandle::new();
    if let Some(earlier) = silent_owner.filter(|e| e.epoch + 1 == info.epoch) {
        tokio::spawn(await_end(earlier, handle.clone()));
    }
    cx.partition.route.send_replace(Route::Local(handle.clone()));
    set_owned_epoch(cx, info.epoch);
    let took = cx.shared.clock.now().since(started_at);
    cx.shared.metrics.takeover_seconds.observe(took.duration().as_secs_f64());
    log::info!(
        "owner.serves partition={} epoch={} loaded_in_ms={}",
        info.partition,
        info.epoch,
        took.0
    );
    Owner::new(cx.clone(), start, handle).run(rx).await
}
