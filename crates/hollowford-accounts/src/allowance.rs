//! Rate of jobs that an account is guaranteed a timely answer for.

use hollowford_core::Millis;

/// Time in seconds for which unused rate accumulates, since jobs do not arrive evenly. The users'
/// service levels count the jobs beyond a limit over the same span.
const BURST_SECONDS: f64 = 5.0;

/// Jobs allowed in a burst on top of the accumulated rate, by the same service levels. They matter
/// for small accounts, which are guaranteed one job per second.
const EXTRA_BURST_JOBS: f64 = 20.0;

/// Token bucket that counts the jobs of an account against its guaranteed rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// Guaranteed jobs per second; 0 means that all jobs are guaranteed.
    jobs_per_second: f64,
    /// Jobs that may arrive now within the guaranteed rate.
    available: f64,
    /// Time at which `available` was computed.
    updated_at: Millis,
}

impl Allowance {
    /// Sets the guaranteed jobs per second; 0 means that all jobs are guaranteed.
    pub fn set_rate(&mut self, jobs_per_second: f64) {
        self.jobs_per_second = jobs_per_second;
    }

    /// Counts a job that arrives at `now`. Returns true if it is within the guaranteed rate.
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
