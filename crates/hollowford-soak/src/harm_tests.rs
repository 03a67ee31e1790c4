//! Since when an owner could know that a worker leaves.

use crate::harm::Harms;
use crate::proxy::Mode;
use crate::schedule::Action;

fn harms(actions: &[(u64, Action)]) -> Harms {
    let mut out = Harms::default();
    for &(at, action) in actions {
        out.note(action, at);
    }
    out
}

#[test]
fn without_harm_all_is_whole_from_the_start() {
    assert_eq!(harms(&[]).whole_since(Some(0), 500), 0);
}

#[yare::parameterized(
    store = { Action::Outage(true), Action::Outage(false) },
    slow_store = { Action::Slow(30), Action::Slow(0) },
    way_to_the_store = { Action::StorePath(2, Mode::HoldAnswers), Action::StorePath(2, Mode::Pass) },
    way_to_the_worker = { Action::WorkerPath(7, Mode::Silent), Action::WorkerPath(7, Mode::Pass) },
    pause = { Action::Pause(1), Action::Resume(1) },
    pause_that_a_kill_ends = { Action::Pause(1), Action::Kill(1) },
)]
fn harm_counts_until_it_ends(begins: Action, ends: Action) {
    let harms = harms(&[(100, begins), (300, ends)]);
    assert_eq!(harms.whole_since(Some(7), 99), 0, "not begun");
    assert_eq!(harms.whole_since(Some(7), 200), 200, "in force");
    assert_eq!(harms.whole_since(Some(7), 900), 300, "over");
}

#[test]
fn harm_that_has_not_ended_counts_until_all_does() {
    let mut harms = harms(&[(100, Action::Outage(true))]);
    assert_eq!(harms.whole_since(Some(0), 900), 900);
    harms.end_all(400);
    assert_eq!(harms.whole_since(Some(0), 900), 400);
}

#[test]
fn the_way_to_any_worker_matters_where_none_is_named() {
    let harms = harms(&[(100, Action::WorkerPath(6, Mode::Silent))]);
    assert_eq!(harms.whole_since(None, 900), 900);
    assert_eq!(harms.whole_since(Some(7), 900), 0);
}

#[yare::parameterized(
    another_workers_way = { Action::WorkerPath(6, Mode::Silent) },
    a_kill = { Action::Kill(0) },
    callers_ways = { Action::CallerPath(0, Mode::Silent) },
    a_crash = { Action::CrashWorker(7) },
    lost_answers_of_transactions = { Action::LoseAnswers(3) },
    lost_history = { Action::NoHistory(true) },
)]
fn what_keeps_nobody_from_knowing_is_no_harm(action: Action) {
    assert_eq!(harms(&[(100, action)]).whole_since(Some(7), 900), 0);
}
