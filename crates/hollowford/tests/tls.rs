//! TLS for callers, and certificates that are replaced while a process runs.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::tls::{run_check, write_certificates};
use common::{Cell, Options, wait_for};
use hollowford_config::Settings;
use serde_json::json;
use tempfile::TempDir;

#[tokio::test]
async fn callers_are_served_over_tls_and_a_new_certificate_needs_no_restart() {
    let dir = TempDir::new().unwrap();
    write_certificates(dir.path());
    let tls = json!({
        "certificate": dir.path().join("own.pem"), "key": dir.path().join("key.pem"),
    });
    let options = Options { entries: 1, partitions: 1, tls: Some(tls), ..Options::default() };
    let cell = Cell::start(options).await;
    let addr = cell.entries[0].addr("callers");
    let ca = dir.path().join("ca.pem");
    assert!(run_check(&addr, "encrypted", Some(&ca)).await);
    assert!(!run_check(&addr, "plain", None).await);

    let old_ca = dir.path().join("old-ca.pem");
    std::fs::copy(&ca, &old_ca).unwrap();
    write_certificates(dir.path());
    let mut tries = 0;
    wait_for("the new certificate is served", || {
        tries += 1;
        let (addr, ca, id) = (addr.clone(), ca.clone(), format!("renewed-{tries}"));
        async move { run_check(&addr, &id, Some(&ca)).await.then_some(()) }
    })
    .await;
    assert!(!run_check(&addr, "old", Some(&old_ca)).await);
}

#[test]
fn plain_text_on_a_public_address_must_be_allowed_explicitly() {
    let good = include_str!("../../../examples/kivu-process.jsonc");
    let public = good.replace("127.0.0.1:7001", "0.0.0.0:7001");
    let e = Settings::try_from(public.as_str()).unwrap_err().to_string();
    assert!(e.contains("plain text"), "{e}");
    let allowed = public.replacen("\"zone\":", "\"plain_text\": true, \"zone\":", 1);
    Settings::try_from(allowed.as_str()).unwrap();
}
