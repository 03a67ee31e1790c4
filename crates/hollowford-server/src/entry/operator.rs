//! The gRPC service for operators.

use super::auth;
use super::status::to_status;
use crate::accounts::{HISTORY_PREFIX, set_account};
use crate::admin::state_json;
use crate::shared::Shared;
use crate::watch::refresh_config;
use hollowford_core::{Error, ErrorKind};
use hollowford_platform::Platform;
use hollowford_protocol::v1;
use hollowford_protocol::v1::operator_server::Operator;
use prost::Message;
use std::sync::Arc;
use tonic::{Request, Response, Status};

/// Number of configuration changes in a reply when the operator sets no limit.
const DEFAULT_HISTORY_LIMIT: u32 = 20;
/// Maximum number of configuration changes in a reply.
const MAX_HISTORY_LIMIT: u32 = 100;

/// Implements the gRPC service for operators.
#[derive(Clone, Debug)]
pub(crate) struct OperatorService {
    pub shared: Arc<Shared>,
    pub store: Platform,
}

fn store_unavailable(e: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Unavailable, e.to_string())
}

impl OperatorService {
    async fn get_config(&self, req: &v1::GetConfigRequest) -> Result<v1::ConfigView, Error> {
        refresh_config(&self.shared, &self.store).await.map_err(store_unavailable)?;
        let accounts = self.shared.accounts.load();
        let found = accounts.accounts.get(&req.account.as_str().into());
        let none = || Error::new(ErrorKind::NotFound, format!("no account {:?}", req.account));
        found.map(|e| e.view()).ok_or_else(none)
    }

    async fn set_config(&self, req: &v1::SetConfigRequest) -> Result<v1::ConfigView, Error> {
        let (entry, head) = set_account(&self.store, &self.shared.clock, req).await?;
        log::info!("config_head={head} account={} author={}", entry.id, entry.author);
        // The other processes learn of the change by heartbeats; this one reads it now.
        refresh_config(&self.shared, &self.store).await.map_err(store_unavailable)?;
        Ok(entry.view())
    }

    async fn history(&self, limit: u32) -> Result<v1::ConfigHistoryReply, Error> {
        let limit = u64::from(match limit {
            0 => DEFAULT_HISTORY_LIMIT,
            n => n.min(MAX_HISTORY_LIMIT),
        });
        refresh_config(&self.shared, &self.store).await.map_err(store_unavailable)?;
        let head = self.shared.accounts.load().head;
        let after = format!("{HISTORY_PREFIX}{:016x}", head.saturating_sub(limit));
        let rows = self
            .store
            .scan(HISTORY_PREFIX, &after, limit as usize)
            .await
            .map_err(store_unavailable)?;
        let change =
            |r: &hollowford_platform::rows::Row| v1::ConfigChange::decode(&r.value.0[..]).ok();
        let mut changes: Vec<v1::ConfigChange> = rows.iter().filter_map(change).collect();
        changes.reverse();
        Ok(v1::ConfigHistoryReply { changes })
    }

    fn check_operator<T>(&self, req: &Request<T>) -> Result<(), Status> {
        auth::operator(&self.shared, req.metadata()).map_err(|e| to_status(&e))
    }
}

fn to_response<T>(result: Result<T, Error>) -> Result<Response<T>, Status> {
    result.map(Response::new).map_err(|e| to_status(&e))
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn get_config(
        &self,
        req: Request<v1::GetConfigRequest>,
    ) -> Result<Response<v1::ConfigView>, Status> {
        self.check_operator(&req)?;
        to_response(OperatorService::get_config(self, req.get_ref()).await)
    }

    async fn set_config(
        &self,
        req: Request<v1::SetConfigRequest>,
    ) -> Result<Response<v1::ConfigView>, Status> {
        self.check_operator(&req)?;
        to_response(OperatorService::set_config(self, req.get_ref()).await)
    }

    async fn config_history(
        &self,
        req: Request<v1::ConfigHistoryRequest>,
    ) -> Result<Response<v1::ConfigHistoryReply>, Status> {
        self.check_operator(&req)?;
        to_response(self.history(req.get_ref().limit).await)
    }

    async fn drain(
        &self,
        req: Request<v1::DrainRequest>,
    ) -> Result<Response<v1::DrainReply>, Status> {
        self.check_operator(&req)?;
        let partitions = self.shared.metrics.partitions_owned.get().max(0) as u32;
        self.shared.stopping.send_replace(true);
        Ok(Response::new(v1::DrainReply { partitions }))
    }

    async fn state(
        &self,
        req: Request<v1::StateRequest>,
    ) -> Result<Response<v1::StateReply>, Status> {
        self.check_operator(&req)?;
        let json = state_json(&self.shared).await.to_string();
        Ok(Response::new(v1::StateReply { json }))
    }
}
