//! Tests of the time since which an owner could know that a worker leaves.

use crate::disruption::DisruptionLog;
use crate::proxy::Mode;
use crate::schedule::Action;

fn disruptions(actions: &[(u64, Action)]) -> DisruptionLog {
    let mut out = DisruptionLog::default();
    for &(at, action) in actions {
        out.record(action, at);
    }
    out
}

#[test]
fn without_disruptions_the_time_is_zero() {
    assert_eq!(disruptions(&[]).undisrupted_since(Some(0), 500), 0);
}

#[yare::parameterized(
    store = { Action::Outage(true), Action::Outage(false) },
    slow_store = { Action::Slow(30), Action::Slow(0) },
    path_to_the_store = { Action::StorePath(2, Mode::HoldAnswers), Action::StorePath(2, Mode::Pass) },
    path_to_the_worker = { Action::WorkerPath(7, Mode::Silent), Action::WorkerPath(7, Mode::Pass) },
    cut_off = { Action::CutOff(7, true), Action::CutOff(7, false) },
    pause = { Action::Pause(1), Action::Resume(1) },
    pause_ended_by_a_kill = { Action::Pause(1), Action::Kill(1) },
)]
fn a_disruption_counts_until_it_ends(begins: Action, ends: Action) {
    let disruptions = disruptions(&[(100, begins), (300, ends)]);
    assert_eq!(disruptions.undisrupted_since(Some(7), 99), 0, "before its start");
    assert_eq!(disruptions.undisrupted_since(Some(7), 200), 200, "while it is active");
    assert_eq!(disruptions.undisrupted_since(Some(7), 900), 300, "after its end");
}

#[test]
fn an_active_disruption_counts_until_all_end() {
    let mut disruptions = disruptions(&[(100, Action::Outage(true))]);
    assert_eq!(disruptions.undisrupted_since(Some(0), 900), 900);
    disruptions.end_all(400);
    assert_eq!(disruptions.undisrupted_since(Some(0), 900), 400);
}

#[test]
fn paths_to_all_workers_count_if_no_worker_is_given() {
    let disruptions = disruptions(&[(100, Action::WorkerPath(6, Mode::Silent))]);
    assert_eq!(disruptions.undisrupted_since(None, 900), 900);
    assert_eq!(disruptions.undisrupted_since(Some(7), 900), 0);
}

#[yare::parameterized(
    path_to_another_worker = { Action::WorkerPath(6, Mode::Silent) },
    another_worker_cut_off = { Action::CutOff(6, true) },
    a_kill = { Action::Kill(0) },
    path_of_callers = { Action::CallerPath(0, Mode::Silent) },
    a_crash = { Action::CrashWorker(7) },
    lost_answers_of_transactions = { Action::LoseAnswers(3) },
    lost_history = { Action::NoHistory(true) },
)]
fn other_failures_do_not_count(action: Action) {
    assert_eq!(disruptions(&[(100, action)]).undisrupted_since(Some(7), 900), 0);
}
