//! The stand-in of the users' platform for `hollowford serve`, without that platform's workers.

use hollowford_adapter_standin::Platform;
use std::io;
use std::net::SocketAddr;

pub use hollowford_adapter_standin::{Faults, StoreStats};

/// Starts the platform on `addr` and returns the bound address. It serves until the runtime is
/// dropped.
///
/// # Errors
/// Returns an error if the address can't be bound.
pub async fn start(addr: &str) -> io::Result<SocketAddr> {
    Ok(Platform::start_at(addr, 0).await?.addr())
}
