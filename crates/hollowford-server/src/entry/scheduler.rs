//! The gRPC service for client accounts.

use super::auth;
use super::results::{fill_in_results, read_result};
use super::router::route;
use super::status::to_status;
use crate::shared::Shared;
use hollowford_core::{AccountId, Error, ErrorKind, PartitionId, RequestKey, Spec};
use hollowford_platform::Platform;
use hollowford_protocol::peer::{Op, Said, ViewReply};
use hollowford_protocol::v1::scheduler_server::Scheduler;
use hollowford_protocol::{check_label, check_request_id, v1};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

/// Maximum number of views or chunks that wait for one caller to receive them.
const MAX_QUEUED_STREAM_ITEMS: usize = 4;
/// Size of one chunk of a fetched result.
const FETCH_CHUNK_BYTES: usize = 256 * 1024;
/// Number of requests in a page when the caller sets no limit.
const DEFAULT_PAGE_SIZE: u32 = 100;

/// Implements the gRPC service for client accounts.
#[derive(Clone, Debug)]
pub(crate) struct SchedulerService {
    pub shared: Arc<Shared>,
    pub store: Platform,
}

/// Counts a call as open until the guard is dropped.
pub(crate) struct OpenCallGuard(Arc<Shared>);

impl OpenCallGuard {
    pub fn new(shared: &Arc<Shared>) -> OpenCallGuard {
        shared.calls_open.fetch_add(1, Ordering::AcqRel);
        OpenCallGuard(shared.clone())
    }
}

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.0.calls_open.fetch_sub(1, Ordering::AcqRel);
    }
}

fn unexpected_reply() -> Error {
    Error::new(ErrorKind::Internal, "the owner's reply does not fit the call")
}

impl SchedulerService {
    fn partition(&self, account: &AccountId, id: &str) -> PartitionId {
        RequestKey::new(account, id).partition(self.shared.settings.partitions)
    }

    async fn call_owner(&self, account: &AccountId, id: &str, op: &Op) -> Result<ViewReply, Error> {
        check_request_id(id)?;
        let partition = self.partition(account, id);
        match route(&self.shared, partition, account, op).await? {
            Said::View(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    /// Repeats the call until the caller's wait is over or this process stops. The owner lets
    /// each call wait for a limited time only, so that calls of disconnected callers end.
    async fn call_until_finished(
        &self,
        account: &AccountId,
        id: &str,
        op: &Op,
    ) -> Result<ViewReply, Error> {
        let mut stopping = self.shared.stopping.subscribe();
        let mut reply = None;
        let mut op = op.clone();
        while !*stopping.borrow() {
            tokio::select! {
                answer = self.call_owner(account, id, &op) => {
                    let answer = answer?;
                    if is_wait_over(&answer) {
                        return Ok(answer);
                    }
                    reply = Some(answer);
                    // The request is accepted, so further calls only read it.
                    op = get_final(id);
                }
                _ = stopping.changed() => {}
            }
        }
        // At a planned stop the caller gets the current view, without an answer, and asks again
        // through another process.
        match (reply, &op) {
            (Some(reply), _) => Ok(reply),
            (None, Op::Submit(req)) => {
                let req = v1::SubmitRequest { wait: false, ..req.clone() };
                self.call_owner(account, id, &Op::Submit(req)).await
            }
            (None, _) => self.call_owner(account, id, &get_now(id)).await,
        }
    }

    async fn submit(&self, req: &Request<v1::SubmitRequest>) -> Result<v1::RequestView, Error> {
        let account = auth::account(&self.shared, req.metadata())?;
        let body = req.get_ref();
        check_request_id(&body.request_id)?;
        let spec = body.spec.as_ref();
        Spec::try_from(spec.ok_or_else(|| Error::new(ErrorKind::Invalid, "spec is missing"))?)?;
        if !self.shared.is_config_usable() {
            let message = "the configuration can't be confirmed now; the request did not run";
            return Err(Error::new(ErrorKind::Unavailable, message));
        }
        let op = Op::Submit(body.clone());
        let reply = if body.wait {
            self.call_until_finished(&account, &body.request_id, &op).await?
        } else {
            self.call_owner(&account, &body.request_id, &op).await?
        };
        fill_in_results(&self.store, reply).await
    }

    async fn get(&self, req: &Request<v1::GetRequest>) -> Result<v1::RequestView, Error> {
        let account = auth::account(&self.shared, req.metadata())?;
        let body = req.get_ref();
        let op = Op::Get(body.clone());
        let reply = if body.r#final {
            self.call_until_finished(&account, &body.request_id, &op).await?
        } else {
            self.call_owner(&account, &body.request_id, &op).await?
        };
        fill_in_results(&self.store, reply).await
    }

    async fn cancel(&self, req: &Request<v1::CancelRequest>) -> Result<v1::RequestView, Error> {
        let account = auth::account(&self.shared, req.metadata())?;
        let op = Op::Cancel(req.get_ref().clone());
        let reply = self.call_owner(&account, &req.get_ref().request_id, &op).await?;
        fill_in_results(&self.store, reply).await
    }

    async fn cancel_by_label(
        &self,
        req: &Request<v1::CancelByLabelRequest>,
    ) -> Result<v1::CancelByLabelReply, Error> {
        let account = auth::account(&self.shared, req.metadata())?;
        check_label(&req.get_ref().label)?;
        let op = Op::CancelByLabel(req.get_ref().clone());
        let mut cancelled = 0;
        for p in 0..self.shared.settings.partitions {
            match route(&self.shared, PartitionId(p), &account, &op).await? {
                Said::Cancelled(reply) => cancelled += reply.cancelled,
                _ => return Err(unexpected_reply()),
            }
        }
        Ok(v1::CancelByLabelReply { cancelled })
    }

    async fn list(&self, req: &Request<v1::ListRequest>) -> Result<v1::ListReply, Error> {
        let account = auth::account(&self.shared, req.metadata())?;
        let op = Op::List(req.get_ref().clone());
        let mut requests = Vec::new();
        for p in 0..self.shared.settings.partitions {
            match route(&self.shared, PartitionId(p), &account, &op).await? {
                Said::List(reply) => requests.extend(reply.requests),
                _ => return Err(unexpected_reply()),
            }
        }
        let limit = match req.get_ref().limit {
            0 => DEFAULT_PAGE_SIZE,
            n => n,
        };
        requests.sort_by(|a, b| a.request_id.cmp(&b.request_id));
        let more = requests.len() >= limit as usize;
        requests.truncate(limit as usize);
        let last = requests.last().filter(|_| more);
        let next = last.map_or_else(String::new, |r| r.request_id.clone());
        Ok(v1::ListReply { requests, next })
    }

    /// Sends a request's views until the final answer, or until this process stops.
    async fn watch(
        &self,
        account: &AccountId,
        id: &str,
        tx: &mpsc::Sender<Result<v1::RequestView, Status>>,
    ) -> Result<(), Error> {
        let mut stopping = self.shared.stopping.subscribe();
        let mut op = get_now(id);
        let mut sent = 0;
        loop {
            let reply = tokio::select! {
                reply = self.call_owner(account, id, &op) => reply?,
                _ = stopping.changed() => return Ok(()),
                () = tx.closed() => return Ok(()),
            };
            let view = fill_in_results(&self.store, reply).await?;
            let ended = view.answer.is_some();
            let version = view.version;
            // Versions may restart at a lower number after a takeover, so any other version
            // is sent.
            if version != sent && tx.send(Ok(view)).await.is_err() {
                return Ok(());
            }
            if ended || *stopping.borrow() {
                return Ok(());
            }
            sent = version;
            let req = v1::GetRequest {
                request_id: id.to_owned(),
                after_version: version,
                r#final: false,
            };
            op = Op::Get(req);
        }
    }

    async fn fetch(&self, account: &AccountId, req: &v1::FetchRequest) -> Result<Vec<u8>, Error> {
        let reply = self.call_owner(account, &req.request_id, &get_now(&req.request_id)).await?;
        let none = || Error::new(ErrorKind::NotFound, "the request has no such result");
        let answer = reply.view.and_then(|v| v.answer).ok_or_else(none)?;
        let r = answer.results.iter().find(|r| r.index == req.index).ok_or_else(none)?;
        match reply.objects.iter().find(|o| o.index == req.index) {
            Some(object) => read_result(&self.store, object, r).await,
            None => Ok(r.result.clone()),
        }
    }

    fn to_response<T>(&self, call: &str, result: Result<T, Error>) -> Result<Response<T>, Status> {
        let kind = result.as_ref().map_or_else(|e| e.kind.info().name, |_| "ok");
        self.shared.metrics.calls.with_label_values(&[call, kind]).inc();
        result.map(Response::new).map_err(|e| to_status(&e))
    }
}

fn get_now(id: &str) -> Op {
    Op::Get(v1::GetRequest { request_id: id.to_owned(), ..Default::default() })
}

fn get_final(id: &str) -> Op {
    Op::Get(v1::GetRequest { request_id: id.to_owned(), after_version: 0, r#final: true })
}

fn is_wait_over(reply: &ViewReply) -> bool {
    // For a service, the wait is over when all of its tasks run.
    reply.view.as_ref().is_some_and(|v| {
        v.answer.is_some() || (v.queued == 0 && v.ended == 0 && v.running > 0 && v.is_service)
    })
}

#[tonic::async_trait]
impl Scheduler for SchedulerService {
    type WatchStream = ReceiverStream<Result<v1::RequestView, Status>>;
    type FetchStream = ReceiverStream<Result<v1::FetchChunk, Status>>;

    async fn submit(
        &self,
        req: Request<v1::SubmitRequest>,
    ) -> Result<Response<v1::RequestView>, Status> {
        let _open = OpenCallGuard::new(&self.shared);
        let result = SchedulerService::submit(self, &req).await;
        self.to_response("submit", result)
    }

    async fn get(&self, req: Request<v1::GetRequest>) -> Result<Response<v1::RequestView>, Status> {
        let _open = OpenCallGuard::new(&self.shared);
        let result = SchedulerService::get(self, &req).await;
        self.to_response("get", result)
    }

    async fn cancel(
        &self,
        req: Request<v1::CancelRequest>,
    ) -> Result<Response<v1::RequestView>, Status> {
        let _open = OpenCallGuard::new(&self.shared);
        let result = SchedulerService::cancel(self, &req).await;
        self.to_response("cancel", result)
    }

    async fn cancel_by_label(
        &self,
        req: Request<v1::CancelByLabelRequest>,
    ) -> Result<Response<v1::CancelByLabelReply>, Status> {
        let _open = OpenCallGuard::new(&self.shared);
        let result = SchedulerService::cancel_by_label(self, &req).await;
        self.to_response("cancel_by_label", result)
    }

    async fn list(&self, req: Request<v1::ListRequest>) -> Result<Response<v1::ListReply>, Status> {
        let _open = OpenCallGuard::new(&self.shared);
        let result = SchedulerService::list(self, &req).await;
        self.to_response("list", result)
    }

    async fn watch(
        &self,
        req: Request<v1::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let open = OpenCallGuard::new(&self.shared);
        let account = auth::account(&self.shared, req.metadata()).map_err(|e| to_status(&e))?;
        let (tx, rx) = mpsc::channel(MAX_QUEUED_STREAM_ITEMS);
        let service = self.clone();
        tokio::spawn(async move {
            let _open = open;
            let id = &req.get_ref().request_id;
            if let Err(e) = SchedulerService::watch(&service, &account, id, &tx).await {
                // The caller may have disconnected.
                let _ = tx.send(Err(to_status(&e))).await;
            }
        });
        self.to_response("watch", Ok(ReceiverStream::new(rx)))
    }

    async fn fetch(
        &self,
        req: Request<v1::FetchRequest>,
    ) -> Result<Response<Self::FetchStream>, Status> {
        let open = OpenCallGuard::new(&self.shared);
        let account = auth::account(&self.shared, req.metadata()).map_err(|e| to_status(&e))?;
        let bytes = SchedulerService::fetch(self, &account, req.get_ref()).await;
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(e) => return self.to_response("fetch", Err(e)),
        };
        let (tx, rx) = mpsc::channel(MAX_QUEUED_STREAM_ITEMS);
        tokio::spawn(async move {
            let _open = open;
            for data in bytes.chunks(FETCH_CHUNK_BYTES) {
                let chunk = v1::FetchChunk { data: data.to_vec() };
                if tx.send(Ok(chunk)).await.is_err() {
                    return;
                }
            }
        });
        self.to_response("fetch", Ok(ReceiverStream::new(rx)))
    }
}
