//! Encoding of the stored rows of jobs and workers.

use crate::job::{Job, JobState};
use crate::spec::{JobSpec, RawJob, RawStep, Schedule, SpecError};
use crate::worker_life::{Incarnation, WorkerLife};
use hollowford_core::Resources;
use prost::Message;
use std::sync::Arc;

/// An error in decoding a row.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// The bytes are not a valid message.
    #[error("malformed message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The job specification is not valid.
    #[error("invalid job: {0}")]
    Spec(#[from] SpecError),
    /// The number of a job state is unknown.
    #[error("unknown job state: {0}")]
    State(u32),
    /// The key is not one that this release writes.
    #[error("unknown key: {0}")]
    Key(String),
}

/// Row of a job. For an ended job only `state`, `ended_at` and `account` are set.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct JobRow {
    #[prost(uint32, tag = "1")]
    pub state: u32,
    #[prost(uint64, tag = "2")]
    pub ended_at: u64,
    #[prost(string, tag = "3")]
    pub queue: String,
    #[prost(string, tag = "4")]
    pub template: String,
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<StepRow>,
    #[prost(message, optional, tag = "6")]
    pub schedule: Option<ScheduleRow>,
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    #[prost(uint64, tag = "8")]
    pub accepted_at: u64,
    /// The client account that submitted the job; empty if there is none or the row was written by
    /// an earlier release.
    #[prost(string, tag = "9")]
    pub account: String,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ScheduleRow {
    #[prost(uint64, tag = "1")]
    pub first_unix_ms: u64,
    #[prost(uint64, tag = "2")]
    pub interval_ms: u64,
    #[prost(uint32, tag = "3")]
    pub rounds: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct StepRow {
    #[prost(uint32, tag = "1")]
    pub count: u32,
    #[prost(uint32, tag = "2")]
    pub cpu_milli: u32,
    #[prost(uint32, tag = "3")]
    pub memory_mib: u32,
    #[prost(uint32, tag = "4")]
    pub accelerators: u32,
    #[prost(uint64, tag = "5")]
    pub estimate_ms: u64,
    #[prost(uint32, repeated, tag = "6")]
    pub depends_on: Vec<u32>,
    #[prost(bool, tag = "7")]
    pub resumable: bool,
    #[prost(bool, tag = "8")]
    pub gang: bool,
    #[prost(bool, tag = "9")]
    pub prefer_one_rack: bool,
    #[prost(string, tag = "10")]
    pub required_label: String,
    #[prost(string, tag = "11")]
    pub data_rack: String,
    #[prost(uint32, tag = "12")]
    pub max_per_worker: u32,
    #[prost(bool, tag = "13")]
    pub speculative: bool,
    #[prost(bool, tag = "14")]
    pub service: bool,
    #[prost(uint32, tag = "15")]
    pub max_unavailable: u32,
    #[prost(bool, tag = "16")]
    pub best_effort: bool,
    #[prost(string, tag = "17")]
    pub image: String,
    #[prost(uint64, tag = "18")]
    pub latency_target_ms: u64,
}

/// Row of workers that may hold a lease.
#[derive(Clone, PartialEq, Message)]
struct WorkersRow {
    #[prost(message, repeated, tag = "1")]
    workers: Vec<WorkerRow>,
}

#[derive(Clone, PartialEq, Message)]
struct WorkerRow {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    address: String,
    /// Distinguishes incarnations with the same id; missing in rows of earlier releases.
    #[prost(uint64, optional, tag = "3")]
    incarnation: Option<u64>,
}

/// A worker incarnation and its address.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerAddress {
    /// The worker incarnation.
    pub life: WorkerLife,
    /// `IP:port` of the worker.
    pub address: Arc<str>,
}

/// Encodes a row of workers.
pub fn encode_workers(list: &[WorkerAddress]) -> Vec<u8> {
    let row = |w: &WorkerAddress| WorkerRow {
        id: w.life.id().as_str().to_owned(),
        address: w.address.to_string(),
        incarnation: w.life.incarnation().map(|i| i.0),
    };
    WorkersRow { workers: list.iter().map(row).collect() }.encode_to_vec()
}

/// Decodes a row of workers.
///
/// # Errors
/// `RowError::Decode` if the bytes are not such a row.
pub fn decode_workers(bytes: &[u8]) -> Result<Vec<WorkerAddress>, RowError> {
    let row = WorkersRow::decode(bytes)?;
    let life =
        |w: &WorkerRow| WorkerLife::new(w.id.as_str().into(), w.incarnation.map(Incarnation));
    let one = |w: WorkerRow| WorkerAddress { life: life(&w), address: w.address.into() };
    Ok(row.workers.into_iter().map(one).collect())
}

impl JobState {
    /// Returns the number that rows and messages use for the state.
    pub fn code(self) -> u32 {
        match self {
            JobState::Queued => 0,
            JobState::Running => 1,
            JobState::Completed => 2,
            JobState::Failed => 3,
            JobState::Cancelled => 4,
        }
    }

    /// Returns the state with this number.
    ///
    /// # Errors
    /// `RowError::State` if there is no such state.
    pub fn from_code(code: u32) -> Result<JobState, RowError> {
        match code {
            0 => Ok(JobState::Queued),
            1 => Ok(JobState::Running),
            2 => Ok(JobState::Completed),
            3 => Ok(JobState::Failed),
            4 => Ok(JobState::Cancelled),
            _ => Err(RowError::State(code)),
        }
    }
}

impl From<&RawStep> for StepRow {
    fn from(s: &RawStep) -> StepRow {
        StepRow {
            count: s.count,
            cpu_milli: s.resources.cpu_milli,
            memory_mib: s.resources.memory_mib,
            accelerators: s.resources.accelerators,
            estimate_ms: s.estimate_ms,
            depends_on: s.depends_on.clone(),
            resumable: s.resumable,
            gang: s.gang,
            prefer_one_rack: s.prefer_one_rack,
            required_label: s.required_label.clone(),
            data_rack: s.data_rack.clone(),
            max_per_worker: s.max_per_worker,
            speculative: s.speculative,
            service: s.service,
            max_unavailable: s.max_unavailable,
            best_effort: s.best_effort,
            image: s.image.clone(),
            latency_target_ms: s.latency_target_ms,
        }
    }
}

impl From<StepRow> for RawStep {
    fn from(r: StepRow) -> RawStep {
        RawStep {
            count: r.count,
            resources: Resources::new(r.cpu_milli, r.memory_mib, r.accelerators),
            estimate_ms: r.estimate_ms,
            depends_on: r.depends_on,
            resumable: r.resumable,
            gang: r.gang,
            prefer_one_rack: r.prefer_one_rack,
            required_label: r.required_label,
            data_rack: r.data_rack,
            max_per_worker: r.max_per_worker,
            speculative: r.speculative,
            service: r.service,
            max_unavailable: r.max_unavailable,
            best_effort: r.best_effort,
            image: r.image,
            latency_target_ms: r.latency_target_ms,
        }
    }
}

impl JobRow {
    /// Creates the row of an open job.
    pub fn open(job: &Job, account: &str) -> JobRow {
        let schedule = job.spec.schedule.map(ScheduleRow::from);
        JobRow {
            state: JobState::Queued.code(),
            ended_at: 0,
            queue: job.queue.to_string(),
            template: job.spec.template.to_string(),
            steps: job.spec.steps.iter().map(StepRow::from).collect(),
            schedule,
            epoch: job.epoch,
            accepted_at: job.accepted_at.0,
            account: account.to_owned(),
        }
    }

    /// Creates the row of an ended job; `at` is the time of its end in milliseconds of the store's
    /// clock.
    pub fn ended(state: JobState, at: u64, account: &str) -> JobRow {
        let account = account.to_owned();
        JobRow { state: state.code(), ended_at: at, account, ..JobRow::default() }
    }

    /// Takes the job specification out of the row and validates it.
    pub fn spec(&mut self) -> Result<JobSpec, SpecError> {
        let schedule = self.schedule.take().map(|s| Schedule {
            first_unix_ms: s.first_unix_ms,
            interval_ms: s.interval_ms,
            rounds: s.rounds,
        });
        let steps = std::mem::take(&mut self.steps).into_iter().map(RawStep::from).collect();
        JobSpec::try_from(RawJob { template: std::mem::take(&mut self.template), steps, schedule })
    }
}

/// Encodes a job specification for messages between processes.
pub fn encode_spec(spec: &JobSpec) -> Vec<u8> {
    let schedule = spec.schedule.map(ScheduleRow::from);
    let steps = spec.steps.iter().map(StepRow::from).collect();
    JobRow { template: spec.template.to_string(), steps, schedule, ..JobRow::default() }
        .encode_to_vec()
}

/// Decodes a job specification.
///
/// # Errors
/// `RowError::Decode` if the bytes are not a specification, `RowError::Spec` if it is not valid.
pub fn decode_spec(bytes: &[u8]) -> Result<JobSpec, RowError> {
    Ok(JobRow::decode(bytes)?.spec()?)
}

impl From<Schedule> for ScheduleRow {
    fn from(s: Schedule) -> ScheduleRow {
        ScheduleRow { first_unix_ms: s.first_unix_ms, interval_ms: s.interval_ms, rounds: s.rounds }
    }
}
