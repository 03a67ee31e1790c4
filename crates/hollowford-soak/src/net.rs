//! Where the processes of a cell are reached, and the settings that say so.

use crate::ports::free_ports;
use hollowford_adapter_standin::formats::ProcessSettings as Settings;
use std::io;
use std::net::Ipv4Addr;

/// Cores of each process: as many as on the quiet day that docs/PLATFORM.md tells of.
const CPU_SHARE: f64 = 0.25;

/// The addresses of a cell's processes: each has one of its own in the loopback range, and all
/// share their ports.
pub(crate) struct Net {
    /// The part of the addresses that they share.
    prefix: [u8; 3],
    callers: u16,
    readiness: u16,
    peers: u16,
}

impl Net {
    /// Draws the addresses, and finds ports that are free.
    pub fn draw(rng: &mut fastrand::Rng) -> io::Result<Net> {
        let prefix = [127, rng.u8(1..), rng.u8(..)];
        let [callers, readiness, peers] = free_ports()?;
        Ok(Net { prefix, callers, readiness, peers })
    }

    fn ip(&self, node: usize) -> Ipv4Addr {
        let [a, b, c] = self.prefix;
        Ipv4Addr::new(a, b, c, node as u8 + 1)
    }

    /// Returns the settings of a process.
    pub fn settings(&self, node: usize) -> Settings {
        Settings {
            name: format!("n{node}"),
            ip: self.ip(node),
            callers: self.callers,
            readiness: self.readiness,
            peers: self.peers,
            cpu_share: CPU_SHARE,
            seeds: vec![self.ip(0), self.ip(1)],
        }
    }
}
