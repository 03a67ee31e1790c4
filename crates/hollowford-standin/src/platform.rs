//! The platform: transactional table, object store and instance list over HTTP.

use hollowford_platform::wire::{
    Check, Instance, ReadBody, Row, RowsReply, ScanBody, TxnBody, TxnReply, Value,
};
use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path};
use poem::{Body, EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Faults in force. Replaced as a whole by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call to the table and the objects fails.
    pub outage: bool,
    /// Calls wait this many milliseconds first.
    pub slow_ms: u64,
    /// This many transactions take effect and lose their reply.
    pub lose_replies: u32,
    /// Scans of keys that start with this fail; empty: none do.
    pub no_scans: String,
    /// The instance list stays as it is.
    pub freeze_list: bool,
}

#[derive(Debug, Default)]
struct Store {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    last_version: u64,
    objects: BTreeMap<String, Vec<u8>>,
    instances: BTreeMap<String, Instance>,
    shown: Vec<Instance>,
    faults: Faults,
}

#[derive(Debug, Default)]
struct Shared {
    store: Mutex<Store>,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Shared {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits and fails as the faults say.
    async fn suffer(&self) -> Result<(), poem::Error> {
        let faults = self.store().faults.clone();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.outage { Err(unavailable()) } else { Ok(()) }
    }
}

fn unavailable() -> poem::Error {
    poem::Error::from_status(StatusCode::SERVICE_UNAVAILABLE)
}

type State<'a> = Data<&'a Arc<Shared>>;

#[handler]
async fn txn(shared: State<'_>, body: Json<TxnBody>) -> poem::Result<Json<TxnReply>> {
    shared.suffer().await?;
    shared.writes.fetch_add(1, Ordering::Relaxed);
    let mut store = shared.store();
    let reply = store.apply(&body);
    if reply.version.is_some() && store.faults.lose_replies > 0 {
        store.faults.lose_replies -= 1;
        return Err(unavailable());
    }
    Ok(Json(reply))
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    fn apply(&mut self, body: &TxnBody) -> TxnReply {
        let differs = |c: &&Check| self.version(&c.key) != c.version;
        let conflicts: Vec<Check> = body
            .checks
            .iter()
            .filter(differs)
            .map(|c| Check { key: c.key.clone(), version: self.version(&c.key) })
            .collect();
        if !conflicts.is_empty() {
            return TxnReply { version: None, conflicts };
        }
        self.last_version += 1;
        let version = self.last_version;
        for write in &body.writes {
            match &write.value {
                Some(value) => {
                    self.rows.insert(write.key.clone(), (version, value.0.clone()));
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        TxnReply { version: Some(version), conflicts }
    }
}

fn row(key: &str, stored: &(u64, Vec<u8>)) -> Row {
    Row { key: key.to_owned(), version: stored.0, value: Value(stored.1.clone()) }
}

#[handler]
async fn read(shared: State<'_>, body: Json<ReadBody>) -> poem::Result<Json<RowsReply>> {
    shared.suffer().await?;
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let store = shared.store();
    let find = |key: &String| store.rows.get(key).map(|stored| row(key, stored));
    Ok(Json(RowsReply { rows: body.keys.iter().filter_map(find).collect() }))
}

#[handler]
async fn scan(shared: State<'_>, body: Json<ScanBody>) -> poem::Result<Json<RowsReply>> {
    shared.suffer().await?;
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let store = shared.store();
    let barred = &store.faults.no_scans;
    if !barred.is_empty() && body.prefix.starts_with(barred) {
        return Err(unavailable());
    }
    let from = body.after.clone().max(body.prefix.clone());
    let rows = store
        .rows
        .range(from..)
        .take_while(|(key, _)| key.starts_with(&body.prefix))
        .filter(|(key, _)| **key > body.after)
        .take(body.limit)
        .map(|(key, stored)| row(key, stored))
        .collect();
    Ok(Json(RowsReply { rows }))
}

#[handler]
async fn put_object(shared: State<'_>, Path(key): Path<String>, body: Body) -> poem::Result<()> {
    shared.suffer().await?;
    shared.writes.fetch_add(1, Ordering::Relaxed);
    let value = body.into_vec().await?;
    shared.store().objects.insert(key, value);
    Ok(())
}

#[handler]
async fn get_object(shared: State<'_>, Path(key): Path<String>) -> poem::Result<Response> {
    shared.suffer().await?;
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let store = shared.store();
    Ok(match store.objects.get(&key) {
        Some(value) => value.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    })
}

#[handler]
async fn delete_object(shared: State<'_>, Path(key): Path<String>) -> poem::Result<()> {
    shared.suffer().await?;
    shared.writes.fetch_add(1, Ordering::Relaxed);
    shared.store().objects.remove(&key);
    Ok(())
}

#[handler]
async fn instances(shared: State<'_>) -> poem::Result<Json<Vec<Instance>>> {
    shared.suffer().await?;
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let mut store = shared.store();
    if !store.faults.freeze_list {
        store.shown = store.instances.values().cloned().collect();
    }
    Ok(Json(store.shown.clone()))
}

#[handler]
fn register(shared: State<'_>, body: Json<Vec<Instance>>) {
    let mut store = shared.store();
    for instance in &body.0 {
        store.instances.insert(instance.id.clone(), instance.clone());
    }
}

#[handler]
fn remove(shared: State<'_>, Path(id): Path<String>) {
    shared.store().instances.remove(&id);
}

#[handler]
fn set_faults(shared: State<'_>, body: Json<Faults>) {
    shared.store().faults = body.0;
}

/// What the stand-in has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// Reads of rows, scans, objects and the list.
    pub reads: u64,
    /// Transactions and writes of objects.
    pub writes: u64,
    /// Rows that there are.
    pub rows: usize,
    /// Bytes of all rows' values.
    pub row_bytes: usize,
}

#[handler]
fn served(shared: State<'_>) -> Json<Served> {
    let store = shared.store();
    Json(Served {
        reads: shared.reads.load(Ordering::Relaxed),
        writes: shared.writes.load(Ordering::Relaxed),
        rows: store.rows.len(),
        row_bytes: store.rows.values().map(|(_, value)| value.len()).sum(),
    })
}

/// Starts the platform on `addr` and returns the address that it got. It serves
/// for as long as the runtime lives.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(addr: &str) -> io::Result<SocketAddr> {
    let shared: Arc<Shared> = Arc::default();
    let app = Route::new()
        .at("/table/txn", post(txn))
        .at("/table/read", post(read))
        .at("/table/scan", post(scan))
        .at("/objects/*key", get(get_object).put(put_object).delete(delete_object))
        .at("/instances", get(instances).post(register))
        .at("/instances/:id/remove", post(remove))
        .at("/faults", post(set_faults))
        .at("/served", get(served))
        .data(shared);
    let acceptor = TcpListener::bind(addr.to_owned()).into_acceptor().await?;
    let local = acceptor.local_addr().into_iter().find_map(|a| a.as_socket_addr().copied());
    let local = local.ok_or_else(|| io::Error::other("no address"))?;
    tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
    Ok(local)
}
