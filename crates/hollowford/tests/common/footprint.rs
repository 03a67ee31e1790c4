//! What a process takes of its instance: memory and descriptors, from the operating system.
#![allow(clippy::expect_used, dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in the list of sockets.
const LISTENING: &str = "0A";

/// The most that a process took while it was watched.
#[derive(Clone, Copy, Debug, Default)]
pub struct Footprint {
    /// Resident memory and bytes in the sockets' buffers, in bytes.
    pub memory: u64,
    /// Open sockets.
    pub sockets: u64,
}

/// Watches a process until it is asked for the footprint.
#[derive(Debug)]
pub struct Watch {
    stop: Arc<AtomicBool>,
    sampler: JoinHandle<Footprint>,
}

impl Watch {
    /// Starts to watch the process `pid`, which listens on `addresses`.
    pub fn start(pid: u32, addresses: Vec<SocketAddr>) -> Watch {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let sampler = std::thread::spawn(move || {
            let mut most = Footprint::default();
            while !stopped.load(Ordering::Relaxed) {
                let now = sample(pid, &addresses);
                most.memory = most.memory.max(now.memory);
                most.sockets = most.sockets.max(now.sockets);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            // The operating system has also seen the peaks between the samples.
            most.memory = most.memory.max(memory_kb(pid, "VmHWM:") * 1_024);
            most
        });
        Watch { stop, sampler }
    }

    /// Stops watching and returns the footprint.
    pub fn finish(self) -> Footprint {
        self.stop.store(true, Ordering::Relaxed);
        self.sampler.join().expect("the footprint")
    }
}

fn sample(pid: u32, addresses: &[SocketAddr]) -> Footprint {
    let memory = memory_kb(pid, "VmRSS:") * 1_024 + buffered_bytes(addresses);
    Footprint { memory, sockets: socket_count(pid) }
}

/// Returns a line of the process's status in kB; 0 if the process has ended.
fn memory_kb(pid: u32, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix(key)).unwrap_or_default();
    line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the number of the process's sockets; 0 if the process has ended.
fn socket_count(pid: u32) -> u64 {
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return 0 };
    let targets = descriptors.flatten().filter_map(|d| std::fs::read_link(d.path()).ok());
    targets.filter(|t| t.to_string_lossy().starts_with("socket:")).count() as u64
}

/// Returns the bytes that wait in the sockets of connections to `addresses`: those that the process
/// has not read, and those that it has written and the other side has not read.
fn buffered_bytes(addresses: &[SocketAddr]) -> u64 {
    let list = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local: Vec<String> = addresses.iter().map(listed_address).collect();
    let sockets = list.lines().skip(1).filter_map(listed_socket);
    let of_process = sockets.filter(|s| local.iter().any(|address| address == s.own));
    of_process.map(|s| s.unsent + s.unread).sum()
}

/// Returns the bytes on their way to `address`: those that the senders' sockets hold and those that
/// the process has not read.
pub fn bytes_on_their_way(address: SocketAddr) -> u64 {
    let list = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let wanted = listed_address(&address);
    let sockets = list.lines().skip(1).filter_map(listed_socket);
    let bytes = sockets.map(|s| match &*wanted {
        a if a == s.own => s.unread,
        a if a == s.other => s.unsent,
        _ => 0,
    });
    bytes.sum()
}

/// A connected socket as the list shows it.
struct ListedSocket<'a> {
    /// Its own address.
    own: &'a str,
    /// The address that it is connected to.
    other: &'a str,
    /// Bytes that the other side has not taken.
    unsent: u64,
    /// Bytes that its process has not read.
    unread: u64,
}

/// Parses a line of the list. Returns `None` for listening sockets.
fn listed_socket(line: &str) -> Option<ListedSocket<'_>> {
    let columns: Vec<&str> = line.split_whitespace().collect();
    let [_, own, other, state, queues, ..] = columns[..] else { return None };
    let (unsent, unread) = queues.split_once(':')?;
    let bytes = |hex| u64::from_str_radix(hex, 16).ok();
    let socket = ListedSocket { own, other, unsent: bytes(unsent)?, unread: bytes(unread)? };
    (state != LISTENING).then_some(socket)
}

/// Returns an address as the list shows it.
fn listed_address(address: &SocketAddr) -> String {
    let SocketAddr::V4(v4) = address else { return String::new() };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port())
}
