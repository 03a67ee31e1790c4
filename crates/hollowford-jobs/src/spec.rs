//! What callers ask for, checked.

use hollowford_core::Resources;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Most tasks of one step. A larger step is refused, since its progress has to fit a row.
pub const MAX_TASKS_PER_STEP: u32 = 2_000;
/// Most steps of one job.
pub const MAX_STEPS_PER_JOB: usize = 64;
/// Longest template, in bytes.
pub const MAX_TEMPLATE_BYTES: usize = 4_000;

/// Names a job: 16 hex digits that the caller chose.
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
    /// The job.
    pub job: JobId,
    /// Number of the round, from 0; always 0 without a schedule.
    pub round: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

impl StepKey {
    /// Names a task of the step.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.round, self.step)
    }
}

/// One task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The step that it belongs to.
    pub step: StepKey,
    /// Position in the step, from 0.
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

/// What is wrong with a job.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The id is not 16 hex digits.
    #[error("a job's id is 16 hex digits")]
    InvalidId,
    /// A task's name is not ID.ROUND.STEP.INDEX.
    #[error("a task's name is ID.ROUND.STEP.INDEX")]
    InvalidTaskName,
    /// The template is too long.
    #[error("the template has {0} bytes; {MAX_TEMPLATE_BYTES} is the most")]
    TemplateTooLong(usize),
    /// No step, or too many.
    #[error("a job has 1 to {MAX_STEPS_PER_JOB} steps, not {0}")]
    StepCount(usize),
    /// A step without tasks, or with too many.
    #[error("step {step} has {count} tasks; it may have 1 to {MAX_TASKS_PER_STEP}")]
    TaskCount {
        /// Number of the step.
        step: usize,
        /// How many tasks it asks for.
        count: u32,
    },
    /// A step depends on itself, on a later one, or on none that there is.
    #[error("step {step} depends on step {on}, which is not an earlier one")]
    InvalidDependency {
        /// Number of the step.
        step: usize,
        /// What it depends on.
        on: u32,
    },
}

/// A step as it came, not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawStep {
    /// How many equal tasks.
    pub count: u32,
    /// What each task takes.
    pub resources: Resources,
    /// The caller's guess of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Numbers of earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Whether a stopped task can go on from where it was.
    pub resumable: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether a gang is slow when it spans racks.
    pub prefer_one_rack: bool,
    /// Label that a worker must have; empty: any.
    pub required_label: String,
    /// Rack where the data lies; empty: none.
    pub data_rack: String,
    /// Most tasks of the step on one worker; 0: no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub service: bool,
    /// How many tasks of a lasting step may be away at once by our doing.
    pub max_unavailable: u32,
    /// Whether the tasks use only processors that others leave idle.
    pub best_effort: bool,
    /// What the tasks run; equal images behave alike.
    pub image: String,
    /// Bound of the users' answer times of lasting tasks, in milliseconds; 0: none.
    pub latency_target_ms: u64,
}

/// A job as it came, not checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawJob {
    /// Handed to the workers as it is.
    pub template: String,
    /// Its steps.
    pub steps: Vec<RawStep>,
    /// When and how often to repeat.
    pub schedule: Option<Schedule>,
}

/// When a job's rounds are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time of the first round, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Milliseconds between rounds.
    pub interval_ms: u64,
    /// How many rounds.
    pub rounds: u32,
}

/// A checked step. The fields are those of [`RawStep`].
pub type StepSpec = RawStep;

impl RawStep {
    /// Returns the room that a worker has to set aside for one task.
    pub fn allocation(&self) -> Resources {
        let cpu_milli = if self.best_effort { 0 } else { self.resources.cpu_milli };
        Resources { cpu_milli, ..self.resources }
    }
}

/// A checked job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Handed to the workers as it is.
    pub template: Arc<str>,
    /// Its steps, each depending on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// When and how often to repeat; none: once, now.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Returns how many rounds the job has.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |s| s.rounds)
    }

    /// Returns the longest chain of estimates from the start of `step` on.
    pub fn critical_path_from_ms(&self, step: usize) -> u64 {
        let after = |(i, s): (usize, &StepSpec)| {
            s.depends_on.contains(&(step as u32)).then(|| self.critical_path_from_ms(i))
        };
        let rest = self.steps.iter().enumerate().skip(step + 1).filter_map(after).max();
        self.steps[step].estimate_ms + rest.unwrap_or(0)
    }

    /// Returns the longest chain of estimates of the whole job.
    pub fn critical_path_ms(&self) -> u64 {
        (0..self.steps.len()).map(|i| self.critical_path_from_ms(i)).max().unwrap_or(0)
    }
}

impl TryFrom<RawJob> for JobSpec {
    type Error = SpecError;

    fn try_from(raw: RawJob) -> Result<JobSpec, SpecError> {
        if raw.template.len() > MAX_TEMPLATE_BYTES {
            return Err(SpecError::TemplateTooLong(raw.template.len()));
        }
        if raw.steps.is_empty() || raw.steps.len() > MAX_STEPS_PER_JOB {
            return Err(SpecError::StepCount(raw.steps.len()));
        }
        for (step, s) in raw.steps.iter().enumerate() {
            if s.count == 0 || s.count > MAX_TASKS_PER_STEP {
                return Err(SpecError::TaskCount { step, count: s.count });
            }
            if let Some(&on) = s.depends_on.iter().find(|&&on| on as usize >= step) {
                return Err(SpecError::InvalidDependency { step, on });
            }
        }
        let schedule = raw.schedule.filter(|s| s.rounds > 0);
        Ok(JobSpec { template: raw.template.into(), steps: raw.steps, schedule })
    }
}
