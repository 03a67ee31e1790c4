//! The promises, checked from what callers and workers have seen.

use crate::callers::{Book, FORGOTTEN, SharedBook, call, judge_answer, lock};
use crate::cell::{Cell, version_prefix};
use crate::harm::Harms;
use hollowford_adapter_standin::StartWhileLeaving;
use reqwest::{Client, Method};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Longest time for all that was taken to end, once nothing is wrong any more. Far above what
/// it takes, since the machine may be busy.
const PATIENCE: Duration = Duration::from_secs(90);
/// Between two questions.
const PAUSE: Duration = Duration::from_millis(50);
/// A task may begin so long after its job's cancellation was confirmed at most: an order that was on
/// its way may be carried out late, behind a cut that lasts some seconds.
const CANCEL_GRACE_MS: u64 = 9_000;
/// A task may begin on a worker that leaves, or after its job's cancellation, within this time of it, or
/// of the end of what kept owners from hearing it or their orders from arriving.
const KNOWN_WITHIN_MS: u64 = 2_000;
/// A job may be given up once so many workers have crashed under one of its tasks.
const CRASHES_TO_FAIL: u32 = 2;
/// Versions of the configuration that are asked for, the newest first.
const VERSIONS: u64 = 3;

/// Asks one process again and again which configuration is in force there.
#[derive(Debug)]
pub struct ConfigWatch {
    /// Where.
    pub node: SocketAddr,
    /// Counts what happens to the process: versions may start anew after each.
    pub life: Arc<AtomicU64>,
    /// Newest version that was written.
    pub newest: Arc<AtomicU64>,
    /// Where to write down what is wrong.
    pub book: SharedBook,
    /// It is to end.
    pub stop: Arc<AtomicBool>,
    /// Its channels.
    pub client: Client,
}

impl ConfigWatch {
    /// Asks until it is to stop.
    pub async fn run(self) {
        let mut seen = (0, 0);
        while !self.stop.load(Ordering::Relaxed) {
            let life = self.life.load(Ordering::Relaxed);
            let version = self.in_force().await;
            if life == self.life.load(Ordering::Relaxed)
                && let Some(version) = version
            {
                if seen.0 == life && version < seen.1 {
                    let text = format!("{} goes back from configuration {}", self.node, seen.1);
                    lock(&self.book).wrong.push(format!("{text} to {version}"));
                }
                seen = (life, version);
            }
            sleep(PAUSE).await;
        }
    }

    async fn in_force(&self) -> Option<u64> {
        let newest = self.newest.load(Ordering::Relaxed);
        for version in (newest.saturating_sub(VERSIONS - 1).max(1)..=newest).rev() {
            let url = format!("http://{}{}", self.node, version_prefix(version));
            let (status, _) = call(&self.client, Method::GET, &url, &Value::Null).await;
            if status == 200 {
                return Some(version);
            }
        }
        None
    }
}

/// Waits until every job that was taken has ended, and returns those that don't.
pub async fn await_ends(book: &SharedBook, nodes: &[SocketAddr], client: &Client) -> Vec<String> {
    let began = Instant::now();
    let mut open = taken(&lock(book));
    let mut asked = 0;
    while !open.is_empty() && began.elapsed() < PATIENCE {
        let mut left = Vec::new();
        for (id, queue) in open {
            asked += 1;
            let url = format!("http://{}{queue}{id:016x}", nodes[asked % nodes.len()]);
            if goes_on(book, client, &url, id).await {
                left.push((id, queue));
            }
        }
        open = left;
        sleep(PAUSE).await;
    }
    open.iter().map(|(id, _)| format!("job {id:016x} was taken and doesn't end")).collect()
}

/// Returns the jobs that were taken, with the prefixes of their queues.
fn taken(book: &Book) -> Vec<(u64, &'static str)> {
    let taken = book.jobs.iter().filter(|(_, told)| told.accepted);
    taken.map(|(id, told)| (*id, told.queue)).collect()
}

/// Asks for a job and judges the answer. Tells whether the job may still end.
async fn goes_on(book: &SharedBook, client: &Client, url: &str, id: u64) -> bool {
    let (status, body) = call(client, Method::GET, url, &Value::Null).await;
    let state = body["state"].as_str().unwrap_or("");
    let ended = judge_answer(&mut lock(book), id, status, state);
    // Of a job that is not known any more no end will be told.
    !ended && status != FORGOTTEN
}

/// Returns the tasks that were begun on workers that leave although an owner in touch would have known.
pub fn judge_leaving(
    starts: &[StartWhileLeaving],
    leavers: &HashMap<String, usize>,
    harms: &Harms,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for start in starts {
        let Some(&worker) = leavers.get(&start.worker) else { continue };
        let known = start.leaving_since_ms.max(harms.whole_since(Some(worker), start.started_ms));
        if start.started_ms > known + KNOWN_WITHIN_MS {
            let StartWhileLeaving { task, worker, leaving_since_ms, started_ms } = start;
            wrong.push(format!(
                "{task} begins at {started_ms} on {worker} that leaves since {leaving_since_ms}"
            ));
        }
    }
    wrong
}

/// Returns what is wrong with the tasks that were begun, by what callers were told.
pub fn judge_starts(cell: &Cell, book: &Book, harms: &Harms) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut refused = HashSet::new();
    let mut begun: HashMap<u64, HashSet<String>> = HashMap::new();
    for (task, at) in cell.platform.starts() {
        let id = task.get(..16).and_then(|id| u64::from_str_radix(id, 16).ok());
        let Some((id, told)) = id.and_then(|id| Some((id, book.jobs.get(&id)?))) else {
            wrong.push(format!("{task} was begun and nobody handed it in"));
            continue;
        };
        if !told.accepted && !told.unsure && refused.insert(id) {
            wrong.push(format!("job {id:016x} runs though it was refused as not run"));
        }
        let is_late = |cancelled: u64| {
            let known = cancelled.max(harms.whole_since(None, at));
            at > (known + KNOWN_WITHIN_MS).min(cancelled + CANCEL_GRACE_MS)
        };
        if told.cancelled_at.is_some_and(is_late) {
            wrong.push(format!("{task} begins long after it was cancelled"));
        }
        begun.entry(id).or_default().insert(task);
    }
    for id in book.jobs.iter().filter(|(_, t)| t.failed).map(|(id, _)| id) {
        let tasks = begun.get(id).into_iter().flatten();
        let crashes = tasks.map(|t| cell.platform.crash_count(t)).max().unwrap_or(0);
        if crashes < CRASHES_TO_FAIL {
            wrong.push(format!("job {id:016x} is told to have failed after {crashes} crashes"));
        }
    }
    for (id, told) in book.jobs.iter().filter(|(_, t)| t.completed) {
        let tasks = begun.get(id).map_or(0, HashSet::len);
        if tasks != told.tasks as usize {
            wrong.push(format!("job {id:016x} is completed with {tasks} of {} tasks", told.tasks));
        }
    }
    wrong
}
