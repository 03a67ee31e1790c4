//! Loads a partition's rows and recovers the engine of a new owner from them.

use crate::lane::lane_versions;
use crate::owner::RecoveredState;
use crate::owner_row::{OWNER_KEY, RETRY_PAUSE, SYSTEM_TABLE, decode_owner};
use crate::partition::PartitionContext;
use crate::wire::OwnerInfo;
use hollowford_adapter::VersionedRows;
use hollowford_core::Millis;
use hollowford_jobs::{Engine, RowLimits};
use std::time::Duration;
use tokio::time::sleep;

/// Timeout of one attempt to read the partition's rows.
const LOAD_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an outage of the store matters after its end: the previous owner may have lost changes
/// that it could not write. An owner that survives the outage by this time has written them all.
const RECENT_OUTAGE_WINDOW: Millis = Millis(2_000);
/// An owner that can't read the partition's rows within this time gives the partition up.
const MAX_LOAD_TIME: Millis = Millis(4_000);

/// Loads the partition's rows and recovers the owner's state. Returns `None` if the rows can't be
/// read or another process owns the partition.
pub async fn load(cx: &PartitionContext, info: &OwnerInfo) -> Option<RecoveredState> {
    let started_at = cx.shared.clock.now();
    loop {
        let read_at = cx.shared.clock.now();
        match cx.shared.store.read_all(SYSTEM_TABLE, &cx.partition.part, LOAD_ATTEMPT_TIMEOUT).await
        {
            Ok(feed) => {
                cx.shared.record_store_answer();
                return recover_state(cx, info, feed, read_at);
            }
            Err(e) => log::warn!("owner.load failed epoch={} error=\"{e}\"", info.epoch),
        }
        if cx.shared.clock.now().since(started_at) > MAX_LOAD_TIME {
            return None;
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn recover_state(
    cx: &PartitionContext,
    info: &OwnerInfo,
    feed: VersionedRows,
    read_at: Millis,
) -> Option<RecoveredState> {
    let owner = feed.rows.iter().find(|r| r.key == OWNER_KEY)?;
    let lanes = lane_versions(&feed.rows);
    let row = decode_owner(owner)?;
    let terms = row.terms.unwrap_or_default();
    let current_owner = row.owner?;
    if current_owner != *info {
        cx.partition.record_owner(&current_owner);
        return None;
    }
    let clock_offset = feed.now.0 as i64 - cx.shared.clock.now().0 as i64;
    let (time_limits, features, max_row_bytes) = {
        let settings = cx.shared.settings_changed.borrow();
        (settings.time_limits, settings.features, settings.store_limits.row_bytes)
    };
    let mut engine = Engine::new(info.epoch, time_limits, feed.now);
    engine.set_row_limits(RowLimits { max_row_bytes, ..RowLimits::default() });
    engine.set_earlier_leases_until(Millis(terms.earlier_leases_until_ms));
    engine.set_features(features);
    engine.set_unix_offset(cx.shared.clock.unix_ms() as i64 - feed.now.0 as i64);
    if let Some(config) = cx.shared.config.load_full() {
        engine.set_queues(&config.queues, feed.now);
        let accounts = config.accounts.as_deref().unwrap_or_default();
        engine.set_accounts(accounts);
    }
    if cx.shared.had_outage_within(RECENT_OUTAGE_WINDOW) {
        engine.set_store_outage_before();
    }
    let feed_now = feed.now;
    let rows: Vec<_> = feed.rows.into_iter().map(|r| (r.key, r.value)).collect();
    match engine.recover(&rows, feed_now) {
        Ok(recovered) => log::info!(
            "owner.recovered partition={} epoch={} settles_in_ms={} {recovered:?}",
            info.partition,
            info.epoch,
            engine.settles_at().since(feed_now).0
        ),
        Err(e) => {
            log::error!("owner.recover failed epoch={} error=\"{e}\"", info.epoch);
            return None;
        }
    }
    let read_at = Millis((read_at.0 as i64 + clock_offset).max(0) as u64);
    Some(RecoveredState { info: info.clone(), lanes, terms, engine, clock_offset, read_at })
}
