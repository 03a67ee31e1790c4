//! One clock type, in milliseconds.

use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A reading of a monotonic clock, or a length of time, in milliseconds.
///
/// Readings of two processes are never compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// The largest reading, used for "never".
    pub const MAX: Millis = Millis(u64::MAX);

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the same length as the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, rhs: Millis) -> Millis {
        Millis(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, rhs: Millis) -> Millis {
        self.since(rhs)
    }
}

/// The monotonic clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock that reads zero now.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the milliseconds since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the wall clock's milliseconds since 1970, for people to read.
    pub fn unix(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map(|d| d.as_millis() as u64).unwrap_or(0)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
