//! Stand-in workers: leases on their own clock, epochs, sessions and kept outcomes.

mod service;
mod state;
mod tasks;

pub use service::start;
pub use state::{Settings, StandinWorker};
