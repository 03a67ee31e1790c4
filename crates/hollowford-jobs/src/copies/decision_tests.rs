use super::decision::{CopyBudget, CopyCause, RunState, is_spare};
use crate::candidate::CandidateWorker;
use crate::worker::Worker;
use crate::worker_life::WorkerLife;
use hollowford_core::{Millis, Resources, Totals};

const NEW_RUN: Millis = Millis(2_000);

/// A run that has done half of its work in the expected time.
fn ordinary_run() -> RunState {
    RunState {
        estimate: NEW_RUN,
        age: Millis(1_000),
        silent_until_given_up: None,
        running: true,
        progress: 50,
        gained: 50,
        observed: Millis(1_000),
        unchanged: Millis(0),
        reported_ago: Millis(0),
        usual_limit: None,
    }
}

#[test]
fn an_ordinary_run_gets_no_copy() {
    assert_eq!(ordinary_run().copy_cause(NEW_RUN), None);
}

#[test]
fn a_silent_run_is_copied_unless_it_is_about_to_be_given_up() {
    let silent = |ms| RunState { silent_until_given_up: Some(Millis(ms)), ..ordinary_run() };
    assert_eq!(silent(2_000).copy_cause(NEW_RUN), Some(CopyCause::Silent));
    assert_eq!(silent(100).copy_cause(NEW_RUN), None);
}

#[test]
fn a_stalled_run_is_copied_if_a_new_run_is_expected_to_end_first() {
    let stalled = |progress, unchanged| RunState {
        progress,
        gained: progress,
        observed: Millis(1_000 + unchanged),
        unchanged: Millis(unchanged),
        ..ordinary_run()
    };
    assert_eq!(stalled(20, 800).copy_cause(NEW_RUN), Some(CopyCause::Stalled));
    assert_eq!(stalled(0, 800).copy_cause(NEW_RUN), Some(CopyCause::Stalled));
    assert_eq!(stalled(20, 300).copy_cause(NEW_RUN), None, "too short a stall");
    assert_eq!(stalled(90, 800).copy_cause(NEW_RUN), None, "little work is left");
    assert_eq!(stalled(99, 9_000).copy_cause(NEW_RUN), None, "about to end");
}

#[test]
fn without_run_times_only_an_end_far_beyond_a_new_run_is_slow() {
    let slow = |gained, observed| RunState {
        progress: gained,
        gained,
        observed: Millis(observed),
        age: Millis(observed),
        ..ordinary_run()
    };
    assert_eq!(slow(10, 1_000).copy_cause(NEW_RUN), Some(CopyCause::Slow), "9 s remain");
    assert_eq!(slow(10, 500).copy_cause(NEW_RUN), None, "4.5 s remain");
    assert_eq!(slow(5, 1_000).copy_cause(NEW_RUN), None, "too little progress to tell");
    assert_eq!(slow(5, 2_000).copy_cause(NEW_RUN), Some(CopyCause::Slow), "38 s remain");
}

#[test]
fn with_run_times_a_run_in_the_tail_is_slow_if_a_copy_gains_time() {
    let tail = |age, progress| RunState {
        usual_limit: Some(Millis(4_000)),
        age: Millis(age),
        observed: Millis(age),
        progress,
        gained: progress,
        ..ordinary_run()
    };
    assert_eq!(tail(4_100, 50).copy_cause(NEW_RUN), Some(CopyCause::Slow), "4.1 s remain");
    assert_eq!(tail(4_100, 70).copy_cause(NEW_RUN), None, "1.8 s remain");
    assert_eq!(tail(3_900, 20).copy_cause(NEW_RUN), None, "still usual");
}

#[test]
fn a_run_that_is_being_stopped_is_copied_only_if_its_worker_is_silent() {
    let stopping =
        RunState { running: false, gained: 1, observed: Millis(9_000), ..ordinary_run() };
    assert_eq!(stopping.copy_cause(NEW_RUN), None);
    let silent = RunState { silent_until_given_up: Some(Millis(2_000)), ..stopping };
    assert_eq!(silent.copy_cause(NEW_RUN), Some(CopyCause::Silent));
}

#[test]
fn copies_take_a_small_share_of_the_pool_but_there_may_be_one() {
    let task = Resources::new(1_000, 100, 0);
    let pool = Totals::of(&Resources::new(10_000, 64_000, 0), 4);
    let mut budget = CopyBudget { pool, ..CopyBudget::default() };
    assert!(budget.allows(&Resources::new(9_000, 100, 0)), "the first copy");
    budget.add(&task);
    assert!(budget.allows(&task), "2 of 40 cores");
    budget.add(&task);
    assert!(!budget.allows(&task), "3 of 40 cores");
}

#[test]
fn capacity_that_a_waiting_step_can_use_is_not_spare() {
    let mut worker = Worker::new(WorkerLife::from("w"), "10.0.0.1:1".into(), Millis(0));
    worker.capacity = Resources::new(4_000, 1_000, 0);
    worker.update_free();
    let mut candidate = CandidateWorker::from_worker(0, &worker, (1.0, 1.0), Millis(0));
    let need = Resources::new(1_000, 100, 0);
    let other = |cpu| [Resources::new(cpu, 100, 0)].into_iter();
    assert!(is_spare(&candidate, &need, other(8_000)), "the other step doesn't fit");
    assert!(!is_spare(&candidate, &need, other(4_000)));
    candidate.reserve(&Resources::new(3_500, 100, 0), Millis(1_000));
    assert!(!is_spare(&candidate, &need, [].into_iter()), "reserved");
}
