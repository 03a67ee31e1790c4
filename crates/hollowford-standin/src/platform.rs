//! The platform for `hollowford serve`: the stand-in of the users' platform, without its
//! workers.

use hollowford_adapter_standin::Platform;
use std::io;
use std::net::SocketAddr;

pub use hollowford_adapter_standin::{Faults, StoreStats};

/// Starts the platform on `addr` and returns the address that it got. It serves
/// for as long as the runtime lives.
///
/// # Errors
/// When the address can't be bound.
pub async fn start(addr: &str) -> io::Result<SocketAddr> {
    Ok(Platform::start_at(addr, 0).await?.addr())
}
