//! Monotonic time in milliseconds.

use nix::time::{ClockId, clock_gettime};
use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A reading of a monotonic clock, or a duration, in milliseconds.
///
/// Readings are only comparable within one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest possible time, used for "never".
    pub const MAX: Millis = Millis(u64::MAX);

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Converts to a standard [`Duration`].
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
///
/// It also counts the time for which the machine is suspended. Leases expire and other processes
/// take over during that time, so everything known from before the suspension is outdated.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Time since boot when the clock was created; `None` if the system does not provide it.
    since_boot_at_start: Option<Duration>,
    /// Milliseconds added to each reading, set by tests.
    shift: Option<&'static AtomicU64>,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Clock {
        Clock { start: Instant::now(), since_boot_at_start: since_boot(), shift: None }
    }

    /// Returns this clock with the value of `shift`, in milliseconds, added to each reading. Tests
    /// use it to simulate a suspension.
    pub fn shifted(self, shift: &'static AtomicU64) -> Clock {
        Clock { shift: Some(shift), ..self }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Millis {
        let elapsed = match (self.since_boot_at_start, since_boot()) {
            (Some(then), Some(now)) => now.saturating_sub(then),
            _ => self.start.elapsed(),
        };
        let shift = self.shift.map_or(0, |s| s.load(Ordering::Relaxed));
        Millis(elapsed.as_millis() as u64 + shift)
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 before it. The wall
    /// clock may jump; durations are measured with [`now`](Self::now).
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map(|d| d.as_millis() as u64).unwrap_or(0)
    }
}

/// Returns the time since boot, including suspensions.
fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
