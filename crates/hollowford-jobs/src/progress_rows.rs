//! Encoding of the stored rows with the progress of jobs.

use crate::crash_record::{CrashRecord, OpenRun};
use crate::job::{Job, Round, Step, Task};
use crate::progress_segments::Segment;
use crate::row_division::divide;
use crate::spec::StepKey;
use crate::worker_life::{Incarnation, WorkerLife};
use prost::Message;

/// Row with the progress of a job, or with a part of it.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ProgressRow {
    /// Number of rounds that have become due, as far as the row's segment contains rounds.
    #[prost(uint32, tag = "1")]
    pub due_rounds: u32,
    /// Unfinished rounds, with the tasks that differ from a new one. In a segment of tasks, the
    /// round of these tasks.
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
    /// Tasks of large jobs that are done; these are not in `tasks`, unless they were copied.
    #[prost(message, repeated, tag = "5")]
    pub done: Vec<DoneTasksRow>,
}

/// Consecutive tasks of a step, some of which are done.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct DoneTasksRow {
    #[prost(uint32, tag = "1")]
    pub step: u32,
    /// Position of the first task in the step.
    #[prost(uint32, tag = "2")]
    pub first: u32,
    /// A bit for each task, from the lowest bit of the first byte; set if the task is done.
    #[prost(bytes = "vec", tag = "3")]
    pub bits: Vec<u8>,
}

impl DoneTasksRow {
    fn of(step: u32, first: usize, tasks: &[Task]) -> DoneTasksRow {
        let mut bits = vec![0; tasks.len().div_ceil(8)];
        for (at, _) in tasks.iter().enumerate().filter(|(_, t)| t.done) {
            bits[at / 8] |= 1 << (at % 8);
        }
        DoneTasksRow { step, first: first as u32, bits }
    }

    /// Returns the positions in the step of the tasks that are done.
    pub fn positions(&self) -> impl Iterator<Item = u32> {
        let is_set = |at: &usize| self.bits[at / 8] & (1 << (at % 8)) != 0;
        (0..self.bits.len() * 8).filter(is_set).map(|at| self.first.saturating_add(at as u32))
    }
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

    /// Creates the row of the unfinished rounds in the segment `Rounds(number)` of a large job.
    fn of_rounds(job: &Job, number: u32) -> ProgressRow {
        let range = Segment::rounds(number);
        let due_rounds = job.due_rounds.min(range.end);
        let listed = job.rounds.iter().filter(|r| range.contains(&r.number) && !r.is_done());
        let rounds =
            listed.map(|r| RoundRow { number: r.number, due: r.due.0, ..RoundRow::default() });
        ProgressRow { due_rounds, rounds: rounds.collect(), started: job.started }
    }

    /// Creates the row of some tasks of a step of a large job. Returns `None` if the job no longer
    /// has the round.
    fn of_tasks(job: &Job, key: StepKey, block: u32) -> Option<ProgressRow> {
        let step = job.round(key.round)?.steps.get(key.step as usize)?;
        let range = job.layout.tasks(block);
        let range = range.start.min(step.tasks.len())..range.end.min(step.tasks.len());
        let tasks = &step.tasks[range.clone()];
        let row = |(at, t): (usize, &Task)| {
            let is_row = t.is_changed() && (!t.done || t.copied);
            is_row.then(|| TaskRow::of(key.step as usize, range.start + at, t))
        };
        let gang = (block == 0).then(|| GangRow::of(key.step as usize, step)).flatten();
        let round = RoundRow {
            number: key.round,
            due: 0,
            tasks: tasks.iter().enumerate().filter_map(row).collect(),
            gangs: gang.into_iter().collect(),
            done: vec![DoneTasksRow::of(key.step, range.start, tasks)],
        };
        Some(ProgressRow { due_rounds: 0, rounds: vec![round], started: job.started })
    }
}

/// Encodes the rows of a segment of a job, none of them larger than `max_bytes`. There are none if
/// the job has no such segment.
pub(crate) fn encode_segment(job: &Job, segment: Segment, max_bytes: usize) -> Vec<Vec<u8>> {
    let row = match segment {
        Segment::Job if job.layout.is_single() => Some(ProgressRow::of(job)),
        // Written by an earlier release.
        Segment::Job => None,
        Segment::Rounds(number) => Some(ProgressRow::of_rounds(job, number)),
        Segment::Tasks { round, step, block } => {
            ProgressRow::of_tasks(job, StepKey { job: job.id, round, step }, block)
        }
    };
    let rows = row.map_or_else(Vec::new, |row| divide(row, max_bytes));
    rows.iter().map(Message::encode_to_vec).collect()
}

impl GangRow {
    fn of(step: usize, s: &Step) -> Option<GangRow> {
        let row = GangRow { step: step as u32, failed_runs: s.failed_gang_runs.clone() };
        (!s.failed_gang_runs.is_empty()).then_some(row)
    }
}

impl TaskRow {
    pub fn of(step: usize, index: usize, t: &Task) -> TaskRow {
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
            awaited_change: None,
        }
    }
}

impl RoundRow {
    fn of(round: &Round) -> RoundRow {
        let mut tasks = Vec::new();
        for (step, s) in round.steps.iter().enumerate() {
            for (index, t) in s.tasks.iter().enumerate() {
                if t.is_changed() {
                    tasks.push(TaskRow::of(step, index, t));
                }
            }
        }
        let gang = |(step, s): (usize, &Step)| GangRow::of(step, s);
        let gangs = round.steps.iter().enumerate().filter_map(gang).collect();
        RoundRow { number: round.number, due: round.due.0, tasks, gangs, done: Vec::new() }
    }
}
