//! The other processes of the cell, as far as this one knows.

use hollowford_core::{Clock, Millis};
use hollowford_protocol::peer::Heartbeat;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Silence after which a process counts as dead for the choice of owners.
const MEMBER_TIMEOUT: Millis = Millis(1_500);

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
    /// Its clock in its last heartbeat.
    pub stamp: u64,
    /// Until when it has promised not to take over, by this process's clock.
    pub no_takeover_until: Millis,
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
    pub fn add(&self, process: &str, addr: &str) {
        let mut map = self.lock();
        if map.get(process).is_some_and(|m| m.addr == addr) {
            return;
        }
        let member = Member {
            addr: addr.to_owned(),
            heard_at: None,
            leaving: false,
            config_head: 0,
            stamp: 0,
            no_takeover_until: Millis(0),
        };
        map.insert(process.to_owned(), member);
    }

    /// Forgets a process.
    pub fn remove(&self, process: &str) {
        self.lock().remove(process);
    }

    /// Notes a heartbeat.
    pub fn record_heartbeat(&self, now: Millis, heartbeat: &Heartbeat) {
        let mut map = self.lock();
        let Some(m) = map.get_mut(&heartbeat.process) else {
            return;
        };
        m.heard_at = Some(now);
        m.leaving = heartbeat.leaving;
        m.config_head = heartbeat.config_head;
        m.stamp = heartbeat.stamp;
        // The echo is our own clock before the promise was made, so the promise ends
        // no earlier than this.
        if heartbeat.promise_ms > 0 && heartbeat.echo > 0 {
            m.no_takeover_until =
                m.no_takeover_until.max(Millis(heartbeat.echo + heartbeat.promise_ms));
        }
    }

    /// Returns the last stamp heard from a process.
    pub fn last_stamp(&self, process: &str) -> u64 {
        self.lock().get(process).map_or(0, |m| m.stamp)
    }

    /// Returns until when every process that is known has promised not to take over;
    /// zero when one has not, or knows of a later configuration change than `head`.
    /// Without any other process there is no one to promise: then it is `alone`.
    pub fn no_takeover_until(&self, head: u64, if_alone: Millis) -> Millis {
        let map = self.lock();
        // One that leaves takes nothing over any more.
        let mut others = map.values().filter(|m| !m.leaving).peekable();
        if others.peek().is_none() {
            return if_alone;
        }
        let promise =
            |m: &Member| if m.config_head > head { Millis(0) } else { m.no_takeover_until };
        others.map(promise).min().unwrap_or(Millis(0))
    }

    /// Returns all processes that are known.
    pub fn all(&self) -> BTreeMap<String, Member> {
        self.lock().clone()
    }

    /// Returns the processes that live and stay.
    pub fn available(&self, clock: &Clock) -> Vec<String> {
        let now = clock.now();
        let is_alive = |m: &Member| m.heard_at.is_some_and(|at| now.since(at) < MEMBER_TIMEOUT);
        let map = self.lock();
        map.iter().filter(|(_, m)| is_alive(m) && !m.leaving).map(|(p, _)| p.clone()).collect()
    }
}
