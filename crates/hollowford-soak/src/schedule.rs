//! The schedule of failures of a run, drawn from its seed.

use crate::cell::Size;
use crate::proxy::Mode;
use fastrand::Rng;

/// Time between the starts of two failures, in milliseconds. Most failures last longer, so
/// they overlap.
const FAILURE_INTERVAL_MS: std::ops::Range<u64> = 50..900;
/// Duration of a failure, in milliseconds. A takeover takes up to 1.5 s, and a lease lasts 3 s.
const FAILURE_DURATION_MS: std::ops::Range<u64> = 100..4_000;
/// Time until a killed process is started again, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 50..1_500;
/// Time from a stop signal to the next start of the process, in milliseconds.
const STOP_TIME_MS: u64 = 6_000;
/// Time from a worker's announcement that it leaves to its removal, in milliseconds.
const DRAIN_TIME_MS: std::ops::Range<u64> = 3_000..9_000;
/// Duration of a pause during which workers are cut off, in milliseconds. The next owner stops
/// waiting for them 5.1 s after its takeover.
const CUT_OFF_PAUSE_MS: std::ops::Range<u64> = 3_500..9_000;
/// Time for which the workers remain cut off after the pause, in milliseconds. Meanwhile the next
/// owner starts tasks that the paused one may have started there.
const CUT_OFF_AFTER_PAUSE_MS: std::ops::Range<u64> = 2_000..5_000;
/// Largest number of configurations in quick succession.
const MAX_CONFIG_CHANGES: u64 = 4;
const CONFIG_CHANGE_INTERVAL_MS: u64 = 250;

/// An action on the cell from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills a process.
    Kill(usize),
    /// Pauses a process.
    Pause(usize),
    /// Resumes a paused process.
    Resume(usize),
    /// Asks a process to stop.
    Stop(usize),
    /// Starts a stopped process again.
    Start(usize),
    /// Asks a process to reload its settings.
    Hangup(usize),
    /// Starts or ends a store outage, in which every call is refused.
    Outage(bool),
    /// Delays the store's answers by this many milliseconds.
    Slow(u64),
    /// Loses the answers to this many following transactions.
    LoseAnswers(u32),
    /// Makes the store lose its change history, or ends that.
    NoHistory(bool),
    /// Sets the proxy between a process and the store.
    StorePath(usize, Mode),
    /// Sets the proxy between the processes and a worker.
    WorkerPath(usize, Mode),
    /// Sets the proxy between callers and a process.
    CallerPath(usize, Mode),
    /// Cuts a worker off from owners that are newer than the one it knows, or ends that.
    CutOff(usize, bool),
    /// Crashes and restarts a worker.
    CrashWorker(usize),
    /// Makes a worker announce that it leaves.
    DrainWorker(usize),
    /// Removes a worker that leaves, and adds another one.
    ReplaceWorker(usize),
    /// Writes the next configuration.
    Configure,
}

/// An action and when it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledAction {
    /// Time since the start, in milliseconds.
    pub at_ms: u64,
    /// The action to apply.
    pub action: Action,
}

/// Returns a random schedule of failures that start within `duration_ms`, sorted by time.
pub fn random_schedule(rng: &mut Rng, size: Size, duration_ms: u64) -> Vec<ScheduledAction> {
    let mut out = Vec::new();
    let mut at = rng.u64(FAILURE_INTERVAL_MS);
    while at < duration_ms {
        add_random_failure(rng, size, at, &mut out);
        at += rng.u64(FAILURE_INTERVAL_MS);
    }
    out.sort_by_key(|e| e.at_ms);
    out
}

/// Returns a schedule of failures in the first third of `duration_ms`, the same as those of
/// [`random_schedule`], and of a pause of every other process in the second. The owners that follow
/// paused ones don't reach about half of the workers until some time after the pause, as if a link
/// between two halves of the network were cut.
pub fn cut_off_schedule(rng: &mut Rng, size: Size, duration_ms: u64) -> Vec<ScheduledAction> {
    let mut out = random_schedule(rng, size, duration_ms / 3);
    let at = duration_ms / 3 + rng.u64(..duration_ms / 3);
    let resumed_at = at + rng.u64(CUT_OFF_PAUSE_MS);
    let until = resumed_at + rng.u64(CUT_OFF_AFTER_PAUSE_MS);
    let first_node = rng.usize(..2);
    let mut add = |at_ms, action| out.push(ScheduledAction { at_ms, action });
    for worker in (0..size.workers).filter(|_| rng.bool()) {
        add(at, Action::CutOff(worker, true));
        add(until, Action::CutOff(worker, false));
    }
    for node in (first_node..size.nodes).step_by(2) {
        add(at, Action::Pause(node));
        add(resumed_at, Action::Resume(node));
    }
    out.sort_by_key(|e| e.at_ms);
    out
}

fn add_random_failure(rng: &mut Rng, size: Size, at: u64, out: &mut Vec<ScheduledAction>) {
    let until = at + rng.u64(FAILURE_DURATION_MS);
    let (node, worker) = (rng.usize(..size.nodes), rng.usize(..size.workers));
    let mut add = |at_ms, action| out.push(ScheduledAction { at_ms, action });
    match rng.u8(..17) {
        0 | 1 => {
            add(at, Action::Kill(node));
            add(at + rng.u64(DOWNTIME_MS), Action::Start(node));
        }
        2 => {
            for n in 0..size.nodes {
                add(at, Action::Kill(n));
                add(at + rng.u64(DOWNTIME_MS), Action::Start(n));
            }
        }
        3 => {
            add(at, Action::Pause(node));
            add(until, Action::Resume(node));
        }
        4 => {
            add(at, Action::Stop(node));
            add(at + STOP_TIME_MS, Action::Start(node));
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
            add(at, Action::StorePath(node, random_mode(rng)));
            add(until, Action::StorePath(node, Mode::Pass));
        }
        11 | 12 => {
            add(at, Action::WorkerPath(worker, random_mode(rng)));
            add(until, Action::WorkerPath(worker, Mode::Pass));
        }
        13 => {
            add(at, Action::CallerPath(node, random_mode(rng)));
            add(until, Action::CallerPath(node, Mode::Pass));
        }
        14 => add(at, Action::CrashWorker(worker)),
        15 => {
            add(at, Action::DrainWorker(worker));
            add(at + rng.u64(DRAIN_TIME_MS), Action::ReplaceWorker(worker));
        }
        _ => {
            for i in 0..rng.u64(1..=MAX_CONFIG_CHANGES) {
                add(at + i * CONFIG_CHANGE_INTERVAL_MS, Action::Configure);
            }
        }
    }
}

fn random_mode(rng: &mut Rng) -> Mode {
    match rng.u8(..5) {
        0 => Mode::Delay(rng.u64(10..300)),
        1 => Mode::HoldRequests,
        2 => Mode::HoldAnswers,
        3 => Mode::Silent,
        _ => Mode::Reset,
    }
}
