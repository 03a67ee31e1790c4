//! A busy cell in which checks keep coming that crash the workers that start them.
//!
//! The pattern: the mix of a small cell of the users at two thirds of its processors (checks of two
//! tasks, surveys of ten, gangs of eight for six seconds), and a few checks that crash their
//! workers, which are back after 3.3 s. Each crash interrupts some ten tasks of as many jobs.

use super::*;
use fastrand::Rng;

const WORKERS: usize = 24;
/// How long jobs come in, in milliseconds.
const LASTS: u64 = 40_000;
/// Jobs in a second, and in the mix.
const CHECKS: f64 = 24.0;
const SURVEYS: f64 = 3.4;
const GANGS: f64 = 0.6;

/// What a storm has left.
pub struct Storm {
    pub cell: Cell,
    pub jobs: u64,
}

/// Returns a time near `ms`.
fn about(rng: &mut Rng, ms: u64) -> u64 {
    rng.u64(ms / 2..ms * 3 / 2)
}

fn check(rng: &mut Rng) -> Arc<JobSpec> {
    job(vec![step(2, 1_400, about(rng, 640))])
}

fn survey(rng: &mut Rng) -> Arc<JobSpec> {
    job(vec![step(10, 1_000, about(rng, 2_200))])
}

fn gang(rng: &mut Rng) -> Arc<JobSpec> {
    job(vec![RawStep { gang: true, ..step(8, 4_500, about(rng, 6_200)) }])
}

/// Lets jobs come in for a while, of whose checks so many in a hundred crash their workers `after`
/// milliseconds after their start, then waits until all can have ended.
pub fn storm(seed: u64, percent: u32, after: u64) -> Storm {
    let mut rng = Rng::with_seed(seed);
    let mut s = Storm { cell: Cell::new(WORKERS), jobs: 0 };
    s.cell.crashes.down = Millis(3_300);
    s.cell.crashes.after = Millis(after);
    let mut due = [0.0; 3];
    for _ in 0..LASTS / 5 {
        for (kind, per_s) in [CHECKS, SURVEYS, GANGS].into_iter().enumerate() {
            due[kind] += per_s * 0.005;
            if rng.f64() < due[kind] {
                due[kind] -= 1.0;
                s.come(kind, percent, &mut rng);
            }
        }
        s.cell.run(5);
    }
    s.cell.run(40_000);
    assert!(s.cell.crashes.jobs.len() >= 4, "too few jobs crash their workers");
    s
}

impl Storm {
    fn come(&mut self, kind: usize, percent: u32, rng: &mut Rng) {
        self.jobs += 1;
        let id = self.jobs;
        let (queue, spec) = match kind {
            0 => (QUICK, check(rng)),
            1 => (LARGE, survey(rng)),
            _ => (LARGE, gang(rng)),
        };
        if kind == 0 && rng.u32(0..100) < percent {
            self.cell.crashes.jobs.insert(JobId(id));
        }
        self.cell.submit(id, queue, spec);
    }

    /// Returns the jobs that were given up though no two workers have crashed under a task of theirs.
    pub fn given_up_after_one(&self) -> BTreeSet<u64> {
        let under = &self.cell.crashes.under;
        let twice = |id: u64| under.iter().any(|(t, &n)| t.step.job == JobId(id) && n >= 2);
        let failed = |id: u64| self.cell.state(id) == Some(JobState::Failed);
        (1..=self.jobs).filter(|&id| failed(id) && !twice(id)).collect()
    }

    /// Returns the jobs that have not ended as they should: those that crash workers as failed, or done
    /// before they would, all others well.
    pub fn wrong(&self) -> BTreeSet<u64> {
        let crashing = |id: u64| self.cell.crashes.jobs.contains(&JobId(id));
        let right = |id: u64| match self.cell.state(id) {
            Some(JobState::Completed) => !crashing(id) || self.cell.crashes.after > Millis(300),
            Some(JobState::Failed) => crashing(id),
            _ => false,
        };
        (1..=self.jobs).filter(|&id| !right(id)).collect()
    }

    /// Returns the jobs that crash no worker and have not ended well.
    pub fn given_up_for_others(&self) -> usize {
        let crashing = |id: u64| self.cell.crashes.jobs.contains(&JobId(id));
        let done = |id: u64| self.cell.state(id) == Some(JobState::Completed);
        (1..=self.jobs).filter(|&id| !crashing(id) && !done(id)).count()
    }
}
