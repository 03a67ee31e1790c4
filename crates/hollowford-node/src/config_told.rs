//! What a member is told of the configuration by its owner's heartbeats.
//!
//! A configuration of a thousand routes is some 200 kB. While a link is narrow, or the cell large,
//! each process that follows the store's feed and reads the row besides takes it several times.
//! So a member leaves both alone while its owner vouches for what it knows: heartbeats come, the
//! owner has read the configuration lately, and the member isn't behind it for long.

use hollowford_core::Millis;

/// A heartbeat is late after two of its own times and this.
const HEARTBEAT_SLACK: Millis = Millis(150);
/// The owner's last reading counts for so long. It reads every 0.65 s, and heartbeats come every
/// 0.1 to 0.5 s.
const READING_COUNTS: Millis = Millis(1_200);
/// A newer configuration has to arrive from the owner within this time.
const ARRIVES_WITHIN: Millis = Millis(1_000);

/// What a heartbeat says of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Version that the owner knows.
    pub version: u64,
    /// Time since the owner read it in the store.
    pub age: Millis,
    /// Time between two heartbeats.
    pub every: Millis,
}

/// What was told last.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigTold {
    heard: Millis,
    every: Millis,
    /// When the owner read the configuration last.
    read: Millis,
    /// Since when the owner has known a newer one.
    behind: Option<Millis>,
    followed: bool,
}

impl ConfigTold {
    /// Takes in a heartbeat that came at `now`, when this process knows version `known`.
    pub fn note(&mut self, told: Told, known: u64, now: Millis) {
        self.followed = true;
        self.heard = now;
        self.every = told.every;
        self.read = now - told.age;
        self.behind = match self.behind {
            _ if told.version <= known => None,
            None => Some(now),
            since => since,
        };
    }

    /// Tells whether the owner has told of a newer configuration that has not arrived.
    pub fn is_behind(&self) -> bool {
        self.behind.is_some()
    }

    /// Tells whether the owner vouches at `now` for what this process knows, or is about to send
    /// what is newer.
    pub fn is_enough(&self, now: Millis) -> bool {
        let late = self.every + self.every + HEARTBEAT_SLACK;
        let behind = self.behind.is_some_and(|since| now.since(since) >= ARRIVES_WITHIN);
        self.followed
            && !behind
            && now.since(self.heard) < late
            && now.since(self.read) < READING_COUNTS
    }
}
