//! TLS for connections of callers, with certificates that are reloaded when their files change.

use super::connections::CallerStream;
use hollowford_config::TlsSettings;
use std::io;
use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::pki_types::pem::{Error as PemError, PemObject};
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{Error as RustlsError, RootCertStore, ServerConfig};
use tokio_rustls::server::TlsStream;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

/// Interval of the checks for changed files.
const RELOAD_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections that wait for the server after their handshake.
const MAX_QUEUED_CONNECTIONS: usize = 64;

/// An error in a certificate, a key or the root certificates.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file can't be read or is not a PEM file.
    #[error("{file}: {error}")]
    File {
        /// Path of the file.
        file: String,
        /// The underlying error.
        error: PemError,
    },
    /// The certificate and the key don't match, or the root certificates can't be used.
    #[error("{0}")]
    Unusable(String),
}

impl From<RustlsError> for TlsError {
    fn from(e: RustlsError) -> TlsError {
        TlsError::Unusable(e.to_string())
    }
}

fn file_error(file: &Path) -> impl FnOnce(PemError) -> TlsError {
    let file = file.display().to_string();
    move |error| TlsError::File { file, error }
}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_file_iter(file).map_err(file_error(file))?;
    certificates.collect::<Result<_, _>>().map_err(file_error(file))
}

fn read_config(settings: &TlsSettings) -> Result<ServerConfig, TlsError> {
    let chain = read_certificates(&settings.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&settings.key).map_err(file_error(&settings.key))?;
    let builder = ServerConfig::builder();
    let builder = match &settings.client_roots {
        None => builder.with_no_client_auth(),
        Some(file) => {
            let mut roots = RootCertStore::empty();
            for root in read_certificates(file)? {
                roots.add(root)?;
            }
            let verifier = WebPkiClientVerifier::builder(Arc::new(roots)).build();
            let verifier = verifier.map_err(|e| TlsError::Unusable(e.to_string()))?;
            builder.with_client_cert_verifier(verifier)
        }
    };
    let mut config = builder.with_single_cert(chain, key)?;
    config.alpn_protocols = vec![b"h2".to_vec()];
    Ok(config)
}

/// TLS configuration with the newest usable certificate.
#[derive(Clone, Debug)]
pub(crate) struct ReloadingTlsConfig {
    settings: TlsSettings,
    config: Arc<RwLock<Arc<ServerConfig>>>,
}

impl ReloadingTlsConfig {
    /// Reads the files and creates the initial configuration.
    pub fn new(settings: &TlsSettings) -> Result<ReloadingTlsConfig, TlsError> {
        let config = Arc::new(RwLock::new(Arc::new(read_config(settings)?)));
        Ok(ReloadingTlsConfig { settings: settings.clone(), config })
    }

    fn acceptor(&self) -> TlsAcceptor {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        TlsAcceptor::from(config.clone())
    }

    fn modified_at(&self) -> Option<SystemTime> {
        let s = &self.settings;
        let files = [Some(&s.certificate), Some(&s.key), s.client_roots.as_ref()];
        let modified = |f: &std::path::PathBuf| f.metadata().and_then(|m| m.modified()).ok();
        files.into_iter().flatten().filter_map(modified).max()
    }

    /// Reloads the files whenever they change. If the new files can't be used, the current
    /// certificate remains in use. Never returns.
    async fn reload_on_change(self) {
        let mut last_modified_at = self.modified_at();
        loop {
            tokio::time::sleep(RELOAD_CHECK_INTERVAL).await;
            let modified_at = self.modified_at();
            if modified_at == last_modified_at {
                continue;
            }
            last_modified_at = modified_at;
            match read_config(&self.settings) {
                Ok(config) => {
                    *self.config.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(config);
                    log::info!("certificate reloaded");
                }
                Err(e) => {
                    log::error!("certificate not reloaded, the current one remains in use: {e}")
                }
            }
        }
    }
}

/// Performs the TLS handshakes of incoming connections concurrently, and returns a stream of the
/// encrypted connections.
pub(crate) fn accept_tls(
    mut incoming: ReceiverStream<io::Result<CallerStream>>,
    tls: ReloadingTlsConfig,
) -> ReceiverStream<io::Result<TlsStream<CallerStream>>> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
    tokio::spawn(tls.clone().reload_on_change());
    tokio::spawn(async move {
        while let Some(accepted) = incoming.next().await {
            let Ok(stream) = accepted else {
                continue;
            };
            let (acceptor, tx) = (tls.acceptor(), tx.clone());
            tokio::spawn(async move {
                let handshake =
                    tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
                if let Ok(Ok(stream)) = handshake {
                    // The server may have stopped.
                    let _ = tx.send(Ok(stream)).await;
                }
            });
        }
    });
    ReceiverStream::new(rx)
}
