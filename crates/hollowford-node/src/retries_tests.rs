//! When a batch without an answer is read for, and sent again.

use crate::retries::{Retries, read_delay};
use hollowford_core::{AnswerTimes, Millis};

const SENT: Millis = Millis(10_000);
/// Time since the last answer of a store that answers.
const JUST_NOW: Millis = Millis(10);

/// Returns how long after the last copy the next one is due; none within a minute.
fn next_attempt(retries: &Retries, store_age: Millis) -> Option<Millis> {
    let due = |after: &u64| retries.attempt_is_due(store_age, SENT + Millis(*after));
    (0..60_000).find(due).map(Millis)
}

#[test]
fn a_batch_is_read_for_before_it_is_sent_again() {
    let retries = Retries::new(SENT, Millis(150));
    let wait = retries.wait(JUST_NOW, SENT);
    assert!(!retries.attempt_is_due(JUST_NOW, SENT + wait));
}

#[test]
fn a_quick_store_that_does_not_show_the_batch_gets_a_copy_soon_and_a_slow_one_later() {
    let mut quick = Retries::new(SENT, Millis(150));
    quick.read_sent();
    quick.batch_not_found(Millis(5), SENT + Millis(155));
    let mut slow = Retries::new(SENT, Millis(150));
    slow.read_sent();
    slow.batch_not_found(Millis(400), SENT + Millis(550));
    assert_eq!(next_attempt(&quick, JUST_NOW), Some(Millis(150)));
    assert_eq!(next_attempt(&slow, JUST_NOW), Some(Millis(2_000)));
}

#[test]
fn a_reading_that_is_lost_holds_the_copy_up_for_a_second_only() {
    let mut retries = Retries::new(SENT, Millis(150));
    retries.read_sent();
    assert_eq!(next_attempt(&retries, JUST_NOW), Some(Millis(1_000)));
}

#[test]
fn a_store_that_answers_nothing_is_tried_often_for_as_long_as_it_is_away() {
    let mut retries = Retries::new(SENT, Millis(150));
    let away = Millis(1_500);
    assert_eq!(next_attempt(&retries, away), Some(Millis(200)));
    // Each copy may take 2.5 s, and none of those must keep the next one back.
    for _ in 0..12 {
        retries.attempt_sent(SENT);
    }
    assert_eq!(next_attempt(&retries, away), Some(Millis(200)));
}

#[test]
fn a_batch_is_given_back_only_when_no_copy_can_have_been_made() {
    let mut refused = Retries::new(SENT, Millis(150));
    let mut unsure = Retries::new(SENT, Millis(150));
    for failure in 0..3 {
        refused.attempt_failed(true);
        unsure.attempt_failed(failure != 1);
        assert!(refused.all_attempts_failed());
        refused.attempt_sent(SENT);
        unsure.attempt_sent(SENT);
    }
    assert!(refused.is_refused());
    assert!(!unsure.is_refused());
}

/// Returns the times of a store whose answers take so long.
fn answers(took: &[u64]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    (0..10).flat_map(|_| took).for_each(|&ms| times.note(Millis(ms)));
    times
}

// The pattern: 42% of the answers to writes are lost for 6 s, and the others take 14 to 28 ms (a
// day of the users' shifted work); a store 53 times as slow answers after 0.3 to 0.5 s.
#[test]
fn a_store_that_answers_quickly_is_asked_early_what_came_of_a_batch() {
    assert_eq!(read_delay(&AnswerTimes::default()), Millis(150), "nothing is known");
    let quick = read_delay(&answers(&[14, 28, 17, 22]));
    assert!((40..=60).contains(&quick.0), "{quick:?}");
    assert_eq!(read_delay(&answers(&[300, 500])), Millis(150));
}

#[test]
fn a_lost_answer_of_a_quick_store_costs_less_than_a_tenth_of_a_second() {
    let after = read_delay(&answers(&[14, 28, 17, 22]));
    let mut retries = Retries::new(SENT, after);
    let next_read_at = SENT + retries.wait(JUST_NOW, SENT);
    retries.read_sent();
    retries.batch_not_found(Millis(12), next_read_at + Millis(12));
    let attempt = next_attempt(&retries, JUST_NOW);
    assert!(attempt.is_some_and(|c| c < Millis(100)), "{attempt:?}");
}
