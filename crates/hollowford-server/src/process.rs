//! Starts and stops the threads of one process.

use crate::entry::TlsError;
use crate::entry::{
    CountedService, MAX_CALLS_PER_CONNECTION, MAX_MESSAGE_BYTES, MAX_METADATA_BYTES,
    OperatorService, ReloadingTlsConfig, SchedulerService, WINDOW_BYTES, accept_callers,
    accept_tls,
};
use crate::shared::Shared;
use crate::{admin, decide, ledger, ownership, peers, watch, workers};
use hollowford_config::Settings;
use hollowford_connections::{self as connections, HttpLimits, Listener, Pool, serve_http};
use hollowford_core::{Millis, PartitionId};
use hollowford_platform::StoreError;
use hollowford_protocol::v1::operator_server::OperatorServer;
use hollowford_protocol::v1::scheduler_server::SchedulerServer;
use poem::EndpointExt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch as watch_channel;

/// Number of threads of the entry's runtime.
const ENTRY_THREADS: usize = 2;
/// Maximum wait for open calls at a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the checks whether a stop is complete.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time for the load balancer to notice that the process is no longer ready.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);

/// Interval of the checks whether limits on connections were met.
const LIMITS_LOG_INTERVAL: Duration = Duration::from_millis(500);
/// Limits on requests for metrics, health and state.
const ADMIN_LIMITS: HttpLimits = HttpLimits {
    max_head_bytes: 16 << 10,
    head_timeout: Millis(3_000),
    idle_timeout: Millis(75_000),
};

/// An error that prevents a process from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be bound, or a thread can't be started.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The client of the store can't be created.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A certificate or key can't be used.
    #[error("tls: {0}")]
    Tls(#[from] TlsError),
    /// Two metrics have the same name.
    #[error("{0}")]
    Metrics(#[from] prometheus::Error),
}

/// The addresses on which a process listens, with the actual ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for client accounts and operators.
    pub callers: SocketAddr,
    /// Address for other processes.
    pub peers: SocketAddr,
    /// Address for metrics, health and state.
    pub admin: SocketAddr,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    shared: Arc<Shared>,
    addresses: Addresses,
}

fn runtime(threads: usize) -> io::Result<Runtime> {
    let mut builder = if threads > 1 {
        let mut b = Builder::new_multi_thread();
        b.worker_threads(threads).thread_name("entry");
        b
    } else {
        Builder::new_current_thread()
    };
    builder.enable_all().build()
}

/// Starts a thread that runs the future on a runtime of its own.
fn spawn_thread<F>(name: &str, run: F) -> io::Result<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let rt = runtime(1)?;
    std::thread::Builder::new().name(name.to_owned()).spawn(move || rt.block_on(run))?;
    Ok(())
}

impl Process {
    /// Starts all threads.
    ///
    /// # Errors
    /// If an address can't be bound, a thread can't be started, a certificate can't be used, or
    /// the client of the store can't be created.
    pub fn start(settings: Settings) -> Result<Process, StartError> {
        let shared = Shared::new(settings)?;
        let listen = shared.settings.listen;
        let entry = runtime(ENTRY_THREADS)?;
        let listeners = entry.block_on(async { bind_all(listen) })?;
        let addresses = listeners.addresses;
        *shared.peer_addr.lock().unwrap_or_else(PoisonError::into_inner) =
            addresses.peers.to_string();

        spawn_thread("decide", decide::run(shared.clone()))?;
        let s = shared.clone();
        spawn_thread("ledger", async move {
            if let Err(e) = ledger::run(s).await {
                log::error!("the ledger thread ended: {e}");
            }
        })?;
        spawn_thread("workers", workers::run(shared.clone()))?;
        let peers = listeners.peers;
        let s = shared.clone();
        spawn_thread("peers", async move {
            match TcpListener::from_std(peers) {
                Ok(listener) => peers::run(s, listener).await,
                Err(e) => log::error!("the peers thread ended: {e}"),
            }
        })?;
        start_watch(&shared)?;
        start_admin(&shared, listeners.admin)?;
        start_entry(&shared, entry, listeners.callers)?;
        Ok(Process { shared, addresses })
    }

    /// Returns the addresses on which the process listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Starts a planned stop: the process hands over its partitions. Doesn't wait for it.
    pub fn stop(&self) {
        self.shared.stopping.send_replace(true);
    }

    /// Returns true if a stop was requested, by a signal or an operator.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Waits until the partitions are handed over and the open calls are answered. After the
    /// hand-over it waits for open calls for a limited time only.
    pub fn wait_stopped(self) {
        while !self.shared.handed_over.load(Ordering::Acquire) {
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        std::thread::sleep(LOAD_BALANCER_DELAY);
        let mut waited = Duration::ZERO;
        while self.shared.calls_open.load(Ordering::Acquire) > 0 && waited < STOP_TIMEOUT {
            std::thread::sleep(STOP_CHECK_INTERVAL);
            waited += STOP_CHECK_INTERVAL;
        }
        // The last replies are written but may not be sent yet.
        std::thread::sleep(STOP_CHECK_INTERVAL);
        let open = self.shared.calls_open.load(Ordering::Acquire);
        log::info!("stopped calls_open={open}");
    }
}

/// The listening sockets of a process and their addresses.
struct BoundListeners {
    addresses: Addresses,
    callers: TcpListener,
    peers: std::net::TcpListener,
    admin: std::net::TcpListener,
}

/// Binds the addresses. Needs a runtime.
fn bind_all(listen: hollowford_config::Listen) -> io::Result<BoundListeners> {
    let callers = connections::bind(Listener::Callers, listen.callers)?;
    let peers = connections::bind(Listener::Peers, listen.peers)?.into_std()?;
    let admin = connections::bind(Listener::Metrics, listen.admin)?.into_std()?;
    let addresses = Addresses {
        callers: callers.local_addr()?,
        peers: peers.local_addr()?,
        admin: admin.local_addr()?,
    };
    Ok(BoundListeners { addresses, callers, peers, admin })
}

/// Starts the `watch` thread, which reads the store periodically and manages the leases.
fn start_watch(shared: &Arc<Shared>) -> Result<(), StartError> {
    let shared = shared.clone();
    let store = shared.store()?;
    let watch = async move {
        tokio::spawn(watch::watch_config(shared.clone(), store.clone()));
        tokio::spawn(watch::watch_instances(shared.clone(), store.clone()));
        tokio::spawn(ownership::follow_owner_rows(shared.clone(), store.clone()));
        let members = tokio::spawn(watch::watch_members(shared.clone(), store.clone()));
        let managers: Vec<_> = (0..shared.settings.partitions)
            .map(|p| tokio::spawn(ownership::run(shared.clone(), store.clone(), PartitionId(p))))
            .collect();
        for task in managers.into_iter().chain([members]) {
            if let Err(e) = task.await {
                log::error!("a task of the watch thread failed: {e}");
            }
        }
        shared.handed_over.store(true, Ordering::Release);
        // The thread keeps reading the owner rows, so that open calls reach the next owners.
        std::future::pending().await
    };
    spawn_thread("watch", watch)?;
    Ok(())
}

fn start_admin(shared: &Arc<Shared>, listener: std::net::TcpListener) -> Result<(), StartError> {
    let app = admin::routes(shared.clone()).map_to_response();
    let pool = shared.connections.clone();
    spawn_thread("admin", async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                tokio::spawn(log_limits(pool.clone()));
                // The thread serves until the process ends.
                let (_tx, stopped) = watch_channel::channel(false);
                let limits = || ADMIN_LIMITS;
                serve_http(listener, Listener::Metrics, pool, app, limits, stopped).await;
            }
            Err(e) => log::error!("the admin thread ended: {e}"),
        }
    })?;
    Ok(())
}

/// Logs when limits on connections of callers and other processes were met. Never returns.
async fn log_limits(pool: Arc<Pool>) {
    loop {
        tokio::time::sleep(LIMITS_LOG_INTERVAL).await;
        pool.log_if_limited(Listener::Callers);
        pool.log_if_limited(Listener::Peers);
    }
}

fn start_entry(shared: &Arc<Shared>, rt: Runtime, listener: TcpListener) -> Result<(), StartError> {
    let store = shared.store()?;
    let scheduler = SchedulerService { shared: shared.clone(), store: store.clone() };
    let operator = OperatorService { shared: shared.clone(), store };
    let scheduler = SchedulerServer::new(scheduler).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let operator = OperatorServer::new(operator).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let server = tonic::transport::Server::builder()
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_CALLS_PER_CONNECTION)
        .http2_max_header_list_size(MAX_METADATA_BYTES)
        .add_service(CountedService(scheduler))
        .add_service(CountedService(operator));
    let tls = shared.settings.tls.as_ref().map(ReloadingTlsConfig::new).transpose()?;
    let pool = shared.connections.clone();
    let run = move || {
        let served = rt.block_on(async {
            let incoming = accept_callers(pool, listener);
            match tls {
                None => server.serve_with_incoming(incoming).await,
                Some(tls) => server.serve_with_incoming(accept_tls(incoming, tls)).await,
            }
        });
        if let Err(e) = served {
            log::error!("the entry thread ended: {e}");
        }
    };
    std::thread::Builder::new().name("entry".to_owned()).spawn(run)?;
    Ok(())
}
