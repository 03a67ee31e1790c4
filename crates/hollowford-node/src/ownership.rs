//! Who owns the partition: following an owner, taking over from it, being it.

use crate::announce::announce;
use crate::inbox::OwnerHandle;
use crate::load::load;
use crate::member::{Parted, follow};
use crate::owner::{Owner, OwnerEnd};
use crate::owner_row::{RETRY, find_owner, take, unchanged_owner};
use crate::shared::{Route, Shared};
use crate::wire::OwnerInfo;
use hollowford_adapter::{Version, WorkerClient};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How much later each next member takes over.
const STAGGER: Duration = Duration::from_millis(100);
/// Between two looks at the row of a silent owner that may be alive.
const ALIVE_CHECK: Duration = Duration::from_millis(120);

/// Keeps this process joined to the owner, or makes it the owner, until it ends.
pub async fn run(shared: Arc<Shared>) {
    // The epoch that this process has owned and given up.
    let mut given_up = 0;
    loop {
        let info = shared.owner.borrow().clone();
        if info.epoch == 0 || (info.boot == shared.boot && info.epoch <= given_up) {
            find_owner(&shared, info.epoch).await;
            continue;
        }
        if info.boot == shared.boot {
            let end = own(&shared, &info).await;
            log::info!("owner.ended epoch={} end={end:?}", info.epoch);
            shared.route.send_replace(Route::None);
            shared.metrics.owned_epoch.set(0);
            given_up = info.epoch;
            continue;
        }
        let followed = follow(&shared, &info).await;
        if followed.parted != Parted::Newer {
            log::info!("owner.parted epoch={} cause={:?}", info.epoch, followed.parted);
            challenge(&shared, &info, followed.parted, &followed.members).await;
        }
    }
}

/// Takes the partition over from an owner, unless another process does or it turns out to
/// be alive.
async fn challenge(shared: &Shared, info: &OwnerInfo, cause: Parted, members: &[String]) {
    if shared.is_stopping() {
        sleep(RETRY).await;
        find_owner(shared, info.epoch).await;
        return;
    }
    if let Parted::HandedOver { rev } = cause
        && rev > 0
    {
        return take(shared, rev, info.epoch + 1, cause.name()).await;
    }
    let handed_over = matches!(cause, Parted::HandedOver { .. });
    if !handed_over && is_outrun(shared, info, members).await {
        return;
    }
    let Some(mut rev) = unchanged_owner(shared, info).await else { return };
    if cause == Parted::Silent {
        let Some(again) = unchanged_silent_owner(shared, info, rev).await else { return };
        rev = again;
    }
    take(shared, rev, info.epoch + 1, cause.name()).await;
}

/// Waits for this member's turn to take over. Tells whether another was faster.
async fn is_outrun(shared: &Shared, info: &OwnerInfo, members: &[String]) -> bool {
    let me = shared.address().to_string();
    let rank = members.iter().position(|m| *m == me).unwrap_or(members.len());
    let mut newest = shared.owner.subscribe();
    let newer = newest.wait_for(|o| o.epoch > info.epoch);
    timeout(STAGGER * rank as u32, newer).await.is_ok()
}

/// Looks at the owner row again after version `rev`; none when the owner goes on writing it.
async fn unchanged_silent_owner(
    shared: &Shared,
    info: &OwnerInfo,
    rev: Version,
) -> Option<Version> {
    sleep(ALIVE_CHECK).await;
    let again = unchanged_owner(shared, info).await?;
    if again != rev {
        log::info!("owner.alive epoch={} though silent here", info.epoch);
        sleep(RETRY).await;
        return None;
    }
    Some(again)
}

/// Owns the partition until it is lost or given up.
async fn own(shared: &Arc<Shared>, info: &OwnerInfo) -> OwnerEnd {
    let began = shared.clock.now();
    tokio::spawn(announce(shared.clone(), info.clone()));
    let Some(start) = load(shared, info).await else { return OwnerEnd::GaveUp };
    let workers = match WorkerClient::new(info.epoch) {
        Ok(workers) => workers,
        Err(e) => {
            log::error!("owner.no_client error=\"{e}\"");
            return OwnerEnd::GaveUp;
        }
    };
    let (handle, rx) = OwnerHandle::new();
    shared.route.send_replace(Route::Local(handle.clone()));
    shared.metrics.owned_epoch.set(info.epoch as i64);
    let took = shared.clock.now().since(began);
    shared.metrics.takeover_seconds.observe(took.duration().as_secs_f64());
    log::info!("owner.serves epoch={} loaded_in_ms={}", info.epoch, took.0);
    Owner::new(shared.clone(), start, workers, handle).run(rx).await
}
