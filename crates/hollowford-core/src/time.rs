//! One clock type, in milliseconds.

use nix::time::{ClockId, clock_gettime};
use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
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
///
/// It counts the time for which the machine is suspended, too: leases run out meanwhile, and others
/// take over, so what a process believed before is as old as after a pause of the process alone.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Time since the machine was started, then; none: the system doesn't tell it.
    since_boot_at_start: Option<Duration>,
    shift: Option<&'static AtomicU64>,
}

impl Clock {
    /// Starts a clock that reads zero now.
    pub fn new() -> Clock {
        Clock { start: Instant::now(), since_boot_at_start: since_boot(), shift: None }
    }

    /// Returns the same clock, ahead by as many milliseconds as `shift` holds at each reading. It lets
    /// tests suspend a process.
    pub fn shifted(self, shift: &'static AtomicU64) -> Clock {
        Clock { shift: Some(shift), ..self }
    }

    /// Returns the milliseconds since the clock was started.
    pub fn now(&self) -> Millis {
        let elapsed = match (self.since_boot_at_start, since_boot()) {
            (Some(then), Some(now)) => now.saturating_sub(then),
            _ => self.start.elapsed(),
        };
        let shift = self.shift.map_or(0, |s| s.load(Ordering::Relaxed));
        Millis(elapsed.as_millis() as u64 + shift)
    }

    /// Returns the wall clock's milliseconds since 1970, for people to read.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map(|d| d.as_millis() as u64).unwrap_or(0)
    }
}

/// Returns the time since the machine was started, suspensions included.
fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
