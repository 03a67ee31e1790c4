//! Certificates for tests, and callers that use them.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::path::Path;
use std::process::Command;

/// Writes the certificate of a new authority and a certificate for loopback signed by it.
pub fn write_certificates(dir: &Path) {
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
pub async fn run_check(addr: &str, id: &str, ca: Option<&Path>) -> bool {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollowford"));
    command.args(["submit", id, "--kind", "check", "--run-ms", "5", "--wait"]);
    command.args(["--server", addr, "--token", "university-token"]);
    if let Some(ca) = ca {
        command.arg("--ca").arg(ca);
    }
    let out = tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
    out.status.success()
}
