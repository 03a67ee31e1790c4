//! A randomized soak: real processes on one machine, failures brought about from outside, and
//! the promises checked from what callers and workers see. See docs/SOAK.md.

mod actions;
pub mod callers;
pub mod cell;
pub mod harm;
#[cfg(test)]
mod harm_tests;
pub mod judge;
mod net;
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

/// Why a soak can't go on. What it finds is not an error but a part of its report.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A file, a port or a process can't be had.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// An HTTP client can't be made.
    #[error("client: {0}")]
    Client(#[from] reqwest::Error),
}
