//! Addresses of the processes of a cell, and their settings.

use crate::ports::free_ports;
use hollowford_adapter_standin::formats::{ProcessLimits, ProcessSettings as Settings};
use std::io;
use std::net::Ipv4Addr;

/// CPU share of each process, in cores. The default load of docs/PLATFORM.md.
const CPU_SHARE: f64 = 0.25;

/// The addresses of a cell's processes. Each process has its own loopback address; all use the
/// same ports.
pub(crate) struct CellAddresses {
    /// The first three bytes of every address.
    prefix: [u8; 3],
    callers_port: u16,
    readiness_port: u16,
    peers_port: u16,
}

impl CellAddresses {
    /// Chooses a random address prefix and free ports.
    pub fn random(rng: &mut fastrand::Rng) -> io::Result<CellAddresses> {
        let prefix = [127, rng.u8(1..), rng.u8(..)];
        let [callers_port, readiness_port, peers_port] = free_ports()?;
        Ok(CellAddresses { prefix, callers_port, readiness_port, peers_port })
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
            callers: self.callers_port,
            readiness: self.readiness_port,
            peers: self.peers_port,
            cpu_share: CPU_SHARE,
            limits: ProcessLimits::default(),
            seeds: vec![self.ip(0), self.ip(1)],
        }
    }
}
