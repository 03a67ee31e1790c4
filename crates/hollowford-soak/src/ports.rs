//! Free ports for processes to be started.

use std::io;
use std::net::TcpListener;

/// Returns different free ports of the loopback interface. Keeps all of them bound until the last one is
/// found: if each were released at once, two of three would be equal in one of about 4,000 calls.
///
/// # Errors
/// Returns an error if no port is free.
pub fn free_ports<const N: usize>() -> io::Result<[u16; N]> {
    let mut held = Vec::with_capacity(N);
    let mut ports = [0; N];
    for port in &mut ports {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        *port = listener.local_addr()?.port();
        held.push(listener);
    }
    Ok(ports)
}
