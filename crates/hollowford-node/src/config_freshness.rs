//! Whether the owner's heartbeats confirm that a member's configuration is current.
//!
//! A configuration with a thousand routes is about 200 kB. Over a narrow link or in a large cell, a
//! process that follows the store's feed and polls the row as well receives it several times. So a
//! member does neither while its owner confirms its configuration: heartbeats arrive, the owner has
//! read the configuration recently, and the member is not behind for long.

use hollowford_core::Millis;

/// A heartbeat is late after two intervals plus this time.
const HEARTBEAT_GRACE: Millis = Millis(150);
/// Age up to which the owner's last read confirms the configuration. The owner reads every 0.65 s,
/// and heartbeats arrive every 0.1 to 0.5 s.
const MAX_OWNER_READ_AGE: Millis = Millis(1_200);
/// Time within which a newer configuration must arrive from the owner.
const NEWER_CONFIG_TIMEOUT: Millis = Millis(1_000);

/// The configuration as reported in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedConfig {
    /// Version that the owner knows.
    pub version: u64,
    /// Time since the owner read the configuration from the store.
    pub age: Millis,
    /// Heartbeat interval of the owner.
    pub interval: Millis,
}

/// State derived from the heartbeats received so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    last_heartbeat: Millis,
    interval: Millis,
    /// When the owner last read the configuration.
    last_read: Millis,
    /// Since when the owner has known a newer version than this process.
    behind_since: Option<Millis>,
    has_reports: bool,
}

impl ConfigFreshness {
    /// Records a heartbeat received at `now`, while this process has version `own_version`.
    pub fn record(&mut self, reported: ReportedConfig, own_version: u64, now: Millis) {
        self.has_reports = true;
        self.last_heartbeat = now;
        self.interval = reported.interval;
        self.last_read = now - reported.age;
        self.behind_since = match self.behind_since {
            _ if reported.version <= own_version => None,
            None => Some(now),
            since => since,
        };
    }

    /// Returns true if the owner has reported a newer configuration that has not arrived.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns true if at `now` the owner confirms this process's configuration, or is about to
    /// send a newer one.
    pub fn is_current(&self, now: Millis) -> bool {
        let late = self.interval + self.interval + HEARTBEAT_GRACE;
        let behind =
            self.behind_since.is_some_and(|since| now.since(since) >= NEWER_CONFIG_TIMEOUT);
        self.has_reports
            && !behind
            && now.since(self.last_heartbeat) < late
            && now.since(self.last_read) < MAX_OWNER_READ_AGE
    }
}
