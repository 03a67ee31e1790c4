//! The other processes of the cell, as far as this one knows.

use hollowford_core::{Clock, Millis};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Silence after which a process counts as dead for the choice of owners.
const DEAD_AFTER: Millis = Millis(1_500);

/// One other process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    /// Where it takes peer links, as `IP:port`.
    pub addr: String,
    /// When it was last heard, by this process's clock.
    pub heard_at: Option<Millis>,
    /// It said that it is about to stop.
    pub leaving: bool,
    /// Newest configuration change that it has in force.
    pub config_head: u64,
}

/// All other processes.
#[derive(Debug, Default)]
pub(crate) struct Members {
    map: Mutex<BTreeMap<String, Member>>,
}

impl Members {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Member>> {
        self.map.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Learns a process's address. A new address is a new start of the process.
    pub fn learn(&self, process: &str, addr: &str) {
        let mut map = self.lock();
        if map.get(process).is_some_and(|m| m.addr == addr) {
            return;
        }
        let member =
            Member { addr: addr.to_owned(), heard_at: None, leaving: false, config_head: 0 };
        map.insert(process.to_owned(), member);
    }

    /// Forgets a process.
    pub fn forget(&self, process: &str) {
        self.lock().remove(process);
    }

    /// Notes a heartbeat.
    pub fn heard(&self, process: &str, now: Millis, leaving: bool, config_head: u64) {
        if let Some(m) = self.lock().get_mut(process) {
            m.heard_at = Some(now);
            m.leaving = leaving;
            m.config_head = config_head;
        }
    }

    /// Returns all processes that are known.
    pub fn all(&self) -> BTreeMap<String, Member> {
        self.lock().clone()
    }

    /// Returns the processes that live and stay.
    pub fn staying(&self, clock: &Clock) -> Vec<String> {
        let now = clock.now();
        let alive = |m: &Member| m.heard_at.is_some_and(|at| now.since(at) < DEAD_AFTER);
        let map = self.lock();
        map.iter().filter(|(_, m)| alive(m) && !m.leaving).map(|(p, _)| p.clone()).collect()
    }
}
