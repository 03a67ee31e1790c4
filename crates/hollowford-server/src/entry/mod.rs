//! The entry: the gRPC endpoint for client accounts and operators.
//!
//! Each process has one and accepts calls for all partitions. It relays each call to the process
//! that owns the partition.

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
