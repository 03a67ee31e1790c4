//! The duty that answers callers and operators.

mod auth;
mod operator;
mod results;
mod router;
mod scheduler;
mod status;
mod tls;

pub(crate) use operator::OperatorService;
pub(crate) use scheduler::SchedulerService;
pub use tls::TlsError;
pub(crate) use tls::{ReloadingTlsConfig, accept_tls};
