//! Whether a pool is full, with hysteresis.

use hollowford_core::Millis;

/// Time for which some late step must lack capacity until the pool counts as full, so that a step
/// that waits only until the next tasks end doesn't change the order. It is shorter than the slack
/// of a usual check, 250 ms.
const BEGIN_AFTER: Millis = Millis(200);
/// Time without a late step that lacks capacity until the pool no longer counts as full. Two gangs that
/// wait one after the other are up to this far apart.
const END_AFTER: Millis = Millis(2_000);

/// Whether late steps lack capacity in a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Contention {
    is_full: bool,
    /// Since when the last findings differ from `is_full`.
    changing_since: Option<Millis>,
}

impl Contention {
    /// Returns true if the pool counts as full.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// Records whether some late step lacks capacity at `now`. Returns true if the pool has
    /// become full or has ceased to be.
    pub fn record(&mut self, lacks_capacity: bool, now: Millis) -> bool {
        if lacks_capacity == self.is_full {
            self.changing_since = None;
            return false;
        }
        let since = *self.changing_since.get_or_insert(now);
        let delay = if self.is_full { END_AFTER } else { BEGIN_AFTER };
        if now.since(since) < delay {
            return false;
        }
        self.is_full = lacks_capacity;
        self.changing_since = None;
        true
    }
}
