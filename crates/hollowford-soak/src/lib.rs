//! Randomized soak test: runs real processes on one machine, injects failures from outside, and
//! checks the system's guarantees against what callers and workers observe. See docs/SOAK.md.

mod actions;
mod addresses;
pub mod callers;
pub mod cell;
pub mod disruption;
#[cfg(test)]
mod disruption_tests;
pub mod invariants;
pub mod ports;
#[cfg(test)]
mod ports_tests;
pub mod process;
pub mod proxy;
#[cfg(test)]
mod proxy_tests;
pub mod run;
pub mod schedule;

pub use run::{Options, Report, run_seed};

/// Why a soak run can't continue. Violated guarantees are not errors: they are in the report.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file, port or process operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Building an HTTP client failed.
    #[error("client: {0}")]
    Client(#[from] reqwest::Error),
}
