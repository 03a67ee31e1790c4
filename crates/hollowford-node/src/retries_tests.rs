//! When a batch without an answer is read for, and sent again.

use crate::retries::Retries;
use hollowford_core::Millis;

const SENT: Millis = Millis(10_000);
/// Time since the last answer of a store that answers.
const JUST_NOW: Millis = Millis(10);

/// Returns how long after the last copy the next one is due; none within a minute.
fn next_copy(retries: &Retries, store_age: Millis) -> Option<Millis> {
    let due = |after: &u64| retries.copy_is_due(store_age, SENT + Millis(*after));
    (0..60_000).find(due).map(Millis)
}

#[test]
fn a_batch_is_read_for_before_it_is_sent_again() {
    let retries = Retries::begun(SENT);
    let wait = retries.wait(JUST_NOW, SENT);
    assert!(!retries.copy_is_due(JUST_NOW, SENT + wait));
}

#[test]
fn a_quick_store_that_does_not_show_the_batch_gets_a_copy_soon_and_a_slow_one_later() {
    let mut quick = Retries::begun(SENT);
    quick.reads();
    quick.not_made(Millis(5), SENT + Millis(155));
    let mut slow = Retries::begun(SENT);
    slow.reads();
    slow.not_made(Millis(400), SENT + Millis(550));
    assert_eq!(next_copy(&quick, JUST_NOW), Some(Millis(150)));
    assert_eq!(next_copy(&slow, JUST_NOW), Some(Millis(2_000)));
}

#[test]
fn a_reading_that_is_lost_holds_the_copy_up_for_a_second_only() {
    let mut retries = Retries::begun(SENT);
    retries.reads();
    assert_eq!(next_copy(&retries, JUST_NOW), Some(Millis(1_000)));
}

#[test]
fn a_store_that_answers_nothing_is_tried_often_for_as_long_as_it_is_away() {
    let mut retries = Retries::begun(SENT);
    let away = Millis(1_500);
    assert_eq!(next_copy(&retries, away), Some(Millis(200)));
    // Each copy may take 2.5 s, and none of those must keep the next one back.
    for _ in 0..12 {
        retries.copied(SENT);
    }
    assert_eq!(next_copy(&retries, away), Some(Millis(200)));
}

#[test]
fn a_batch_is_given_back_only_when_no_copy_can_have_been_made() {
    let mut refused = Retries::begun(SENT);
    let mut unsure = Retries::begun(SENT);
    for failure in 0..3 {
        refused.copy_failed(true);
        unsure.copy_failed(failure != 1);
        assert!(refused.all_failed());
        refused.copied(SENT);
        unsure.copied(SENT);
    }
    assert!(refused.is_refused());
    assert!(!unsure.is_refused());
}
