//! The worker list when some of its rows are written by others.
//!
//! A row lacks a field, has one of the wrong type, names an unknown state or pool, or can't be
//! decoded at all. It may be new, or replace the row of a worker.
#![allow(clippy::expect_used)]

use crate::registry::{ChangesOutcome, Registry};
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::wire::ConfigRow;
use crate::worker_changes::{WorkerChanges, WorkerRow};
use hollowford_accounts::Credentials;
use hollowford_adapter::{Config, Limits, Row};
use hollowford_adapter_standin::formats::worker_row;
use hollowford_core::Millis;

/// Values that may stand in place of a worker's row.
const MALFORMED_VALUES: &[&[u8]] =
    &[b"", b"\xff\xfe", b"null", b"[]", b"{}", b"{\"backend\":\"pool\"", b"7"];

/// A process whose configuration names the pool of [`worker_row`].
fn process() -> Shared {
    let shared = shared();
    let config = Config {
        version: 1,
        routes: Vec::new(),
        queues: Vec::new(),
        pools: vec!["pool".into()],
        limits: Limits::default(),
        accounts: None,
        credentials: Credentials::default(),
    };
    shared.apply_config(config, ConfigRow::default());
    shared
}

fn row(id: &str, value: &[u8]) -> Row {
    Row { key: id.into(), value: value.to_vec(), version: 1, removed: false }
}

fn good(id: &str) -> Row {
    row(id, worker_row("127.0.0.1:9", "z", &["a"], false).to_string().as_bytes())
}

fn ids(list: &Registry, shared: &Shared) -> Vec<String> {
    list.workers(shared).map(|l| l.life.id().as_str().to_owned()).collect()
}

#[test]
fn a_malformed_row_names_no_worker_and_the_others_are_kept() {
    let shared = process();
    for malformed in MALFORMED_VALUES {
        let mut list = Registry::new(Millis(0));
        list.replace(&[good("w1"), row("bad", malformed), good("w2")]);
        assert_eq!(ids(&list, &shared), ["w1", "w2"]);
    }
}

#[test]
fn a_row_that_becomes_malformed_removes_its_worker_until_it_is_valid_again() {
    let shared = process();
    for malformed in MALFORMED_VALUES {
        let mut list = Registry::new(Millis(0));
        list.replace(&[good("w1"), good("w2")]);
        assert!(list.apply_row(&row("w1", malformed)));
        assert_eq!(ids(&list, &shared), ["w2"]);
        assert!(!list.apply_row(&row("w1", malformed)), "no change");
        assert!(list.apply_row(&good("w1")));
        assert_eq!(ids(&list, &shared), ["w1", "w2"]);
        list.replace(&[row("w1", malformed), good("w2")]);
        assert_eq!(ids(&list, &shared), ["w2"], "after a full read, too");
    }
}

#[test]
fn a_pool_that_the_configuration_does_not_name_has_no_workers() {
    let shared = process();
    let mut other = worker_row("127.0.0.1:9", "z", &["a"], false);
    other["backend"] = "elsewhere".into();
    let mut list = Registry::new(Millis(0));
    list.replace(&[good("w1"), row("w2", other.to_string().as_bytes())]);
    assert_eq!(ids(&list, &shared), ["w1"]);
}

#[test]
fn workers_missing_from_a_full_read_are_removed() {
    let shared = process();
    let mut list = Registry::new(Millis(0));
    list.replace(&[good("w1"), good("w2"), good("w3")]);
    let changed = list.replace(&[good("w1"), good("w3")]);
    assert_eq!(changed.len(), 1);
    assert!(changed[0].removed && changed[0].key == "w2");
    assert_eq!(ids(&list, &shared), ["w1", "w3"]);
}

fn changes(from: u64, to: u64, rows: Vec<WorkerRow>) -> WorkerChanges {
    WorkerChanges { from, to, rows }
}

/// A cell of 6,000 workers in five partitions: when each owner followed the whole list, the store
/// sent each worker heartbeat five times.
#[test]
fn owners_apply_forwarded_changes_without_reading_the_list() {
    let shared = process();
    let (mut reader, mut other) = (Registry::new(Millis(0)), Registry::new(Millis(0)));
    let first = changes(0, 10, reader.replace(&[good("w1"), good("w2"), row("bad", b"{}")]));
    assert_eq!(other.apply_changes(&first), ChangesOutcome::Applied(true));
    // Worker heartbeats change nothing, and are forwarded without rows.
    let quiet = changes(10, 20, reader.replace(&[good("w1"), good("w2")]));
    assert!(quiet.rows.is_empty());
    assert_eq!(other.apply_changes(&quiet), ChangesOutcome::Applied(false));
    for rows in [vec![good("w2"), good("w3")], vec![row("w2", b"7"), good("w3")], Vec::new()] {
        let forwarded = changes(20, 30, reader.replace(&rows));
        other.apply_changes(&forwarded);
        assert_eq!(ids(&other, &shared), ids(&reader, &shared));
    }
}

#[test]
fn outdated_changes_and_changes_after_a_gap_are_not_applied() {
    let shared = process();
    let mut list = Registry::new(Millis(0));
    let one = |id| vec![WorkerRow::from(&good(id))];
    assert_eq!(list.apply_changes(&changes(0, 10, one("w1"))), ChangesOutcome::Applied(true));
    assert_eq!(
        list.apply_changes(&changes(12, 14, one("w2"))),
        ChangesOutcome::Gap,
        "versions 11 and 12 are missing"
    );
    assert_eq!(list.apply_changes(&changes(4, 9, one("w3"))), ChangesOutcome::Outdated);
    assert_eq!(ids(&list, &shared), ["w1"]);
    assert_eq!(list.apply_changes(&changes(8, 14, one("w2"))), ChangesOutcome::Applied(true));
    assert_eq!(ids(&list, &shared), ["w1", "w2"]);
}

/// When a cell starts or the store returns from an outage, thousands of rows at once would block
/// the link between two owners.
#[test]
fn a_whole_list_is_not_forwarded() {
    let rows: Vec<WorkerRow> =
        (0..6_000).map(|i| WorkerRow::from(&good(&format!("w{i}")))).collect();
    assert!(!changes(0, 10, rows).can_be_forwarded());
    assert!(changes(0, 10, vec![WorkerRow::from(&good("w1"))]).can_be_forwarded());
}

/// After a store outage, an entry that is missing may come back. The reader partition's owner has
/// already removed it and won't forward the removal again.
#[test]
fn an_entry_whose_removal_was_not_trusted_is_checked_by_a_full_read() {
    let shared = process();
    let mut list = Registry::new(Millis(0));
    list.replace(&[good("w1"), good("w2")]);
    list.record_answer(Millis(60_000));
    let missing = Row { removed: true, ..good("w2") };
    assert!(!list.apply_row(&missing));
    assert!(list.has_unconfirmed_entries());
    assert_eq!(list.apply_changes(&changes(0, 10, Vec::new())), ChangesOutcome::Applied(false));
    assert!(list.has_unconfirmed_entries(), "forwarded changes do not confirm it");
    list.replace(&[good("w1")]);
    assert_eq!(ids(&list, &shared), ["w1", "w2"], "within the grace period");
    list.record_answer(Millis(61_000));
    list.record_answer(Millis(62_000));
    list.record_answer(Millis(62_600));
    list.replace(&[good("w1")]);
    assert_eq!(ids(&list, &shared), ["w1"]);
    assert!(!list.has_unconfirmed_entries());
}
