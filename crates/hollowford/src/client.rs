//! The commands' client: a connection, a token, and the generated stubs.

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

/// A connection to a server, with the token sent in every call.
#[derive(Clone)]
pub struct Target {
    channel: Channel,
    authorization: MetadataValue<Ascii>,
}

impl Target {
    /// Connects to a server with a token.
    ///
    /// With the PEM text of a certificate authority, the connection uses TLS, and the server's
    /// certificate must be valid for the given host: `localhost` or an address.
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
        let invalid = |_| CliError::Usage("the token has characters that can't be sent".into());
        let authorization = format!("Bearer {token}").parse().map_err(invalid)?;
        Ok(Target { channel, authorization })
    }

    /// Returns a call with the message and the token.
    pub fn call<T>(&self, message: T) -> tonic::Request<T> {
        let mut req = tonic::Request::new(message);
        req.metadata_mut().insert("authorization", self.authorization.clone());
        req
    }

    /// Returns the stub for calls of client accounts.
    pub fn scheduler(&self) -> SchedulerClient<Channel> {
        SchedulerClient::new(self.channel.clone())
    }

    /// Returns the stub for calls of operators.
    pub fn operator(&self) -> OperatorClient<Channel> {
        OperatorClient::new(self.channel.clone())
    }
}

/// Options of every command that calls a server.
#[derive(Debug)]
pub struct Options {
    server: String,
    token: String,
    /// PEM text of the certificate authority, for connections with TLS.
    ca: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

impl Options {
    /// Reads `--server`, `--token`, `--ca` and `--json`. Server and token may come from the environment.
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

    /// Connects to the server of the options.
    pub async fn connect(&self) -> Result<Target, CliError> {
        Target::connect(&self.server, &self.token, self.ca.as_deref()).await
    }
}

/// Returns an error if arguments are left.
pub fn reject_unused_arguments(args: Arguments) -> Result<(), CliError> {
    let rest = args.finish();
    match rest.first() {
        None => Ok(()),
        Some(arg) => Err(CliError::Usage(format!("unknown argument {arg:?}"))),
    }
}

/// Runs a future to its end on a new runtime.
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
