//! What goes wrong, and when: drawn from a seed.

use crate::cell::Size;
use crate::proxy::Mode;
use fastrand::Rng;

/// Shortest and longest time between two failures that begin, in milliseconds. Most last
/// longer, so that they overlap.
const BETWEEN_MS: std::ops::Range<u64> = 50..900;
/// How long a failure lasts, in milliseconds. A takeover takes up to 1.5 s, a lease 3 s.
const LASTS_MS: std::ops::Range<u64> = 100..4_000;
/// How long a process that was killed is down.
const DOWN_MS: std::ops::Range<u64> = 50..1_500;
/// A process that was told to stop ends within this time, and is started again.
const STOPS_WITHIN_MS: u64 = 6_000;
/// A worker that leaves is gone this long after it said so: at times it stays for many seconds.
const LEAVES_AFTER_MS: std::ops::Range<u64> = 3_000..9_000;
/// Most configurations in quick succession, and the time between them.
const CONFIGS: u64 = 4;
const CONFIG_GAP_MS: u64 = 250;

/// One thing that is done to the cell from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills a process.
    Kill(usize),
    /// Pauses a process.
    Pause(usize),
    /// Lets a paused process go on.
    Resume(usize),
    /// Tells a process to stop.
    Stop(usize),
    /// Starts a process that has ended.
    Start(usize),
    /// Tells a process that its settings may have changed.
    Hangup(usize),
    /// The store refuses everything, or no more.
    Outage(bool),
    /// The store's answers take so many milliseconds longer.
    Slow(u64),
    /// The answers of the next transactions are lost.
    LoseAnswers(u32),
    /// The store has lost its history, or no more.
    NoHistory(bool),
    /// The way between a process and the store.
    StorePath(usize, Mode),
    /// The way between the processes and a worker.
    WorkerPath(usize, Mode),
    /// The way between callers and a process.
    CallerPath(usize, Mode),
    /// A worker crashes and comes back.
    CrashWorker(usize),
    /// A worker says that it leaves.
    DrainWorker(usize),
    /// It has left, and another one comes.
    ReplaceWorker(usize),
    /// The operator writes the next configuration.
    Configure,
}

/// An action and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// What is done.
    pub action: Action,
}

/// Draws what goes wrong within `span_ms`, in the order of time.
pub fn draw(rng: &mut Rng, size: Size, span_ms: u64) -> Vec<Entry> {
    let mut out = Vec::new();
    let mut at = rng.u64(BETWEEN_MS);
    while at < span_ms {
        draw_failure(rng, size, at, &mut out);
        at += rng.u64(BETWEEN_MS);
    }
    out.sort_by_key(|e| e.at_ms);
    out
}

fn draw_failure(rng: &mut Rng, size: Size, at: u64, out: &mut Vec<Entry>) {
    let until = at + rng.u64(LASTS_MS);
    let (node, worker) = (rng.usize(..size.nodes), rng.usize(..size.workers));
    let mut add = |at_ms, action| out.push(Entry { at_ms, action });
    match rng.u8(..17) {
        0 | 1 => {
            add(at, Action::Kill(node));
            add(at + rng.u64(DOWN_MS), Action::Start(node));
        }
        2 => {
            for n in 0..size.nodes {
                add(at, Action::Kill(n));
                add(at + rng.u64(DOWN_MS), Action::Start(n));
            }
        }
        3 => {
            add(at, Action::Pause(node));
            add(until, Action::Resume(node));
        }
        4 => {
            add(at, Action::Stop(node));
            add(at + STOPS_WITHIN_MS, Action::Start(node));
        }
        5 => add(at, Action::Hangup(node)),
        6 => {
            add(at, Action::Outage(true));
            add(until, Action::Outage(false));
        }
        7 => {
            add(at, Action::Slow(rng.u64(20..400)));
            add(until, Action::Slow(0));
        }
        8 => add(at, Action::LoseAnswers(rng.u32(1..5))),
        9 => {
            add(at, Action::NoHistory(true));
            add(until, Action::NoHistory(false));
        }
        10 => {
            add(at, Action::StorePath(node, draw_mode(rng)));
            add(until, Action::StorePath(node, Mode::Pass));
        }
        11 | 12 => {
            add(at, Action::WorkerPath(worker, draw_mode(rng)));
            add(until, Action::WorkerPath(worker, Mode::Pass));
        }
        13 => {
            add(at, Action::CallerPath(node, draw_mode(rng)));
            add(until, Action::CallerPath(node, Mode::Pass));
        }
        14 => add(at, Action::CrashWorker(worker)),
        15 => {
            add(at, Action::DrainWorker(worker));
            add(at + rng.u64(LEAVES_AFTER_MS), Action::ReplaceWorker(worker));
        }
        _ => {
            for i in 0..rng.u64(1..=CONFIGS) {
                add(at + i * CONFIG_GAP_MS, Action::Configure);
            }
        }
    }
}

fn draw_mode(rng: &mut Rng) -> Mode {
    match rng.u8(..5) {
        0 => Mode::Delay(rng.u64(10..300)),
        1 => Mode::HoldRequests,
        2 => Mode::HoldAnswers,
        3 => Mode::Silent,
        _ => Mode::Reset,
    }
}
