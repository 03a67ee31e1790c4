//! How many jobs an account is owed an answer in time for.

use hollowford_core::Millis;

/// What an account is owed and has not handed in is kept for so long, in seconds: its jobs don't
/// come evenly. The users' bounds count what is beyond a limit over this span.
const BURST_SECONDS: f64 = 5.0;

/// And so many jobs besides, by the same bounds: a small account is owed one job a second.
const EXTRA_BURST_JOBS: f64 = 20.0;

/// Counts the jobs of an account against what it is owed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// Jobs a second that are owed; 0: all are.
    jobs_per_second: f64,
    /// Jobs that may come now and are owed.
    available: f64,
    /// When that was counted.
    updated_at: Millis,
}

impl Allowance {
    /// Sets how many jobs a second are owed; 0: all are.
    pub fn set_rate(&mut self, jobs_per_second: f64) {
        self.jobs_per_second = jobs_per_second;
    }

    /// Counts a job that comes at `now`. Tells whether it is owed.
    pub fn count_job(&mut self, now: Millis) -> bool {
        if self.jobs_per_second <= 0.0 {
            return true;
        }
        let capacity = self.jobs_per_second * BURST_SECONDS + EXTRA_BURST_JOBS;
        let earned = self.jobs_per_second * now.since(self.updated_at).0 as f64 / 1_000.0;
        self.available = (self.available + earned).min(capacity);
        self.updated_at = now;
        let guaranteed = self.available >= 1.0;
        self.available -= f64::from(u8::from(guaranteed));
        guaranteed
    }
}
