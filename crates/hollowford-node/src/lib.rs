//! The hollowford node process: it serves callers, requests advice, and owns partitions.
//!
//! Its duties run as tasks on one thread and communicate through bounded channels; see
//! docs/PLATFORM.md.

mod access;
#[cfg(test)]
mod access_tests;
mod announce;
#[cfg(test)]
mod announce_tests;
mod assignment;
#[cfg(test)]
mod assignment_tests;
mod batches;
mod callers;
mod calls;
mod compression;
#[cfg(test)]
mod compression_tests;
mod config_freshness;
#[cfg(test)]
mod config_freshness_tests;
mod config_watch;
#[cfg(test)]
mod config_watch_tests;
mod delegate;
mod delegate_wire;
#[cfg(test)]
mod delegate_wire_tests;
mod delegation;
#[cfg(test)]
mod delegation_tests;
mod frame_decoder;
#[cfg(test)]
mod frame_decoder_tests;
mod http_endpoints;
mod inbox;
mod lane;
mod link;
#[cfg(test)]
mod link_tests;
mod load;
pub mod logs;
#[cfg(test)]
mod logs_tests;
#[cfg(test)]
mod mass_join_tests;
mod member;
#[cfg(test)]
mod member_tests;
mod members;
#[cfg(test)]
mod members_tests;
mod metrics;
mod node;
#[cfg(test)]
mod odd_entries_tests;
mod owner;
mod owner_row;
mod ownership;
#[cfg(test)]
mod ownership_tests;
mod partition;
mod peers;
mod plan;
#[cfg(test)]
mod plan_tests;
mod queued_bytes;
#[cfg(test)]
mod queued_bytes_tests;
mod reachability;
mod registry;
#[cfg(test)]
mod registry_tests;
mod relay;
#[cfg(test)]
mod relay_tests;
mod reload;
mod retries;
#[cfg(test)]
mod retries_tests;
mod shared;
#[cfg(test)]
mod shared_tests;
mod step_down;
#[cfg(test)]
mod store_limits_tests;
mod submitted_job;
#[cfg(test)]
mod suspension_tests;
mod takeover;
#[cfg(test)]
mod takeover_tests;
mod wire;
mod withdrawals;
#[cfg(test)]
mod withdrawals_tests;
mod worker_changes;
mod writer;
#[cfg(test)]
mod writer_tests;

pub use node::{NodeError, NodeOptions, run};
pub use plan::DEFAULT_WORKERS_PER_PARTITION;
