//! Callers and helpers for tests of a cell of separate processes on free ports.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod cell;
pub mod http;
pub mod tls;

use hollowford_protocol::v1;
use hollowford_protocol::v1::operator_client::OperatorClient;
use hollowford_protocol::v1::scheduler_client::SchedulerClient;
use std::time::Duration;
use tonic::transport::Channel;

pub use cell::{Cell, Options};

pub const OPERATOR: &str = "operator-token";
/// Longest time that a test waits for anything.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// A caller with a connection and a token.
#[derive(Clone)]
pub struct Caller {
    channel: Channel,
    token: String,
}

impl Caller {
    pub async fn connect(addr: &str, token: &str) -> Caller {
        let endpoint = Channel::from_shared(format!("http://{addr}")).unwrap();
        let channel = endpoint.tcp_nodelay(true).connect_lazy();
        Caller { channel, token: token.to_owned() }
    }

    fn req<T>(&self, message: T) -> tonic::Request<T> {
        let mut req = tonic::Request::new(message);
        let value = format!("Bearer {}", self.token).parse().unwrap();
        req.metadata_mut().insert("authorization", value);
        req
    }

    pub fn scheduler(&self) -> SchedulerClient<Channel> {
        SchedulerClient::new(self.channel.clone())
    }

    pub fn operator(&self) -> OperatorClient<Channel> {
        OperatorClient::new(self.channel.clone())
    }

    pub async fn submit(
        &self,
        id: &str,
        spec: &v1::RequestSpec,
        wait: bool,
    ) -> Result<v1::RequestView, tonic::Status> {
        let req = v1::SubmitRequest { request_id: id.into(), spec: Some(spec.clone()), wait };
        Ok(self.scheduler().submit(self.req(req)).await?.into_inner())
    }

    pub async fn get(&self, id: &str) -> Result<v1::RequestView, tonic::Status> {
        let req = v1::GetRequest { request_id: id.into(), ..Default::default() };
        Ok(self.scheduler().get(self.req(req)).await?.into_inner())
    }

    pub async fn get_final(&self, id: &str) -> Result<v1::RequestView, tonic::Status> {
        let req = v1::GetRequest { request_id: id.into(), after_version: 0, r#final: true };
        Ok(self.scheduler().get(self.req(req)).await?.into_inner())
    }

    pub async fn watch(
        &self,
        id: &str,
    ) -> Result<tonic::Streaming<v1::RequestView>, tonic::Status> {
        let req = v1::WatchRequest { request_id: id.into() };
        Ok(self.scheduler().watch(self.req(req)).await?.into_inner())
    }

    pub async fn cancel(&self, id: &str) -> Result<v1::RequestView, tonic::Status> {
        let req = v1::CancelRequest { request_id: id.into() };
        Ok(self.scheduler().cancel(self.req(req)).await?.into_inner())
    }

    pub async fn cancel_by_label(&self, label: &str) -> Result<u32, tonic::Status> {
        let req = v1::CancelByLabelRequest { label: label.into() };
        Ok(self.scheduler().cancel_by_label(self.req(req)).await?.into_inner().cancelled)
    }

    pub async fn list(&self, after: &str, limit: u32) -> Result<v1::ListReply, tonic::Status> {
        let req = v1::ListRequest { after: after.into(), limit };
        Ok(self.scheduler().list(self.req(req)).await?.into_inner())
    }

    pub async fn fetch(&self, id: &str, index: u32) -> Result<Vec<u8>, tonic::Status> {
        let req = v1::FetchRequest { request_id: id.into(), index };
        let mut chunks = self.scheduler().fetch(self.req(req)).await?.into_inner();
        let mut bytes = Vec::new();
        while let Some(chunk) = chunks.message().await? {
            bytes.extend(chunk.data);
        }
        Ok(bytes)
    }

    pub async fn get_config(&self, account: &str) -> Result<v1::ConfigView, tonic::Status> {
        let req = v1::GetConfigRequest { account: account.into() };
        Ok(self.operator().get_config(self.req(req)).await?.into_inner())
    }

    pub async fn set_config(
        &self,
        account: &str,
        weight: u32,
        expected_version: u64,
        author: &str,
    ) -> Result<v1::ConfigView, tonic::Status> {
        let config = cell::account_config(&cell::token_of(account), weight);
        let req = v1::SetConfigRequest {
            account: account.into(),
            config: Some(config),
            expected_version,
            author: author.into(),
        };
        Ok(self.operator().set_config(self.req(req)).await?.into_inner())
    }

    /// Replaces the token of an account.
    pub async fn set_token(
        &self,
        account: &str,
        token: &str,
        expected_version: u64,
    ) -> Result<v1::ConfigView, tonic::Status> {
        let req = v1::SetConfigRequest {
            account: account.into(),
            config: Some(cell::account_config(token, 1)),
            expected_version,
            author: "test".into(),
        };
        Ok(self.operator().set_config(self.req(req)).await?.into_inner())
    }

    pub async fn drain(&self) -> Result<u32, tonic::Status> {
        Ok(self.operator().drain(self.req(v1::DrainRequest {})).await?.into_inner().partitions)
    }
}

/// Polls the processes in turn until the request has its answer, and returns the view.
pub async fn final_answer(callers: &[Caller], id: &str) -> v1::RequestView {
    let ask = async {
        for caller in callers.iter().cycle() {
            match caller.get_final(id).await {
                Ok(view) if view.answer.is_some() => return view,
                Ok(_) => {}
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
        unreachable!("the cycle has no end")
    };
    tokio::time::timeout(TIMEOUT, ask).await.expect("no answer in time")
}

/// Submits a request to the processes in turn until one accepts it.
pub async fn submit_with_retries(
    callers: &[Caller],
    id: &str,
    spec: &v1::RequestSpec,
) -> v1::RequestView {
    let ask = async {
        for caller in callers.iter().cycle() {
            if let Ok(view) = caller.submit(id, spec, false).await {
                return view;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        unreachable!("the cycle has no end")
    };
    tokio::time::timeout(TIMEOUT, ask).await.expect("no reply in time")
}

/// Waits until `check` returns a value.
pub async fn wait_for<T, F>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let wait = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    match tokio::time::timeout(TIMEOUT, wait).await {
        Ok(found) => found,
        Err(_) => panic!("{what}: not within {TIMEOUT:?}"),
    }
}

pub fn spec(kind: v1::Kind, tasks: u32, cpu_milli: u32, run_ms: u64) -> v1::RequestSpec {
    v1::RequestSpec {
        kind: kind.into(),
        tasks,
        per_task: Some(v1::Resources { cpu_milli, memory_mib: 256, accelerators: 0 }),
        run_time_ms: run_ms,
        repeatable: true,
        ..Default::default()
    }
}

/// Returns the error kind of a refusal; empty if it has none.
pub fn error_kind(status: &tonic::Status) -> &str {
    status.metadata().get("hollowford-kind").and_then(|v| v.to_str().ok()).unwrap_or("")
}

/// Returns the retry delay of a refusal, in milliseconds.
pub fn retry_after_ms(status: &tonic::Status) -> Option<u64> {
    let value = status.metadata().get("hollowford-retry-after-ms")?;
    value.to_str().ok()?.parse().ok()
}
