//! HTTP endpoints for metrics, health and state.

use crate::decide::DecideMsg;
use crate::shared::Shared;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler};
use prometheus::{Encoder, TextEncoder};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum wait for the `decide` thread's part of the state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

#[handler]
async fn metrics(shared: Data<&Arc<Shared>>) -> Response {
    let m = &shared.metrics;
    m.set_connections(&shared.connections);
    let (reads, writes) = shared.store_calls();
    for (op, total) in [("read", reads), ("write", writes)] {
        let counter = m.store_calls.with_label_values(&[op]);
        counter.inc_by(total - counter.get().min(total));
    }
    let mut text = Vec::new();
    let encoder = TextEncoder::new();
    match encoder.encode(&m.registry.gather(), &mut text) {
        Ok(()) => text.with_content_type(encoder.format_type()).into_response(),
        Err(e) => {
            let body = e.to_string();
            Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).body(body)
        }
    }
}

/// Answers liveness probes.
#[handler]
fn healthz() -> &'static str {
    "ok"
}

/// Answers readiness probes of the load balancer. The process is ready once it has read the
/// configuration, until a stop is requested.
#[handler]
async fn readyz(shared: Data<&Arc<Shared>>) -> Response {
    let is_configured = shared.config_freshness.age(&shared.clock).is_some();
    if is_configured && !shared.is_stopping() {
        return "ready".into_response();
    }
    let reason = if is_configured { "stopping" } else { "the configuration was never read" };
    Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body(reason)
}

#[handler]
async fn state(shared: Data<&Arc<Shared>>) -> Response {
    let text = state_json(&shared).await.to_string();
    text.with_content_type("application/json").into_response()
}

/// Describes the state of the process as JSON, without secrets.
pub(crate) async fn state_json(shared: &Shared) -> serde_json::Value {
    let (tx, rx) = oneshot::channel();
    let partitions = match shared.decide.push(DecideMsg::DumpState(tx)) {
        Ok(()) => tokio::time::timeout(STATE_TIMEOUT, rx).await.ok().and_then(Result::ok),
        Err(_) => None,
    };
    let now = shared.clock.now();
    let members: serde_json::Map<String, serde_json::Value> = shared
        .members
        .all()
        .into_iter()
        .map(|(process, m)| {
            let heard_ms_ago = m.heard_at.map(|at| now.since(at).0);
            let v = serde_json::json!({
                "addr": m.addr, "heard_ms_ago": heard_ms_ago, "leaving": m.leaving,
                "config_head": m.config_head,
            });
            (process, v)
        })
        .collect();
    let owners: Vec<serde_json::Value> = shared
        .owners
        .all()
        .into_iter()
        .map(|o| o.map(|o| serde_json::json!({"process": o.process, "epoch": o.epoch.0})).into())
        .collect();
    let (reads, writes) = shared.store_calls();
    serde_json::json!({
        "process": shared.settings.process, "zone": shared.settings.zone,
        "up_ms": now.0, "stopping": shared.is_stopping(),
        "config_head": shared.accounts.load().head,
        "config_age_ms": shared.config_freshness.age(&shared.clock).map(|a| a.0),
        "calls_open": shared.calls_open.load(Ordering::Acquire),
        "store_reads": reads, "store_writes": writes,
        "decide_ring": shared.decide.len(), "members": members, "owners": owners,
        "partitions": partitions,
    })
}

pub(crate) fn routes(shared: Arc<Shared>) -> impl poem::Endpoint {
    Route::new()
        .at("/metrics", get(metrics))
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/state", get(state))
        .data(shared)
}
