//! Entries of workers that go soon after they were written, and entries that have expired.
#![allow(clippy::expect_used)]

use crate::withdrawals::Withdrawals;
use hollowford_adapter::decode_listing;
use hollowford_adapter_standin::formats::worker_row;
use hollowford_core::Millis;
use hollowford_jobs::WorkerListing;

const HEARTBEAT: Millis = Millis(1_500);

fn listing(leaving: bool) -> WorkerListing {
    let row = worker_row("127.0.0.1:9", "z", &["a"], leaving).to_string();
    decode_listing("w1", row.as_bytes()).expect("the row should be valid")
}

/// Returns the writes of an entry that a read started at 10.0 s showed for the first time, and one
/// started at 10.3 s in a new version.
fn entry_written_after_ten_seconds() -> Withdrawals {
    let mut entries = Withdrawals::default();
    entries.set_heartbeat(Some(HEARTBEAT));
    entries.entry_read("w1", 1);
    entries.read_completed(Millis(10_000));
    entries.entry_read("w1", 2);
    entries.read_completed(Millis(10_300));
    entries
}

#[test]
fn a_leaving_worker_whose_entry_goes_soon_after_a_write_has_removed_it() {
    let mut entries = entry_written_after_ten_seconds();
    assert!(entries.entry_removed("w1", listing(true), Millis(12_900)));
    assert!(entries.contains("w1"));
    assert!(entries.take_withdrawn().iter().all(|l| l.withdrawn));
    assert!(entries.take_withdrawn().is_empty());
}

// Guards against a worker that is taken for gone because the store has not heard of it for three
// heartbeats, although a read has shown its entry unchanged since.
#[test]
fn an_entry_that_goes_after_more_than_two_heartbeats_may_have_expired() {
    let mut entries = entry_written_after_ten_seconds();
    entries.entry_read("w1", 2);
    entries.read_completed(Millis(12_500));
    assert!(!entries.entry_removed("w1", listing(true), Millis(13_000)));
    assert!(entries.take_withdrawn().is_empty());
}

// Guards against reads that are late: the write that they show may be old.
#[test]
fn an_entry_that_was_first_read_may_have_been_written_long_before() {
    let mut entries = Withdrawals::default();
    entries.set_heartbeat(Some(HEARTBEAT));
    entries.entry_read("w1", 7);
    entries.read_completed(Millis(10_000));
    assert!(!entries.entry_removed("w1", listing(true), Millis(10_200)));
}

#[test]
fn a_worker_that_did_not_say_that_it_leaves_has_not_left() {
    let mut entries = entry_written_after_ten_seconds();
    assert!(!entries.entry_removed("w1", listing(false), Millis(10_400)));
}

#[test]
fn nothing_is_known_without_the_interval_of_heartbeats() {
    let mut entries = entry_written_after_ten_seconds();
    entries.set_heartbeat(None);
    assert!(!entries.entry_removed("w1", listing(true), Millis(10_400)));
}
