//! Starts and stops the duties of a process.

use crate::front::{Front, MetricsPage, Readiness};
use crate::inbox::OwnerMsg;
use crate::metrics::Metrics;
use crate::partition::{PartitionContext, Route};
use crate::shared::Shared;
use crate::{announce, config_watch, ownership, peers, plan, reload};
use futures::future::join_all;
use hollowford_adapter::{
    AdviceClient, CallError, NodeSettings, StoreClient, StoreError, WorkerClient,
};
use poem::Endpoint;
use poem::listener::TcpListener as PoemListener;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{oneshot, watch as channel};
use tokio::time::{sleep, timeout};

/// Idle channels of callers are closed after this time.
const CALLER_IDLE: Duration = Duration::from_secs(75);
/// A stopping owner waits so long for its hand-over.
const HAND_OVER: Duration = Duration::from_millis(1_600);
/// A stopping process takes new channels for so long: the balancer asks every second, and
/// stops sending after two refusals.
const LINGER: Duration = Duration::from_millis(2_600);
/// How often it looks whether requests are open, and the time for the last bytes to leave.
const LAST_CHECK: Duration = Duration::from_millis(40);
/// Longest time for answers that are open when it stops taking channels.
const LAST_ANSWERS: Duration = Duration::from_millis(2_600);

/// Why a process can't run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address can't be bound.
    #[error("{addr}: {error}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
    /// Signals can't be waited for.
    #[error("signals: {0}")]
    Signal(std::io::Error),
    /// No client of the store can be made.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// No client of the service for advice, or of the workers, can be made.
    #[error(transparent)]
    Client(#[from] CallError),
    /// The metrics can't be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// What is said on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Metrics are served on this port of the process's address, if one is given.
    pub metrics_port: Option<u16>,
    /// Workers of one partition, when the cell first starts.
    pub workers_each: NonZeroUsize,
}

/// Runs a process until it is told to stop.
///
/// # Errors
/// When an address can't be bound, or a part can't be made.
pub async fn run(settings: NodeSettings, options: NodeOptions) -> Result<(), NodeError> {
    let mut term = signal(SignalKind::terminate()).map_err(NodeError::Signal)?;
    let hup = signal(SignalKind::hangup()).map_err(NodeError::Signal)?;
    let shared = make_shared(settings)?;
    let addresses = shared.settings.addresses.clone();
    let bind = |addr| move |error| NodeError::Bind { addr, error };
    let listener = TcpListener::bind(addresses.peers).await.map_err(bind(addresses.peers))?;
    log::info!(
        "process.started name={} zone={} boot={} callers={}",
        shared.settings.name,
        shared.settings.zone,
        shared.boot,
        addresses.callers
    );
    let (stop, stopped) = channel::channel(false);
    let mut servers = tokio::task::JoinSet::new();
    servers.spawn(serve(addresses.callers, Front::new(shared.clone()), stopped.clone()));
    servers.spawn(serve(addresses.readiness, Readiness::new(shared.clone()), stopped.clone()));
    if let Some(port) = options.metrics_port {
        let addr = SocketAddr::new(addresses.peers.ip(), port);
        servers.spawn(serve(addr, MetricsPage::new(shared.clone()), stopped));
    }
    start_duties(&shared, options.workers_each, listener, hup);
    tokio::select! {
        _ = term.recv() => {}
        Some(ended) = servers.join_next() => {
            // A server ends by itself only when its address can't be bound.
            if let Ok(Err(e)) = ended {
                return Err(e);
            }
        }
    }
    end(&shared, &stop).await;
    Ok(())
}

/// Starts what runs until the process ends.
fn start_duties(
    shared: &Arc<Shared>,
    workers_each: NonZeroUsize,
    listener: TcpListener,
    hup: Signal,
) {
    tokio::spawn(peers::accept(shared.clone(), listener));
    tokio::spawn(config_watch::poll_config(shared.clone()));
    tokio::spawn(config_watch::follow_config(shared.clone()));
    tokio::spawn(announce::register(shared.clone()));
    tokio::spawn(join_partitions(shared.clone(), workers_each));
    tokio::spawn(reload::follow_settings(shared.clone(), hup));
}

/// Learns how many partitions there are, and joins or owns each from then on.
async fn join_partitions(shared: Arc<Shared>, workers_each: NonZeroUsize) {
    shared.set_partitions(plan::learn(&shared, workers_each).await);
    for partition in shared.partitions() {
        let cx = PartitionContext { shared: shared.clone(), partition: partition.clone() };
        tokio::spawn(ownership::run(cx));
    }
    config_watch::poll_unless_confirmed(&shared).await;
}

/// Ends the process's service without cutting a request.
async fn end(shared: &Shared, stop: &channel::Sender<bool>) {
    log::info!("process.stopping");
    shared.stopping.store(true, Ordering::Relaxed);
    let began = shared.clock.now();
    hand_over(shared).await;
    sleep(LINGER.saturating_sub(shared.clock.now().since(began).duration())).await;
    // No new channels from here on, and the channels that are idle are closed.
    let _ = stop.send(true);
    answer_the_last(shared).await;
    log::info!("process.stopped");
}

fn make_shared(settings: NodeSettings) -> Result<Arc<Shared>, NodeError> {
    let store = StoreClient::new(settings.store)?;
    let advice = settings.advice.map(AdviceClient::new).transpose()?;
    let workers = WorkerClient::new()?;
    Ok(Arc::new(Shared::new(settings, store, advice, workers, Metrics::new()?)))
}

async fn serve<E>(
    addr: SocketAddr,
    endpoint: E,
    mut stopped: channel::Receiver<bool>,
) -> Result<(), NodeError>
where
    E: Endpoint<Output = poem::Response> + 'static,
{
    let signal = async move {
        // An error means that the process ends, too.
        let _ = stopped.wait_for(|&s| s).await;
    };
    poem::Server::new(PoemListener::bind(addr.to_string()))
        .idle_timeout(CALLER_IDLE)
        .run_with_graceful_shutdown(endpoint, signal, Some(LAST_ANSWERS))
        .await
        .map_err(|error| NodeError::Bind { addr, error })
}

/// Waits until all requests are answered, and the answers are on their way.
async fn answer_the_last(shared: &Shared) {
    let began = shared.clock.now();
    while shared.open_calls.load(Ordering::Relaxed) > 0
        && shared.clock.now().since(began).duration() < LAST_ANSWERS
    {
        sleep(LAST_CHECK).await;
    }
    sleep(LAST_CHECK).await;
}

/// Hands over the partitions that this process owns.
async fn hand_over(shared: &Shared) {
    let mut handed_over = Vec::new();
    for partition in shared.partitions() {
        let Route::Local(owner) = partition.route.borrow().clone() else { continue };
        let (tx, rx) = oneshot::channel();
        owner.send(OwnerMsg::Stop(tx)).await;
        handed_over.push(rx);
    }
    if timeout(HAND_OVER, join_all(handed_over)).await.is_err() {
        log::warn!("owner.hand_over timed_out=true");
    }
}
