//! The gRPC service of a worker.

use super::state::{Settings, StandinWorker};
use crate::record::Recorder;
use hollowford_platform::Platform;
use hollowford_platform::rows::Instance;
use hollowford_protocol::v1;
use hollowford_protocol::v1::order::Order;
use hollowford_protocol::v1::worker_server::{Worker, WorkerServer};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

/// Time between two checks of a worker's tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Largest number of reports waiting to be sent.
const MAX_QUEUED_REPORTS: usize = 65_536;

/// The gRPC service of one worker.
#[derive(Clone, Debug)]
struct Service(Arc<StandinWorker>);

#[tonic::async_trait]
impl Worker for Service {
    type AttachStream = ReceiverStream<Result<v1::Report, Status>>;

    async fn attach(
        &self,
        req: Request<Streaming<v1::Order>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let mut orders = req.into_inner();
        let first = orders.message().await?.and_then(|o| o.order);
        let Some(Order::Claim(claim)) = first else {
            return Err(Status::invalid_argument("the first order must be a claim"));
        };
        let (tx, rx) = mpsc::channel(MAX_QUEUED_REPORTS);
        if let Some(session) = self.0.claim(&claim, tx) {
            let worker = self.0.clone();
            tokio::spawn(async move {
                while let Ok(Some(order)) = orders.message().await {
                    if order.order.is_some_and(|o| !worker.handle_order(session, o)) {
                        return;
                    }
                }
            });
        }
        Ok(Response::new(ReceiverStream::new(rx)))
    }
}

/// Starts a worker on `addr`, which serves until the runtime is dropped. Returns the worker and
/// its instance with the bound address.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn start(
    addr: &str,
    mut settings: Settings,
    recorder: Arc<Recorder>,
    object_store: Option<Platform>,
) -> io::Result<(Arc<StandinWorker>, Instance)> {
    let listener = TcpListener::bind(addr).await?;
    let local: SocketAddr = listener.local_addr()?;
    settings.instance.addr = local.to_string();
    let instance = settings.instance.clone();
    let worker = Arc::new(StandinWorker::new(settings, recorder, object_store));
    let service = WorkerServer::new(Service(worker.clone()));
    let server = tonic::transport::Server::builder().add_service(service);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    tokio::spawn(server.serve_with_incoming(incoming));
    let weak_worker = Arc::downgrade(&worker);
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        while let Some(worker) = weak_worker.upgrade() {
            worker.tick();
            drop(worker);
            ticks.tick().await;
        }
    });
    Ok((worker, instance))
}
