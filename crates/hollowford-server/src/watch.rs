//! Periodic reads of the configuration, the member rows and the instance list.

use crate::accounts::{ACCOUNT_PREFIX, AccountEntry, HEAD_KEY, HISTORY_PREFIX, HeadRow};
use crate::decide::DecideMsg;
use crate::shared::Shared;
use hollowford_platform::{Platform, StoreError, Txn};
use hollowford_protocol::v1;
use prost::Message;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the head of the configuration is read.
const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the member rows are read.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which a process that owns partitions reads the instance list.
const OWNER_LIST_INTERVAL: Duration = Duration::from_millis(700);
/// Interval at which a process that owns no partition reads the instance list.
const NON_OWNER_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of rows in one read.
const PAGE_ROWS: usize = 500;
const MEMBER_PREFIX: &str = "member/";
/// Time without a heartbeat after which another process's row is deleted, in milliseconds.
const MEMBER_ROW_EXPIRY_MS: u64 = 60_000;

/// Row `member/PROCESS`.
#[derive(Clone, PartialEq, prost::Message)]
struct MemberRow {
    #[prost(string, tag = "1")]
    addr: String,
    #[prost(string, tag = "2")]
    zone: String,
}

/// Keeps the active configuration up to date. Never returns.
pub(crate) async fn watch_config(shared: Arc<Shared>, store: Platform) {
    loop {
        if let Err(e) = refresh_config(&shared, &store).await {
            log::debug!("configuration not read: {e}");
        }
        tokio::select! {
            () = tokio::time::sleep(CONFIG_READ_INTERVAL) => {}
            () = shared.config_changed.notified() => {}
        }
    }
}

/// Reads the head of the configuration, and the accounts that changed since the last read.
pub(crate) async fn refresh_config(shared: &Shared, store: &Platform) -> Result<(), StoreError> {
    let requested_at = shared.clock.now();
    let known = shared.accounts.load().head;
    let row = store.get(HEAD_KEY).await?;
    let head = row.and_then(|r| HeadRow::decode(&r.value.0[..]).ok()).unwrap_or_default().head;
    if head > known {
        let entries = match known {
            0 => read_all(store).await?,
            _ => read_changed(store, known, head).await?,
        };
        // Concurrent refreshes may finish in any order; older versions are ignored.
        shared.accounts.rcu(|now| now.with_changes(head, entries.clone()));
        shared.metrics.config_head.set(head as i64);
        log::info!("config_head={head} active");
        shared.decide.send(DecideMsg::AccountsChanged).await;
    }
    shared.config_freshness.confirm(requested_at);
    Ok(())
}

async fn read_all(store: &Platform) -> Result<Vec<AccountEntry>, StoreError> {
    let mut entries = Vec::new();
    let mut after = String::new();
    loop {
        let rows = store.scan(ACCOUNT_PREFIX, &after, PAGE_ROWS).await?;
        let is_full = rows.len() == PAGE_ROWS;
        for row in rows {
            let name = row.key.trim_start_matches(ACCOUNT_PREFIX);
            entries.extend(AccountEntry::from_row(name, &row.value.0));
            after = row.key;
        }
        if !is_full {
            return Ok(entries);
        }
    }
}

async fn read_changed(
    store: &Platform,
    known: u64,
    head: u64,
) -> Result<Vec<AccountEntry>, StoreError> {
    let after = format!("{HISTORY_PREFIX}{known:016x}");
    let changes = store.scan(HISTORY_PREFIX, &after, PAGE_ROWS).await?;
    if changes.len() as u64 != head - known {
        // More changes than one read returns, or a change during the reads: read all accounts.
        return read_all(store).await;
    }
    let mut names: Vec<String> = changes
        .iter()
        .filter_map(|r| v1::ConfigChange::decode(&r.value.0[..]).ok())
        .map(|c| format!("{ACCOUNT_PREFIX}{}", c.account))
        .collect();
    names.sort_unstable();
    names.dedup();
    let keys: Vec<&str> = names.iter().map(String::as_str).collect();
    let rows = store.read(&keys).await?;
    let entry = |r: &hollowford_platform::rows::Row| {
        AccountEntry::from_row(r.key.trim_start_matches(ACCOUNT_PREFIX), &r.value.0)
    };
    Ok(rows.iter().filter_map(entry).collect())
}

/// Writes this process's member row, and reads the rows of the others until the process stops.
/// Then deletes its own row.
pub(crate) async fn watch_members(shared: Arc<Shared>, store: Platform) {
    let own = format!("{MEMBER_PREFIX}{}", shared.settings.process);
    let row = MemberRow { addr: shared.peer_addr(), zone: shared.settings.zone.clone() };
    let mut written = false;
    let mut stopping = shared.stopping.subscribe();
    while !shared.is_stopping() {
        if !written {
            let txn = Txn::new().put(&*own, row.encode_to_vec());
            written = store.txn(&txn).await.is_ok();
        }
        match store.scan(MEMBER_PREFIX, "", PAGE_ROWS).await {
            Ok(rows) => update_members(&shared, &store, &rows).await,
            Err(e) => log::debug!("members not read: {e}"),
        }
        tokio::select! {
            () = tokio::time::sleep(MEMBERS_READ_INTERVAL) => {}
            _ = stopping.changed() => {}
        }
    }
    let deleted = store.txn(&Txn::new().delete(own)).await;
    if let Err(e) = deleted {
        log::debug!("own row not deleted: {e}");
    }
}

async fn update_members(
    shared: &Shared,
    store: &Platform,
    rows: &[hollowford_platform::rows::Row],
) {
    for row in rows {
        let process = row.key.trim_start_matches(MEMBER_PREFIX);
        if process == shared.settings.process {
            continue;
        }
        if let Ok(member) = MemberRow::decode(&row.value.0[..]) {
            shared.members.add(process, &member.addr);
        }
    }
    let now = shared.clock.now();
    let is_listed = |p: &str| rows.iter().any(|r| r.key.trim_start_matches(MEMBER_PREFIX) == p);
    for (process, member) in shared.members.all() {
        let silence_ms = now.since(member.heard_at.unwrap_or_default()).0;
        if silence_ms < MEMBER_ROW_EXPIRY_MS {
            continue;
        }
        if !is_listed(&process) {
            shared.members.remove(&process);
            continue;
        }
        let key = format!("{MEMBER_PREFIX}{process}");
        let version = rows.iter().find(|r| r.key == key).map_or(0, |r| r.version);
        if store.txn(&Txn::new().check(&*key, version).delete(&*key)).await.is_ok() {
            shared.members.remove(&process);
        }
    }
}

/// Keeps the instance list up to date. Never returns.
pub(crate) async fn watch_instances(shared: Arc<Shared>, store: Platform) {
    loop {
        let is_owner = shared.metrics.partitions_owned.get() > 0;
        match store.instances().await {
            Ok(list) => {
                shared.instances.store(Arc::new(list));
                if is_owner {
                    shared.decide.send(DecideMsg::InstancesChanged).await;
                }
            }
            Err(e) => log::debug!("instance list not read: {e}"),
        }
        let interval = if is_owner { OWNER_LIST_INTERVAL } else { NON_OWNER_LIST_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = shared.instances_requested.notified() => {}
        }
    }
}
