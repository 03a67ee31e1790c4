//! The list of workers while rows of it are another writer's.
//!
//! The pattern: a row lacks a field, has one of another type, names a state or pool that there
//! isn't, or can't be read at all; it may be a new one, or take the place of a worker's own.
#![allow(clippy::expect_used)]

use crate::registry::Registry;
use crate::shared::Shared;
use crate::shared_tests::shared;
use crate::wire::ConfigRow;
use hollowford_accounts::Credentials;
use hollowford_adapter::{Config, Limits, Row};
use hollowford_adapter_standin::speech::worker_row;
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
        limits: Limits { body_bytes: 1_000, idle: Millis(1_000) },
        accounts: None,
        credentials: Credentials::default(),
    };
    shared.take_config(config, ConfigRow::default());
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
    assert!(list.replace(&[good("w1"), good("w3")]));
    assert_eq!(ids(&list, &shared), ["w1", "w3"]);
}
