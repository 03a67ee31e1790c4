//! A busy cell in which some jobs crash the workers that run them.
//!
//! The load is that of a small deployment with two thirds of its processors in use: checks of two
//! tasks, surveys of ten, and gangs of eight tasks that run for six seconds. Some of the checks
//! crash their workers, which restart after 3.3 s. Each crash interrupts about ten tasks of as many
//! jobs.

use super::*;
use fastrand::Rng;

const WORKERS: usize = 24;
/// How long jobs are submitted, in milliseconds.
const ARRIVALS_MS: u64 = 40_000;
/// Checks submitted per second.
const CHECKS_PER_S: f64 = 24.0;
/// Surveys submitted per second.
const SURVEYS_PER_S: f64 = 3.4;
/// Gangs submitted per second.
const GANGS_PER_S: f64 = 0.6;

/// A cell after the load has ended.
pub struct CrashLoad {
    pub cell: TestCell,
    /// Number of jobs submitted; their ids are 1 to `jobs`.
    pub jobs: u64,
}

/// Draws a duration between half of `ms` and one and a half times `ms`.
fn jitter(rng: &mut Rng, ms: u64) -> u64 {
    rng.u64(ms / 2..ms * 3 / 2)
}

fn check(rng: &mut Rng) -> Arc<JobSpec> {
    job(vec![step(2, 1_400, jitter(rng, 640))])
}

fn survey(rng: &mut Rng) -> Arc<JobSpec> {
    job(vec![step(10, 1_000, jitter(rng, 2_200))])
}

fn gang(rng: &mut Rng) -> Arc<JobSpec> {
    job(vec![RawStep { gang: true, ..step(8, 4_500, jitter(rng, 6_200)) }])
}

/// Submits jobs for a while, then waits until all can have ended. The given percentage of the
/// checks crash their workers `after` milliseconds after each start.
pub fn run_crash_load(seed: u64, percent: u32, after: u64) -> CrashLoad {
    let mut rng = Rng::with_seed(seed);
    let mut s = CrashLoad { cell: TestCell::new(WORKERS), jobs: 0 };
    s.cell.crashes.downtime = Millis(3_300);
    s.cell.crashes.crash_after = Millis(after);
    let mut due = [0.0; 3];
    for _ in 0..ARRIVALS_MS / 5 {
        for (kind, per_s) in [CHECKS_PER_S, SURVEYS_PER_S, GANGS_PER_S].into_iter().enumerate() {
            due[kind] += per_s * 0.005;
            if rng.f64() < due[kind] {
                due[kind] -= 1.0;
                s.submit_kind(kind, percent, &mut rng);
            }
        }
        s.cell.run(5);
    }
    s.cell.run(40_000);
    assert!(s.cell.crashes.jobs.len() >= 4, "too few jobs crash their workers");
    s
}

impl CrashLoad {
    fn submit_kind(&mut self, kind: usize, percent: u32, rng: &mut Rng) {
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

    /// Returns the jobs that failed although no two workers crashed under the same one of their
    /// tasks.
    pub fn failed_without_two_crashes(&self) -> BTreeSet<u64> {
        let crashes_by_task = &self.cell.crashes.by_task;
        let crashed_twice =
            |id: u64| crashes_by_task.iter().any(|(t, &n)| t.step.job == JobId(id) && n >= 2);
        let failed = |id: u64| self.cell.state(id) == Some(JobState::Failed);
        (1..=self.jobs).filter(|&id| failed(id) && !crashed_twice(id)).collect()
    }

    /// Returns the jobs with an unexpected end. A job that crashes workers must fail, or complete
    /// if its tasks can end before the crash; all others must complete.
    pub fn unexpected_ends(&self) -> BTreeSet<u64> {
        let crashing = |id: u64| self.cell.crashes.jobs.contains(&JobId(id));
        let as_expected = |id: u64| match self.cell.state(id) {
            Some(JobState::Completed) => {
                !crashing(id) || self.cell.crashes.crash_after > Millis(300)
            }
            Some(JobState::Failed) => crashing(id),
            _ => false,
        };
        (1..=self.jobs).filter(|&id| !as_expected(id)).collect()
    }

    /// Returns the number of jobs that crash no worker and have not completed.
    pub fn incomplete_harmless_jobs(&self) -> usize {
        let crashing = |id: u64| self.cell.crashes.jobs.contains(&JobId(id));
        let done = |id: u64| self.cell.state(id) == Some(JobState::Completed);
        (1..=self.jobs).filter(|&id| !crashing(id) && !done(id)).count()
    }
}
