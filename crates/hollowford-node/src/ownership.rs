//! Who owns the partition: following an owner, taking over from it, being it.

use crate::inbox::OwnerHandle;
use crate::link;
use crate::member::{Parted, follow};
use crate::owner::{Owner, OwnerEnd, Start};
use crate::shared::{Route, Shared};
use crate::wire::{Body, OwnerInfo, WhoOwns};
use crate::writer::{OWNER_KEY, TABLE, owner_row, read_owner};
use hollowford_adapter::{Expect, Feed, StoreError, Transaction, TxOutcome, Version, WorkerClient};
use hollowford_core::Millis;
use hollowford_jobs::Engine;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The partition's part of the table. There is one partition while the workers are few.
pub const PARTITION: &str = "0";
/// Part of the table with a row for each process.
const NODES: &str = "nodes";
/// Longest time for a reading of the owner row, and for the writing of a takeover.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for reading the partition's rows.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after a failure.
const RETRY: Duration = Duration::from_millis(120);
/// How much later each next member takes over.
const STAGGER: Duration = Duration::from_millis(100);
/// Between two looks at the row of a silent owner that may be alive.
const ALIVE_CHECK: Duration = Duration::from_millis(120);
/// How long an announcement may take.
const ANNOUNCE: Duration = Duration::from_millis(800);
/// An owner without the partition's rows for so long gives it up.
const LOAD_PATIENCE: Millis = Millis(4_000);

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

/// Learns of an owner newer than `known`, from the store or from other processes; takes the
/// partition when there has been none.
async fn find_owner(shared: &Shared, known: u64) {
    match shared.store.read(TABLE, PARTITION, OWNER_KEY, CALL_TIMEOUT).await {
        Ok((Some(row), _)) => {
            shared.note_store();
            let owner = read_owner(&row).and_then(|r| r.owner);
            if owner.is_none_or(|o| !shared.note_owner_info(&o) && o.epoch <= known) {
                sleep(RETRY).await;
            }
        }
        Ok((None, _)) => {
            shared.note_store();
            take(shared, 0, 1, "first").await;
        }
        Err(e) => {
            log::debug!("owner.find failed error=\"{e}\"");
            ask_seeds(shared).await;
            sleep(RETRY).await;
        }
    }
}

/// Asks the seeds who owns the partition.
async fn ask_seeds(shared: &Shared) {
    for &seed in shared.settings.seeds.iter().filter(|&&s| s != shared.address()) {
        let Ok((mut reader, outbox)) = link::connect(seed).await else { continue };
        outbox.send(Body::WhoOwns(WhoOwns {}));
        if let Ok(Some(Body::Owner(info))) = timeout(CALL_TIMEOUT, link::next(&mut reader)).await
            && shared.note_owner_info(&info)
        {
            log::info!("owner.told epoch={} address={} by={seed}", info.epoch, info.address);
            return;
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
    let me = shared.address().to_string();
    let rank = members.iter().position(|m| *m == me).unwrap_or(members.len());
    if !matches!(cause, Parted::HandedOver { .. }) {
        let mut newest = shared.owner.subscribe();
        let delay = STAGGER * rank as u32;
        let newer = newest.wait_for(|o| o.epoch > info.epoch);
        if timeout(delay, newer).await.is_ok() {
            return;
        }
    }
    let Some(mut rev) = unchanged_owner(shared, info).await else { return };
    if cause == Parted::Silent {
        sleep(ALIVE_CHECK).await;
        let Some(again) = unchanged_owner(shared, info).await else { return };
        if again != rev {
            log::info!("owner.alive epoch={} though silent here", info.epoch);
            sleep(RETRY).await;
            return;
        }
        rev = again;
    }
    take(shared, rev, info.epoch + 1, cause.name()).await;
}

/// Returns the version of the owner row if it still names `info`.
async fn unchanged_owner(shared: &Shared, info: &OwnerInfo) -> Option<Version> {
    match shared.store.read(TABLE, PARTITION, OWNER_KEY, CALL_TIMEOUT).await {
        Ok((row, _)) => {
            shared.note_store();
            let row = row?;
            let owner = read_owner(&row)?.owner?;
            if owner.epoch > info.epoch {
                shared.note_owner_info(&owner);
                return None;
            }
            Some(row.version)
        }
        Err(e) => {
            log::debug!("owner.read failed error=\"{e}\"");
            ask_seeds(shared).await;
            sleep(RETRY).await;
            None
        }
    }
}

/// Writes this process into the owner row. A writing without an answer shows when the row
/// is read next.
async fn take(shared: &Shared, rev: Version, epoch: u64, cause: &str) {
    let info = shared.as_owner(epoch);
    let tx = Transaction {
        expect: vec![Expect { key: OWNER_KEY.to_owned(), version: rev }],
        put: vec![owner_row(&info, 0)],
        remove: Vec::new(),
    };
    match shared.store.transact(TABLE, PARTITION, &tx, CALL_TIMEOUT).await {
        Ok(TxOutcome::Made(_)) => {
            shared.note_store();
            log::info!("owner.taken epoch={epoch} cause={cause}");
            shared.metrics.takeovers.with_label_values(&[cause]).inc();
            shared.note_owner_info(&info);
        }
        Ok(TxOutcome::Conflict(rows)) => {
            shared.note_store();
            let owner = rows.iter().filter_map(read_owner).find_map(|r| r.owner);
            if let Some(owner) = owner {
                shared.note_owner_info(&owner);
            }
        }
        Err(e) => {
            log::info!("owner.take failed epoch={epoch} error=\"{e}\"");
            sleep(RETRY).await;
            find_owner_again(shared, epoch - 1).await;
        }
    }
}

/// Reads the owner row after a writing without an answer.
async fn find_owner_again(shared: &Shared, known: u64) {
    if let Ok((Some(row), _)) = shared.store.read(TABLE, PARTITION, OWNER_KEY, CALL_TIMEOUT).await
        && let Some(owner) = read_owner(&row).and_then(|r| r.owner)
        && owner.epoch > known
    {
        shared.note_owner_info(&owner);
    }
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

/// Reads what the store holds of the partition.
async fn load(shared: &Shared, info: &OwnerInfo) -> Option<Start> {
    let began = shared.clock.now();
    loop {
        match shared.store.read_all(TABLE, PARTITION, LOAD_TIMEOUT).await {
            Ok(feed) => {
                shared.note_store();
                return start_from(shared, info, feed);
            }
            Err(e) => log::warn!("owner.load failed epoch={} error=\"{e}\"", info.epoch),
        }
        if shared.clock.now().since(began) > LOAD_PATIENCE {
            return None;
        }
        sleep(RETRY).await;
    }
}

fn start_from(shared: &Shared, info: &OwnerInfo, feed: Feed) -> Option<Start> {
    let owner = feed.rows.iter().find(|r| r.key == OWNER_KEY)?;
    let rev = owner.version;
    let holder = read_owner(owner)?.owner?;
    if holder != *info {
        shared.note_owner_info(&holder);
        return None;
    }
    let offset = feed.now.0 as i64 - shared.clock.now().0 as i64;
    let mut engine =
        Engine::new(info.epoch, shared.settings_changed.borrow().bounds.into(), feed.now);
    engine.set_unix_offset(shared.clock.unix() as i64 - feed.now.0 as i64);
    if let Some(config) = shared.config.load_full() {
        engine.set_queues(&config.queues);
    }
    let rows: Vec<_> = feed.rows.into_iter().map(|r| (r.key, r.value)).collect();
    match engine.recover(&rows, feed.now) {
        Ok(found) => log::info!("owner.recovered epoch={} {found:?}", info.epoch),
        Err(e) => {
            log::error!("owner.recover failed epoch={} error=\"{e}\"", info.epoch);
            return None;
        }
    }
    Some(Start { info: info.clone(), part: PARTITION.to_owned(), rev, engine, offset })
}

/// Tells every process that is known to the store who owns the partition.
async fn announce(shared: Arc<Shared>, info: OwnerInfo) {
    let nodes = match shared.store.read_all(TABLE, NODES, CALL_TIMEOUT).await {
        Ok(feed) => feed.rows,
        Err(e) => {
            log::info!("owner.announce failed error=\"{e}\"");
            return;
        }
    };
    let addresses = nodes.iter().filter_map(|r| r.key.parse::<SocketAddr>().ok());
    for addr in addresses.filter(|&a| a != shared.address()) {
        let info = info.clone();
        tokio::spawn(async move {
            if let Ok((mut reader, outbox)) = link::connect(addr).await {
                outbox.send(Body::Owner(info));
                // The other side closes the link once it has read the announcement.
                let _ = timeout(ANNOUNCE, link::next(&mut reader)).await;
            }
        });
    }
}

/// Writes this process into the list that owners announce themselves to.
pub async fn register(shared: Arc<Shared>) {
    let key = shared.address().to_string();
    let tx = Transaction {
        expect: Vec::new(),
        put: vec![(key, shared.boot.to_be_bytes().to_vec())],
        remove: Vec::new(),
    };
    loop {
        match shared.store.transact(TABLE, NODES, &tx, CALL_TIMEOUT).await {
            Ok(_) => return shared.note_store(),
            Err(StoreError::Malformed(e)) => {
                log::error!("process.register failed error=\"{e}\"");
                return;
            }
            Err(e) => log::debug!("process.register failed error=\"{e}\""),
        }
        sleep(RETRY).await;
    }
}
