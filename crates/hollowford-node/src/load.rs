//! What a new owner starts from: the partition's rows.

use crate::lane::lane_versions;
use crate::owner::Start;
use crate::owner_row::{OWNER_KEY, RETRY, TABLE, read_owner};
use crate::partition::Cx;
use crate::wire::OwnerInfo;
use hollowford_adapter::Feed;
use hollowford_core::Millis;
use hollowford_jobs::Engine;
use std::time::Duration;
use tokio::time::sleep;

/// Longest time for reading the partition's rows.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// An owner that lives for so long after an outage of the store has written all that it knew.
const OUTAGE_COUNTS_FOR: Millis = Millis(2_000);
/// An owner without the partition's rows for so long gives it up.
const LOAD_PATIENCE: Millis = Millis(4_000);

/// Reads what the store holds of the partition.
pub async fn load(cx: &Cx, info: &OwnerInfo) -> Option<Start> {
    let began = cx.shared.clock.now();
    loop {
        match cx.shared.store.read_all(TABLE, &cx.partition.part, LOAD_TIMEOUT).await {
            Ok(feed) => {
                cx.shared.note_store();
                return start_from(cx, info, feed);
            }
            Err(e) => log::warn!("owner.load failed epoch={} error=\"{e}\"", info.epoch),
        }
        if cx.shared.clock.now().since(began) > LOAD_PATIENCE {
            return None;
        }
        sleep(RETRY).await;
    }
}

fn start_from(cx: &Cx, info: &OwnerInfo, feed: Feed) -> Option<Start> {
    let owner = feed.rows.iter().find(|r| r.key == OWNER_KEY)?;
    let lanes = lane_versions(&feed.rows);
    let holder = read_owner(owner)?.owner?;
    if holder != *info {
        cx.partition.note_owner_info(&holder);
        return None;
    }
    let offset = feed.now.0 as i64 - cx.shared.clock.now().0 as i64;
    let mut engine = Engine::new(info.epoch, cx.shared.settings_changed.borrow().bounds, feed.now);
    engine.set_unix_offset(cx.shared.clock.unix() as i64 - feed.now.0 as i64);
    if let Some(config) = cx.shared.config.load_full() {
        engine.set_queues(&config.queues, feed.now);
        let accounts = config.accounts.as_deref().unwrap_or_default();
        engine.set_accounts(accounts);
    }
    if cx.shared.had_outage_within(OUTAGE_COUNTS_FOR) {
        engine.set_store_outage_before();
    }
    let rows: Vec<_> = feed.rows.into_iter().map(|r| (r.key, r.value)).collect();
    match engine.recover(&rows, feed.now) {
        Ok(found) => log::info!(
            "owner.recovered partition={} epoch={} {found:?}",
            info.partition,
            info.epoch
        ),
        Err(e) => {
            log::error!("owner.recover failed epoch={} error=\"{e}\"", info.epoch);
            return None;
        }
    }
    Some(Start { info: info.clone(), lanes, engine, offset })
}
