//! Stand-ins for the platform and the workers, for tests and the `dev` command only.
//!
//! Faults are injected by HTTP calls. A worker records every start and end of a task. Tests check
//! these records instead of the scheduler's own view.

pub mod bench;
pub mod control;
pub mod payload;
pub mod platform;
pub mod record;
pub mod record_check;
pub mod register;
pub mod worker;

/// Why a stand-in or the benchmark failed.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// The subcommand is missing or unknown.
    #[error("missing or unknown subcommand")]
    Usage,
    /// An argument is missing or invalid.
    #[error("{0}")]
    Arguments(#[from] pico_args::Error),
    /// A call of the benchmark failed, or its plot can't be drawn.
    #[error("{0}")]
    Bench(String),
    /// An address or file operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}
