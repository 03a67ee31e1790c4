//! Who owns the partition: following an owner, taking over from it, being it.

use crate::announce::announce;
use crate::homes::preference;
use crate::inbox::OwnerHandle;
use crate::load::load;
use crate::member::{Parted, follow};
use crate::owner::{Owner, OwnerEnd};
use crate::owner_row::{RETRY, find_owner, take, unchanged_owner};
use crate::partition::{Cx, Route};
use crate::wire::OwnerInfo;
use hollowford_adapter::Version;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How much later each next member takes over.
const STAGGER: Duration = Duration::from_millis(100);
/// Time between processes that start together and take different partitions first.
const FIRST_SLOT: Duration = Duration::from_millis(40);
/// A process that owns other partitions leaves another one to others, so long for each.
const BUSY_DELAY: Duration = Duration::from_millis(150);
/// An instance of less than this part of the last owner's, in percent, is small.
const SMALL_PERCENT: u32 = 70;
/// A small one that knows of no others waits for a larger one, which may just be starting, or
/// be waiting for an answer of the owner's address (0.5 s and two looks at the row).
const SMALL_DELAY: Duration = Duration::from_millis(700);
/// Between two looks at the row of a silent owner that may be alive.
const ALIVE_CHECK: Duration = Duration::from_millis(120);

/// Keeps this process joined to the owner, or makes it the owner, until it ends.
pub async fn run(cx: Cx) {
    // With several partitions, processes that start together begin with different ones.
    sleep(first_delay(&cx)).await;
    // Kept from one owner to the next, which may be gone before it names any.
    let mut members = Vec::new();
    loop {
        let info = cx.partition.owner.borrow().clone();
        if info.epoch == 0 || (info.boot == cx.shared.boot && cx.partition.has_given_up(info.epoch))
        {
            find_owner(&cx, info.epoch).await;
            continue;
        }
        if info.boot == cx.shared.boot {
            let end = own(&cx, &info).await;
            log::info!("owner.ended partition={} epoch={} end={end:?}", info.partition, info.epoch);
            cx.partition.give_up(info.epoch);
            cx.partition.route.send_replace(Route::None);
            note_owned(&cx, 0);
            continue;
        }
        let parted = follow(&cx, &info, &mut members).await;
        if parted != Parted::Newer {
            log::info!("owner.parted epoch={} cause={parted:?}", info.epoch);
            challenge(&cx, &info, parted, &members).await;
        }
    }
}

/// Returns how long a process that starts waits before it takes a partition without an owner.
fn first_delay(cx: &Cx) -> Duration {
    let address = cx.shared.address().to_string();
    let slots = u64::from(cx.shared.partition_count().saturating_sub(1));
    let slot = preference(&address, cx.partition.number) % (slots + 1);
    FIRST_SLOT * slot as u32
}

/// Takes the partition over from an owner, unless another process does or it turns out to
/// be alive.
async fn challenge(cx: &Cx, info: &OwnerInfo, cause: Parted, members: &[String]) {
    if cx.shared.is_stopping() {
        sleep(RETRY).await;
        find_owner(cx, info.epoch).await;
        return;
    }
    if let Parted::HandedOver { rev } = cause
        && rev > 0
    {
        return take(cx, rev, info.epoch + 1, cause.name()).await;
    }
    let handed_over = matches!(cause, Parted::HandedOver { .. });
    if !handed_over && is_outrun(cx, info, members).await {
        return;
    }
    let Some(mut rev) = unchanged_owner(cx, info).await else { return };
    if cause == Parted::Silent {
        let Some(again) = unchanged_silent_owner(cx, info, rev).await else { return };
        rev = again;
    }
    take(cx, rev, info.epoch + 1, cause.name()).await;
}

/// Waits for this member's turn to take over. Tells whether another was faster.
async fn is_outrun(cx: &Cx, info: &OwnerInfo, members: &[String]) -> bool {
    let me = cx.shared.address().to_string();
    let rank = members.iter().position(|m| *m == me).unwrap_or(members.len());
    let wait = STAGGER * rank as u32 + handicap(cx, info, members.is_empty());
    let mut newest = cx.partition.owner.subscribe();
    let newer = newest.wait_for(|o| o.epoch > info.epoch);
    timeout(wait, newer).await.is_ok()
}

/// Returns how much later this process takes over than others should, for which the partition
/// would be less of a burden.
fn handicap(cx: &Cx, last: &OwnerInfo, alone: bool) -> Duration {
    let own = cx.shared.cpu_milli();
    // A process that has just started knows of no others, and may be too small for the work.
    let small = alone && own * 100 < last.cpu_milli * SMALL_PERCENT;
    let busy = BUSY_DELAY * cx.shared.owned_count();
    if small { SMALL_DELAY + busy } else { busy }
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

/// Takes note of the epoch that this process owns the partition in; 0: it doesn't.
fn note_owned(cx: &Cx, epoch: u64) {
    let gauge = cx.shared.metrics.owned_epoch.with_label_values(&[cx.partition.part.as_str()]);
    gauge.set(epoch as i64);
}

/// Owns the partition until it is lost or given up.
async fn own(cx: &Cx, info: &OwnerInfo) -> OwnerEnd {
    let began = cx.shared.clock.now();
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
