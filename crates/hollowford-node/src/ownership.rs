//! Ownership of one partition: following its owner, taking over from it, or being the owner.

use crate::announce::announce;
use crate::inbox::OwnerHandle;
use crate::load::load;
use crate::member::follow;
use crate::owner::{Owner, OwnerEnd};
use crate::owner_row::{RETRY_PAUSE, find_owner, row_version_unless_newer, take_over};
use crate::partition::{PartitionContext, Route};
use crate::takeover::{LeaveReason, OwnerChanges};
use crate::wire::OwnerInfo;
use hollowford_adapter::Version;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two reads of the row of a silent owner that may still be alive.
const RECHECK_DELAY: Duration = Duration::from_millis(120);

/// Follows the partition's owner, or makes this process the owner, for as long as the process runs.
pub async fn run(cx: PartitionContext) {
    // Kept across owners: a new owner may fail before it names any members.
    let mut takeover_order = Vec::new();
    let mut changes = OwnerChanges::default();
    loop {
        let info = cx.partition.owner.borrow().clone();
        changes.record(info.epoch, cx.shared.clock.now());
        if info.epoch == 0 || (info.boot == cx.shared.boot && cx.partition.has_released(info.epoch))
        {
            find_owner(&cx, info.epoch).await;
            continue;
        }
        if info.boot == cx.shared.boot {
            report_owner_changes(&cx, &changes);
            let end = run_owner(&cx, &info).await;
            log::info!("owner.ended partition={} epoch={} end={end:?}", info.partition, info.epoch);
            cx.partition.release(info.epoch);
            cx.partition.route.send_replace(Route::None);
            set_owned_epoch(&cx, 0);
            continue;
        }
        let reason = follow(&cx, &info, &mut takeover_order).await;
        if reason != LeaveReason::Newer {
            log::info!("owner.parted epoch={} cause={reason:?}", info.epoch);
            try_takeover(&cx, &info, reason, &takeover_order).await;
        }
    }
}

/// Takes the partition over, unless another process does so first or the owner turns out to be
/// alive.
async fn try_takeover(
    cx: &PartitionContext,
    info: &OwnerInfo,
    cause: LeaveReason,
    takeover_order: &[String],
) {
    if cx.shared.is_stopping() {
        sleep(RETRY_PAUSE).await;
        find_owner(cx, info.epoch).await;
        return;
    }
    if let LeaveReason::HandedOver { rev } = cause
        && rev > 0
    {
        return take_over(cx, rev, info.epoch + 1, cause.name()).await;
    }
    let handed_over = matches!(cause, LeaveReason::HandedOver { .. });
    if !handed_over && newer_owner_before_turn(cx, info, takeover_order).await {
        return;
    }
    let Some(mut rev) = row_version_unless_newer(cx, info).await else { return };
    if cause == LeaveReason::Silent {
        let Some(rechecked) = row_version_if_unchanged(cx, info, rev).await else { return };
        rev = rechecked;
    }
    take_over(cx, rev, info.epoch + 1, cause.name()).await;
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

/// Reads the owner row again after a delay. Returns its version if it is still `rev`, and `None` if
/// the owner has written the row since.
async fn row_version_if_unchanged(
    cx: &PartitionContext,
    info: &OwnerInfo,
    rev: Version,
) -> Option<Version> {
    sleep(RECHECK_DELAY).await;
    let rechecked = row_version_unless_newer(cx, info).await?;
    if rechecked != rev {
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

/// Runs the owner until it loses the partition or steps down.
async fn run_owner(cx: &PartitionContext, info: &OwnerInfo) -> OwnerEnd {
    let started_at = cx.shared.clock.now();
    // Members rely on the configuration that their owner has read, so the owner reads it now.
    cx.shared.config_wanted.notify_one();
    tokio::spawn(announce(cx.shared.clone(), info.clone()));
    let Some(start) = load(cx, info).await else { return OwnerEnd::GaveUp };
    let (handle, rx) = OwnerHandle::new();
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
