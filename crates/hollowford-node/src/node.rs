//! Starts and stops the tasks of a process.

use crate::http_endpoints::{CallerEndpoint, MetricsEndpoint, ReadinessEndpoint};
use crate::inbox::OwnerMsg;
use crate::metrics::Metrics;
use crate::partition::{PartitionContext, Route};
use crate::shared::Shared;
use crate::{announce, config_watch, ownership, peers, plan, reload};
use futures::future::join_all;
use hollowford_adapter::{
    AdviceClient, CallError, NodeSettings, StoreClient, StoreError, WorkerClient,
};
use hollowford_connections::{self as connections, Listener, serve_http};
use poem::Endpoint;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{oneshot, watch as channel};
use tokio::time::{sleep, timeout};

/// How long a stopping process waits for its owners to hand over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// How long a stopping process still accepts connections. The load balancer probes every second and
/// stops routing after two failed probes.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Interval of the checks for open requests, and time for the last bytes to be sent.
const OPEN_CALLS_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum time for open requests once no more connections are accepted.
const OPEN_CALLS_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Why a process can't run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address can't be bound.
    #[error("{addr}: {error}")]
    Bind {
        /// The address that can't be bound.
        addr: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A signal handler can't be installed.
    #[error("signals: {0}")]
    Signal(std::io::Error),
    /// The client of the store can't be created.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The client of the advice service or of the workers can't be created.
    #[error(transparent)]
    Client(#[from] CallError),
    /// The metrics can't be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Options from the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Port on which the metrics are served, on the IP address for peers. Not served if `None`.
    pub metrics_port: Option<u16>,
    /// Number of workers per partition, used to choose the number of partitions when the cell first
    /// starts.
    pub workers_per_partition: NonZeroUsize,
}

/// Runs a process until it receives SIGTERM.
///
/// # Errors
/// Returns an error if an address can't be bound or a client can't be created.
pub async fn run(settings: NodeSettings, options: NodeOptions) -> Result<(), NodeError> {
    let mut term = signal(SignalKind::terminate()).map_err(NodeError::Signal)?;
    let hup = signal(SignalKind::hangup()).map_err(NodeError::Signal)?;
    let shared = make_shared(settings)?;
    let addresses = shared.settings.addresses.clone();
    let bind = |addr| move |error| NodeError::Bind { addr, error };
    let listener =
        connections::bind(Listener::Peers, addresses.peers).map_err(bind(addresses.peers))?;
    log::info!(
        "process.started name={} zone={} boot={} callers={}",
        shared.settings.name,
        shared.settings.zone,
        shared.boot,
        addresses.callers
    );
    let (stop, stopped) = channel::channel(false);
    let mut servers = tokio::task::JoinSet::new();
    let callers = CallerEndpoint::new(shared.clone());
    servers.spawn(serve(
        shared.clone(),
        (Listener::Callers, addresses.callers),
        callers,
        stopped.clone(),
    ));
    let readiness = ReadinessEndpoint::new(shared.clone());
    servers.spawn(serve(
        shared.clone(),
        (Listener::Probes, addresses.readiness),
        readiness,
        stopped.clone(),
    ));
    if let Some(port) = options.metrics_port {
        let addr = SocketAddr::new(addresses.peers.ip(), port);
        let metrics = MetricsEndpoint::new(shared.clone());
        servers.spawn(serve(shared.clone(), (Listener::Metrics, addr), metrics, stopped));
    }
    start_tasks(&shared, options.workers_per_partition, listener, hup);
    tokio::select! {
        _ = term.recv() => {}
        Some(ended) = servers.join_next() => {
            // A server ends by itself only when its address can't be bound.
            if let Ok(Err(e)) = ended {
                return Err(e);
            }
        }
    }
    shut_down(&shared, &stop).await;
    Ok(())
}

/// Starts the tasks that run until the process ends.
fn start_tasks(
    shared: &Arc<Shared>,
    workers_per_partition: NonZeroUsize,
    listener: TcpListener,
    hup: Signal,
) {
    tokio::spawn(peers::accept(shared.clone(), listener));
    tokio::spawn(peers::report_limits(shared.clone()));
    tokio::spawn(config_watch::poll_config(shared.clone()));
    tokio::spawn(config_watch::follow_config(shared.clone()));
    tokio::spawn(announce::register(shared.clone()));
    tokio::spawn(join_partitions(shared.clone(), workers_per_partition));
    tokio::spawn(reload::follow_settings(shared.clone(), hup));
}

/// Determines the number of partitions, then joins or owns each of them.
async fn join_partitions(shared: Arc<Shared>, workers_per_partition: NonZeroUsize) {
    shared.set_partitions(plan::learn(&shared, workers_per_partition).await);
    for partition in shared.partitions() {
        let cx = PartitionContext { shared: shared.clone(), partition: partition.clone() };
        tokio::spawn(ownership::run(cx));
    }
    config_watch::poll_unless_confirmed(&shared).await;
}

/// Stops serving without interrupting open requests.
async fn shut_down(shared: &Shared, stop: &channel::Sender<bool>) {
    log::info!("process.stopping");
    shared.stopping.store(true, Ordering::Relaxed);
    let started_at = shared.clock.now();
    hand_over_partitions(shared).await;
    sleep(DRAIN_TIME.saturating_sub(shared.clock.now().since(started_at).duration())).await;
    // From here on, no connections are accepted and idle ones are closed.
    let _ = stop.send(true);
    drain_open_calls(shared).await;
    log::info!("process.stopped");
}

fn make_shared(settings: NodeSettings) -> Result<Arc<Shared>, NodeError> {
    let store = StoreClient::new(settings.store)?;
    let advice = settings.advice.map(AdviceClient::new).transpose()?;
    let workers = WorkerClient::new()?;
    Ok(Arc::new(Shared::new(settings, store, advice, workers, Metrics::new()?)))
}

/// Serves HTTP requests at an address until `stopped` is true.
async fn serve<E>(
    shared: Arc<Shared>,
    (kind, addr): (Listener, SocketAddr),
    endpoint: E,
    stopped: channel::Receiver<bool>,
) -> Result<(), NodeError>
where
    E: Endpoint<Output = poem::Response> + 'static,
{
    let listener =
        connections::bind(kind, addr).map_err(|error| NodeError::Bind { addr, error })?;
    let pool = shared.connections.clone();
    serve_http(listener, kind, pool, endpoint, || shared.http_limits(), stopped).await;
    Ok(())
}

/// Waits until all requests are answered and the answers are sent.
async fn drain_open_calls(shared: &Shared) {
    let started_at = shared.clock.now();
    while shared.open_calls.load(Ordering::Relaxed) > 0
        && shared.clock.now().since(started_at).duration() < OPEN_CALLS_TIMEOUT
    {
        sleep(OPEN_CALLS_CHECK_INTERVAL).await;
    }
    sleep(OPEN_CALLS_CHECK_INTERVAL).await;
}

/// Hands over the partitions that this process owns.
async fn hand_over_partitions(shared: &Shared) {
    let mut handed_over = Vec::new();
    for partition in shared.partitions() {
        let Route::Local(owner) = partition.route.borrow().clone() else { continue };
        let (tx, rx) = oneshot::channel();
        owner.send(OwnerMsg::Stop(tx)).await;
        handed_over.push(rx);
    }
    if timeout(HAND_OVER_TIMEOUT, join_all(handed_over)).await.is_err() {
        log::warn!("owner.hand_over timed_out=true");
    }
}
