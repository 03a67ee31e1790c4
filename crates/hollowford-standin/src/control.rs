//! HTTP endpoints that inject faults into workers and return their record.

use crate::record::{Line, Recorder};
use crate::worker::StandinWorker;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, Route, Server, get, handler, post};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The workers of one process.
pub struct ControlledWorkers {
    /// The workers by id.
    pub workers: BTreeMap<String, Arc<StandinWorker>>,
    /// Their shared record.
    pub recorder: Arc<Recorder>,
}

type State<'a> = Data<&'a Arc<ControlledWorkers>>;

#[handler]
fn leave(state: State<'_>, Path(id): Path<String>) {
    if let Some(w) = state.workers.get(&id) {
        w.announce_leaving();
    }
}

#[handler]
fn disconnect(state: State<'_>, Path(id): Path<String>) {
    if let Some(w) = state.workers.get(&id) {
        w.disconnect();
    }
}

#[handler]
fn fail(state: State<'_>, Path((id, on)): Path<(String, bool)>) {
    if let Some(w) = state.workers.get(&id) {
        w.set_fail_all(on);
    }
}

#[handler]
fn reject_claims(state: State<'_>, Path((id, on)): Path<(String, bool)>) {
    if let Some(w) = state.workers.get(&id) {
        w.set_rejects_claims(on);
    }
}

#[handler]
fn record(state: State<'_>) -> Json<Vec<Line>> {
    Json(state.recorder.lines())
}

/// Starts the control endpoints on a free port and returns their address.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn start(controlled: ControlledWorkers) -> io::Result<SocketAddr> {
    let app = Route::new()
        .at("/leave/:id", post(leave))
        .at("/cut/:id", post(disconnect))
        .at("/fail/:id/:on", post(fail))
        .at("/deaf/:id/:on", post(reject_claims))
        .at("/record", get(record))
        .data(Arc::new(controlled));
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
    let local = acceptor.local_addr().into_iter().find_map(|a| a.as_socket_addr().copied());
    let local = local.ok_or_else(|| io::Error::other("no address"))?;
    tokio::spawn(Server::new_with_acceptor(acceptor).run(app));
    Ok(local)
}
