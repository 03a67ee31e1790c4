//! The client that the commands use: an address, a token, and the generated stubs.

use crate::error::CliError;
use hollowford_protocol::v1::operator_client::OperatorClient;
use hollowford_protocol::v1::scheduler_client::SchedulerClient;
use pico_args::Arguments;
use std::future::Future;
use std::time::Duration;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const SERVER_VAR: &str = "HOLLOWFORD_SERVER";
const TOKEN_VAR: &str = "HOLLOWFORD_TOKEN";

/// Where to call and as whom.
#[derive(Clone)]
pub struct Target {
    channel: Channel,
    authorization: MetadataValue<Ascii>,
}

impl Target {
    /// Connects to a server, as the owner of a token.
    ///
    /// With the PEM text of a certificate authority, the link is encrypted, and the
    /// server must prove that it is `localhost` or the address that was given.
    pub async fn connect(server: &str, token: &str, ca: Option<&str>) -> Result<Target, CliError> {
        let unreachable = |e: tonic::transport::Error| CliError::Unreachable(e.to_string());
        let scheme = if ca.is_some() { "https" } else { "http" };
        let endpoint =
            Endpoint::from_shared(format!("{scheme}://{server}")).map_err(unreachable)?;
        let endpoint = match ca {
            None => endpoint,
            Some(pem) => {
                let tls = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(pem));
                endpoint.tls_config(tls).map_err(unreachable)?
            }
        };
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        let invalid = |_| CliError::Usage("the token holds characters that can't be sent".into());
        let authorization = format!("Bearer {token}").parse().map_err(invalid)?;
        Ok(Target { channel, authorization })
    }

    /// Wraps a message into a call with the token.
    pub fn call<T>(&self, message: T) -> tonic::Request<T> {
        let mut req = tonic::Request::new(message);
        req.metadata_mut().insert("authorization", self.authorization.clone());
        req
    }

    /// Returns the stub of client accounts' calls.
    pub fn scheduler(&self) -> SchedulerClient<Channel> {
        SchedulerClient::new(self.channel.clone())
    }

    /// Returns the stub of operators' calls.
    pub fn operator(&self) -> OperatorClient<Channel> {
        OperatorClient::new(self.channel.clone())
    }
}

/// Options that every calling command has.
#[derive(Debug)]
pub struct Options {
    server: String,
    token: String,
    /// Text of the certificate authority's PEM file, for encrypted links.
    ca: Option<String>,
    /// Print JSON.
    pub json: bool,
}

impl Options {
    /// Takes `--server`, `--token`, `--ca` and `--json`, or the environment.
    pub fn take(args: &mut Arguments) -> Result<Options, CliError> {
        let or_var = |value: Option<String>, var: &str, flag: &str| {
            let missing = || CliError::Usage(format!("give {flag}, or set {var}"));
            value.or_else(|| std::env::var(var).ok()).ok_or_else(missing)
        };
        let server = args.opt_value_from_str("--server")?;
        let token = args.opt_value_from_str("--token")?;
        let ca: Option<String> = args.opt_value_from_str("--ca")?;
        let read = |file: String| std::fs::read_to_string(&file).map_err(CliError::io(file));
        Ok(Options {
            ca: ca.map(read).transpose()?,
            server: or_var(server, SERVER_VAR, "--server IP:PORT")?,
            token: or_var(token, TOKEN_VAR, "--token TOKEN")?,
            json: args.contains("--json"),
        })
    }

    /// Connects as the options say.
    pub async fn connect(&self) -> Result<Target, CliError> {
        Target::connect(&self.server, &self.token, self.ca.as_deref()).await
    }
}

/// Refuses arguments that no one has taken.
pub fn reject_unused_arguments(args: Arguments) -> Result<(), CliError> {
    let rest = args.finish();
    match rest.first() {
        None => Ok(()),
        Some(arg) => Err(CliError::Usage(format!("{arg:?} is not known here"))),
    }
}

/// Runs a future to its end on a runtime of its own.
pub fn block_on<F>(run: F) -> Result<(), CliError>
where
    F: Future<Output = Result<(), CliError>>,
{
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(CliError::io("starting the runtime"))?;
    rt.block_on(run)
}
