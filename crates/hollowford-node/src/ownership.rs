//! Who owns the partition: following an owner, taking over from it, being it.

use crate::announce::announce;
use crate::inbox::OwnerHandle;
use crate::load::load;
use crate::member::follow;
use crate::owner::{Owner, OwnerEnd};
use crate::owner_row::{RETRY, find_owner, take, unchanged_owner};
use crate::partition::{Cx, Route};
use crate::takeover::{LeaveReason, OwnerChanges};
use crate::wire::OwnerInfo;
use hollowford_adapter::Version;
use std::time::Duration;
use tokio::time::sleep;

/// Between two looks at the row of a silent owner that may be alive.
const ALIVE_CHECK: Duration = Duration::from_millis(120);

/// Keeps this process joined to the owner, or makes it the owner, until it ends.
pub async fn run(cx: Cx) {
    // Kept from one owner to the next, which may be gone before it names any.
    let mut members = Vec::new();
    let mut changes = OwnerChanges::default();
    loop {
        let info = cx.partition.owner.borrow().clone();
        changes.record(info.epoch, cx.shared.clock.now());
        if info.epoch == 0 || (info.boot == cx.shared.boot && cx.partition.has_given_up(info.epoch))
        {
            find_owner(&cx, info.epoch).await;
            continue;
        }
        if info.boot == cx.shared.boot {
            show_changes(&cx, &changes);
            let end = own(&cx, &info).await;
            log::info!("owner.ended partition={} epoch={} end={end:?}", info.partition, info.epoch);
            cx.partition.give_up(info.epoch);
            cx.partition.route.send_replace(Route::None);
            note_owned(&cx, 0);
            continue;
        }
        let reason = follow(&cx, &info, &mut members).await;
        if reason != LeaveReason::Newer {
            log::info!("owner.parted epoch={} cause={reason:?}", info.epoch);
            challenge(&cx, &info, reason, &members).await;
        }
    }
}

/// Takes the partition over from an owner, unless another process does or it turns out to
/// be alive.
async fn challenge(cx: &Cx, info: &OwnerInfo, cause: LeaveReason, members: &[String]) {
    if cx.shared.is_stopping() {
        sleep(RETRY).await;
        find_owner(cx, info.epoch).await;
        return;
    }
    if let LeaveReason::HandedOver { rev } = cause
        && rev > 0
    {
        return take(cx, rev, info.epoch + 1, cause.name()).await;
    }
    let handed_over = matches!(cause, LeaveReason::HandedOver { .. });
    if !handed_over && is_outrun(cx, info, members).await {
        return;
    }
    let Some(mut rev) = unchanged_owner(cx, info).await else { return };
    if cause == LeaveReason::Silent {
        let Some(again) = unchanged_silent_owner(cx, info, rev).await else { return };
        rev = again;
    }
    take(cx, rev, info.epoch + 1, cause.name()).await;
}

/// Waits for this member's turn to take over. Tells whether another was faster.
async fn is_outrun(cx: &Cx, info: &OwnerInfo, members: &[String]) -> bool {
    let me = cx.shared.address().to_string();
    let rank = members.iter().position(|m| *m == me);
    let wait = cx.candidate().takeover_delay(rank, members.len(), info.cpu_milli);
    cx.is_outrun(info.epoch, wait).await
}

/// Looks at the owner row again after version `rev`; none when the owner goes on writing it.
async fn unchanged_silent_owner(cx: &Cx, info: &OwnerInfo, rev: Version) -> Option<Version> {
    sleep(ALIVE_CHECK).await;
    let again = unchanged_owner(cx, info).await?;
    if again != rev {
        log::info!("owner.alive epoch={} though silent here", info.epoch);
        sleep(RETRY).await;
        return None;
    }
    Some(again)
}

/// Shows how often the partition has changed its owner lately.
fn show_changes(cx: &Cx, changes: &OwnerChanges) {
    let (part, count) = (&cx.partition.part, changes.count());
    cx.shared.metrics.owner_changes.with_label_values(&[part.as_str()]).set(count as i64);
    if changes.is_flapping() {
        log::warn!("owner.unsettled partition={part} changes_in_a_minute={count}");
    }
}

/// Takes note of the epoch that this process owns the partition in; 0: it doesn't.
fn note_owned(cx: &Cx, epoch: u64) {
    let gauge = cx.shared.metrics.owned_epoch.with_label_values(&[cx.partition.part.as_str()]);
    gauge.set(epoch as i64);
}

/// Owns the partition until it is lost or given up.
async fn own(cx: &Cx, info: &OwnerInfo) -> OwnerEnd {
    let began = cx.shared.clock.now();
    // Members go by what their owner has read.
    cx.shared.config_wanted.notify_one();
    tokio::spawn(announce(cx.shared.clone(), info.clone()));
    let Some(start) = load(cx, info).await else { return OwnerEnd::GaveUp };
    let (handle, rx) = OwnerHandle::new();
    cx.partition.route.send_replace(Route::Local(handle.clone()));
    note_owned(cx, info.epoch);
    let took = cx.shared.clock.now().since(began);
    cx.shared.metrics.takeover_seconds.observe(took.duration().as_secs_f64());
    log::info!(
        "owner.serves partition={} epoch={} loaded_in_ms={}",
        info.partition,
        info.epoch,
        took.0
    );
    Owner::new(cx.clone(), start, handle).run(rx).await
}
