//! When a member takes its owner for gone, and which process comes next.

use crate::succession::{BEAT, Hearing, Judged};
use hollowford_core::Millis;
use yare::parameterized;

const NOW: Millis = Millis(7_000);

/// Judges every beat until the owner is taken for silent; returns how long that took, and when
/// it was to be asked first.
fn silence(hearing: &mut Hearing, from: Millis) -> (Millis, Millis) {
    let mut asked = None;
    for beats in 1..=100 {
        let after = Millis(BEAT.0 * beats);
        match hearing.judge(from + after) {
            Judged::Silent => return (after, asked.unwrap_or(after)),
            Judged::Quiet => {
                asked.get_or_insert(after);
            }
            Judged::Heard | Judged::Paused(_) => {}
        }
    }
    panic!("an owner that says nothing is never missed");
}

#[parameterized(
    one_of_the_first = { 100, 500, 300 },
    one_of_many = { 500, 2_500, 1_500 },
)]
fn an_owner_that_says_nothing_is_asked_and_then_missed(every: u64, missed: u64, asked: u64) {
    let mut hearing = Hearing::new(NOW);
    hearing.set_pace(Millis(every));
    assert_eq!(silence(&mut hearing, NOW), (Millis(missed), Millis(asked)));
    assert_eq!(hearing.answer_limit(), Millis(missed - asked));
}

#[test]
fn a_new_owner_that_says_nothing_at_all_is_missed_within_half_a_second() {
    assert_eq!(silence(&mut Hearing::new(NOW), NOW).0, Millis(500));
}

#[test]
fn a_member_that_was_paused_itself_hears_anew() {
    let mut hearing = Hearing::new(NOW);
    let later = NOW + Millis(4_000);
    assert_eq!(hearing.judge(later), Judged::Paused(Millis(4_000)));
    assert_eq!(silence(&mut hearing, later).0, Millis(500));
}
