//! Small stand-ins for the platform and the workers, for tests and `dev` only.
//!
//! Faults are switched on by a call. A worker records every start and stop that it
//! makes: that record, and not the scheduler's own view, is the judge in tests.

pub mod bench;
pub mod control;
pub mod payload;
pub mod platform;
pub mod record;
pub mod record_check;
pub mod register;
pub mod worker;

/// Why a stand-in could not start.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// The command line is not as it should be.
    #[error("which stand-in?")]
    Usage,
    /// An argument is wrong.
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    /// A plot can't be drawn, or a call failed.
    #[error("{0}")]
    Bench(String),
    /// An address or file can't be had.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}
