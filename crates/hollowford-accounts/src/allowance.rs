//! How many jobs an account is owed an answer in time for.

use hollowford_core::Millis;

/// What an account is owed and has not handed in is kept for so long, in seconds: its jobs don't
/// come evenly. The users' bounds count what is beyond a limit over this span.
const KEPT_FOR_S: f64 = 5.0;

/// And so many jobs besides, by the same bounds: a small account is owed one job a second.
const BESIDES: f64 = 20.0;

/// Counts the jobs of an account against what it is owed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// Jobs a second that are owed; 0: all are.
    per_s: f64,
    /// Jobs that may come now and are owed.
    left: f64,
    /// When that was counted.
    at: Millis,
}

impl Allowance {
    /// Sets how many jobs a second are owed; 0: all are.
    pub fn set(&mut self, per_s: f64) {
        self.per_s = per_s;
    }

    /// Counts a job that comes at `now`. Tells whether it is owed.
    pub fn note(&mut self, now: Millis) -> bool {
        if self.per_s <= 0.0 {
            return true;
        }
        let most = self.per_s * KEPT_FOR_S + BESIDES;
        let earned = self.per_s * now.since(self.at).0 as f64 / 1_000.0;
        self.left = (self.left + earned).min(most);
        self.at = now;
        let owed = self.left >= 1.0;
        self.left -= f64::from(u8::from(owed));
        owed
    }
}
