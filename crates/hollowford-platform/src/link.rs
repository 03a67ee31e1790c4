//! The link to one worker: a session that starts with a claim.
//!
//! The scheduler relies on these guarantees of workers: they reject orders of older epochs and of
//! ended sessions, leases end by the worker's own clock, and the reply to a claim is complete.

use hollowford_core::{Epoch, PartitionId};
use hollowford_protocol::v1;
use hollowford_protocol::v1::worker_client::WorkerClient;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Endpoint;

/// Maximum number of orders queued for one worker.
const MAX_QUEUED_ORDERS: usize = 1_024;

/// Sender of orders to one worker.
pub type Orders = mpsc::Sender<v1::Order>;

/// Stream of reports from one worker.
pub type Reports = Streaming<v1::Report>;

/// Reason why a worker could not be claimed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The worker can't be reached, or the session ended.
    #[error("worker: {0}")]
    Unreachable(String),
    /// The worker has been claimed by an owner with a higher epoch.
    #[error("the worker was claimed with a higher epoch")]
    Deposed,
}

impl From<tonic::Status> for LinkError {
    fn from(s: tonic::Status) -> LinkError {
        LinkError::Unreachable(s.message().to_owned())
    }
}

/// The claim that starts a session.
#[derive(Clone, Copy, Debug)]
pub struct WorkerClaim<'a> {
    /// Address of the worker, as `IP:port`.
    pub addr: &'a str,
    /// Partition that claims the worker.
    pub partition: PartitionId,
    /// Epoch of the partition's owner.
    pub epoch: Epoch,
    /// Id of the owner's process.
    pub owner: &'a str,
}

/// Opens a session with a worker and claims it. Returns the channels of the session and the
/// worker's reply to the claim.
///
/// # Errors
/// `Unreachable` if the connection fails or takes longer than `timeout`; `Deposed` if an owner with
/// a higher epoch has claimed the worker.
pub async fn attach(
    claim: WorkerClaim<'_>,
    timeout: Duration,
) -> Result<(Orders, Reports, v1::Report), LinkError> {
    let opened = tokio::time::timeout(timeout, open(claim, timeout)).await;
    opened.map_err(|_| LinkError::Unreachable("the claim timed out".to_owned()))?
}

async fn open(
    claim: WorkerClaim<'_>,
    timeout: Duration,
) -> Result<(Orders, Reports, v1::Report), LinkError> {
    let unreachable = |e: tonic::transport::Error| LinkError::Unreachable(e.to_string());
    let endpoint = Endpoint::from_shared(format!("http://{}", claim.addr)).map_err(unreachable)?;
    let channel = endpoint
        .connect_timeout(timeout)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(timeout)
        .keep_alive_timeout(timeout)
        .connect()
        .await
        .map_err(unreachable)?;
    let (tx, rx) = mpsc::channel(MAX_QUEUED_ORDERS);
    let claim = v1::Claim {
        partition: claim.partition.0,
        epoch: claim.epoch.0,
        owner: claim.owner.to_owned(),
    };
    let order = v1::Order { order: Some(v1::order::Order::Claim(claim)) };
    let closed = |_| LinkError::Unreachable("session closed".to_owned());
    tx.send(order).await.map_err(closed)?;
    let reply = WorkerClient::new(channel).attach(ReceiverStream::new(rx)).await?;
    let mut reports = reply.into_inner();
    let first = reports
        .message()
        .await?
        .ok_or_else(|| LinkError::Unreachable("closed before the claim reply".to_owned()))?;
    match &first.report {
        Some(v1::report::Report::Claimed(c)) if c.accepted => Ok((tx, reports, first)),
        Some(v1::report::Report::Claimed(_)) => Err(LinkError::Deposed),
        _ => Err(LinkError::Unreachable("the first report is not a claim reply".to_owned())),
    }
}
