//! The entry: the gRPC endpoint for client accounts and operators.
//!
//! Each process has one and accepts calls for all partitions. It relays each call to the process
//! that owns the partition.

mod auth;
mod connections;
mod counted_service;
mod operator;
mod results;
mod router;
mod scheduler;
mod status;
mod tls;

pub(crate) use connections::accept_callers;
pub(crate) use counted_service::{
    CountedService, MAX_CALLS_PER_CONNECTION, MAX_MESSAGE_BYTES, MAX_METADATA_BYTES, WINDOW_BYTES,
};
pub(crate) use operator::OperatorService;
pub(crate) use scheduler::SchedulerService;
pub use tls::TlsError;
pub(crate) use tls::{ReloadingTlsConfig, accept_tls};
