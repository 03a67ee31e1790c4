//! The other processes of the cell that this process knows.

use hollowford_core::{Clock, Millis};
use hollowford_protocol::peer::Heartbeat;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time without a heartbeat after which a process is no longer available as an owner.
const MEMBER_TIMEOUT: Millis = Millis(1_500);

/// Another process of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    /// Address at which it accepts peer links, as `IP:port`.
    pub addr: String,
    /// When its last heartbeat arrived, by this process's clock.
    pub heard_at: Option<Millis>,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Number of the newest configuration change that it has applied.
    pub config_head: u64,
    /// Reading of its clock in its last heartbeat.
    pub stamp: u64,
    /// Time until which it has promised not to take over partitions, by this process's clock.
    pub no_takeover_until: Millis,
}

/// All other processes of the cell that this process knows.
#[derive(Debug, Default)]
pub(crate) struct Members {
    map: Mutex<BTreeMap<String, Member>>,
}

impl Members {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Member>> {
        self.map.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a process, or updates its address. A new address means that the process has
    /// restarted, so its earlier state is reset.
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

    pub fn remove(&self, process: &str) {
        self.lock().remove(process);
    }

    /// Records a heartbeat. Ignores processes that were not added.
    pub fn record_heartbeat(&self, now: Millis, heartbeat: &Heartbeat) {
        let mut map = self.lock();
        let Some(m) = map.get_mut(&heartbeat.process) else {
            return;
        };
        m.heard_at = Some(now);
        m.leaving = heartbeat.leaving;
        m.config_head = heartbeat.config_head;
        m.stamp = heartbeat.stamp;
        // The echo is a reading of this process's clock from before the promise was made, so
        // the promise ends no earlier than the sum.
        if heartbeat.promise_ms > 0 && heartbeat.echo > 0 {
            m.no_takeover_until =
                m.no_takeover_until.max(Millis(heartbeat.echo + heartbeat.promise_ms));
        }
    }

    /// Returns the stamp of a process's last heartbeat, or 0 if there is none.
    pub fn last_stamp(&self, process: &str) -> u64 {
        self.lock().get(process).map_or(0, |m| m.stamp)
    }

    /// Returns the time until which all known processes have promised not to take over
    /// partitions. Returns zero if a process has not, or knows a later configuration change than
    /// `head`, and `if_alone` if there is no other process.
    pub fn no_takeover_until(&self, head: u64, if_alone: Millis) -> Millis {
        let map = self.lock();
        // A process that is about to stop does not take over partitions.
        let mut others = map.values().filter(|m| !m.leaving).peekable();
        if others.peek().is_none() {
            return if_alone;
        }
        let promise =
            |m: &Member| if m.config_head > head { Millis(0) } else { m.no_takeover_until };
        others.map(promise).min().unwrap_or(Millis(0))
    }

    pub fn all(&self) -> BTreeMap<String, Member> {
        self.lock().clone()
    }

    /// Returns the processes that are alive and not about to stop.
    pub fn available(&self, clock: &Clock) -> Vec<String> {
        let now = clock.now();
        let is_alive = |m: &Member| m.heard_at.is_some_and(|at| now.since(at) < MEMBER_TIMEOUT);
        let map = self.lock();
        map.iter().filter(|(_, m)| is_alive(m) && !m.leaving).map(|(p, _)| p.clone()).collect()
    }
}
