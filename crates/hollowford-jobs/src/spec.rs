//! Specifications of jobs and their validation.

use crate::rows::encode_spec;
use hollowford_core::Resources;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum number of tasks of one step.
pub const MAX_TASKS_PER_STEP: u32 = 2_000;
/// Maximum number of steps of one job.
pub const MAX_STEPS_PER_JOB: usize = 64;
/// Maximum size of a template, in bytes.
pub const MAX_TEMPLATE_BYTES: usize = 4_000;

/// Maximum size of a job's specification as it is stored, in bytes. It has to fit into one row of the
/// store, with the names of the job's queue and account.
pub const MAX_STORED_SPEC_BYTES: usize = 60_000;

/// Identifies a job: 16 hex digits that the caller chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = SpecError;

    fn from_str(s: &str) -> Result<JobId, SpecError> {
        let digits = s.len() == 16 && s.bytes().all(|b| b.is_ascii_hexdigit());
        let id = digits.then(|| u64::from_str_radix(s, 16).ok()).flatten();
        id.map(JobId).ok_or(SpecError::InvalidId)
    }
}

/// One step of one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// The job of the step.
    pub job: JobId,
    /// Number of the job's round, from 0; always 0 without a schedule.
    pub round: u32,
    /// Position of the step in the job, from 0.
    pub step: u32,
}

impl StepKey {
    /// Returns the key of the task at `index` in the step.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.round, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The step that it belongs to.
    pub step: StepKey,
    /// Position of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = SpecError;

    fn from_str(s: &str) -> Result<TaskKey, SpecError> {
        let mut parts = s.split('.');
        let mut part = || parts.next().ok_or(SpecError::InvalidTaskName);
        let job = part()?.parse()?;
        let mut number = || part()?.parse::<u32>().map_err(|_| SpecError::InvalidTaskName);
        let step = StepKey { job, round: number()?, step: number()? };
        let task = step.task(number()?);
        if parts.next().is_some() { Err(SpecError::InvalidTaskName) } else { Ok(task) }
    }
}

/// Reasons why a job's id, a task's name or a job's specification is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// A job's id is not 16 hex digits.
    #[error("a job id must be 16 hex digits")]
    InvalidId,
    /// A task's name doesn't have the form `ID.ROUND.STEP.INDEX`.
    #[error("a task name must have the form ID.ROUND.STEP.INDEX")]
    InvalidTaskName,
    /// The template is too long; contains its length in bytes.
    #[error("the template has {0} bytes; the limit is {MAX_TEMPLATE_BYTES}")]
    TemplateTooLong(usize),
    /// The job has no steps or too many; contains their number.
    #[error("the job has {0} steps; it must have 1 to {MAX_STEPS_PER_JOB}")]
    InvalidStepCount(usize),
    /// A step has no tasks or too many.
    #[error("step {step} has {count} tasks; it must have 1 to {MAX_TASKS_PER_STEP}")]
    InvalidTaskCount {
        /// Position of the step in the job.
        step: usize,
        /// Number of tasks that it specifies.
        count: u32,
    },
    /// The specification doesn't fit into a row of the store; contains its size in bytes.
    #[error("the job has {0} bytes as it is stored; the limit is {MAX_STORED_SPEC_BYTES}")]
    TooLarge(usize),
    /// A step depends on a step that is not an earlier one of the job.
    #[error("step {step} depends on step {on}, which is not an earlier step")]
    InvalidDependency {
        /// Position of the step in the job.
        step: usize,
        /// Position of the step that it depends on.
        on: u32,
    },
}

/// A step as specified by the caller, before validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawStep {
    /// Number of identical tasks.
    pub count: u32,
    /// Resources of each task.
    pub resources: Resources,
    /// The caller's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Positions of earlier steps that must be done before this step starts. Ascending and without
    /// repetitions once validated.
    pub depends_on: Vec<u32>,
    /// Whether a stopped task can resume from its last checkpoint.
    pub resumable: bool,
    /// Whether the tasks are a gang, which has to run all at the same time.
    pub gang: bool,
    /// Whether a gang should be placed in one rack because it is slower across racks.
    pub prefer_one_rack: bool,
    /// Label that a worker must have; empty for any worker.
    pub required_label: String,
    /// Rack that holds the data; empty if there is none.
    pub data_rack: String,
    /// Maximum number of tasks of the step on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks are service tasks, which run until the job is cancelled.
    pub service: bool,
    /// Maximum number of service tasks of the step that the scheduler itself may interrupt at the
    /// same time.
    pub max_unavailable: u32,
    /// Whether the tasks are best-effort tasks, which use only processors that others leave idle.
    pub best_effort: bool,
    /// Name of the program image; tasks with the same image behave alike.
    pub image: String,
    /// Target for the tail latency of service tasks, in milliseconds; 0 means none.
    pub latency_target_ms: u64,
}

/// A job as specified by the caller, before validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawJob {
    /// Opaque template that is passed to the workers unchanged.
    pub template: String,
    /// The job's steps.
    pub steps: Vec<RawStep>,
    /// When and how often the steps are repeated; `None` for once, immediately.
    pub schedule: Option<Schedule>,
}

/// When a job's rounds are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time of the first round, in milliseconds of Unix time.
    pub first_unix_ms: u64,
    /// Time between two rounds, in milliseconds.
    pub interval_ms: u64,
    /// Number of rounds.
    pub rounds: u32,
}

/// A validated step, with the fields of [`RawStep`].
pub type StepSpec = RawStep;

impl RawStep {
    /// Returns the resources that a worker sets aside for one task. Best-effort tasks get no
    /// processor share of their own.
    pub fn allocation(&self) -> Resources {
        let cpu_milli = if self.best_effort { 0 } else { self.resources.cpu_milli };
        Resources { cpu_milli, ..self.resources }
    }

    /// Returns true if a task of the step may have two runs at the same time. Members of gangs and
    /// service tasks never have, and best-effort tasks are slow on purpose.
    pub fn allows_copies(&self) -> bool {
        self.speculative && !self.gang && !self.service && !self.best_effort
    }
}

/// A validated job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Opaque template that is passed to the workers unchanged.
    pub template: Arc<str>,
    /// The job's steps, each depending only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// When and how often the steps are repeated; `None` for once, immediately.
    pub schedule: Option<Schedule>,
    /// Estimated length in milliseconds of the critical path from the start of each step.
    critical_paths_ms: Vec<u64>,
}

impl JobSpec {
    /// Returns the number of rounds, which is 1 without a schedule.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |s| s.rounds)
    }

    /// Checks that the specification can be stored. A job that a caller submits has to pass this; one
    /// that an earlier release has stored need not.
    ///
    /// # Errors
    /// `SpecError::TooLarge` if it can't.
    pub fn check_stored_size(&self) -> Result<(), SpecError> {
        let bytes = encode_spec(self).len();
        if bytes > MAX_STORED_SPEC_BYTES { Err(SpecError::TooLarge(bytes)) } else { Ok(()) }
    }

    /// Returns the number of tasks of all rounds.
    pub fn task_count(&self) -> u64 {
        let of_round: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        of_round.saturating_mul(u64::from(self.rounds()))
    }

    /// Returns the estimated length in milliseconds of the critical path from the start of `step`.
    pub fn critical_path_from_ms(&self, step: usize) -> u64 {
        self.critical_paths_ms[step]
    }

    /// Returns the estimated length in milliseconds of the critical path of the whole job.
    pub fn critical_path_ms(&self) -> u64 {
        self.critical_paths_ms.iter().copied().max().unwrap_or(0)
    }
}

/// Returns the length in milliseconds of the critical path from the start of each step, where
/// `run_time_ms` is the run time of a step's tasks. Each step may depend only on earlier ones.
///
/// Visits each dependency once: a job may have 64 steps, and the number of paths through them grows
/// exponentially.
pub(crate) fn critical_paths_ms(
    steps: &[StepSpec],
    run_time_ms: impl Fn(&StepSpec) -> u64,
) -> Vec<u64> {
    let mut paths: Vec<u64> = vec![0; steps.len()];
    for (i, s) in steps.iter().enumerate().rev() {
        paths[i] = paths[i].saturating_add(run_time_ms(s));
        let path = paths[i];
        for &on in &s.depends_on {
            let rest = &mut paths[on as usize];
            *rest = path.max(*rest);
        }
    }
    paths
}

impl TryFrom<RawJob> for JobSpec {
    type Error = SpecError;

    fn try_from(raw: RawJob) -> Result<JobSpec, SpecError> {
        if raw.template.len() > MAX_TEMPLATE_BYTES {
            return Err(SpecError::TemplateTooLong(raw.template.len()));
        }
        if raw.steps.is_empty() || raw.steps.len() > MAX_STEPS_PER_JOB {
            return Err(SpecError::InvalidStepCount(raw.steps.len()));
        }
        for (step, s) in raw.steps.iter().enumerate() {
            if s.count == 0 || s.count > MAX_TASKS_PER_STEP {
                return Err(SpecError::InvalidTaskCount { step, count: s.count });
            }
            if let Some(&on) = s.depends_on.iter().find(|&&on| on as usize >= step) {
                return Err(SpecError::InvalidDependency { step, on });
            }
        }
        let mut steps = raw.steps;
        for s in &mut steps {
            s.depends_on.sort_unstable();
            s.depends_on.dedup();
        }
        Ok(JobSpec {
            template: raw.template.into(),
            critical_paths_ms: critical_paths_ms(&steps, |s| s.estimate_ms),
            steps,
            schedule: raw.schedule.filter(|s| s.rounds > 0),
        })
    }
}
