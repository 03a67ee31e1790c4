//! The lines that events leave in the log: a name, and `key=value` pairs.

use super::Event;
use std::fmt::{self, Display};

/// Maximum number of workers that a line names.
const MAX_NAMED_WORKERS: usize = 8;

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
            Event::TaskCopied { task, run, worker, first_run, cause } => write!(
                f,
                "task.copied task={task} run={run} worker={worker} first_run={first_run} \
                 cause={}",
                cause.name()
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
            Event::EndsCut { worker, cut, unlisted } => {
                write!(f, "worker.ends_cut worker={worker} cut={cut} unlisted={unlisted}")
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
            Event::WorkerCrashed { task, run, worker, fresh, stage, crashes } => write!(
                f,
                "task.crashed_under task={task} run={run} worker={worker} fresh={fresh} \
                 stage={stage} crashes={crashes}"
            ),
            Event::CrashRecordRecovered { task, crashes, open } => {
                write!(f, "task.recovered task={task} crashes={crashes} open={open}")
            }
            Event::WorkerLeaving { worker } => write!(f, "worker.leaving worker={worker}"),
            Event::AdviceAnswered { step, asked, allowed } => match allowed {
                Some(allowed) => {
                    write!(f, "advice.answered step={step} asked={asked} good={allowed}")
                }
                None => write!(f, "advice.unanswered step={step} asked={asked}"),
            },
            Event::AdviceUnused { step, asked } => {
                write!(f, "advice.unused step={step} asked={asked}")
            }
            Event::AccountsFull { pool, begins, beyond } => {
                write!(f, "accounts.full pool={pool} begins={begins} beyond={beyond}")
            }
            Event::PartitionSettled { unclaimed } => {
                let names: Vec<_> =
                    unclaimed.iter().take(MAX_NAMED_WORKERS).map(ToString::to_string).collect();
                write!(f, "owner.settled unclaimed={} workers={}", unclaimed.len(), names.join(","))
            }
            Event::RunTimesLearned(l) => {
                let ratio =
                    |r: Option<f64>| r.map_or_else(|| "-".to_owned(), |r| format!("{r:.2}"));
                write!(
                    f,
                    "run_times.learned queue={} samples={} factor={:.2} p50={} p99={}",
                    l.queue,
                    l.samples,
                    l.factor,
                    ratio(l.p50),
                    ratio(l.p99)
                )
            }
            Event::RunTimesUnreadable { error } => {
                write!(f, "run_times.unreadable error={error:?}")
            }
        }
    }
}
