//! Timing of reads and repeated attempts for a batch without an answer.

use crate::retries::{Retries, read_delay};
use hollowford_core::{AnswerTimes, Millis};

const SENT: Millis = Millis(10_000);
/// Time since the last answer of a store that is available.
const JUST_NOW: Millis = Millis(10);

/// Returns the time from the last attempt to the next one, or `None` if it is more than a minute.
fn next_attempt(retries: &Retries, store_age: Millis) -> Option<Millis> {
    let due = |after: &u64| retries.attempt_is_due(store_age, SENT + Millis(*after));
    (0..60_000).find(due).map(Millis)
}

#[test]
fn the_lane_row_is_read_before_a_batch_is_sent_again() {
    let retries = Retries::new(SENT, Millis(150));
    let wait = retries.time_to_next_call(JUST_NOW, SENT);
    assert!(!retries.attempt_is_due(JUST_NOW, SENT + wait));
}

#[test]
fn a_batch_not_found_is_sent_again_sooner_to_a_fast_store_than_to_a_slow_one() {
    let mut fast = Retries::new(SENT, Millis(150));
    fast.read_sent();
    fast.batch_not_found(Millis(5), SENT + Millis(155));
    let mut slow = Retries::new(SENT, Millis(150));
    slow.read_sent();
    slow.batch_not_found(Millis(400), SENT + Millis(550));
    assert_eq!(next_attempt(&fast, JUST_NOW), Some(Millis(150)));
    assert_eq!(next_attempt(&slow, JUST_NOW), Some(Millis(2_000)));
}

#[test]
fn a_lost_read_delays_the_next_attempt_by_a_second_only() {
    let mut retries = Retries::new(SENT, Millis(150));
    retries.read_sent();
    assert_eq!(next_attempt(&retries, JUST_NOW), Some(Millis(1_000)));
}

#[test]
fn attempts_are_frequent_while_the_store_answers_nothing() {
    let mut retries = Retries::new(SENT, Millis(150));
    let outage = Millis(1_500);
    assert_eq!(next_attempt(&retries, outage), Some(Millis(200)));
    // Each attempt may take 2.5 s; those in flight must not delay the next one.
    for _ in 0..12 {
        retries.attempt_sent(SENT);
    }
    assert_eq!(next_attempt(&retries, outage), Some(Millis(200)));
}

#[test]
fn a_batch_counts_as_refused_only_if_no_attempt_can_have_been_committed() {
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

/// Returns the response times of a store that takes `took` milliseconds in turn.
fn answers(took: &[u64]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    (0..10).flat_map(|_| took).for_each(|&ms| times.record(Millis(ms)));
    times
}

// If 42% of the answers to writes are lost for 6 s and the others take 14 to 28 ms, a fixed read
// delay makes most callers wait. A store that is 53 times as slow answers after 0.3 to 0.5 s.
#[test]
fn the_lane_row_is_read_earlier_in_a_fast_store() {
    assert_eq!(read_delay(&AnswerTimes::default()), Millis(150), "no response times yet");
    let fast = read_delay(&answers(&[14, 28, 17, 22]));
    assert!((40..=60).contains(&fast.0), "{fast:?}");
    assert_eq!(read_delay(&answers(&[300, 500])), Millis(150));
}

#[test]
fn a_lost_answer_of_a_fast_store_costs_less_than_a_tenth_of_a_second() {
    let after = read_delay(&answers(&[14, 28, 17, 22]));
    let mut retries = Retries::new(SENT, after);
    let next_read_at = SENT + retries.time_to_next_call(JUST_NOW, SENT);
    retries.read_sent();
    retries.batch_not_found(Millis(12), next_read_at + Millis(12));
    let attempt = next_attempt(&retries, JUST_NOW);
    assert!(attempt.is_some_and(|c| c < Millis(100)), "{attempt:?}");
}
