//! The list of workers while rows of it are another writer's.
//!
//! The pattern: a row lacks a field, has one of another type, names a state or pool that there
//! isn't, or can't be read at all; it may be a new one, or take the place of a worker's own.
#![allow(clippy::expect_used)]

use crate::registry::{Registry, Told};
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::wire::ConfigRow;
use crate::worker_changes::{WorkerChanges, WorkerRow};
use hollowford_accounts::Credentials;
use hollowford_adapter::{Config, Limits, Row};
use hollowford_adapter_standin::formats::worker_row;
use hollowford_core::Millis;

/// What else may stand where a worker's row should be.
const JUNK: &[&[u8]] = &[b"", b"\xff\xfe", b"null", b"[]", b"{}", b"{\"backend\":\"pool\"", b"7"];

/// A process whose configuration names the pool of [`worker_row`].
fn process() -> Shared {
    let shared = shared();
    let config = Config {
        version: 1,
        routes: Vec::new(),
        queues: Vec::new(),
        pools: vec!["pool".into()],
        limits: Limits { max_body_bytes: 1_000, idle_timeout: Millis(1_000) },
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
fn a_row_that_cannot_be_read_names_no_worker_and_the_others_hold() {
    let shared = process();
    for junk in JUNK {
        let mut list = Registry::new(Millis(0));
        list.replace(&[good("w1"), row("bad", junk), good("w2")]);
        assert_eq!(ids(&list, &shared), ["w1", "w2"]);
    }
}

#[test]
fn a_row_that_turns_unreadable_takes_its_worker_off_the_list_and_it_may_come_back() {
    let shared = process();
    for junk in JUNK {
        let mut list = Registry::new(Millis(0));
        list.replace(&[good("w1"), good("w2")]);
        assert!(list.apply(&row("w1", junk)));
        assert_eq!(ids(&list, &shared), ["w2"]);
        assert!(!list.apply(&row("w1", junk)), "nothing new");
        assert!(list.apply(&good("w1")));
        assert_eq!(ids(&list, &shared), ["w1", "w2"]);
        list.replace(&[row("w1", junk), good("w2")]);
        assert_eq!(ids(&list, &shared), ["w2"], "in a whole reading, too");
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
fn workers_that_are_missing_from_a_whole_reading_are_off_the_list() {
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

/// Pattern: 6,000 workers in five partitions. Each owner followed the whole list, and the store
/// sent each sign of life of each worker five times.
#[test]
fn what_one_owner_reads_the_others_need_not_read() {
    let shared = process();
    let (mut reader, mut other) = (Registry::new(Millis(0)), Registry::new(Millis(0)));
    let first = changes(0, 10, reader.replace(&[good("w1"), good("w2"), row("bad", b"{}")]));
    assert_eq!(other.take_told(&first), Told::Taken(true));
    // Signs of life change nothing, and are told without rows.
    let quiet = changes(10, 20, reader.replace(&[good("w1"), good("w2")]));
    assert!(quiet.rows.is_empty());
    assert_eq!(other.take_told(&quiet), Told::Taken(false));
    for rows in [vec![good("w2"), good("w3")], vec![row("w2", b"7"), good("w3")], Vec::new()] {
        let told = changes(20, 30, reader.replace(&rows));
        other.take_told(&told);
        assert_eq!(ids(&other, &shared), ids(&reader, &shared));
    }
}

#[test]
fn changes_that_do_not_follow_on_what_is_known_are_not_taken() {
    let shared = process();
    let mut list = Registry::new(Millis(0));
    let one = |id| vec![WorkerRow::from(&good(id))];
    assert_eq!(list.take_told(&changes(0, 10, one("w1"))), Told::Taken(true));
    assert_eq!(list.take_told(&changes(12, 14, one("w2"))), Told::Gap, "what came between is lost");
    assert_eq!(list.take_told(&changes(4, 9, one("w3"))), Told::Old);
    assert_eq!(ids(&list, &shared), ["w1"]);
    assert_eq!(list.take_told(&changes(8, 14, one("w2"))), Told::Taken(true));
    assert_eq!(ids(&list, &shared), ["w1", "w2"]);
}

/// Pattern: a cell that starts, or a store that was away: thousands of rows at once would hold up
/// the link between two owners.
#[test]
fn a_whole_list_is_not_told() {
    let rows: Vec<WorkerRow> =
        (0..6_000).map(|i| WorkerRow::from(&good(&format!("w{i}")))).collect();
    assert!(!changes(0, 10, rows).can_be_told());
    assert!(changes(0, 10, vec![WorkerRow::from(&good("w1"))]).can_be_told());
}

/// Pattern: the store was away, and an entry that is missing afterwards may come back. The owner that
/// reads for all has long taken it for gone, and won't tell of it again.
#[test]
fn an_entry_whose_absence_was_not_believed_is_looked_for_again() {
    let shared = process();
    let mut list = Registry::new(Millis(0));
    list.replace(&[good("w1"), good("w2")]);
    list.note_answer(Millis(60_000));
    let missing = Row { removed: true, ..good("w2") };
    assert!(!list.apply(&missing));
    assert!(list.is_doubtful());
    assert_eq!(list.take_told(&changes(0, 10, Vec::new())), Told::Taken(false));
    assert!(list.is_doubtful(), "only a whole reading tells");
    list.replace(&[good("w1")]);
    assert_eq!(ids(&list, &shared), ["w1", "w2"], "too early");
    list.note_answer(Millis(61_000));
    list.note_answer(Millis(62_000));
    list.note_answer(Millis(62_600));
    list.replace(&[good("w1")]);
    assert_eq!(ids(&list, &shared), ["w1"]);
    assert!(!list.is_doubtful());
}
