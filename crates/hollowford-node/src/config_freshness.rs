//! What a member is told of the configuration by its owner's heartbeats.
//!
//! A configuration of a thousand routes is some 200 kB. While a link is narrow, or the cell large,
//! each process that follows the store's feed and reads the row besides takes it several times.
//! So a member leaves both alone while its owner vouches for what it knows: heartbeats come, the
//! owner has read the configuration lately, and the member isn't behind it for long.

use hollowford_core::Millis;

/// A heartbeat is late after two of its own times and this.
const HEARTBEAT_GRACE: Millis = Millis(150);
/// The owner's last reading counts for so long. It reads every 0.65 s, and heartbeats come every
/// 0.1 to 0.5 s.
const MAX_OWNER_READ_AGE: Millis = Millis(1_200);
/// A newer configuration has to arrive from the owner within this time.
const NEWER_CONFIG_TIMEOUT: Millis = Millis(1_000);

/// What a heartbeat says of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedConfig {
    /// Version that the owner knows.
    pub version: u64,
    /// Time since the owner read it in the store.
    pub age: Millis,
    /// Time between two heartbeats.
    pub interval: Millis,
}

/// What was told last.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    last_heartbeat: Millis,
    interval: Millis,
    /// When the owner read the configuration last.
    last_read: Millis,
    /// Since when the owner has known a newer one.
    behind_since: Option<Millis>,
    has_reports: bool,
}

impl ConfigFreshness {
    /// Takes in a heartbeat that came at `now`, when this process knows version `own_version`.
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

    /// Tells whether the owner has told of a newer configuration that has not arrived.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Tells whether the owner vouches at `now` for what this process knows, or is about to send
    /// what is newer.
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
