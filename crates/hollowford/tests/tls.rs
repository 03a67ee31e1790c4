//! TLS for callers, and certificates that are replaced while a process runs.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Cell, Options, wait_for};
use hollowford_config::Settings;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use serde_json::json;
use std::path::Path;
use std::process::Command;
use tempfile::TempDir;

/// Writes the certificate of a new authority and a certificate for loopback signed by it.
fn write_certificates(dir: &Path) {
    let mut ca = CertificateParams::new(Vec::new()).unwrap();
    ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_key = KeyPair::generate().unwrap();
    let ca_pem = ca.self_signed(&ca_key).unwrap().pem();
    let issuer = Issuer::new(ca, ca_key);
    let own = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
    let key = KeyPair::generate().unwrap();
    let own_pem = own.signed_by(&key, &issuer).unwrap().pem();
    std::fs::write(dir.join("ca.pem"), ca_pem).unwrap();
    std::fs::write(dir.join("key.pem"), key.serialize_pem()).unwrap();
    std::fs::write(dir.join("own.pem"), own_pem).unwrap();
}

/// Runs a quick check from the command line and returns whether the command succeeded.
async fn run_check(addr: &str, id: &str, ca: Option<&Path>) -> bool {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollowford"));
    command.args(["submit", id, "--kind", "check", "--run-ms", "5", "--wait"]);
    command.args(["--server", addr, "--token", "university-token"]);
    if let Some(ca) = ca {
        command.arg("--ca").arg(ca);
    }
    let out = tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
    out.status.success()
}

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
