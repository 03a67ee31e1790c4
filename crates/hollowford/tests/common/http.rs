//! HTTP calls to the stand-ins and processes.

use serde_json::Value;

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

pub async fn post(addr: &str, path: &str, body: &Value) {
    let reply = client().post(format!("http://{addr}{path}")).json(body).send().await.unwrap();
    assert!(reply.status().is_success(), "{path}: {}", reply.status());
}

pub async fn get_json(addr: &str, path: &str) -> Option<Value> {
    let reply = client().get(format!("http://{addr}{path}")).send().await.ok()?;
    reply.error_for_status().ok()?.json().await.ok()
}

/// Returns the value of a metric, or 0 if it is not listed.
pub async fn metric(addr: &str, name: &str) -> u64 {
    let (_, text) = get_text(addr, "/metrics").await.unwrap();
    let line = text.lines().find(|l| l.starts_with(name));
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
}

pub async fn get_text(addr: &str, path: &str) -> Option<(u16, String)> {
    let reply = client().get(format!("http://{addr}{path}")).send().await.ok()?;
    let status = reply.status().as_u16();
    Some((status, reply.text().await.ok()?))
}
