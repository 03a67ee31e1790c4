//! The link to one worker: a session that starts with a claim.
//!
//! This is the narrow place where what hollowford assumes of workers is used:
//! older epochs and ended sessions are refused, leases end on the worker's own
//! clock, and the reply to a claim is complete.

use hollowford_core::{Epoch, PartitionId};
use hollowford_protocol::v1;
use hollowford_protocol::v1::worker_client::WorkerClient;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Endpoint;

/// Orders that may wait to be sent to one worker.
const MAX_QUEUED_ORDERS: usize = 1_024;

/// Sends orders to one worker.
pub type Orders = mpsc::Sender<v1::Order>;

/// Reports of one worker.
pub type Reports = Streaming<v1::Report>;

/// Why a worker could not be claimed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// It can't be reached, or the session ended.
    #[error("worker: {0}")]
    Unreachable(String),
    /// It obeys a higher epoch.
    #[error("the worker obeys a higher epoch")]
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
    /// Where the worker takes links, as `IP:port`.
    pub addr: &'a str,
    /// The partition that claims it.
    pub partition: PartitionId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Id of the owner's process.
    pub owner: &'a str,
}

/// Starts a session with a worker, and claims it.
///
/// # Errors
/// `Unreachable` when that takes longer than `timeout`; `Deposed` when the worker
/// obeys a higher epoch.
pub async fn attach(
    claim: WorkerClaim<'_>,
    timeout: Duration,
) -> Result<(Orders, Reports, v1::Report), LinkError> {
    let opened = tokio::time::timeout(timeout, open(claim, timeout)).await;
    opened.map_err(|_| LinkError::Unreachable("no reply to the claim in time".to_owned()))?
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
    let closed = |_| LinkError::Unreachable("closed".to_owned());
    tx.send(order).await.map_err(closed)?;
    let reply = WorkerClient::new(channel).attach(ReceiverStream::new(rx)).await?;
    let mut reports = reply.into_inner();
    let first = reports
        .message()
        .await?
        .ok_or_else(|| LinkError::Unreachable("closed before the claim".to_owned()))?;
    match &first.report {
        Some(v1::report::Report::Claimed(c)) if c.accepted => Ok((tx, reports, first)),
        Some(v1::report::Report::Claimed(_)) => Err(LinkError::Deposed),
        _ => Err(LinkError::Unreachable("the first report was no reply to the claim".to_owned())),
    }
}
