//! What the engine has decided or come to believe, for the log.

use crate::job::JobState;
use crate::order::{EndKind, StartAnswer};
use crate::spec::{JobId, StepKey, TaskKey};
use crate::worker_life::WorkerLife;
use hollowford_core::{Millis, Resources};
use std::fmt::{self, Display};
use std::sync::Arc;

/// One decision, or one change of what is believed, with the inputs that decided it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A job was taken.
    JobAccepted {
        /// The job.
        job: JobId,
        /// The client account that handed it in; empty: none.
        account: Arc<str>,
        /// Its queue.
        queue: Arc<str>,
        /// Its steps.
        steps: usize,
    },
    /// A job was taken back before its acceptance was sent to the store.
    JobWithdrawn {
        /// The job.
        job: JobId,
    },
    /// A job's end is decided.
    JobEnded {
        /// The job.
        job: JobId,
        /// How.
        state: JobState,
        /// Time since its acceptance.
        age: Millis,
    },
    /// A task is to start.
    TaskStarting {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// Where.
        worker: WorkerLife,
        /// What the worker has free afterwards.
        free: Resources,
        /// Time since the job's acceptance.
        age: Millis,
    },
    /// A worker refused a start.
    StartRefused {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// The worker.
        worker: WorkerLife,
        /// Why.
        answer: StartAnswer,
    },
    /// A task has ended.
    TaskEnded {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// Where.
        worker: WorkerLife,
        /// How.
        kind: EndKind,
        /// The worker's number of the end.
        number: u64,
        /// Whether the owner had it there.
        expected: bool,
    },
    /// A task was found running that an earlier owner started.
    TaskAdopted {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// Where.
        worker: WorkerLife,
    },
    /// A task was found running that should not; it is stopped.
    ForeignTask {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// Where.
        worker: WorkerLife,
    },
    /// A task was given up.
    TaskGivenUp {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// Where it was.
        worker: WorkerLife,
        /// Why.
        cause: GiveUpCause,
    },
    /// A worker answered this owner for the first time.
    WorkerClaimed {
        /// The worker.
        worker: WorkerLife,
        /// How many tasks it runs.
        running: usize,
        /// How many ends it remembers.
        ended: usize,
    },
    /// A worker doesn't answer, or does again.
    WorkerSilent {
        /// The worker.
        worker: WorkerLife,
        /// Whether it doesn't answer.
        silent: bool,
        /// Time since its last answer.
        since: Millis,
    },
    /// A worker is put aside, since it fails what it starts.
    WorkerQuarantined {
        /// The worker.
        worker: WorkerLife,
    },
    /// A worker answers, and what it runs stands still.
    WorkerStalled {
        /// The worker.
        worker: WorkerLife,
        /// How many of its tasks.
        tasks: usize,
    },
    /// A life of a worker is over.
    WorkerDead {
        /// The worker.
        worker: WorkerLife,
        /// How it ended.
        how: WorkerExit,
        /// Tasks that it held.
        tasks: usize,
    },
    /// A worker has crashed while a task was on it.
    WorkerCrashed {
        /// The task.
        task: TaskKey,
        /// Number of the start.
        run: u32,
        /// The worker.
        worker: WorkerLife,
        /// It had been started shortly before.
        fresh: bool,
        /// Workers that have crashed under the task, this one among them.
        crashes: usize,
    },
    /// A row of an earlier owner tells that workers have crashed under a task, or may have.
    CrashRecordRecovered {
        /// The task.
        task: TaskKey,
        /// Workers that have crashed under it.
        crashes: usize,
        /// Runs of which it isn't known yet.
        open: usize,
    },
    /// A worker is leaving.
    WorkerLeaving {
        /// The worker.
        worker: WorkerLife,
    },
    /// A call for advice was answered, or not.
    AdviceAnswered {
        /// The step.
        step: StepKey,
        /// How many workers were named.
        asked: usize,
        /// How many of them may run it; none: no answer.
        good: Option<usize>,
    },
    /// Tasks that waited for unclaimed workers wait no longer.
    PartitionSettled {
        /// Workers that were not claimed in time.
        unclaimed: usize,
    },
}

/// How a life of a worker has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerExit {
    /// It was said to be leaving.
    Left,
    /// Another life answers at its address, and nobody had said that it would leave.
    Crashed,
}

/// Why a task was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpCause {
    /// Its worker's lease is surely over.
    Lapsed,
    /// This life of its worker is over.
    WorkerDead,
    /// Its worker lists it no more.
    Vanished,
    /// Its worker refused the start.
    Refused,
    /// Its start was not ordered: the store lacks the row that tells of it.
    Unsent,
}

impl Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::JobAccepted { job, account, queue, steps } => {
                write!(f, "job.accepted job={job} account={account} queue={queue} steps={steps}")
            }
            Event::JobWithdrawn { job } => write!(f, "job.withdrawn job={job}"),
            Event::JobEnded { job, state, age } => {
                write!(f, "job.ends job={job} state={state:?} age_ms={}", age.0)
            }
            Event::TaskStarting { task, run, worker, free, age } => write!(
                f,
                "task.starts task={task} run={run} worker={worker} free_milli={} free_mib={} \
                 age_ms={}",
                free.cpu_milli, free.memory_mib, age.0
            ),
            Event::StartRefused { task, run, worker, answer } => {
                write!(f, "task.refused task={task} run={run} worker={worker} answer={answer:?}")
            }
            Event::TaskEnded { task, run, worker, kind, number, expected } => write!(
                f,
                "task.ended task={task} run={run} worker={worker} how={kind:?} number={number} \
                 expected={expected}"
            ),
            Event::TaskAdopted { task, run, worker } => {
                write!(f, "task.adopted task={task} run={run} worker={worker}")
            }
            Event::ForeignTask { task, run, worker } => {
                write!(f, "task.foreign task={task} run={run} worker={worker}")
            }
            Event::TaskGivenUp { task, run, worker, cause } => {
                write!(f, "task.given_up task={task} run={run} worker={worker} cause={cause:?}")
            }
            Event::WorkerClaimed { worker, running, ended } => {
                write!(f, "worker.claimed worker={worker} running={running} ended={ended}")
            }
            Event::WorkerSilent { worker, silent, since } => {
                write!(f, "worker.silent worker={worker} silent={silent} since_ms={}", since.0)
            }
            Event::WorkerQuarantined { worker } => write!(f, "worker.put_aside worker={worker}"),
            Event::WorkerStalled { worker, tasks } => {
                write!(f, "worker.stalled worker={worker} tasks={tasks}")
            }
            Event::WorkerDead { worker, how, tasks } => {
                write!(f, "worker.dead worker={worker} how={how:?} tasks={tasks}")
            }
            Event::WorkerCrashed { task, run, worker, fresh, crashes } => write!(
                f,
                "task.crashed_under task={task} run={run} worker={worker} fresh={fresh} \
                 crashes={crashes}"
            ),
            Event::CrashRecordRecovered { task, crashes, open } => {
                write!(f, "task.recovered task={task} crashes={crashes} open={open}")
            }
            Event::WorkerLeaving { worker } => write!(f, "worker.leaving worker={worker}"),
            Event::AdviceAnswered { step, asked, good } => match good {
                Some(good) => write!(f, "advice.answered step={step} asked={asked} good={good}"),
                None => write!(f, "advice.unanswered step={step} asked={asked}"),
            },
            Event::PartitionSettled { unclaimed } => {
                write!(f, "owner.settled unclaimed={unclaimed}")
            }
        }
    }
}
