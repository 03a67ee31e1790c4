//! Limits on connections and on the bytes kept for them.

use nix::sys::resource::{Resource, getrlimit};

/// Bytes in a megabyte of an instance's memory.
const BYTES_PER_MB: u64 = 1_000_000;
/// Part of the memory that connections may use. The rest is for the process's own state, and for
/// what the allocator keeps of freed memory.
const MEMORY_DIVISOR: u64 = 4;
/// Part of the connections' memory that only other processes of the cell may use.
const PEER_MEMORY_DIVISOR: usize = 4;
/// Number of descriptors that are set aside for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Maximum number of connections of load balancers' probes, and of readers of metrics.
const MAX_PROBE_CONNECTIONS: usize = 64;

/// A kind of listening address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Listener {
    /// For client accounts.
    Callers,
    /// For load balancers' probes.
    Probes,
    /// For metrics, and for what else operators read.
    Metrics,
    /// For other processes of the cell.
    Peers,
}

impl Listener {
    /// All kinds.
    pub const ALL: [Listener; 4] =
        [Listener::Callers, Listener::Probes, Listener::Metrics, Listener::Peers];

    /// Returns the name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Listener::Callers => "callers",
            Listener::Probes => "probes",
            Listener::Metrics => "metrics",
            Listener::Peers => "peers",
        }
    }

    /// Returns the bytes that a connection takes before it reserves any: its buffers of the
    /// operating system, for a request's head and for an answer, and its task.
    pub(crate) fn connection_bytes(self) -> usize {
        match self {
            Listener::Callers | Listener::Probes | Listener::Metrics => 64 << 10,
            Listener::Peers => 64 << 10,
        }
    }

    /// Returns the size of each of a connection's two buffers in the operating system, which doubles
    /// it for its own use. What they hold counts towards the memory of the instance.
    pub(crate) fn socket_buffer_bytes(self) -> u32 {
        match self {
            Listener::Callers | Listener::Probes | Listener::Metrics => 16 << 10,
            Listener::Peers => 32 << 10,
        }
    }
}

/// Limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of bytes kept for connections.
    pub max_bytes: usize,
    /// Number of sockets that the process may have open, including those that it opens itself.
    pub sockets: usize,
}

impl Limits {
    /// Returns the limits of a process with `memory_mb` megabytes and `max_fds` descriptors. Uses
    /// fewer descriptors if the operating system allows no more.
    pub fn new(memory_mb: u64, max_fds: u64) -> Limits {
        // Without an answer of the operating system, the instance's limit holds.
        let allowed = getrlimit(Resource::RLIMIT_NOFILE).map_or(max_fds, |(soft, _)| soft);
        Limits::of_instance(memory_mb, max_fds.min(allowed))
    }

    /// Returns the limits of a process that may use all of these.
    pub(crate) fn of_instance(memory_mb: u64, max_fds: u64) -> Limits {
        let sockets = max_fds - FILE_DESCRIPTORS.min(max_fds / 2);
        Limits {
            max_bytes: (memory_mb * BYTES_PER_MB / MEMORY_DIVISOR) as usize,
            sockets: sockets as usize,
        }
    }

    /// Returns how many bytes may be kept in all before a connection of this kind gets no more.
    pub(crate) fn max_bytes_for(&self, listener: Listener) -> usize {
        match listener {
            Listener::Peers => self.max_bytes,
            _ => self.max_bytes - self.max_bytes / PEER_MEMORY_DIVISOR,
        }
    }

    /// Returns the maximum number of connections of a kind. At least a quarter of the sockets
    /// remains for the process's own connections.
    pub(crate) fn max_connections(&self, listener: Listener) -> usize {
        let max = match listener {
            Listener::Callers => self.sockets * 3 / 8,
            Listener::Peers => self.sockets / 4,
            Listener::Probes | Listener::Metrics => MAX_PROBE_CONNECTIONS.min(self.sockets / 16),
        };
        max.max(1)
    }

    /// Returns the maximum number of requests in progress at a listener. It is lower than the number
    /// of connections, so that some connection can always be closed for a new one.
    pub(crate) fn max_requests(&self, listener: Listener) -> usize {
        let connections = self.max_connections(listener);
        connections - connections.div_ceil(8)
    }
}
