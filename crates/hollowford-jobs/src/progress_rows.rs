//! Encoding of the stored rows with the progress of jobs.

use crate::crash_record::{CrashRecord, OpenRun};
use crate::job::{Job, Round, Step, Task};
use crate::worker_life::{Incarnation, WorkerLife};
use prost::Message;

/// Row with the progress of a job.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ProgressRow {
    /// Number of rounds that have become due.
    #[prost(uint32, tag = "1")]
    pub due_rounds: u32,
    /// Unfinished rounds, with the tasks that differ from a new one.
    #[prost(message, repeated, tag = "2")]
    pub rounds: Vec<RoundRow>,
    #[prost(bool, tag = "3")]
    pub started: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RoundRow {
    #[prost(uint32, tag = "1")]
    pub number: u32,
    #[prost(uint64, tag = "2")]
    pub due: u64,
    #[prost(message, repeated, tag = "3")]
    pub tasks: Vec<TaskRow>,
    /// Failed runs of gangs.
    #[prost(message, repeated, tag = "4")]
    pub gangs: Vec<GangRow>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct GangRow {
    #[prost(uint32, tag = "1")]
    pub step: u32,
    #[prost(uint32, repeated, tag = "2")]
    pub failed_runs: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct TaskRow {
    #[prost(uint32, tag = "1")]
    pub step: u32,
    #[prost(uint32, tag = "2")]
    pub index: u32,
    #[prost(bool, tag = "3")]
    pub done: bool,
    #[prost(uint32, tag = "4")]
    pub run: u32,
    #[prost(uint32, repeated, tag = "5")]
    pub failed_runs: Vec<u32>,
    #[prost(string, tag = "6")]
    pub saved: String,
    /// Crashes and open runs; set if a worker has crashed under the task or may have.
    #[prost(message, optional, tag = "7")]
    pub crash_record: Option<CrashRecordRow>,
    /// Whether it has ever had two runs at the same time.
    #[prost(bool, tag = "8")]
    pub copied: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct CrashRecordRow {
    /// Runs under which a worker has crashed.
    #[prost(uint32, repeated, tag = "1")]
    pub crashed_runs: Vec<u32>,
    /// Crashed runs that had been started shortly before.
    #[prost(uint32, repeated, tag = "2")]
    pub fresh_runs: Vec<u32>,
    /// Runs whose outcome is not known yet.
    #[prost(message, repeated, tag = "3")]
    pub open_runs: Vec<OpenRunRow>,
    /// Crashed runs that their workers had not confirmed.
    #[prost(uint32, repeated, tag = "4")]
    pub unconfirmed_runs: Vec<u32>,
    /// Crashed runs that may have become stable or ended without this being stored.
    #[prost(uint32, repeated, tag = "5")]
    pub uncertain_runs: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct OpenRunRow {
    #[prost(uint32, tag = "1")]
    pub run: u32,
    /// Id of the worker.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// Whether the run is known to be no longer fresh.
    #[prost(bool, tag = "3")]
    pub is_stable: bool,
    /// Distinguishes incarnations with the same id; missing in rows of earlier releases.
    #[prost(uint64, optional, tag = "4")]
    pub incarnation: Option<u64>,
    /// The run may have become stable or ended without this being stored.
    #[prost(bool, tag = "5")]
    pub uncertain: bool,
}

impl ProgressRow {
    /// Creates the progress row of a job.
    pub fn of(job: &Job) -> ProgressRow {
        let rounds = job.rounds.iter().filter(|r| !r.is_done()).map(RoundRow::of).collect();
        ProgressRow { due_rounds: job.due_rounds, rounds, started: job.started }
    }
}

impl TaskRow {
    fn of(step: usize, index: usize, t: &Task) -> TaskRow {
        TaskRow {
            step: step as u32,
            index: index as u32,
            done: t.done,
            run: t.last_run,
            failed_runs: t.failed_runs.clone(),
            saved: if t.done { String::new() } else { t.saved.as_deref().unwrap_or("").into() },
            crash_record: t.crash_record.as_deref().filter(|_| !t.done).map(CrashRecordRow::from),
            copied: t.copied,
        }
    }
}

impl From<&CrashRecord> for CrashRecordRow {
    fn from(record: &CrashRecord) -> CrashRecordRow {
        let open = |r: &OpenRun| OpenRunRow {
            run: r.run,
            worker: r.worker.id().as_str().to_owned(),
            is_stable: !r.fresh,
            uncertain: r.uncertain,
            incarnation: r.worker.incarnation().map(|i| i.0),
        };
        CrashRecordRow {
            crashed_runs: record.crashed_runs.clone(),
            fresh_runs: record.fresh_runs.clone(),
            unconfirmed_runs: record.unconfirmed_runs.clone(),
            uncertain_runs: record.uncertain_runs.clone(),
            open_runs: record.open_runs.iter().map(open).collect(),
        }
    }
}

impl From<&CrashRecordRow> for CrashRecord {
    fn from(row: &CrashRecordRow) -> CrashRecord {
        let open = |r: &OpenRunRow| OpenRun {
            run: r.run,
            worker: WorkerLife::new(r.worker.as_str().into(), r.incarnation.map(Incarnation)),
            fresh: !r.is_stable,
            uncertain: r.uncertain,
        };
        CrashRecord {
            crashed_runs: row.crashed_runs.clone(),
            fresh_runs: row.fresh_runs.clone(),
            unconfirmed_runs: row.unconfirmed_runs.clone(),
            uncertain_runs: row.uncertain_runs.clone(),
            open_runs: row.open_runs.iter().map(open).collect(),
            awaited_row: None,
        }
    }
}

impl RoundRow {
    fn of(round: &Round) -> RoundRow {
        let mut tasks = Vec::new();
        for (step, s) in round.steps.iter().enumerate() {
            for (index, t) in s.tasks.iter().enumerate() {
                if t.last_run > 0 || t.done || t.crash_record.is_some() {
                    tasks.push(TaskRow::of(step, index, t));
                }
            }
        }
        let gang = |(step, s): (usize, &Step)| {
            let row = GangRow { step: step as u32, failed_runs: s.failed_gang_runs.clone() };
            (!s.failed_gang_runs.is_empty()).then_some(row)
        };
        let gangs = round.steps.iter().enumerate().filter_map(gang).collect();
        RoundRow { number: round.number, due: round.due.0, tasks, gangs }
    }
}
