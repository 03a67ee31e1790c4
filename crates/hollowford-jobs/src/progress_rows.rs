//! The rows that tell how far jobs have come, as bytes.

use crate::crash_record::{CrashRecord, OpenRun};
use crate::job::{Job, Round, Step, Task};
use crate::worker_life::{Incarnation, WorkerLife};
use prost::Message;

/// How far a job has come.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ProgressRow {
    /// Rounds that have fallen due.
    #[prost(uint32, tag = "1")]
    pub due_rounds: u32,
    /// Rounds that are not done, with the tasks that differ from a fresh one.
    #[prost(message, repeated, tag = "2")]
    pub rounds: Vec<RoundRow>,
    #[prost(bool, tag = "3")]
    pub begun: bool,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RoundRow {
    #[prost(uint32, tag = "1")]
    pub number: u32,
    #[prost(uint64, tag = "2")]
    pub due: u64,
    #[prost(message, repeated, tag = "3")]
    pub tasks: Vec<TaskRow>,
    /// Runs of gangs that failed.
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
    /// A worker has crashed under it, or may have.
    #[prost(message, optional, tag = "7")]
    pub crash_record: Option<CrashRecordRow>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct CrashRecordRow {
    /// Runs under which a worker has crashed.
    #[prost(uint32, repeated, tag = "1")]
    pub crashed_runs: Vec<u32>,
    /// Those of them that had been started shortly before.
    #[prost(uint32, repeated, tag = "2")]
    pub fresh_runs: Vec<u32>,
    /// Runs of which it isn't known yet.
    #[prost(message, repeated, tag = "3")]
    pub open_runs: Vec<OpenRunRow>,
    /// Crashed runs that their workers had not confirmed.
    #[prost(uint32, repeated, tag = "4")]
    pub unconfirmed_runs: Vec<u32>,
    /// Crashed runs that may have worked or ended without its being written.
    #[prost(uint32, repeated, tag = "5")]
    pub uncertain_runs: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct OpenRunRow {
    #[prost(uint32, tag = "1")]
    pub run: u32,
    /// The life of the worker.
    #[prost(string, tag = "2")]
    pub worker: String,
    /// It is known to have worked for a while.
    #[prost(bool, tag = "3")]
    pub is_stable: bool,
    /// Tells lives under one id apart; rows of earlier releases lack it.
    #[prost(uint64, optional, tag = "4")]
    pub incarnation: Option<u64>,
    /// That it has worked or ended may not have been written.
    #[prost(bool, tag = "5")]
    pub uncertain: bool,
}

impl ProgressRow {
    /// Returns the row of a job's progress.
    pub fn of(job: &Job) -> ProgressRow {
        let rounds = job.rounds.iter().filter(|r| !r.is_done()).map(RoundRow::of).collect();
        ProgressRow { due_rounds: job.due_rounds, rounds, begun: job.begun }
    }
}

impl TaskRow {
    fn of(step: usize, index: usize, t: &Task) -> TaskRow {
        TaskRow {
            step: step as u32,
            index: index as u32,
            done: t.done,
            run: t.run,
            failed_runs: t.failed_runs.clone(),
            saved: if t.done { String::new() } else { t.saved.as_deref().unwrap_or("").into() },
            crash_record: t.crash_record.as_deref().filter(|_| !t.done).map(CrashRecordRow::from),
        }
    }
}

impl From<&CrashRecord> for CrashRecordRow {
    fn from(s: &CrashRecord) -> CrashRecordRow {
        let open = |r: &OpenRun| OpenRunRow {
            run: r.run,
            worker: r.worker.id().as_str().to_owned(),
            is_stable: !r.fresh,
            uncertain: r.uncertain,
            incarnation: r.worker.incarnation().map(|i| i.0),
        };
        CrashRecordRow {
            crashed_runs: s.crashed_runs.clone(),
            fresh_runs: s.fresh_runs.clone(),
            unconfirmed_runs: s.unconfirmed_runs.clone(),
            uncertain_runs: s.uncertain_runs.clone(),
            open_runs: s.open_runs.iter().map(open).collect(),
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
            unwritten_row: None,
        }
    }
}

impl RoundRow {
    fn of(round: &Round) -> RoundRow {
        let mut tasks = Vec::new();
        for (step, s) in round.steps.iter().enumerate() {
            for (index, t) in s.tasks.iter().enumerate() {
                if t.run > 0 || t.done || t.crash_record.is_some() {
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
